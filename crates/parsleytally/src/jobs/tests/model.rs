//! Simulation of owners, agents, workers and a store with seeded faults, in simulated
//! time. It checks invariants on the actions of the workers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::worker::{SimulatedWorker, WorkerEvent};
use super::*;
use crate::types::{Revision, Time};

/// Number of seeds that the tests simulate.
const SEEDS: u64 = 300;
const WORKERS: usize = 4;
/// Share of polls whose answer is lost.
const LOST_POLLS: f64 = 0.02;
const JOBS: u64 = 14;
/// Time in which jobs are submitted and faults start.
const FAULT_PERIOD: Duration = Duration::from_secs(25);
/// Simulated time by which all jobs must have ended.
const END: Duration = Duration::from_secs(80);
const LEASE: Duration = Duration::from_secs(4);
const AGENT_HOLD: Duration = Duration::from_secs(5);
const OWNER_HOLD: Duration = Duration::from_secs(8);

/// Bug injected into the system, which the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedBug {
    Nothing,
    /// Ended runs are acknowledged before the store has saved them.
    EarlyAcknowledgement,
    /// Polls don't raise the fencing token of the worker.
    NoFencing,
    /// A new owner doesn't wait for agents that have not reported.
    NoWait,
}

#[derive(Debug)]
enum Event {
    Tick,
    /// A call of an agent (index and incarnation) reaches its worker.
    Call(usize, u64, AgentOutput),
    /// The answer of a worker reaches its agent (index and incarnation).
    Answer(usize, u64, AgentInput),
    /// A message reaches an agent.
    ToAgent(usize, Link, OrderMessage),
    /// A message reaches an owner.
    ToOwner(usize, Link, AgentMessage),
    /// Both ends detect the loss of a link.
    LinkLost(Link),
    /// An owner tries to connect to an agent.
    Dial(usize, usize),
    /// A record of an owner reaches the store.
    Save(usize, JobId, u64, JobProgress),
    Fault,
    Submit(u64),
    Cancel(u64),
    NewOwner,
    WorkerUp(usize),
    AgentUp(usize),
    Heal,
}

/// A link from an owner to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Link {
    owner: usize,
    agent: usize,
    number: u64,
}

/// An event with its time and sequence number, which order the queue.
struct ScheduledEvent(Time, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct SimulatedAgent {
    state: JobAgent,
    /// Incarnation of the process.
    incarnation: u64,
    up: bool,
    links: HashSet<Link>,
}

struct SimulatedOwner {
    scheduler: Scheduler,
    epoch: u64,
    up: bool,
    /// When the store last confirmed the ownership.
    confirmed: Time,
    reaches_store: bool,
    links: HashMap<usize, Link>,
}

/// A job in the store.
struct StoredJob {
    record: JobRecord,
    accepted: Revision,
    progress: Option<JobProgress>,
    /// Epoch and version of the stored progress.
    version: (u64, u64),
}

struct Simulation {
    bug: InjectedBug,
    rng: SmallRng,
    now: Time,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    workers: Vec<SimulatedWorker>,
    agents: Vec<SimulatedAgent>,
    owners: Vec<SimulatedOwner>,
    jobs: BTreeMap<JobId, StoredJob>,
    revision: u64,
    links: u64,
    /// Pairs of owner and agent that can't reach each other.
    partitions: HashSet<(usize, usize)>,
    /// Links that lost a message and so deliver no further ones.
    broken_links: HashSet<Link>,
    store_down: bool,
    late_orders: bool,
    /// Tasks with a completed run.
    done: HashSet<TaskId>,
    /// Tasks whose completed run was acknowledged to its worker.
    acknowledged: HashSet<TaskId>,
    violations: Vec<String>,
}

impl Simulation {
    fn new(seed: u64, bug: InjectedBug) -> Self {
        let now = Time::from_secs(1);
        let mut simulation = Self {
            bug,
            rng: SmallRng::seed_from_u64(seed),
            now,
            queue: BinaryHeap::new(),
            sequence: 0,
            workers: (0..WORKERS).map(|_| SimulatedWorker::new(now, 1)).collect(),
            agents: (0..WORKERS).map(|_| agent(1, now)).collect(),
            owners: Vec::new(),
            jobs: BTreeMap::new(),
            revision: 10,
            links: 0,
            partitions: HashSet::new(),
            broken_links: HashSet::new(),
            store_down: false,
            late_orders: false,
            done: HashSet::new(),
            acknowledged: HashSet::new(),
            violations: Vec::new(),
        };
        for at in 0..WORKERS {
            simulation.step_agent(at, reported(report(at, 1)));
        }
        simulation.push(0, Event::NewOwner);
        simulation.push(50, Event::Tick);
        for id in 1..=JOBS {
            let at = simulation
                .rng
                .random_range(100..FAULT_PERIOD.as_millis() as u64);
            simulation.push(at, Event::Submit(id));
            if simulation.rng.random_bool(0.15) {
                simulation.push(at + 500, Event::Cancel(id));
            }
        }
        for _ in 0..7 {
            let at = simulation
                .rng
                .random_range(500..FAULT_PERIOD.as_millis() as u64);
            simulation.push(at, Event::Fault);
        }
        simulation.push(FAULT_PERIOD.as_millis() as u64 + 100, Event::Heal);
        simulation
    }

    fn push(&mut self, millis: u64, event: Event) {
        let at = self.now.after(Duration::from_millis(millis));
        self.sequence += 1;
        self.queue
            .push(Reverse(ScheduledEvent(at, self.sequence, event)));
    }

    fn run(mut self) -> Vec<String> {
        let end = self.now.after(END);
        while let Some(Reverse(ScheduledEvent(at, _, event))) = self.queue.pop() {
            if at > end || !self.violations.is_empty() {
                break;
            }
            self.now = at;
            self.advance_workers();
            self.handle(event);
        }
        if self.violations.is_empty() {
            self.check_end();
        }
        self.violations
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Call(at, incarnation, call) => self.call(at, incarnation, &call),
            Event::Answer(at, incarnation, input) => {
                if self.agents[at].up && self.agents[at].incarnation == incarnation {
                    self.step_agent(at, input);
                }
            }
            Event::ToAgent(at, link, message) => {
                if self.agents[at].links.contains(&link) {
                    let owner = OwnerLink(link.number);
                    self.step_agent(at, AgentInput::OwnerMessage(owner, message));
                }
            }
            Event::ToOwner(owner, link, message) => self.receive_at_owner(owner, link, message),
            Event::LinkLost(link) => self.link_lost(link),
            Event::Dial(owner, at) => self.dial(owner, at),
            Event::Save(owner, job, version, progress) => self.save(owner, job, version, progress),
            Event::Fault => self.fault(),
            Event::Submit(id) => self.submit(id),
            Event::Cancel(id) => self.cancel(id),
            Event::NewOwner => self.new_owner(),
            Event::WorkerUp(at) => {
                let born = self.workers[at].born + 1;
                self.workers[at] = SimulatedWorker::new(self.now, born);
                if self.agents[at].up {
                    self.step_agent(at, reported(report(at, born)));
                }
            }
            Event::AgentUp(at) => {
                for link in self.agents[at].links.clone() {
                    self.link_lost(link);
                }
                let incarnation = self.agents[at].incarnation + 1;
                self.agents[at] = agent(incarnation, self.now);
                let born = self.workers[at].born;
                self.step_agent(at, reported(report(at, born)));
            }
            Event::Heal => {
                self.partitions.clear();
                self.store_down = false;
                self.late_orders = false;
            }
        }
    }

    fn advance_workers(&mut self) {
        for at in 0..WORKERS {
            let events = {
                let worker = &mut self.workers[at];
                if worker.up {
                    worker.advance(self.now)
                } else {
                    Vec::new()
                }
            };
            self.check_events(at, events);
        }
    }

    /// Checks the actions of a worker.
    fn check_events(&mut self, at: usize, events: Vec<WorkerEvent>) {
        for event in events {
            match event {
                WorkerEvent::Started(run) => self.check_start(at, run),
                WorkerEvent::Ended(run, EndReason::Done) => {
                    self.done.insert(run.task);
                }
                WorkerEvent::Ended(..) => {}
                WorkerEvent::Acknowledged(ended) => {
                    let done = ended.iter().filter(|end| end.reason == EndReason::Done);
                    self.acknowledged.extend(done.map(|end| end.run.task));
                }
            }
        }
    }

    fn check_start(&mut self, at: usize, run: RunRef) {
        let mut violations = Vec::new();
        let other_workers = self.workers.iter().enumerate();
        let mut other_workers = other_workers.filter(|(other, _)| *other != at);
        let runs_elsewhere =
            other_workers.any(|(_, worker)| worker.runs().any(|other| other.task == run.task));
        if runs_elsewhere {
            violations.push("runs twice");
        }
        if self.workers[at]
            .runs()
            .filter(|other| other.task == run.task)
            .count()
            > 1
        {
            violations.push("runs twice on one worker");
        }
        if self.acknowledged.contains(&run.task) {
            violations.push("starts after its end was acknowledged");
        }
        if self.workers[at].runs().count() > 4 {
            violations.push("exceeds the capacity of its worker");
        }
        let first_step_count = self.jobs[&run.task.job].record.spec.steps[0].count;
        let first = |index| TaskId {
            step: 0,
            index,
            ..run.task
        };
        if run.task.step == 1
            && !(0..first_step_count).all(|index| self.done.contains(&first(index)))
        {
            violations.push("starts before the previous step is done");
        }
        for what in violations {
            self.violations
                .push(format!("{}: {} {what} on worker {at}", self.now, run.task));
        }
    }

    fn check_end(&mut self) {
        for (id, stored) in &self.jobs {
            let state = stored.progress.as_ref().map(|progress| progress.state);
            let ended = stored.record.cancelled || state.is_some_and(JobState::is_final);
            if !ended {
                self.violations
                    .push(format!("job {id} has not ended: {state:?}"));
            }
        }
    }

    fn tick(&mut self) {
        for at in 0..WORKERS {
            if self.agents[at].up {
                self.step_agent(at, AgentInput::Tick);
                let sent = self.now.as_micros();
                self.send_to_owner(at, AgentMessage::Ping { sent });
            }
        }
        for owner in 0..self.owners.len() {
            if self.owners[owner].up {
                if self.owners[owner].reaches_store && !self.store_down && self.is_current(owner) {
                    self.owners[owner].confirmed = self.now;
                }
                let confirmed = self.owners[owner].confirmed;
                self.step_owner(owner, Input::Confirmed(confirmed));
                self.step_owner(owner, Input::Tick);
            }
        }
        self.push(50, Event::Tick);
    }

    fn is_current(&self, owner: usize) -> bool {
        self.owners[owner].epoch + 1 == self.owners.len() as u64
    }

    fn step_agent(&mut self, at: usize, input: AgentInput) {
        let mut out = Vec::new();
        self.agents[at].state.step(self.now, input, &mut out);
        let incarnation = self.agents[at].incarnation;
        for output in out {
            match output {
                AgentOutput::Send(message) => self.send_to_owner(at, message),
                AgentOutput::Supersede(number) => {
                    let links = self.agents[at].links.iter();
                    let closed = links.copied().find(|link| link.number == number.0);
                    if let Some(link) = closed {
                        self.link_lost(link);
                    }
                }
                call => {
                    let late = matches!(call, AgentOutput::Start(_)) && self.late_orders;
                    if late && self.rng.random_bool(0.3) {
                        self.delay_start(at, incarnation, call);
                    } else {
                        self.push(0, Event::Call(at, incarnation, call));
                    }
                }
            }
        }
    }

    /// Delays a start call by seconds and lets it time out at the agent.
    fn delay_start(&mut self, at: usize, incarnation: u64, call: AgentOutput) {
        if let AgentOutput::Start(start) = &call {
            let input = AgentInput::StartAnswered {
                run: start.order.run,
                fencing_token: start.fencing_token,
                answer: Err(CallError::Unanswered),
            };
            self.push(400, Event::Answer(at, incarnation, input));
        }
        let delay = self.rng.random_range(500..6_000);
        // No incarnation of the agent matches, so the late answer is dropped.
        self.push(delay, Event::Call(at, u64::MAX, call));
    }

    fn call(&mut self, at: usize, incarnation: u64, call: &AgentOutput) {
        let mut events = Vec::new();
        let fenced = self.bug != InjectedBug::NoFencing;
        let worker = &mut self.workers[at];
        let (delay, input) = match call {
            AgentOutput::Start(call) => {
                let answer = if worker.up {
                    worker.start(self.now, call, &mut events)
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
                let lost = self.rng.random_bool(LOST_POLLS);
                let answer = if worker.up {
                    let listing = worker.poll(self.now, *call, fenced, &mut events);
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
        self.check_events(at, events);
        self.push(delay, Event::Answer(at, incarnation, input));
    }

    fn send_to_owner(&mut self, at: usize, message: AgentMessage) {
        let links: Vec<Link> = self.agents[at].links.iter().copied().collect();
        // The newest owner has the highest fencing token, so the agent follows it.
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

    fn receive_at_owner(&mut self, owner: usize, link: Link, message: AgentMessage) {
        let current = self.owners[owner].links.get(&link.agent) == Some(&link);
        if !self.owners[owner].up || !current {
            return;
        }
        if let AgentMessage::Ping { sent } = message {
            let confirmation_age = self.now.since(self.owners[owner].confirmed);
            let confirmation_age = confirmation_age.as_micros() as u64;
            self.send_to_agent(
                link,
                OrderMessage::Pong {
                    sent,
                    confirmation_age,
                },
            );
            return;
        }
        self.step_owner(owner, Input::Agent(node(link.agent), message));
    }

    /// Whether a message on `link` arrives; a lost message breaks the link.
    fn delivers(&mut self, link: Link) -> bool {
        if self.partitions.contains(&(link.owner, link.agent)) && self.broken_links.insert(link) {
            self.push(2_000, Event::LinkLost(link));
        }
        !self.broken_links.contains(&link)
    }

    fn send_to_agent(&mut self, link: Link, message: OrderMessage) {
        if self.delivers(link) {
            self.push(1, Event::ToAgent(link.agent, link, message));
        }
    }

    fn step_owner(&mut self, owner: usize, input: Input) {
        let mut out = Vec::new();
        let unix_ms = self.now.as_micros() / 1_000;
        let scheduler = &mut self.owners[owner].scheduler;
        scheduler.step(self.now, unix_ms, input, &mut out);
        scheduler.decide(self.now, unix_ms, &mut out);
        for output in out {
            match output {
                Output::Order(name, message) => {
                    let at = (0..WORKERS).find(|at| node(*at) == name).expect("a worker");
                    if let Some(link) = self.owners[owner].links.get(&at).copied() {
                        self.send_to_agent(link, message);
                    }
                }
                Output::Forget(_)
                | Output::SaveLearned(_)
                | Output::RunsDropped { .. }
                | Output::Reconciled(..) => {}
                Output::Save {
                    job,
                    version,
                    progress,
                } => {
                    if self.bug == InjectedBug::EarlyAcknowledgement {
                        self.push(1, Event::Save(usize::MAX, job, version, progress.clone()));
                        self.step_owner(owner, Input::Saved { job, version });
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
        // The store's compare condition refuses a late write of an older record.
        let newer = (self.owners[owner].epoch, version);
        if newer > stored.version {
            stored.progress = Some(progress);
            stored.version = newer;
        }
        self.owners[owner].confirmed = self.now;
        self.step_owner(owner, Input::Saved { job, version });
    }

    fn submit(&mut self, id: u64) {
        if self.store_down {
            self.push(300, Event::Submit(id));
            return;
        }
        self.revision += 1;
        let accepted = Revision(self.revision);
        let record = job(vec![step(3, &[]), step(2, &[0])]);
        let stored = StoredJob {
            record: record.clone(),
            accepted,
            progress: None,
            version: (0, 0),
        };
        self.jobs.insert(JobId(id), stored);
        self.publish_job(JobId(id));
    }

    fn cancel(&mut self, id: u64) {
        if let Some(stored) = self.jobs.get_mut(&JobId(id))
            && !self.store_down
        {
            stored.record.cancelled = true;
            self.publish_job(JobId(id));
        }
    }

    fn publish_job(&mut self, id: JobId) {
        for owner in 0..self.owners.len() {
            let can_read = self.owners[owner].reaches_store && self.is_current(owner);
            if self.owners[owner].up && can_read {
                let input = self.job_input(id);
                self.step_owner(owner, input);
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
            self.push(200, Event::NewOwner);
            return;
        }
        self.revision += 1;
        let epoch = self.owners.len() as u64;
        let start = SchedulerOptions {
            epoch,
            start_revision: Revision(self.revision),
            agent_hold: AGENT_HOLD + AGENT_HOLD / 20,
            owner_hold: OWNER_HOLD + OWNER_HOLD / 20,
            ended_retention: Duration::from_secs(600),
        };
        let owner = self.owners.len();
        self.owners.push(SimulatedOwner {
            scheduler: Scheduler::new(start),
            epoch,
            up: true,
            confirmed: self.now,
            reaches_store: true,
            links: HashMap::new(),
        });
        self.step_owner(owner, Input::Queues(Arc::new(queues(1))));
        for at in 0..WORKERS {
            if epoch > 0 && self.bug != InjectedBug::NoWait {
                self.step_owner(owner, Input::Expected(node(at)));
            }
            self.push(5, Event::Dial(owner, at));
        }
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            let input = self.job_input(id);
            self.step_owner(owner, input);
        }
    }

    fn dial(&mut self, owner: usize, at: usize) {
        if !self.owners[owner].up || self.owners[owner].links.contains_key(&at) {
            return;
        }
        if !self.agents[at].up || self.partitions.contains(&(owner, at)) {
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
        let fencing_token = (self.owners[owner].epoch + 1) << 32 | number << 12;
        self.send_to_agent(link, OrderMessage::Begin { fencing_token });
        self.step_owner(owner, Input::Linked(node(at)));
    }

    fn link_lost(&mut self, link: Link) {
        if self.agents[link.agent].links.remove(&link) && self.agents[link.agent].up {
            self.step_agent(link.agent, AgentInput::OwnerLost(OwnerLink(link.number)));
        }
        let owner = &mut self.owners[link.owner];
        if owner.links.get(&link.agent) == Some(&link) {
            owner.links.remove(&link.agent);
            if owner.up {
                self.step_owner(link.owner, Input::Unlinked(node(link.agent)));
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
                    self.link_lost(link);
                }
                self.push(span, Event::AgentUp(at));
            }
            3 => self.partition(at, span),
            4 => {
                self.store_down = true;
                self.push(span.min(5_000), Event::Heal);
            }
            5 => {
                self.late_orders = true;
                self.push(span, Event::Heal);
            }
            _ => {
                // The owner loses the store but stays up, and a successor takes over.
                let owner = self.owners.len() - 1;
                self.owners[owner].reaches_store = false;
                self.push(1_500, Event::NewOwner);
            }
        }
    }

    fn kill_owner(&mut self) {
        let owner = self.owners.len() - 1;
        self.owners[owner].up = false;
        let links: Vec<Link> = self.owners[owner].links.values().copied().collect();
        for link in links {
            self.push(1, Event::LinkLost(link));
        }
        self.push(1_500, Event::NewOwner);
    }

    /// Partitions an agent from the newest owner; earlier owners may still reach it.
    fn partition(&mut self, at: usize, span: u64) {
        let owner = self.owners.len() - 1;
        self.partitions.insert((owner, at));
        if let Some(link) = self.owners[owner].links.get(&at).copied() {
            self.push(2_000, Event::LinkLost(link));
        }
        // The successor can't reach the agent either.
        self.partitions.insert((owner + 1, at));
        self.push(span, Event::Heal);
    }
}

fn agent(incarnation: u64, started_at: Time) -> SimulatedAgent {
    SimulatedAgent {
        state: JobAgent::new(
            AgentTimes {
                lease: LEASE,
                agent_hold: AGENT_HOLD,
                owner_hold: OWNER_HOLD,
            },
            started_at,
        ),
        incarnation,
        up: true,
        links: HashSet::new(),
    }
}

/// Number of seeds: `PARSLEYTALLY_MODEL_DAYS`, for longer manual runs, or the default.
fn seed_count() -> u64 {
    let value = std::env::var("PARSLEYTALLY_MODEL_DAYS").ok();
    value.and_then(|count| count.parse().ok()).unwrap_or(SEEDS)
}

/// Runs a simulation for each seed; returns the seeds with violated invariants.
fn failing_seeds(seeds: std::ops::Range<u64>, bug: InjectedBug) -> Vec<(u64, Vec<String>)> {
    let results = seeds.map(|seed| (seed, Simulation::new(seed, bug).run()));
    results
        .filter(|(_, violations)| !violations.is_empty())
        .collect()
}

#[test]
fn invariants_hold_under_seeded_faults() {
    let failing = failing_seeds(0..seed_count(), InjectedBug::Nothing);
    assert!(
        failing.is_empty(),
        "{} failing seeds, the first: {:?}",
        failing.len(),
        failing[0]
    );
}

#[test]
fn injected_bugs_are_detected() {
    for bug in [
        InjectedBug::EarlyAcknowledgement,
        InjectedBug::NoFencing,
        InjectedBug::NoWait,
    ] {
        let failing = failing_seeds(0..SEEDS, bug);
        assert!(!failing.is_empty(), "{bug:?} was not detected");
    }
}
