//! Which tasks were on a worker at which time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::types::Time;

use super::Occupant;

/// Share of a new measurement in the smoothed residual.
const SMOOTHING: f64 = 0.15;
/// States kept per worker.
const MAX_STATES: usize = 256;

/// States of one worker, oldest first.
#[derive(Debug, Default)]
pub(super) struct History {
    states: VecDeque<(Time, Vec<Occupant>)>,
    /// By service: smoothed log strain past the model.
    residuals: BTreeMap<String, f64>,
}

impl History {
    /// Adds the state from `at` on, in order of time also if it comes late.
    pub(super) fn insert(&mut self, at: Time, occupants: Vec<Occupant>) {
        let place = self.states.partition_point(|(from, _)| *from <= at);
        self.states.insert(place, (at, occupants));
        if self.states.len() > MAX_STATES {
            self.states.pop_front();
        }
    }

    /// Drops states that ended before the window.
    pub(super) fn trim(&mut self, now: Time, window: Duration) {
        while let Some((next, _)) = self.states.get(1) {
            if now.since(*next) <= window {
                return;
            }
            self.states.pop_front();
        }
    }

    /// The state in force at `at`.
    pub(super) fn at(&self, at: Time) -> Option<&[Occupant]> {
        let place = self.states.partition_point(|(from, _)| *from <= at);
        let (_, occupants) = self.states.get(place.checked_sub(1)?)?;
        Some(occupants)
    }

    pub(super) fn residual(&self, service: &str) -> f64 {
        self.residuals.get(service).copied().unwrap_or(0.0)
    }

    /// Smooths how far a measurement lies from the model.
    pub(super) fn surprise(&mut self, service: &str, surprise: f64) {
        let old = self.residual(service);
        let new = old + SMOOTHING * (surprise - old);
        match self.residuals.get_mut(service) {
            Some(residual) => *residual = new,
            None => {
                self.residuals.insert(service.to_owned(), new);
            }
        }
    }
}
