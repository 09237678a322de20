//! Selection of workers for the tasks of a step.
//!
//! The tasks of a step differ only in where they failed before, so the workers are scored
//! once for all of them. After that, a placement changes the scores of few workers: they
//! are checked when they are the best.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use super::contention::{Contention, LoadEffects};
use super::fleet::{Load, Worker};
use super::job::StepRun;
use super::waiting::WaitReason;
use super::{JobId, QueuePolicy, StepSpec, WorkerStanding};
use crate::types::{NodeName, Time};

/// Number of steps to which a used share of headroom is rounded, so that small differences
/// don't decide.
const HEADROOM_STEPS: f64 = 5.0;

/// A task to place, with all that restricts the choice of its worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementRequest<'a> {
    pub(super) contention: &'a Contention,
    pub(super) job: JobId,
    pub(super) policy: &'a QueuePolicy,
    pub(super) step: &'a StepSpec,
    pub(super) load: &'a Load,
    /// Effects of the load on services, for a best-effort load.
    pub(super) effects: Option<&'a LoadEffects>,
    /// Limit on the processors requested by best-effort runs of a worker, in percent of its
    /// own; none without one.
    pub(super) cpu_limit: Option<u32>,
    /// Worker on which the task last failed.
    pub(super) failed_on: Option<&'a NodeName>,
    /// Whether much work would be lost with a run of the task.
    pub(super) costly: bool,
    /// Whether its job has waited so long that the protection of other work, by headroom, limits or
    /// isolation, only decides between workers.
    pub(super) starving: bool,
    /// Whether it may start on quarantined workers, and on those of low standing.
    pub(super) quarantined: bool,
    /// Whether the task may have crashed a worker, and needs one without recent starts.
    pub(super) isolated: bool,
    /// Rack on which the other tasks of the step run, if all must share one.
    pub(super) shared_rack: Option<&'a str>,
}

/// Score of a worker; higher is better, compared field by field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Whether no task in isolation is exposed to others, or others to it.
    apart: bool,
    /// Whether no run has failed there since the last success.
    healthy: bool,
    /// Whether the task did not fail there last.
    untried: bool,
    /// For a task in isolation, the negated number of runs that would be lost with it.
    exposed: i64,
    /// Whether the worker is in the preferred rack.
    in_rack: bool,
    /// Whether the worker compares well with its peers, see [`standing_score`].
    standing: i8,
    /// Whether the limit on best-effort processors admits the task.
    within_limit: bool,
    /// For a best-effort task, the negated share of headroom in use with it; for a service
    /// task, see [`service_score`].
    headroom: i64,
    idle_cpu: i64,
}

/// Chooses the worker for one more task of a step; `run` holds the placed tasks of the step.
pub(super) fn choose_worker<'a>(
    workers: impl Iterator<Item = (&'a NodeName, &'a Worker)>,
    request: &PlacementRequest<'_>,
    run: &StepRun,
    now: Time,
) -> Option<&'a NodeName> {
    let scores = workers.filter_map(|(name, worker)| {
        Some((eligible_score(now, name, worker, request, run)?, name))
    });
    scores.max_by_key(|(score, _)| *score).map(|(_, name)| name)
}

/// A worker that may take a task of a step; the greatest is the best.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    score: Score,
    name: NodeName,
}

/// Workers that may take tasks of a step, ordered by their scores.
#[derive(Debug)]
pub(super) struct Candidates {
    heap: BinaryHeap<Candidate>,
}

impl Candidates {
    /// Scores `workers` for the tasks of a step.
    pub(super) fn new<'a>(
        workers: impl Iterator<Item = (&'a NodeName, &'a Worker)>,
        request: &PlacementRequest<'_>,
        run: &StepRun,
        now: Time,
    ) -> Self {
        let candidates = workers.filter_map(|(name, worker)| {
            let score = eligible_score(now, name, worker, request, run)?;
            let name = name.clone();
            Some(Candidate { score, name })
        });
        Self {
            heap: candidates.collect(),
        }
    }

    /// Chooses the best worker at present, which is no candidate any more until it is
    /// offered again.
    pub(super) fn choose(
        &mut self,
        workers: &BTreeMap<NodeName, Worker>,
        request: &PlacementRequest<'_>,
        run: &StepRun,
        now: Time,
    ) -> Option<NodeName> {
        while let Some(Candidate { score, name }) = self.heap.pop() {
            let worker = workers.get(&name)?;
            match eligible_score(now, &name, worker, request, run) {
                Some(current) if current == score => return Some(name),
                Some(current) => self.heap.push(Candidate {
                    score: current,
                    name,
                }),
                None => {}
            }
        }
        None
    }

    /// Makes the worker `name` a candidate again if it can take another task.
    pub(super) fn offer(
        &mut self,
        name: &NodeName,
        worker: &Worker,
        request: &PlacementRequest<'_>,
        run: &StepRun,
        now: Time,
    ) {
        if let Some(score) = eligible_score(now, name, worker, request, run) {
            let name = name.clone();
            self.heap.push(Candidate { score, name });
        }
    }
}

/// Score of a worker for one more task of a step; none if it can't take one.
fn eligible_score(
    now: Time,
    name: &NodeName,
    worker: &Worker,
    request: &PlacementRequest<'_>,
    run: &StepRun,
) -> Option<Score> {
    if !may_run(worker, request) || ineligible(now, name, worker, request, run).is_some() {
        return None;
    }
    score(now, name, worker, request).ok()
}

/// Why a worker of the pool can't take one more task of a step; none if it can.
pub(super) fn turned_away(
    now: Time,
    name: &NodeName,
    worker: &Worker,
    request: &PlacementRequest<'_>,
    run: &StepRun,
) -> Option<WaitReason> {
    ineligible(now, name, worker, request, run).or_else(|| score(now, name, worker, request).err())
}

/// Why a worker of the pool can't take a task, whatever services run there.
fn ineligible(
    now: Time,
    name: &NodeName,
    worker: &Worker,
    request: &PlacementRequest<'_>,
    run: &StepRun,
) -> Option<WaitReason> {
    if !worker.is_available() {
        return Some(unusable_reason(worker));
    }
    let is_quarantined = !request.quarantined && worker.failures.is_quarantined(now);
    if is_quarantined || worker.failures.is_paused(now) {
        return Some(WaitReason::Quarantined);
    }
    if !worker.fits(request.load) {
        return Some(WaitReason::Room);
    }
    if !request.starving && !is_within_limit(worker, request) {
        return Some(WaitReason::CpuLimit);
    }
    if !request.quarantined && !worker.health.admits(&worker.runs, request.costly) {
        return Some(WaitReason::Standing);
    }
    if !has_required_label(worker, request) {
        return Some(WaitReason::Label);
    }
    if !request.starving && !is_apart(now, worker, request) {
        return Some(WaitReason::Isolation);
    }
    (!below_limit(name, request.step, run)).then_some(WaitReason::PerWorker)
}

/// Whether no task in isolation would start or stay there beside tasks of other jobs.
fn is_apart(now: Time, worker: &Worker, request: &PlacementRequest<'_>) -> bool {
    worker.isolation.admit(now, request.job, request.isolated)
}

/// Whether a worker that accepts tasks could take one of the step: now, or `once_empty`.
pub(super) fn is_usable(
    now: Time,
    name: &NodeName,
    worker: &Worker,
    request: &PlacementRequest<'_>,
    run: &StepRun,
    once_empty: bool,
) -> bool {
    let has_room = || match &worker.report {
        Some(report) if once_empty => request.load.need.fits(&report.capacity),
        _ => worker.fits(request.load),
    };
    may_run(worker, request)
        && worker.accepts_tasks(now)
        && worker.health.admits(&worker.runs, request.costly)
        && has_required_label(worker, request)
        && below_limit(name, request.step, run)
        && has_room()
}

/// Why a worker can't run tasks.
fn unusable_reason(worker: &Worker) -> WaitReason {
    if worker.evacuated {
        WaitReason::Evacuated
    } else {
        WaitReason::Unavailable
    }
}

/// Score of how little headroom for best-effort tasks a service task takes on the worker:
/// best if a service task of its image runs there already, else higher with more images of
/// service tasks.
fn service_score(worker: &Worker, load: &Load) -> i64 {
    let services = worker.runs.values().filter(|run| run.target_ms > 0);
    let images: BTreeSet<&str> = services.map(|run| &*run.image).collect();
    if images.contains(&*load.image) {
        return i64::MAX;
    }
    i64::try_from(images.len()).unwrap_or(i64::MAX)
}

/// Whether the worker's best-effort runs stay within the limit on processors.
fn is_within_limit(worker: &Worker, request: &PlacementRequest<'_>) -> bool {
    let limit = request.cpu_limit.filter(|_| request.load.best_effort);
    limit.is_none_or(|percent| worker.is_within_limit(request.load, percent))
}

/// Whether `worker` is in the pool of the queue.
fn may_run(worker: &Worker, request: &PlacementRequest<'_>) -> bool {
    worker.is_in_pool(&request.policy.service)
}

fn has_required_label(worker: &Worker, request: &PlacementRequest<'_>) -> bool {
    let label = request.step.required_label.as_deref();
    label.is_none_or(|label| worker.has_label(label))
}

/// Whether the worker `name` runs fewer tasks of the step than its limit.
fn below_limit(name: &NodeName, step: &StepSpec, run: &StepRun) -> bool {
    if step.max_per_worker == 0 {
        return true;
    }
    let runs = run.tasks.iter().flat_map(|task| &task.runs);
    let placed = runs.filter(|run| run.node == *name).count();
    placed < step.max_per_worker as usize
}

fn score(
    now: Time,
    name: &NodeName,
    worker: &Worker,
    request: &PlacementRequest<'_>,
) -> Result<Score, WaitReason> {
    let rack = request
        .step
        .preferred_rack
        .as_deref()
        .or(request.shared_rack);
    let headroom = if let Some(effects) = request.effects {
        let used = if request.starving {
            request.contention.headroom_share(name, effects)
        } else {
            request.contention.headroom_used_with(now, name, effects)?
        };
        -(used * HEADROOM_STEPS).round() as i64
    } else if request.load.target_ms > 0 {
        service_score(worker, request.load)
    } else {
        0
    };
    Ok(Score {
        apart: is_apart(now, worker, request),
        healthy: !worker.failures.is_suspect(),
        untried: request.failed_on != Some(name),
        exposed: -exposed_runs(worker, request),
        in_rack: rack.is_none_or(|rack| worker.has_label(rack)),
        standing: standing_score(worker, request.load),
        within_limit: is_within_limit(worker, request),
        headroom,
        idle_cpu: worker.idle_cpu() - idle_cpu_penalty(worker, request.load),
    })
}

/// Number of runs that would be lost if a task in isolation crashed the worker.
fn exposed_runs(worker: &Worker, request: &PlacementRequest<'_>) -> i64 {
    if !request.isolated {
        return 0;
    }
    i64::try_from(worker.runs.len()).unwrap_or(i64::MAX)
}

/// Part of the capacity of a degraded worker, as a divisor, by which it counts as fuller for
/// best-effort tasks: it may be 1.25 times slower.
const DEGRADED_DIVISOR: u64 = 4;

/// Score of the standing of a worker. Best-effort tasks may request more processors than
/// there are; for them, a degraded worker only counts as fuller.
fn standing_score(worker: &Worker, load: &Load) -> i8 {
    match worker.health.standing() {
        WorkerStanding::Sound => 0,
        WorkerStanding::Degraded if load.best_effort => 0,
        WorkerStanding::Degraded | WorkerStanding::Flapping => -1,
        WorkerStanding::Probation => -2,
    }
}

/// Processors by which a degraded worker counts as fuller, in thousandths.
fn idle_cpu_penalty(worker: &Worker, load: &Load) -> i64 {
    if !load.best_effort || worker.health.standing() != WorkerStanding::Degraded {
        return 0;
    }
    let capacity = worker
        .report
        .as_ref()
        .map_or(0, |report| report.capacity.cpu.0);
    (capacity / DEGRADED_DIVISOR).cast_signed()
}
