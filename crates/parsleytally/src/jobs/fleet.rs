//! What is known of each worker, and what was given out there.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{JobId, RunRef};
use crate::types::{Resources, Time, ZoneName};

/// One incarnation of a worker: each start of its process is a new one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Name of the worker; a restart may keep it.
    pub id: Arc<str>,
    /// Unix time at which this incarnation started, in milliseconds.
    pub started_ms: u64,
}

/// Whether a worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It leaves, and runs what it has for at least this time, in milliseconds.
    Draining {
        /// The time left.
        remaining_ms: u64,
    },
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Its incarnation.
    pub incarnation: WorkerIncarnation,
    /// Pool that it belongs to.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes new tasks.
    pub state: WorkerState,
    /// What it has.
    pub capacity: Resources,
    /// Labels that steps may require.
    pub labels: Vec<Arc<str>>,
    /// Rack that it stands in.
    pub rack: Option<Arc<str>>,
}

/// Pace of a run that is not slowed, in percent.
pub(super) const FULL_PACE: u32 = 100;

/// What one run takes from its worker.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Load {
    pub(super) need: Resources,
    /// Whether it only uses processors that others leave idle.
    pub(super) filler: bool,
    /// Bound of its tail latency, in milliseconds; 0 is none.
    pub(super) target_ms: u64,
    /// Name of what it runs.
    pub(super) image: Arc<str>,
    /// Share of its speed that it was given, in percent; none where a predecessor gave it.
    pub(super) pace: Option<u32>,
    /// Processors that it uses at full pace.
    pub(super) cores: f64,
    /// Share of its work that was done when last seen, in percent.
    pub(super) percent: u32,
    /// Time that it has worked; none of a run whose beginning is not known.
    pub(super) worked: Option<Worked>,
}

/// Time that a run has worked, as at full pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Worked {
    sum: Duration,
    /// Up to when it is counted.
    until: Time,
}

impl Worked {
    /// A run that begins.
    pub(super) fn from(now: Time) -> Self {
        Self {
            sum: Duration::ZERO,
            until: now,
        }
    }
}

impl Load {
    /// Share of its speed that it is taken to have.
    pub(super) fn speed(&self) -> f64 {
        f64::from(self.pace.unwrap_or(FULL_PACE)) / f64::from(FULL_PACE)
    }

    /// Gives it another pace.
    pub(super) fn set_pace(&mut self, now: Time, percent: u32) {
        let speed = self.speed();
        if let Some(worked) = &mut self.worked {
            worked.sum += now.since(worked.until).mul_f64(speed);
            worked.until = now;
        }
        self.pace = Some(percent);
    }

    /// Time that it has worked by `now`.
    pub(super) fn worked_by(&self, now: Time) -> Option<Duration> {
        let worked = self.worked?;
        Some(worked.sum + now.since(worked.until).mul_f64(self.speed()))
    }
}

/// An end that its worker still lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingEnd {
    pub(super) number: u64,
    /// The job and the version of its record that holds the end.
    pub(super) saved_by: Option<(JobId, u64)>,
}

/// Failures of a worker that no success has followed.
#[derive(Debug, Clone, Default)]
pub(super) struct Failures {
    /// Jobs whose tasks failed last, without repeats.
    jobs: Vec<JobId>,
    /// Until when nothing is started there.
    pub(super) avoided: Option<Time>,
    /// Times in a row that the worker was set aside.
    rounds: u32,
}

/// Different jobs that must fail on a worker before it is set aside.
const SICK_JOBS: usize = 3;
/// Time for which a worker is set aside first, in milliseconds; it doubles.
const AVOID_MS: u64 = 2_000;
/// Most doublings of that time.
const AVOID_DOUBLINGS: u32 = 3;
/// Time for which a worker that turned a start away gets no other.
const TURNED_AWAY: Duration = Duration::from_millis(400);

impl Failures {
    pub(super) fn failed(&mut self, now: Time, job: JobId) {
        if !self.jobs.contains(&job) {
            self.jobs.push(job);
        }
        if self.jobs.len() < SICK_JOBS {
            return;
        }
        let span = AVOID_MS << self.rounds.min(AVOID_DOUBLINGS);
        self.avoided = Some(now.after(Duration::from_millis(span)));
        self.rounds += 1;
        // One more failure after the pause sets it aside again.
        self.jobs.truncate(SICK_JOBS - 1);
    }

    pub(super) fn succeeded(&mut self) {
        *self = Self::default();
    }

    pub(super) fn is_avoided(&self, now: Time) -> bool {
        self.avoided.is_some_and(|until| now < until)
    }

    /// Starts nothing there for a while, after it turned a start away.
    pub(super) fn turned_away(&mut self, now: Time) {
        let until = now.after(TURNED_AWAY);
        self.avoided = Some(self.avoided.map_or(until, |at| at.max(until)));
    }

    /// Whether the worker has failed without a success since.
    pub(super) fn is_doubtful(&self) -> bool {
        !self.jobs.is_empty()
    }
}

/// A worker and its agent.
#[derive(Debug, Default)]
pub(super) struct Worker {
    pub(super) report: Option<WorkerReport>,
    /// Whether an agent is linked.
    pub(super) linked: bool,
    /// Whether all that runs there is known.
    pub(super) listed: bool,
    /// Whether it has ceased to answer its agent.
    pub(super) silent: bool,
    /// When runs of a lost agent have ended for certain.
    pub(super) expires: Option<Time>,
    /// Runs that take room there.
    pub(super) runs: BTreeMap<RunRef, Load>,
    /// Sum of the needs, fillers' processors left out.
    pub(super) used: Resources,
    /// Processors that fillers would use, in thousandths.
    pub(super) fillers: u64,
    /// Number of runs that serve users.
    pub(super) serving: usize,
    /// Ends that are not acknowledged yet.
    pub(super) ends: VecDeque<PendingEnd>,
    /// Highest number of an end taken in.
    pub(super) seen: u64,
    pub(super) failures: Failures,
}

impl Worker {
    /// Takes room for a run.
    pub(super) fn take(&mut self, run: RunRef, load: &Load) {
        if self.runs.insert(run, load.clone()).is_none() {
            self.count(load, 1);
        }
    }

    /// Gives the room of a run back.
    pub(super) fn release(&mut self, run: RunRef) -> Option<Load> {
        let load = self.runs.remove(&run)?;
        self.count(&load, -1);
        Some(load)
    }

    fn count(&mut self, load: &Load, sign: i64) {
        let add = |sum: u64, part: u64| sum.saturating_add_signed(sign * part.cast_signed());
        if load.filler {
            self.fillers = add(self.fillers, load.need.cpu.0);
        } else {
            self.used.cpu.0 = add(self.used.cpu.0, load.need.cpu.0);
        }
        self.used.memory.0 = add(self.used.memory.0, load.need.memory.0);
        let accelerators = add(self.used.accelerators.into(), load.need.accelerators.into());
        self.used.accelerators = u32::try_from(accelerators).unwrap_or(u32::MAX);
        if load.target_ms > 0 {
            self.serving = self.serving.saturating_add_signed(sign as isize);
        }
    }

    /// Whether a run can be started there now.
    pub(super) fn takes_tasks(&self, now: Time) -> bool {
        let ready = self.report.as_ref().map(|report| report.state);
        self.linked
            && self.listed
            && !self.silent
            && ready == Some(WorkerState::Ready)
            && !self.failures.is_avoided(now)
    }

    /// What is free; nothing where more was given out than is there.
    pub(super) fn room(&self) -> Resources {
        let Some(report) = &self.report else {
            return Resources::NONE;
        };
        report
            .capacity
            .checked_sub(&self.used)
            .unwrap_or(Resources::NONE)
    }

    /// Processors that fillers have left, in thousandths; negative when they share.
    pub(super) fn idle_cpu(&self) -> i64 {
        self.room().cpu.0.cast_signed() - self.fillers.cast_signed()
    }

    /// Whether `load` fits.
    pub(super) fn fits(&self, load: &Load) -> bool {
        let room = self.room();
        if !load.filler {
            return load.need.fits(&room);
        }
        let mut need = load.need;
        need.cpu.0 = 0;
        need.fits(&room)
    }

    pub(super) fn rack(&self) -> Option<&Arc<str>> {
        self.report.as_ref()?.rack.as_ref()
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.labels.iter().any(|own| **own == *label))
    }

    pub(super) fn is_draining(&self) -> bool {
        let state = self.report.as_ref().map(|report| report.state);
        matches!(state, Some(WorkerState::Draining { .. }))
    }

    pub(super) fn is_life(&self, life: &WorkerIncarnation) -> bool {
        self.report
            .as_ref()
            .is_some_and(|own| own.incarnation == *life)
    }

    /// Forgets what an earlier life had.
    pub(super) fn begin_life(&mut self) {
        self.runs.clear();
        self.used = Resources::NONE;
        self.fillers = 0;
        self.serving = 0;
        self.ends.clear();
        self.seen = 0;
        self.listed = false;
        self.silent = false;
        self.failures = Failures::default();
    }
}
