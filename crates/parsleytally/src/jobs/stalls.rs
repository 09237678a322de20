//! Runs whose measurements show no progress, and how many of them may be stopped.

use std::time::Duration;

use super::StallEvidence;
use super::fleet::Load;
use crate::types::Time;

/// Time without progress relative to the expected run time from which on a run is stalled.
const STALL_FACTOR: f64 = 4.0;
/// Shortest time without progress of a stalled run: the default time for which an agent keeps
/// runs alive without its owner.
const MIN_STALL: Duration = Duration::from_secs(5);
/// Connected measurements that must show no progress.
const MIN_MEASUREMENTS: u32 = 4;
/// Progress of a run whose end is only not reported yet, in percent.
const DONE_PERCENT: u32 = 100;
/// Length of the window of the budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Runs of which at most one is stopped in a window: more stalls at once have a common
/// cause that a start elsewhere doesn't cure.
const RUNS_PER_STOP: usize = 50;
/// Most runs of one task that are stopped: a task that stalls everywhere is itself the cause.
pub(super) const MAX_STOPS_PER_TASK: u8 = 2;

/// Evidence that a run is stalled, if it is. A throttled run gets more time; `may_pause`
/// tells whether its agent may have paused it.
pub(super) fn stalled(load: &Load, expected_ms: u64, may_pause: bool) -> Option<StallEvidence> {
    let progress = load.timeline.progress?;
    if may_pause || progress.percent >= DONE_PERCENT || progress.unchanged < MIN_MEASUREMENTS {
        return None;
    }
    let stalled = progress.at.since(progress.unchanged_since);
    let stalled_ms = stalled.as_millis() as u64;
    let allowed_ms = expected_ms as f64 * STALL_FACTOR;
    let is_stalled = stalled >= MIN_STALL && stalled_ms as f64 * load.speed() >= allowed_ms;
    is_stalled.then_some(StallEvidence {
        percent: progress.percent,
        stalled_ms,
        expected_ms,
        measurements: progress.unchanged,
    })
}

/// Runs that were stopped in the present window.
#[derive(Debug, Default)]
pub(super) struct StallBudget {
    began: Time,
    stopped: usize,
}

impl StallBudget {
    /// Takes one stop from the budget of a fleet with `runs` runs; returns whether there was
    /// one left.
    pub(super) fn take(&mut self, now: Time, runs: usize) -> bool {
        if now.since(self.began) >= BUDGET_WINDOW {
            self.began = now;
            self.stopped = 0;
        }
        let left = self.stopped < (runs / RUNS_PER_STOP).max(1);
        self.stopped += usize::from(left);
        left
    }
}
