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

use std::time::Duration;

pub use messages::{Level, Output, RunView, Sample, ServiceView};

use crate::configs::{DeploymentConfig, ReactionConfig};
use crate::placement::Slowdown;
use crate::types::{MilliCpu, Resources, TaskKey, Time};

/// Lowest effect per processor for which a run is moved.
const MIN_EFFECT: f64 = 0.002;
/// Most lateness that is accounted for between two samples.
const MAX_GAP: Duration = Duration::from_secs(60);
/// Largest change of the logarithm of strain that one step aims at.
const MAX_STEP: f64 = 1.0;
/// What an eviction of weight 1 costs beside its lost work, in seconds.
const EVICTION_SECONDS: f64 = 120.0;
/// Lost work that a checkpointed move still costs, in seconds of one processor.
const MOVE_SECONDS: f64 = 15.0;

/// The worst service of a worker, by fresh measurement.
#[derive(Debug, Clone)]
struct Worst<'a> {
    service: &'a ServiceView,
}

/// The controller of one worker.
#[derive(Debug)]
pub struct Reaction {
    config: DeploymentConfig,
    changed: Option<Time>,
    calm: Option<Time>,
    seen: Option<Time>,
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
        slowdown: &dyn Slowdown,
        out: &mut Vec<Output>,
    ) {
        let gap = self.seen.map_or(Duration::ZERO, |seen| now.since(seen));
        self.seen = Some(now);
        self.refill(gap);
        if self.relieve_memory(now, sample, out) {
            return;
        }
        grow(sample, out);
        let Some(worst) = self.worst(now, sample) else {
            self.calm = None;
            return;
        };
        let strain = worst.service.strain;
        self.account(strain, gap);
        let settled = self
            .changed
            .is_none_or(|at| now.since(at) >= self.rules().settle);
        if strain < self.rules().low {
            self.give_back(now, sample, &worst, settled, slowdown, out);
            return;
        }
        self.calm = None;
        if strain >= self.rules().high && settled {
            self.protect(now, sample, &worst, slowdown, out);
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

    fn worst<'a>(&self, now: Time, sample: &'a Sample) -> Option<Worst<'a>> {
        let stale = self.rules().stale;
        let fresh = sample.services.iter();
        let fresh = fresh.filter(|s| now.since(s.at) <= stale && s.strain.is_finite());
        let service = fresh.max_by(|a, b| a.strain.total_cmp(&b.strain))?;
        Some(Worst { service })
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
        slowdown: &dyn Slowdown,
        out: &mut Vec<Output>,
    ) {
        let strain = worst.service.strain;
        let mut wanted = (strain / self.rules().low).ln().min(MAX_STEP);
        let mut runs = sample.runs.iter().collect::<Vec<_>>();
        let effect = |run: &RunView| effect_of(run, worst, slowdown);
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
            self.move_one(now, sample, worst, slowdown, out);
        }
    }

    /// Moves the run with the least cost for its effect, if the lateness outweighs it.
    fn move_one(
        &mut self,
        now: Time,
        sample: &Sample,
        worst: &Worst<'_>,
        slowdown: &dyn Slowdown,
        out: &mut Vec<Output>,
    ) {
        let harmful = sample.runs.iter();
        let harmful = harmful.filter(|run| effect_of(run, worst, slowdown) > MIN_EFFECT);
        let price = |run: &RunView| {
            let relief = effect_of(run, worst, slowdown) * run.cores.max(0.1);
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
        out.push(if run.checkpoint {
            Output::Move(task)
        } else {
            Output::Evict(task)
        });
    }

    /// Cost of taking a run out, in weighted seconds.
    fn cost(&self, run: &RunView) -> f64 {
        let unsaved = run.unsaved.as_secs_f64();
        let lost = if run.checkpoint {
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
        let Some(run) = past.max_by_key(|run| (run.checkpoint, excess(run))) else {
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
        slowdown: &dyn Slowdown,
        out: &mut Vec<Output>,
    ) {
        let since = *self.calm.get_or_insert(now);
        if now.since(since) < self.rules().calm || !settled {
            return;
        }
        let mut room = (self.rules().low / worst.service.strain.max(0.01)).ln();
        let mut runs = sample.runs.iter().collect::<Vec<_>>();
        let harm = |run: &RunView| effect_of(run, worst, slowdown) * run.cores;
        runs.sort_by(|a, b| harm(a).total_cmp(&harm(b)).then(a.task.cmp(&b.task)));
        for run in runs {
            let Some(level) = run.level.higher() else {
                continue;
            };
            let growth = run.cores * (level.share() / run.level.share() - 1.0);
            let cost = growth * effect_of(run, worst, slowdown) * worst.service.load;
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
fn effect_of(run: &RunView, worst: &Worst<'_>, slowdown: &dyn Slowdown) -> f64 {
    // Strain 0 asks for the expected effect without the margin for doubt.
    slowdown.slowdown(&worst.service.class, &run.class, 0.0)
}

/// Lowest level that is needed, and the relief in log strain that it brings.
fn throttle(run: &RunView, effect: f64, worst: &Worst<'_>, wanted: f64) -> Option<(Level, f64)> {
    let mut level = run.level.lower()?;
    let relief = |level: Level| {
        let saved = run.cores * (1.0 - level.share() / run.level.share());
        saved * effect * worst.service.load
    };
    if relief(level) < wanted {
        level = level.lower().unwrap_or(level);
    }
    (effect > 0.0).then(|| (level, relief(level)))
}

/// Asks for a larger grant for each run past its own, while the worker has room.
fn grow(sample: &Sample, out: &mut Vec<Output>) {
    let mut room = sample
        .total
        .checked_sub(&sample.granted)
        .unwrap_or_default();
    for run in &sample.runs {
        let Some(more) = wanted_growth(run) else {
            continue;
        };
        let Some(left) = room.checked_sub(&more) else {
            continue;
        };
        room = left;
        if let Some(need) = run.granted.checked_add(&more) {
            let task: TaskKey = run.task.clone();
            out.push(Output::Grow { task, need });
        }
    }
}

/// What a run uses past its grant.
fn wanted_growth(run: &RunView) -> Option<Resources> {
    let used = (run.cores * 1_000.0) as u64;
    let full = run.level == Level::Full;
    let cpu = used.saturating_sub(run.granted.cpu.0);
    let memory = run.memory.0.saturating_sub(run.granted.memory.0);
    let more = Resources {
        cpu: MilliCpu(if full { cpu } else { 0 }),
        memory: memory.into(),
        accelerators: 0,
    };
    (more != Resources::NONE).then_some(more)
}

#[cfg(test)]
mod tests;
