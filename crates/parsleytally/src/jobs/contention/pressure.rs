//! Utilization of tasks that serve: the load of their jobs, and what fillers add to it.
//!
//! All tasks of a job share its load, which swings within seconds. What a filler adds
//! depends on the images of both and on the processors that it uses, not on the load.
//! Loads and effects are estimated together, by one filter for each image that serves:
//! a task without fillers beside it tells the load, and what others of its job show
//! beyond that is put down to the fillers there.

use std::collections::HashMap;
use std::sync::Arc;

use crate::interference::filter::Filter;
use crate::interference::{Effect, Occupant};
use crate::jobs::JobId;
use crate::types::Time;

/// Utilization that is assumed of a job of which nothing is known.
const UNKNOWN_LOAD: f64 = 0.5;
/// Standard deviation of that assumption.
const LOAD_DOUBT: f64 = 0.25;
/// Standard deviation of a load's change within a second.
const LOAD_DRIFT: f64 = 0.08;
/// What one processor of an unknown filler is expected to add.
const UNKNOWN_EFFECT: f64 = 0.06;
/// Standard deviation of that expectation.
const EFFECT_DOUBT: f64 = 0.12;
/// Standard deviation of an effect's change within a second.
const EFFECT_DRIFT: f64 = 0.03;
/// Standard deviation of a measured utilization.
const NOISE: f64 = 0.05;
/// Images of fillers told apart beside one image that serves; the others count as unknown.
const MAX_FILLERS: usize = 32;

/// What is learned of all images.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    images: HashMap<Arc<str>, Image>,
}

/// What is learned of one image that serves.
#[derive(Debug)]
struct Image {
    filter: Filter,
    /// Coefficients that are the loads of jobs.
    loads: HashMap<JobId, usize>,
    /// Coefficients that are the effects of fillers.
    effects: HashMap<Arc<str>, usize>,
    /// Coefficients of jobs that have ended.
    free: Vec<usize>,
    updated: Time,
}

impl Pressure {
    /// Takes a measured utilization of a job's tasks on one worker, at `at`; returns by
    /// how much it was above what was expected.
    pub(super) fn learn(
        &mut self,
        at: Time,
        image: &Arc<str>,
        job: JobId,
        utilization: f64,
        fillers: &[Occupant],
    ) -> f64 {
        let model = self.images.entry(image.clone()).or_insert_with(|| Image {
            filter: Filter::new(NOISE),
            loads: HashMap::new(),
            effects: HashMap::new(),
            free: Vec::new(),
            updated: at,
        });
        model.advance(at);
        let row = model.row(job, fillers);
        let surprise = utilization - model.filter.predict(&row);
        model.filter.update(&row, utilization);
        surprise
    }

    /// Utilization of a job's tasks without fillers.
    pub(super) fn load(&self, image: &str, job: JobId) -> f64 {
        let model = self.images.get(image);
        let load = model.and_then(|model| {
            let at = model.loads.get(&job)?;
            Some(model.filter.effect(*at).mean)
        });
        load.unwrap_or(UNKNOWN_LOAD)
    }

    /// What one processor of `filler` adds to the utilization of `image`.
    pub(super) fn effect(&self, image: &str, filler: &str) -> Effect {
        let model = self.images.get(image);
        let known = model.and_then(|model| {
            let at = model.effects.get(filler)?;
            Some(model.filter.effect(*at))
        });
        known.unwrap_or(Effect {
            mean: UNKNOWN_EFFECT,
            doubt: EFFECT_DOUBT,
        })
    }

    /// Forgets the loads of jobs that have ended.
    pub(super) fn retain_jobs(&mut self, is_open: impl Fn(&JobId) -> bool) {
        for model in self.images.values_mut() {
            let free = &mut model.free;
            model.loads.retain(|job, at| {
                let open = is_open(job);
                if !open {
                    free.push(*at);
                }
                open
            });
        }
    }
}

impl Image {
    /// Lets what is known age up to `at`.
    fn advance(&mut self, at: Time) {
        let passed = at.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(at);
        for load in self.loads.values() {
            let variance = LOAD_DRIFT * LOAD_DRIFT * passed;
            self.filter.widen(*load, variance, LOAD_DOUBT * LOAD_DOUBT);
        }
        for effect in self.effects.values() {
            let variance = EFFECT_DRIFT * EFFECT_DRIFT * passed;
            self.filter
                .widen(*effect, variance, EFFECT_DOUBT * EFFECT_DOUBT);
        }
    }

    /// Coefficients of one measurement.
    fn row(&mut self, job: JobId, fillers: &[Occupant]) -> Vec<f64> {
        let load = self.load_of(job);
        let effects: Vec<Option<usize>> = fillers
            .iter()
            .map(|filler| self.effect_of(&filler.class))
            .collect();
        let mut row = vec![0.0; self.filter.len()];
        row[load] = 1.0;
        for (filler, at) in fillers.iter().zip(effects) {
            if let Some(at) = at {
                row[at] += filler.cores;
            }
        }
        row
    }

    fn load_of(&mut self, job: JobId) -> usize {
        if let Some(at) = self.loads.get(&job) {
            return *at;
        }
        let at = match self.free.pop() {
            Some(at) => {
                self.filter.reset(at, UNKNOWN_LOAD, LOAD_DOUBT);
                at
            }
            None => {
                self.filter.add(UNKNOWN_LOAD, LOAD_DOUBT, 0.0);
                self.filter.len() - 1
            }
        };
        self.loads.insert(job, at);
        at
    }

    fn effect_of(&mut self, filler: &Arc<str>) -> Option<usize> {
        if let Some(at) = self.effects.get(filler) {
            return Some(*at);
        }
        if self.effects.len() == MAX_FILLERS {
            return None;
        }
        self.filter.add(UNKNOWN_EFFECT, EFFECT_DOUBT, 0.0);
        let at = self.filter.len() - 1;
        self.effects.insert(filler.clone(), at);
        Some(at)
    }
}
