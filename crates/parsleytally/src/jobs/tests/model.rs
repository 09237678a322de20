//! Whole days in a model of the platform: owners, agents, workers and a store in
//! simulated time, with seeded faults. It checks what workers do.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::worker::{Deed, ModelWorker};
use super::*;
use crate::types::{Revision, Time};

/// Days that a run of the tests plays.
const DAYS: u64 = 300;
const WORKERS: usize = 4;
/// Share of looks whose answer is lost.
const LOST_LOOKS: f64 = 0.02;
const JOBS: u64 = 14;
/// Faults begin and jobs arrive until then.
const TROUBLE: Duration = Duration::from_secs(25);
/// All jobs have ended by then.
const END: Duration = Duration::from_secs(80);
const LEASE: Duration = Duration::from_secs(4);
const AGENT_HOLD: Duration = Duration::from_secs(5);
const OWNER_HOLD: Duration = Duration::from_secs(8);

/// A fault in the system under test that the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// Ends are acknowledged before the store has them.
    EarlyNote,
    /// Looks do not raise the fence of the worker.
    NoFence,
    /// A new owner does not wait for agents that have not reported.
    NoWait,
}

#[derive(Debug)]
enum Event {
    Tick,
    /// An agent's call reaches its worker.
    Call(usize, u64, AgentOutput),
    /// The answer of a worker reaches its agent.
    Answer(usize, u64, AgentInput),
    /// A message reaches an agent.
    ToAgent(usize, Link, OrderMessage),
    /// A message reaches an owner.
    ToOwner(usize, Link, AgentMessage),
    /// A link is noticed to be lost at both ends.
    Lost(Link),
    /// A link is tried.
    Dial(usize, usize),
    /// Records reach the store.
    Save(usize, JobId, u64, JobProgress),
    Fault,
    Submit(u64),
    Cancel(u64),
    Owner,
    WorkerUp(usize),
    AgentUp(usize),
    Heal,
}

/// A connection of an owner to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Link {
    owner: usize,
    agent: usize,
    number: u64,
}

/// An event in the order of time and creation.
struct Queued(Time, u64, Event);

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct ModelAgent {
    tasks: JobAgent,
    /// Number of the process's life.
    life: u64,
    up: bool,
    links: HashSet<Link>,
}

struct ModelOwner {
    scheduler: Scheduler,
    epoch: u64,
    up: bool,
    /// When the store last confirmed it.
    confirmed: Time,
    reaches_store: bool,
    links: HashMap<usize, Link>,
}

/// A job in the store.
struct Stored {
    record: JobRecord,
    accepted: Revision,
    progress: Option<JobProgress>,
    /// Epoch and version of the progress.
    version: (u64, u64),
}

struct World {
    planted: Planted,
    rng: SmallRng,
    now: Time,
    queue: BinaryHeap<Reverse<Queued>>,
    sequence: u64,
    workers: Vec<ModelWorker>,
    agents: Vec<ModelAgent>,
    owners: Vec<ModelOwner>,
    jobs: BTreeMap<JobId, Stored>,
    revision: u64,
    links: u64,
    cut: HashSet<(usize, usize)>,
    /// Links that have lost a message and so deliver nothing further.
    silent: HashSet<Link>,
    store_down: bool,
    late_orders: bool,
    done: HashSet<TaskId>,
    noted: HashSet<TaskId>,
    broken: Vec<String>,
}

impl World {
    fn new(seed: u64, planted: Planted) -> Self {
        let now = Time::from_secs(1);
        let mut world = Self {
            planted,
            rng: SmallRng::seed_from_u64(seed),
            now,
            queue: BinaryHeap::new(),
            sequence: 0,
            workers: (0..WORKERS).map(|_| ModelWorker::new(now, 1)).collect(),
            agents: (0..WORKERS).map(|_| agent(1, now)).collect(),
            owners: Vec::new(),
            jobs: BTreeMap::new(),
            revision: 10,
            links: 0,
            cut: HashSet::new(),
            silent: HashSet::new(),
            store_down: false,
            late_orders: false,
            done: HashSet::new(),
            noted: HashSet::new(),
            broken: Vec::new(),
        };
        for at in 0..WORKERS {
            world.tell_agent(at, AgentInput::Report(report(at, 1)));
        }
        world.push(0, Event::Owner);
        world.push(50, Event::Tick);
        for id in 1..=JOBS {
            let at = world.rng.random_range(100..TROUBLE.as_millis() as u64);
            world.push(at, Event::Submit(id));
            if world.rng.random_bool(0.15) {
                world.push(at + 500, Event::Cancel(id));
            }
        }
        for _ in 0..7 {
            let at = world.rng.random_range(500..TROUBLE.as_millis() as u64);
            world.push(at, Event::Fault);
        }
        world.push(TROUBLE.as_millis() as u64 + 100, Event::Heal);
        world
    }

    fn push(&mut self, millis: u64, event: Event) {
        let at = self.now.after(Duration::from_millis(millis));
        self.sequence += 1;
        self.queue.push(Reverse(Queued(at, self.sequence, event)));
    }

    fn run(mut self) -> Vec<String> {
        let end = self.now.after(END);
        while let Some(Reverse(Queued(at, _, event))) = self.queue.pop() {
            if at > end || !self.broken.is_empty() {
                break;
            }
            self.now = at;
            self.advance_workers();
            self.handle(event);
        }
        if self.broken.is_empty() {
            self.check_end();
        }
        self.broken
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Call(at, life, call) => self.call(at, life, &call),
            Event::Answer(at, life, input) => {
                if self.agents[at].up && self.agents[at].life == life {
                    self.tell_agent(at, input);
                }
            }
            Event::ToAgent(at, link, message) => {
                if self.agents[at].links.contains(&link) {
                    let owner = OwnerLink(link.number);
                    self.tell_agent(at, AgentInput::OwnerMessage(owner, message));
                }
            }
            Event::ToOwner(owner, link, message) => self.owner_hears(owner, link, message),
            Event::Lost(link) => self.lost(link),
            Event::Dial(owner, at) => self.dial(owner, at),
            Event::Save(owner, job, version, progress) => self.save(owner, job, version, progress),
            Event::Fault => self.fault(),
            Event::Submit(id) => self.submit(id),
            Event::Cancel(id) => self.cancel(id),
            Event::Owner => self.new_owner(),
            Event::WorkerUp(at) => {
                let born = self.workers[at].born + 1;
                self.workers[at] = ModelWorker::new(self.now, born);
                if self.agents[at].up {
                    self.tell_agent(at, AgentInput::Report(report(at, born)));
                }
            }
            Event::AgentUp(at) => {
                for link in self.agents[at].links.clone() {
                    self.lost(link);
                }
                let life = self.agents[at].life + 1;
                self.agents[at] = agent(life, self.now);
                let born = self.workers[at].born;
                self.tell_agent(at, AgentInput::Report(report(at, born)));
            }
            Event::Heal => {
                self.cut.clear();
                self.store_down = false;
                self.late_orders = false;
            }
        }
    }

    fn advance_workers(&mut self) {
        for at in 0..WORKERS {
            let deeds = {
                let worker = &mut self.workers[at];
                if worker.up {
                    worker.advance(self.now)
                } else {
                    Vec::new()
                }
            };
            self.check(at, deeds);
        }
    }

    /// Checks what a worker has done.
    fn check(&mut self, at: usize, deeds: Vec<Deed>) {
        for deed in deeds {
            match deed {
                Deed::Started(run) => self.check_start(at, run),
                Deed::Ended(run, EndReason::Done) => {
                    self.done.insert(run.task);
                }
                Deed::Ended(..) => {}
                Deed::Noted(ends) => {
                    let done = ends.iter().filter(|end| end.reason == EndReason::Done);
                    self.noted.extend(done.map(|end| end.run.task));
                }
            }
        }
    }

    fn check_start(&mut self, at: usize, run: RunRef) {
        let mut complain = Vec::new();
        let elsewhere = self.workers.iter().enumerate();
        let mut elsewhere = elsewhere.filter(|(other, _)| *other != at);
        let twice = elsewhere.any(|(_, worker)| worker.runs().any(|other| other.task == run.task));
        if twice {
            complain.push("runs twice");
        }
        if self.workers[at]
            .runs()
            .filter(|other| other.task == run.task)
            .count()
            > 1
        {
            complain.push("runs twice on one worker");
        }
        if self.noted.contains(&run.task) {
            complain.push("starts after its end was acknowledged");
        }
        if self.workers[at].runs().count() > 4 {
            complain.push("exceeds what the worker has");
        }
        let before = self.jobs[&run.task.job].record.spec.steps[0].count;
        let first = |index| TaskId {
            step: 0,
            index,
            ..run.task
        };
        if run.task.step == 1 && !(0..before).all(|index| self.done.contains(&first(index))) {
            complain.push("starts before the step before it is done");
        }
        for what in complain {
            self.broken
                .push(format!("{}: {} {what} on worker {at}", self.now, run.task));
        }
    }

    fn check_end(&mut self) {
        for (id, stored) in &self.jobs {
            let state = stored.progress.as_ref().map(|progress| progress.state);
            let ended = stored.record.cancelled || state.is_some_and(JobState::is_final);
            if !ended {
                self.broken
                    .push(format!("job {id} has not ended: {state:?}"));
            }
        }
    }

    fn tick(&mut self) {
        for at in 0..WORKERS {
            if self.agents[at].up {
                self.tell_agent(at, AgentInput::Tick);
                let sent = self.now.as_micros();
                self.report(at, AgentMessage::Ping { sent });
            }
        }
        for owner in 0..self.owners.len() {
            if self.owners[owner].up {
                if self.owners[owner].reaches_store && !self.store_down && self.is_current(owner) {
                    self.owners[owner].confirmed = self.now;
                }
                let confirmed = self.owners[owner].confirmed;
                self.tell_owner(owner, Input::Confirmed(confirmed));
                self.tell_owner(owner, Input::Tick);
            }
        }
        self.push(50, Event::Tick);
    }

    fn is_current(&self, owner: usize) -> bool {
        self.owners[owner].epoch + 1 == self.owners.len() as u64
    }

    fn tell_agent(&mut self, at: usize, input: AgentInput) {
        let mut out = Vec::new();
        self.agents[at].tasks.step(self.now, input, &mut out);
        let life = self.agents[at].life;
        for output in out {
            match output {
                AgentOutput::Send(message) => self.report(at, message),
                AgentOutput::Close(number) => {
                    let links = self.agents[at].links.iter();
                    let closed = links.copied().find(|link| link.number == number.0);
                    if let Some(link) = closed {
                        self.lost(link);
                    }
                }
                call => {
                    let late = matches!(call, AgentOutput::Start(_)) && self.late_orders;
                    if late && self.rng.random_bool(0.3) {
                        self.carry_out_late(at, life, call);
                    } else {
                        self.push(0, Event::Call(at, life, call));
                    }
                }
            }
        }
    }

    /// An order is not answered, and carried out seconds later.
    fn carry_out_late(&mut self, at: usize, life: u64, call: AgentOutput) {
        if let AgentOutput::Start(start) = &call {
            let input = AgentInput::StartAnswered {
                run: start.order.run,
                fencing_token: start.fencing_token,
                answer: Err(CallError::Unanswered),
            };
            self.push(400, Event::Answer(at, life, input));
        }
        let delay = self.rng.random_range(500..6_000);
        // No process waits for the answer any more.
        self.push(delay, Event::Call(at, u64::MAX, call));
    }

    fn call(&mut self, at: usize, life: u64, call: &AgentOutput) {
        let mut deeds = Vec::new();
        let fenced = self.planted != Planted::NoFence;
        let worker = &mut self.workers[at];
        let (delay, input) = match call {
            AgentOutput::Start(call) => {
                let answer = if worker.up {
                    worker.start(self.now, call, &mut deeds)
                } else {
                    Err(CallError::Unanswered)
                };
                let run = call.order.run;
                (
                    1,
                    AgentInput::StartAnswered {
                        run,
                        fencing_token: call.fencing_token,
                        answer,
                    },
                )
            }
            AgentOutput::Stop(call) => {
                let answer = if worker.up {
                    worker.stop(self.now, *call)
                } else {
                    Err(CallError::Unanswered)
                };
                (
                    1,
                    AgentInput::StopAnswered {
                        run: call.run,
                        answer,
                    },
                )
            }
            AgentOutput::Poll(call) => {
                let lost = self.rng.random_bool(LOST_LOOKS);
                let answer = if worker.up {
                    let listing = worker.look(self.now, *call, fenced, &mut deeds);
                    if lost {
                        Err(CallError::Unanswered)
                    } else {
                        Ok(listing)
                    }
                } else {
                    Err(CallError::Unanswered)
                };
                let wait = if answer.is_ok() {
                    call.wait_ms / 10
                } else {
                    400
                };
                (
                    1 + wait,
                    AgentInput::Polled {
                        call: *call,
                        answer,
                    },
                )
            }
            _ => return,
        };
        self.check(at, deeds);
        self.push(delay, Event::Answer(at, life, input));
    }

    fn report(&mut self, at: usize, message: AgentMessage) {
        let links: Vec<Link> = self.agents[at].links.iter().copied().collect();
        // The newest owner is the one whose fence the agent took.
        let Some(link) = links
            .into_iter()
            .max_by_key(|link| (link.owner, link.number))
        else {
            return;
        };
        if self.delivers(link) {
            self.push(1, Event::ToOwner(link.owner, link, message));
        }
    }

    fn owner_hears(&mut self, owner: usize, link: Link, message: AgentMessage) {
        let current = self.owners[owner].links.get(&link.agent) == Some(&link);
        if !self.owners[owner].up || !current {
            return;
        }
        if let AgentMessage::Ping { sent } = message {
            let age = self.now.since(self.owners[owner].confirmed);
            let age = age.as_micros() as u64;
            self.order(
                link,
                OrderMessage::Pong {
                    sent,
                    confirmation_age: age,
                },
            );
            return;
        }
        self.tell_owner(owner, Input::Agent(node(link.agent), message));
    }

    /// Whether a message on `link` arrives; one that does not ends the link.
    fn delivers(&mut self, link: Link) -> bool {
        if self.cut.contains(&(link.owner, link.agent)) && self.silent.insert(link) {
            self.push(2_000, Event::Lost(link));
        }
        !self.silent.contains(&link)
    }

    fn order(&mut self, link: Link, message: OrderMessage) {
        if self.delivers(link) {
            self.push(1, Event::ToAgent(link.agent, link, message));
        }
    }

    fn tell_owner(&mut self, owner: usize, input: Input) {
        let mut out = Vec::new();
        let wall = self.now.as_micros() / 1_000;
        let scheduler = &mut self.owners[owner].scheduler;
        scheduler.step(self.now, wall, input, &mut out);
        scheduler.decide(self.now, wall, &mut out);
        for output in out {
            match output {
                Output::Order(name, message) => {
                    let at = (0..WORKERS).find(|at| node(*at) == name).expect("a worker");
                    if let Some(link) = self.owners[owner].links.get(&at).copied() {
                        self.order(link, message);
                    }
                }
                Output::Forget(_) => {}
                Output::Save {
                    job,
                    version,
                    progress,
                } => {
                    if self.planted == Planted::EarlyNote {
                        self.push(1, Event::Save(usize::MAX, job, version, progress.clone()));
                        self.tell_owner(owner, Input::Saved { job, version });
                    }
                    self.push(5, Event::Save(owner, job, version, progress));
                }
            }
        }
    }

    fn save(&mut self, owner: usize, job: JobId, version: u64, progress: JobProgress) {
        if owner == usize::MAX || !self.owners[owner].up || !self.is_current(owner) {
            return;
        }
        if self.store_down || !self.owners[owner].reaches_store {
            self.push(60, Event::Save(owner, job, version, progress));
            return;
        }
        let stored = self.jobs.get_mut(&job).expect("a job");
        // A late copy of an older record fails by its condition.
        let newer = (self.owners[owner].epoch, version);
        if newer > stored.version {
            stored.progress = Some(progress);
            stored.version = newer;
        }
        self.owners[owner].confirmed = self.now;
        self.tell_owner(owner, Input::Saved { job, version });
    }

    fn submit(&mut self, id: u64) {
        if self.store_down {
            self.push(300, Event::Submit(id));
            return;
        }
        self.revision += 1;
        let accepted = Revision(self.revision);
        let record = job(vec![step(3, &[]), step(2, &[0])]);
        let stored = Stored {
            record: record.clone(),
            accepted,
            progress: None,
            version: (0, 0),
        };
        self.jobs.insert(JobId(id), stored);
        self.tell_job(JobId(id));
    }

    fn cancel(&mut self, id: u64) {
        if let Some(stored) = self.jobs.get_mut(&JobId(id))
            && !self.store_down
        {
            stored.record.cancelled = true;
            self.tell_job(JobId(id));
        }
    }

    fn tell_job(&mut self, id: JobId) {
        for owner in 0..self.owners.len() {
            let reads = self.owners[owner].reaches_store && self.is_current(owner);
            if self.owners[owner].up && reads {
                let input = self.job_input(id);
                self.tell_owner(owner, input);
            }
        }
    }

    fn job_input(&self, id: JobId) -> Input {
        let stored = &self.jobs[&id];
        Input::Job {
            id,
            record: stored.record.clone(),
            accepted: stored.accepted,
            progress: stored.progress.clone(),
        }
    }

    fn new_owner(&mut self) {
        if self.store_down {
            self.push(200, Event::Owner);
            return;
        }
        self.revision += 1;
        let epoch = self.owners.len() as u64;
        let start = SchedulerStart {
            epoch,
            since: Revision(self.revision),
            agent_hold: AGENT_HOLD + AGENT_HOLD / 20,
            owner_hold: OWNER_HOLD + OWNER_HOLD / 20,
            keep_ended: Duration::from_secs(600),
        };
        let owner = self.owners.len();
        self.owners.push(ModelOwner {
            scheduler: Scheduler::new(start),
            epoch,
            up: true,
            confirmed: self.now,
            reaches_store: true,
            links: HashMap::new(),
        });
        self.tell_owner(owner, Input::Queues(Arc::new(queues(1))));
        for at in 0..WORKERS {
            if epoch > 0 && self.planted != Planted::NoWait {
                self.tell_owner(owner, Input::Expected(node(at)));
            }
            self.push(5, Event::Dial(owner, at));
        }
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            let input = self.job_input(id);
            self.tell_owner(owner, input);
        }
    }

    fn dial(&mut self, owner: usize, at: usize) {
        if !self.owners[owner].up || self.owners[owner].links.contains_key(&at) {
            return;
        }
        if !self.agents[at].up || self.cut.contains(&(owner, at)) {
            self.push(200, Event::Dial(owner, at));
            return;
        }
        self.links += 1;
        let number = self.links;
        let link = Link {
            owner,
            agent: at,
            number,
        };
        self.owners[owner].links.insert(at, link);
        self.agents[at].links.insert(link);
        let fence = (self.owners[owner].epoch + 1) << 32 | number << 12;
        self.order(
            link,
            OrderMessage::Begin {
                fencing_token: fence,
            },
        );
        self.tell_owner(owner, Input::Linked(node(at)));
    }

    fn lost(&mut self, link: Link) {
        if self.agents[link.agent].links.remove(&link) && self.agents[link.agent].up {
            self.tell_agent(link.agent, AgentInput::OwnerLost(OwnerLink(link.number)));
        }
        let owner = &mut self.owners[link.owner];
        if owner.links.get(&link.agent) == Some(&link) {
            owner.links.remove(&link.agent);
            if owner.up {
                self.tell_owner(link.owner, Input::Unlinked(node(link.agent)));
                self.push(200, Event::Dial(link.owner, link.agent));
            }
        }
    }

    fn fault(&mut self) {
        let at = self.rng.random_range(0..WORKERS);
        let span = self.rng.random_range(500..9_000);
        match self.rng.random_range(0..7) {
            0 => self.kill_owner(),
            1 => {
                self.workers[at].up = false;
                self.push(span, Event::WorkerUp(at));
            }
            2 => {
                self.agents[at].up = false;
                for link in self.agents[at].links.clone() {
                    self.lost(link);
                }
                self.push(span, Event::AgentUp(at));
            }
            3 => self.cut_off(at, span),
            4 => {
                self.store_down = true;
                self.push(span.min(5_000), Event::Heal);
            }
            5 => {
                self.late_orders = true;
                self.push(span, Event::Heal);
            }
            _ => {
                // The owner loses the store, and another takes over beside it.
                let owner = self.owners.len() - 1;
                self.owners[owner].reaches_store = false;
                self.push(1_500, Event::Owner);
            }
        }
    }

    fn kill_owner(&mut self) {
        let owner = self.owners.len() - 1;
        self.owners[owner].up = false;
        let links: Vec<Link> = self.owners[owner].links.values().copied().collect();
        for link in links {
            self.push(1, Event::Lost(link));
        }
        self.push(1_500, Event::Owner);
    }

    /// Cuts an agent off from its newest owner; the old ones may still reach it.
    fn cut_off(&mut self, at: usize, span: u64) {
        let owner = self.owners.len() - 1;
        self.cut.insert((owner, at));
        if let Some(link) = self.owners[owner].links.get(&at).copied() {
            self.push(2_000, Event::Lost(link));
        }
        // A successor is cut off as well.
        self.cut.insert((owner + 1, at));
        self.push(span, Event::Heal);
    }
}

fn agent(life: u64, began: Time) -> ModelAgent {
    ModelAgent {
        tasks: JobAgent::new(
            AgentTimes {
                lease: LEASE,
                agent_hold: AGENT_HOLD,
                owner_hold: OWNER_HOLD,
            },
            began,
        ),
        life,
        up: true,
        links: HashSet::new(),
    }
}

/// Seeds that are played: `PARSLEYTALLY_MODEL_DAYS`, for longer runs by hand, or the default.
fn days() -> u64 {
    let set = std::env::var("PARSLEYTALLY_MODEL_DAYS").ok();
    set.and_then(|days| days.parse().ok()).unwrap_or(DAYS)
}

fn broken(seeds: std::ops::Range<u64>, planted: Planted) -> Vec<(u64, Vec<String>)> {
    let days = seeds.map(|seed| (seed, World::new(seed, planted).run()));
    days.filter(|(_, broken)| !broken.is_empty()).collect()
}

#[test]
fn no_promise_is_broken_under_seeded_faults() {
    let broken = broken(0..days(), Planted::Nothing);
    assert!(
        broken.is_empty(),
        "{} days, the first: {:?}",
        broken.len(),
        broken[0]
    );
}

#[test]
fn planted_faults_are_found() {
    for planted in [Planted::EarlyNote, Planted::NoFence, Planted::NoWait] {
        let found = broken(0..DAYS, planted);
        assert!(!found.is_empty(), "{planted:?} was not found");
    }
}
