//! Which fillers slow which tasks that serve users, learned while they run.
//!
//! The tail latency of a task that serves is taken as that of a queue: it follows the
//! utilization, and grows without bound as that comes near 1. [`Pressure`] tells the
//! load of each job and what fillers add to it. A worker has room for fillers until one
//! of its tasks would come near its target.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::fleet::{Load, Worker};
use super::job::MILLI;
use super::{JobId, RunRef, RunStatus, TaskId};
use crate::interference::Occupant;
use crate::types::{NodeName, Time};

pub(super) mod pressure;

use pressure::Pressure;

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
const PACE_STRAIN: f64 = 0.8;
/// Growth of a task's utilization that a new filler leaves room for.
const LOAD_MARGIN: f64 = 0.02;
/// Least standard deviation of an effect that counts as unknown.
const UNKNOWN_DOUBT: f64 = 0.09;
/// Time in which an unknown pair is tried on one worker only.
const TRIAL_TIME: Duration = Duration::from_millis(800);
/// Least room that is counted with.
const LEAST_ROOM: f64 = 0.005;
/// Standard deviations that are added to an effect where a filler is placed.
const CAUTION: f64 = 0.2;
/// Most that a task is taken to be beyond the model.
const LARGEST_EXCESS: f64 = 0.4;
/// Least processors of fillers that may cause what a task shows beyond the model.
const LEAST_CORES: f64 = 0.1;
/// Steps in which paces are ordered, in percent.
const PACE_STEP: f64 = 20.0;
/// Progress of a task that serves from which on it is at work, in percent.
const AT_WORK: u32 = 100;

/// A trial of an unknown pair.
#[derive(Debug, Clone)]
struct Trial {
    node: NodeName,
    began: Time,
}

/// Images of a task that serves and of a filler.
type Pair = (Arc<str>, Arc<str>);

/// What is learned of fillers and their neighbours.
#[derive(Debug, Default)]
pub(super) struct Contention {
    pressure: Pressure,
    trials: HashMap<Pair, Trial>,
    /// Least tail latency over target of each image.
    best: HashMap<Arc<str>, f64>,
    /// By how much tasks that serve are beyond the model beside their fillers.
    excess: HashMap<TaskId, Excess>,
    /// For each worker, what fillers may add to each job that serves there.
    rooms: HashMap<NodeName, Vec<Room>>,
}

/// By how much the last two measurements of a task were beyond the model.
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    last: f64,
    before: f64,
}

impl Excess {
    /// What both show: a single measurement may be far too high.
    fn lasting(self) -> f64 {
        self.last.min(self.before).clamp(0.0, LARGEST_EXCESS)
    }
}

/// What fillers may add beside the tasks of one job.
#[derive(Debug, Clone)]
struct Room {
    image: Arc<str>,
    /// Utilization that is left for them.
    left: f64,
}

/// What a worker shows of the tasks of one job that serves.
#[derive(Debug)]
struct Shown {
    image: Arc<str>,
    /// Tail latency over target of each task.
    strains: Vec<(TaskId, f64)>,
}

impl Contention {
    /// Takes what runs on a worker from now on.
    pub(super) fn occupied(&mut self, node: &NodeName, worker: &Worker) {
        let mut jobs: BTreeMap<JobId, (&Load, f64)> = BTreeMap::new();
        for (run, load) in worker.runs.iter().filter(|(_, load)| load.target_ms > 0) {
            let excess = self.excess.get(&run.task);
            let excess = excess.map_or(0.0, |excess| excess.lasting());
            let (_, most) = jobs.entry(run.task.job).or_insert((load, 0.0));
            *most = most.max(excess);
        }
        let rooms = jobs.into_iter();
        let rooms = rooms.map(|(job, (load, excess))| self.room(job, load, excess));
        let rooms = rooms.collect();
        self.rooms.insert(node.clone(), rooms);
    }

    /// Takes what a worker measured of its runs.
    pub(super) fn measured(
        &mut self,
        now: Time,
        node: &NodeName,
        worker: &Worker,
        gauges: &[RunStatus],
    ) {
        let fillers = fillers_in_use(worker, gauges);
        for (job, mut shown) in shown(worker, gauges) {
            let strain = low_median(&mut shown.strains);
            let best = self.best.entry(shown.image.clone()).or_insert(UNKNOWN_BEST);
            *best = best.min(strain * BEST_SHARE);
            let best = *best;
            let measured = utilization(strain, best).max(LEAST_USE);
            let beyond = self
                .pressure
                .learn(now, &shown.image, job, measured, &fillers);
            for (task, strain) in shown.strains {
                let beyond = beyond + utilization(strain, best) - measured;
                self.note_excess(task, beyond, &fillers);
            }
        }
        self.occupied(node, worker);
    }

    fn note_excess(&mut self, task: TaskId, beyond: f64, fillers: &[Occupant]) {
        let cores: f64 = fillers.iter().map(|filler| filler.cores).sum();
        let excess = self.excess.entry(task).or_default();
        excess.before = excess.last;
        excess.last = if cores < LEAST_CORES { 0.0 } else { beyond };
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
            let left = (room.left - LOAD_MARGIN).max(LEAST_ROOM);
            taken = taken.max(raised.sum::<f64>() / left);
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
        let mut left: Vec<(&Room, f64)> = rooms.iter().map(|room| (room, room.left)).collect();
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
        self.excess.retain(|task, _| is_open(&task.job));
        self.pressure.retain_jobs(is_open);
    }

    fn room(&self, job: JobId, load: &Load, excess: f64) -> Room {
        let best = self.best.get(&load.image).copied().unwrap_or(UNKNOWN_BEST);
        let taken = self.pressure.load(&load.image, job) + excess;
        let left = utilization(PACE_STRAIN, best) - taken;
        Room {
            image: load.image.clone(),
            left: left.max(LEAST_ROOM),
        }
    }

    /// What a filler at full speed adds to the utilization of a job.
    fn raise(&self, room: &Room, filler: &Load) -> f64 {
        let effect = self.pressure.effect(&room.image, &filler.image);
        effect.mean.max(0.0) * filler.cores
    }

    /// What it adds at its present pace, with a margin for what is not known.
    fn cautious(&self, room: &Room, filler: &Load) -> f64 {
        let effect = self.pressure.effect(&room.image, &filler.image);
        (effect.mean + CAUTION * effect.doubt).max(0.0) * filler.cores * filler.speed()
    }

    /// Largest share of a job's room that a filler takes at full speed.
    fn weight(&self, rooms: &[Room], filler: &Load) -> f64 {
        let shares = rooms
            .iter()
            .map(|room| self.raise(room, filler) / room.left);
        shares.fold(0.0, f64::max)
    }

    fn is_unknown(&self, image: &str, filler: &str) -> bool {
        self.pressure.effect(image, filler).doubt >= UNKNOWN_DOUBT
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

/// Utilization at which a queue shows `strain`, whose best is `best`.
fn utilization(strain: f64, best: f64) -> f64 {
    let by_queue = 1.0 - best / strain;
    if by_queue < FULL_USE {
        return by_queue;
    }
    let full = best / (1.0 - FULL_USE);
    (FULL_USE * strain / full).min(LARGEST_USE)
}

/// Processors that the fillers of a worker used while it measured, by image.
fn fillers_in_use(worker: &Worker, gauges: &[RunStatus]) -> Vec<Occupant> {
    let mut cores: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
    for gauge in gauges {
        let load = worker.runs.get(&gauge.run);
        if let Some(load) = load.filter(|load| load.filler) {
            *cores.entry(&load.image).or_default() += gauge.measurement as f64 / MILLI;
        }
    }
    let occupant = |(class, cores): (&Arc<str>, f64)| Occupant {
        class: class.clone(),
        cores,
    };
    cores.into_iter().map(occupant).collect()
}

/// What a worker shows of its tasks at work that serve users, by job.
fn shown(worker: &Worker, gauges: &[RunStatus]) -> BTreeMap<JobId, Shown> {
    let mut jobs: BTreeMap<JobId, Shown> = BTreeMap::new();
    for gauge in gauges {
        let Some(load) = worker.runs.get(&gauge.run) else {
            continue;
        };
        if load.target_ms == 0 || gauge.percent < AT_WORK || gauge.measurement == 0 {
            continue;
        }
        let shown = jobs.entry(gauge.run.task.job).or_insert_with(|| Shown {
            image: load.image.clone(),
            strains: Vec::new(),
        });
        let strain = gauge.measurement as f64 / load.target_ms as f64;
        shown.strains.push((gauge.run.task, strain));
    }
    jobs
}

/// The middle of `strains`, the lower one of two: single measurements are at times far
/// too high.
fn low_median(strains: &mut [(TaskId, f64)]) -> f64 {
    strains.sort_by(|a, b| a.1.total_cmp(&b.1));
    strains[(strains.len() - 1) / 2].1
}
