//! Which task crashes the workers that start it.
//!
//! A crash of a worker ends all its runs, and says nothing of its cause: one of them, or the
//! worker itself. Each of their tasks gets a [`CrashMark`], which is stored with its progress. The
//! runs that were seen for the shortest time are the suspects, since a program that crashes its
//! worker mostly does so early.
//!
//! A task with a mark of a suspect, or with several marks, is on trial: it starts on another worker,
//! where for a while no task of another job starts beside it. A run that is seen for longer than
//! those that were lost clears its task. A crash in which only one job was suspected is
//! conclusive, together with an earlier one on another worker; without that, more crashes are needed.
//!
//! Work that stood beside the culprit is cleared by its own trial or ends, so it is not blamed twice.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CrashedRun, JobId};
use crate::types::NodeName;

/// Bounds of the time for which a run was seen, in milliseconds. The runs within the first bound
/// that any run of a crash is within are its suspects; those beyond the last get no mark.
const SEEN_BOUNDS_MS: [u64; 3] = [100, 1_000, 30_000];
/// Time by which a run must outlive those that were lost to clear its task, in milliseconds.
const CLEARING_MS: u64 = 500;
/// Marks from which on a task is on trial, though it was no suspect.
const TRIAL_MARKS: usize = 2;
/// Points of the marks with which a task is the culprit if it was the only suspect of the last crash.
const CONCLUSIVE_POINTS: usize = 4;
/// Points of the marks with which a task counts as the culprit in any case.
const MAX_POINTS: usize = 6;
/// Points of a mark of a suspect that was seen on the worker.
const SUSPECT_POINTS: usize = 2;

/// Time for which a task on trial has a worker for the starts of its own job.
pub(super) const TRIAL_TIME: Duration = Duration::from_millis(1_000);
/// Time without starts of other jobs on a worker before it takes a task on trial.
pub(super) const QUIET_TIME: Duration = Duration::from_millis(300);
/// Time for which a task on trial waits for such a worker.
pub(super) const MAX_TRIAL_WAIT: Duration = Duration::from_millis(1_000);

/// A crash of a worker with a run of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// Number of the run.
    pub run: u32,
    /// The worker's agent.
    pub node: NodeName,
    /// How long the run was seen there, in milliseconds; none if its start was not answered.
    pub seen_ms: Option<u64>,
    /// Whether it was one of the suspects.
    pub suspect: bool,
    /// Whether all suspects were of one job.
    pub sole: bool,
}

impl CrashMark {
    fn points(&self) -> usize {
        if self.suspect && self.seen_ms.is_some() {
            SUSPECT_POINTS
        } else {
            1
        }
    }
}

/// Marks of the runs that a crash of the worker beside `node` ended; none for those that
/// were seen too long to be the cause.
pub(super) fn marks<'a>(
    node: &'a NodeName,
    runs: &'a [CrashedRun],
) -> impl Iterator<Item = (CrashedRun, CrashMark)> + 'a {
    let seen = |lost: &CrashedRun| lost.seen_ms.unwrap_or_default();
    let shortest = runs.iter().map(seen).min().unwrap_or_default();
    let [.., longest] = SEEN_BOUNDS_MS;
    let bound = SEEN_BOUNDS_MS.into_iter().find(|bound| shortest < *bound);
    let bound = bound.unwrap_or_default();
    let is_suspect = move |lost: &CrashedRun| seen(lost) < bound;
    let jobs = runs.iter().filter(|lost| is_suspect(lost));
    let sole = is_one(jobs.map(|lost| lost.run.task.job));
    let marked = runs.iter().filter(move |lost| seen(lost) < longest);
    marked.map(move |lost| {
        let suspect = is_suspect(lost);
        let mark = CrashMark {
            run: lost.run.run,
            node: node.clone(),
            seen_ms: lost.seen_ms,
            suspect,
            sole: suspect && sole,
        };
        (*lost, mark)
    })
}

/// Whether all are the same job.
fn is_one(mut jobs: impl Iterator<Item = JobId>) -> bool {
    let first = jobs.next();
    jobs.all(|job| Some(job) == first)
}

/// Whether a task with these marks starts apart from other jobs.
pub(super) fn is_on_trial(marks: &[CrashMark]) -> bool {
    marks.len() >= TRIAL_MARKS || marks.iter().any(|mark| mark.suspect)
}

/// Whether a task with these marks crashes the workers that start it.
pub(super) fn is_culprit(marks: &[CrashMark]) -> bool {
    let points: usize = marks.iter().map(CrashMark::points).sum();
    let Some((last, earlier)) = marks.split_last() else {
        return false;
    };
    let elsewhere = earlier.iter().any(|mark| mark.node != last.node);
    points >= MAX_POINTS || (points >= CONCLUSIVE_POINTS && last.sole && elsewhere)
}

/// Whether a run that is seen for `seen_ms` clears its task of these marks.
pub(super) fn is_cleared(marks: &[CrashMark], seen_ms: u64) -> bool {
    let longest = marks.iter().filter_map(|mark| mark.seen_ms).max();
    seen_ms >= longest.unwrap_or_default().saturating_add(CLEARING_MS)
}
