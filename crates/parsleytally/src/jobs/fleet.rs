//! State of each worker: its last report, the runs placed on it and its failures.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::failures::Failures;
use super::isolation::Isolation;
use super::measured::RunTimeline;
use super::standing::WorkerHealth;
use super::{JobId, RunRef, TaskId};
use crate::types::{NodeName, Resources, Time, ZoneName};

/// One incarnation of a worker: each start of its process is a new one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Name of the worker; a restart may keep it.
    pub id: Arc<str>,
    /// Unix time at which this incarnation started, in milliseconds.
    pub started_ms: u64,
}

/// Whether a worker accepts new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It accepts new tasks.
    Ready,
    /// It shuts down soon, and keeps its runs going until then.
    Draining {
        /// Minimum time until it shuts down, in milliseconds.
        remaining_ms: u64,
    },
}

/// Description of a worker, as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Its incarnation.
    pub incarnation: WorkerIncarnation,
    /// Pool to which it belongs.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it accepts new tasks.
    pub state: WorkerState,
    /// Its total resources.
    pub capacity: Resources,
    /// Labels that steps may require.
    pub labels: Vec<Arc<str>>,
    /// Rack in which it is mounted.
    pub rack: Option<Arc<str>>,
}

/// CPU share of a run that is not throttled, in percent.
pub(super) const FULL_CPU_SHARE: u32 = 100;

/// Load of one run on its worker.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Load {
    pub(super) need: Resources,
    /// Whether it uses only processors that other runs leave idle.
    pub(super) best_effort: bool,
    /// Target of its tail latency, in milliseconds; 0 if it has none.
    pub(super) target_ms: u64,
    /// Image of its task; runs of one image behave alike.
    pub(super) image: Arc<str>,
    /// CPU share, in percent; `None` if a previous owner set it.
    pub(super) cpu_share: Option<u32>,
    /// Since when the CPU share that the headroom permits is too low; none if it suffices.
    pub(super) low_since: Option<Time>,
    /// Processors that it uses when not throttled.
    pub(super) cores: f64,
    /// Progress at its last measurement, in percent.
    pub(super) progress_percent: u32,
    /// When its progress was last measured; `None` before the first measurement by this owner.
    pub(super) measured_at: Option<Time>,
    /// Time worked so far; `None` if the start of its work is not known.
    pub(super) work_time: Option<WorkTime>,
    /// Whether its worker has listed it to this owner, so that the agent has its order.
    pub(super) listed: bool,
    pub(super) timeline: RunTimeline,
}

/// Time that a run has worked, scaled to full speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct WorkTime {
    total: Duration,
    /// Time up to which `total` counts.
    updated: Time,
}

impl WorkTime {
    /// Work time of a run that starts at `now`.
    pub(super) fn starting_at(now: Time) -> Self {
        Self {
            total: Duration::ZERO,
            updated: now,
        }
    }
}

impl Load {
    /// Whether it may slow down other runs on its worker, or be slowed down by them.
    pub(super) fn shares_processors(&self) -> bool {
        self.best_effort || self.target_ms > 0
    }

    /// Fraction of its full speed; an unknown CPU share counts as the full one.
    pub(super) fn speed(&self) -> f64 {
        f64::from(self.cpu_share.unwrap_or(FULL_CPU_SHARE)) / f64::from(FULL_CPU_SHARE)
    }

    /// Sets the CPU share, and adds the work done at the old share.
    pub(super) fn set_cpu_share(&mut self, now: Time, percent: u32) {
        let speed = self.speed();
        if let Some(work_time) = &mut self.work_time {
            work_time.total += now.since(work_time.updated).mul_f64(speed);
            work_time.updated = now;
        }
        self.timeline.change_share(now, speed);
        self.cpu_share = Some(percent);
    }

    /// Time worked by `now`, scaled to full speed.
    pub(super) fn work_time_at(&self, now: Time) -> Option<Duration> {
        let work_time = self.work_time?;
        Some(work_time.total + now.since(work_time.updated).mul_f64(self.speed()))
    }
}

/// An ended run that is not acknowledged to its worker yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingAck {
    /// Number of the ended run in this incarnation of the worker.
    pub(super) number: u64,
    /// The job, and the version of its record that includes the ended run.
    pub(super) saved_by: Option<(JobId, u64)>,
    /// Further runs of a task that is done, with their agents. The start of one may still be on
    /// its way, and must not be carried out once the end is acknowledged.
    pub(super) unsettled: Vec<(NodeName, RunRef)>,
    /// The task, if the run has completed its work: a run of the predecessor may be on its way too.
    pub(super) done: Option<TaskId>,
}

/// A crash of a worker that is acknowledged to its agent once the store has it.
#[derive(Debug)]
pub(super) struct PendingCrash {
    /// The incarnation that crashed.
    pub(super) incarnation: WorkerIncarnation,
    /// Jobs with marks of the crash, each with the version of the record that includes it.
    pub(super) saved_by: Vec<(JobId, u64)>,
}

/// A worker and the link to its agent.
#[derive(Debug, Default)]
pub(super) struct Worker {
    pub(super) report: Option<WorkerReport>,
    /// Whether its agent is linked to this owner.
    pub(super) linked: bool,
    /// Whether the agent has listed the runs of the present incarnation.
    pub(super) listed: bool,
    /// Whether the agent has listed the runs on its present link, so that this owner keeps them
    /// alive.
    pub(super) known: bool,
    /// Whether operators have requested to evacuate its availability zone.
    pub(super) evacuated: bool,
    /// Whether it has stopped answering its agent.
    pub(super) unresponsive: bool,
    /// For an agent without a listing on its link, the time by which its hold has passed.
    pub(super) runs_expire_at: Option<Time>,
    /// For a worker that shuts down, the time by which its last lease has expired.
    pub(super) last_lease_end: Option<Time>,
    /// Runs that occupy resources there.
    pub(super) runs: BTreeMap<RunRef, Load>,
    /// Sum of the needs of its runs, without the processors of best-effort runs.
    pub(super) reserved: Resources,
    /// Processors requested by best-effort runs, in thousandths.
    pub(super) best_effort_cpu: u64,
    /// Processors reserved by service tasks, in thousandths.
    pub(super) service_cpu: u64,
    /// Number of runs of service tasks.
    pub(super) service_runs: usize,
    /// Ended runs that are not acknowledged yet, in order of their numbers.
    pub(super) pending_acks: VecDeque<PendingAck>,
    /// Further runs that an end still awaits when the worker lists it again, by its number.
    pub(super) awaited_runs: BTreeMap<u64, Vec<(NodeName, RunRef)>>,
    /// Highest number of an ended run that was processed.
    pub(super) last_ended: u64,
    /// When it last stopped answering its agent.
    pub(super) silent_at: Option<Time>,
    /// Jobs whose runs it lost in its last crash.
    pub(super) lost_jobs: BTreeSet<JobId>,
    /// Crashes whose marks the store may not have yet.
    pub(super) pending_crashes: Vec<PendingCrash>,
    pub(super) isolation: Isolation,
    pub(super) failures: Failures,
    /// What is learned of it relative to its peers; outlives an incarnation.
    pub(super) health: WorkerHealth,
}

impl Worker {
    /// Reserves the resources of a run.
    pub(super) fn reserve(&mut self, run: RunRef, load: &Load) {
        if self.runs.insert(run, load.clone()).is_none() {
            self.adjust_reserved(load, 1);
        }
    }

    /// Releases the resources of a run.
    pub(super) fn release(&mut self, run: RunRef) -> Option<Load> {
        let load = self.runs.remove(&run)?;
        self.isolation.end(run);
        self.adjust_reserved(&load, -1);
        Some(load)
    }

    /// Runs that were ordered on the present link and whose orders the agent may not have yet.
    pub(super) fn unlisted_runs(&self) -> usize {
        if !self.listed {
            // No order is sent before the agent lists the runs, and it ignores earlier links.
            return 0;
        }
        self.runs.values().filter(|load| !load.listed).count()
    }

    fn adjust_reserved(&mut self, load: &Load, sign: i64) {
        let add = |sum: u64, part: u64| sum.saturating_add_signed(sign * part.cast_signed());
        if load.best_effort {
            self.best_effort_cpu = add(self.best_effort_cpu, load.need.cpu.0);
        } else {
            self.reserved.cpu.0 = add(self.reserved.cpu.0, load.need.cpu.0);
        }
        self.reserved.memory.0 = add(self.reserved.memory.0, load.need.memory.0);
        let accelerators = add(
            self.reserved.accelerators.into(),
            load.need.accelerators.into(),
        );
        self.reserved.accelerators = u32::try_from(accelerators).unwrap_or(u32::MAX);
        if load.target_ms > 0 {
            self.service_cpu = add(self.service_cpu, load.need.cpu.0);
            self.service_runs = self.service_runs.saturating_add_signed(sign as isize);
        }
    }

    /// For an agent without a listing on its link, when all its runs have certainly ended.
    pub(super) fn runs_end(&self) -> Option<Time> {
        let hold_end = self.runs_expire_at?;
        Some(
            self.last_lease_end
                .map_or(hold_end, |end| end.min(hold_end)),
        )
    }

    /// Whether runs may go on there: its agent has listed them on its link, and neither the leases nor the
    /// hold of the agent have passed since.
    pub(super) fn may_have_runs(&self) -> bool {
        (self.linked && self.listed) || self.runs_expire_at.is_some()
    }

    /// Whether its runs are known to go on: its agent has listed them and reaches it.
    pub(super) fn is_reached(&self) -> bool {
        self.linked && self.listed && !self.unresponsive
    }

    /// Whether a run can be started there now.
    pub(super) fn accepts_tasks(&self, now: Time) -> bool {
        self.is_available() && !self.failures.is_quarantined(now) && !self.failures.is_paused(now)
    }

    /// Whether its failures or outages keep some runs from it.
    pub(super) fn is_restricted(&self, now: Time) -> bool {
        self.failures.is_quarantined(now) || self.health.is_restricted()
    }

    /// Whether it can run tasks, be it quarantined or not.
    pub(super) fn is_available(&self) -> bool {
        self.is_reached() && !self.evacuated && self.state() == Some(WorkerState::Ready)
    }

    /// Free resources; none if more is reserved than the worker has.
    pub(super) fn free(&self) -> Resources {
        let Some(report) = &self.report else {
            return Resources::NONE;
        };
        report
            .capacity
            .checked_sub(&self.reserved)
            .unwrap_or(Resources::NONE)
    }

    /// Whether its runs need more than it has.
    pub(super) fn is_overcommitted(&self) -> bool {
        let capacity = self.report.as_ref().map(|report| report.capacity);
        capacity.is_some_and(|capacity| !self.reserved.fits(&capacity))
    }

    /// Free processors less those of best-effort runs, in thousandths; negative if these
    /// runs request more than is free.
    pub(super) fn idle_cpu(&self) -> i64 {
        self.free().cpu.0.cast_signed() - self.best_effort_cpu.cast_signed()
    }

    /// Whether `load` fits into the free resources; a best-effort run needs no free processors.
    pub(super) fn fits(&self, load: &Load) -> bool {
        let free = self.free();
        if !load.best_effort {
            return load.need.fits(&free);
        }
        let mut need = load.need;
        need.cpu.0 = 0;
        need.fits(&free)
    }

    /// Whether the processors requested by `load`, a best-effort run, and by the other runs
    /// stay within `percent` of those of the worker; an only best-effort run always does.
    ///
    /// Reservations of services don't count: services leave most of them unused.
    pub(super) fn is_within_limit(&self, load: &Load, percent: u32) -> bool {
        if self.best_effort_cpu == 0 {
            return true;
        }
        let capacity = self
            .report
            .as_ref()
            .map_or(0, |report| report.capacity.cpu.0);
        let batch = self.reserved.cpu.0.saturating_sub(self.service_cpu);
        let requested = batch + self.best_effort_cpu + load.need.cpu.0;
        requested * 100 <= capacity * u64::from(percent)
    }

    /// Whether it belongs to the pool of this name.
    pub(super) fn is_in_pool(&self, pool: &str) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| *report.service == *pool)
    }

    pub(super) fn rack(&self) -> Option<&Arc<str>> {
        self.report.as_ref()?.rack.as_ref()
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.labels.iter().any(|own| **own == *label))
    }

    /// State in its last report.
    pub(super) fn state(&self) -> Option<WorkerState> {
        self.report.as_ref().map(|report| report.state)
    }

    pub(super) fn is_draining(&self) -> bool {
        matches!(self.state(), Some(WorkerState::Draining { .. }))
    }

    /// Incarnation of its last report.
    pub(super) fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.report.as_ref().map(|report| &report.incarnation)
    }

    pub(super) fn is_incarnation(&self, incarnation: &WorkerIncarnation) -> bool {
        self.incarnation() == Some(incarnation)
    }

    /// Takes all unacknowledged ended runs that the worker lists again: acknowledgements may
    /// have been lost.
    pub(super) fn expect_all_ends(&mut self) {
        let held = self.pending_acks.drain(..);
        let held = held.filter(|ack| !ack.unsettled.is_empty());
        let awaited = held.map(|ack| (ack.number, ack.unsettled));
        self.awaited_runs.extend(awaited);
        self.last_ended = 0;
    }

    /// Drops the runs and failures; keeps the report, the link and the pending acknowledgements of ends,
    /// which the agent reports once.
    pub(super) fn reset(&mut self) {
        self.runs.clear();
        self.isolation = Isolation::default();
        self.reserved = Resources::NONE;
        self.best_effort_cpu = 0;
        self.service_cpu = 0;
        self.service_runs = 0;
        self.listed = false;
        self.unresponsive = false;
        self.last_lease_end = None;
        self.failures = Failures::default();
    }
}
