//! Choice of a worker for one task.

use std::collections::{BTreeMap, BTreeSet};

use super::contention::Contention;
use super::fleet::{Load, Worker};
use super::job::StepRun;
use super::{QueuePolicy, StepSpec};
use crate::types::{NodeName, Time};

/// Steps by which shares of the room for fillers are told apart.
const ROOM_STEPS: f64 = 5.0;

/// What a task asks of its worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wanted<'a> {
    pub(super) contention: &'a Contention,
    pub(super) policy: &'a QueuePolicy,
    pub(super) step: &'a StepSpec,
    pub(super) load: &'a Load,
    /// Worker on which the task failed last.
    pub(super) failed_on: Option<&'a NodeName>,
    /// Rack that the other tasks of the step run on.
    pub(super) shared_rack: Option<&'a str>,
}

/// How well a worker suits; higher is better, compared field by field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    healthy: bool,
    fresh: bool,
    near: bool,
    /// Room that neighbours leave for a filler, or how little a task that serves users
    /// takes from fillers.
    company: i64,
    free: i64,
}

/// Chooses a worker for one more task of `step`, of which `run` says what is where.
pub(super) fn choose<'a>(
    workers: &'a BTreeMap<NodeName, Worker>,
    wanted: &Wanted<'_>,
    run: &StepRun,
    now: Time,
) -> Option<&'a NodeName> {
    let suits = |(name, worker): &(&NodeName, &Worker)| {
        worker.takes_tasks(now)
            && worker.fits(wanted.load)
            && may_run(worker, wanted)
            && below_limit(name, wanted.step, run)
    };
    let suited = workers.iter().filter(suits);
    let fits = suited.filter_map(|(name, worker)| Some((fit(now, name, worker, wanted)?, name)));
    fits.max_by_key(|(fit, _)| *fit).map(|(_, name)| name)
}

/// How little room for fillers a task that serves takes away on the worker: least where
/// its image is there already, then where there are many others.
fn shared_images(worker: &Worker, load: &Load) -> i64 {
    let serving = worker.runs.values().filter(|run| run.target_ms > 0);
    let images: BTreeSet<&str> = serving.map(|run| &*run.image).collect();
    if images.contains(&*load.image) {
        return i64::MAX;
    }
    i64::try_from(images.len()).unwrap_or(i64::MAX)
}

/// Whether the settings and the step let `worker` run the task.
fn may_run(worker: &Worker, wanted: &Wanted<'_>) -> bool {
    let service = worker.report.as_ref().map(|report| &report.service);
    let label = wanted.step.required_label.as_deref();
    service == Some(&wanted.policy.service) && label.is_none_or(|label| worker.has_label(label))
}

/// Whether the worker `name` runs fewer tasks of the step than it may.
fn below_limit(name: &NodeName, step: &StepSpec, run: &StepRun) -> bool {
    if step.max_per_worker == 0 {
        return true;
    }
    let runs = run.tasks.iter().flat_map(|task| &task.runs);
    let there = runs.filter(|run| run.node == *name).count();
    there < step.max_per_worker as usize
}

fn fit(now: Time, name: &NodeName, worker: &Worker, wanted: &Wanted<'_>) -> Option<Fit> {
    let rack = wanted.step.preferred_rack.as_deref().or(wanted.shared_rack);
    let company = if wanted.load.filler {
        let taken = wanted
            .contention
            .taken_with(now, name, worker, wanted.load)?;
        -(taken * ROOM_STEPS).round() as i64
    } else if wanted.load.target_ms > 0 {
        shared_images(worker, wanted.load)
    } else {
        0
    };
    Some(Fit {
        healthy: !worker.failures.is_doubtful(),
        fresh: wanted.failed_on != Some(name),
        near: rack.is_none_or(|rack| worker.has_label(rack)),
        company,
        free: worker.idle_cpu(),
    })
}
