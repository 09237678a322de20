//! Recovery after a shard changes its owner.
//!
//! The journal names the worker that may hold each run. Such a task is unresolved,
//! and the new owner makes no decision about it, until the worker has reported the
//! run or the run's deadline has certainly passed. If an earlier owner could start
//! runs before they were journaled, the journal may be incomplete: every task is
//! unresolved until the deadlines of all such runs have passed.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::types::{TaskKey, Time};

#[cfg(test)]
mod tests;

/// Result of a recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Recovered {
    /// Duration of the recovery.
    pub duration: Duration,
    /// Number of tasks whose run was reported by its worker.
    pub reported: u64,
    /// Number of tasks whose run was given up: its deadline passed without a report,
    /// or its worker was lost.
    pub lost: u64,
}

/// Tracks the tasks that a new owner must not decide about yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Recovery {
    started: Time,
    unresolved: BTreeSet<TaskKey>,
    incomplete_until: Option<Time>,
    reported: u64,
    lost: u64,
    done: bool,
}

impl Recovery {
    /// Starts at `now`. `unresolved` are the tasks that the journal shows on a worker;
    /// until `incomplete_until`, if given, the journal may lack runs.
    pub fn new(now: Time, unresolved: BTreeSet<TaskKey>, incomplete_until: Option<Time>) -> Self {
        Self {
            started: now,
            unresolved,
            incomplete_until,
            reported: 0,
            lost: 0,
            done: false,
        }
    }

    /// Whether no decision may be made about `task` yet.
    pub fn is_unresolved(&self, task: &TaskKey) -> bool {
        self.may_miss_runs() || self.unresolved.contains(task)
    }

    /// Whether the journal may still lack runs.
    pub fn may_miss_runs(&self) -> bool {
        self.incomplete_until.is_some()
    }

    /// Whether the recovery has ended.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Records that the worker of `task` has reported its run.
    pub fn mark_reported(&mut self, task: &TaskKey) {
        if self.unresolved.remove(task) {
            self.reported += 1;
        }
    }

    /// Records that the run of `task` has certainly ended without a report.
    pub fn mark_lost(&mut self, task: &TaskKey) {
        if self.unresolved.remove(task) {
            self.lost += 1;
        }
    }

    /// Marks the journal as complete once `incomplete_until` has passed.
    pub fn update(&mut self, now: Time) {
        if self.incomplete_until.is_some_and(|until| now >= until) {
            self.incomplete_until = None;
        }
    }

    /// Advances the recovery to `now`; returns the result once, when it ends.
    pub fn poll(&mut self, now: Time) -> Option<Recovered> {
        self.update(now);
        if self.done || self.may_miss_runs() || !self.unresolved.is_empty() {
            return None;
        }
        self.done = true;
        Some(Recovered {
            duration: now.since(self.started),
            reported: self.reported,
            lost: self.lost,
        })
    }
}
