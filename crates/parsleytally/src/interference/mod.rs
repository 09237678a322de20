//! Learns how much each class of task slows each class of service.
//!
//! A measurement of a service's tail latency arrives late. It is matched to the tasks
//! that were on the worker at the time it was taken, not at the time it came. The
//! logarithm of the latency is modelled as a curve over the service's load plus, for
//! each class of task there, an effect times its processors times the load. The
//! coefficients of one service class are estimated together by a Kalman filter, so
//! that classes that tend to run side by side are told apart, and each carries its
//! variance. The variance grows back with time: what shifts is learned anew.

mod history;
pub(crate) mod kalman;

use std::collections::HashMap;
use std::sync::Arc;

use crate::configs::InterferenceConfig;
use crate::placement::LatencyImpact;
use crate::types::{NodeName, Time};
use history::History;
use kalman::KalmanFilter;

/// Knots of the curve of latency over load.
const KNOTS: usize = 9;
/// Task classes told apart per service class; further ones share one effect.
const MAX_CLASSES: usize = 24;
/// Name of the effect that further classes share.
const OTHER: &str = "(other)";
/// Log latency that an unmeasured service is expected to have, as strain.
const PRIOR_LEVEL: f64 = -1.0;
/// Standard deviation of that expectation.
const PRIOR_LEVEL_DOUBT: f64 = 1.5;
/// Standard deviation of its change within the time of forgetting.
const LEVEL_DRIFT: f64 = 0.3;

/// Processors that tasks of one class use on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Occupant {
    /// Class of the tasks.
    pub class: Arc<str>,
    /// Processors in use, after throttling.
    pub cores: f64,
}

/// An event that the model learns from.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The tasks on a worker have changed.
    OccupantsChanged {
        /// The worker.
        worker: NodeName,
        /// When the change took effect.
        at: Time,
        /// All classes that run there from then on.
        occupants: Vec<Occupant>,
    },
    /// A service's latency was measured.
    LatencyMeasured {
        /// The worker.
        worker: NodeName,
        /// When it was measured, which is earlier than now.
        at: Time,
        /// Class of the service.
        service: Arc<str>,
        /// Share of the endpoint's slots in use, 0 to 1.
        load: f64,
        /// Tail latency over target.
        slowdown: f64,
    },
    /// A worker has gone.
    WorkerLost(NodeName),
}

/// Learned effect of a task class on a service class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Effect {
    /// Log growth of tail latency per processor at full load.
    pub mean: f64,
    /// Standard deviation of the mean.
    pub uncertainty: f64,
}

/// What is learned about one service class.
#[derive(Debug)]
struct Model {
    classes: Vec<Arc<str>>,
    filter: KalmanFilter,
    updated: Time,
}

/// The state of the model.
#[derive(Debug)]
pub struct Interference {
    config: InterferenceConfig,
    models: HashMap<Arc<str>, Model>,
    workers: HashMap<NodeName, History>,
    unmatched: u64,
}

impl Interference {
    /// Creates a model that has learned nothing.
    pub fn new(config: InterferenceConfig) -> Self {
        Self {
            config,
            models: HashMap::new(),
            workers: HashMap::new(),
            unmatched: 0,
        }
    }

    /// Takes one event.
    pub fn step(&mut self, now: Time, input: Input) {
        match input {
            Input::OccupantsChanged {
                worker,
                at,
                occupants,
            } => {
                let history = self.workers.entry(worker).or_default();
                history.insert(at, occupants);
                history.trim(now, self.config.window);
            }
            Input::LatencyMeasured {
                worker,
                at,
                service,
                load,
                slowdown: strain,
            } => self.measured(&worker, at, &service, load, strain),
            Input::WorkerLost(worker) => {
                self.workers.remove(&worker);
            }
        }
    }

    /// Measurements that matched no known state of their worker.
    pub fn unmatched(&self) -> u64 {
        self.unmatched
    }

    /// Effect of a pair, as far as it is known.
    pub fn effect(&self, service: &str, task: &str) -> Effect {
        let prior = Effect {
            mean: self.config.prior,
            uncertainty: self.config.doubt,
        };
        let Some(model) = self.models.get(service) else {
            return prior;
        };
        match model.position(task) {
            Some(at) => model.filter.effect(KNOTS + at),
            None => prior,
        }
    }

    /// Strain that a service on a worker is expected to show at `load` beside `occupants`.
    ///
    /// What the worker's latest measurements showed past the model is added.
    pub fn expected_slowdown(
        &self,
        worker: &NodeName,
        service: &str,
        load: f64,
        occupants: &[Occupant],
    ) -> Option<f64> {
        let model = self.models.get(service)?;
        let row = model.row(load, occupants)?;
        let history = self.workers.get(worker);
        let residual = history.map_or(0.0, |history| history.residual(service));
        Some((model.filter.predict(&row) + residual).exp())
    }

    fn measured(&mut self, worker: &NodeName, at: Time, service: &str, load: f64, strain: f64) {
        let valid = strain.is_finite() && strain > 0.0 && (0.0..=1.0).contains(&load);
        let history = self.workers.get(worker);
        let occupants = history.and_then(|history| history.at(at));
        let (true, Some(occupants)) = (valid, occupants) else {
            self.unmatched += 1;
            return;
        };
        let config = &self.config;
        if !self.models.contains_key(service) {
            self.models.insert(service.into(), Model::new(at, config));
        }
        let model = self
            .models
            .get_mut(service)
            .expect("the model was inserted");
        let surprise = model.learn(at, load, strain, occupants, config);
        if let Some(history) = self.workers.get_mut(worker) {
            history.surprise(service, surprise);
        }
    }
}

impl LatencyImpact for Interference {
    fn log_growth_per_core(&self, service: &str, task: &str, strain: f64) -> f64 {
        let effect = self.effect(service, task);
        let spare = strain < self.config.explore;
        let margin = if spare { 0.0 } else { self.config.caution };
        (effect.mean + margin * effect.uncertainty).max(0.0)
    }
}

impl Model {
    fn new(now: Time, config: &InterferenceConfig) -> Self {
        let mut filter = KalmanFilter::new(config.noise);
        for _ in 0..KNOTS {
            filter.add_coefficient(PRIOR_LEVEL, PRIOR_LEVEL_DOUBT, LEVEL_DRIFT);
        }
        Self {
            classes: Vec::new(),
            filter,
            updated: now,
        }
    }

    fn position(&self, class: &str) -> Option<usize> {
        let exact = self.classes.iter().position(|c| **c == *class);
        exact.or_else(|| self.classes.iter().position(|c| **c == *OTHER))
    }

    /// Takes a measurement; returns how far it lies from the model, in log strain.
    fn learn(
        &mut self,
        at: Time,
        load: f64,
        strain: f64,
        occupants: &[Occupant],
        config: &InterferenceConfig,
    ) -> f64 {
        for occupant in occupants {
            self.admit(&occupant.class, config);
        }
        let passed = at.since(self.updated).as_secs_f64();
        let share = passed / config.forget.as_secs_f64().max(1.0);
        self.filter.add_drift(share);
        self.updated = self.updated.max(at);
        let Some(row) = self.row(load, occupants) else {
            return 0.0;
        };
        self.filter.update(&row, strain.ln());
        strain.ln() - self.filter.predict(&row)
    }

    fn admit(&mut self, class: &Arc<str>, config: &InterferenceConfig) {
        if self.position(class).is_some() {
            return;
        }
        let full = self.classes.len() + 1 == MAX_CLASSES;
        let name = if full { OTHER.into() } else { class.clone() };
        self.classes.push(name);
        self.filter
            .add_coefficient(config.prior, config.doubt, config.doubt);
    }

    /// Coefficients of one measurement; `None` if a class has not been admitted.
    fn row(&self, load: f64, occupants: &[Occupant]) -> Option<Vec<f64>> {
        let mut row = vec![0.0; KNOTS + self.classes.len()];
        let place = load.clamp(0.0, 1.0) * (KNOTS - 1) as f64;
        let knot = (place as usize).min(KNOTS - 2);
        let part = place - knot as f64;
        row[knot] = 1.0 - part;
        row[knot + 1] = part;
        for occupant in occupants {
            row[KNOTS + self.position(&occupant.class)?] += occupant.cores * load;
        }
        Some(row)
    }
}

#[cfg(test)]
mod tests;
