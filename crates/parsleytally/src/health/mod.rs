//! Tells sick workers from sick tasks.
//!
//! A failed run speaks against its worker and its task alike. A worker is sick when
//! several distinct tasks failed there, none of which is itself under suspicion from
//! other workers, and little else succeeded. It is set aside, tried again later with
//! a time that doubles, and a floor keeps most workers in service whatever is counted.
//! A task is sick when it failed on several distinct workers that are not suspected
//! themselves; it backs off after each failure and is then parked with the reason.
//! When a worker is found sick, its failures are struck from the tasks' records, and
//! a task that was parked by them is released.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::configs::HealthConfig;
use crate::types::{NodeName, TaskKey, Time};

/// Failed tasks that are remembered; the oldest failure goes first.
const MAX_TASKS: usize = 16_384;

/// An event that speaks for or against a worker or a task.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A worker takes part from now on.
    WorkerJoined(NodeName),
    /// A worker has gone.
    WorkerLost(NodeName),
    /// A run failed for a reason of its own, not by eviction or loss of the worker.
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
    /// The task is no longer wanted.
    TaskCancelled(TaskKey),
    /// Time has passed.
    Tick,
}

/// A verdict.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Start nothing more on the worker.
    Quarantine(NodeName),
    /// Start on the worker again.
    Reinstate(NodeName),
    /// Start the task again no earlier than this.
    BackOff {
        /// The task.
        task: TaskKey,
        /// Earliest next start.
        until: Time,
        /// Workers on which it failed.
        workers: Vec<NodeName>,
    },
    /// Do not start the task again until it changes or is released.
    Park {
        /// The task.
        task: TaskKey,
        /// Workers on which it failed.
        workers: Vec<NodeName>,
    },
    /// The failures of a parked task were its workers' fault: start it again.
    Release(TaskKey),
}

/// One outcome of a run on a worker.
#[derive(Debug)]
struct Outcome {
    task: TaskKey,
    failed: bool,
}

/// What is known about a worker.
#[derive(Debug, Default)]
struct Worker {
    outcomes: VecDeque<Outcome>,
    /// When it is to be tried again, if it is set aside.
    aside: Option<Time>,
    /// Times it was set aside without a success since.
    strikes: u32,
}

/// What is known about a task that failed.
#[derive(Debug, Default)]
struct Record {
    workers: BTreeSet<NodeName>,
    failures: u32,
    parked: bool,
    last: Time,
}

/// The state of health.
#[derive(Debug)]
pub struct Health {
    config: HealthConfig,
    workers: BTreeMap<NodeName, Worker>,
    tasks: BTreeMap<TaskKey, Record>,
    probes: BTreeSet<(Time, NodeName)>,
}

impl Health {
    /// Creates a state that knows no workers and no failures.
    pub fn new(config: HealthConfig) -> Self {
        Self {
            config,
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            probes: BTreeSet::new(),
        }
    }

    /// Takes one event; verdicts are appended to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::WorkerJoined(worker) => {
                self.workers.entry(worker).or_default();
            }
            Input::WorkerLost(worker) => self.left(&worker),
            Input::RunFailed { task, worker } => self.failed(now, &task, &worker, out),
            Input::RunSucceeded { task, worker } => self.succeeded(task, worker, out),
            Input::TaskCancelled(task) => {
                self.tasks.remove(&task);
            }
            Input::Tick => self.probe(now, out),
        }
    }

    /// Workers that are set aside.
    pub fn quarantined(&self) -> usize {
        self.probes.len()
    }

    fn left(&mut self, name: &NodeName) {
        let aside = self.workers.remove(name).and_then(|worker| worker.aside);
        if let Some(at) = aside {
            self.probes.remove(&(at, name.clone()));
        }
    }

    fn succeeded(&mut self, task: TaskKey, name: NodeName, out: &mut Vec<Output>) {
        self.tasks.remove(&task);
        let most = self.config.outcomes;
        let worker = self.workers.entry(name.clone()).or_default();
        worker.strikes = 0;
        worker.push(task, false, most);
        if let Some(at) = worker.aside.take() {
            self.probes.remove(&(at, name.clone()));
            out.push(Output::Reinstate(name));
        }
    }

    fn failed(&mut self, now: Time, task: &TaskKey, name: &NodeName, out: &mut Vec<Output>) {
        self.record(now, task, name);
        let most = self.config.outcomes;
        let worker = self.workers.entry(name.clone()).or_default();
        worker.push(task.clone(), true, most);
        if self.suspected(name) && self.may_set_aside(name) {
            self.set_aside(now, name, out);
        }
        self.judge_task(now, task, out);
    }

    fn record(&mut self, now: Time, task: &TaskKey, worker: &NodeName) {
        if self.tasks.len() >= MAX_TASKS && !self.tasks.contains_key(task) {
            let oldest = self.tasks.iter().min_by_key(|(_, record)| record.last);
            if let Some(oldest) = oldest.map(|(task, _)| task.clone()) {
                self.tasks.remove(&oldest);
            }
        }
        let record = self.tasks.entry(task.clone()).or_default();
        record.workers.insert(worker.clone());
        record.failures += 1;
        record.last = now;
    }

    /// Whether unrelated tasks fail on the worker and little else succeeds.
    fn suspected(&self, name: &NodeName) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        let elsewhere = |task: &TaskKey| {
            let record = self.tasks.get(task);
            record.is_some_and(|record| record.workers.iter().any(|w| w != name))
        };
        let counted = worker.outcomes.iter();
        let counted = counted.filter(|o| !o.failed || !elsewhere(&o.task));
        let counted = counted.collect::<Vec<_>>();
        let failed = counted.iter().filter(|o| o.failed);
        let tasks = failed.clone().map(|o| &o.task).collect::<BTreeSet<_>>();
        let needed = if worker.strikes > 0 {
            1
        } else {
            self.config.tasks
        };
        let share = failed.count() as f64 / counted.len().max(1) as f64;
        tasks.len() >= needed && share >= self.config.share
    }

    fn may_set_aside(&self, name: &NodeName) -> bool {
        let worker = self.workers.get(name);
        let inside = worker.is_some_and(|worker| worker.aside.is_none());
        let most = (self.workers.len() as f64 * self.config.aside) as usize;
        inside && self.probes.len() < most
    }

    fn set_aside(&mut self, now: Time, name: &NodeName, out: &mut Vec<Output>) {
        let config = &self.config;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let factor = 1_u32.checked_shl(worker.strikes).unwrap_or(u32::MAX);
        let wait = config.probe.saturating_mul(factor).min(config.probe_max);
        let at = now.after(wait);
        worker.strikes += 1;
        worker.aside = Some(at);
        worker.outcomes.clear();
        self.probes.insert((at, name.clone()));
        out.push(Output::Quarantine(name.clone()));
        self.absolve(name, out);
    }

    /// Strikes the failures on a sick worker from the tasks' records.
    fn absolve(&mut self, name: &NodeName, out: &mut Vec<Output>) {
        let needed = self.config.workers;
        for (task, record) in &mut self.tasks {
            if !record.workers.remove(name) {
                continue;
            }
            record.failures = record.failures.min(record.workers.len() as u32);
            if record.parked && record.workers.len() < needed {
                record.parked = false;
                out.push(Output::Release(task.clone()));
            }
        }
    }

    fn judge_task(&mut self, now: Time, task: &TaskKey, out: &mut Vec<Output>) {
        let Some(record) = self.tasks.get(task) else {
            return;
        };
        let sound = record.workers.iter().filter(|w| !self.suspected(w));
        let sound = sound.cloned().collect::<Vec<_>>();
        let config = &self.config;
        if sound.len() >= config.workers {
            let task = task.clone();
            if let Some(record) = self.tasks.get_mut(&task) {
                record.parked = true;
            }
            out.push(Output::Park {
                task,
                workers: sound,
            });
            return;
        }
        let doublings = record.failures.saturating_sub(1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let wait = config
            .back_off
            .saturating_mul(factor)
            .min(config.back_off_max);
        out.push(Output::BackOff {
            task: task.clone(),
            until: now.after(wait),
            workers: record.workers.iter().cloned().collect(),
        });
    }

    fn probe(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some((at, _)) = self.probes.first() {
            if *at > now {
                return;
            }
            let Some((_, name)) = self.probes.pop_first() else {
                return;
            };
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.aside = None;
            }
            out.push(Output::Reinstate(name));
        }
    }
}

impl Worker {
    fn push(&mut self, task: TaskKey, failed: bool, most: usize) {
        if self.outcomes.len() >= most {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(Outcome { task, failed });
    }
}

#[cfg(test)]
mod tests;
