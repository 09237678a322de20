//! Which fillers slow which tasks that serve users, learned while they run.
//!
//! The tail latency of a task that serves is taken as that of a queue: without
//! neighbours at its best, and without bound as its utilization comes near 1. Each
//! processor that fillers of one image use adds to that utilization, by an amount that
//! [`Interference`] estimates for each pair of images. A worker has room for fillers
//! until the worst of its tasks would come near its target.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::fleet::{Load, Worker};
use super::{Gauge, RunRef};
use crate::configs::InterferenceConfig;
use crate::interference::{Input, Interference, Occupant};
use crate::types::{NodeName, Time};

/// Load that is assumed of a task that serves; the worker does not tell it.
const ASSUMED_LOAD: f64 = 1.0;
/// Utilization that is assumed of a task of which nothing is known.
const UNKNOWN_USE: f64 = 0.5;
/// Tail latency over target that a task is assumed to have at its best.
const UNKNOWN_BEST: f64 = 0.25;
/// Part of the least tail latency seen that a task would show without any load.
const BEST_SHARE: f64 = 0.76;
/// Tail latency over target that the worst task shall not pass.
const AIM_STRAIN: f64 = 0.8;
/// How long before its arrival a measurement was taken: half of its window and the way.
const MEASURE_LAG: Duration = Duration::from_millis(260);
/// Least standard deviation of an effect that counts as unknown.
const UNKNOWN_DOUBT: f64 = 0.07;
/// Time in which an unknown pair is tried on one worker only.
const TRIAL_TIME: Duration = Duration::from_millis(1_200);
/// Least room that is counted with, as utilization.
const LEAST_ROOM: f64 = 0.01;
/// Steps in which paces are ordered, in percent.
const PACE_STEP: f64 = 20.0;

/// A trial of an unknown pair.
#[derive(Debug, Clone)]
struct Trial {
    node: NodeName,
    began: Time,
}

/// Images of a task that serves and of a filler.
type Pair = (Arc<str>, Arc<str>);

/// What is learned of fillers and their neighbours.
#[derive(Debug)]
pub(super) struct Contention {
    model: Interference,
    trials: HashMap<Pair, Trial>,
    /// Least tail latency over target of each image.
    best: HashMap<Arc<str>, f64>,
    /// For each worker and image that serves there, the utilization that fillers may add.
    rooms: HashMap<NodeName, BTreeMap<Arc<str>, f64>>,
}

impl Default for Contention {
    fn default() -> Self {
        let config = InterferenceConfig {
            window: Duration::from_secs(10),
            forget: Duration::from_secs(60),
            prior: 0.05,
            doubt: 0.15,
            noise: 0.15,
            ..InterferenceConfig::default()
        };
        Self {
            model: Interference::new(config),
            trials: HashMap::new(),
            best: HashMap::new(),
            rooms: HashMap::new(),
        }
    }
}

impl Contention {
    /// Takes what runs on a worker from now on.
    pub(super) fn occupied(&mut self, now: Time, node: &NodeName, worker: &Worker) {
        let input = Input::Occupied {
            worker: node.clone(),
            at: now,
            occupants: occupants(worker),
        };
        self.model.step(now, input);
        self.update_rooms(node, worker);
    }

    /// Takes what a worker measured of its runs.
    pub(super) fn measured(
        &mut self,
        now: Time,
        node: &NodeName,
        worker: &Worker,
        gauges: &[Gauge],
    ) {
        let lag = u64::try_from(MEASURE_LAG.as_micros()).unwrap_or(u64::MAX);
        let at = Time::from_micros(now.as_micros().saturating_sub(lag));
        for (load, strain) in strains(worker, gauges) {
            let best = self.best.entry(load.image.clone()).or_insert(UNKNOWN_BEST);
            *best = best.min(strain * BEST_SHARE);
            let utilization = 1.0 - *best / strain;
            let input = Input::Measured {
                worker: node.clone(),
                at,
                service: load.image.clone(),
                load: ASSUMED_LOAD,
                // The model takes the logarithm.
                strain: utilization.exp(),
            };
            self.model.step(now, input);
        }
        self.update_rooms(node, worker);
    }

    /// Share of the room for fillers on `worker` that is taken with one more of `load`;
    /// none where there is not enough, or where an unknown pair is tried elsewhere.
    pub(super) fn taken_with(
        &self,
        now: Time,
        node: &NodeName,
        worker: &Worker,
        load: &Load,
    ) -> Option<f64> {
        let Some(rooms) = self.rooms.get(node) else {
            return Some(0.0);
        };
        if rooms
            .keys()
            .any(|image| self.is_tried(now, node, image, load))
        {
            return None;
        }
        let fillers = worker.runs.values().filter(|run| run.filler);
        let taken: f64 = fillers
            .chain([load])
            .map(|run| self.weight(rooms, run))
            .sum();
        (taken <= 1.0).then_some(taken)
    }

    /// Notes that a filler was started on `worker`.
    pub(super) fn started(&mut self, now: Time, node: &NodeName, worker: &Worker, load: &Load) {
        self.trials
            .retain(|_, trial| now.since(trial.began) < TRIAL_TIME);
        for neighbour in worker.runs.values().filter(|run| run.target_ms > 0) {
            if self.is_unknown(&neighbour.image, &load.image) {
                let pair = (neighbour.image.clone(), load.image.clone());
                let node = node.clone();
                self.trials
                    .entry(pair)
                    .or_insert(Trial { node, began: now });
            }
        }
    }

    /// Paces of the fillers of `worker`, in percent, so that all its tasks that serve
    /// meet their targets.
    pub(super) fn paces(&self, node: &NodeName, worker: &Worker) -> Vec<(RunRef, u32)> {
        let Some(rooms) = self.rooms.get(node) else {
            return Vec::new();
        };
        let fillers = worker.runs.iter().filter(|(_, load)| load.filler);
        let mut weights: Vec<(f64, RunRef)> = fillers
            .map(|(run, load)| (self.weight(rooms, load), *run))
            .collect();
        weights.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut left = 1.0;
        let mut paces = Vec::with_capacity(weights.len());
        for (weight, run) in weights {
            let share = if weight <= left { 1.0 } else { left / weight };
            left = (left - share * weight).max(0.0);
            let steps = (share * 100.0 / PACE_STEP).floor();
            paces.push((run, (steps * PACE_STEP) as u32));
        }
        paces
    }

    fn update_rooms(&mut self, node: &NodeName, worker: &Worker) {
        let mut rooms = BTreeMap::new();
        for run in worker.runs.values().filter(|run| run.target_ms > 0) {
            if rooms.contains_key(&run.image) {
                continue;
            }
            let best = self.best.get(&run.image).copied().unwrap_or(UNKNOWN_BEST);
            let alone = self.model.expected(node, &run.image, ASSUMED_LOAD, &[]);
            let alone = alone.map_or(UNKNOWN_USE, f64::ln);
            let room = (1.0 - best / AIM_STRAIN) - alone;
            rooms.insert(run.image.clone(), room.max(LEAST_ROOM));
        }
        self.rooms.insert(node.clone(), rooms);
    }

    /// Share of the room that a filler takes at full speed.
    fn weight(&self, rooms: &BTreeMap<Arc<str>, f64>, filler: &Load) -> f64 {
        let cores = filler.cores();
        let share = |(image, room): (&Arc<str>, &f64)| {
            let effect = self.model.effect(image, &filler.image).mean.max(0.0);
            effect * cores / room
        };
        rooms.iter().map(share).fold(0.0, f64::max)
    }

    fn is_unknown(&self, image: &str, filler: &str) -> bool {
        self.model.effect(image, filler).doubt >= UNKNOWN_DOUBT
    }

    /// Whether an unknown pair is being tried on another worker.
    fn is_tried(&self, now: Time, node: &NodeName, image: &Arc<str>, load: &Load) -> bool {
        if !self.is_unknown(image, &load.image) {
            return false;
        }
        let trial = self.trials.get(&(image.clone(), load.image.clone()));
        trial.is_some_and(|trial| trial.node != *node && now.since(trial.began) < TRIAL_TIME)
    }
}

/// Processors that fillers use now, by image.
fn occupants(worker: &Worker) -> Vec<Occupant> {
    let mut cores: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
    for filler in worker.runs.values().filter(|run| run.filler) {
        *cores.entry(&filler.image).or_default() += filler.cores() * f64::from(filler.pace) / 100.0;
    }
    let occupant = |(class, cores): (&Arc<str>, f64)| Occupant {
        class: class.clone(),
        cores,
    };
    cores.into_iter().map(occupant).collect()
}

/// Tasks at work that serve users, each with its tail latency over target.
fn strains<'a>(
    worker: &'a Worker,
    gauges: &'a [Gauge],
) -> impl Iterator<Item = (&'a Load, f64)> + 'a {
    gauges.iter().filter_map(|gauge| {
        let load = worker.runs.get(&gauge.run.run)?;
        let at_work = load.target_ms > 0 && gauge.run.percent >= 100 && gauge.run.figure > 0;
        at_work.then(|| (load, gauge.run.figure as f64 / load.target_ms as f64))
    })
}
