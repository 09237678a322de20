//! How long what runs on the worker may go on.

use std::time::Duration;

use crate::types::Time;

/// Bound on how slowly the worker's clock may run, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 3;

/// A time on the worker's clock as the longest that it can take on this one.
pub(super) fn with_drift(span: Duration) -> Duration {
    span + span * CLOCK_DRIFT_PERCENT / 100
}

/// The worker's steady clock, read at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WorkerClock {
    /// What it showed, in milliseconds.
    pub(super) shown_ms: u64,
    /// When the reading arrived.
    pub(super) read: Time,
}

/// The lease on the worker, and what bounds it.
#[derive(Debug, Default)]
pub(super) struct Lease {
    clock: Option<WorkerClock>,
    /// Until when the owner lets runs go on.
    allowed: Time,
    /// When all that was granted has run out for certain.
    ends: Time,
}

impl Lease {
    pub(super) fn allow_until(&mut self, until: Time) {
        self.allowed = self.allowed.max(until);
    }

    pub(super) fn read(&mut self, now: Time, shown_ms: u64) {
        let read = now;
        self.clock = Some(WorkerClock { shown_ms, read });
    }

    /// End of a lease of `length` from now on the worker's clock, in milliseconds;
    /// none when its clock is not known or no time is left.
    pub(super) fn end(&mut self, now: Time, length: Duration) -> Option<u64> {
        let clock = self.clock?;
        let until = now.after(length).min(self.allowed);
        if until <= now {
            return None;
        }
        let span = until.since(clock.read);
        self.ends = self.ends.max(clock.read.after(with_drift(span)));
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Some(clock.shown_ms.saturating_add(span_ms))
    }

    /// Whether nothing runs on the worker any more.
    pub(super) fn has_run_out(&self, now: Time) -> bool {
        self.ends < now
    }

    /// A new life of the worker has another clock and runs nothing.
    pub(super) fn begin_life(&mut self) {
        self.clock = None;
        self.ends = Time::ZERO;
    }
}
