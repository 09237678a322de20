//! Penalty of a candidate; the lowest one is chosen.

use std::collections::HashMap;
use std::sync::Arc;

use crate::configs::PlacementConfig;
use crate::types::Resources;

use super::fleet::{Worker, saturating_sub};
use super::{Request, ServiceLoad};

/// Expected effect of a task class on a service class.
pub trait LatencyImpact {
    /// Log growth of the service's tail latency at full load by each processor that
    /// tasks of the class use; `strain` is the service's latency over target now.
    fn log_growth_per_core(&self, service: &str, task: &str, strain: f64) -> f64;
}

/// Expects no effect at all.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoLatencyImpact;

impl LatencyImpact for NoLatencyImpact {
    fn log_growth_per_core(&self, _service: &str, _task: &str, _strain: f64) -> f64 {
        0.0
    }
}

/// Members of each group by the place where they run.
#[derive(Debug, Default)]
pub(super) struct Spread {
    counts: HashMap<(Arc<str>, String), u32>,
}

impl Spread {
    pub(super) fn add(&mut self, group: &Arc<str>, worker: &Worker) {
        for place in places(worker) {
            *self.counts.entry((group.clone(), place)).or_default() += 1;
        }
    }

    pub(super) fn remove(&mut self, group: &Arc<str>, worker: &Worker) {
        for place in places(worker) {
            let key = (group.clone(), place);
            let Some(count) = self.counts.get_mut(&key) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&key);
            }
        }
    }

    /// Members beside a new one: a rack counts double and a worker fourfold.
    fn crowd(&self, group: &Arc<str>, worker: &Worker) -> f64 {
        let weights = [1.0, 2.0, 4.0];
        let count = |place| f64::from(*self.counts.get(&(group.clone(), place)).unwrap_or(&0));
        let weighted = places(worker).map(count);
        weighted.iter().zip(weights).map(|(n, w)| n * w).sum()
    }
}

fn places(worker: &Worker) -> [String; 3] {
    let report = &worker.report;
    [
        format!("zone {}", report.zone),
        format!("rack {}/{}", report.zone, report.rack),
        format!("worker {}", report.worker),
    ]
}

/// Highest strain expected on a service of the worker after the start.
///
/// Starts that no report covers yet are counted in. A service without a fresh
/// measurement is taken to be at its load.
pub(super) fn expected_strain(
    worker: &Worker,
    request: &Request,
    impact: &dyn LatencyImpact,
) -> f64 {
    let expect = |service: &ServiceLoad| {
        let strain = service.slowdown.unwrap_or(service.load);
        let grow = |class: &str, need: &Resources| {
            impact.log_growth_per_core(&service.class, class, strain) * need.cpu.0 as f64 / 1_000.0
        };
        let assumed = worker.assumed().map(|(class, need)| grow(class, need));
        let growth = assumed.sum::<f64>() + grow(&request.class, &request.need);
        strain * (growth * service.load).exp()
    };
    let services = worker.report.services.iter();
    services.map(expect).fold(0.0, f64::max)
}

/// Sum of the weighted penalties.
pub(super) fn penalty(
    worker: &Worker,
    request: &Request,
    strain: f64,
    spread: &Spread,
    config: &PlacementConfig,
) -> f64 {
    let weights = &config.weights;
    let left = saturating_sub(&worker.free, &request.need);
    let (cpu, memory) = shares(&left, &worker.report.total);
    let mut sum = weights.leftover * (cpu + memory) / 2.0;
    sum += weights.imbalance * (cpu - memory).abs();
    sum += weights.strain * strain;
    if let Some(group) = &request.group {
        sum += weights.spread * spread.crowd(group, worker);
    }
    if request.need.accelerators == 0 && worker.free.accelerators > 0 {
        sum += weights.accelerator;
    }
    sum
}

fn shares(left: &Resources, total: &Resources) -> (f64, f64) {
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    (
        share(left.cpu.0, total.cpu.0),
        share(left.memory.0, total.memory.0),
    )
}
