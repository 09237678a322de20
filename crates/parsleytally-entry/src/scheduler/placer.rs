//! The choice of a worker for a task.

use std::collections::BTreeMap;

use parsleytally::types::{NodeName, Resources, TaskKey};

/// Chooses workers; it may be wrong about their room, the agents refuse then.
pub(crate) trait Placer: Send {
    /// A worker can be reached.
    fn up(&mut self, worker: &NodeName, capacity: Resources);

    /// A worker can't be reached.
    fn down(&mut self, worker: &NodeName);

    /// A worker that may take a task, or why none does.
    fn choose(&mut self, task: &TaskKey, need: &Resources) -> Result<NodeName, String>;

    /// A task was given to a worker, or was found on it.
    fn held(&mut self, task: &TaskKey, worker: &NodeName, need: Resources);

    /// A task's run has ended.
    fn freed(&mut self, task: &TaskKey);
}

#[derive(Debug, Clone)]
struct Grant {
    worker: NodeName,
    need: Resources,
}

/// Takes the first worker, by name, with room by declared sizes.
#[derive(Debug, Default)]
pub(crate) struct FirstFit {
    workers: BTreeMap<NodeName, Resources>,
    used: BTreeMap<NodeName, Resources>,
    grants: BTreeMap<TaskKey, Grant>,
}

impl FirstFit {
    fn has_room(&self, worker: &NodeName, capacity: &Resources, need: &Resources) -> bool {
        let used = self.used.get(worker).copied().unwrap_or(Resources::NONE);
        let sum = used.checked_add(need);
        sum.is_some_and(|sum| sum.fits(capacity))
    }
}

impl Placer for FirstFit {
    fn up(&mut self, worker: &NodeName, capacity: Resources) {
        self.workers.insert(worker.clone(), capacity);
    }

    fn down(&mut self, worker: &NodeName) {
        self.workers.remove(worker);
    }

    fn choose(&mut self, _task: &TaskKey, need: &Resources) -> Result<NodeName, String> {
        if self.workers.is_empty() {
            return Err("no worker is known".to_owned());
        }
        let mut workers = self.workers.iter();
        let found = workers.find(|(name, capacity)| self.has_room(name, capacity, need));
        found
            .map(|(name, _)| name.clone())
            .ok_or_else(|| "no worker has room".to_owned())
    }

    fn held(&mut self, task: &TaskKey, worker: &NodeName, need: Resources) {
        self.freed(task);
        let used = self.used.entry(worker.clone()).or_default();
        *used = used.checked_add(&need).unwrap_or(*used);
        let worker = worker.clone();
        self.grants.insert(task.clone(), Grant { worker, need });
    }

    fn freed(&mut self, task: &TaskKey) {
        let Some(grant) = self.grants.remove(task) else {
            return;
        };
        if let Some(used) = self.used.get_mut(&grant.worker) {
            *used = used.checked_sub(&grant.need).unwrap_or_default();
        }
    }
}
