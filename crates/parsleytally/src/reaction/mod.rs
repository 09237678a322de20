//! Protects the services of one worker from its batch runs.
//!
//! When a service's tail latency comes near its target, the runs that harm it most
//! per lost work are throttled, as many as the learned effects say are needed. If
//! the service stays late although every harmful run is throttled, the cost of the
//! lateness adds up until it outweighs the cost of a move, and the run with the least
//! lost work for its effect goes: by a checkpoint where it can, by eviction otherwise.
//! A budget bounds moves and evictions, also when a noisy wave passes. Room is given
//! back step by step after a calm time.
//!
//! Changes wait for the last one to show in the measurements. Without fresh
//! measurements nothing is throttled further, moved or given back.

mod messages;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub use messages::{Output, RunView, Sample, ServiceView, ThrottleLevel};

use crate::configs::{DeploymentConfig, ReactionConfig};
use crate::placement::LatencyImpact;
use crate::types::{MilliCpu, Resources, TaskKey, Time};

/// Lowest effect per processor for which a run is moved.
const MIN_EFFECT: f64 = 0.002;
/// Most lateness that is accounted for between two samples.
const MAX_GAP: Duration = Duration::from_secs(60);
/// Largest change of the logarithm of strain that one step aims at.
const MAX_STEP: f64 = 1.0;
/// What an eviction of weight 1 costs beside its lost work, in seconds.
const EVICTION_SECONDS: f64 = 120.0;
/// Share of a new measurement in the smoothed strain.
const SMOOTHING: f64 = 0.35;
/// Change of log strain past which a measurement replaces the smoothed one.
const JUMP: f64 = 0.4;
/// Time for which a run's use is watched before processors are given back.
const WATCH: Duration = Duration::from_secs(120);
/// Factor on the processors that a run was seen to use.
const CPU_MARGIN: f64 = 1.15;
/// Smallest grant of processors, in thousandths.
const MIN_CPU: u64 = 50;
/// Smallest part of a grant, as a divisor, that is worth giving back.
const MIN_SHRINK: u64 = 8;
/// Lost work that a checkpointed move still costs, in seconds of one processor.
const MOVE_SECONDS: f64 = 15.0;

/// The worst service of a worker, by fresh measurements.
#[derive(Debug, Clone)]
struct Worst<'a> {
    service: &'a ServiceView,
    strain: f64,
}

/// Strain of one service over its latest measurements.
#[derive(Debug, Clone, Copy)]
struct Smooth {
    at: Time,
    /// Logarithm of the strain.
    log: f64,
}

/// The controller of one worker.
#[derive(Debug)]
pub struct Reaction {
    config: DeploymentConfig,
    changed: Option<Time>,
    calm: Option<Time>,
    seen: Option<Time>,
    smooth: BTreeMap<Arc<str>, Smooth>,
    /// Cost of lateness that no throttle has mended, in weighted seconds.
    debt: f64,
    tokens: f64,
}

impl Reaction {
    /// Creates the controller of a worker on which nothing has happened.
    pub fn new(config: DeploymentConfig) -> Self {
        let tokens = config.reaction.budget;
        Self {
            config,
            changed: None,
            calm: None,
            seen: None,
            smooth: BTreeMap::new(),
            debt: 0.0,
            tokens,
        }
    }

    /// Puts other settings in force; what has been counted stays.
    pub fn configure(&mut self, config: DeploymentConfig) {
        self.tokens = self.tokens.min(config.reaction.budget);
        self.config = config;
    }

    /// Takes what the agent sees; changes are appended to `out`.
    pub fn step(
        &mut self,
        now: Time,
        sample: &Sample,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let gap = self.seen.map_or(Duration::ZERO, |seen| now.since(seen));
        self.seen = Some(now);
        self.refill(gap);
        if self.relieve_memory(now, sample, out) {
            return;
        }
        resize(sample, out);
        let Some(worst) = self.worst(now, sample) else {
            self.calm = None;
            return;
        };
        let strain = worst.strain;
        self.account(strain, gap);
        let settled = self
            .changed
            .is_none_or(|at| now.since(at) >= self.rules().settle);
        if strain < self.rules().low {
            self.give_back(now, sample, &worst, settled, impact, out);
            return;
        }
        self.calm = None;
        if strain >= self.rules().high && settled {
            self.protect(now, sample, &worst, impact, out);
        }
    }

    fn rules(&self) -> &ReactionConfig {
        &self.config.reaction
    }

    fn refill(&mut self, gap: Duration) {
        let budget = self.rules().budget;
        let refill = budget * gap.as_secs_f64() / 3_600.0;
        self.tokens = (self.tokens + refill).min(budget);
    }

    fn worst<'a>(&mut self, now: Time, sample: &'a Sample) -> Option<Worst<'a>> {
        let stale = self.rules().stale;
        let known = |class: &Arc<str>| sample.services.iter().any(|s| s.class == *class);
        self.smooth.retain(|class, _| known(class));
        let fresh = sample.services.iter();
        let fresh = fresh.filter(|s| now.since(s.measured_at) <= stale);
        let fresh = fresh.filter(|s| s.slowdown.is_finite() && s.slowdown > 0.0);
        let views = fresh.map(|service| Worst {
            service,
            strain: self.smoothed(service),
        });
        let views = views.collect::<Vec<_>>();
        views
            .into_iter()
            .max_by(|a, b| a.strain.total_cmp(&b.strain))
    }

    /// Strain over the latest measurements; a jump counts at once.
    fn smoothed(&mut self, service: &ServiceView) -> f64 {
        let new = Smooth {
            at: service.measured_at,
            log: service.slowdown.ln(),
        };
        let smooth = self.smooth.entry(service.class.clone()).or_insert(new);
        if smooth.at < new.at {
            let jump = (new.log - smooth.log).abs() > JUMP;
            let share = if jump { 1.0 } else { SMOOTHING };
            smooth.log += share * (new.log - smooth.log);
            smooth.at = new.at;
        }
        smooth.log.exp()
    }

    /// Adds up the cost of time past the target; it halves when the target is met.
    fn account(&mut self, strain: f64, gap: Duration) {
        if strain > 1.0 {
            self.debt += self.config.latency * gap.min(MAX_GAP).as_secs_f64();
        } else {
            self.debt /= 2.0;
        }
    }

    /// Throttles what harms the service, or moves a run once that is worth it.
    fn protect(
        &mut self,
        now: Time,
        sample: &Sample,
        worst: &Worst<'_>,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let strain = worst.strain;
        let mut wanted = (strain / self.rules().low).ln().min(MAX_STEP);
        let mut runs = sample.runs.iter().collect::<Vec<_>>();
        let effect = |run: &RunView| effect_of(run, worst, impact);
        runs.sort_by(|a, b| effect(b).total_cmp(&effect(a)).then(a.task.cmp(&b.task)));
        for run in runs {
            if wanted <= 0.0 {
                break;
            }
            let Some((level, relief)) = throttle(run, effect(run), worst, wanted) else {
                continue;
            };
            wanted -= relief;
            self.changed = Some(now);
            let task = run.task.clone();
            out.push(Output::Throttle { task, level });
        }
        if wanted > 0.0 && strain > 1.0 && self.changed != Some(now) {
            self.move_one(now, sample, worst, impact, out);
        }
    }

    /// Moves the run with the least cost for its effect, if the lateness outweighs it.
    fn move_one(
        &mut self,
        now: Time,
        sample: &Sample,
        worst: &Worst<'_>,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let harmful = sample.runs.iter();
        let harmful = harmful.filter(|run| effect_of(run, worst, impact) > MIN_EFFECT);
        let price = |run: &RunView| {
            let relief = effect_of(run, worst, impact) * run.cores.max(0.1);
            self.cost(run) / relief
        };
        let cheapest = harmful.min_by(|a, b| price(a).total_cmp(&price(b)));
        let Some(run) = cheapest else {
            return;
        };
        if self.debt < self.cost(run) || self.tokens < 1.0 {
            return;
        }
        self.debt = 0.0;
        self.take_out(now, run, out);
    }

    fn take_out(&mut self, now: Time, run: &RunView, out: &mut Vec<Output>) {
        self.tokens -= 1.0;
        self.changed = Some(now);
        let task = run.task.clone();
        out.push(if run.can_checkpoint {
            Output::Move(task)
        } else {
            Output::Evict(task)
        });
    }

    /// Cost of taking a run out, in weighted seconds.
    fn cost(&self, run: &RunView) -> f64 {
        let unsaved = run.unsaved.as_secs_f64();
        let lost = if run.can_checkpoint {
            MOVE_SECONDS
        } else {
            unsaved
        };
        self.config.evictions * EVICTION_SECONDS + self.config.throughput * lost
    }

    /// Takes out one run past its grant before the worker runs out of memory.
    fn relieve_memory(&mut self, now: Time, sample: &Sample, out: &mut Vec<Output>) -> bool {
        let limit = self.rules().memory * sample.total.memory.0 as f64;
        if (sample.memory.0 as f64) < limit {
            return false;
        }
        let excess = |run: &&RunView| run.memory.0.saturating_sub(run.granted.memory.0);
        let past = sample.runs.iter().filter(|run| excess(run) > 0);
        let Some(run) = past.max_by_key(|run| (run.can_checkpoint, excess(run))) else {
            return false;
        };
        // The worker itself would stop a run here, so the budget does not apply.
        let recent = self
            .changed
            .is_some_and(|at| now.since(at) < Duration::from_secs(5));
        if !recent {
            self.take_out(now, run, out);
            self.tokens = self.tokens.max(0.0);
        }
        true
    }

    /// Raises one throttled run a step after a calm time, the least harmful first.
    fn give_back(
        &mut self,
        now: Time,
        sample: &Sample,
        worst: &Worst<'_>,
        settled: bool,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let since = *self.calm.get_or_insert(now);
        if now.since(since) < self.rules().calm || !settled {
            return;
        }
        let mut room = (self.rules().low / worst.strain.max(0.01)).ln();
        let mut runs = sample.runs.iter().collect::<Vec<_>>();
        let harm = |run: &RunView| effect_of(run, worst, impact) * run.cores;
        runs.sort_by(|a, b| harm(a).total_cmp(&harm(b)).then(a.task.cmp(&b.task)));
        for run in runs {
            let Some(level) = run.level.higher() else {
                continue;
            };
            let growth = run.cores * (level.share() / run.level.share() - 1.0);
            let cost = growth * effect_of(run, worst, impact) * worst.service.load;
            if cost > room {
                continue;
            }
            room -= cost;
            self.changed = Some(now);
            let task = run.task.clone();
            out.push(Output::Throttle { task, level });
        }
    }
}

/// Effect per processor of a run on the worst service.
fn effect_of(run: &RunView, worst: &Worst<'_>, impact: &dyn LatencyImpact) -> f64 {
    // Strain 0 asks for the expected effect without the margin for doubt.
    impact.log_growth_per_core(&worst.service.class, &run.class, 0.0)
}

/// Lowest level that is needed, and the relief in log strain that it brings.
fn throttle(
    run: &RunView,
    effect: f64,
    worst: &Worst<'_>,
    wanted: f64,
) -> Option<(ThrottleLevel, f64)> {
    let mut level = run.level.lower()?;
    let relief = |level: ThrottleLevel| {
        let saved = run.cores * (1.0 - level.share() / run.level.share());
        saved * effect * worst.service.load
    };
    if relief(level) < wanted {
        level = level.lower().unwrap_or(level);
    }
    (effect > 0.0).then(|| (level, relief(level)))
}

/// Fits each grant to what its run uses, within the room of the worker.
fn resize(sample: &Sample, out: &mut Vec<Output>) {
    let mut room = sample
        .total
        .checked_sub(&sample.granted)
        .unwrap_or_default();
    for run in &sample.runs {
        let need = fitting(run);
        if need == run.granted {
            continue;
        }
        let Some(left) = room
            .checked_add(&run.granted)
            .and_then(|sum| sum.checked_sub(&need))
        else {
            continue;
        };
        room = left;
        let task: TaskKey = run.task.clone();
        out.push(Output::Resize { task, need });
    }
}

/// The grant that a run should have by what it uses.
///
/// Processors are given back once the use has been watched for a while. Memory is
/// not: many runs use little until late.
fn fitting(run: &RunView) -> Resources {
    let mut need = run.granted;
    need.memory = need.memory.max(run.memory);
    if run.level != ThrottleLevel::Full {
        return need;
    }
    let used = (run.cores * 1_000.0) as u64;
    need.cpu = need.cpu.max(MilliCpu(used));
    let fit = (run.cores * 1_000.0 * CPU_MARGIN) as u64;
    let much = fit < need.cpu.0 - need.cpu.0 / MIN_SHRINK;
    if run.age >= WATCH && much {
        need.cpu = MilliCpu(fit.max(MIN_CPU));
    }
    need
}

#[cfg(test)]
mod tests;
