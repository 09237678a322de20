//! Corrects declared sizes and run times by what a class of tasks was seen to use.
//!
//! Each finished or killed run gives its use and the ratio of use to declaration. A
//! size is a quantile of the uses, or the declaration times a quantile of the ratios,
//! whichever of the two varies less in the class. With few runs it is only raised,
//! never lowered, and the step down grows with the number of runs. A run that
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

/// Shortest run time that is expected, in milliseconds.
const MIN_RUN_MS: f64 = 1.0;
/// Longest run time that is expected, in milliseconds.
const MAX_RUN_MS: f64 = 30.0 * 86_400.0 * 1_000.0;

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
    pub oom_killed: bool,
    /// Declared run time.
    pub declared_run_time: Duration,
    /// Run time of all its runs together; `None` if it did not finish.
    pub run_time: Option<Duration>,
}

/// Latest uses of one quantity, as they were and relative to the declarations.
#[derive(Debug, Default)]
struct Uses {
    amounts: VecDeque<f64>,
    ratios: VecDeque<f64>,
}

/// What is known about a class.
#[derive(Debug, Default)]
struct Class {
    cpu: Uses,
    memory: Uses,
    time: Uses,
    /// What run times follow, as of the latest of them.
    run_time: Option<Predictor>,
    seen: Time,
}

/// What the amounts of a class follow.
#[derive(Debug, Clone, Copy)]
enum Predictor {
    /// They are alike, whatever was declared.
    Amount(f64),
    /// They are a share of what was declared.
    Ratio(f64),
}

impl Predictor {
    fn apply(self, declared: f64) -> f64 {
        match self {
            Self::Amount(amount) => amount,
            Self::Ratio(ratio) => ratio * declared,
        }
    }
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
        class
            .cpu
            .push(peak.cpu.0 as f64, declared.cpu.0 as f64, most);
        let factor = if usage.oom_killed { KILLED_FACTOR } else { 1.0 };
        let memory = peak.memory.0 as f64 * factor;
        class.memory.push(memory, declared.memory.0 as f64, most);
        if let Some(taken) = usage.run_time {
            class
                .time
                .push(millis(taken), millis(usage.declared_run_time), most);
            class.run_time = Some(class.time.predictor(0.5));
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
        let cpu = self.amount(&class.cpu, declared.cpu.0, config.cpu);
        let memory = self.amount(&class.memory, declared.memory.0, config.memory);
        Resources {
            cpu: MilliCpu(within(cpu, MIN_CPU, declared.cpu.0, most.cpu.0)),
            memory: Bytes(within(memory, MIN_MEMORY, declared.memory.0, most.memory.0)),
            accelerators: declared.accelerators,
        }
    }

    /// Expected run time of a task that declares `declared`.
    pub fn run_time(&self, class: &str, declared: Duration) -> Duration {
        let Some(class) = self.classes.get(class) else {
            return declared;
        };
        let few = class.time.ratios.len() < self.config.few;
        let Some(predictor) = class.run_time.filter(|_| !few) else {
            return declared;
        };
        let expected = predictor.apply(millis(declared));
        Duration::from_millis(expected.clamp(MIN_RUN_MS, MAX_RUN_MS) as u64)
    }

    /// Amount that covers `share` of the runs, with caution while there are few.
    fn amount(&self, uses: &Uses, declared: u64, share: f64) -> f64 {
        let plain = declared as f64;
        let count = uses.ratios.len() as f64;
        if uses.ratios.is_empty() {
            return plain;
        }
        let few = self.config.few as f64;
        if count < few {
            return plain.max(uses.predictor(1.0).apply(plain));
        }
        let covered = uses.predictor(share).apply(plain) * self.config.margin;
        let trust = 1.0 - few / (2.0 * count);
        if covered >= plain {
            return covered;
        }
        (plain - (plain - covered) * trust).max(plain * self.config.floor)
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

impl Uses {
    fn push(&mut self, used: f64, declared: f64, most: usize) {
        if self.ratios.len() >= most {
            self.ratios.pop_front();
            self.amounts.pop_front();
        }
        self.ratios.push_back(used / declared.max(1.0));
        self.amounts.push_back(used);
    }

    /// Predictor of the amount that covers `share` of the runs, the one that varies less.
    fn predictor(&self, share: f64) -> Predictor {
        if spread(&self.amounts) < spread(&self.ratios) {
            return Predictor::Amount(quantile(&self.amounts, share));
        }
        Predictor::Ratio(quantile(&self.ratios, share))
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// How far the values lie apart, as a factor.
fn spread(values: &VecDeque<f64>) -> f64 {
    quantile(values, 0.85) / quantile(values, 0.15).max(f64::MIN_POSITIVE)
}

fn quantile(values: &VecDeque<f64>, share: f64) -> f64 {
    let mut sorted = values.iter().copied().collect::<Vec<_>>();
    sorted.sort_by(f64::total_cmp);
    let at = (share * (sorted.len() - 1) as f64).ceil() as usize;
    sorted[at.min(sorted.len() - 1)]
}

/// An amount between the smallest grant, or a smaller declaration, and `most`.
fn within(amount: f64, least: u64, declared: u64, most: u64) -> u64 {
    (amount as u64).max(least.min(declared)).min(most)
}

#[cfg(test)]
mod tests;
