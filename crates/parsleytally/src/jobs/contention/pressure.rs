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
/// Jobs whose loads one filter follows: the cost of a measurement grows with the square.
const MAX_LOADS: usize = 32;
/// Images of fillers that one filter tells apart; the least recently seen goes first.
const MAX_FILLERS: usize = 32;
/// Images that serve; past them those without open jobs are forgotten.
const MAX_IMAGES: usize = 256;

/// What is learned of all images.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Pressure {
    /// Filters of each image that serves, one for each [`MAX_LOADS`] of its jobs.
    images: HashMap<Arc<str>, Vec<Group>>,
}

/// Coefficient that is the effect of a filler.
#[derive(Debug, Clone, Copy)]
struct EffectAt {
    at: usize,
    /// When the filler was last measured.
    seen: Time,
}

/// What is learned of some jobs of one image that serves.
#[derive(Debug)]
struct Group {
    filter: Filter,
    /// Coefficients that are the loads of jobs.
    loads: HashMap<JobId, usize>,
    /// Effects of fillers.
    effects: HashMap<Arc<str>, EffectAt>,
    /// Coefficients of jobs that have ended.
    free: Vec<usize>,
    updated: Time,
}

impl Pressure {
    /// Takes a measured utilization of a job's tasks on one worker, at `at`; returns by
    /// how much it was above what was expected.
    pub(in crate::jobs) fn learn(
        &mut self,
        at: Time,
        image: &Arc<str>,
        job: JobId,
        utilization: f64,
        fillers: &[Occupant],
    ) -> f64 {
        let groups = self.images.entry(image.clone()).or_default();
        let group = group_of(groups, job, at);
        group.advance(at);
        let row = group.row(job, fillers);
        let surprise = utilization - group.filter.predict(&row);
        group.filter.update(&row, utilization);
        surprise
    }

    /// Utilization of a job's tasks without fillers.
    pub(in crate::jobs) fn load(&self, image: &str, job: JobId) -> f64 {
        let load = self.groups(image).find_map(|group| {
            let at = group.loads.get(&job)?;
            Some(group.filter.effect(*at).mean)
        });
        load.unwrap_or(UNKNOWN_LOAD)
    }

    /// What one processor of `filler` adds to the utilization of `image`, by the filter
    /// that knows it best.
    pub(in crate::jobs) fn effect(&self, image: &str, filler: &str) -> Effect {
        let known = self.groups(image).filter_map(|group| {
            let effect = group.effects.get(filler)?;
            Some(group.filter.effect(effect.at))
        });
        let best = known.min_by(|a, b| a.doubt.total_cmp(&b.doubt));
        best.unwrap_or(Effect {
            mean: UNKNOWN_EFFECT,
            doubt: EFFECT_DOUBT,
        })
    }

    /// Forgets the loads of jobs that have ended.
    pub(in crate::jobs) fn retain_jobs(&mut self, is_open: impl Fn(&JobId) -> bool) {
        for group in self.images.values_mut().flatten() {
            let free = &mut group.free;
            group.loads.retain(|job, at| {
                let open = is_open(job);
                if !open {
                    free.push(*at);
                }
                open
            });
        }
        if self.images.len() > MAX_IMAGES {
            let serves = |groups: &Vec<Group>| groups.iter().any(|group| !group.loads.is_empty());
            self.images.retain(|_, groups| serves(groups));
        }
    }

    fn groups(&self, image: &str) -> impl Iterator<Item = &Group> {
        self.images.get(image).into_iter().flatten()
    }

    /// Coefficients of the largest filter.
    #[cfg(test)]
    pub(in crate::jobs) fn largest(&self) -> usize {
        let groups = self.images.values().flatten();
        groups.map(|group| group.filter.len()).max().unwrap_or(0)
    }
}

/// The group that follows `job`, or the first that has room for it.
fn group_of(groups: &mut Vec<Group>, job: JobId, at: Time) -> &mut Group {
    let own = groups
        .iter()
        .position(|group| group.loads.contains_key(&job));
    let spare = || {
        groups
            .iter()
            .position(|group| group.loads.len() < MAX_LOADS)
    };
    let position = own.or_else(spare).unwrap_or(groups.len());
    if position == groups.len() {
        groups.push(Group::new(at));
    }
    &mut groups[position]
}

impl Group {
    fn new(at: Time) -> Self {
        Self {
            filter: Filter::new(NOISE),
            loads: HashMap::new(),
            effects: HashMap::new(),
            free: Vec::new(),
            updated: at,
        }
    }

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
                .widen(effect.at, variance, EFFECT_DOUBT * EFFECT_DOUBT);
        }
    }

    /// Coefficients of one measurement.
    fn row(&mut self, job: JobId, fillers: &[Occupant]) -> Vec<f64> {
        let load = self.load_of(job);
        let known = fillers.len().min(MAX_FILLERS);
        let effects: Vec<usize> = fillers[..known]
            .iter()
            .map(|filler| self.effect_of(&filler.class))
            .collect();
        let mut row = vec![0.0; self.filter.len()];
        row[load] = 1.0;
        for (filler, at) in fillers.iter().zip(effects) {
            row[at] += filler.cores;
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

    fn effect_of(&mut self, filler: &Arc<str>) -> usize {
        let seen = self.updated;
        if let Some(effect) = self.effects.get_mut(filler) {
            effect.seen = seen;
            return effect.at;
        }
        let at = self.free_effect();
        self.effects.insert(filler.clone(), EffectAt { at, seen });
        at
    }

    /// A coefficient for a filler that is new, if need be that of another.
    fn free_effect(&mut self) -> usize {
        if self.effects.len() < MAX_FILLERS {
            self.filter.add(UNKNOWN_EFFECT, EFFECT_DOUBT, 0.0);
            return self.filter.len() - 1;
        }
        let oldest = self.effects.iter().min_by_key(|(name, e)| (e.seen, *name));
        let oldest = oldest.map(|(name, effect)| (name.clone(), effect.at));
        // There are as many as may be, so there is an oldest.
        let (name, at) = oldest.expect("an effect");
        self.effects.remove(&name);
        self.filter.reset(at, UNKNOWN_EFFECT, EFFECT_DOUBT);
        at
    }
}
