//! Tests of the contention model against simulated queues of service tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::contention::Contention;
use super::super::contention::utilization::UtilizationModel;
use super::super::fleet::{Load, Worker};
use super::*;
use crate::interference::Occupant;
use crate::types::Time;

/// Tail latency of the simulated service tasks at zero utilization, in milliseconds.
const BEST_MS: f64 = 25.0;
const TARGET_MS: u64 = 150;

/// Workers with service tasks, and best-effort tasks of a harmful and a harmless image.
struct Bench {
    contention: Contention,
    workers: BTreeMap<NodeName, Worker>,
    now: Time,
}

/// Run of a service task, by its job and its index within it.
fn service_run(job: u64, index: usize) -> RunRef {
    run(100 + job, 0, index as u32, 1)
}

fn load(image: &str, target_ms: u64) -> Load {
    Load {
        measured_at: None,
        need: need(1_800, 100),
        best_effort: target_ms == 0,
        target_ms,
        image: image.into(),
        cpu_share: Some(100),
        cores: 1.8,
        progress_percent: 0,
        work_time: None,
        ..Load::default()
    }
}

/// Utilization that one processor of an image adds to service tasks.
fn effect(image: &str) -> f64 {
    if image == "harmful" { 0.15 } else { 0.005 }
}

impl Bench {
    /// Workers with one service task each, all of different jobs.
    fn new(workers: usize) -> Self {
        let mut bench = Self::empty(workers);
        for at in 0..workers {
            bench.serve(at, service_run(at as u64, 0));
        }
        bench
    }

    /// Workers with `tasks` service tasks each, all of one job.
    fn one_job(workers: usize, tasks: usize) -> Self {
        let mut bench = Self::empty(workers);
        for index in 0..workers * tasks {
            bench.serve(index / tasks, service_run(0, index));
        }
        bench
    }

    fn empty(workers: usize) -> Self {
        let worker = |at| Worker {
            report: Some(report(at, 1)),
            ..Worker::default()
        };
        Self {
            contention: Contention::default(),
            workers: (0..workers).map(|at| (node(at), worker(at))).collect(),
            now: Time::from_secs(1),
        }
    }

    fn serve(&mut self, at: usize, run: RunRef) {
        let worker = self.workers.get_mut(&node(at)).expect("a worker");
        worker.reserve(run, &load("service", TARGET_MS));
    }

    fn add(&mut self, at: usize, index: u32, image: &str) {
        let worker = self.workers.get_mut(&node(at)).expect("a worker");
        worker.reserve(run(1, 0, index, 1), &load(image, 0));
        self.contention.update_headrooms(&node(at), worker);
    }

    /// Tail latency of the service tasks on worker `at`, in milliseconds, if their utilization
    /// without best-effort tasks is `base`.
    fn tail_ms(&self, at: usize, base: f64) -> f64 {
        let runs = self.workers[&node(at)].runs.values();
        let added = |load: &Load| effect(&load.image) * load.cores * load.speed();
        let utilization = base + runs.filter(|run| run.best_effort).map(added).sum::<f64>();
        BEST_MS / (1.0 - utilization.min(0.985))
    }

    /// Measures all workers for `millis` and applies the CPU shares; returns the last
    /// slowdowns.
    fn measure(&mut self, millis: u64, base: f64) -> Vec<f64> {
        let mut slowdowns = Vec::new();
        for _ in 0..millis / 500 {
            self.now = self.now.after(Duration::from_millis(500));
            let tails: Vec<f64> = (0..self.workers.len())
                .map(|at| self.tail_ms(at, base))
                .collect();
            for (at, tail) in tails.iter().enumerate() {
                let gauges = self.gauges(at, *tail);
                self.apply(at, &gauges);
            }
            slowdowns = tails.iter().map(|tail| tail / TARGET_MS as f64).collect();
        }
        slowdowns
    }

    /// Measurements of worker `at` at this tail latency of its service tasks.
    fn gauges(&self, at: usize, tail_ms: f64) -> Vec<RunStatus> {
        let runs = self.workers[&node(at)].runs.iter();
        let gauge = |(run, load): (&RunRef, &Load)| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: if load.best_effort { 50 } else { 100 },
            measurement: if load.best_effort {
                (load.cores * load.speed() * 1_000.0) as u64
            } else {
                tail_ms as u64
            },
        };
        runs.map(gauge).collect()
    }

    /// Updates the model with measurements of worker `at`, and applies the CPU shares.
    fn apply(&mut self, at: usize, gauges: &[RunStatus]) {
        let worker = self.workers.get_mut(&node(at)).expect("a worker");
        self.contention.update(self.now, &node(at), worker, gauges);
        for (run, percent) in self.contention.cpu_shares(&node(at), worker) {
            worker.runs.get_mut(&run).expect("a run").cpu_share = Some(percent);
        }
        self.contention.update_headrooms(&node(at), worker);
    }

    /// CPU share of a best-effort run on worker `at`, in percent.
    fn cpu_share(&self, at: usize, index: u32) -> u32 {
        self.workers[&node(at)].runs[&run(1, 0, index, 1)]
            .cpu_share
            .unwrap_or(100)
    }

    fn may_start(&self, at: usize, image: &str) -> bool {
        let effects = self.contention.effects(&load(image, 0));
        let used = self
            .contention
            .headroom_used_with(self.now, &node(at), &effects);
        used.is_ok()
    }
}

/// Best-effort tasks of an image that slows a service, beside ones of a harmless image.
#[test]
fn harmful_best_effort_tasks_are_throttled_and_harmless_ones_are_not() {
    let mut bench = Bench::new(4);
    bench.measure(2_000, 0.5);
    for at in 0..2 {
        bench.add(at, 2 * at as u32, "harmful");
        bench.add(at, 2 * at as u32 + 1, "harmless");
    }
    bench.add(2, 4, "harmless");
    let slowdowns = bench.measure(6_000, 0.6);
    assert!(
        slowdowns.iter().all(|slowdown| *slowdown < 1.0),
        "{slowdowns:?}"
    );
    assert!(
        bench.cpu_share(0, 0) < 100,
        "harmful at {}",
        bench.cpu_share(0, 0)
    );
    assert_eq!(bench.cpu_share(2, 4), 100, "harmless");
}

/// Effects learned on one worker apply to all others.
#[test]
fn an_image_that_harms_on_one_worker_is_not_started_on_another() {
    let mut bench = Bench::new(3);
    bench.measure(2_000, 0.6);
    bench.add(0, 0, "harmful");
    bench.add(1, 1, "harmless");
    bench.measure(4_000, 0.65);
    assert!(!bench.may_start(2, "harmful"));
    assert!(bench.may_start(2, "harmless"));
}

/// A burst of best-effort tasks with an unknown effect.
#[test]
fn an_unknown_pair_is_tried_on_one_worker_first() {
    let mut bench = Bench::new(2);
    bench.measure(2_000, 0.4);
    assert!(bench.may_start(0, "new"));
    let worker = &bench.workers[&node(0)];
    bench
        .contention
        .start_trials(bench.now, &node(0), worker, &load("new", 0));
    assert!(bench.may_start(0, "new"), "beside the first");
    assert!(!bench.may_start(1, "new"), "elsewhere");
}

/// The load of a service rises and falls on all of its workers at once.
#[test]
fn a_wave_of_load_is_not_attributed_to_best_effort_neighbours() {
    let mut bench = Bench::one_job(3, 1);
    bench.measure(2_000, 0.3);
    for index in 0..6 {
        bench.add(0, index, "harmless");
    }
    for step in 0..10 {
        bench.measure(500, 0.3 + 0.04 * f64::from(step));
    }
    bench.measure(1_000, 0.66);
    assert!(bench.may_start(1, "harmless"));
    assert!((0..6).all(|index| bench.cpu_share(0, index) == 100));
}

/// Guards against throttling because of a single outlier: a task may now and then report
/// 1.5 times its usual latency.
#[test]
fn one_outlier_among_the_tasks_of_a_job_throttles_nothing() {
    let mut bench = Bench::one_job(1, 3);
    bench.measure(2_000, 0.48);
    bench.add(0, 0, "harmful");
    bench.measure(2_000, 0.48);
    let tail = bench.tail_ms(0, 0.48);
    let mut gauges = bench.gauges(0, tail);
    let outlier = gauges
        .iter_mut()
        .find(|gauge| gauge.run == service_run(0, 1));
    outlier.expect("a task").measurement *= 4;
    bench.apply(0, &gauges);
    assert_eq!(bench.cpu_share(0, 0), 100);
}

/// Hundreds of service jobs of one image on a large fleet.
#[test]
fn filters_stay_small_with_many_jobs_of_one_image() {
    const JOBS: u64 = 300;
    let mut model = UtilizationModel::default();
    let image: Arc<str> = "service".into();
    for round in 0..3 {
        let now = Time::from_secs(round);
        for job in 0..JOBS {
            let utilization = 0.2 + 0.5 * (job % 2) as f64;
            model.update(now, &image, JobId(job), utilization, &[]);
        }
    }
    assert!(
        model.largest_filter() < 100,
        "{} coefficients",
        model.largest_filter()
    );
    assert!((model.base("service", JobId(JOBS - 1)) - 0.7).abs() < 0.05);
    model.retain_jobs(|job| job.0 < 10);
    for job in JOBS..2 * JOBS {
        model.update(Time::from_secs(4), &image, JobId(job), 0.4, &[]);
    }
    assert!(
        model.largest_filter() < 100,
        "{} coefficients",
        model.largest_filter()
    );
}

/// Best-effort images change over time; the model has to keep the latest ones.
#[test]
fn new_best_effort_images_are_learned_after_many_others() {
    let mut model = UtilizationModel::default();
    let service: Arc<str> = "service".into();
    for number in 0..100_u64 {
        let now = Time::from_secs(4 * number);
        let best_effort = Occupant {
            class: format!("filler-{number}").into(),
            cores: 2.0,
        };
        model.update(now, &service, JobId(1), 0.4, &[]);
        for half in 1..6 {
            let at = now.after(Duration::from_millis(500 * half));
            model.update(at, &service, JobId(1), 0.4, &[]);
            model.update(
                at,
                &service,
                JobId(1),
                0.8,
                std::slice::from_ref(&best_effort),
            );
        }
    }
    let effect = model.effect("service", "filler-99").mean;
    assert!((0.15..0.25).contains(&effect), "{effect} per processor");
    assert!(
        model.largest_filter() < 100,
        "{} coefficients",
        model.largest_filter()
    );
}

/// A new owner beside running services, after the predecessor was killed under a load of
/// best-effort tasks: it must not try out again which images are harmful.
#[test]
fn a_successor_knows_the_effects_that_its_predecessor_learned() {
    let mut bench = Bench::new(3);
    bench.measure(2_000, 0.6);
    bench.add(0, 0, "harmful");
    bench.add(1, 1, "harmless");
    bench.measure(4_000, 0.65);
    let record = bench.contention.record().encode();
    let mut successor = Bench::new(3);
    let record = ContentionRecord::decode(&record).expect("a valid record");
    successor.contention.restore(record);
    successor.measure(1_000, 0.65);
    assert!(!successor.may_start(2, "harmful"));
    assert!(successor.may_start(2, "harmless"));
    assert!(
        successor.may_start(1, "harmless"),
        "a known image is not tried on one worker at a time"
    );
}
