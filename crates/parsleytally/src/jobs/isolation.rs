//! Isolation of tasks: beside one that may have crashed another worker, no task of another job starts
//! for a while.

use std::collections::BTreeMap;

use super::crashes::QUIET_TIME;
use super::{JobId, RunRef};
use crate::types::Time;

/// Isolated runs and recent starts on one worker.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    /// Isolated runs, each with the time until which no other job starts here.
    runs: BTreeMap<RunRef, Time>,
    /// Newest start, with its job.
    last: Option<(JobId, Time)>,
    /// Newest start of another job before that.
    before: Option<Time>,
}

impl Isolation {
    /// Notes a start; it is isolated until `end`, if there is one.
    pub(super) fn note_start(&mut self, now: Time, run: RunRef, end: Option<Time>) {
        let job = run.task.job;
        if let Some((last, at)) = self.last
            && last != job
        {
            self.before = Some(at);
        }
        self.last = Some((job, now));
        self.runs.retain(|_, end| now < *end);
        self.runs.extend(end.map(|end| (run, end)));
    }

    /// Ends the isolation of a run, if it is isolated.
    pub(super) fn end(&mut self, run: RunRef) {
        self.runs.remove(&run);
    }

    /// Whether no task of another job is isolated and, for a task `isolated`, no other job has just
    /// started here.
    pub(super) fn admit(&self, now: Time, job: JobId, isolated: bool) -> bool {
        let reserved = |(run, end): (&RunRef, &Time)| run.task.job != job && now < *end;
        if self.runs.iter().any(reserved) {
            return false;
        }
        let others = self.last_of_others(job).filter(|_| isolated);
        others.is_none_or(|at| now.since(at) >= QUIET_TIME)
    }

    /// The run that keeps other jobs than `job` away for longest, with the end of its isolation.
    pub(super) fn holder(&self, now: Time, job: JobId) -> Option<(RunRef, Time)> {
        let runs = self.runs.iter().map(|(run, end)| (*run, *end));
        let holds = runs.filter(|(run, end)| run.task.job != job && now < *end);
        holds.max_by_key(|(_, end)| *end)
    }

    fn last_of_others(&self, job: JobId) -> Option<Time> {
        match self.last {
            Some((last, at)) if last != job => Some(at),
            _ => self.before,
        }
    }
}
