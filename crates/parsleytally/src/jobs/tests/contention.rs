//! Fillers beside tasks that serve users, against a model of their queues.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::contention::Contention;
use super::super::contention::pressure::Pressure;
use super::super::fleet::{Load, Worker};
use super::*;
use crate::interference::Occupant;
use crate::types::Time;

/// Best tail latency of the modelled tasks, in milliseconds.
const BEST_MS: f64 = 25.0;
const TARGET_MS: u64 = 150;

/// Workers with tasks that serve, and fillers of a harmful and a harmless image.
struct Bench {
    contention: Contention,
    workers: BTreeMap<NodeName, Worker>,
    now: Time,
}

/// A task that serves: the job and the index within it.
fn serving(job: u64, index: usize) -> RunRef {
    run(100 + job, 0, index as u32, 1)
}

fn load(image: &str, target_ms: u64) -> Load {
    Load {
        need: need(1_800, 100),
        filler: target_ms == 0,
        target_ms,
        image: image.into(),
        pace: Some(100),
        cores: 1.8,
        percent: 0,
        worked: None,
    }
}

/// What one processor adds to the utilization of the neighbours.
fn effect(image: &str) -> f64 {
    if image == "harmful" { 0.15 } else { 0.005 }
}

impl Bench {
    /// Workers with one task each, of as many jobs.
    fn new(workers: usize) -> Self {
        let mut bench = Self::empty(workers);
        for at in 0..workers {
            bench.serve(at, serving(at as u64, 0));
        }
        bench
    }

    /// Workers with `tasks` tasks each, all of one job.
    fn one_job(workers: usize, tasks: usize) -> Self {
        let mut bench = Self::empty(workers);
        for index in 0..workers * tasks {
            bench.serve(index / tasks, serving(0, index));
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
        worker.take(run, &load("service", TARGET_MS));
    }

    fn add(&mut self, at: usize, index: u32, image: &str) {
        let worker = self.workers.get_mut(&node(at)).expect("a worker");
        worker.take(run(1, 0, index, 1), &load(image, 0));
        self.contention.occupied(&node(at), worker);
    }

    /// Tail latency of the tasks that serve on worker `at`, in milliseconds, at their own
    /// utilization `alone`.
    fn tail_ms(&self, at: usize, alone: f64) -> f64 {
        let runs = self.workers[&node(at)].runs.values();
        let added = |load: &Load| effect(&load.image) * load.cores * load.speed();
        let utilization = alone + runs.filter(|run| run.filler).map(added).sum::<f64>();
        BEST_MS / (1.0 - utilization.min(0.985))
    }

    /// Measures all workers for `millis`, with paces carried out; returns the last tail
    /// latencies over target.
    fn measure(&mut self, millis: u64, alone: f64) -> Vec<f64> {
        let mut strains = Vec::new();
        for _ in 0..millis / 500 {
            self.now = self.now.after(Duration::from_millis(500));
            let tails: Vec<f64> = (0..self.workers.len())
                .map(|at| self.tail_ms(at, alone))
                .collect();
            for (at, tail) in tails.iter().enumerate() {
                let gauges = self.gauges(at, *tail);
                self.measured(at, &gauges);
            }
            strains = tails.iter().map(|tail| tail / TARGET_MS as f64).collect();
        }
        strains
    }

    /// What worker `at` shows at this tail latency of its tasks that serve.
    fn gauges(&self, at: usize, tail_ms: f64) -> Vec<RunStatus> {
        let runs = self.workers[&node(at)].runs.iter();
        let gauge = |(run, load): (&RunRef, &Load)| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: if load.filler { 50 } else { 100 },
            measurement: if load.filler {
                (load.cores * load.speed() * 1_000.0) as u64
            } else {
                tail_ms as u64
            },
        };
        runs.map(gauge).collect()
    }

    fn measured(&mut self, at: usize, gauges: &[RunStatus]) {
        let worker = self.workers.get_mut(&node(at)).expect("a worker");
        self.contention
            .measured(self.now, &node(at), worker, gauges);
        for (run, percent) in self.contention.paces(&node(at), worker) {
            worker.runs.get_mut(&run).expect("a run").pace = Some(percent);
        }
        self.contention.occupied(&node(at), worker);
    }

    fn pace(&self, at: usize, index: u32) -> u32 {
        self.workers[&node(at)].runs[&run(1, 0, index, 1)]
            .pace
            .unwrap_or(100)
    }

    fn may_start(&self, at: usize, image: &str) -> bool {
        let worker = &self.workers[&node(at)];
        let taken = self
            .contention
            .taken_with(self.now, &node(at), worker, &load(image, 0));
        taken.is_some()
    }
}

/// Pattern: fillers of an image that holds up a service, beside ones that do not.
#[test]
fn harmful_fillers_are_slowed_and_harmless_ones_are_not() {
    let mut bench = Bench::new(4);
    bench.measure(2_000, 0.5);
    for at in 0..2 {
        bench.add(at, 2 * at as u32, "harmful");
        bench.add(at, 2 * at as u32 + 1, "harmless");
    }
    bench.add(2, 4, "harmless");
    let strains = bench.measure(6_000, 0.6);
    assert!(strains.iter().all(|strain| *strain < 1.0), "{strains:?}");
    assert!(bench.pace(0, 0) < 100, "harmful at {}", bench.pace(0, 0));
    assert_eq!(bench.pace(2, 4), 100, "harmless");
}

/// What was learned on one worker holds for the others.
#[test]
fn what_harms_on_one_worker_is_not_started_on_another() {
    let mut bench = Bench::new(3);
    bench.measure(2_000, 0.6);
    bench.add(0, 0, "harmful");
    bench.add(1, 1, "harmless");
    bench.measure(4_000, 0.65);
    assert!(!bench.may_start(2, "harmful"));
    assert!(bench.may_start(2, "harmless"));
}

/// Pattern: a burst of fillers of which nothing is known.
#[test]
fn an_unknown_pair_is_tried_on_one_worker_first() {
    let mut bench = Bench::new(2);
    bench.measure(2_000, 0.4);
    assert!(bench.may_start(0, "new"));
    let worker = &bench.workers[&node(0)];
    bench
        .contention
        .started(bench.now, &node(0), worker, &load("new", 0));
    assert!(bench.may_start(0, "new"), "beside the first");
    assert!(!bench.may_start(1, "new"), "elsewhere");
}

/// Pattern: the users of a service come in waves, on all of its workers at once.
#[test]
fn a_wave_of_load_is_not_put_down_to_the_fillers_beside_it() {
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
    assert!((0..6).all(|index| bench.pace(0, index) == 100));
}

/// Single tasks showed half as much again now and then, and all fillers were slowed.
#[test]
fn one_wild_measurement_among_the_tasks_of_a_job_slows_nothing() {
    let mut bench = Bench::one_job(1, 3);
    bench.measure(2_000, 0.48);
    bench.add(0, 0, "harmful");
    bench.measure(2_000, 0.48);
    let tail = bench.tail_ms(0, 0.48);
    let mut gauges = bench.gauges(0, tail);
    let wild = gauges.iter_mut().find(|gauge| gauge.run == serving(0, 1));
    wild.expect("a task").measurement *= 4;
    bench.measured(0, &gauges);
    assert_eq!(bench.pace(0, 0), 100);
}

/// Pattern: a large fleet, on which hundreds of jobs of one image serve.
#[test]
fn filters_stay_small_however_many_jobs_share_an_image() {
    const JOBS: u64 = 300;
    let mut pressure = Pressure::default();
    let image: Arc<str> = "service".into();
    for round in 0..3 {
        let now = Time::from_secs(round);
        for job in 0..JOBS {
            let load = 0.2 + 0.5 * (job % 2) as f64;
            pressure.learn(now, &image, JobId(job), load, &[]);
        }
    }
    assert!(
        pressure.largest() < 100,
        "{} coefficients",
        pressure.largest()
    );
    assert!((pressure.load("service", JobId(JOBS - 1)) - 0.7).abs() < 0.05);
    pressure.retain_jobs(|job| job.0 < 10);
    for job in JOBS..2 * JOBS {
        pressure.learn(Time::from_secs(4), &image, JobId(job), 0.4, &[]);
    }
    assert!(
        pressure.largest() < 100,
        "{} coefficients",
        pressure.largest()
    );
}

/// Images of fillers come and go; those that are seen last are known.
#[test]
fn new_images_of_fillers_are_learned_however_many_came_before() {
    let mut pressure = Pressure::default();
    let service: Arc<str> = "service".into();
    for number in 0..100_u64 {
        let now = Time::from_secs(4 * number);
        let filler = Occupant {
            class: format!("filler-{number}").into(),
            cores: 2.0,
        };
        pressure.learn(now, &service, JobId(1), 0.4, &[]);
        for half in 1..6 {
            let at = now.after(Duration::from_millis(500 * half));
            pressure.learn(at, &service, JobId(1), 0.4, &[]);
            pressure.learn(at, &service, JobId(1), 0.8, std::slice::from_ref(&filler));
        }
    }
    let effect = pressure.effect("service", "filler-99").mean;
    assert!((0.15..0.25).contains(&effect), "{effect} a processor");
    assert!(
        pressure.largest() < 100,
        "{} coefficients",
        pressure.largest()
    );
}
