//! Use of the pools, by which services are protected from best-effort jobs.
//!
//! A pool must not count as full while it has room, or jobs wait beside it. So the use is a lower bound and the
//! total an upper one: a worker whose runs are not known to go on counts with all its processors and no use, until
//! its leases or the hold of its agent have passed. From then on it does not count, as it may be gone for good.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::super::fleet::Worker;
use super::Scheduler;
use crate::types::Time;

/// Share of a pool's processors that is reserved when it counts as full, in percent. Above it,
/// best-effort jobs wait for the protection of others.
const FULL_PERCENT: u64 = 60;
/// Time for which it is used, where workers report often, whether a pool is full.
const FULL_INTERVAL: Duration = Duration::from_millis(500);

/// Use of the processors of a pool, as it decides whether the pool counts as full.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolUse {
    /// Processors reserved by runs that are known to go on, in thousandths.
    reserved: u64,
    /// Processors of all workers on which runs may go on, in thousandths.
    total: u64,
    /// Number of known workers without a link; their processors count until their hold has passed.
    unlinked: usize,
}

impl PoolUse {
    /// Share of the pool's processors that counts as reserved, in percent.
    pub fn used_percent(&self) -> u64 {
        (self.reserved * 100).checked_div(self.total).unwrap_or(0)
    }

    /// Number of known workers without a link; their processors count until their hold has passed.
    pub fn unlinked(&self) -> usize {
        self.unlinked
    }

    /// Whether most processors are reserved.
    pub fn is_full(&self) -> bool {
        self.reserved * 100 > self.total * FULL_PERCENT
    }

    /// Adds a worker; `unreported` if an agent of the predecessor has not listed its runs.
    fn add(&mut self, worker: &Worker, capacity: u64, unreported: bool) {
        if unreported || worker.may_have_runs() {
            self.total += capacity;
        }
        if worker.is_reached() {
            // A worker that has shrunk may have reserved more than it has.
            self.reserved += worker.reserved.cpu.0.min(capacity);
        }
        self.unlinked += usize::from(!worker.linked);
    }
}

impl Scheduler {
    /// Use of each pool of which a worker is known.
    pub fn pool_uses(&self) -> BTreeMap<Arc<str>, PoolUse> {
        let mut uses = BTreeMap::<Arc<str>, PoolUse>::new();
        for (node, worker) in &self.workers {
            if let Some(report) = &worker.report {
                let pool = uses.entry(report.service.clone()).or_default();
                pool.add(worker, report.capacity.cpu.0, self.is_unreported(node));
            }
        }
        uses
    }

    pub(super) fn pool_use(&self, pool: &str) -> PoolUse {
        let mut pool_use = PoolUse::default();
        for (node, worker) in &self.workers {
            if let Some(report) = &worker.report
                && *report.service == *pool
            {
                pool_use.add(worker, report.capacity.cpu.0, self.is_unreported(node));
            }
        }
        pool_use
    }

    /// Whether most processors of a pool are reserved.
    pub(super) fn is_full(&self, pool: &str) -> bool {
        self.pool_use(pool).is_full()
    }

    /// Whether most processors of a pool were reserved within the last [`FULL_INTERVAL`].
    pub(super) fn was_full(&mut self, now: Time, pool: &Arc<str>) -> bool {
        if let Some((computed, full)) = self.full_pools.get(pool)
            && now.since(*computed) < FULL_INTERVAL
        {
            return *full;
        }
        let full = self.is_full(pool);
        self.full_pools.insert(pool.clone(), (now, full));
        full
    }
}
