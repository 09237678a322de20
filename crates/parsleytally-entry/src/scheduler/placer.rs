//! The choice of workers for tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use parsleytally::configs::{BatchConfig, PlacementConfig, QuotaConfig};
use parsleytally::placement::{Input, NoLatencyImpact, Output, Placement, Report, Request};
use parsleytally::types::{NodeName, RackName, Resources, TaskKey, TeamName, Time, ZoneName};

/// Refusals of one task that are remembered.
const MAX_REFUSALS: usize = 3;

/// A worker for a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) task: TaskKey,
    pub(crate) worker: NodeName,
}

/// Chooses workers; it may be wrong about their room, the agents refuse then.
pub(crate) trait Placer: Send {
    /// A worker can be reached.
    fn worker_up(&mut self, now: Time, worker: &NodeName, zone: &ZoneName, capacity: Resources);

    /// A worker was heard of.
    fn refresh_worker(&mut self, now: Time, worker: &NodeName);

    /// A worker can't be reached.
    fn worker_down(&mut self, now: Time, worker: &NodeName);

    /// A team's quota is in force.
    fn set_quota(&mut self, now: Time, team: TeamName, quota: QuotaConfig);

    /// A task wants a worker.
    fn submit(&mut self, now: Time, task: &TaskKey, config: &BatchConfig);

    /// A task's run has ended.
    fn release(&mut self, now: Time, task: &TaskKey);

    /// A task no longer wants a worker and holds none.
    fn cancel(&mut self, now: Time, task: &TaskKey);

    /// Chooses workers for tasks that want one.
    fn choose(&mut self, now: Time) -> Vec<Choice>;

    /// Why a task waits, and what ruled the workers out.
    fn explain(&self, now: Time, task: &TaskKey) -> Option<String>;

    /// A worker refused a task.
    fn record_refusal(&mut self, task: &TaskKey, worker: &NodeName);

    /// A task was found on a worker.
    fn record_assignment(&mut self, now: Time, task: &TaskKey, worker: &NodeName, need: Resources);
}

/// What a task holds.
#[derive(Debug, Clone)]
struct Grant {
    worker: NodeName,
    need: Resources,
}

/// A worker as it is known here.
#[derive(Debug, Clone)]
struct Worker {
    zone: ZoneName,
    capacity: Resources,
    tasks: BTreeMap<TaskKey, Resources>,
}

/// Places by the library's placement.
#[derive(Debug)]
pub(crate) struct BalancedPlacer {
    placement: Placement,
    workers: BTreeMap<NodeName, Worker>,
    grants: BTreeMap<TaskKey, Grant>,
    refusals: BTreeMap<TaskKey, Vec<NodeName>>,
}

impl BalancedPlacer {
    /// Creates a placer that knows no workers.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            placement: Placement::new(PlacementConfig::default(), seed),
            workers: BTreeMap::new(),
            grants: BTreeMap::new(),
            refusals: BTreeMap::new(),
        }
    }

    fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.placement.step(now, input, &NoLatencyImpact, &mut out);
        out
    }

    fn note(&mut self, task: &TaskKey, worker: &NodeName, need: Resources) {
        self.forget(task);
        if let Some(known) = self.workers.get_mut(worker) {
            known.tasks.insert(task.clone(), need);
        }
        let worker = worker.clone();
        self.grants.insert(task.clone(), Grant { worker, need });
    }

    fn forget(&mut self, task: &TaskKey) {
        let grant = self.grants.remove(task);
        if let Some(known) = grant.and_then(|grant| self.workers.get_mut(&grant.worker)) {
            known.tasks.remove(task);
        }
    }
}

impl Placer for BalancedPlacer {
    fn worker_up(&mut self, now: Time, worker: &NodeName, zone: &ZoneName, capacity: Resources) {
        let held = self.grants.iter().filter(|(_, g)| g.worker == *worker);
        let known = Worker {
            zone: zone.clone(),
            capacity,
            tasks: held.map(|(task, g)| (task.clone(), g.need)).collect(),
        };
        self.workers.insert(worker.clone(), known);
        self.refresh_worker(now, worker);
    }

    fn refresh_worker(&mut self, now: Time, worker: &NodeName) {
        let Some(known) = self.workers.get(worker) else {
            return;
        };
        // Racks are not announced, so each worker counts as its own.
        let Ok(rack) = RackName::new(worker.as_str()) else {
            return;
        };
        let sum = |sum: Resources, need: &Resources| sum.checked_add(need).unwrap_or(sum);
        let report = Report {
            worker: worker.clone(),
            zone: known.zone.clone(),
            rack,
            total: known.capacity,
            granted: known.tasks.values().fold(Resources::NONE, sum),
            tasks: known.tasks.keys().cloned().collect(),
            services: Vec::new(),
            ready: true,
        };
        self.step(now, Input::Report(report));
    }

    fn worker_down(&mut self, now: Time, worker: &NodeName) {
        // Its tasks stay where they are until their owner gives them up.
        let Some(known) = self.workers.remove(worker) else {
            return;
        };
        self.step(now, Input::WorkerLost(worker.clone()));
        for (task, need) in known.tasks {
            self.adopt(now, &task, worker, need);
        }
    }

    fn set_quota(&mut self, now: Time, team: TeamName, quota: QuotaConfig) {
        self.step(now, Input::Quota { team, quota });
    }

    fn submit(&mut self, now: Time, task: &TaskKey, config: &BatchConfig) {
        self.release(now, task);
        let request = Request {
            task: task.clone(),
            class: Arc::from(config.class.as_str()),
            need: config.need,
            run_time: config.run_time,
            urgent: config.urgent,
            group: None,
            avoid: self.refusals.get(task).cloned().unwrap_or_default(),
        };
        self.step(now, Input::Submit(request));
    }

    fn release(&mut self, now: Time, task: &TaskKey) {
        if self.grants.contains_key(task) {
            self.forget(task);
            self.step(now, Input::Ended(task.clone()));
        }
    }

    fn cancel(&mut self, now: Time, task: &TaskKey) {
        self.forget(task);
        self.refusals.remove(task);
        self.step(now, Input::Cancel(task.clone()));
    }

    fn choose(&mut self, now: Time) -> Vec<Choice> {
        let mut choices = Vec::new();
        for output in self.step(now, Input::Tick) {
            if let Output::Start { task, worker, need } = output {
                self.note(&task, &worker, need);
                choices.push(Choice { task, worker });
            }
        }
        choices
    }

    fn explain(&self, now: Time, task: &TaskKey) -> Option<String> {
        let explanation = self.placement.explain(now, task, &NoLatencyImpact)?;
        Some(explanation.to_string())
    }

    fn record_refusal(&mut self, task: &TaskKey, worker: &NodeName) {
        let refusals = self.refusals.entry(task.clone()).or_default();
        refusals.retain(|known| known != worker);
        refusals.push(worker.clone());
        if refusals.len() > MAX_REFUSALS {
            refusals.remove(0);
        }
    }

    fn record_assignment(&mut self, now: Time, task: &TaskKey, worker: &NodeName, need: Resources) {
        if self.grants.get(task).is_some_and(|g| g.worker == *worker) {
            return;
        }
        self.note(task, worker, need);
        self.adopt(now, task, worker, need);
    }
}

impl BalancedPlacer {
    fn adopt(&mut self, now: Time, task: &TaskKey, worker: &NodeName, need: Resources) {
        let request = Request {
            task: task.clone(),
            class: Arc::from(""),
            need,
            run_time: std::time::Duration::ZERO,
            urgent: false,
            group: None,
            avoid: Vec::new(),
        };
        let worker = worker.clone();
        self.step(now, Input::Adopt { request, worker });
    }
}

#[cfg(test)]
mod tests;
