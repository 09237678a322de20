//! Limits on how often something is done.

use std::time::Duration;

use tokio::time::Instant;

/// How many of something may follow each other without a pause, and after which time one more may.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    pub(super) burst: u32,
    pub(super) refill: Duration,
}

/// A limit of a [`Rate`].
#[derive(Debug)]
pub(super) struct Limit {
    rate: Rate,
    /// Time at which the full burst is available again.
    full_at: Option<Instant>,
}

impl Limit {
    pub(super) fn new(rate: Rate) -> Self {
        let full_at = None;
        Self { rate, full_at }
    }

    /// Time until one more is possible.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        let used = self.full_at.map_or(Duration::ZERO, |at| at - now.min(at));
        (used + self.rate.refill).saturating_sub(self.rate.refill * self.rate.burst)
    }

    /// Counts one more.
    pub(super) fn take(&mut self, now: Instant) {
        self.full_at = Some(self.full_at.map_or(now, |at| at.max(now)) + self.rate.refill);
    }
}
