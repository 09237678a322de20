//! Contention between best-effort and service tasks, learned from measurements.
//!
//! Slowdown is tail latency over target. The tail latency of a service task is modelled as
//! that of a queue: it depends on the utilization and grows without bound as this
//! approaches 1. [`UtilizationModel`] estimates the base utilization of each job and the
//! effect of best-effort tasks on it. The headroom of a worker is the utilization that
//! best-effort tasks may add before one of its service tasks comes near its target.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::fleet::{Load, Worker};
use super::job::MILLI;
use super::{JobId, RunStatus, TaskId};
use crate::interference::Occupant;
use crate::types::{NodeName, Time};

mod headroom;
mod record;
pub(super) mod utilization;

pub(super) use headroom::LoadEffects;
pub use record::ContentionRecord;

use headroom::Headroom;
use utilization::UtilizationModel;

/// Minimum utilization that a measurement counts as.
const MIN_UTILIZATION: f64 = 0.05;
/// Utilization above which the tail latency is modelled as proportional to the utilization.
const SATURATED_UTILIZATION: f64 = 0.97;
/// Maximum utilization that a measurement counts as.
const MAX_UTILIZATION: f64 = 1.5;
/// Assumed slowdown of a task at zero utilization before its first measurement.
const PRIOR_BEST_SLOWDOWN: f64 = 0.25;
/// Estimated slowdown at zero utilization, as a share of the least measured one.
const BEST_SHARE: f64 = 0.76;
/// Slowdown of service tasks up to which best-effort tasks may run.
const TARGET_SLOWDOWN: f64 = 0.8;
/// Standard deviation at and above which an effect counts as unknown.
const MIN_UNKNOWN_DEVIATION: f64 = 0.09;
/// Duration for which a pair with an unknown effect is tried on one worker only.
const TRIAL_DURATION: Duration = Duration::from_millis(800);
/// Upper bound of the excess of a task's utilization over the model.
const MAX_EXCESS: f64 = 0.4;
/// Minimum processors in use by best-effort tasks to attribute an excess to them.
const MIN_BEST_EFFORT_CORES: f64 = 0.1;
/// Progress of a service task that has started up, in percent.
const STARTED_UP_PERCENT: u32 = 100;

/// Trial of a pair with an unknown effect.
#[derive(Debug, Clone)]
struct Trial {
    node: NodeName,
    started: Time,
}

/// Image of a service task, and image of a best-effort task.
type Pair = (Arc<str>, Arc<str>);

/// Learned state of the contention model.
#[derive(Debug, Default)]
pub(super) struct Contention {
    model: UtilizationModel,
    trials: HashMap<Pair, Trial>,
    /// Estimated slowdown at zero utilization of each service image.
    best_slowdowns: HashMap<Arc<str>, f64>,
    /// Excess of each service task over the model while best-effort tasks run beside it.
    excesses: HashMap<TaskId, Excess>,
    /// For each worker, the headroom beside each image of service tasks there.
    headrooms: HashMap<NodeName, Vec<Headroom>>,
}

/// Excess of a task's utilization over the model in its last two measurements.
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    last: f64,
    previous: f64,
}

impl Excess {
    /// The lower one of both, as a single measurement may be far too high.
    fn sustained(self) -> f64 {
        self.last.min(self.previous).clamp(0.0, MAX_EXCESS)
    }
}

/// Measurements of the service tasks of one job on a worker.
#[derive(Debug)]
struct JobSlowdowns {
    image: Arc<str>,
    /// Slowdown of each task.
    slowdowns: Vec<(TaskId, f64)>,
}

impl Contention {
    /// Updates the model with the measurements of the runs on a worker.
    pub(super) fn update(
        &mut self,
        now: Time,
        node: &NodeName,
        worker: &Worker,
        gauges: &[RunStatus],
    ) {
        let best_effort = best_effort_usage(worker, gauges);
        for (job, mut measured) in service_slowdowns(worker, gauges) {
            let slowdown = low_median(&mut measured.slowdowns);
            let best = self
                .best_slowdowns
                .entry(measured.image.clone())
                .or_insert(PRIOR_BEST_SLOWDOWN);
            *best = best.min(slowdown * BEST_SHARE);
            let best = *best;
            let of_job = utilization(slowdown, best).max(MIN_UTILIZATION);
            let job_excess = self
                .model
                .update(now, &measured.image, job, of_job, &best_effort);
            for (task, slowdown) in measured.slowdowns {
                let excess = job_excess + utilization(slowdown, best) - of_job;
                self.record_excess(task, excess, &best_effort);
            }
        }
        self.update_headrooms(node, worker);
    }

    fn record_excess(&mut self, task: TaskId, measured: f64, best_effort: &[Occupant]) {
        let cores: f64 = best_effort.iter().map(|occupant| occupant.cores).sum();
        let excess = self.excesses.entry(task).or_default();
        excess.previous = excess.last;
        excess.last = if cores < MIN_BEST_EFFORT_CORES {
            0.0
        } else {
            measured
        };
    }

    /// Starts trials of `load`, a best-effort task that starts on `worker`, beside the services
    /// on which its effect is unknown.
    pub(super) fn start_trials(
        &mut self,
        now: Time,
        node: &NodeName,
        worker: &Worker,
        load: &Load,
    ) {
        self.trials
            .retain(|_, trial| now.since(trial.started) < TRIAL_DURATION);
        for neighbour in worker.runs.values().filter(|run| run.target_ms > 0) {
            if self.is_unknown(&neighbour.image, &load.image) {
                let pair = (neighbour.image.clone(), load.image.clone());
                let node = node.clone();
                self.trials
                    .entry(pair)
                    .or_insert(Trial { node, started: now });
            }
        }
    }

    /// Drops the state of ended jobs.
    pub(super) fn retain_jobs(&mut self, is_open: impl Fn(&JobId) -> bool) {
        self.excesses.retain(|task, _| is_open(&task.job));
        self.model.retain_jobs(is_open);
    }

    fn is_unknown(&self, image: &str, best_effort: &str) -> bool {
        self.model.effect(image, best_effort).uncertainty >= MIN_UNKNOWN_DEVIATION
    }
}

/// Utilization at which a queue has the given slowdown, if it has `best` at zero utilization.
fn utilization(slowdown: f64, best: f64) -> f64 {
    let by_queue = 1.0 - best / slowdown;
    if by_queue < SATURATED_UTILIZATION {
        return by_queue;
    }
    let saturated = best / (1.0 - SATURATED_UTILIZATION);
    (SATURATED_UTILIZATION * slowdown / saturated).min(MAX_UTILIZATION)
}

/// Processors in use by the best-effort runs of a worker, by image.
fn best_effort_usage(worker: &Worker, gauges: &[RunStatus]) -> Vec<Occupant> {
    let mut cores: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
    for gauge in gauges {
        let load = worker.runs.get(&gauge.run);
        if let Some(load) = load.filter(|load| load.best_effort) {
            *cores.entry(&load.image).or_default() += gauge.measurement as f64 / MILLI;
        }
    }
    let occupant = |(class, cores): (&Arc<str>, f64)| Occupant {
        class: class.clone(),
        cores,
    };
    cores.into_iter().map(occupant).collect()
}

/// Slowdowns of the service tasks on a worker that have started up, by job.
fn service_slowdowns(worker: &Worker, gauges: &[RunStatus]) -> BTreeMap<JobId, JobSlowdowns> {
    let mut jobs: BTreeMap<JobId, JobSlowdowns> = BTreeMap::new();
    for gauge in gauges {
        let Some(load) = worker.runs.get(&gauge.run) else {
            continue;
        };
        if load.target_ms == 0 || gauge.percent < STARTED_UP_PERCENT || gauge.measurement == 0 {
            continue;
        }
        let measured = jobs
            .entry(gauge.run.task.job)
            .or_insert_with(|| JobSlowdowns {
                image: load.image.clone(),
                slowdowns: Vec::new(),
            });
        let slowdown = gauge.measurement as f64 / load.target_ms as f64;
        measured.slowdowns.push((gauge.run.task, slowdown));
    }
    jobs
}

/// Lower median of `slowdowns`, as single measurements may be far too high.
fn low_median(slowdowns: &mut [(TaskId, f64)]) -> f64 {
    slowdowns.sort_by(|a, b| a.1.total_cmp(&b.1));
    slowdowns[(slowdowns.len() - 1) / 2].1
}
