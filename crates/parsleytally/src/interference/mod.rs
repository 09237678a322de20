//! Learns how much each task class slows down each service class.
//!
//! A measurement of a service's tail latency arrives late. It is matched to the tasks
//! that were on the worker when it was measured, not when it arrived. The logarithm of
//! the slowdown (latency relative to the target) is modelled as a piecewise linear curve
//! over the service's load plus, for each task class on the worker, an effect times its
//! processors times the load. One Kalman filter per service class estimates all its
//! coefficients together, which separates the effects of classes that often run side by
//! side, and gives the variance of each. The variances grow with time, so that the model
//! follows effects that change.

mod history;
pub(crate) mod kalman;

use std::collections::HashMap;
use std::sync::Arc;

use crate::configs::InterferenceConfig;
use crate::placement::LatencyImpact;
use crate::types::{NodeName, Time};
use history::History;
use kalman::KalmanFilter;

/// Knots of the curve of log slowdown over load, at equal distances from 0 to 1.
const KNOTS: usize = 9;
/// Maximum number of effects per service class; the last one is shared by all further
/// task classes.
const MAX_CLASSES: usize = 24;
/// Name of the shared effect.
const OTHER_CLASSES: &str = "(other)";
/// Expected log slowdown of a service class before its first measurement.
const PRIOR_LEVEL: f64 = -1.0;
/// Standard deviation of [`PRIOR_LEVEL`].
const PRIOR_LEVEL_DEVIATION: f64 = 1.5;
/// Standard deviation of the change of a knot per forgetting time.
const LEVEL_DRIFT: f64 = 0.3;

/// Tasks of one class on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Occupant {
    /// Task class.
    pub class: Arc<str>,
    /// Processors in use, after throttling.
    pub cores: f64,
}

/// An event for the model.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The tasks on a worker have changed.
    OccupantsChanged {
        /// The worker.
        worker: NodeName,
        /// When the change took effect.
        at: Time,
        /// All task classes on the worker from then on.
        occupants: Vec<Occupant>,
    },
    /// The tail latency of a service was measured.
    LatencyMeasured {
        /// The worker.
        worker: NodeName,
        /// When it was measured; it may arrive later.
        at: Time,
        /// Service class.
        service: Arc<str>,
        /// Fraction of the endpoint's slots in use, 0 to 1.
        load: f64,
        /// Tail latency relative to the target.
        slowdown: f64,
    },
    /// A worker was lost.
    WorkerLost(NodeName),
}

/// Learned effect of a task class on a service class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Effect {
    /// Increase of the log tail latency per processor in use, at full load.
    pub mean: f64,
    /// Standard deviation of the mean.
    pub uncertainty: f64,
}

/// Model of one service class. The filter's first [`KNOTS`] coefficients are the knots,
/// followed by the effects in the order of `classes`.
#[derive(Debug)]
struct Model {
    classes: Vec<Arc<str>>,
    filter: KalmanFilter,
    updated: Time,
}

/// Models of all service classes, with the recent occupants of all workers.
#[derive(Debug)]
pub struct Interference {
    config: InterferenceConfig,
    models: HashMap<Arc<str>, Model>,
    workers: HashMap<NodeName, History>,
    unmatched: u64,
}

impl Interference {
    /// Creates a model without measurements.
    pub fn new(config: InterferenceConfig) -> Self {
        Self {
            config,
            models: HashMap::new(),
            workers: HashMap::new(),
            unmatched: 0,
        }
    }

    /// Handles one event.
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
                slowdown,
            } => self.add_measurement(&worker, at, &service, load, slowdown),
            Input::WorkerLost(worker) => {
                self.workers.remove(&worker);
            }
        }
    }

    /// Number of measurements dropped because they were invalid or the worker's occupants
    /// at their time are unknown.
    pub fn unmatched(&self) -> u64 {
        self.unmatched
    }

    /// Estimated effect of a task class on a service class; the prior if the service class
    /// has not been measured beside the task class.
    pub fn effect(&self, service: &str, task: &str) -> Effect {
        let prior = Effect {
            mean: self.config.prior,
            uncertainty: self.config.doubt,
        };
        let Some(model) = self.models.get(service) else {
            return prior;
        };
        match model.effect_index(task) {
            Some(index) => model.filter.effect(KNOTS + index),
            None => prior,
        }
    }

    /// Expected slowdown of a service on a worker at `load` beside `occupants`; `None`
    /// unless the service class has been measured, also beside each of these task classes.
    ///
    /// It includes the smoothed residual of the worker's latest measurements.
    pub fn expected_slowdown(
        &self,
        worker: &NodeName,
        service: &str,
        load: f64,
        occupants: &[Occupant],
    ) -> Option<f64> {
        let model = self.models.get(service)?;
        let row = model.observation_row(load, occupants)?;
        let history = self.workers.get(worker);
        let residual = history.map_or(0.0, |history| history.residual(service));
        Some((model.filter.predict(&row) + residual).exp())
    }

    fn add_measurement(
        &mut self,
        worker: &NodeName,
        at: Time,
        service: &str,
        load: f64,
        slowdown: f64,
    ) {
        let valid = slowdown.is_finite() && slowdown > 0.0 && (0.0..=1.0).contains(&load);
        let history = self.workers.get(worker);
        let occupants = history.and_then(|history| history.occupants_at(at));
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
        let deviation = model.update(at, load, slowdown, occupants, config);
        if let Some(history) = self.workers.get_mut(worker) {
            history.update_residual(service, deviation);
        }
    }
}

impl LatencyImpact for Interference {
    fn log_growth_per_core(&self, service: &str, task: &str, slowdown: f64) -> f64 {
        let effect = self.effect(service, task);
        let far_from_target = slowdown < self.config.explore;
        let margin = if far_from_target {
            0.0
        } else {
            self.config.caution
        };
        (effect.mean + margin * effect.uncertainty).max(0.0)
    }
}

impl Model {
    fn new(now: Time, config: &InterferenceConfig) -> Self {
        let mut filter = KalmanFilter::new(config.noise);
        for _ in 0..KNOTS {
            filter.add_coefficient(PRIOR_LEVEL, PRIOR_LEVEL_DEVIATION, LEVEL_DRIFT);
        }
        Self {
            classes: Vec::new(),
            filter,
            updated: now,
        }
    }

    /// Index of the effect of a task class: its own, otherwise the shared one.
    fn effect_index(&self, class: &str) -> Option<usize> {
        let exact = self.classes.iter().position(|c| **c == *class);
        exact.or_else(|| self.classes.iter().position(|c| **c == *OTHER_CLASSES))
    }

    /// Updates the model with a measurement; returns how far its log slowdown is from the
    /// updated model.
    fn update(
        &mut self,
        at: Time,
        load: f64,
        slowdown: f64,
        occupants: &[Occupant],
        config: &InterferenceConfig,
    ) -> f64 {
        for occupant in occupants {
            self.add_class(&occupant.class, config);
        }
        let elapsed = at.since(self.updated).as_secs_f64();
        let fraction = elapsed / config.forget.as_secs_f64().max(1.0);
        self.filter.add_drift(fraction);
        self.updated = self.updated.max(at);
        let Some(row) = self.observation_row(load, occupants) else {
            return 0.0;
        };
        self.filter.update(&row, slowdown.ln());
        slowdown.ln() - self.filter.predict(&row)
    }

    /// Adds an effect for a task class without one.
    fn add_class(&mut self, class: &Arc<str>, config: &InterferenceConfig) {
        if self.effect_index(class).is_some() {
            return;
        }
        let is_last = self.classes.len() + 1 == MAX_CLASSES;
        let name = if is_last {
            OTHER_CLASSES.into()
        } else {
            class.clone()
        };
        self.classes.push(name);
        self.filter
            .add_coefficient(config.prior, config.doubt, config.doubt);
    }

    /// Row of the observation matrix for one measurement; `None` if a task class has no
    /// effect yet.
    fn observation_row(&self, load: f64, occupants: &[Occupant]) -> Option<Vec<f64>> {
        let mut row = vec![0.0; KNOTS + self.classes.len()];
        let position = load.clamp(0.0, 1.0) * (KNOTS - 1) as f64;
        let knot = (position as usize).min(KNOTS - 2);
        let fraction = position - knot as f64;
        row[knot] = 1.0 - fraction;
        row[knot + 1] = fraction;
        for occupant in occupants {
            row[KNOTS + self.effect_index(&occupant.class)?] += occupant.cores * load;
        }
        Some(row)
    }
}

#[cfg(test)]
mod tests;
