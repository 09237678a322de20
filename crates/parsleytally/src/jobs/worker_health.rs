//! Regular comparison of the workers with their peers.
//!
//! Peers are the workers of one pool. Nothing is stored: a new owner learns anew.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::WorkersDecision;
use super::fleet::Worker;
use super::standing::{Peers, WorkerHealth};
use crate::types::{NodeName, Time};

/// Time between two comparisons of the workers with their peers.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Work of a task without checkpoints from which on its loss is costly, in thousandths of
/// a processor times milliseconds: 4 processor seconds. Quick tasks have 1.3, large ones
/// 12 and more.
const COSTLY_WORK: u64 = 4_000_000;

/// Whether the loss of a task with this work and without checkpoints is costly.
pub(super) fn is_costly(cpu: u64, expected_ms: u64) -> bool {
    cpu.saturating_mul(expected_ms) > COSTLY_WORK
}

/// Compares workers with their peers from time to time.
#[derive(Debug, Default)]
pub(super) struct HealthReview {
    refreshed: Time,
}

impl HealthReview {
    /// Updates the standing of all workers if it is due; returns the changes.
    pub(super) fn refresh(
        &mut self,
        now: Time,
        workers: &mut BTreeMap<NodeName, Worker>,
    ) -> Vec<WorkersDecision> {
        if now.since(self.refreshed) < REFRESH_INTERVAL {
            return Vec::new();
        }
        self.refreshed = now;
        let mut peers = peers_by_pool(now, workers);
        // Workers that are restricted already keep their place before others.
        let mut order: Vec<(&NodeName, &mut Worker)> = workers.iter_mut().collect();
        order.sort_by_key(|(_, worker)| !worker.health.is_on_probation());
        let mut changes = Vec::new();
        for (node, worker) in order {
            let pool = worker.report.as_ref().map(|report| &report.service);
            let Some(peers) = pool.and_then(|pool| peers.get_mut(pool)) else {
                continue;
            };
            let change = worker.health.review(now, &worker.runs, peers);
            if let Some((standing, evidence)) = change {
                changes.push(WorkersDecision::Standing {
                    node: node.clone(),
                    standing,
                    evidence,
                });
            }
        }
        changes
    }
}

fn peers_by_pool(now: Time, workers: &BTreeMap<NodeName, Worker>) -> HashMap<Arc<str>, Peers> {
    let mut pools: HashMap<&Arc<str>, Vec<&WorkerHealth>> = HashMap::new();
    for worker in workers.values().filter(|worker| worker.linked) {
        if let Some(report) = &worker.report {
            pools
                .entry(&report.service)
                .or_default()
                .push(&worker.health);
        }
    }
    let peers = |(pool, members): (&Arc<str>, Vec<&WorkerHealth>)| {
        (pool.clone(), Peers::new(now, &members))
    };
    pools.into_iter().map(peers).collect()
}
