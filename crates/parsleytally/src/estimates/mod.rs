//! Corrects declared sizes and run times by what a class of tasks was seen to use.
//!
//! Each finished or killed run gives the ratio of its use to its declaration. A size
//! is the declaration times a quantile of these ratios. With few runs it is only
//! raised, never lowered, and the step down grows with the number of runs. A run that
//! was killed for lack of memory shows a lower bound and is counted past it. No size
//! exceeds what the largest worker has, and none a task could declare is hidden: a
//! task larger than every worker stays so.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::configs::EstimatesConfig;
use crate::types::{Bytes, MilliCpu, Resources, Time};

/// Factor by which a run killed for lack of memory is taken to have needed more.
const KILLED_FACTOR: f64 = 1.5;
/// Smallest processor share that is granted, in thousandths.
const MIN_CPU: u64 = 50;
/// Smallest memory that is granted, in bytes.
const MIN_MEMORY: u64 = 16 << 20;

/// What one run was seen to use.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    /// Class of the task.
    pub class: Arc<str>,
    /// What the task declared.
    pub declared: Resources,
    /// Highest use seen.
    pub peak: Resources,
    /// Whether it was killed for lack of memory.
    pub killed: bool,
    /// Declared run time.
    pub planned: Duration,
    /// Run time of all its runs together; `None` if it did not finish.
    pub taken: Option<Duration>,
}

/// Latest ratios of use to declaration.
#[derive(Debug, Default)]
struct Class {
    cpu: VecDeque<f64>,
    memory: VecDeque<f64>,
    time: VecDeque<f64>,
    seen: Time,
}

/// The state of the estimates.
#[derive(Debug)]
pub struct Estimates {
    config: EstimatesConfig,
    classes: HashMap<Arc<str>, Class>,
}

impl Estimates {
    /// Creates estimates that have seen nothing.
    pub fn new(config: EstimatesConfig) -> Self {
        Self {
            config,
            classes: HashMap::new(),
        }
    }

    /// Takes what a run used.
    pub fn step(&mut self, now: Time, usage: Usage) {
        self.make_room(&usage.class);
        let most = self.config.samples;
        let class = self.classes.entry(usage.class).or_default();
        class.seen = now;
        let (declared, peak) = (&usage.declared, &usage.peak);
        push(&mut class.cpu, ratio(peak.cpu.0, declared.cpu.0), most);
        let factor = if usage.killed { KILLED_FACTOR } else { 1.0 };
        let memory = ratio(peak.memory.0, declared.memory.0) * factor;
        push(&mut class.memory, memory, most);
        if let Some(taken) = usage.taken {
            let planned = usage.planned.as_secs_f64().max(1.0);
            push(&mut class.time, taken.as_secs_f64() / planned, most);
        }
    }

    /// Size to grant for a task that declares `declared`, within `most`.
    ///
    /// A declaration past `most` is returned as it is, so that the task is reported
    /// as impossible instead of being squeezed in.
    pub fn size(&self, class: &str, declared: &Resources, most: &Resources) -> Resources {
        let Some(class) = self.classes.get(class) else {
            return *declared;
        };
        if !declared.fits(most) {
            return *declared;
        }
        let config = &self.config;
        let cpu = self.factor(&class.cpu, config.cpu);
        let memory = self.factor(&class.memory, config.memory);
        Resources {
            cpu: MilliCpu(scale(declared.cpu.0, cpu, MIN_CPU, most.cpu.0)),
            memory: Bytes(scale(declared.memory.0, memory, MIN_MEMORY, most.memory.0)),
            accelerators: declared.accelerators,
        }
    }

    /// Expected run time of a task that declares `declared`.
    pub fn run_time(&self, class: &str, declared: Duration) -> Duration {
        let times = self.classes.get(class).map(|class| &class.time);
        match times {
            Some(times) if times.len() >= self.config.few => {
                declared.mul_f64(quantile(times, 0.5).clamp(0.01, 100.0))
            }
            _ => declared,
        }
    }

    /// Factor on a declared amount that covers a share of the seen ratios.
    fn factor(&self, ratios: &VecDeque<f64>, share: f64) -> f64 {
        if ratios.is_empty() {
            return 1.0;
        }
        let few = self.config.few as f64;
        let count = ratios.len() as f64;
        if count < few {
            return quantile(ratios, 1.0).max(1.0);
        }
        let covered = quantile(ratios, share) * self.config.margin;
        let trust = 1.0 - few / (2.0 * count);
        if covered >= 1.0 {
            return covered;
        }
        (1.0 - (1.0 - covered) * trust).max(self.config.floor)
    }

    fn make_room(&mut self, class: &Arc<str>) {
        if self.classes.contains_key(class) || self.classes.len() < self.config.classes {
            return;
        }
        let oldest = self.classes.iter().min_by_key(|(name, c)| (c.seen, *name));
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.classes.remove(&oldest);
        }
    }
}

fn ratio(used: u64, declared: u64) -> f64 {
    used as f64 / declared.max(1) as f64
}

fn push(ratios: &mut VecDeque<f64>, ratio: f64, most: usize) {
    if ratios.len() >= most {
        ratios.pop_front();
    }
    ratios.push_back(ratio);
}

fn quantile(ratios: &VecDeque<f64>, share: f64) -> f64 {
    let mut sorted = ratios.iter().copied().collect::<Vec<_>>();
    sorted.sort_by(f64::total_cmp);
    let at = (share * (sorted.len() - 1) as f64).ceil() as usize;
    sorted[at.min(sorted.len() - 1)]
}

fn scale(declared: u64, factor: f64, least: u64, most: u64) -> u64 {
    let scaled = (declared as f64 * factor) as u64;
    scaled.max(least.min(declared)).min(most)
}

#[cfg(test)]
mod tests;
