//! Stragglers of speculative steps, and how many of them may have copies.

use std::time::Duration;

use super::CopyEvidence;
use super::measured::RunTimeline;
use crate::types::Time;

/// Run time relative to the mean of the done tasks of its step, in percent, from which on a
/// run is a straggler: quick jobs may take 1.5 times their critical path.
const STRAGGLER_PERCENT: u64 = 150;
/// Expected run time of a copy relative to that mean, in percent; covers its start.
const COPY_PERCENT: u64 = 120;
/// Part of the tasks of a step, as a divisor, that must be done before others can be
/// stragglers: before, the mean is that of the fastest.
const DONE_DIVISOR: usize = 2;
/// Running tasks of which at most one may be a copy: copies are 3% of the work at most.
const RUNS_PER_COPY: usize = 33;

/// Most copies at the same time while there are `runs` runs; a small fleet may have one.
pub(super) fn max_copies(runs: usize) -> usize {
    (runs / RUNS_PER_COPY).max(1)
}

/// Whether enough tasks of a step are done to tell stragglers.
pub(super) fn has_quorum(tasks: usize, remaining: usize) -> bool {
    remaining > 0 && (tasks - remaining) * DONE_DIVISOR >= tasks
}

/// Evidence that a run is a straggler, if it is. `mean_ms` is the mean run time of the done
/// tasks of its step; `reachable` tells whether the worker answers.
pub(super) fn straggler(
    now: Time,
    timeline: &RunTimeline,
    mean_ms: u64,
    reachable: bool,
) -> Option<CopyEvidence> {
    let ordered = timeline.ordered?;
    let elapsed_ms = millis(now.since(ordered));
    if elapsed_ms * 100 < mean_ms * STRAGGLER_PERCENT {
        return None;
    }
    let measured = timeline.progress.filter(|_| reachable);
    let total_ms = measured
        .filter(|progress| progress.percent > 0)
        .map(|progress| millis(progress.at.since(ordered)) * 100 / u64::from(progress.percent));
    // Without measured progress, it is as likely to end as it was so far.
    let remaining_ms = total_ms.map_or(elapsed_ms, |total| total.saturating_sub(elapsed_ms));
    Some(CopyEvidence {
        elapsed_ms,
        mean_ms,
        remaining_ms,
        age_ms: measured.map(|progress| millis(now.since(progress.at))),
    })
}

/// Whether a copy started now would probably end before the straggler; `percent` is its
/// slowdown on its worker.
pub(super) fn would_win(evidence: &CopyEvidence, percent: u32) -> bool {
    let copy_ms = evidence.mean_ms * COPY_PERCENT / 100;
    copy_ms * u64::from(percent) / 100 < evidence.remaining_ms
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
