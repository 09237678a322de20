//! Which fillers slow which tasks that serve users, learned while they run.
//!
//! The tail latency of a task that serves is taken as that of a queue: without
//! neighbours it follows the task's own load, and it grows without bound as its
//! utilization comes near 1. Each processor that fillers of one image use raises the
//! utilization by a share, which [`Interference`] estimates for each pair of images.
//! A worker has room for fillers until one of its tasks would come near its target.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::fleet::{Load, Worker};
use super::{JobId, RunRef, RunningTask, TaskId};
use crate::configs::InterferenceConfig;
use crate::interference::{Input, Interference, Occupant};
use crate::types::{NodeName, Time};

/// Load that the model is told; the load of a task is divided out before.
const MODEL_LOAD: f64 = 1.0;
/// Utilization that is assumed of a task of which nothing is known.
const UNKNOWN_USE: f64 = 0.5;
/// Least utilization that is counted with.
const LEAST_USE: f64 = 0.05;
/// Utilization past which a measured tail grows with the excess instead.
const FULL_USE: f64 = 0.97;
/// Largest utilization that a measurement counts as.
const LARGEST_USE: f64 = 1.5;
/// Tail latency over target that a task is assumed to have at its best.
const UNKNOWN_BEST: f64 = 0.25;
/// Part of the least tail latency seen that a task would show without any load.
const BEST_SHARE: f64 = 0.76;
/// Tail latency over target that paces of fillers aim at.
const PACE_STRAIN: f64 = 0.95;
/// Growth of a task's load that a new filler leaves room for.
const LOAD_MARGIN: f64 = 0.03;
/// Share of a measurement in the load of a task without disturbance.
const LOAD_GAIN: f64 = 0.5;
/// How much less a measurement counts by the disturbance that is expected in it.
const DISTURBED_GAIN: f64 = 6.0;
/// How long before its arrival a measurement was taken: half of its window and the way.
const MEASURE_LAG: Duration = Duration::from_millis(260);
/// Least standard deviation of an effect that counts as unknown.
const UNKNOWN_DOUBT: f64 = 0.15;
/// Time in which an unknown pair is tried on one worker only.
const TRIAL_TIME: Duration = Duration::from_millis(800);
/// Least room that is counted with, as a share of a task's load.
const LEAST_ROOM: f64 = 0.01;
/// Standard deviations that are added to an effect where a filler is placed.
const CAUTION: f64 = 0.2;
/// Least expected raise of a utilization by which the model is judged.
const LEAST_RAISE: f64 = 0.1;
/// Raise that a measurement may show without cause.
const RAISE_NOISE: f64 = 0.1;
/// Share of a measurement in that judgement.
const EXCESS_GAIN: f64 = 0.5;
/// Most that the model is taken to fall short, as a factor.
const LARGEST_EXCESS: f64 = 4.0;
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
    /// Tasks that serve.
    tasks: HashMap<TaskId, Serving>,
    /// For each worker, what fillers may add to each task that serves there.
    rooms: HashMap<NodeName, Vec<Room>>,
}

/// What is known of a task that serves.
#[derive(Debug, Clone, Copy)]
struct Serving {
    /// Utilization without fillers beside it.
    load: f64,
    /// By how much fillers raised it beyond what the model said, as a factor of 1 or
    /// more.
    excess: f64,
}

/// What fillers may add beside one task.
#[derive(Debug, Clone)]
struct Room {
    image: Arc<str>,
    /// Share by which they may raise the utilization.
    share: f64,
}

impl Default for Contention {
    fn default() -> Self {
        let config = InterferenceConfig {
            window: Duration::from_secs(10),
            forget: Duration::from_secs(30),
            prior: 0.06,
            doubt: 0.2,
            noise: 0.15,
            ..InterferenceConfig::default()
        };
        Self {
            model: Interference::new(config),
            trials: HashMap::new(),
            best: HashMap::new(),
            tasks: HashMap::new(),
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
        gauges: &[RunningTask],
    ) {
        let lag = u64::try_from(MEASURE_LAG.as_micros()).unwrap_or(u64::MAX);
        let at = Time::from_micros(now.as_micros().saturating_sub(lag));
        let occupants = occupants(worker);
        for (run, load, strain) in strains(worker, gauges) {
            let best = self.best.entry(load.image.clone()).or_insert(UNKNOWN_BEST);
            *best = best.min(strain * BEST_SHARE);
            let measured = utilization(strain, *best).max(LEAST_USE);
            let raised = self.raised(&load.image, &occupants);
            let known = self.tasks.get(&run.task).copied();
            if let Some(Serving { load: known, .. }) = known {
                let input = Input::Measured {
                    worker: node.clone(),
                    at,
                    service: load.image.clone(),
                    load: MODEL_LOAD,
                    // The model takes the logarithm.
                    strain: (measured / known - 1.0).exp(),
                };
                self.model.step(now, input);
            }
            let alone = measured / (1.0 + raised);
            let known = known.unwrap_or(Serving {
                load: alone,
                excess: 1.0,
            });
            let excess = excess(known, measured, raised);
            let known = known.load;
            let gain = LOAD_GAIN / (1.0 + DISTURBED_GAIN * raised);
            let next = known + gain * (alone - known);
            // Fillers only ever raise the utilization.
            let next = next.min(measured).clamp(LEAST_USE, FULL_USE);
            let serving = Serving { load: next, excess };
            self.tasks.insert(run.task, serving);
        }
        self.update_rooms(node, worker);
    }

    /// Share by which `occupants` raise the utilization of `image`.
    fn raised(&self, image: &str, occupants: &[Occupant]) -> f64 {
        let effect = |occupant: &Occupant| self.effect(image, &occupant.class) * occupant.cores;
        occupants.iter().map(effect).sum()
    }

    /// Share by which one processor of `filler` raises the utilization of `image`.
    fn effect(&self, image: &str, filler: &str) -> f64 {
        self.model.effect(image, filler).mean.max(0.0)
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
        let mut taken: f64 = 0.0;
        for room in rooms {
            if self.is_tried(now, node, &room.image, load) {
                return None;
            }
            let fillers = worker.runs.values().filter(|run| run.filler);
            let raised = fillers.chain([load]).map(|run| self.cautious(room, run));
            let share = (room.share - LOAD_MARGIN).max(LEAST_ROOM);
            taken = taken.max(raised.sum::<f64>() / share);
            if taken > 1.0 {
                return None;
            }
        }
        Some(taken)
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
    /// meet their targets; the least harmful go first.
    pub(super) fn paces(&self, node: &NodeName, worker: &Worker) -> Vec<(RunRef, u32)> {
        let Some(rooms) = self.rooms.get(node) else {
            return Vec::new();
        };
        let mut left: Vec<(&Room, f64)> = rooms.iter().map(|room| (room, room.share)).collect();
        let fillers = worker.runs.iter().filter(|(_, load)| load.filler);
        let mut fillers: Vec<(f64, &RunRef, &Load)> = fillers
            .map(|(run, load)| (self.weight(rooms, load), run, load))
            .collect();
        fillers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let mut paces = Vec::with_capacity(fillers.len());
        for (_, run, load) in fillers {
            let raises: Vec<f64> = left
                .iter()
                .map(|(room, _)| self.raise(room, load))
                .collect();
            let pairs = left.iter().zip(&raises);
            let share = pairs.map(|((_, left), raise)| left / raise.max(f64::MIN_POSITIVE));
            let share = share.fold(1.0, f64::min);
            for ((_, left), raise) in left.iter_mut().zip(&raises) {
                *left = (*left - share * raise).max(0.0);
            }
            let steps = (share * 100.0 / PACE_STEP).floor();
            paces.push((*run, (steps * PACE_STEP) as u32));
        }
        paces
    }

    /// Forgets tasks of jobs that have ended.
    pub(super) fn retain_jobs(&mut self, is_open: impl Fn(&JobId) -> bool) {
        self.tasks.retain(|task, _| is_open(&task.job));
    }

    fn update_rooms(&mut self, node: &NodeName, worker: &Worker) {
        let mut rooms = Vec::new();
        let serving = worker.runs.iter().filter(|(_, load)| load.target_ms > 0);
        for (run, load) in serving {
            let best = self.best.get(&load.image).copied().unwrap_or(UNKNOWN_BEST);
            let task = self.tasks.get(&run.task).copied().unwrap_or(Serving {
                load: UNKNOWN_USE,
                excess: 1.0,
            });
            let share = (utilization(PACE_STRAIN, best) / task.load - 1.0) / task.excess;
            let image = load.image.clone();
            let share = share.max(LEAST_ROOM);
            rooms.push(Room { image, share });
        }
        self.rooms.insert(node.clone(), rooms);
    }

    /// Share by which a filler at full speed raises the utilization of a task.
    fn raise(&self, room: &Room, filler: &Load) -> f64 {
        self.effect(&room.image, &filler.image) * filler.cores
    }

    /// Share by which it does so at its present pace, with a margin for what is not known.
    fn cautious(&self, room: &Room, filler: &Load) -> f64 {
        let effect = self.model.effect(&room.image, &filler.image);
        (effect.mean + CAUTION * effect.doubt).max(0.0) * filler.cores * filler.speed()
    }

    /// Largest share of a task's room that a filler takes at full speed.
    fn weight(&self, rooms: &[Room], filler: &Load) -> f64 {
        let shares = rooms
            .iter()
            .map(|room| self.raise(room, filler) / room.share);
        shares.fold(0.0, f64::max)
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

/// How far the model falls short beside a task, after one more measurement.
fn excess(known: Serving, measured: f64, raised: f64) -> f64 {
    let actual = (measured / known.load - 1.0 - RAISE_NOISE) / raised.max(LEAST_RAISE);
    let next = known.excess + EXCESS_GAIN * (actual - known.excess);
    next.clamp(1.0, LARGEST_EXCESS)
}

/// Utilization at which a queue shows `strain`, whose best is `best`.
fn utilization(strain: f64, best: f64) -> f64 {
    let by_queue = 1.0 - best / strain;
    if by_queue < FULL_USE {
        return by_queue;
    }
    let full = best / (1.0 - FULL_USE);
    (FULL_USE * strain / full).min(LARGEST_USE)
}

/// Processors that fillers use now, by image.
fn occupants(worker: &Worker) -> Vec<Occupant> {
    let mut cores: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
    for filler in worker.runs.values().filter(|run| run.filler) {
        *cores.entry(&filler.image).or_default() += filler.cores * filler.speed();
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
    gauges: &'a [RunningTask],
) -> impl Iterator<Item = (RunRef, &'a Load, f64)> + 'a {
    gauges.iter().filter_map(|gauge| {
        let run = gauge.run;
        let load = worker.runs.get(&run)?;
        let at_work = load.target_ms > 0 && gauge.percent >= 100 && gauge.figure > 0;
        at_work.then(|| (run, load, gauge.figure as f64 / load.target_ms as f64))
    })
}
