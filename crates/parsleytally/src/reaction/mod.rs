//! Protects the services of one worker from its batch runs.
//!
//! When a service's tail latency comes near its target, the runs with the largest
//! expected effect per processor are throttled, as many as the learned effects require.
//! If the service stays late although every harmful run is throttled, the cost of the
//! lateness accumulates until it exceeds the cost of a removal. Then the run with the
//! least lost work for its effect is removed: moved by a checkpoint where possible,
//! evicted otherwise. A budget bounds moves and evictions, also in a long burst of
//! noise. After a calm period throttled runs are raised again step by step.
//!
//! After each change the controller waits until it shows in the measurements. Without
//! fresh measurements no run is throttled further, moved, evicted for latency or raised.

mod messages;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub use messages::{Output, RunView, Sample, ServiceView, ThrottleLevel};

use crate::configs::{DeploymentConfig, ReactionConfig};
use crate::placement::LatencyImpact;
use crate::types::{MilliCpu, Resources, TaskKey, Time};

/// Lowest effect per processor for which a run is moved or evicted.
const MIN_EFFECT: f64 = 0.002;
/// Longest time between two samples that counts as lateness.
const MAX_GAP: Duration = Duration::from_secs(60);
/// Largest reduction of log slowdown that one step aims at.
const MAX_RELIEF: f64 = 1.0;
/// Cost of a removal at weight 1 beside the lost work, in seconds.
const EVICTION_SECONDS: f64 = 120.0;
/// Weight of a new measurement in the smoothed log slowdown.
const SMOOTHING: f64 = 0.35;
/// Change of log slowdown above which a measurement replaces the smoothed value.
const MIN_JUMP: f64 = 0.4;
/// Age of a run from which its grant of processors may shrink to its use.
const MIN_SHRINK_AGE: Duration = Duration::from_secs(120);
/// Factor from the processors that a run uses to those that it keeps.
const CPU_MARGIN: f64 = 1.15;
/// Smallest grant of processors, in thousandths.
const MIN_CPU_MILLIS: u64 = 50;
/// A grant shrinks only by more than its size divided by this.
const MIN_SHRINK_DIVISOR: u64 = 8;
/// Work lost in a move with a checkpoint, in seconds.
const MOVE_SECONDS: f64 = 15.0;

/// The service with the highest smoothed slowdown, among those freshly measured.
#[derive(Debug, Clone)]
struct Worst<'a> {
    service: &'a ServiceView,
    slowdown: f64,
}

/// Exponentially smoothed slowdown of one service.
#[derive(Debug, Clone, Copy)]
struct SmoothedSlowdown {
    measured_at: Time,
    log_slowdown: f64,
}

/// The controller of one worker.
#[derive(Debug)]
pub struct Reaction {
    config: DeploymentConfig,
    last_change: Option<Time>,
    /// Since when the slowdown has been below the lower threshold.
    calm_since: Option<Time>,
    last_sample: Option<Time>,
    smoothed_slowdowns: BTreeMap<Arc<str>, SmoothedSlowdown>,
    /// Accumulated cost of time past the target, in weighted seconds.
    lateness_cost: f64,
    /// Moves and evictions that the budget still allows; refilled at `budget` per hour.
    removal_tokens: f64,
}

impl Reaction {
    /// Creates the controller of a worker, with a full budget.
    pub fn new(config: DeploymentConfig) -> Self {
        let removal_tokens = config.reaction.budget;
        Self {
            config,
            last_change: None,
            calm_since: None,
            last_sample: None,
            smoothed_slowdowns: BTreeMap::new(),
            lateness_cost: 0.0,
            removal_tokens,
        }
    }

    /// Replaces the settings and keeps the accumulated state.
    pub fn configure(&mut self, config: DeploymentConfig) {
        self.removal_tokens = self.removal_tokens.min(config.reaction.budget);
        self.config = config;
    }

    /// Applies one sample and appends the changes to `out`.
    pub fn step(
        &mut self,
        now: Time,
        sample: &Sample,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let gap = self
            .last_sample
            .map_or(Duration::ZERO, |last| now.since(last));
        self.last_sample = Some(now);
        self.refill(gap);
        if self.relieve_memory(now, sample, out) {
            return;
        }
        resize(sample, out);
        let Some(worst) = self.worst(now, sample) else {
            self.calm_since = None;
            return;
        };
        let slowdown = worst.slowdown;
        self.add_lateness(slowdown, gap);
        let settled = self
            .last_change
            .is_none_or(|at| now.since(at) >= self.limits().settle);
        if slowdown < self.limits().low {
            self.raise_levels(now, sample, &worst, settled, impact, out);
            return;
        }
        self.calm_since = None;
        if slowdown >= self.limits().high && settled {
            self.protect_service(now, sample, &worst, impact, out);
        }
    }

    fn limits(&self) -> &ReactionConfig {
        &self.config.reaction
    }

    fn refill(&mut self, gap: Duration) {
        let budget = self.limits().budget;
        let refill = budget * gap.as_secs_f64() / 3_600.0;
        self.removal_tokens = (self.removal_tokens + refill).min(budget);
    }

    fn worst<'a>(&mut self, now: Time, sample: &'a Sample) -> Option<Worst<'a>> {
        let stale = self.limits().stale;
        let present = |class: &Arc<str>| sample.services.iter().any(|s| s.class == *class);
        self.smoothed_slowdowns.retain(|class, _| present(class));
        let fresh = sample.services.iter();
        let fresh = fresh.filter(|s| now.since(s.measured_at) <= stale);
        let fresh = fresh.filter(|s| s.slowdown.is_finite() && s.slowdown > 0.0);
        let views = fresh.map(|service| Worst {
            service,
            slowdown: self.smoothed(service),
        });
        let views = views.collect::<Vec<_>>();
        views
            .into_iter()
            .max_by(|a, b| a.slowdown.total_cmp(&b.slowdown))
    }

    /// Adds a measurement to the smoothed slowdown; a jump replaces it at once.
    fn smoothed(&mut self, service: &ServiceView) -> f64 {
        let new = SmoothedSlowdown {
            measured_at: service.measured_at,
            log_slowdown: service.slowdown.ln(),
        };
        let smoothed = self
            .smoothed_slowdowns
            .entry(service.class.clone())
            .or_insert(new);
        if smoothed.measured_at < new.measured_at {
            let jump = (new.log_slowdown - smoothed.log_slowdown).abs() > MIN_JUMP;
            let share = if jump { 1.0 } else { SMOOTHING };
            smoothed.log_slowdown += share * (new.log_slowdown - smoothed.log_slowdown);
            smoothed.measured_at = new.measured_at;
        }
        smoothed.log_slowdown.exp()
    }

    /// Adds the cost of time past the target, or halves the sum when the target is met.
    fn add_lateness(&mut self, slowdown: f64, gap: Duration) {
        if slowdown > 1.0 {
            self.lateness_cost += self.config.latency * gap.min(MAX_GAP).as_secs_f64();
        } else {
            self.lateness_cost /= 2.0;
        }
    }

    /// Throttles the most harmful runs, or removes one if throttling cannot help further.
    fn protect_service(
        &mut self,
        now: Time,
        sample: &Sample,
        worst: &Worst<'_>,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let slowdown = worst.slowdown;
        let mut relief_needed = (slowdown / self.limits().low).ln().min(MAX_RELIEF);
        let mut runs = sample.runs.iter().collect::<Vec<_>>();
        let effect = |run: &RunView| effect_of(run, worst, impact);
        runs.sort_by(|a, b| effect(b).total_cmp(&effect(a)).then(a.task.cmp(&b.task)));
        for run in runs {
            if relief_needed <= 0.0 {
                break;
            }
            let Some((level, relief)) = throttle_step(run, effect(run), worst, relief_needed)
            else {
                continue;
            };
            relief_needed -= relief;
            self.last_change = Some(now);
            let task = run.task.clone();
            out.push(Output::Throttle { task, level });
        }
        if relief_needed > 0.0 && slowdown > 1.0 && self.last_change != Some(now) {
            self.remove_cheapest(now, sample, worst, impact, out);
        }
    }

    /// Removes the run with the least cost for its effect once the lateness costs more.
    fn remove_cheapest(
        &mut self,
        now: Time,
        sample: &Sample,
        worst: &Worst<'_>,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let harmful = sample.runs.iter();
        let harmful = harmful.filter(|run| effect_of(run, worst, impact) > MIN_EFFECT);
        let cost_per_relief = |run: &RunView| {
            let relief = effect_of(run, worst, impact) * run.cores.max(0.1);
            self.cost(run) / relief
        };
        let cheapest = harmful.min_by(|a, b| cost_per_relief(a).total_cmp(&cost_per_relief(b)));
        let Some(run) = cheapest else {
            return;
        };
        if self.lateness_cost < self.cost(run) || self.removal_tokens < 1.0 {
            return;
        }
        self.lateness_cost = 0.0;
        self.remove_run(now, run, out);
    }

    /// Moves a run that can be checkpointed and evicts any other.
    fn remove_run(&mut self, now: Time, run: &RunView, out: &mut Vec<Output>) {
        self.removal_tokens -= 1.0;
        self.last_change = Some(now);
        let task = run.task.clone();
        out.push(if run.can_checkpoint {
            Output::Move(task)
        } else {
            Output::Evict(task)
        });
    }

    /// Cost of removing a run, in weighted seconds.
    fn cost(&self, run: &RunView) -> f64 {
        let unsaved = run.unsaved.as_secs_f64();
        let lost_work = if run.can_checkpoint {
            MOVE_SECONDS
        } else {
            unsaved
        };
        self.config.evictions * EVICTION_SECONDS + self.config.throughput * lost_work
    }

    /// Removes one run that exceeds its grant before the worker runs out of memory.
    fn relieve_memory(&mut self, now: Time, sample: &Sample, out: &mut Vec<Output>) -> bool {
        let limit = self.limits().memory * sample.total.memory.0 as f64;
        if (sample.memory.0 as f64) < limit {
            return false;
        }
        let excess = |run: &&RunView| run.memory.0.saturating_sub(run.granted.memory.0);
        let over_grant = sample.runs.iter().filter(|run| excess(run) > 0);
        let Some(run) = over_grant.max_by_key(|run| (run.can_checkpoint, excess(run))) else {
            return false;
        };
        // The worker itself would stop a run here, so the budget does not apply.
        let recent = self
            .last_change
            .is_some_and(|at| now.since(at) < Duration::from_secs(5));
        if !recent {
            self.remove_run(now, run, out);
            self.removal_tokens = self.removal_tokens.max(0.0);
        }
        true
    }

    /// Raises throttled runs by one level after a calm period, the least harmful first, as
    /// long as the expected slowdown stays below the lower threshold.
    fn raise_levels(
        &mut self,
        now: Time,
        sample: &Sample,
        worst: &Worst<'_>,
        settled: bool,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let since = *self.calm_since.get_or_insert(now);
        if now.since(since) < self.limits().calm || !settled {
            return;
        }
        let mut headroom = (self.limits().low / worst.slowdown.max(0.01)).ln();
        let mut runs = sample.runs.iter().collect::<Vec<_>>();
        let harm = |run: &RunView| effect_of(run, worst, impact) * run.cores;
        runs.sort_by(|a, b| harm(a).total_cmp(&harm(b)).then(a.task.cmp(&b.task)));
        for run in runs {
            let Some(level) = run.level.higher() else {
                continue;
            };
            let growth = run.cores * (level.share() / run.level.share() - 1.0);
            let growth_cost = growth * effect_of(run, worst, impact) * worst.service.load;
            if growth_cost > headroom {
                continue;
            }
            headroom -= growth_cost;
            self.last_change = Some(now);
            let task = run.task.clone();
            out.push(Output::Throttle { task, level });
        }
    }
}

/// Expected growth of the worst service's log latency per processor of a run.
fn effect_of(run: &RunView, worst: &Worst<'_>, impact: &dyn LatencyImpact) -> f64 {
    // Slowdown 0 gives the expected effect without the margin for uncertainty.
    impact.log_growth_per_core(&worst.service.class, &run.class, 0.0)
}

/// Throttle level one step lower, or two if one is too little, and the reduction of log
/// slowdown that it is expected to bring; `None` for a run that has no effect.
fn throttle_step(
    run: &RunView,
    effect: f64,
    worst: &Worst<'_>,
    relief_needed: f64,
) -> Option<(ThrottleLevel, f64)> {
    let mut level = run.level.lower()?;
    let relief = |level: ThrottleLevel| {
        let saved = run.cores * (1.0 - level.share() / run.level.share());
        saved * effect * worst.service.load
    };
    if relief(level) < relief_needed {
        level = level.lower().unwrap_or(level);
    }
    (effect > 0.0).then(|| (level, relief(level)))
}

/// Fits each grant to what its run uses, within the worker's free capacity.
fn resize(sample: &Sample, out: &mut Vec<Output>) {
    let mut free = sample
        .total
        .checked_sub(&sample.granted)
        .unwrap_or_default();
    for run in &sample.runs {
        let need = fitted_grant(run);
        if need == run.granted {
            continue;
        }
        let Some(remaining) = free
            .checked_add(&run.granted)
            .and_then(|sum| sum.checked_sub(&need))
        else {
            continue;
        };
        free = remaining;
        let task: TaskKey = run.task.clone();
        out.push(Output::Resize { task, need });
    }
}

/// The grant that fits what a run uses.
///
/// A grant of processors shrinks only once the run has reached a minimum age. Memory
/// never shrinks, since many runs use little until late.
fn fitted_grant(run: &RunView) -> Resources {
    let mut need = run.granted;
    need.memory = need.memory.max(run.memory);
    if run.level != ThrottleLevel::Full {
        return need;
    }
    let used = (run.cores * 1_000.0) as u64;
    need.cpu = need.cpu.max(MilliCpu(used));
    let fit = (run.cores * 1_000.0 * CPU_MARGIN) as u64;
    let worth_shrinking = fit < need.cpu.0 - need.cpu.0 / MIN_SHRINK_DIVISOR;
    if run.age >= MIN_SHRINK_AGE && worth_shrinking {
        need.cpu = MilliCpu(fit.max(MIN_CPU_MILLIS));
    }
    need
}

#[cfg(test)]
mod tests;
