//! Stand-in of the workers: plays back what the trace records.
//!
//! Tasks run without isolation: each takes its true processors and memory, whatever
//! it was granted. The latency of a service is
//! `base * exp(slope * load²) * (1 + load * Σ effect * cores) * contention`, where the
//! sum goes over the tasks on its worker and contention is `exp(2 * over)` with `over`
//! the share by which processors in use pass the worker's. Tasks on a worker whose
//! processors are used up slow down alike. Memory grows from 0.3 of a task's peak to
//! all of it at half of its work; where a worker's runs out, the run furthest past its
//! grant is stopped. This is simple on purpose: it is played
//! back for every policy alike and claims no more than the ranking of policies.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::estimates::Usage;
use parsleytally::grants::{Ledger, UnrecoveredLedger};
use parsleytally::placement::{Report, ServiceLoad};
use parsleytally::reaction::{RunView, Sample, ServiceView, ThrottleLevel};
use parsleytally::types::{
    Bytes, NodeName, RackName, Resources, RunId, RunNumber, TaskKey, Time, ZoneName,
};

use crate::trace::{ServiceSpec, TaskSpec, WorkerSpec};

/// Growth of log strain per share by which processors are overused.
const CONTENTION: f64 = 2.0;
/// Seconds of a run that resumes from a checkpoint or starts, without progress.
const START_SECONDS: f64 = 5.0;
/// Share of its memory that a task uses at its start.
const START_MEMORY: f64 = 0.3;
/// Share of its work after which a task uses all its memory.
const FULL_MEMORY: f64 = 0.5;
/// Seconds after which a run fails that will.
const FAIL_SECONDS: f64 = 5.0;

/// A task and what became of it.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) spec: TaskSpec,
    pub(crate) key: TaskKey,
    pub(crate) class: Arc<str>,
    /// Seconds of progress at full speed.
    pub(crate) done: f64,
    /// Progress that a checkpoint holds.
    pub(crate) saved: f64,
    /// Seconds of all its runs.
    pub(crate) ran: f64,
    pub(crate) state: State,
    pub(crate) runs: u64,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum State {
    Waiting,
    Running(Run),
    Finished,
    Cancelled,
}

/// One run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Run {
    pub(crate) worker: usize,
    pub(crate) since: f64,
    pub(crate) granted: Resources,
    pub(crate) level: ThrottleLevel,
}

/// A worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) name: NodeName,
    pub(crate) ledger: Ledger,
    pub(crate) up: bool,
    pub(crate) sick: bool,
    /// Latest measurement that arrived, by service.
    pub(crate) latest: BTreeMap<String, (Time, f64)>,
}

/// What a run came to within a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Finished,
    Failed,
    Killed,
}

/// All workers and tasks.
#[derive(Debug, Default)]
pub(crate) struct World {
    pub(crate) workers: Vec<Worker>,
    pub(crate) services: BTreeMap<String, ServiceSpec>,
    pub(crate) effects: BTreeMap<(String, String), f64>,
    pub(crate) loads: BTreeMap<String, f64>,
    pub(crate) tasks: BTreeMap<TaskKey, Task>,
    /// Running tasks by worker.
    pub(crate) running: BTreeMap<usize, Vec<TaskKey>>,
}

impl World {
    pub(crate) fn add_worker(&mut self, spec: &WorkerSpec) -> Result<(), String> {
        let name = NodeName::new(&spec.name).map_err(|e| e.to_string())?;
        let ledger = empty_ledger(self.room(spec));
        self.workers.push(Worker {
            spec: spec.clone(),
            name,
            ledger,
            up: true,
            sick: false,
            latest: BTreeMap::new(),
        });
        Ok(())
    }

    /// What a worker has beside its services.
    fn room(&self, spec: &WorkerSpec) -> Resources {
        let mut room = Resources::new(spec.cpu, spec.memory, spec.accelerators);
        for class in &spec.services {
            if let Some(service) = self.services.get(class) {
                let kept = Resources::new(service.cpu, service.memory, 0);
                room = room.checked_sub(&kept).unwrap_or_default();
            }
        }
        room
    }

    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.workers.iter().position(|w| w.spec.name == name)
    }

    /// Loses a worker; returns the tasks that ran there.
    pub(crate) fn lose(&mut self, at: usize) -> Vec<TaskKey> {
        let lost = self.running.remove(&at).unwrap_or_default();
        for key in &lost {
            if let Some(task) = self.tasks.get_mut(key) {
                task.state = State::Waiting;
            }
        }
        let room = self.room(&self.workers[at].spec);
        let worker = &mut self.workers[at];
        worker.up = false;
        worker.latest.clear();
        worker.ledger = empty_ledger(room);
        lost
    }

    /// Starts a run if the ledger grants it; otherwise says what is free.
    pub(crate) fn start(
        &mut self,
        now: f64,
        key: &TaskKey,
        at: usize,
        need: Resources,
    ) -> Result<(), Resources> {
        let worker = &mut self.workers[at];
        let Some(task) = self.tasks.get_mut(key) else {
            return Err(worker.ledger.free());
        };
        if !worker.up || task.state != State::Waiting {
            return Err(Resources::NONE);
        }
        let id = run_id(key, task.runs + 1);
        if worker.ledger.grant(&id, need).is_err() {
            return Err(worker.ledger.free());
        }
        task.runs += 1;
        task.done = task.saved;
        task.state = State::Running(Run {
            worker: at,
            since: now,
            granted: need,
            level: ThrottleLevel::Full,
        });
        self.running.entry(at).or_default().push(key.clone());
        Ok(())
    }

    /// Ends a run and frees its grant; returns the run.
    pub(crate) fn stop(&mut self, key: &TaskKey, then: State) -> Option<Run> {
        let task = self.tasks.get_mut(key)?;
        let State::Running(run) = task.state else {
            task.state = then;
            return None;
        };
        task.state = then;
        self.workers[run.worker]
            .ledger
            .release(&run_id(key, task.runs));
        if let Some(list) = self.running.get_mut(&run.worker) {
            list.retain(|k| k != key);
        }
        Some(run)
    }

    pub(crate) fn throttle(&mut self, key: &TaskKey, level: ThrottleLevel) {
        if let Some(State::Running(run)) = self.tasks.get_mut(key).map(|t| &mut t.state) {
            run.level = level;
        }
    }

    /// Changes a grant if the ledger allows it.
    pub(crate) fn resize(&mut self, key: &TaskKey, need: Resources) -> bool {
        let Some(task) = self.tasks.get_mut(key) else {
            return false;
        };
        let State::Running(run) = &mut task.state else {
            return false;
        };
        let ledger = &mut self.workers[run.worker].ledger;
        let id = run_id(key, task.runs);
        ledger.release(&id);
        if ledger.grant(&id, need).is_ok() {
            run.granted = need;
            return true;
        }
        let kept = ledger.grant(&id, run.granted);
        assert!(kept.is_ok(), "a released grant of {key} was refused");
        false
    }

    /// True strain of a service on a worker now.
    pub(crate) fn strain(&self, at: usize, class: &str) -> f64 {
        let worker = &self.workers[at];
        let Some(service) = self.services.get(class) else {
            return 0.0;
        };
        let load = self.load(worker, class);
        let mut harm = 0.0;
        for task in self.on(at) {
            let pair = (class.to_owned(), task.spec.class.clone());
            harm += self.effects.get(&pair).unwrap_or(&0.0) * cores(task);
        }
        let over = (self.demand(at) / (worker.spec.cpu as f64 / 1e3) - 1.0).max(0.0);
        let alone = service.base * (service.slope * load * load).exp();
        alone * (1.0 + load * harm) * (CONTENTION * over).exp()
    }

    pub(crate) fn load(&self, worker: &Worker, class: &str) -> f64 {
        let load = self.loads.get(class).unwrap_or(&0.0);
        (load * worker.spec.share).clamp(0.0, 1.0)
    }

    fn on(&self, at: usize) -> impl Iterator<Item = &Task> {
        let keys = self.running.get(&at).into_iter().flatten();
        keys.filter_map(|key| self.tasks.get(key))
    }

    /// Shares of the room beside services: processors granted and used, memory granted.
    pub(crate) fn shares(&self, at: usize) -> (f64, f64, f64) {
        let ledger = &self.workers[at].ledger;
        let (room, used) = (ledger.capacity(), ledger.used());
        let cpu = room.cpu.0.max(1) as f64;
        let in_use = self.on(at).map(cores).sum::<f64>() * 1e3;
        let memory = used.memory.0 as f64 / room.memory.0.max(1) as f64;
        (used.cpu.0 as f64 / cpu, in_use / cpu, memory)
    }

    /// Processors that services and tasks want.
    fn demand(&self, at: usize) -> f64 {
        let worker = &self.workers[at];
        let service = |class: &String| {
            let cpu = self.services.get(class).map_or(0, |s| s.cpu);
            cpu as f64 / 1e3 * self.load(worker, class)
        };
        let services = worker.spec.services.iter().map(service).sum::<f64>();
        services + self.on(at).map(cores).sum::<f64>()
    }

    fn memory(&self, at: usize) -> u64 {
        let worker = &self.workers[at];
        let service = |class: &String| self.services.get(class).map_or(0, |s| s.memory);
        let services = worker.spec.services.iter().map(service).sum::<u64>();
        services + self.on(at).map(memory).sum::<u64>()
    }

    /// Lets the runs on a worker go on for `step` seconds; returns how some ended.
    pub(crate) fn run(&mut self, now: f64, step: f64, at: usize) -> Vec<(TaskKey, Fate)> {
        let mut ended = Vec::new();
        let speed = (self.workers[at].spec.cpu as f64 / 1e3 / self.demand(at)).min(1.0);
        let sick = self.workers[at].sick;
        for key in self.running.get(&at).cloned().unwrap_or_default() {
            let Some(task) = self.tasks.get_mut(&key) else {
                continue;
            };
            let State::Running(run) = task.state else {
                continue;
            };
            let passed = now - run.since;
            task.ran += step;
            if (sick || task.spec.truth.fails) && passed >= FAIL_SECONDS {
                ended.push((key, Fate::Failed));
                continue;
            }
            if passed >= START_SECONDS {
                task.done += step * speed * run.level.share();
            }
            if task.done >= task.spec.truth.time {
                ended.push((key, Fate::Finished));
            }
        }
        if self.memory(at) > self.workers[at].spec.memory {
            ended.extend(self.largest(at, &ended).map(|key| (key, Fate::Killed)));
        }
        ended
    }

    /// The run that uses the most memory past its grant.
    fn largest(&self, at: usize, ended: &[(TaskKey, Fate)]) -> Option<TaskKey> {
        let left = self
            .on(at)
            .filter(|t| ended.iter().all(|(key, _)| *key != t.key));
        let excess = |task: &&Task| {
            let State::Running(run) = task.state else {
                return 0;
            };
            memory(task).saturating_sub(run.granted.memory.0)
        };
        left.max_by_key(excess).map(|task| task.key.clone())
    }

    pub(crate) fn report(&self, at: usize) -> Report {
        let worker = &self.workers[at];
        let services = worker.spec.services.iter().map(|class| ServiceLoad {
            class: class.as_str().into(),
            load: self.load(worker, class),
            slowdown: worker.latest.get(class).map(|(_, strain)| *strain),
        });
        Report {
            worker: worker.name.clone(),
            zone: ZoneName::new(&worker.spec.zone).expect("zone names in a trace are valid"),
            rack: RackName::new(&worker.spec.rack).expect("rack names in a trace are valid"),
            total: worker.ledger.capacity(),
            granted: worker.ledger.used(),
            tasks: self.running.get(&at).cloned().unwrap_or_default(),
            services: services.collect(),
            ready: worker.up,
        }
    }

    pub(crate) fn sample(&self, now: f64, at: usize) -> Sample {
        let worker = &self.workers[at];
        let services = worker.spec.services.iter().filter_map(|class| {
            let (measured, strain) = worker.latest.get(class)?;
            Some(ServiceView {
                class: class.as_str().into(),
                measured_at: *measured,
                slowdown: *strain,
                load: self.load(worker, class),
            })
        });
        let runs = self.on(at).filter_map(|task| {
            let State::Running(run) = task.state else {
                return None;
            };
            Some(RunView {
                task: task.key.clone(),
                class: task.class.clone(),
                cores: cores(task),
                memory: Bytes(memory(task)),
                granted: run.granted,
                level: run.level,
                can_checkpoint: task.spec.checkpoint,
                age: Duration::from_secs_f64((now - run.since).max(0.0)),
                unsaved: Duration::from_secs_f64((now - run.since).max(0.0)),
            })
        });
        let total = Resources::new(worker.spec.cpu, worker.spec.memory, 0);
        let room = worker.ledger.free();
        Sample {
            granted: total.checked_sub(&room).unwrap_or(total),
            total,
            memory: Bytes(self.memory(at)),
            services: services.collect(),
            runs: runs.collect(),
        }
    }
}

/// Processors that a running task uses.
fn cores(task: &Task) -> f64 {
    let State::Running(run) = task.state else {
        return 0.0;
    };
    task.spec.truth.cpu as f64 / 1e3 * run.level.share()
}

/// Memory that a running task uses: it grows until half of its work is done.
fn memory(task: &Task) -> u64 {
    let part = (task.done / task.spec.truth.time / FULL_MEMORY).min(1.0);
    let share = START_MEMORY + (1.0 - START_MEMORY) * part;
    (task.spec.truth.memory as f64 * share) as u64
}

/// What a run showed, for the estimates.
pub(crate) fn usage(task: &Task, fate: Fate) -> Usage {
    let spec = &task.spec;
    let finished = fate == Fate::Finished;
    let peak = if finished {
        spec.truth.memory
    } else {
        memory(task)
    };
    Usage {
        class: task.class.clone(),
        declared: Resources::new(spec.cpu, spec.memory, spec.accelerators),
        peak: Resources::new(spec.truth.cpu, peak, spec.accelerators),
        oom_killed: fate == Fate::Killed,
        declared_run_time: Duration::from_secs_f64(spec.time),
        run_time: finished.then(|| Duration::from_secs_f64(task.ran)),
    }
}

fn run_id(key: &TaskKey, run: u64) -> RunId {
    RunId {
        task: key.clone(),
        run: RunNumber(run),
    }
}

fn empty_ledger(room: Resources) -> Ledger {
    UnrecoveredLedger::new(room).recover([])
}
