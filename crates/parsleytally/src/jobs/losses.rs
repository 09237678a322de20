//! What the time of a job was lost to: waits for a start, CPU shares below the full one, runs
//! in vain and stragglers.
//!
//! Only events are counted. Runs that are lost with their worker count as waits, and so does
//! the time of tasks that an earlier owner had started.

use std::time::Duration;

use derive_more::Display;

use super::{JobId, QueueName};
use crate::types::Time;

/// Task-seconds of a job that its owner has counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Losses {
    /// Time of its tasks since they were ready.
    pub(super) open: Duration,
    /// Part of it in runs.
    pub(super) run: Duration,
    /// Part of the runs that CPU shares below the full one took.
    pub(super) throttled: Duration,
    /// Work of runs that did not end `done` and left no checkpoint.
    pub(super) vain: Duration,
    /// For each step, how much later than the median task its last task was done.
    pub(super) straggled: Duration,
}

impl Losses {
    /// Adds a run that took `run`, of which the CPU share took `throttled`.
    pub(super) fn add_run(&mut self, run: Duration, throttled: Duration, in_vain: bool) {
        self.run += run;
        self.throttled += throttled;
        if in_vain {
            self.vain += run.saturating_sub(throttled);
        }
    }

    /// Time of ready tasks outside of runs.
    fn waited(&self) -> Duration {
        self.open.saturating_sub(self.run)
    }

    /// Work at full speed that was not in vain.
    fn worked(&self) -> Duration {
        self.run.saturating_sub(self.throttled + self.vain)
    }
}

/// Times of a step for the account of its job.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StepTimes {
    /// When half of its tasks were done.
    half_done: Option<Time>,
    /// When its last task was done.
    pub(super) done: Option<Time>,
}

impl StepTimes {
    /// Notes that a task is done and `remaining` of `count` are not; returns by how much the
    /// last one was later than the median one.
    pub(super) fn note_done(&mut self, now: Time, remaining: usize, count: usize) -> Duration {
        if remaining * 2 <= count {
            self.half_done.get_or_insert(now);
        }
        if remaining > 0 || self.done.is_some() {
            return Duration::ZERO;
        }
        self.done = Some(now);
        self.half_done
            .map_or(Duration::ZERO, |half| now.since(half))
    }
}

/// How the time of an ended job compares with what was allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// Completed within its objective.
    InTime,
    /// Completed later, while its result had value.
    Late,
    /// Completed after its result had lost its value.
    Worthless,
    /// Failed.
    Failed,
    /// Cancelled by its client.
    Cancelled,
}

/// An ended job and what its time was lost to; only logged and counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobAccount {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// How it ended.
    pub outcome: JobOutcome,
    /// Number of its tasks.
    pub tasks: u64,
    /// Time since its last round was due, in milliseconds.
    pub took_ms: u64,
    /// Time allowed by its objective, in milliseconds.
    pub allowed_ms: u64,
    /// Time of its tasks by cause, in milliseconds.
    pub task_ms: TaskTimes,
    /// Sum over its steps of the time from the end of the median task to that of the last, in
    /// milliseconds.
    pub straggled_ms: u64,
}

/// Time of the tasks of a job since they were ready, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskTimes {
    /// Outside of runs.
    pub waited: u64,
    /// Taken by CPU shares below the full one.
    pub throttled: u64,
    /// In runs that did not end `done` and left no checkpoint.
    pub vain: u64,
    /// In other runs.
    pub worked: u64,
}

impl From<&Losses> for TaskTimes {
    fn from(losses: &Losses) -> Self {
        Self {
            waited: millis(losses.waited()),
            throttled: millis(losses.throttled),
            vain: millis(losses.vain),
            worked: millis(losses.worked()),
        }
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
