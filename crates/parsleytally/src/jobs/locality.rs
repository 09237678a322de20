//! Delay scheduling: how long tasks wait for room in their preferred rack.
//!
//! A task waits while the time that it has waited and the forecast of its further wait are
//! below the extra run time elsewhere. Tasks of a long queue for one rack thus start
//! elsewhere at once.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::fleet::Worker;
use crate::types::{NodeName, Time};

/// A pool and one of its racks.
type PoolRack = (Arc<str>, Arc<str>);

/// Capacity of a rack and the work that waits for it.
#[derive(Debug, Default)]
struct Rack {
    /// Processors that tasks of jobs can have, in thousandths.
    cpu: u64,
    /// Work of the tasks that wait, in thousandths of a processor times milliseconds.
    queued: u64,
}

/// A task that prefers a rack.
#[derive(Debug, Clone, Copy)]
pub(super) struct RackTask<'a> {
    pub(super) pool: &'a Arc<str>,
    pub(super) rack: &'a Arc<str>,
    /// Processors that it needs, in thousandths.
    pub(super) cpu: u64,
    pub(super) expected_ms: u64,
    /// Time for which it has waited for the rack.
    pub(super) waited_ms: u64,
}

/// Whether a task waits for its rack, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RackChoice {
    pub(super) waits: bool,
    pub(super) forecast_ms: u64,
    pub(super) allowed_ms: u64,
}

/// Racks and the work that waits for them in one placement pass.
#[derive(Debug)]
pub(super) struct RackQueues {
    racks: HashMap<PoolRack, Rack>,
    /// Run time outside the preferred rack, in percent of that inside.
    remote_percent: u32,
}

impl RackQueues {
    pub(super) fn new(
        now: Time,
        workers: &BTreeMap<NodeName, Worker>,
        remote_percent: u32,
    ) -> Self {
        let mut racks: HashMap<PoolRack, Rack> = HashMap::new();
        let usable = |worker: &&Worker| worker.accepts_tasks(now) && !worker.failures.is_suspect();
        for worker in workers.values().filter(usable) {
            let Some(report) = &worker.report else {
                continue;
            };
            if let Some(rack) = &report.rack {
                let key = (report.service.clone(), rack.clone());
                racks.entry(key).or_default().cpu += cpu_for_jobs(worker);
            }
        }
        Self {
            racks,
            remote_percent,
        }
    }

    /// Decides whether `task`, for which its rack has no room, waits for it; one that waits
    /// is ahead of the next ones.
    pub(super) fn choose(&mut self, task: &RackTask<'_>) -> RackChoice {
        let extra_percent = u64::from(self.remote_percent.saturating_sub(100));
        let allowed_ms = task.expected_ms.saturating_mul(extra_percent) / 100;
        let elsewhere = RackChoice {
            waits: false,
            forecast_ms: u64::MAX,
            allowed_ms,
        };
        let key = (task.pool.clone(), task.rack.clone());
        let rack = self.racks.get_mut(&key).filter(|rack| rack.cpu >= task.cpu);
        let Some(rack) = rack.filter(|rack| rack.cpu > 0) else {
            return elsewhere;
        };
        let queued = rack.queued + task.cpu.saturating_mul(task.expected_ms);
        let forecast_ms = queued / rack.cpu;
        let waits = task.waited_ms.saturating_add(forecast_ms) < allowed_ms;
        if waits {
            rack.queued = queued;
        }
        RackChoice {
            waits,
            forecast_ms,
            allowed_ms,
        }
    }
}

/// Processors of a worker that services don't reserve, in thousandths.
fn cpu_for_jobs(worker: &Worker) -> u64 {
    let capacity = worker
        .report
        .as_ref()
        .map_or(0, |report| report.capacity.cpu.0);
    let services = worker.runs.values().filter(|load| load.target_ms > 0);
    let reserved: u64 = services
        .filter(|load| !load.best_effort)
        .map(|load| load.need.cpu.0)
        .sum();
    capacity.saturating_sub(reserved)
}
