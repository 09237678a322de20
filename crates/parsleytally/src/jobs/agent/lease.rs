//! Lease of the worker: its end on the worker's clock and its latest expiry on ours.

use std::time::Duration;

use crate::types::Time;

/// Most by which the worker's clock may run slow, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 3;

/// Longest time on our clock in which the worker's clock advances by `span`.
fn with_drift(span: Duration) -> Duration {
    span + span * CLOCK_DRIFT_PERCENT / 100
}

/// Time after the end of a lease by which its worker has ended the runs.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// Longest time on our clock until a worker has ended the runs of a lease of `length`.
pub(super) fn expiry_after(length: Duration) -> Duration {
    with_drift(length) + EXPIRY_MARGIN
}

/// A reading of the worker's monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WorkerClock {
    /// The clock's value, in milliseconds.
    pub(super) value_ms: u64,
    /// When the reading arrived, on our clock.
    pub(super) read_at: Time,
}

/// The worker's lease and its limit.
#[derive(Debug, Default)]
pub(super) struct Lease {
    clock: Option<WorkerClock>,
    /// Latest end of a lease, set by the confirmations of the owner.
    limit: Time,
    /// When all granted leases have expired, even with a slow worker's clock.
    expires: Time,
}

impl Lease {
    pub(super) fn allow_until(&mut self, until: Time) {
        self.limit = self.limit.max(until);
    }

    /// Whether the limit of leases has not passed.
    pub(super) fn is_allowed(&self, now: Time) -> bool {
        now < self.limit
    }

    pub(super) fn read_clock(&mut self, now: Time, value_ms: u64) {
        let read_at = now;
        self.clock = Some(WorkerClock { value_ms, read_at });
    }

    /// Latest time, up to `now`, at which the worker's clock can have shown `value_ms`.
    pub(super) fn latest_time_of(&self, now: Time, value_ms: u64) -> Time {
        let Some(clock) = self.clock else {
            return now;
        };
        let advance = Duration::from_millis(value_ms.saturating_sub(clock.value_ms));
        clock.read_at.after(with_drift(advance)).min(now)
    }

    /// Grants a lease of `length` from now, cut at the limit, and returns its end on the
    /// worker's clock in milliseconds; none if that clock is unknown or the limit has
    /// passed.
    pub(super) fn grant(&mut self, now: Time, length: Duration) -> Option<u64> {
        let clock = self.clock?;
        let until = now.after(length).min(self.limit);
        if until <= now {
            return None;
        }
        let span = until.since(clock.read_at);
        let expires = clock.read_at.after(expiry_after(span));
        self.expires = self.expires.max(expires);
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Some(clock.value_ms.saturating_add(span_ms))
    }

    /// When all granted leases have expired.
    pub(super) fn expires(&self) -> Time {
        self.expires
    }

    /// Drops the reading of the clock, so that no lease is granted until the next one.
    pub(super) fn forget_clock(&mut self) {
        self.clock = None;
    }

    /// Drops the clock and the leases of an earlier incarnation: a new one has another
    /// clock and no runs.
    pub(super) fn reset(&mut self) {
        self.clock = None;
        self.expires = Time::ZERO;
    }
}
