//! Placement on a fleet of hundreds of workers.
//!
//! Pattern of the load: hundreds of tasks end in each second, and far more tasks wait than
//! there is room for. What a pass costs must then not grow with the product of the fleet and
//! the backlog, and its choices must be those of a comparison of all workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::contention::Contention;
use super::super::fleet::{Load, Worker};
use super::super::job::{Job, LiveRun, StepRun};
use super::super::place::{Candidates, PlacementRequest, choose_worker};
use super::super::scheduler::pass::Pass;
use super::scheduler::{Bench, starts};
use super::*;
use crate::types::{Revision, Time};

const WORKERS: usize = 240;
const NOW: Time = Time::from_secs(100);

/// A fleet of workers with random loads.
struct Fleet {
    workers: BTreeMap<NodeName, Worker>,
    contention: Contention,
    next_job: u64,
}

fn service(image: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        target_ms: 150,
        need: need(300, 100),
        image: Some(format!("service-{image}").into()),
        ..step(60, &[])
    }
}

fn best_effort(image: u64) -> StepSpec {
    StepSpec {
        best_effort: true,
        need: need(500, 700),
        image: Some(format!("best-effort-{image}").into()),
        ..step(60, &[])
    }
}

/// A job with one open round.
fn open_job(step: &StepSpec) -> Job {
    let mut job = Job::new(job(vec![step.clone()]).spec, Arc::new(queue()), Revision(1));
    job.open_rounds(Time::ZERO, 0);
    job
}

impl Fleet {
    fn new(random: &mut SmallRng) -> Self {
        let mut fleet = Self {
            workers: BTreeMap::new(),
            contention: Contention::default(),
            next_job: 1_000,
        };
        for at in 0..WORKERS {
            let worker = Worker {
                report: Some(report(at, 1)),
                linked: random.random_bool(0.95),
                listed: true,
                ..Worker::default()
            };
            fleet.workers.insert(node(at), worker);
            for _ in 0..random.random_range(0..4) {
                let image = random.random_range(0..5);
                fleet.place(&node(at), &service(image), 0);
            }
            for _ in 0..random.random_range(0..4) {
                let image = random.random_range(0..5);
                fleet.place(&node(at), &best_effort(image), 0);
            }
        }
        fleet
    }

    fn place(&mut self, at: &NodeName, step: &StepSpec, index: u32) {
        self.next_job += 1;
        let load = open_job(step).load(0).expect("a step");
        let worker = self.workers.get_mut(at).expect("a worker");
        if load.best_effort {
            self.contention.start_trials(NOW, at, worker, &load);
        }
        worker.reserve(run(self.next_job, 0, index, 1), &load);
        self.contention.update_headrooms(at, worker);
    }

    fn request<'a>(
        &'a self,
        policy: &'a QueuePolicy,
        step: &'a StepSpec,
        load: &'a Load,
        effects: Option<&'a super::super::contention::LoadEffects>,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            contention: &self.contention,
            job: JobId(1),
            policy,
            step,
            load,
            effects,
            cpu_limit: None,
            failed_on: None,
            costly: false,
            isolated: false,
            starving: false,
            quarantined: false,
            shared_rack: None,
        }
    }
}

fn note_run(run: &mut StepRun, index: usize, node: &NodeName) {
    run.tasks[index].runs.push(LiveRun {
        node: node.clone(),
        run: 1,
        stopping: false,
    });
}

/// Guards against an order of candidates that differs from a comparison of all workers after
/// tasks were placed.
#[test]
fn the_best_candidate_is_the_best_of_all_workers() {
    struct Case {
        what: &'static str,
        step: StepSpec,
    }
    let limited = StepSpec {
        max_per_worker: 1,
        ..service(7)
    };
    let cases = [
        Case {
            what: "plain tasks",
            step: step(60, &[]),
        },
        Case {
            what: "tasks of a service",
            step: service(3),
        },
        Case {
            what: "tasks of a new service, one on each worker",
            step: limited,
        },
        Case {
            what: "best-effort tasks",
            step: best_effort(2),
        },
        Case {
            what: "best-effort tasks of a new image",
            step: best_effort(9),
        },
    ];
    for case in cases {
        for seed in 0..20 {
            let mut fleet = Fleet::new(&mut SmallRng::seed_from_u64(seed));
            let mut job = open_job(&case.step);
            let policy = queue();
            let load = job.load(0).expect("a step");
            let effects = fleet.contention.effects(&load);
            let effects = load.best_effort.then_some(&effects);
            let request = fleet.request(&policy, &case.step, &load, effects);
            let run = &job.rounds[0].steps[0];
            let mut candidates = Candidates::new(fleet.workers.iter(), &request, run, NOW);
            for index in 0..60 {
                let run = &job.rounds[0].steps[0];
                let request = fleet.request(&policy, &case.step, &load, effects);
                let expected = choose_worker(fleet.workers.iter(), &request, run, NOW).cloned();
                let chosen = candidates.choose(&fleet.workers, &request, run, NOW);
                assert_eq!(chosen, expected, "{}: seed {seed}, task {index}", case.what);
                let Some(chosen) = chosen else { break };
                fleet.place(&chosen, &case.step, index);
                note_run(&mut job.rounds[0].steps[0], index as usize, &chosen);
                let request = fleet.request(&policy, &case.step, &load, effects);
                let run = &job.rounds[0].steps[0];
                let worker = &fleet.workers[&chosen];
                candidates.offer(&chosen, worker, &request, run, NOW);
            }
        }
    }
}

/// A blocked step considers only the workers that have changed, others all.
#[test]
fn a_blocked_step_considers_only_changed_workers() {
    struct Case {
        blocked: bool,
        changed: Option<usize>,
        considered: usize,
    }
    let cases = [
        Case {
            blocked: true,
            changed: Some(3),
            considered: 3,
        },
        Case {
            blocked: true,
            changed: None,
            considered: WORKERS,
        },
        Case {
            blocked: false,
            changed: Some(3),
            considered: WORKERS,
        },
    ];
    let fleet = Fleet::new(&mut SmallRng::seed_from_u64(1));
    for case in cases {
        let changed = case.changed.map(|count| (0..count).map(node).collect());
        let changed: Option<BTreeSet<NodeName>> = changed;
        let pass = Pass::new(NOW, changed);
        let considered = pass.workers(&fleet.workers, case.blocked).count();
        assert_eq!(
            considered, case.considered,
            "blocked {}, changed {:?}",
            case.blocked, case.changed
        );
    }
}

/// Guards against a backlog that waits for the next tick after a task has ended, on a full
/// fleet of hundreds of workers.
#[test]
fn room_on_one_worker_is_used_at_once_by_the_most_urgent_step() {
    let mut bench = Bench::with_workers(WORKERS);
    let full = StepSpec {
        need: need(4_000, 100),
        ..step(WORKERS as u32, &[])
    };
    let running = starts(&bench.submit(1, job(vec![full.clone()]), 11));
    assert_eq!(running.len(), WORKERS);
    for id in 2..40 {
        let out = bench.submit(id, job(vec![full.clone()]), 10 + id);
        assert!(starts(&out).is_empty(), "job {id} finds no room");
    }
    for (number, (at, ended)) in running.iter().take(10).enumerate() {
        let index = at.as_str()[1..].parse().expect("the number of a worker");
        let out = bench.end(index, 1, *ended, EndReason::Done);
        let started = starts(&out);
        assert_eq!(started.len(), 1, "end {number}");
        assert_eq!(started[0].0, *at, "end {number}");
    }
}

/// Guards against blocked steps that only changes of workers unblock: the pause of a worker
/// after a refusal ends without one.
#[test]
fn a_blocked_step_starts_once_a_pause_ends() {
    let mut bench = Bench::with_workers(1);
    let started = starts(&bench.submit(1, job(vec![step(1, &[])]), 11))[0].1;
    let refused = AgentMessage::Refused {
        run: started,
        reason: RefusalReason::Unwell,
    };
    assert!(starts(&bench.agent(0, refused)).is_empty());
    let pause = Duration::from_millis(600).as_millis() as u64;
    assert_eq!(starts(&bench.wait(pause)).len(), 1);
}

/// Guards against a full pool whose backlog keeps the tasks of another pool waiting.
#[test]
fn the_backlog_of_one_pool_does_not_delay_another_pool() {
    let mut bench = Bench::with_workers(1);
    let full = StepSpec {
        need: need(4_000, 100),
        ..step(1, &[])
    };
    let mut other = job(vec![full.clone()]);
    other.spec.queue = Arc::new(QueuePolicy {
        name: QueueName("other".into()),
        service: "other".into(),
        ..queue()
    });
    let running = bench.submit(1, job(vec![full.clone()]), 11);
    assert_eq!(starts(&running).len(), 1);
    for (id, waiting) in [(2, job(vec![full])), (3, other)] {
        assert!(starts(&bench.submit(id, waiting, 10 + id)).is_empty());
    }
    let worker = WorkerReport {
        service: "other".into(),
        ..report(1, 7)
    };
    let started = starts(&bench.join(1, worker));
    assert_eq!(started.first().map(|(at, _)| at), Some(&node(1)));
}
