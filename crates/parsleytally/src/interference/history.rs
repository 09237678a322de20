//! Past occupants of a worker, to match late measurements to.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::types::Time;

use super::Occupant;

/// Weight of a new measurement in the smoothed residual.
const SMOOTHING: f64 = 0.15;
/// Number of occupancies kept per worker.
const MAX_OCCUPANCIES: usize = 256;

/// History of one worker.
#[derive(Debug, Default)]
pub(super) struct History {
    /// Occupants and the time from which they apply, oldest first.
    occupancies: VecDeque<(Time, Vec<Occupant>)>,
    /// Smoothed residual of the log slowdown, by service class.
    residuals: BTreeMap<String, f64>,
}

impl History {
    /// Adds the occupants from `at` on; keeps the order of time if they are reported late.
    pub(super) fn insert(&mut self, at: Time, occupants: Vec<Occupant>) {
        let index = self.occupancies.partition_point(|(from, _)| *from <= at);
        self.occupancies.insert(index, (at, occupants));
        if self.occupancies.len() > MAX_OCCUPANCIES {
            self.occupancies.pop_front();
        }
    }

    /// Drops the occupants of times before the window.
    pub(super) fn trim(&mut self, now: Time, window: Duration) {
        while let Some((next, _)) = self.occupancies.get(1) {
            if now.since(*next) <= window {
                return;
            }
            self.occupancies.pop_front();
        }
    }

    /// Occupants at the time `at`.
    pub(super) fn occupants_at(&self, at: Time) -> Option<&[Occupant]> {
        let index = self.occupancies.partition_point(|(from, _)| *from <= at);
        let (_, occupants) = self.occupancies.get(index.checked_sub(1)?)?;
        Some(occupants)
    }

    /// Smoothed residual of a service class; 0 before its first measurement.
    pub(super) fn residual(&self, service: &str) -> f64 {
        self.residuals.get(service).copied().unwrap_or(0.0)
    }

    /// Adds the deviation of a measurement from the model to the smoothed residual.
    pub(super) fn update_residual(&mut self, service: &str, deviation: f64) {
        let old = self.residual(service);
        let new = old + SMOOTHING * (deviation - old);
        match self.residuals.get_mut(service) {
            Some(residual) => *residual = new,
            None => {
                self.residuals.insert(service.to_owned(), new);
            }
        }
    }
}
