//! Headroom of each worker: the utilization that best-effort tasks may add beside its service
//! tasks, and what those that run there use of it.
//!
//! The headroom of a worker is computed when its runs or measurements change, so that
//! placement only compares numbers: it asks for many workers and many tasks at a time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::utilization::PRIOR_EFFECT;
use super::{Contention, PRIOR_BEST_SLOWDOWN, TARGET_SLOWDOWN, TRIAL_DURATION, utilization};
use crate::jobs::fleet::{Load, Worker};
use crate::jobs::{JobId, RunRef, WaitReason};
use crate::types::{NodeName, Time};

/// Headroom that stays free when a best-effort task is placed, for growth of the load.
const HEADROOM_MARGIN: f64 = 0.02;
/// Minimum headroom, as shares are computed by dividing by it.
const MIN_HEADROOM: f64 = 0.005;
/// Standard deviations that are added to an effect when a best-effort task is placed.
const UNCERTAINTY_MARGIN: f64 = 0.2;
/// CPU share for which the headroom must suffice to try an unknown pair.
const TRIAL_SHARE: f64 = 0.4;
/// CPU shares are multiples of this, in percent.
const CPU_SHARE_STEP: f64 = 20.0;

/// Headroom beside the service tasks of one image on a worker.
#[derive(Debug, Clone)]
pub(super) struct Headroom {
    image: Arc<str>,
    /// Utilization that best-effort tasks may add to the job with the least headroom.
    available: f64,
    /// Utilization that best-effort runs add, with a margin for the uncertainty of their
    /// effects.
    used: f64,
}

impl Headroom {
    /// Share in use by the best-effort runs together with a load of this effect.
    fn used_with(&self, effect: ImageEffect) -> f64 {
        let available = (self.available - HEADROOM_MARGIN).max(MIN_HEADROOM);
        (self.used + effect.added) / available
    }
}

/// Service tasks of one job on a worker.
#[derive(Debug)]
struct ServiceJob<'a> {
    /// Load of one of the tasks.
    load: &'a Load,
    /// Highest excess of their utilization over the model.
    excess: f64,
}

/// Processors in use by the best-effort runs on a worker, by image.
type UsedCores = BTreeMap<Arc<str>, f64>;

/// Effect of a best-effort load on the service tasks of one image.
#[derive(Debug, Clone, Copy)]
struct ImageEffect {
    /// Utilization that it adds, with a margin for the uncertainty of the effect.
    added: f64,
    /// Whether the effect is unknown, so that it is tried on one worker at a time.
    unknown: bool,
    /// Whether, besides, nothing shows that it is harmful.
    untested: bool,
}

impl ImageEffect {
    /// The effect at the CPU share at which an untested pair is tried.
    fn tried(self) -> Self {
        let share = if self.untested { TRIAL_SHARE } else { 1.0 };
        Self {
            added: self.added * share,
            ..self
        }
    }
}

/// Effects of a best-effort load on all service images.
#[derive(Debug)]
pub(in crate::jobs) struct LoadEffects {
    image: Arc<str>,
    by_image: HashMap<Arc<str>, ImageEffect>,
    /// Effect on an image that was not measured yet.
    prior: ImageEffect,
}

impl LoadEffects {
    fn on(&self, image: &str) -> ImageEffect {
        self.by_image.get(image).copied().unwrap_or(self.prior)
    }
}

impl Contention {
    /// Recomputes the headrooms of a worker from its present runs.
    pub(in crate::jobs) fn update_headrooms(&mut self, node: &NodeName, worker: &Worker) {
        let mut headrooms: Vec<Headroom> = Vec::new();
        let used = used_cores(worker);
        for (job, service) in self.service_jobs(worker) {
            let available = self.available(job, &service);
            let image = &service.load.image;
            match headrooms.iter_mut().find(|known| known.image == *image) {
                Some(known) => known.available = known.available.min(available),
                None => headrooms.push(Headroom {
                    image: image.clone(),
                    available,
                    used: self.used_headroom(image, &used),
                }),
            }
        }
        self.headrooms.insert(node.clone(), headrooms);
    }

    /// Effects of `load` on the service images that were measured.
    pub(in crate::jobs) fn effects(&self, load: &Load) -> LoadEffects {
        let images = self.best_slowdowns.keys();
        let by_image = images.map(|image| (image.clone(), self.image_effect(image, load)));
        LoadEffects {
            image: load.image.clone(),
            by_image: by_image.collect(),
            prior: self.image_effect("", load),
        }
    }

    /// Share of the headroom of the worker `node` that its best-effort runs would use
    /// together with a load of these effects; above 1 if the load has to be throttled.
    ///
    /// # Errors
    ///
    /// Returns [`WaitReason::Headroom`] if the headroom doesn't suffice, and
    /// [`WaitReason::Trial`] while the effect of the load on a service there is unknown and
    /// tried on another worker.
    pub(in crate::jobs) fn headroom_used_with(
        &self,
        now: Time,
        node: &NodeName,
        effects: &LoadEffects,
    ) -> Result<f64, WaitReason> {
        let Some(headrooms) = self.headrooms.get(node) else {
            return Ok(0.0);
        };
        let mut max_used: f64 = 0.0;
        for headroom in headrooms {
            let effect = effects.on(&headroom.image);
            if effect.unknown && self.is_tried_elsewhere(now, node, headroom, effects) {
                return Err(WaitReason::Trial);
            }
            if headroom.used_with(effect.tried()) > 1.0 {
                return Err(WaitReason::Headroom);
            }
            max_used = max_used.max(headroom.used_with(effect));
        }
        Ok(max_used)
    }

    /// Share of the headroom of the worker `node` that its best-effort runs would use
    /// together with a load of these effects; above 1 if the headroom doesn't suffice.
    pub(in crate::jobs) fn headroom_share(&self, node: &NodeName, effects: &LoadEffects) -> f64 {
        let headrooms = self.headrooms.get(node).into_iter().flatten();
        let used = headrooms.map(|headroom| headroom.used_with(effects.on(&headroom.image)));
        used.fold(0.0, f64::max)
    }

    /// CPU shares of the best-effort runs of `worker`, in percent, with which all its service
    /// tasks meet their targets. Runs that use the least headroom are served first.
    pub(in crate::jobs) fn cpu_shares(
        &self,
        node: &NodeName,
        worker: &Worker,
    ) -> Vec<(RunRef, u32)> {
        let Some(headrooms) = self.headrooms.get(node) else {
            return Vec::new();
        };
        let mut remaining: Vec<(&Headroom, f64)> = headrooms
            .iter()
            .map(|headroom| (headroom, headroom.available))
            .collect();
        let best_effort = worker.runs.iter().filter(|(_, load)| load.best_effort);
        let mut best_effort: Vec<(f64, &RunRef, &Load)> = best_effort
            .map(|(run, load)| (self.largest_share(headrooms, load), run, load))
            .collect();
        best_effort.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let mut cpu_shares = Vec::with_capacity(best_effort.len());
        for (_, run, load) in best_effort {
            let added: Vec<f64> = remaining
                .iter()
                .map(|(headroom, _)| self.added_unthrottled(headroom, load))
                .collect();
            let pairs = remaining.iter().zip(&added);
            let share = pairs.map(|((_, left), added)| left / added.max(f64::MIN_POSITIVE));
            let share = share.fold(1.0, f64::min);
            for ((_, left), added) in remaining.iter_mut().zip(&added) {
                *left = (*left - share * added).max(0.0);
            }
            let steps = (share * 100.0 / CPU_SHARE_STEP).floor();
            cpu_shares.push((*run, (steps * CPU_SHARE_STEP) as u32));
        }
        cpu_shares
    }

    /// Jobs with service tasks on a worker.
    fn service_jobs<'a>(&self, worker: &'a Worker) -> BTreeMap<JobId, ServiceJob<'a>> {
        let mut jobs = BTreeMap::new();
        for (run, load) in worker.runs.iter().filter(|(_, load)| load.target_ms > 0) {
            let excess = self.excesses.get(&run.task);
            let excess = excess.map_or(0.0, |excess| excess.sustained());
            let first = ServiceJob { load, excess: 0.0 };
            let job = jobs.entry(run.task.job).or_insert(first);
            job.excess = job.excess.max(excess);
        }
        jobs
    }

    /// Utilization that best-effort tasks may add to the tasks of a job on a worker.
    fn available(&self, job: JobId, service: &ServiceJob<'_>) -> f64 {
        let image = &service.load.image;
        let best = self.best_slowdowns.get(image).copied();
        let best = best.unwrap_or(PRIOR_BEST_SLOWDOWN);
        let used = self.model.base(image, job) + service.excess;
        let available = utilization(TARGET_SLOWDOWN, best) - used;
        available.max(MIN_HEADROOM)
    }

    /// Utilization that best-effort runs add to service tasks of `image`.
    fn used_headroom(&self, image: &str, cores: &UsedCores) -> f64 {
        let used = cores.iter();
        let used =
            used.map(|(best_effort, cores)| cores * self.effect_with_margin(image, best_effort));
        used.sum()
    }

    fn image_effect(&self, image: &str, load: &Load) -> ImageEffect {
        let unknown = self.is_unknown(image, &load.image);
        let mean = self.model.effect(image, &load.image).mean;
        ImageEffect {
            added: self.effect_with_margin(image, &load.image) * load.cores * load.speed(),
            unknown,
            untested: unknown && mean <= PRIOR_EFFECT,
        }
    }

    /// Utilization that one processor of a best-effort image adds to service tasks of
    /// `image`, with a margin for its uncertainty.
    fn effect_with_margin(&self, image: &str, best_effort: &str) -> f64 {
        let effect = self.model.effect(image, best_effort);
        (effect.mean + UNCERTAINTY_MARGIN * effect.uncertainty).max(0.0)
    }

    /// Utilization that an unthrottled best-effort run adds to a job.
    fn added_unthrottled(&self, headroom: &Headroom, best_effort: &Load) -> f64 {
        let effect = self.model.effect(&headroom.image, &best_effort.image);
        effect.mean.max(0.0) * best_effort.cores
    }

    /// Largest share of a job's headroom that an unthrottled best-effort run uses.
    fn largest_share(&self, headrooms: &[Headroom], best_effort: &Load) -> f64 {
        let shares = headrooms
            .iter()
            .map(|headroom| self.added_unthrottled(headroom, best_effort) / headroom.available);
        shares.fold(0.0, f64::max)
    }

    /// Whether the effect of a load on a service image is being tried on another worker.
    fn is_tried_elsewhere(
        &self,
        now: Time,
        node: &NodeName,
        headroom: &Headroom,
        effects: &LoadEffects,
    ) -> bool {
        let pair = (headroom.image.clone(), effects.image.clone());
        let trial = self.trials.get(&pair);
        trial.is_some_and(|trial| trial.node != *node && now.since(trial.started) < TRIAL_DURATION)
    }
}

/// Processors in use by the best-effort runs of a worker.
fn used_cores(worker: &Worker) -> UsedCores {
    let mut used = UsedCores::new();
    for load in worker.runs.values().filter(|load| load.best_effort) {
        *used.entry(load.image.clone()).or_default() += load.cores * load.speed();
    }
    used
}
