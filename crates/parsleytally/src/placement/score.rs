//! Penalty of a candidate; the worker with the lowest one is chosen.

use std::collections::HashMap;
use std::sync::Arc;

use crate::configs::PlacementConfig;
use crate::types::Resources;

use super::fleet::Worker;
use super::{Request, ServiceLoad};

/// Expected effect of a task class on the tail latency of a service class.
pub trait LatencyImpact {
    /// Growth of the logarithm of the service's tail latency, at full load, for each
    /// processor that tasks of the class use. `slowdown` is the service's current
    /// latency relative to its target.
    fn log_growth_per_core(&self, service: &str, task: &str, slowdown: f64) -> f64;
}

/// Model in which tasks never affect services.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoLatencyImpact;

impl LatencyImpact for NoLatencyImpact {
    fn log_growth_per_core(&self, _service: &str, _task: &str, _slowdown: f64) -> f64 {
        0.0
    }
}

/// Number of members of each group in each zone, rack and worker.
#[derive(Debug, Default)]
pub(super) struct GroupCounts {
    counts: HashMap<(Arc<str>, String), u32>,
}

impl GroupCounts {
    pub(super) fn add(&mut self, group: &Arc<str>, worker: &Worker) {
        for domain in failure_domains(worker) {
            *self.counts.entry((group.clone(), domain)).or_default() += 1;
        }
    }

    pub(super) fn remove(&mut self, group: &Arc<str>, worker: &Worker) {
        for domain in failure_domains(worker) {
            let key = (group.clone(), domain);
            let Some(count) = self.counts.get_mut(&key) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&key);
            }
        }
    }

    /// Members that share the worker's zone, plus twice those of its rack and four times
    /// those of the worker.
    fn weighted_members(&self, group: &Arc<str>, worker: &Worker) -> f64 {
        let weights = [1.0, 2.0, 4.0];
        let count = |domain| f64::from(*self.counts.get(&(group.clone(), domain)).unwrap_or(&0));
        let weighted = failure_domains(worker).map(count);
        weighted.iter().zip(weights).map(|(n, w)| n * w).sum()
    }
}

/// Keys of the worker's zone, rack and the worker itself.
fn failure_domains(worker: &Worker) -> [String; 3] {
    let report = &worker.report;
    [
        format!("zone {}", report.zone),
        format!("rack {}/{}", report.zone, report.rack),
        format!("worker {}", report.worker),
    ]
}

/// Highest slowdown expected of any service of the worker after the start.
///
/// Starts that no report covers yet are included. For a service without a fresh
/// measurement its load stands in for the slowdown.
pub(super) fn expected_slowdown(
    worker: &Worker,
    request: &Request,
    impact: &dyn LatencyImpact,
) -> f64 {
    let slowdown_of = |service: &ServiceLoad| {
        let slowdown = service.slowdown.unwrap_or(service.load);
        let growth_by = |class: &str, need: &Resources| {
            impact.log_growth_per_core(&service.class, class, slowdown) * need.cpu.0 as f64
                / 1_000.0
        };
        let assumed_starts = worker
            .assumed_starts()
            .map(|(class, need)| growth_by(class, need));
        let growth = assumed_starts.sum::<f64>() + growth_by(&request.class, &request.need);
        slowdown * (growth * service.load).exp()
    };
    let services = worker.report.services.iter();
    services.map(slowdown_of).fold(0.0, f64::max)
}

/// Sum of the weighted penalties.
pub(super) fn penalty(
    worker: &Worker,
    request: &Request,
    slowdown: f64,
    groups: &GroupCounts,
    config: &PlacementConfig,
) -> f64 {
    let weights = &config.weights;
    let remaining = worker.free.saturating_sub(&request.need);
    let (cpu, memory) = remaining_shares(&remaining, &worker.report.total);
    let mut sum = weights.leftover * (cpu + memory) / 2.0;
    sum += weights.imbalance * (cpu - memory).abs();
    sum += weights.strain * slowdown;
    if let Some(group) = &request.group {
        sum += weights.spread * groups.weighted_members(group, worker);
    }
    if request.need.accelerators == 0 && worker.free.accelerators > 0 {
        sum += weights.accelerator;
    }
    sum
}

fn remaining_shares(remaining: &Resources, total: &Resources) -> (f64, f64) {
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    (
        share(remaining.cpu.0, total.cpu.0),
        share(remaining.memory.0, total.memory.0),
    )
}
