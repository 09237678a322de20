//! The owner's clock, as the agent knows it from the owner's answers to pings.

use std::time::Duration;

use crate::types::Time;

/// A reading of the owner's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OwnerClock {
    /// When the agent sent the ping, in microseconds on the agent's clock.
    sent: u64,
    /// The owner's clock after that, in microseconds.
    value: u64,
}

impl OwnerClock {
    pub(super) fn new(sent: u64, value: u64) -> Self {
        Self { sent, value }
    }

    /// Upper bound of the time since the owner's clock showed `at`, in microseconds. It is too
    /// large by at most the time that the ping and its answer took.
    pub(super) fn age(self, now: Time, at: u64) -> Duration {
        let since_ping = now.as_micros().saturating_sub(self.sent);
        let before = self.value.saturating_sub(at);
        let after = at.saturating_sub(self.value);
        Duration::from_micros((since_ping + before).saturating_sub(after))
    }
}
