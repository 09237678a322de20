//! The scheduler's thread.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use parsleytally::configs::{BatchConfig, OwnershipConfig, QuotaConfig};
use parsleytally::leases::{Order, TaskRecord};
use parsleytally::ownership::{
    Batch, ElectorConfig, ElectorInput, ElectorOutput, LivenessTracker, Owner, OwnerConfig,
    OwnerInput, OwnerOutput, ShardElector, SwapResult, TaskSpec, shard_of,
};
use parsleytally::types::{
    Incarnation, NodeName, Resources, Revision, ShardId, TaskKey, TeamName, Time,
};
use parsleytally_link::{Frame, Link};
use parsleytally_platform::process::Clock;

use super::placer::{Choice, Placer};
use super::store::{Answer, Calls, JournalWrite, Loaded, Owners};
use super::{Input, Parts, RELEASE_LIMIT, TaskView, view};
use crate::metrics::Metrics;

/// Time between two ticks of the machines.
const TICK: Duration = Duration::from_millis(100);
/// Swaps and releases in flight.
const MOVES: usize = 16;

/// Why a task waits while the store is silent.
const NOT_CONFIRMED: &str = "the store has not confirmed this entry lately";

/// An owner with what its journal writes compare.
struct Shard {
    owner: Owner,
    record: Revision,
    head: Option<Revision>,
    draining: bool,
}

struct Worker {
    link: Link,
    beat: Option<(Incarnation, Time)>,
}

pub(super) struct Duty {
    node: NodeName,
    config: OwnershipConfig,
    clock: Clock,
    calls: Calls,
    holder: ShardElector,
    presence: LivenessTracker,
    count: u64,
    shards: BTreeMap<ShardId, Shard>,
    /// When the store last confirmed a shard, also before its journal was read.
    confirmed: BTreeMap<ShardId, Time>,
    tasks: BTreeMap<TaskKey, BatchConfig>,
    ready: BTreeSet<TaskKey>,
    reasons: BTreeMap<TaskKey, String>,
    workers: BTreeMap<NodeName, Worker>,
    placer: Box<dyn Placer>,
    metrics: Metrics,
    /// Whether a task that is not declared is known to be deleted.
    complete: bool,
    closing: Option<Time>,
}

impl Duty {
    pub(super) fn new(parts: Parts, calls: Calls, placer: Box<dyn Placer>) -> Self {
        let config = parts.config;
        let holder = ShardElector::new(ElectorConfig {
            node: parts.node.clone(),
            incarnation: parts.life,
            hold: config.hold,
            unjournaled_starts: config.ahead,
            read_interval: config.interval,
            max_moves: MOVES,
        });
        Self {
            node: parts.node,
            presence: LivenessTracker::new(config.grace),
            config,
            clock: Clock::start(),
            calls,
            holder,
            count: 0,
            shards: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            tasks: BTreeMap::new(),
            ready: BTreeSet::new(),
            reasons: BTreeMap::new(),
            workers: BTreeMap::new(),
            placer,
            metrics: parts.metrics,
            complete: false,
            closing: None,
        }
    }

    /// Runs until every shard is given up after [`Input::Close`].
    pub(super) fn run(&mut self, inputs: &Receiver<Input>) {
        let mut ticked = None;
        loop {
            match inputs.recv_timeout(TICK) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            if ticked.is_none_or(|last| now.since(last) >= TICK) {
                ticked = Some(now);
                self.tick();
            }
            let late = |since| now.since(since) >= RELEASE_LIMIT;
            if self
                .closing
                .is_some_and(|since| self.is_released() || late(since))
            {
                return;
            }
        }
    }

    fn is_released(&self) -> bool {
        self.holder.owned().next().is_none()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Declared(key, config) => self.declare(key, config),
            Input::Deleted(key) => self.delete(key),
            Input::Quota(team, quota) => self.quota(team, quota),
            Input::Complete => {
                self.complete = true;
                let shards: Vec<_> = self.shards.keys().copied().collect();
                shards
                    .into_iter()
                    .for_each(|shard| self.remove_undeclared(shard));
            }
            Input::Up(link, capacity) => self.up(link, capacity),
            Input::Down(worker) => self.down(&worker),
            Input::Report(report) => {
                let shard = report.shard;
                self.owner(shard, OwnerInput::Report(report));
            }
            Input::Beat(worker, beat) => self.beat(&worker, beat.incarnation, beat.sent),
            Input::Store(answer) => self.answer(answer),
            Input::List(team, reply) => {
                let _ = reply.send(self.list(&team));
            }
            Input::Close => {
                self.closing = Some(self.clock.now());
                self.hold(ElectorInput::Close);
            }
        }
    }

    fn tick(&mut self) {
        self.hold(ElectorInput::Tick);
        let shards: Vec<_> = self.shards.keys().copied().collect();
        for shard in shards {
            self.owner(shard, OwnerInput::Tick);
            self.drain(shard);
        }
        self.place();
        let shards = i64::try_from(self.shards.len()).unwrap_or(i64::MAX);
        self.metrics.shards.set(shards);
    }

    fn declare(&mut self, key: TaskKey, config: BatchConfig) {
        let shard = shard_of(&key.team);
        if self.tasks.insert(key.clone(), config).is_none() {
            self.count("declared");
        }
        self.owner(shard, OwnerInput::Add { task: key });
        self.place();
    }

    fn quota(&mut self, team: TeamName, quota: QuotaConfig) {
        self.placer.quota(self.clock.now(), team, quota);
    }

    fn delete(&mut self, key: TaskKey) {
        if self.tasks.remove(&key).is_none() {
            return;
        }
        self.count("deleted");
        self.ready.remove(&key);
        self.reasons.remove(&key);
        self.placer.drops(self.clock.now(), &key);
        let shard = shard_of(&key.team);
        self.owner(shard, OwnerInput::Remove { task: key });
    }

    fn up(&mut self, link: Link, capacity: Resources) {
        let name = link.peer().node.clone();
        let zone = link.peer().zone.clone();
        self.placer.up(self.clock.now(), &name, &zone, capacity);
        let beat = self.workers.get(&name).and_then(|worker| worker.beat);
        self.workers.insert(name, Worker { link, beat });
    }

    fn down(&mut self, name: &NodeName) {
        // A link that has replaced the closed one stays.
        let closed = |worker: &Worker| worker.link.is_closed();
        if self.workers.get(name).is_some_and(closed) {
            self.workers.remove(name);
            self.placer.down(self.clock.now(), name);
        }
    }

    fn beat(&mut self, name: &NodeName, life: Incarnation, sent: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.beat = worker.beat.max(Some((life, sent)));
        self.placer.seen(self.clock.now(), name);
        let shards: Vec<_> = self.shards.keys().copied().collect();
        for shard in shards {
            let agent = name.clone();
            self.owner(
                shard,
                OwnerInput::Heartbeat {
                    agent,
                    incarnation: life,
                    sent,
                },
            );
        }
    }

    fn answer(&mut self, answer: Answer) {
        match answer {
            Answer::Owners(owners) => self.owners(owners),
            Answer::Swapped {
                shard,
                result,
                asked,
            } => {
                if let SwapResult::Succeeded(_) = result {
                    self.confirmed.insert(shard, asked);
                }
                self.hold(ElectorInput::Swapped { shard, result });
            }
            Answer::Loaded(loaded) => self.loaded(loaded),
            Answer::NotLoaded { shard } => {
                log::warn!("journal of shard {shard} was not read; it is read again");
                self.reload(shard);
            }
            Answer::Written {
                shard,
                epoch,
                seq,
                result,
                head,
            } => {
                let current = |s: &&mut Shard| s.owner.ownership().epoch == epoch;
                if let Some(entry) = self.shards.get_mut(&shard).filter(current) {
                    entry.head = head;
                    self.owner(shard, OwnerInput::Written { seq, result });
                }
            }
        }
    }

    fn owners(&mut self, owners: Owners) {
        let now = self.clock.now();
        let mut live = self.presence.observe(now, owners.counters);
        live.insert(self.node.clone());
        self.hold(ElectorInput::Live(live));
        self.hold(ElectorInput::Read {
            sent_at: owners.asked,
            records: owners.records,
        });
    }

    /// Steps the holder and does what it says.
    fn hold(&mut self, input: ElectorInput) {
        let now = self.clock.now();
        let mut out = Vec::new();
        self.holder.step(now, input, &mut out);
        for output in out {
            match output {
                ElectorOutput::Read { sent_at: asked } => {
                    self.count += 1;
                    self.calls.read(&self.node, self.count, asked);
                }
                ElectorOutput::Swap {
                    shard,
                    expected_revision: expect,
                    record,
                } => self.calls.swap(shard, expect, &record, now),
                ElectorOutput::Acquired {
                    ownership: term,
                    revision,
                } => self.calls.load(term, revision),
                ElectorOutput::Confirmed {
                    shard,
                    sent_at: asked,
                } => {
                    self.confirmed.insert(shard, asked);
                    self.owner(shard, OwnerInput::Confirmed { sent_at: asked });
                }
                ElectorOutput::Drain { shard } => self.begin_drain(shard),
                ElectorOutput::Lost { shard } => self.lose(shard),
            }
        }
    }

    fn loaded(&mut self, loaded: Loaded) {
        let now = self.clock.now();
        let shard = loaded.term.shard;
        let epoch = loaded.term.epoch;
        if self.shards.contains_key(&shard) || !self.holder.owned().any(|owned| owned == shard) {
            return;
        }
        let config = OwnerConfig {
            flush_interval: self.config.flush,
            max_faults: self.config.faults,
        };
        let owner = match Owner::new(config, loaded.term, now, &loaded.segments) {
            Ok(owner) => owner,
            Err(error) => {
                self.count("damaged");
                return log::error!("shard {shard} is not decided about: {error}");
            }
        };
        log::info!("shard {shard} is owned at epoch {epoch}");
        let entry = Shard {
            owner,
            record: loaded.revision,
            head: loaded.head,
            draining: false,
        };
        self.shards.insert(shard, entry);
        self.welcome(shard);
    }

    /// Tells a new owner what is known here.
    fn welcome(&mut self, shard: ShardId) {
        if let Some(&asked) = self.confirmed.get(&shard) {
            self.owner(shard, OwnerInput::Confirmed { sent_at: asked });
        }
        let workers = self.workers.iter();
        let beats = workers.filter_map(|(name, worker)| Some((name.clone(), worker.beat?)));
        for (agent, (life, sent)) in beats.collect::<Vec<_>>() {
            self.owner(
                shard,
                OwnerInput::Heartbeat {
                    agent,
                    incarnation: life,
                    sent,
                },
            );
        }
        let tasks = self.tasks.keys().filter(|key| shard_of(&key.team) == shard);
        for task in tasks.cloned().collect::<Vec<_>>() {
            self.owner(shard, OwnerInput::Add { task });
        }
        self.remove_undeclared(shard);
        self.sweep(shard);
        self.owner(shard, OwnerInput::Tick);
    }

    /// Removes tasks of the journal that the settings no longer have.
    fn remove_undeclared(&mut self, shard: ShardId) {
        let Some(entry) = self.shards.get(&shard).filter(|_| self.complete) else {
            return;
        };
        let tasks = entry.owner.tasks().map(|(task, _)| task);
        let gone = tasks.filter(|task| !self.tasks.contains_key(*task));
        for task in gone.cloned().collect::<Vec<_>>() {
            self.owner(shard, OwnerInput::Remove { task });
        }
    }

    /// Notes which workers hold the shard's tasks.
    fn sweep(&mut self, shard: ShardId) {
        let now = self.clock.now();
        let Some(entry) = self.shards.get(&shard) else {
            return;
        };
        for (task, record) in entry.owner.tasks() {
            let need = self.tasks.get(task).map(|config| config.need);
            match record.assigned_agent().zip(need) {
                Some((worker, need)) => self.placer.held(now, task, worker, need),
                None => self.placer.freed(now, task),
            }
        }
    }

    fn reload(&mut self, shard: ShardId) {
        // The holder still has the shard; its next read tells the record again.
        self.holder.forget(shard);
    }

    fn begin_drain(&mut self, shard: ShardId) {
        match self.shards.get_mut(&shard) {
            Some(entry) => entry.draining = true,
            // Nothing was decided about a shard whose journal was not read.
            None => self.hold(ElectorInput::Drained {
                shard,
                recovered: false,
            }),
        }
        self.drain(shard);
    }

    fn drain(&mut self, shard: ShardId) {
        let clean = |entry: &&Shard| entry.draining && entry.owner.is_flushed();
        let Some(entry) = self.shards.get(&shard).filter(clean) else {
            return;
        };
        let settled = entry.owner.is_recovered();
        self.drop_shard(shard);
        self.hold(ElectorInput::Drained {
            shard,
            recovered: settled,
        });
    }

    fn lose(&mut self, shard: ShardId) {
        self.confirmed.remove(&shard);
        if self.drop_shard(shard) {
            log::info!("shard {shard} is no longer owned");
        }
    }

    fn drop_shard(&mut self, shard: ShardId) -> bool {
        let now = self.clock.now();
        let Some(entry) = self.shards.remove(&shard) else {
            return false;
        };
        for (task, _) in entry.owner.tasks() {
            self.ready.remove(task);
            self.reasons.remove(task);
            self.placer.drops(now, task);
        }
        true
    }

    /// Steps the owner of `shard`, if it is here, and does what it says.
    fn owner(&mut self, shard: ShardId, input: OwnerInput) {
        let Some(entry) = self.shards.get_mut(&shard) else {
            return;
        };
        let mut out = Vec::new();
        entry.owner.step(self.clock.now(), input, &mut out);
        for output in out {
            self.act(shard, output);
        }
    }

    fn act(&mut self, shard: ShardId, output: OwnerOutput) {
        match output {
            OwnerOutput::Order { agent, order } => self.order(&agent, order),
            OwnerOutput::Write(batch) => self.write(shard, batch),
            OwnerOutput::Ready { task } => {
                self.placer.freed(self.clock.now(), &task);
                self.ready.insert(task);
            }
            OwnerOutput::NotPlaced { task } => {
                self.placer.freed(self.clock.now(), &task);
                self.ready.insert(task);
            }
            OwnerOutput::RunRefused {
                task,
                agent,
                reason,
            } => {
                self.count("refused");
                self.placer.refused(&task, &agent);
                let reason = format!("worker {agent} refused: {reason}");
                self.reasons.insert(task, reason);
            }
            OwnerOutput::RunFailed {
                task,
                agent,
                reason,
            } => {
                self.count("faulty");
                let reason = format!("run failed on worker {agent}: {reason}");
                self.reasons.insert(task, reason);
            }
            OwnerOutput::RunLost { run } => {
                self.count("lost");
                log::warn!("run {run} is given up: its worker is silent or gone");
            }
            OwnerOutput::Completed { task, .. } => {
                self.placer.freed(self.clock.now(), &task);
                self.count("finished");
            }
            OwnerOutput::Recovered(recovered) => {
                self.count("recovered");
                let took = recovered.duration.as_secs_f64();
                let (heard, waited) = (recovered.reported, recovered.lost);
                log::info!(
                    "shard {shard} is recovered in {took:.3} s: {heard} heard, {waited} out-waited"
                );
                self.sweep(shard);
            }
            OwnerOutput::Superseded => self.lose(shard),
        }
    }

    fn order(&self, agent: &NodeName, order: Order) {
        // An order that is not sent is repeated at the agent's next report.
        if let Some(worker) = self.workers.get(agent) {
            let _ = worker.link.send(Frame::Order(order));
        }
    }

    fn write(&self, shard: ShardId, batch: Batch) {
        let Some(entry) = self.shards.get(&shard) else {
            return;
        };
        self.metrics.tasks.with_label_values(&["journaled"]).inc();
        self.calls.write(JournalWrite {
            shard,
            epoch: entry.owner.ownership().epoch,
            owner: entry.record,
            head: entry.head,
            batch,
            asked: self.clock.now(),
        });
    }

    /// Places every task that waits, as far as workers have room.
    fn place(&mut self) {
        let now = self.clock.now();
        for task in std::mem::take(&mut self.ready) {
            if self.offer(now, &task) {
                self.ready.insert(task);
            }
        }
        for choice in self.placer.choose(now) {
            self.start(now, choice);
        }
    }

    /// Tells the placer about a task that waits; returns whether it still does.
    fn offer(&mut self, now: Time, task: &TaskKey) -> bool {
        let entry = self.shards.get(&shard_of(&task.team));
        let entry = entry.filter(|entry| !entry.draining);
        let (Some(config), Some(entry)) = (self.tasks.get(task), entry) else {
            self.placer.drops(now, task);
            return false;
        };
        if !entry.owner.record(task).is_some_and(TaskRecord::is_ready) {
            return false;
        }
        if !entry.owner.is_ready(now, task) {
            self.placer.drops(now, task);
            self.reasons.insert(task.clone(), NOT_CONFIRMED.to_owned());
            return true;
        }
        if self.reasons.get(task).is_some_and(|r| r == NOT_CONFIRMED) {
            self.reasons.remove(task);
        }
        self.placer.wants(now, task, config);
        true
    }

    /// Starts a task on the chosen worker.
    fn start(&mut self, now: Time, choice: Choice) {
        let Choice {
            task,
            worker: agent,
        } = choice;
        self.ready.remove(&task);
        let shard = shard_of(&task.team);
        let entry = self.shards.get(&shard);
        let record = entry.and_then(|entry| entry.owner.record(&task));
        let (Some(config), Some(record)) = (self.tasks.get(&task), record) else {
            return self.placer.drops(now, &task);
        };
        let expect = record.run;
        let spec = TaskSpec {
            need: config.need,
            command: Arc::from(config.command.as_str()),
            run_time: config.run_time,
        };
        self.count("placed");
        let input = OwnerInput::Place {
            task,
            expected_run: expect,
            agent,
            spec,
        };
        self.owner(shard, input);
    }

    /// Why a task waits.
    fn why(&self, task: &TaskKey) -> Option<String> {
        let last = self.reasons.get(task);
        let waits = self.placer.explain(self.clock.now(), task);
        match (waits, last) {
            (Some(waits), Some(last)) => Some(format!("{waits}; last: {last}")),
            (waits, last) => waits.or_else(|| last.cloned()),
        }
    }

    fn list(&self, team: &TeamName) -> Vec<TaskView> {
        let shard = shard_of(team);
        let owner = self.shards.get(&shard).map(|entry| &entry.owner);
        let keys = self.tasks.keys().filter(|key| key.team == *team);
        let views = keys.map(|key| match owner.and_then(|o| Some((o, o.record(key)?))) {
            Some((owner, record)) => view::owned(key, owner, record, self.why(key)),
            None => view::elsewhere(key, self.whose(shard)),
        });
        views.collect()
    }

    fn whose(&self, shard: ShardId) -> String {
        match self.holder.owner_of(shard) {
            Some(record) if record.owner == self.node => "its shard is being read".to_owned(),
            Some(record) => format!("entry {} decides about it", record.owner),
            None => "no entry has its shard yet".to_owned(),
        }
    }

    fn count(&self, event: &str) {
        self.metrics.tasks.with_label_values(&[event]).inc();
    }
}
