//! Tests of placement.

use super::*;
use crate::configs::QuotaConfig;
use crate::types::{RackName, ServiceName, TaskName, ZoneName};
use std::time::Duration;

const GIB: u64 = 1 << 30;

/// A placement over a fleet of workers of 16 processors and 60 GiB, three to a rack.
struct Bench {
    placement: Placement,
    now: Time,
    impact: Box<dyn LatencyImpact>,
}

impl Bench {
    fn new(workers: usize) -> Self {
        let placement = Placement::new(PlacementConfig::default(), 7);
        let impact = Box::new(NoLatencyImpact);
        let mut bench = Self {
            placement,
            now: Time::from_secs(1),
            impact,
        };
        for at in 0..workers {
            bench.feed(Input::Report(report(at, 0)));
        }
        bench
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        let impact = self.impact.as_ref();
        self.placement.step(self.now, input, impact, &mut out);
        out
    }

    fn tick(&mut self) -> Vec<(String, String)> {
        starts(&self.feed(Input::Tick))
    }

    fn explain(&self, task: &TaskKey) -> String {
        let impact = self.impact.as_ref();
        let explanation = self.placement.explain(self.now, task, impact);
        explanation.unwrap().to_string()
    }
}

fn starts(out: &[Output]) -> Vec<(String, String)> {
    let start = |output: &Output| match output {
        Output::Start { task, worker, .. } => Some((task.to_string(), worker.to_string())),
        Output::Unplaceable { .. } => None,
    };
    out.iter().filter_map(start).collect()
}

fn node(at: usize) -> NodeName {
    NodeName::new(&format!("w{at}")).unwrap()
}

fn report(at: usize, accelerators: u32) -> Report {
    Report {
        worker: node(at),
        zone: ZoneName::new(&format!("z{}", at / 3 % 3)).unwrap(),
        rack: RackName::new(&format!("r{}", at / 3)).unwrap(),
        total: Resources::new(16_000, 60 * GIB, accelerators),
        granted: Resources::NONE,
        tasks: Vec::new(),
        services: Vec::new(),
        ready: true,
    }
}

fn key(team: &str, name: &str) -> TaskKey {
    TaskKey {
        team: TeamName::new(team).unwrap(),
        task: TaskName::new(name).unwrap(),
    }
}

fn request(team: &str, name: &str, cpu: u64) -> Request {
    Request {
        task: key(team, name),
        class: "plain".into(),
        need: Resources::new(cpu, GIB, 0),
        run_time: Duration::from_secs(60),
        urgent: false,
        group: None,
        avoid: Vec::new(),
    }
}

struct ExplainCase {
    name: &'static str,
    input: fn() -> Vec<Input>,
    explanation: &'static str,
}

#[test]
fn a_waiting_task_is_explained_by_filter_reasons() {
    let cases = [
        ExplainCase {
            name: "room",
            input: || {
                let mut cpu_full = report(0, 0);
                cpu_full.granted = Resources::new(15_500, 0, 0);
                let mut memory_full = report(1, 0);
                memory_full.granted = Resources::new(0, 60 * GIB, 0);
                vec![Input::Report(cpu_full), Input::Report(memory_full)]
            },
            explanation: "waiting for room; workers 2, cpu 1, memory 1",
        },
        ExplainCase {
            name: "closed",
            input: || {
                let mut unready = report(0, 0);
                unready.ready = false;
                let quarantine = Input::Quarantine {
                    worker: node(1),
                    quarantined: true,
                };
                vec![Input::Report(unready), quarantine]
            },
            explanation: "waiting for room; workers 2, not ready 1, set aside 1",
        },
        ExplainCase {
            name: "quota",
            input: || {
                let quota = QuotaConfig {
                    limit: Resources::new(1_500, 60 * GIB, 0),
                    weight: 1,
                };
                let team = TeamName::new("a").unwrap();
                vec![
                    Input::Quota { team, quota },
                    Input::Submit(request("a", "first", 1_000)),
                    Input::Tick,
                ]
            },
            explanation: "waiting: the team's quota is used up; workers 2",
        },
        ExplainCase {
            name: "no reason known",
            input: || vec![Input::Submit(request("b", "other", 1_000))],
            explanation: "waiting for room; workers 2",
        },
    ];
    for case in cases {
        let mut bench = Bench::new(2);
        for input in (case.input)() {
            bench.feed(input);
        }
        bench.feed(Input::Submit(request("a", "t", 1_000)));
        let text = bench.explain(&key("a", "t"));
        assert_eq!(text, case.explanation, "{}", case.name);
    }
}

#[test]
fn a_refused_start_tries_another_worker_in_the_same_step() {
    let mut bench = Bench::new(2);
    bench.feed(Input::Submit(request("a", "t", 8_000)));
    let first = bench.tick();
    let worker = NodeName::new(&first[0].1).unwrap();
    let refused = Input::Refused {
        task: key("a", "t"),
        worker: worker.clone(),
        free: Some(Resources::NONE),
    };
    let second = starts(&bench.feed(refused.clone()));
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].1, first[0].1);
    // A duplicate refusal by the first worker changes nothing.
    assert!(bench.feed(refused).is_empty());
    // The first worker has no free capacity after its refusal, and the second too little.
    bench.feed(Input::Submit(request("a", "u", 9_000)));
    assert!(bench.tick().is_empty());
}

#[test]
fn a_too_large_task_is_unplaceable_and_blocks_no_other() {
    let mut bench = Bench::new(1);
    let out = bench.feed(Input::Submit(request("a", "huge", 32_000)));
    assert!(matches!(out[..], [Output::Unplaceable { .. }]));
    bench.feed(Input::Submit(request("a", "small", 1_000)));
    assert_eq!(bench.tick().len(), 1);
    let text = bench.explain(&key("a", "huge"));
    assert_eq!(
        text,
        "cannot run: no worker has cpu 32000m, memory 1.0 GiB, accelerators 0; workers 1"
    );
    let mut large = report(5, 0);
    large.total = Resources::new(64_000, 60 * GIB, 0);
    bench.feed(Input::Report(large));
    assert_eq!(bench.tick()[0].0, "a/huge");
}

#[test]
fn teams_get_starts_in_proportion_to_their_weight() {
    let mut bench = Bench::new(3);
    let quota = QuotaConfig {
        weight: 3,
        ..QuotaConfig::default()
    };
    let team = TeamName::new("heavy").unwrap();
    bench.feed(Input::Quota { team, quota });
    for at in 0..48 {
        for team in ["heavy", "light"] {
            bench.feed(Input::Submit(request(team, &format!("t{at}"), 1_000)));
        }
    }
    let started = bench.tick();
    let heavy = started.iter().filter(|(task, _)| task.starts_with("heavy"));
    assert_eq!((started.len(), heavy.count()), (48, 36));
}

#[test]
fn urgent_tasks_start_first_and_normal_ones_still_progress() {
    let mut bench = Bench::new(1);
    for at in 0..16 {
        bench.feed(Input::Submit(request("a", &format!("n{at}"), 1_000)));
        let mut urgent = request("b", &format!("u{at}"), 1_000);
        urgent.urgent = true;
        bench.feed(Input::Submit(urgent));
    }
    let started = bench.tick();
    let urgent = started.iter().filter(|(task, _)| task.starts_with("b/u"));
    assert!(started[..8].iter().all(|(task, _)| task.starts_with("b/u")));
    assert_eq!((started.len(), urgent.count()), (16, 15));
}

#[test]
fn a_large_task_gets_a_worker_despite_a_stream_of_small_ones() {
    let mut bench = Bench::new(1);
    bench.placement.config.patience = Duration::from_secs(120);
    let mut running = Vec::new();
    for at in 0..16 {
        bench.feed(Input::Submit(request("a", &format!("s{at}"), 1_000)));
    }
    running.extend(bench.tick());
    bench.feed(Input::Submit(request("b", "large", 12_000)));
    let mut large = false;
    for at in 16..600 {
        bench.now = bench.now.after(Duration::from_secs(1));
        let (oldest, _) = running.remove(0);
        let oldest = oldest.strip_prefix("a/").unwrap().to_owned();
        bench.feed(Input::Ended(key("a", &oldest)));
        let mut report = report(0, 0);
        report.granted = Resources::new(1_000 * running.len() as u64, 0, 0);
        report.tasks = running
            .iter()
            .map(|(task, _)| key("a", task.strip_prefix("a/").unwrap()))
            .collect();
        bench.feed(Input::Report(report));
        bench.feed(Input::Submit(request("a", &format!("s{at}"), 1_000)));
        let started = bench.tick();
        large = started.iter().any(|(task, _)| task == "b/large");
        if large || running.is_empty() {
            break;
        }
        running.extend(started);
    }
    assert!(large, "the large task never started");
}

#[test]
fn capacity_beside_accelerators_is_kept_for_tasks_that_need_them() {
    let mut bench = Bench::new(0);
    bench.feed(Input::Report(report(0, 2)));
    bench.feed(Input::Report(report(1, 0)));
    bench.feed(Input::Submit(request("a", "plain", 15_000)));
    assert_eq!(bench.tick()[0].1, "w1");
    bench.feed(Input::Submit(request("a", "greedy", 15_000)));
    assert!(bench.tick().is_empty());
    let text = bench.explain(&key("a", "greedy"));
    assert_eq!(
        text,
        "waiting for room; workers 2, cpu 1, kept for accelerators 1"
    );
    let mut accelerated = request("a", "model", 1_000);
    accelerated.need.accelerators = 2;
    bench.feed(Input::Submit(accelerated));
    assert_eq!(bench.tick()[0].1, "w0");
}

#[test]
fn replicas_of_a_service_spread_over_zones_and_racks() {
    let mut bench = Bench::new(9);
    let group: Arc<str> = ServiceName::new("listings").unwrap().as_str().into();
    for at in 0..3 {
        let mut replica = request("a", &format!("r{at}"), 1_000);
        replica.group = Some(group.clone());
        bench.feed(Input::Submit(replica));
    }
    let zones = bench.tick().into_iter().map(|(_, worker)| {
        let at: usize = worker[1..].parse().unwrap();
        at / 3
    });
    assert_eq!(zones.collect::<BTreeSet<_>>().len(), 3);
}

#[test]
fn a_worker_with_a_stale_report_gets_no_starts() {
    let mut bench = Bench::new(1);
    bench.now = bench.now.after(Duration::from_secs(60));
    bench.feed(Input::Submit(request("a", "t", 1_000)));
    assert!(bench.tick().is_empty());
    assert_eq!(
        bench.explain(&key("a", "t")),
        "waiting for room; workers 1, report is stale 1"
    );
    bench.feed(Input::Report(report(0, 0)));
    assert_eq!(bench.tick().len(), 1);
}

/// Each processor of a noisy task adds 0.1 to the log latency of every service.
struct Noisy;

impl LatencyImpact for Noisy {
    fn log_growth_per_core(&self, _service: &str, task: &str, _slowdown: f64) -> f64 {
        if task == "noisy" { 0.1 } else { 0.0 }
    }
}

#[test]
fn a_noisy_task_avoids_the_loaded_service() {
    let mut bench = Bench::new(0);
    bench.impact = Box::new(Noisy);
    for (at, load) in [(0, 0.7), (1, 0.1)] {
        let mut report = report(at, 0);
        report.services.push(ServiceLoad {
            class: "web".into(),
            load,
            slowdown: Some(load),
        });
        bench.feed(Input::Report(report));
    }
    for at in 0..2 {
        let mut noisy = request("a", &format!("n{at}"), 10_000);
        noisy.class = "noisy".into();
        bench.feed(Input::Submit(noisy));
    }
    let started = bench.tick();
    assert_eq!(started, [("a/n0".to_owned(), "w1".to_owned())]);
    assert_eq!(
        bench.explain(&key("a", "n1")),
        "waiting for room; workers 2, cpu 1, interference 1"
    );
}

#[test]
fn random_events_never_overcommit_a_worker() {
    use rand::Rng;
    let mut rng = SmallRng::seed_from_u64(11);
    let mut bench = Bench::new(5);
    let mut running_tasks = HashMap::<TaskKey, (NodeName, Resources)>::new();
    for turn in 0..4_000u32 {
        bench.now = bench.now.after(Duration::from_millis(100));
        let mut request = request("a", &format!("t{turn}"), rng.random_range(100..6_000));
        request.need.memory.0 = rng.random_range(1..30) * GIB;
        bench.feed(Input::Submit(request));
        for output in bench.feed(Input::Tick) {
            if let Output::Start { task, worker, need } = output {
                running_tasks.insert(task, (worker, need));
            }
        }
        if turn % 2 == 0 {
            let ended = running_tasks.keys().min().cloned();
            if let Some(task) = ended {
                running_tasks.remove(&task);
                bench.feed(Input::Ended(task));
            }
        }
        for at in 0..5 {
            let here = running_tasks
                .iter()
                .filter(|(_, (worker, _))| *worker == node(at));
            let needs = here.clone().map(|(_, (_, need))| need);
            let sum = needs.fold(Resources::NONE, |sum, need| sum.checked_add(need).unwrap());
            let mut report = report(at, 0);
            assert!(sum.fits(&report.total), "turn {turn}, worker {at}: {sum}");
            report.granted = sum;
            report.tasks = here.map(|(task, _)| task.clone()).collect();
            bench.feed(Input::Report(report));
        }
    }
    assert!(!running_tasks.is_empty());
}

#[test]
fn an_adopted_task_uses_its_quota_and_is_not_started_again() {
    let mut bench = Bench::new(0);
    let quota = QuotaConfig {
        limit: Resources::new(1_500, 60 * GIB, 0),
        weight: 1,
    };
    let team = TeamName::new("a").unwrap();
    bench.feed(Input::Quota { team, quota });
    bench.feed(Input::Submit(request("a", "old", 1_000)));
    let mut running = report(0, 0);
    running.granted = Resources::new(1_000, GIB, 0);
    running.tasks.push(key("a", "old"));
    bench.feed(Input::Report(running));
    bench.feed(Input::Adopt {
        request: request("a", "old", 1_000),
        worker: node(0),
    });
    bench.feed(Input::Submit(request("a", "new", 1_000)));
    assert!(bench.tick().is_empty());
    bench.feed(Input::Ended(key("a", "old")));
    assert_eq!(bench.tick()[0].0, "a/new");
}

#[test]
fn a_long_backlog_that_fits_no_worker_blocks_no_other_task() {
    let mut bench = Bench::new(3);
    for at in 0..3 {
        let mut busy = report(at, 0);
        busy.granted = Resources::new(8_000, 30 * GIB, 0);
        bench.feed(Input::Report(busy));
    }
    for at in 0..2_000 {
        // Sizes and classes vary, and no task fits a worker.
        let mut large = request("a", &format!("large{at}"), 9_000 + (at * 37) % 6_000);
        large.class = format!("c{}", at % 20).into();
        large.need.memory.0 += at * 1_000;
        large.run_time = Duration::ZERO;
        bench.feed(Input::Submit(large));
    }
    let mut rounds = 0;
    bench.feed(Input::Submit(request("b", "small", 1_000)));
    bench.feed(Input::Submit(request("a", "small", 1_000)));
    let mut started = Vec::new();
    while started.len() < 2 && rounds < 20 {
        rounds += 1;
        started.extend(bench.tick());
    }
    started.sort();
    let tasks = started.iter().map(|(task, _)| task.as_str());
    assert_eq!(tasks.collect::<Vec<_>>(), ["a/small", "b/small"]);
}
