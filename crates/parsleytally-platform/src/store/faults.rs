//! Faults of the platform's store that the stand-in can be switched to.

use std::time::Duration;

/// Number of a watch in the order of their opening, from 1.
pub(super) type WatchId = u64;

/// What is wrong with the store now.
#[derive(Debug, Default)]
pub(super) struct Faults {
    /// Every call fails.
    pub(super) down: bool,
    /// Time before each answer.
    pub(super) delay: Duration,
    /// Writes whose answers are still to be lost.
    pub(super) lost: u32,
    /// Watch that was opened last.
    last_watch: WatchId,
    /// Watches up to this one are ended.
    cut: WatchId,
    /// Watches up to this one report nothing any more.
    silent: WatchId,
}

impl Faults {
    pub(super) fn next_watch(&mut self) -> WatchId {
        self.last_watch += 1;
        self.last_watch
    }

    pub(super) fn cut(&mut self) {
        self.cut = self.last_watch;
    }

    pub(super) fn silence(&mut self) {
        self.silent = self.last_watch;
    }

    pub(super) fn is_cut(&self, watch: WatchId) -> bool {
        watch <= self.cut
    }

    pub(super) fn is_silent(&self, watch: WatchId) -> bool {
        watch <= self.silent
    }

    /// Whether the answer of a write is lost.
    pub(super) fn lose(&mut self) -> bool {
        if self.lost == 0 {
            return false;
        }
        self.lost -= 1;
        true
    }
}
