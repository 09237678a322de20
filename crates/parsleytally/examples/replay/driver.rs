//! Plays a trace against a policy in fake time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use parsleytally::types::{Resources, TaskKey, TaskName, TeamName, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::policy::{Action, Declared, Measured, News, Policy};
use crate::results::Results;
use crate::trace::{Event, Header, Record, TaskSpec};
use crate::world::{Fate, State, Task, World, usage};

/// Seconds of one step.
const STEP: f64 = 5.0;
/// Steps between two measurements of a service.
const MEASURE_STEPS: u64 = 2;
/// Seconds after which a lost worker's runs have stopped for certain.
const HOLD_SECONDS: f64 = 30.0;
/// Seconds for which starts go on without the store.
const STORE_SECONDS: f64 = 600.0;
/// Seconds in which no process schedules after one was lost.
const TAKE_OVER_SECONDS: f64 = 20.0;
/// Rounds of answers to actions within one step.
const MAX_ROUNDS: u32 = 8;

/// A replay in progress.
pub(crate) struct Driver<'a> {
    header: Header,
    world: World,
    policy: Box<dyn Policy>,
    fresh: &'a dyn Fn() -> Box<dyn Policy>,
    results: Results,
    rng: SmallRng,
    now: f64,
    /// Measurements on their way, by arrival.
    measures: BTreeMap<(u64, u64), (usize, Measured)>,
    sequence: u64,
    /// Lost workers and their runs, until they are known to have stopped.
    holds: Vec<(f64, usize, Vec<TaskKey>)>,
    store_down: Option<f64>,
    no_scheduler: Option<f64>,
    arrivals: BTreeMap<TaskKey, f64>,
    /// Processor seconds that the workers had beside their services.
    capacity: f64,
    /// Actions of the last step: agents answer them one step later when delayed.
    news: VecDeque<News>,
}

/// Replays `records` against a policy from `fresh`.
pub(crate) fn replay(
    records: &[Record],
    fresh: &dyn Fn() -> Box<dyn Policy>,
    seed: u64,
) -> Result<Results, String> {
    let Some(Event::Trace(header)) = records.first().map(|r| &r.event) else {
        return Err("the first record is not about the trace".to_owned());
    };
    let mut driver = Driver {
        header: header.clone(),
        world: World::default(),
        policy: fresh(),
        fresh,
        results: Results::new(header.seconds / 3_600.0),
        rng: SmallRng::seed_from_u64(seed),
        now: 0.0,
        measures: BTreeMap::new(),
        sequence: 0,
        holds: Vec::new(),
        store_down: None,
        no_scheduler: None,
        arrivals: BTreeMap::new(),
        capacity: 0.0,
        news: VecDeque::new(),
    };
    driver.play(records)?;
    Ok(driver.finish())
}

fn time(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6) as u64)
}

fn key(team: &str, task: &str) -> Result<TaskKey, String> {
    Ok(TaskKey {
        team: TeamName::new(team).map_err(|e| e.to_string())?,
        task: TaskName::new(task).map_err(|e| e.to_string())?,
    })
}

fn declared(task: &Task) -> Declared {
    let spec = &task.spec;
    Declared {
        task: task.key.clone(),
        class: task.class.clone(),
        need: Resources::new(spec.cpu, spec.memory, spec.accelerators),
        time: Duration::from_secs_f64(spec.time),
        urgent: spec.urgent,
    }
}

impl Driver<'_> {
    fn play(&mut self, records: &[Record]) -> Result<(), String> {
        let mut next = 0;
        let mut step = 0;
        while self.now < self.header.seconds {
            while let Some(record) = records.get(next).filter(|r| r.at <= self.now) {
                self.event(&record.event)?;
                next += 1;
            }
            self.step(step);
            step += 1;
            self.now += STEP;
        }
        Ok(())
    }

    fn event(&mut self, event: &Event) -> Result<(), String> {
        match event {
            Event::Trace(_) => {}
            Event::Worker(spec) => self.world.add_worker(spec)?,
            Event::Service(spec) => {
                let class = spec.class.clone();
                self.world.services.insert(class, spec.clone());
            }
            Event::Pair(pair) => {
                let key = (pair.service.clone(), pair.task.clone());
                self.world.effects.insert(key, pair.effect);
            }
            Event::Load { service, load } => {
                self.world.loads.insert(service.clone(), *load);
            }
            Event::Task(spec) => self.arrive(spec)?,
            Event::Cancel { team, task } => self.cancel(&key(team, task)?),
            Event::Down { worker } => self.down(self.find(worker)?),
            Event::Up { worker } => {
                let at = self.find(worker)?;
                self.world.workers[at].up = true;
            }
            Event::Sick { worker, sick } => {
                let at = self.find(worker)?;
                self.world.workers[at].sick = *sick;
            }
            Event::Store { up } => self.store_down = (!up).then_some(self.now),
            Event::Entry => {
                self.no_scheduler = Some(self.now + TAKE_OVER_SECONDS);
                self.news.clear();
            }
        }
        Ok(())
    }

    fn find(&self, worker: &str) -> Result<usize, String> {
        let at = self.world.find(worker);
        at.ok_or_else(|| format!("worker {worker:?} is not in the trace"))
    }

    fn arrive(&mut self, spec: &TaskSpec) -> Result<(), String> {
        let key = key(&spec.team, &spec.name)?;
        let task = Task {
            spec: spec.clone(),
            key: key.clone(),
            class: spec.class.as_str().into(),
            done: 0.0,
            saved: 0.0,
            ran: 0.0,
            state: State::Waiting,
            runs: 0,
        };
        self.news.push_back(News::Submit(declared(&task)));
        self.arrivals.insert(key.clone(), self.now);
        self.world.tasks.insert(key, task);
        Ok(())
    }

    fn cancel(&mut self, key: &TaskKey) {
        let state = self.world.tasks.get(key).map(|task| task.state);
        if matches!(state, Some(State::Waiting | State::Running(_))) {
            self.world.stop(key, State::Cancelled);
            self.news.push_back(News::Cancel(key.clone()));
        }
    }

    fn down(&mut self, at: usize) {
        let lost = self.world.lose(at);
        for key in &lost {
            self.lose_progress(key, false);
            self.results.worker_losses += 1;
        }
        self.holds.push((self.now + HOLD_SECONDS, at, lost));
    }

    /// Counts what a run had done, past its checkpoint, as lost.
    fn lose_progress(&mut self, key: &TaskKey, checkpoint: bool) {
        let Some(task) = self.world.tasks.get_mut(key) else {
            return;
        };
        if checkpoint && task.spec.checkpoint {
            task.saved = task.done;
        }
        let cores = task.spec.truth.cpu as f64 / 1e3;
        self.results.lost += (task.done - task.saved) * cores / 3_600.0;
        task.done = task.saved;
    }

    fn step(&mut self, step: u64) {
        self.release_holds();
        self.run_workers();
        if step.is_multiple_of(MEASURE_STEPS) {
            self.measure();
        }
        self.arrivals_of_measures();
        self.check();
        if self.no_scheduler.is_some_and(|until| self.now < until) {
            return;
        }
        if self.no_scheduler.take().is_some() {
            self.take_over();
        }
        self.report();
        self.deliver();
        self.news.push_back(News::Tick);
        self.deliver();
    }

    fn release_holds(&mut self) {
        let now = self.now;
        let holds = std::mem::take(&mut self.holds);
        let (due, rest): (Vec<_>, Vec<_>) = holds.into_iter().partition(|(at, ..)| *at <= now);
        self.holds = rest;
        for (_, at, lost) in due {
            if !self.world.workers[at].up {
                let name = self.world.workers[at].name.clone();
                self.news.push_back(News::Gone(name));
            }
            for key in lost {
                let waits = |task: &Task| task.state == State::Waiting;
                if self.world.tasks.get(&key).is_some_and(waits) {
                    self.news.push_back(News::Removed(key));
                }
            }
        }
    }

    fn run_workers(&mut self) {
        for at in 0..self.world.workers.len() {
            if !self.world.workers[at].up {
                continue;
            }
            let (granted, used, memory) = self.world.shares(at);
            self.results.granted_cpu += granted;
            self.results.used_cpu += used;
            self.results.granted_memory += memory;
            self.results.worker_steps += 1;
            self.capacity += self.world.workers[at].ledger.capacity().cpu.0 as f64 / 1e3 * STEP;
            for (key, fate) in self.world.run(self.now, STEP, at) {
                self.ended(&key, fate, at);
            }
            for class in self.world.workers[at].spec.services.clone() {
                let strain = self.world.strain(at, &class);
                let load = self.world.load(&self.world.workers[at], &class);
                let target = self.world.services.get(&class).map_or(0.0, |s| s.target);
                self.results.service(load, strain, target);
            }
        }
    }

    fn ended(&mut self, key: &TaskKey, fate: Fate, at: usize) {
        let worker = self.world.workers[at].name.clone();
        let then = if fate == Fate::Finished {
            State::Finished
        } else {
            State::Waiting
        };
        self.world.stop(key, then);
        let Some(task) = self.world.tasks.get(key) else {
            return;
        };
        let usage = usage(task, fate);
        let task = key.clone();
        match fate {
            Fate::Finished => {
                let truth = &self.world.tasks[key].spec.truth;
                self.results.finished += 1;
                self.results.work += truth.cpu as f64 / 1e3 * truth.time / 3_600.0;
                self.news.push_back(News::Finished {
                    task,
                    worker,
                    usage,
                });
            }
            Fate::Failed => {
                self.lose_progress(key, false);
                self.results.failures += 1;
                self.news.push_back(News::Failed { task, worker });
            }
            Fate::Killed => {
                self.lose_progress(key, false);
                self.results.kills += 1;
                self.news.push_back(News::Killed { task, usage });
            }
        }
    }

    /// Measures every service; what is measured arrives late, noisy and out of order.
    fn measure(&mut self) {
        for at in 0..self.world.workers.len() {
            let worker = &self.world.workers[at];
            if !worker.up {
                continue;
            }
            for class in worker.spec.services.clone() {
                let noise = self.normal() * self.header.noise;
                let (least, most) = self.header.lag;
                let lag = self.rng.random_range(least..=most);
                let worker = &self.world.workers[at];
                let measured = Measured {
                    worker: worker.name.clone(),
                    at: time(self.now),
                    service: class.as_str().into(),
                    load: self.world.load(worker, &class),
                    strain: self.world.strain(at, &class) * noise.exp(),
                };
                self.sequence += 1;
                let arrives = time(self.now + lag).as_micros();
                self.measures
                    .insert((arrives, self.sequence), (at, measured));
            }
        }
    }

    /// A normal variate, as a sum of uniform ones.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0
    }

    fn arrivals_of_measures(&mut self) {
        let now = time(self.now).as_micros();
        while let Some(first) = self.measures.first_entry() {
            if first.key().0 > now {
                return;
            }
            let (at, measured) = first.remove();
            let worker = &mut self.world.workers[at];
            if !worker.up {
                continue;
            }
            let latest = worker.latest.entry(measured.service.to_string());
            let latest = latest.or_insert((measured.at, measured.strain));
            if measured.at >= latest.0 {
                *latest = (measured.at, measured.strain);
            }
            self.news.push_back(News::Measured(measured));
        }
    }

    /// Checks the two promises by sums of its own.
    fn check(&mut self) {
        let mut granted = vec![Resources::NONE; self.world.workers.len()];
        for task in self.world.tasks.values() {
            if let State::Running(run) = task.state {
                let sum = granted[run.worker].checked_add(&run.granted);
                granted[run.worker] = sum.unwrap_or_default();
            }
        }
        for (worker, sum) in self.world.workers.iter().zip(&granted) {
            let passed = !sum.fits(&worker.ledger.capacity());
            self.results.overcommit += u64::from(passed);
        }
        let mut seen = BTreeSet::new();
        for task in self.world.running.values().flatten() {
            self.results.doubled += u64::from(!seen.insert(task));
        }
    }

    /// A new process knows the waiting tasks from the journal and the rest by report.
    fn take_over(&mut self) {
        self.policy = (self.fresh)();
        self.news.clear();
        self.report();
        let mut told = Vec::new();
        for task in self.world.tasks.values() {
            let held = |key: &TaskKey| self.holds.iter().any(|(_, _, lost)| lost.contains(key));
            match task.state {
                State::Waiting if !held(&task.key) => told.push(News::Submit(declared(task))),
                State::Running(run) => told.push(News::Adopt {
                    declared: declared(task),
                    worker: self.world.workers[run.worker].name.clone(),
                    granted: run.granted,
                }),
                _ => {}
            }
        }
        self.news.extend(told);
    }

    fn report(&mut self) {
        for (at, worker) in self.world.workers.iter().enumerate() {
            if worker.up {
                self.news.push_back(News::Report(self.world.report(at)));
                self.news.push_back(News::Seen {
                    worker: worker.name.clone(),
                    sample: self.world.sample(self.now, at),
                });
            }
        }
    }

    /// Hands news over and carries out what the policy wants, until it is quiet.
    fn deliver(&mut self) {
        for _ in 0..MAX_ROUNDS {
            let mut actions = Vec::new();
            for news in std::mem::take(&mut self.news) {
                self.policy.step(time(self.now), news, &mut actions);
            }
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start { task, worker, need } => self.start(task, &worker, need),
            Action::Throttle { task, level } => self.world.throttle(&task, level),
            Action::Resize { task, need } => {
                if self.world.resize(&task, need) {
                    self.news.push_back(News::Resized { task, need });
                }
            }
            Action::TakeOut { task, checkpoint } => self.take_out(task, checkpoint),
        }
    }

    fn start(&mut self, task: TaskKey, worker: &parsleytally::types::NodeName, need: Resources) {
        let at = self.world.find(worker.as_str());
        let stopped = self
            .store_down
            .is_some_and(|at| self.now - at > STORE_SECONDS);
        let answer = match at {
            Some(at) if !stopped => self.world.start(self.now, &task, at, need),
            _ => Err(Resources::NONE),
        };
        match answer {
            Ok(()) => {
                self.first_start(&task);
                self.news.push_back(News::Started(task));
            }
            Err(free) => {
                self.results.refusals += 1;
                let worker = worker.clone();
                self.news.push_back(News::Refused { task, worker, free });
            }
        }
    }

    fn first_start(&mut self, key: &TaskKey) {
        let urgent = self.world.tasks.get(key).is_some_and(|t| t.spec.urgent);
        if let Some(arrived) = self.arrivals.remove(key)
            && urgent
        {
            self.results.urgent.push(self.now - arrived);
        }
    }

    fn take_out(&mut self, task: TaskKey, checkpoint: bool) {
        if self.world.stop(&task, State::Waiting).is_none() {
            return;
        }
        self.lose_progress(&task, checkpoint);
        if checkpoint {
            self.results.moves += 1;
        } else {
            self.results.evictions += 1;
        }
        self.news.push_back(News::Removed(task));
    }

    fn finish(mut self) -> Results {
        self.results.bound = self.bound();
        for task in self.world.tasks.values() {
            if matches!(task.state, State::Waiting | State::Running(_)) {
                let class = task.spec.class.clone();
                *self.results.unfinished.entry(class).or_default() += 1;
            }
        }
        for ((service, task), effect) in &self.world.effects {
            if let Some(learned) = self.policy.effect(service, task) {
                let error = (learned - effect).abs();
                let worst = self.results.effect_error.unwrap_or(0.0);
                self.results.effect_error = Some(worst.max(error));
            }
        }
        self.results
    }

    /// Work that no policy could pass, in processor hours: what could have finished
    /// since its arrival, and what the workers had beside their services.
    fn bound(&self) -> f64 {
        let room = |task: &Task| {
            let truth = &task.spec.truth;
            let need = Resources::new(truth.cpu, truth.memory, task.spec.accelerators);
            let fits = |w: &crate::world::Worker| need.fits(&w.ledger.capacity());
            self.world.workers.iter().any(fits)
        };
        let possible =
            |task: &&Task| !task.spec.truth.fails && task.state != State::Cancelled && room(task);
        let tasks = self.world.tasks.values().filter(possible);
        let work = |task: &Task| task.spec.truth.cpu as f64 / 1e3 * task.spec.truth.time;
        let wanted = tasks.map(work).sum::<f64>();
        wanted.min(self.capacity) / 3_600.0
    }
}
