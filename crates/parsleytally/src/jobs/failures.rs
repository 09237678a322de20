//! Failures of the runs on a worker, and its quarantine after those of several jobs.
//!
//! Failures of runs that were ordered before a quarantine are part of the event that began it:
//! they neither prolong nor double it. A run that is done ends the quarantine; one that was ordered
//! after the quarantine began and is seen for a while ends it and its doubling.

use std::time::Duration;

use super::JobId;
use crate::types::Time;

/// Distinct jobs that must fail on a worker before it is quarantined.
const QUARANTINE_JOBS: usize = 3;
/// Duration of the first quarantine, in milliseconds; each further one is twice as long.
const QUARANTINE_MS: u64 = 2_000;
/// Maximum number of doublings of [`QUARANTINE_MS`].
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;
/// Time for which a run must be seen to show that its worker runs tasks, in milliseconds.
const SOUND_RUN_MS: u64 = 2_000;
/// Time without new runs on a worker after it refused one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(400);

/// A time without new runs on a worker.
#[derive(Debug, Clone, Copy)]
struct Quarantine {
    since: Time,
    until: Time,
}

/// Failures of a worker since its last success, and its quarantine.
#[derive(Debug, Clone, Default)]
pub(super) struct Failures {
    /// Distinct jobs whose tasks failed there.
    failed_jobs: Vec<JobId>,
    /// The last quarantine; none since a sound run.
    quarantine: Option<Quarantine>,
    /// Number of quarantines since the last sound run.
    quarantines: u32,
    /// Time until which no run is started there, after a refusal.
    paused_until: Option<Time>,
    /// Whether it refused a start and has not been seen to have a new run since.
    refuses: bool,
}

impl Failures {
    /// Records a failed run of `job`; `ordered` is none if an earlier owner ordered it.
    pub(super) fn record_failure(&mut self, now: Time, job: JobId, ordered: Option<Time>) {
        if self.is_known_event(ordered) {
            return;
        }
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() < QUARANTINE_JOBS {
            return;
        }
        let duration_ms = QUARANTINE_MS << self.quarantines.min(MAX_QUARANTINE_DOUBLINGS);
        self.quarantine = Some(Quarantine {
            since: now,
            until: now.after(Duration::from_millis(duration_ms)),
        });
        self.quarantines += 1;
        // A failure of one more job after the quarantine starts the next quarantine.
        self.failed_jobs.truncate(QUARANTINE_JOBS - 1);
    }

    /// Whether a run that was ordered at this time failed for what began the last quarantine.
    fn is_known_event(&self, ordered: Option<Time>) -> bool {
        let before = |quarantine: Quarantine| ordered.is_none_or(|at| at < quarantine.since);
        self.quarantine.is_some_and(before)
    }

    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a run that was ordered at `ordered` and was seen for `seen_ms`.
    pub(super) fn record_work(&mut self, ordered: Option<Time>, seen_ms: u64) {
        if seen_ms >= SOUND_RUN_MS && !self.is_known_event(ordered) {
            self.quarantine = None;
            self.quarantines = 0;
        }
    }

    /// Whether it gets no new runs after failures.
    pub(super) fn is_quarantined(&self, now: Time) -> bool {
        self.quarantine
            .is_some_and(|quarantine| now < quarantine.until)
    }

    /// Whether it gets no new runs after a refusal.
    pub(super) fn is_paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Notes that the worker refused a start: others are preferred until it is seen to have one.
    pub(super) fn record_refusal(&mut self) {
        self.refuses = true;
    }

    /// Notes that the worker is seen to have a new run.
    pub(super) fn record_start(&mut self) {
        self.refuses = false;
    }

    /// Starts no run there for a while, after the worker refused one.
    pub(super) fn pause_after_refusal(&mut self, now: Time) {
        self.paused_until = Some(now.after(REFUSAL_PAUSE));
    }

    /// Whether it was quarantined since its last sound run.
    pub(super) fn was_quarantined(&self) -> bool {
        self.quarantines > 0
    }

    /// Whether a run failed there and none has succeeded since, or a start was refused and none has
    /// been carried out since.
    pub(super) fn is_suspect(&self) -> bool {
        !self.failed_jobs.is_empty() || self.refuses
    }
}
