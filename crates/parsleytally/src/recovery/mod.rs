//! What a new owner of a shard does not know yet.
//!
//! A new owner reads in the journal which worker may hold which run. Such a task
//! is open, and nothing is decided about it, until the worker has reported the run
//! or its deadline has certainly passed. If an earlier owner could start runs
//! before they were journaled, the new owner is blind: every task is open until
//! the deadlines of all such runs have passed.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::types::{TaskKey, Time};

#[cfg(test)]
mod tests;

/// How a recovery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Recovered {
    /// Time from the start of the recovery to its end.
    pub duration: Duration,
    /// Tasks whose worker reported them.
    pub reported: u64,
    /// Tasks whose worker stayed silent past their deadline or was replaced.
    pub expired: u64,
}

/// Tasks that a new owner must not decide about yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Recovery {
    started: Time,
    open: BTreeSet<TaskKey>,
    blind: Option<Time>,
    heard: u64,
    waited: u64,
    done: bool,
}

impl Recovery {
    /// Starts at `now` with the tasks that the journal shows as held; blind until
    /// `blind` if given.
    pub fn new(now: Time, open: BTreeSet<TaskKey>, blind: Option<Time>) -> Self {
        Self {
            started: now,
            open,
            blind,
            heard: 0,
            waited: 0,
            done: false,
        }
    }

    /// Whether nothing may be decided about `task`.
    pub fn is_unresolved(&self, task: &TaskKey) -> bool {
        self.may_miss_runs() || self.open.contains(task)
    }

    /// Whether runs may exist that the journal does not have.
    pub fn may_miss_runs(&self) -> bool {
        self.blind.is_some()
    }

    /// Whether the recovery has ended.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Notes that the worker of `task` has reported its run.
    pub fn mark_reported(&mut self, task: &TaskKey) {
        if self.open.remove(task) {
            self.heard += 1;
        }
    }

    /// Notes that the run of `task` has certainly ended without a report.
    pub fn mark_expired(&mut self, task: &TaskKey) {
        if self.open.remove(task) {
            self.waited += 1;
        }
    }

    /// Ends the blindness when its time has passed.
    pub fn update(&mut self, now: Time) {
        if self.blind.is_some_and(|until| now >= until) {
            self.blind = None;
        }
    }

    /// Checks the time; returns the result once, when the recovery ends.
    pub fn poll(&mut self, now: Time) -> Option<Recovered> {
        self.update(now);
        if self.done || self.may_miss_runs() || !self.open.is_empty() {
            return None;
        }
        self.done = true;
        Some(Recovered {
            duration: now.since(self.started),
            reported: self.heard,
            expired: self.waited,
        })
    }
}
