//! Corrects declared sizes and run times by the measured usage of a task class.
//!
//! Each finished or killed run adds a sample: its usage and the ratio of usage to
//! declaration. An estimated size is a quantile of the usages, or the declaration times a
//! quantile of the ratios, whichever of the two varies less in the class. With few samples
//! a size is only raised, never lowered; the permitted reduction grows with their number.
//! The peak memory of an out-of-memory kill is only a lower bound of the need, so its
//! sample is increased. No size exceeds the capacity of the largest worker, except that a
//! declaration above that capacity is kept, so that the task stays impossible to place.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::configs::EstimatesConfig;
use crate::types::{Bytes, MilliCpu, Resources, Time};

/// Factor on the peak memory of a run that was killed for lack of memory.
const OOM_FACTOR: f64 = 1.5;
/// Smallest processor grant, in thousandths of a processor.
const MIN_CPU: u64 = 50;
/// Smallest memory grant, in bytes.
const MIN_MEMORY: u64 = 16 << 20;

/// Shortest estimated run time, in milliseconds.
const MIN_RUN_MS: f64 = 1.0;
/// Longest estimated run time, in milliseconds.
const MAX_RUN_MS: f64 = 30.0 * 86_400.0 * 1_000.0;

/// Resource usage and run time of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    /// Class of the task.
    pub class: Arc<str>,
    /// Declared size.
    pub declared: Resources,
    /// Peak usage.
    pub peak: Resources,
    /// Whether the run was killed for lack of memory.
    pub oom_killed: bool,
    /// Declared run time.
    pub declared_run_time: Duration,
    /// Total run time of all runs of the task; `None` if it did not finish.
    pub run_time: Option<Duration>,
}

/// Latest usages of one quantity, absolute and relative to the declarations.
#[derive(Debug, Default)]
struct Samples {
    amounts: VecDeque<f64>,
    ratios: VecDeque<f64>,
}

/// Samples of one task class.
#[derive(Debug, Default)]
struct ClassHistory {
    cpu: Samples,
    memory: Samples,
    time: Samples,
    /// Predictor of the median run time, computed when a sample is added.
    run_time: Option<Predictor>,
    updated: Time,
}

/// How a usage is predicted from the declaration.
#[derive(Debug, Clone, Copy)]
enum Predictor {
    /// This amount, independent of the declaration.
    Amount(f64),
    /// This multiple of the declaration.
    Ratio(f64),
}

impl Predictor {
    fn predict(self, declared: f64) -> f64 {
        match self {
            Self::Amount(amount) => amount,
            Self::Ratio(ratio) => ratio * declared,
        }
    }
}

/// Estimates of all task classes.
#[derive(Debug)]
pub struct Estimates {
    config: EstimatesConfig,
    classes: HashMap<Arc<str>, ClassHistory>,
}

impl Estimates {
    /// Creates estimates without samples.
    pub fn new(config: EstimatesConfig) -> Self {
        Self {
            config,
            classes: HashMap::new(),
        }
    }

    /// Adds the usage of a run.
    pub fn step(&mut self, now: Time, usage: Usage) {
        self.evict_for(&usage.class);
        let max_samples = self.config.samples;
        let class = self.classes.entry(usage.class).or_default();
        class.updated = now;
        let (declared, peak) = (&usage.declared, &usage.peak);
        class
            .cpu
            .push(peak.cpu.0 as f64, declared.cpu.0 as f64, max_samples);
        let factor = if usage.oom_killed { OOM_FACTOR } else { 1.0 };
        let memory = peak.memory.0 as f64 * factor;
        class
            .memory
            .push(memory, declared.memory.0 as f64, max_samples);
        if let Some(run_time) = usage.run_time {
            class.time.push(
                millis(run_time),
                millis(usage.declared_run_time),
                max_samples,
            );
            class.run_time = Some(class.time.predictor(0.5));
        }
    }

    /// Size to grant to a task that declares `declared`, up to `max`.
    ///
    /// A declaration above `max` is returned unchanged, so that the task is reported as
    /// impossible to place instead of being reduced to fit.
    pub fn size(&self, class: &str, declared: &Resources, max: &Resources) -> Resources {
        let Some(class) = self.classes.get(class) else {
            return *declared;
        };
        if !declared.fits(max) {
            return *declared;
        }
        let config = &self.config;
        let cpu = self.amount(&class.cpu, declared.cpu.0, config.cpu);
        let memory = self.amount(&class.memory, declared.memory.0, config.memory);
        Resources {
            cpu: MilliCpu(bounded(cpu, MIN_CPU, declared.cpu.0, max.cpu.0)),
            memory: Bytes(bounded(memory, MIN_MEMORY, declared.memory.0, max.memory.0)),
            accelerators: declared.accelerators,
        }
    }

    /// Expected run time of a task that declares `declared`; the declaration itself while the
    /// class has few samples.
    pub fn run_time(&self, class: &str, declared: Duration) -> Duration {
        let Some(class) = self.classes.get(class) else {
            return declared;
        };
        let too_few = class.time.ratios.len() < self.config.few;
        let Some(predictor) = class.run_time.filter(|_| !too_few) else {
            return declared;
        };
        let expected = predictor.predict(millis(declared));
        Duration::from_millis(expected.clamp(MIN_RUN_MS, MAX_RUN_MS) as u64)
    }

    /// Amount that covers the given fraction of the runs; lowers the declaration only
    /// as far as the number of samples permits.
    fn amount(&self, samples: &Samples, declared: u64, fraction: f64) -> f64 {
        let declared = declared as f64;
        let count = samples.ratios.len() as f64;
        if samples.ratios.is_empty() {
            return declared;
        }
        let min_samples = self.config.few as f64;
        if count < min_samples {
            return declared.max(samples.predictor(1.0).predict(declared));
        }
        let covered = samples.predictor(fraction).predict(declared) * self.config.margin;
        let confidence = 1.0 - min_samples / (2.0 * count);
        if covered >= declared {
            return covered;
        }
        (declared - (declared - covered) * confidence).max(declared * self.config.floor)
    }

    /// Removes the least recently updated class if `class` is new and the limit is reached.
    fn evict_for(&mut self, class: &Arc<str>) {
        if self.classes.contains_key(class) || self.classes.len() < self.config.classes {
            return;
        }
        let oldest = self
            .classes
            .iter()
            .min_by_key(|(name, c)| (c.updated, *name));
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.classes.remove(&oldest);
        }
    }
}

impl Samples {
    fn push(&mut self, used: f64, declared: f64, max_samples: usize) {
        if self.ratios.len() >= max_samples {
            self.ratios.pop_front();
            self.amounts.pop_front();
        }
        self.ratios.push_back(used / declared.max(1.0));
        self.amounts.push_back(used);
    }

    /// Predictor of the amount that covers the given fraction of the runs, from the
    /// amounts or the ratios, whichever vary less.
    fn predictor(&self, fraction: f64) -> Predictor {
        if spread(&self.amounts) < spread(&self.ratios) {
            return Predictor::Amount(quantile(&self.amounts, fraction));
        }
        Predictor::Ratio(quantile(&self.ratios, fraction))
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Ratio of the 85th to the 15th percentile.
fn spread(values: &VecDeque<f64>) -> f64 {
    quantile(values, 0.85) / quantile(values, 0.15).max(f64::MIN_POSITIVE)
}

fn quantile(values: &VecDeque<f64>, fraction: f64) -> f64 {
    let mut sorted = values.iter().copied().collect::<Vec<_>>();
    sorted.sort_by(f64::total_cmp);
    let index = (fraction * (sorted.len() - 1) as f64).ceil() as usize;
    sorted[index.min(sorted.len() - 1)]
}

/// Limits an amount to at least `min`, or the declaration if that is smaller, and at most
/// `max`.
fn bounded(amount: f64, min: u64, declared: u64, max: u64) -> u64 {
    (amount as u64).max(min.min(declared)).min(max)
}

#[cfg(test)]
mod tests;
