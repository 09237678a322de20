//! Poison tasks: those that crash the workers that start them.
//!
//! A crash of a worker ends all its runs, and says nothing of its cause: one of them, or the
//! worker itself. Each of their tasks gets a [`CrashMark`], which is stored with its progress. The
//! runs that were seen for the shortest time are the suspects, since a program that crashes its
//! worker mostly does so early; the others stood beside them.
//!
//! A task with a mark of a suspect, or with several marks, is isolated: it starts on another worker,
//! where for a while no task of another job starts beside it. A run that is seen for longer than
//! those that were lost clears its task. A crash in which only one job was suspected is
//! conclusive together with earlier marks; without one, more marks of a suspect are needed, and marks
//! of a task that stood beside suspects are never enough.
//!
//! Workers that stop answering at the same moment have a common cause, unless the same job ran on
//! them: such a crash is never conclusive.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CrashedRun, JobId};
use crate::types::NodeName;

/// Bounds of the time for which a run was seen, in milliseconds. The runs within the first bound
/// that any run of a crash is within are its suspects.
const YOUNG_MS: [u64; 2] = [100, 1_000];
/// Time seen from which on a run gets no mark, in milliseconds. Below it, runs of tasks with a mark
/// are the suspects of a crash without young runs.
const LONGEST_SEEN_MS: u64 = 10_000;
/// Time by which a run must outlive those that were lost to clear its task, in milliseconds.
const CLEARING_MS: u64 = 500;
/// Marks from which on a task is isolated, though it was no suspect.
const ISOLATION_MARKS: usize = 2;
/// Marks from which on the isolation lasts until the run would clear its task.
const LONG_ISOLATION_MARKS: usize = 3;
/// Most marks that a task keeps; the oldest is dropped first.
const MAX_MARKS: usize = 8;
/// Weight of all marks with which a task is a poison task if it was the only suspect of the
/// last crash.
const CONCLUSIVE_WEIGHT: usize = 4;
/// Weight of the marks as a suspect with which a task counts as a poison task in any case.
const MAX_SUSPECT_WEIGHT: usize = 6;
/// Weight of a mark as a suspect that was seen on the worker; that of others is 1.
const SEEN_SUSPECT_WEIGHT: usize = 2;

/// Marks of runs that were seen without which no task is a poison task.
const MIN_SEEN_MARKS: usize = 2;
/// Marks of runs whose start was not answered that serve in place of these.
const MIN_UNSEEN_MARKS: usize = 4;

/// Time within which workers stop answering at the same moment.
pub(super) const SAME_MOMENT: Duration = Duration::from_millis(50);
/// Least time for which only the job of an isolated task starts tasks on its worker.
const ISOLATION_TIME: Duration = Duration::from_millis(1_000);
/// Time without starts of other jobs on a worker before it takes an isolated task.
pub(super) const QUIET_TIME: Duration = Duration::from_millis(300);
/// Time for which an isolated task waits for such a worker.
pub(super) const MAX_ISOLATION_WAIT: Duration = Duration::from_millis(1_000);

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
    /// Whether nothing else was suspected: no other job, and no cause common to several workers.
    pub sole: bool,
}

impl CrashMark {
    fn weight(&self) -> usize {
        if self.suspect && self.seen_ms.is_some() {
            SEEN_SUSPECT_WEIGHT
        } else {
            1
        }
    }
}

/// A run that a crash ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostRun {
    pub(super) lost: CrashedRun,
    /// Whether its task has marks of earlier crashes.
    pub(super) marked: bool,
}

impl LostRun {
    fn seen_ms(&self) -> u64 {
        self.lost.seen_ms.unwrap_or_default()
    }

    /// The mark of this run, in a crash with suspects within `bound`; none if it was seen too long
    /// to be the cause. `sole` is the only suspected job, if there is one.
    pub(super) fn mark(
        &self,
        node: &NodeName,
        bound: SuspectBound,
        sole: Option<JobId>,
    ) -> Option<CrashMark> {
        let suspect = bound.includes(self);
        let mark = CrashMark {
            run: self.lost.run.run,
            node: node.clone(),
            seen_ms: self.lost.seen_ms,
            suspect,
            sole: suspect && sole == Some(self.lost.run.task.job),
        };
        (self.seen_ms() < LONGEST_SEEN_MS).then_some(mark)
    }
}

/// Which runs of a crash are its suspects.
#[derive(Debug, Clone, Copy)]
pub(super) enum SuspectBound {
    /// Those seen for less than this time, in milliseconds.
    Young(u64),
    /// Those of tasks with marks: none is young.
    Marked,
}

impl SuspectBound {
    pub(super) fn of(runs: &[LostRun]) -> Self {
        let shortest = runs.iter().map(LostRun::seen_ms).min().unwrap_or_default();
        let bound = YOUNG_MS.into_iter().find(|bound| shortest < *bound);
        bound.map_or(Self::Marked, Self::Young)
    }

    fn includes(self, run: &LostRun) -> bool {
        match self {
            Self::Young(bound_ms) => run.seen_ms() < bound_ms,
            Self::Marked => run.marked && run.seen_ms() < LONGEST_SEEN_MS,
        }
    }

    /// The job of all suspects; none if there are several.
    pub(super) fn sole(self, runs: &[LostRun]) -> Option<JobId> {
        let suspects = runs.iter().filter(|run| self.includes(run));
        let mut jobs = suspects.map(|run| run.lost.run.task.job);
        let first = jobs.next()?;
        jobs.all(|job| job == first).then_some(first)
    }
}

/// Whether a task with these marks starts apart from other jobs.
pub(super) fn needs_isolation(marks: &[CrashMark]) -> bool {
    marks.len() >= ISOLATION_MARKS || marks.iter().any(|mark| mark.suspect)
}

/// Adds a mark to those of a task.
pub(super) fn add_mark(marks: &mut Vec<CrashMark>, mark: CrashMark) {
    if marks.len() == MAX_MARKS {
        marks.remove(0);
    }
    marks.push(mark);
}

/// Time for which only the job of a task with these marks starts tasks on its worker.
pub(super) fn isolation_time(marks: &[CrashMark]) -> Duration {
    let clears = Duration::from_millis(clearing_ms(marks));
    if marks.len() >= LONG_ISOLATION_MARKS {
        ISOLATION_TIME.max(clears)
    } else {
        ISOLATION_TIME
    }
}

/// Whether a task with these marks is a poison task.
pub(super) fn is_poison(marks: &[CrashMark]) -> bool {
    let Some((last, earlier)) = marks.split_last() else {
        return false;
    };
    let weight: usize = marks.iter().map(CrashMark::weight).sum();
    let suspected = marks.iter().filter(|mark| mark.suspect);
    let as_suspect: usize = suspected.map(CrashMark::weight).sum();
    let elsewhere = earlier.iter().any(|mark| mark.node != last.node);
    let conclusive = last.sole && elsewhere && weight >= CONCLUSIVE_WEIGHT;
    has_run(marks) && (conclusive || as_suspect >= MAX_SUSPECT_WEIGHT)
}

/// Whether the task has certainly run on workers that crashed: a start without an answer may not
/// have reached its worker.
fn has_run(marks: &[CrashMark]) -> bool {
    let seen = marks.iter().filter(|mark| mark.seen_ms.is_some()).count();
    seen >= MIN_SEEN_MARKS || marks.len() - seen >= MIN_UNSEEN_MARKS
}

/// Whether a run that is seen for `seen_ms` clears its task of these marks.
pub(super) fn is_cleared(marks: &[CrashMark], seen_ms: u64) -> bool {
    seen_ms >= clearing_ms(marks)
}

fn clearing_ms(marks: &[CrashMark]) -> u64 {
    let longest = marks.iter().filter_map(|mark| mark.seen_ms).max();
    longest.unwrap_or_default().saturating_add(CLEARING_MS)
}
