//! Two entries, two workers with agents, one task and the store.

mod machine;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use machine::Machine;
use parsleytally::leases::{Agent, AgentConfig, Command, Input, Order, OrderKind, Output, Report};
use parsleytally::ownership::{
    Batch, Owner, OwnerConfig, OwnerInput, OwnerOutput, OwnerRecord, Ownership, SegmentId,
    TaskSpec, WriteResult,
};
use parsleytally::types::{
    Epoch, Incarnation, NodeName, Resources, RunNumber, ShardId, TaskKey, TaskName, TeamName, Time,
};

const SHARD: ShardId = ShardId(0);
/// Length of one step of time.
const UNIT: Duration = Duration::from_secs(1);
/// Just below two steps, so that waiting it out with the bound on drift takes two.
const HOLD: Duration = Duration::from_millis(1990);
/// Steps of time in one search.
const MAX_TIME: u64 = 5;
const NEED: Resources = Resources::new(600, 600, 0);
const CAPACITY: Resources = Resources::new(1000, 1000, 0);

/// A fault that the search has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Fault {
    /// Agents take orders of any epoch.
    AgentFence,
    /// The store takes journal writes of any epoch.
    StoreFence,
    /// Half the hold time is out-waited.
    ShortWait,
    /// Owners claim that their last confirmation is brand new.
    AgeIgnored,
    /// Restarted agents take confirmations older than themselves.
    OldProof,
}

/// What is searched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Scenario {
    /// Whether starts may go ahead of the journal.
    pub(crate) ahead: bool,
    /// Whether journal writes may be answered late or lost.
    pub(crate) writes: bool,
    pub(crate) budget: Budget,
    pub(crate) fault: Option<Fault>,
}

/// One step of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Action {
    Time,
    Confirm(usize),
    Tick(usize),
    Place { entry: usize, agent: usize },
    Evict(usize),
    WriteDone(usize),
    WriteReaches(usize),
    WriteAnswered(usize),
    WriteLost(usize),
    TakeOver(usize),
    RestartEntry(usize),
    Exchange { entry: usize, agent: usize },
    Deliver(Slot),
    DeliverAndKeep(Slot),
    Report { agent: usize, entry: usize },
    ReportLate { agent: usize, entry: usize },
    RestartAgent(usize),
    Finish(usize),
}

/// Place of a message under way; a newer one of its kind replaces an older one,
/// whose proof it dominates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Slot {
    pub(crate) entry: usize,
    pub(crate) agent: usize,
    pub(crate) kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Kind {
    Claim,
    Keep,
    Start,
    Stop,
    Forget,
    Report,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Body {
    Order(Order),
    Report(Report),
}

impl Body {
    fn kind(&self) -> Kind {
        let Self::Order(order) = self else {
            return Kind::Report;
        };
        match order.kind {
            OrderKind::Claim => Kind::Claim,
            OrderKind::Renew { .. } => Kind::Keep,
            OrderKind::Start { .. } => Kind::Start,
            OrderKind::Forget { .. } => Kind::Forget,
            _ => Kind::Stop,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Store {
    record: OwnerRecord,
    journal: Vec<(SegmentId, Vec<u8>)>,
    head: (Epoch, u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    owner: Option<Owner>,
    life: u64,
    write: Option<Batch>,
    answer: Option<Answer>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Answer {
    seq: u64,
    result: WriteResult,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Worker {
    agent: Agent,
    machine: Machine,
    accepted: Epoch,
}

/// How often each disturbance may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) takeovers: u8,
    pub(crate) doubles: u8,
    pub(crate) late: u8,
    pub(crate) agent_restarts: u8,
    pub(crate) entry_restarts: u8,
    pub(crate) evictions: u8,
    pub(crate) ends: u8,
}

impl Budget {
    /// One take-over and nothing else.
    pub(crate) const CALM: Self = Self {
        takeovers: 1,
        doubles: 0,
        late: 0,
        agent_restarts: 0,
        entry_restarts: 0,
        evictions: 0,
        ends: 0,
    };
}

/// State of everything.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    scenario: Scenario,
    now: u64,
    store: Store,
    entries: [Entry; 2],
    workers: [Worker; 2],
    messages: BTreeMap<Slot, Body>,
    budget: Budget,
    started: BTreeSet<RunNumber>,
    doubled: bool,
    counted: u32,
}

fn node(text: &str) -> NodeName {
    NodeName::new(text).unwrap()
}

fn agent_name(agent: usize) -> NodeName {
    node(["w0", "w1"][agent])
}

fn task() -> TaskKey {
    TaskKey {
        team: TeamName::new("demo").unwrap(),
        task: TaskName::new("count").unwrap(),
    }
}

fn time(units: u64) -> Time {
    Time::ZERO.after(UNIT * u32::try_from(units).unwrap())
}

fn agent(index: usize, life: u64, boot: Time) -> Agent {
    let config = AgentConfig {
        name: agent_name(index),
        capacity: CAPACITY,
        margin: Duration::ZERO,
    };
    Agent::new(config, Incarnation(life), boot)
}

fn worker(index: usize) -> Worker {
    let mut agent = agent(index, 1, Time::ZERO);
    agent.step(Time::ZERO, Input::Inventory(Vec::new()), &mut Vec::new());
    Worker {
        agent,
        machine: Machine::default(),
        accepted: Epoch(0),
    }
}

impl World {
    /// Entry 0 owns the shard, both agents have reported to it, the task waits.
    pub(crate) fn new(scenario: Scenario) -> Self {
        let idle = Entry {
            owner: None,
            life: 1,
            write: None,
            answer: None,
        };
        let record =
            OwnerRecord::successor(None, &node("e0"), Incarnation(1), HOLD, scenario.ahead);
        let mut world = Self {
            scenario,
            now: 1,
            store: Store {
                record,
                journal: Vec::new(),
                head: (Epoch(0), 0),
            },
            entries: [idle.clone(), idle],
            workers: [worker(0), worker(1)],
            messages: BTreeMap::new(),
            budget: scenario.budget,
            started: BTreeSet::new(),
            doubled: false,
            counted: 0,
        };
        world.begin(0);
        for agent in [0, 1] {
            world.act(&Action::Report { agent, entry: 0 });
        }
        world
    }

    /// Whether the task executes on `agent`.
    pub(crate) fn executes(&self, agent: usize) -> bool {
        self.workers[agent].machine.executing()
    }

    /// Every step that is possible now.
    pub(crate) fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.now < MAX_TIME {
            actions.push(Action::Time);
        }
        for entry in [0, 1] {
            self.entry_actions(entry, &mut actions);
        }
        for &slot in self.messages.keys() {
            actions.push(Action::Deliver(slot));
            if self.budget.doubles > 0 {
                actions.push(Action::DeliverAndKeep(slot));
            }
        }
        for agent in [0, 1] {
            for entry in [0, 1] {
                if self.entries[entry].owner.is_some() {
                    actions.push(Action::Exchange { entry, agent });
                    actions.push(Action::Report { agent, entry });
                    if self.budget.late > 0 {
                        actions.push(Action::ReportLate { agent, entry });
                    }
                }
            }
            if self.budget.agent_restarts > 0 {
                actions.push(Action::RestartAgent(agent));
            }
            if self.budget.ends > 0 && self.workers[agent].machine.executing() {
                actions.push(Action::Finish(agent));
            }
        }
        actions
    }

    fn entry_actions(&self, entry: usize, actions: &mut Vec<Action>) {
        let owns = self.store.record.owner == node(["e0", "e1"][entry]);
        let Entry {
            owner,
            write,
            answer,
            ..
        } = &self.entries[entry];
        if (owner.is_none() || !owns) && self.budget.takeovers > 0 {
            actions.push(Action::TakeOver(entry));
        }
        let Some(owner) = owner else {
            return;
        };
        actions.push(Action::Confirm(entry));
        actions.push(Action::Tick(entry));
        if owner.is_ready(time(self.now), &task()) {
            actions.extend([0, 1].map(|agent| Action::Place { entry, agent }));
        }
        let record = owner.record(&task());
        if self.budget.evictions > 0 && record.is_some_and(|r| r.assigned_agent().is_some()) {
            actions.push(Action::Evict(entry));
        }
        if write.is_some() {
            actions.push(Action::WriteDone(entry));
            if self.scenario.writes {
                actions.extend([Action::WriteReaches(entry), Action::WriteLost(entry)]);
            }
        }
        if answer.is_some() {
            actions.push(Action::WriteAnswered(entry));
        }
        if self.budget.entry_restarts > 0 {
            actions.push(Action::RestartEntry(entry));
        }
    }

    /// Takes one step; returns the promise that it broke.
    pub(crate) fn act(&mut self, action: &Action) -> Option<&'static str> {
        let mut broken = None;
        match action {
            Action::Time => self.pass(),
            Action::Confirm(entry) => self.confirm(*entry),
            Action::Tick(entry) => self.decide(*entry, OwnerInput::Tick),
            Action::Place { entry, agent } => self.place(*entry, *agent),
            Action::Evict(entry) => self.evict(*entry),
            Action::WriteDone(entry) => {
                self.write(*entry);
                self.answer(*entry);
            }
            Action::WriteReaches(entry) => self.write(*entry),
            Action::WriteAnswered(entry) => self.answer(*entry),
            Action::WriteLost(entry) => self.lose_write(*entry),
            Action::TakeOver(entry) => self.take_over(*entry),
            Action::RestartEntry(entry) => self.restart_entry(*entry),
            Action::Exchange { entry, agent } => broken = self.exchange(*entry, *agent),
            Action::Deliver(slot) => broken = self.deliver(*slot),
            Action::DeliverAndKeep(slot) => {
                self.budget.doubles -= 1;
                let body = self.messages.get(slot).cloned();
                broken = self.deliver(*slot);
                if let Some(body) = body {
                    self.messages.entry(*slot).or_insert(body);
                }
            }
            Action::Report { agent, entry } => self.report(*agent, *entry, false),
            Action::ReportLate { agent, entry } => self.report(*agent, *entry, true),
            Action::RestartAgent(agent) => self.restart_agent(*agent),
            Action::Finish(agent) => {
                self.budget.ends -= 1;
                self.workers[*agent].machine.finish();
            }
        }
        broken.or_else(|| self.broken())
    }

    fn broken(&self) -> Option<&'static str> {
        let executing = |worker: &&Worker| worker.machine.executing();
        let places = self.workers.iter().filter(executing).count();
        if places > 1 {
            return Some("the task runs in two places");
        }
        if self.doubled {
            return Some("a run was started twice");
        }
        if self.counted > 1 {
            return Some("completion was counted twice");
        }
        if self.counted == 1 && places > 0 {
            return Some("the task runs after its completion was counted");
        }
        let fits = |worker: &Worker| worker.machine.used().is_some_and(|u| u.fits(&CAPACITY));
        if !self.workers.iter().all(fits) {
            return Some("a worker is given more than it has");
        }
        None
    }

    fn pass(&mut self) {
        self.now += 1;
        for worker in &mut self.workers {
            worker.machine.enforce(time(self.now));
        }
    }

    fn decide(&mut self, entry: usize, input: OwnerInput) {
        let now = time(self.now);
        let mut out = Vec::new();
        let Some(owner) = &mut self.entries[entry].owner else {
            return;
        };
        owner.step(now, input, &mut out);
        for output in out {
            match output {
                OwnerOutput::Order { agent, order } => {
                    let agent = usize::from(agent == agent_name(1));
                    self.send(entry, agent, Body::Order(order));
                }
                OwnerOutput::Write(batch) => self.entries[entry].write = Some(batch),
                OwnerOutput::Completed { .. } => self.counted += 1,
                OwnerOutput::Superseded => self.entries[entry].owner = None,
                _ => {}
            }
        }
    }

    fn send(&mut self, entry: usize, agent: usize, body: Body) {
        let kind = body.kind();
        self.messages.insert(Slot { entry, agent, kind }, body);
    }

    /// Reports and orders go to and fro at once until nothing is left to say.
    fn exchange(&mut self, entry: usize, agent: usize) -> Option<&'static str> {
        for _ in 0..3 {
            self.report(agent, entry, false);
            let orders = self.messages.keys().copied();
            let orders = orders.filter(|s| (s.entry, s.agent) == (entry, agent));
            let orders: Vec<_> = orders.filter(|s| s.kind != Kind::Report).collect();
            if orders.is_empty() {
                break;
            }
            for slot in orders {
                let broken = self.deliver(slot).or_else(|| self.broken());
                if broken.is_some() {
                    return broken;
                }
            }
        }
        None
    }

    fn confirm(&mut self, entry: usize) {
        let owner = self.entries[entry]
            .owner
            .as_ref()
            .expect("offered to owners");
        let current = owner.ownership().epoch == self.store.record.epoch;
        let asked = time(self.now);
        match current {
            true => self.decide(entry, OwnerInput::Confirmed { sent_at: asked }),
            false => self.decide(entry, OwnerInput::Superseded),
        }
    }

    fn place(&mut self, entry: usize, agent: usize) {
        let owner = self.entries[entry]
            .owner
            .as_ref()
            .expect("offered to owners");
        let expect = owner.record(&task()).expect("the task is accepted").run;
        let input = OwnerInput::Place {
            task: task(),
            expected_run: expect,
            agent: agent_name(agent),
            spec: TaskSpec {
                need: NEED,
                command: Arc::from(""),
                run_time: Duration::ZERO,
            },
        };
        self.decide(entry, input);
    }

    fn evict(&mut self, entry: usize) {
        let owner = self.entries[entry]
            .owner
            .as_ref()
            .expect("offered to owners");
        let run = owner.record(&task()).expect("the task is accepted").run;
        self.budget.evictions -= 1;
        let task = task();
        self.decide(entry, OwnerInput::Evict { task, run });
    }

    /// The store carries out the journal write that `entry` has sent.
    fn write(&mut self, entry: usize) {
        let owner = self.entries[entry].owner.as_ref();
        let Some((batch, owner)) = self.entries[entry].write.take().zip(owner) else {
            return;
        };
        let epoch = owner.ownership().epoch;
        let open = self.scenario.fault == Some(Fault::StoreFence);
        let fenced = epoch != self.store.record.epoch && !open;
        let seq = batch.seq;
        let result = if fenced {
            WriteResult::Fenced
        } else {
            if self.store.head != (epoch, seq) {
                self.store.head = (epoch, seq);
                for (id, bytes) in batch.segments {
                    self.store.journal.retain(|(old, _)| *old != id);
                    self.store.journal.push((id, bytes));
                }
            }
            let asked = time(self.now);
            WriteResult::Accepted { sent_at: asked }
        };
        // A write that a lower epoch was allowed confirms nothing.
        let result = match result {
            WriteResult::Accepted { .. } if epoch != self.store.record.epoch => {
                WriteResult::Accepted {
                    sent_at: Time::ZERO,
                }
            }
            other => other,
        };
        self.entries[entry].answer = Some(Answer { seq, result });
    }

    fn answer(&mut self, entry: usize) {
        if let Some(Answer { seq, result }) = self.entries[entry].answer.take() {
            self.decide(entry, OwnerInput::Written { seq, result });
        }
    }

    fn lose_write(&mut self, entry: usize) {
        if let Some(batch) = self.entries[entry].write.take() {
            let seq = batch.seq;
            let result = WriteResult::Unknown;
            self.decide(entry, OwnerInput::Written { seq, result });
        }
    }

    fn take_over(&mut self, entry: usize) {
        self.budget.takeovers -= 1;
        let name = node(["e0", "e1"][entry]);
        let life = Incarnation(self.entries[entry].life);
        let old = &self.store.record;
        self.store.record =
            OwnerRecord::successor(Some(old), &name, life, HOLD, self.scenario.ahead);
        self.begin(entry);
    }

    /// Starts the owner of the current epoch at `entry`.
    fn begin(&mut self, entry: usize) {
        let now = time(self.now);
        let mut record = self.store.record.clone();
        if self.scenario.fault == Some(Fault::ShortWait) {
            record.longest_hold = HOLD / 2;
        }
        let term = Ownership::new(SHARD, &record, now);
        let config = OwnerConfig {
            flush_interval: Duration::ZERO,
            max_faults: 3,
        };
        let owner = Owner::new(config, term, now, &self.store.journal);
        let state = &mut self.entries[entry];
        state.owner = Some(owner.expect("the journal is whole"));
        state.write = None;
        state.answer = None;
        self.decide(entry, OwnerInput::Confirmed { sent_at: now });
        self.decide(entry, OwnerInput::Add { task: task() });
    }

    fn restart_entry(&mut self, entry: usize) {
        self.budget.entry_restarts -= 1;
        let state = &mut self.entries[entry];
        state.owner = None;
        state.write = None;
        state.answer = None;
        state.life += 1;
    }

    fn deliver(&mut self, slot: Slot) -> Option<&'static str> {
        match self.messages.remove(&slot)? {
            Body::Report(report) => {
                self.decide(slot.entry, OwnerInput::Report(report));
                None
            }
            Body::Order(order) => self.obey(slot.agent, &order),
        }
    }

    fn obey(&mut self, agent: usize, order: &Order) -> Option<&'static str> {
        let mut heard = order.clone();
        let worker = &mut self.workers[agent];
        if self.scenario.fault == Some(Fault::AgentFence) {
            heard.epoch = heard.epoch.max(worker.agent.highest_epoch(SHARD));
        }
        let ageless = self.scenario.fault == Some(Fault::AgeIgnored);
        if let OrderKind::Start { proof, .. } | OrderKind::Renew { proof, .. } = &mut heard.kind
            && ageless
        {
            proof.confirmation_age = Duration::ZERO;
        }
        let lower = order.epoch < worker.accepted;
        worker.accepted = worker.accepted.max(order.epoch);
        let commands = self.work(agent, Input::Order(heard), None);
        if lower && commands > 0 {
            return Some("an agent acted on a lower epoch than it had accepted");
        }
        None
    }

    /// Steps an agent until its worker has no news for it; counts the commands that
    /// let a run go on.
    fn work(&mut self, agent: usize, input: Input, to: Option<(usize, bool)>) -> usize {
        let now = time(self.now);
        let mut inputs = self.workers[agent].machine.news();
        inputs.push(input);
        let mut commands = 0;
        let mut index = 0;
        let mut reports = Vec::new();
        while index < inputs.len() {
            let worker = &mut self.workers[agent];
            let mut out = Vec::new();
            worker.agent.step(now, inputs[index].clone(), &mut out);
            index += 1;
            for output in out {
                match output {
                    Output::Worker(command) => {
                        commands += usize::from(lets_run(&command));
                        let started = worker.machine.obey(now, command);
                        let fresh = started.is_none_or(|run| self.started.insert(run));
                        self.doubled |= !fresh;
                        inputs.extend(worker.machine.news());
                    }
                    Output::Report(report) => reports.push(report),
                    Output::Ignored(_) | Output::Exit => {}
                }
            }
        }
        if let Some(((entry, late), report)) = to.zip(reports.pop()) {
            if late {
                self.send(entry, agent, Body::Report(report));
            } else {
                self.decide(entry, OwnerInput::Report(report));
            }
        }
        commands
    }

    fn report(&mut self, agent: usize, entry: usize, late: bool) {
        let now = time(self.now);
        let life = self.workers[agent].agent.incarnation();
        if late {
            self.budget.late -= 1;
        } else {
            let agent = agent_name(agent);
            let sent = now;
            self.decide(
                entry,
                OwnerInput::Heartbeat {
                    agent,
                    incarnation: life,
                    sent,
                },
            );
        }
        self.work(agent, Input::Tick, Some((entry, late)));
    }

    fn restart_agent(&mut self, index: usize) {
        self.budget.agent_restarts -= 1;
        let trusting = self.scenario.fault == Some(Fault::OldProof);
        let boot = if trusting { Time::ZERO } else { time(self.now) };
        let worker = &mut self.workers[index];
        let life = worker.agent.incarnation().next();
        worker.agent = agent(index, life.0, boot);
        worker.accepted = Epoch(0);
        let found = worker.machine.inventory(SHARD);
        self.work(index, Input::Inventory(found), None);
    }
}

fn lets_run(command: &Command) -> bool {
    matches!(command, Command::Start { .. } | Command::Extend { .. })
}
