//! Chooses the workers of tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use parsleytally::configs::{BatchConfig, PlacementConfig, QuotaConfig};
use parsleytally::placement::{Input, NoLatencyImpact, Output, Placement, Report, Request};
use parsleytally::types::{NodeName, RackName, Resources, TaskKey, TeamName, Time, ZoneName};

/// Number of refusing workers that are remembered for each task.
const MAX_REFUSALS: usize = 3;

/// A task and the worker chosen for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) task: TaskKey,
    pub(crate) worker: NodeName,
}

/// Chooses workers; its view of their free capacity may be wrong, then their agents refuse.
pub(crate) trait Placer: Send {
    /// A worker opened a link.
    fn worker_up(&mut self, now: Time, worker: &NodeName, zone: &ZoneName, capacity: Resources);

    /// A worker sent a heartbeat: its report to the placement is renewed.
    fn refresh_worker(&mut self, now: Time, worker: &NodeName);

    /// A worker's link was closed.
    fn worker_down(&mut self, now: Time, worker: &NodeName);

    /// Sets a team's quota.
    fn set_quota(&mut self, now: Time, team: TeamName, quota: QuotaConfig);

    /// Requests a worker for a task, or updates the request.
    fn submit(&mut self, now: Time, task: &TaskKey, config: &BatchConfig);

    /// Releases the resources of a task whose run has ended.
    fn release(&mut self, now: Time, task: &TaskKey);

    /// Withdraws a task: cancels its request and releases its resources.
    fn cancel(&mut self, now: Time, task: &TaskKey);

    /// Chooses workers for the submitted tasks.
    fn choose(&mut self, now: Time) -> Vec<Choice>;

    /// Why a task waits, and why no worker was chosen.
    fn explain(&self, now: Time, task: &TaskKey) -> Option<String>;

    /// Records that a worker refused a task, so that later requests avoid it.
    fn record_refusal(&mut self, task: &TaskKey, worker: &NodeName);

    /// Records that a task is assigned to a worker already.
    fn record_assignment(&mut self, now: Time, task: &TaskKey, worker: &NodeName, need: Resources);
}

/// Resources granted to a task on a worker.
#[derive(Debug, Clone)]
struct Grant {
    worker: NodeName,
    need: Resources,
}

/// A linked worker with the needs of its tasks.
#[derive(Debug, Clone)]
struct Worker {
    zone: ZoneName,
    capacity: Resources,
    tasks: BTreeMap<TaskKey, Resources>,
}

/// A [`Placer`] that uses the library's [`Placement`].
#[derive(Debug)]
pub(crate) struct BalancedPlacer {
    placement: Placement,
    workers: BTreeMap<NodeName, Worker>,
    grants: BTreeMap<TaskKey, Grant>,
    refusals: BTreeMap<TaskKey, Vec<NodeName>>,
}

impl BalancedPlacer {
    /// Creates a placer without workers.
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

    fn insert_grant(&mut self, task: &TaskKey, worker: &NodeName, need: Resources) {
        self.remove_grant(task);
        if let Some(known) = self.workers.get_mut(worker) {
            known.tasks.insert(task.clone(), need);
        }
        let worker = worker.clone();
        self.grants.insert(task.clone(), Grant { worker, need });
    }

    fn remove_grant(&mut self, task: &TaskKey) {
        let grant = self.grants.remove(task);
        if let Some(known) = grant.and_then(|grant| self.workers.get_mut(&grant.worker)) {
            known.tasks.remove(task);
        }
    }
}

impl Placer for BalancedPlacer {
    fn worker_up(&mut self, now: Time, worker: &NodeName, zone: &ZoneName, capacity: Resources) {
        let grants = self.grants.iter().filter(|(_, g)| g.worker == *worker);
        let known = Worker {
            zone: zone.clone(),
            capacity,
            tasks: grants.map(|(task, g)| (task.clone(), g.need)).collect(),
        };
        self.workers.insert(worker.clone(), known);
        self.refresh_worker(now, worker);
    }

    fn refresh_worker(&mut self, now: Time, worker: &NodeName) {
        let Some(known) = self.workers.get(worker) else {
            return;
        };
        // Racks are not announced here, so each worker counts as its own rack.
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
        // Its tasks stay assigned to it until their owner gives them up.
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
            self.remove_grant(task);
            self.step(now, Input::Ended(task.clone()));
        }
    }

    fn cancel(&mut self, now: Time, task: &TaskKey) {
        self.remove_grant(task);
        self.refusals.remove(task);
        self.step(now, Input::Cancel(task.clone()));
    }

    fn choose(&mut self, now: Time) -> Vec<Choice> {
        let mut choices = Vec::new();
        for output in self.step(now, Input::Tick) {
            if let Output::Start { task, worker, need } = output {
                self.insert_grant(&task, &worker, need);
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
        self.insert_grant(task, worker, need);
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
