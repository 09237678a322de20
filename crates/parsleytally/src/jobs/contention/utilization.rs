//! Model of the utilization of service tasks: a base utilization for each job, plus the
//! effect of best-effort tasks on the same worker.
//!
//! All tasks of a job share its base utilization, which changes within seconds. The effect
//! of a best-effort task depends on both images and on the processors that it uses, not
//! on the base utilization. Both are estimated together by Kalman filters, one for each
//! group of jobs of a service image: tasks without best-effort neighbours determine the
//! base utilization, and a higher one of other tasks of the same job is attributed to
//! their neighbours.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::interference::kalman::KalmanFilter;
use crate::interference::{Effect, Occupant};
use crate::jobs::JobId;
use crate::types::Time;

/// Expected base utilization of a job before its first measurement.
const PRIOR_BASE: f64 = 0.5;
/// Standard deviation of [`PRIOR_BASE`].
const PRIOR_BASE_DEVIATION: f64 = 0.25;
/// Standard deviation of the change of a base utilization within one second.
const BASE_DRIFT: f64 = 0.08;
/// Expected utilization that one processor of a best-effort image adds before its first
/// measurement.
pub(super) const PRIOR_EFFECT: f64 = 0.06;
/// Standard deviation of [`PRIOR_EFFECT`].
const PRIOR_EFFECT_DEVIATION: f64 = 0.12;
/// Standard deviation of the change of an effect within one second.
const EFFECT_DRIFT: f64 = 0.03;
/// Standard deviation of a measured utilization.
const MEASUREMENT_NOISE: f64 = 0.05;
/// Maximum number of jobs in one filter, as the cost of a measurement grows with the square
/// of the number of coefficients.
const MAX_JOBS: usize = 32;
/// Maximum number of best-effort images in one filter; a further one replaces the least
/// recently measured.
const MAX_BEST_EFFORT_IMAGES: usize = 32;
/// Number of service images above which those without open jobs are dropped.
const MAX_SERVICE_IMAGES: usize = 256;

/// Time that has usually passed since a predecessor recorded the effects it learned, in
/// seconds.
const RECORD_AGE: f64 = 4.0;

/// Utilization model of all service images.
#[derive(Debug, Default)]
pub(in crate::jobs) struct UtilizationModel {
    /// Groups of each service image, one for every [`MAX_JOBS`] of its jobs.
    images: HashMap<Arc<str>, Vec<Group>>,
    /// Effects on each service image that a predecessor learned.
    restored: HashMap<Arc<str>, HashMap<Arc<str>, Effect>>,
}

/// Coefficient of the effect of a best-effort image.
#[derive(Debug, Clone, Copy)]
struct EffectCoefficient {
    index: usize,
    /// Time of the last measurement with this image.
    measured: Time,
}

/// Filter of up to [`MAX_JOBS`] jobs of one service image.
#[derive(Debug)]
struct Group {
    filter: KalmanFilter,
    /// Index of the coefficient of each job's base utilization.
    bases: HashMap<JobId, usize>,
    /// Coefficient of each best-effort image.
    effects: HashMap<Arc<str>, EffectCoefficient>,
    /// Indexes of the coefficients of ended jobs, for reuse.
    free: Vec<usize>,
    updated: Time,
}

impl UtilizationModel {
    /// Updates the model with the utilization of a job's tasks on one worker, measured at
    /// `at`; returns by how much it exceeded the prediction.
    pub(in crate::jobs) fn update(
        &mut self,
        at: Time,
        image: &Arc<str>,
        job: JobId,
        utilization: f64,
        best_effort: &[Occupant],
    ) -> f64 {
        let restored = self.restored.get(image);
        let prior = |class: &str| prior_effect(restored, class);
        let groups = self.images.entry(image.clone()).or_default();
        let group = group_of(groups, job, at);
        group.advance(at);
        let row = group.observation_row(job, best_effort, prior);
        let excess = utilization - group.filter.predict(&row);
        group.filter.update(&row, utilization);
        excess
    }

    /// Utilization of a job's tasks without best-effort neighbours.
    pub(in crate::jobs) fn base(&self, image: &str, job: JobId) -> f64 {
        let base = self.groups(image).find_map(|group| {
            let index = group.bases.get(&job)?;
            Some(group.filter.effect(*index).mean)
        });
        base.unwrap_or(PRIOR_BASE)
    }

    /// Utilization that one processor of the image `best_effort` adds to tasks of `image`,
    /// from the group with the least uncertain estimate.
    pub(in crate::jobs) fn effect(&self, image: &str, best_effort: &str) -> Effect {
        let known = self.groups(image).filter_map(|group| {
            let coefficient = group.effects.get(best_effort)?;
            Some(group.filter.effect(coefficient.index))
        });
        let best = known.min_by(|a, b| a.uncertainty.total_cmp(&b.uncertainty));
        best.unwrap_or_else(|| prior_effect(self.restored.get(image), best_effort))
    }

    /// Effects of all best-effort images on `image` that were measured or restored.
    pub(in crate::jobs) fn known_effects(
        &self,
        image: &str,
    ) -> impl Iterator<Item = (Arc<str>, Effect)> {
        let measured = self.groups(image).flat_map(|group| group.effects.keys());
        let restored = self.restored.get(image).into_iter().flat_map(HashMap::keys);
        let best_effort: BTreeSet<Arc<str>> = measured.chain(restored).cloned().collect();
        let known = best_effort.into_iter();
        known.map(|name| (name.clone(), self.effect(image, &name)))
    }

    /// Sets the effects on `image` that a predecessor learned.
    pub(in crate::jobs) fn restore(
        &mut self,
        image: Arc<str>,
        effects: impl Iterator<Item = (Arc<str>, Effect)>,
    ) {
        let effects = effects.take(MAX_BEST_EFFORT_IMAGES);
        let effects = effects.map(|(name, effect)| (name, aged(effect)));
        self.restored.insert(image, effects.collect());
    }

    /// Drops the base utilization of ended jobs.
    pub(in crate::jobs) fn retain_jobs(&mut self, is_open: impl Fn(&JobId) -> bool) {
        for group in self.images.values_mut().flatten() {
            let free = &mut group.free;
            group.bases.retain(|job, index| {
                let open = is_open(job);
                if !open {
                    free.push(*index);
                }
                open
            });
        }
        if self.images.len() > MAX_SERVICE_IMAGES {
            let has_jobs = |groups: &Vec<Group>| groups.iter().any(|group| !group.bases.is_empty());
            self.images.retain(|_, groups| has_jobs(groups));
        }
    }

    fn groups(&self, image: &str) -> impl Iterator<Item = &Group> {
        self.images.get(image).into_iter().flatten()
    }

    /// Number of coefficients of the largest filter.
    #[cfg(test)]
    pub(in crate::jobs) fn largest_filter(&self) -> usize {
        let groups = self.images.values().flatten();
        groups.map(|group| group.filter.len()).max().unwrap_or(0)
    }
}

/// Effect of the best-effort image `class` before its first measurement.
fn prior_effect(restored: Option<&HashMap<Arc<str>, Effect>>, class: &str) -> Effect {
    let restored = restored.and_then(|effects| effects.get(class));
    restored.copied().unwrap_or(Effect {
        mean: PRIOR_EFFECT,
        uncertainty: PRIOR_EFFECT_DEVIATION,
    })
}

/// An effect after [`RECORD_AGE`], in which it has drifted.
fn aged(effect: Effect) -> Effect {
    let variance = effect.uncertainty.powi(2) + EFFECT_DRIFT.powi(2) * RECORD_AGE;
    Effect {
        mean: effect.mean,
        uncertainty: variance.sqrt().min(PRIOR_EFFECT_DEVIATION),
    }
}

/// Returns the group of `job`, or the first that can take it; adds one if all are full.
fn group_of(groups: &mut Vec<Group>, job: JobId, at: Time) -> &mut Group {
    let current = groups
        .iter()
        .position(|group| group.bases.contains_key(&job));
    let spare = || groups.iter().position(|group| group.bases.len() < MAX_JOBS);
    let position = current.or_else(spare).unwrap_or(groups.len());
    if position == groups.len() {
        groups.push(Group::new(at));
    }
    &mut groups[position]
}

impl Group {
    fn new(at: Time) -> Self {
        Self {
            filter: KalmanFilter::new(MEASUREMENT_NOISE),
            bases: HashMap::new(),
            effects: HashMap::new(),
            free: Vec::new(),
            updated: at,
        }
    }

    /// Increases the uncertainty of all coefficients by the time since the last update.
    fn advance(&mut self, at: Time) {
        let elapsed = at.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(at);
        for base in self.bases.values() {
            let variance = BASE_DRIFT * BASE_DRIFT * elapsed;
            self.filter.inflate_variance(
                *base,
                variance,
                PRIOR_BASE_DEVIATION * PRIOR_BASE_DEVIATION,
            );
        }
        for effect in self.effects.values() {
            let variance = EFFECT_DRIFT * EFFECT_DRIFT * elapsed;
            self.filter.inflate_variance(
                effect.index,
                variance,
                PRIOR_EFFECT_DEVIATION * PRIOR_EFFECT_DEVIATION,
            );
        }
    }

    /// Row of the observation matrix for one measurement; `prior` gives the effect of a
    /// best-effort image that was not measured before.
    fn observation_row(
        &mut self,
        job: JobId,
        best_effort: &[Occupant],
        prior: impl Fn(&str) -> Effect,
    ) -> Vec<f64> {
        let base = self.base_index(job);
        let count = best_effort.len().min(MAX_BEST_EFFORT_IMAGES);
        let effects: Vec<usize> = best_effort[..count]
            .iter()
            .map(|occupant| self.effect_index(&occupant.class, &prior))
            .collect();
        let mut row = vec![0.0; self.filter.len()];
        row[base] = 1.0;
        for (occupant, index) in best_effort.iter().zip(effects) {
            row[index] += occupant.cores;
        }
        row
    }

    fn base_index(&mut self, job: JobId) -> usize {
        if let Some(index) = self.bases.get(&job) {
            return *index;
        }
        let index = match self.free.pop() {
            Some(index) => {
                self.filter
                    .reset_coefficient(index, PRIOR_BASE, PRIOR_BASE_DEVIATION);
                index
            }
            None => {
                self.filter
                    .add_coefficient(PRIOR_BASE, PRIOR_BASE_DEVIATION, 0.0);
                self.filter.len() - 1
            }
        };
        self.bases.insert(job, index);
        index
    }

    fn effect_index(&mut self, image: &Arc<str>, prior: impl Fn(&str) -> Effect) -> usize {
        let measured = self.updated;
        if let Some(effect) = self.effects.get_mut(image) {
            effect.measured = measured;
            return effect.index;
        }
        let index = self.free_effect_index(prior(image));
        self.effects
            .insert(image.clone(), EffectCoefficient { index, measured });
        index
    }

    /// Returns a coefficient for a new best-effort image: an added one, or that of the least
    /// recently measured image once the filter is full.
    fn free_effect_index(&mut self, prior: Effect) -> usize {
        if self.effects.len() < MAX_BEST_EFFORT_IMAGES {
            self.filter
                .add_coefficient(prior.mean, prior.uncertainty, 0.0);
            return self.filter.len() - 1;
        }
        let oldest = self
            .effects
            .iter()
            .min_by_key(|(name, effect)| (effect.measured, *name));
        let oldest = oldest.map(|(name, effect)| (name.clone(), effect.index));
        // The maximum is above 0, so a full map has an oldest entry.
        let (name, index) = oldest.expect("a full filter has effects");
        self.effects.remove(&name);
        self.filter
            .reset_coefficient(index, prior.mean, prior.uncertainty);
        index
    }
}
