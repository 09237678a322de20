//! Distinguishes faulty workers from faulty tasks.
//!
//! A failed run can be caused by its worker or its task. A worker is faulty if several
//! distinct tasks failed there that failed on no other worker, and few other runs
//! succeeded. It is quarantined and tried again later; the duration doubles with each
//! quarantine until a run succeeds there. A limit on the fraction of quarantined workers
//! keeps most of them in service. A task is faulty if it failed on several distinct workers
//! that are not suspected themselves; it backs off after each failure and is then parked
//! with the workers on which it failed. When a worker is quarantined, its failures are
//! removed from the records of the tasks, and a task that was parked because of them is
//! released.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::configs::HealthConfig;
use crate::types::{NodeName, TaskKey, Time};

/// Maximum number of tasks with a failure record; the one with the oldest last failure is
/// dropped first.
const MAX_FAILED_TASKS: usize = 16_384;

/// An event about a worker, a run or a task.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A worker joined.
    WorkerJoined(NodeName),
    /// A worker was lost.
    WorkerLost(NodeName),
    /// A run failed by itself, not by eviction or loss of the worker.
    RunFailed {
        /// The task.
        task: TaskKey,
        /// The worker.
        worker: NodeName,
    },
    /// A run finished.
    RunSucceeded {
        /// The task.
        task: TaskKey,
        /// The worker.
        worker: NodeName,
    },
    /// The task was cancelled.
    TaskCancelled(TaskKey),
    /// Ends due quarantines.
    Tick,
}

/// A decision about a worker or a task.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Start no further tasks on the worker.
    Quarantine(NodeName),
    /// Start tasks on the worker again.
    Reinstate(NodeName),
    /// Do not restart the task before `until`.
    BackOff {
        /// The task.
        task: TaskKey,
        /// Earliest restart.
        until: Time,
        /// Workers on which it failed.
        workers: Vec<NodeName>,
    },
    /// Do not restart the task until it changes or is released.
    Park {
        /// The task.
        task: TaskKey,
        /// Workers on which it failed and that are not suspected.
        workers: Vec<NodeName>,
    },
    /// Restart a parked task, as its failures were caused by a faulty worker.
    Release(TaskKey),
}

/// Outcome of one run on a worker.
#[derive(Debug)]
struct Outcome {
    task: TaskKey,
    failed: bool,
}

/// State of a worker.
#[derive(Debug, Default)]
struct Worker {
    /// Latest outcomes, oldest first.
    outcomes: VecDeque<Outcome>,
    /// End of its quarantine, if it is quarantined.
    quarantined_until: Option<Time>,
    /// Number of quarantines since the last success.
    consecutive_quarantines: u32,
}

/// Failures of a task since its last success.
#[derive(Debug, Default)]
struct TaskRecord {
    /// Workers on which it failed, without those quarantined since.
    workers: BTreeSet<NodeName>,
    failures: u32,
    parked: bool,
    last_failure: Time,
}

/// Health of all workers and failed tasks.
#[derive(Debug)]
pub struct Health {
    config: HealthConfig,
    workers: BTreeMap<NodeName, Worker>,
    tasks: BTreeMap<TaskKey, TaskRecord>,
    /// End of the quarantine of each quarantined worker.
    quarantine_ends: BTreeSet<(Time, NodeName)>,
}

impl Health {
    /// Creates a state without workers and failures.
    pub fn new(config: HealthConfig) -> Self {
        Self {
            config,
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            quarantine_ends: BTreeSet::new(),
        }
    }

    /// Handles one event; appends decisions to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::WorkerJoined(worker) => {
                self.workers.entry(worker).or_default();
            }
            Input::WorkerLost(worker) => self.remove_worker(&worker),
            Input::RunFailed { task, worker } => self.run_failed(now, &task, &worker, out),
            Input::RunSucceeded { task, worker } => self.run_succeeded(task, worker, out),
            Input::TaskCancelled(task) => {
                self.tasks.remove(&task);
            }
            Input::Tick => self.reinstate_due(now, out),
        }
    }

    /// Number of quarantined workers.
    pub fn quarantined(&self) -> usize {
        self.quarantine_ends.len()
    }

    fn remove_worker(&mut self, name: &NodeName) {
        let until = self
            .workers
            .remove(name)
            .and_then(|worker| worker.quarantined_until);
        if let Some(until) = until {
            self.quarantine_ends.remove(&(until, name.clone()));
        }
    }

    fn run_succeeded(&mut self, task: TaskKey, name: NodeName, out: &mut Vec<Output>) {
        self.tasks.remove(&task);
        let max_outcomes = self.config.outcomes;
        let worker = self.workers.entry(name.clone()).or_default();
        worker.consecutive_quarantines = 0;
        worker.push(task, false, max_outcomes);
        if let Some(until) = worker.quarantined_until.take() {
            self.quarantine_ends.remove(&(until, name.clone()));
            out.push(Output::Reinstate(name));
        }
    }

    fn run_failed(&mut self, now: Time, task: &TaskKey, name: &NodeName, out: &mut Vec<Output>) {
        self.record_failure(now, task, name);
        let max_outcomes = self.config.outcomes;
        let worker = self.workers.entry(name.clone()).or_default();
        worker.push(task.clone(), true, max_outcomes);
        if self.is_suspected(name) && self.may_quarantine(name) {
            self.quarantine(now, name, out);
        }
        self.park_or_back_off(now, task, out);
    }

    fn record_failure(&mut self, now: Time, task: &TaskKey, worker: &NodeName) {
        if self.tasks.len() >= MAX_FAILED_TASKS && !self.tasks.contains_key(task) {
            let oldest = self
                .tasks
                .iter()
                .min_by_key(|(_, record)| record.last_failure);
            if let Some(oldest) = oldest.map(|(task, _)| task.clone()) {
                self.tasks.remove(&oldest);
            }
        }
        let record = self.tasks.entry(task.clone()).or_default();
        record.workers.insert(worker.clone());
        record.failures += 1;
        record.last_failure = now;
    }

    /// Whether enough distinct tasks fail only on this worker and few other runs succeed. After
    /// a quarantine without a success since, one failed task is enough.
    fn is_suspected(&self, name: &NodeName) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        let failed_elsewhere = |task: &TaskKey| {
            let record = self.tasks.get(task);
            record.is_some_and(|record| record.workers.iter().any(|w| w != name))
        };
        let relevant = worker.outcomes.iter();
        let relevant = relevant.filter(|o| !o.failed || !failed_elsewhere(&o.task));
        let relevant = relevant.collect::<Vec<_>>();
        let failed = relevant.iter().filter(|o| o.failed);
        let tasks = failed.clone().map(|o| &o.task).collect::<BTreeSet<_>>();
        let min_tasks = if worker.consecutive_quarantines > 0 {
            1
        } else {
            self.config.tasks
        };
        let share = failed.count() as f64 / relevant.len().max(1) as f64;
        tasks.len() >= min_tasks && share >= self.config.share
    }

    /// Whether the worker is in service and the limit of quarantined workers not reached.
    fn may_quarantine(&self, name: &NodeName) -> bool {
        let worker = self.workers.get(name);
        let in_service = worker.is_some_and(|worker| worker.quarantined_until.is_none());
        let max_quarantined = (self.workers.len() as f64 * self.config.aside) as usize;
        in_service && self.quarantine_ends.len() < max_quarantined
    }

    fn quarantine(&mut self, now: Time, name: &NodeName, out: &mut Vec<Output>) {
        let config = &self.config;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let factor = 1_u32
            .checked_shl(worker.consecutive_quarantines)
            .unwrap_or(u32::MAX);
        let delay = config.probe.saturating_mul(factor).min(config.probe_max);
        let until = now.after(delay);
        worker.consecutive_quarantines += 1;
        worker.quarantined_until = Some(until);
        worker.outcomes.clear();
        self.quarantine_ends.insert((until, name.clone()));
        out.push(Output::Quarantine(name.clone()));
        self.discard_failures_on(name, out);
    }

    /// Removes the failures on a quarantined worker from the tasks' records; releases parked
    /// tasks that no longer failed on enough workers.
    fn discard_failures_on(&mut self, name: &NodeName, out: &mut Vec<Output>) {
        let min_workers = self.config.workers;
        for (task, record) in &mut self.tasks {
            if !record.workers.remove(name) {
                continue;
            }
            record.failures = record.failures.min(record.workers.len() as u32);
            if record.parked && record.workers.len() < min_workers {
                record.parked = false;
                out.push(Output::Release(task.clone()));
            }
        }
    }

    /// Parks a task that failed on enough unsuspected workers; otherwise delays its restart.
    fn park_or_back_off(&mut self, now: Time, task: &TaskKey, out: &mut Vec<Output>) {
        let Some(record) = self.tasks.get(task) else {
            return;
        };
        let unsuspected = record.workers.iter().filter(|w| !self.is_suspected(w));
        let unsuspected = unsuspected.cloned().collect::<Vec<_>>();
        let config = &self.config;
        if unsuspected.len() >= config.workers {
            let task = task.clone();
            if let Some(record) = self.tasks.get_mut(&task) {
                record.parked = true;
            }
            out.push(Output::Park {
                task,
                workers: unsuspected,
            });
            return;
        }
        let doublings = record.failures.saturating_sub(1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let delay = config
            .back_off
            .saturating_mul(factor)
            .min(config.back_off_max);
        out.push(Output::BackOff {
            task: task.clone(),
            until: now.after(delay),
            workers: record.workers.iter().cloned().collect(),
        });
    }

    /// Reinstates the workers whose quarantine has ended.
    fn reinstate_due(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some((until, _)) = self.quarantine_ends.first() {
            if *until > now {
                return;
            }
            let Some((_, name)) = self.quarantine_ends.pop_first() else {
                return;
            };
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.quarantined_until = None;
            }
            out.push(Output::Reinstate(name));
        }
    }
}

impl Worker {
    fn push(&mut self, task: TaskKey, failed: bool, max_outcomes: usize) {
        if self.outcomes.len() >= max_outcomes {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(Outcome { task, failed });
    }
}

#[cfg(test)]
mod tests;
