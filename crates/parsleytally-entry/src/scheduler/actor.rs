//! The actor's state: the shard elector, the owners of shards, and the placer.

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
use super::store::{JournalWrite, LoadedJournal, OwnershipSnapshot, StoreAnswer, StoreClient};
use super::{Input, RELEASE_TIMEOUT, SchedulerParams, TaskView, view};
use crate::metrics::Metrics;

/// Time between two ticks of the elector and the owners.
const TICK: Duration = Duration::from_millis(100);
/// Concurrent acquisitions and releases of shards.
const MAX_MOVES: usize = 16;

/// Reason of a task that waits for the store to confirm the ownership of its shard.
const NOT_CONFIRMED: &str = "the store has not recently confirmed the ownership of its shard";

/// An owned shard, with the revisions that its journal writes compare against.
struct Shard {
    owner: Owner,
    owner_revision: Revision,
    head_revision: Option<Revision>,
    draining: bool,
}

/// A linked worker.
struct Worker {
    link: Link,
    /// Incarnation of the agent, and when it sent its newest heartbeat on its own clock.
    last_heartbeat: Option<(Incarnation, Time)>,
}

/// Drives the library's state machines and carries out their outputs.
pub(super) struct SchedulerActor {
    node: NodeName,
    config: OwnershipConfig,
    clock: Clock,
    store: StoreClient,
    elector: ShardElector,
    liveness: LivenessTracker,
    /// Counter of this entry in the store, raised with each read.
    counter: u64,
    shards: BTreeMap<ShardId, Shard>,
    /// Send time of the last confirmed store call of each shard, kept also while its
    /// journal is being read.
    confirmed: BTreeMap<ShardId, Time>,
    tasks: BTreeMap<TaskKey, BatchConfig>,
    /// Tasks that wait for a worker.
    ready: BTreeSet<TaskKey>,
    /// Last refusal or failed run of each task, or [`NOT_CONFIRMED`].
    reasons: BTreeMap<TaskKey, String>,
    workers: BTreeMap<NodeName, Worker>,
    placer: Box<dyn Placer>,
    metrics: Metrics,
    /// Whether all tasks of the settings are declared, so that any other is deleted.
    all_declared: bool,
    closing_since: Option<Time>,
}

impl SchedulerActor {
    pub(super) fn new(
        params: SchedulerParams,
        store: StoreClient,
        placer: Box<dyn Placer>,
    ) -> Self {
        let config = params.config;
        let elector = ShardElector::new(ElectorConfig {
            node: params.node.clone(),
            incarnation: params.incarnation,
            hold: config.hold,
            unjournaled_starts: config.ahead,
            read_interval: config.interval,
            max_moves: MAX_MOVES,
        });
        Self {
            node: params.node,
            liveness: LivenessTracker::new(config.grace),
            config,
            clock: Clock::start(),
            store,
            elector,
            counter: 0,
            shards: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            tasks: BTreeMap::new(),
            ready: BTreeSet::new(),
            reasons: BTreeMap::new(),
            workers: BTreeMap::new(),
            placer,
            metrics: params.metrics,
            all_declared: false,
            closing_since: None,
        }
    }

    /// Runs until every shard is released after [`Input::Close`], or until
    /// [`RELEASE_TIMEOUT`] has passed.
    pub(super) fn run(&mut self, inputs: &Receiver<Input>) {
        let mut last_tick = None;
        loop {
            match inputs.recv_timeout(TICK) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            if last_tick.is_none_or(|last| now.since(last) >= TICK) {
                last_tick = Some(now);
                self.tick();
            }
            let timed_out = |since| now.since(since) >= RELEASE_TIMEOUT;
            if self
                .closing_since
                .is_some_and(|since| self.is_released() || timed_out(since))
            {
                return;
            }
        }
    }

    fn is_released(&self) -> bool {
        self.elector.owned().next().is_none()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Declared(key, config) => self.declare(key, config),
            Input::Deleted(key) => self.delete(key),
            Input::Quota(team, quota) => self.set_quota(team, quota),
            Input::AllDeclared => {
                self.all_declared = true;
                let shards: Vec<_> = self.shards.keys().copied().collect();
                shards
                    .into_iter()
                    .for_each(|shard| self.remove_undeclared(shard));
            }
            Input::WorkerUp(link, capacity) => self.worker_up(link, capacity),
            Input::LinkClosed(worker) => self.link_closed(&worker),
            Input::Report(report) => {
                let shard = report.shard;
                self.step_owner(shard, OwnerInput::Report(report));
            }
            Input::Heartbeat(worker, heartbeat) => {
                self.heartbeat(&worker, heartbeat.incarnation, heartbeat.sent);
            }
            Input::Store(answer) => self.store_answered(answer),
            Input::List(team, reply) => {
                let _ = reply.send(self.list_tasks(&team));
            }
            Input::Close => {
                self.closing_since = Some(self.clock.now());
                self.step_elector(ElectorInput::Close);
            }
        }
    }

    fn tick(&mut self) {
        self.step_elector(ElectorInput::Tick);
        let shards: Vec<_> = self.shards.keys().copied().collect();
        for shard in shards {
            self.step_owner(shard, OwnerInput::Tick);
            self.finish_drain(shard);
        }
        self.place_tasks();
        let shards = i64::try_from(self.shards.len()).unwrap_or(i64::MAX);
        self.metrics.shards.set(shards);
    }

    fn declare(&mut self, key: TaskKey, config: BatchConfig) {
        let shard = shard_of(&key.team);
        if self.tasks.insert(key.clone(), config).is_none() {
            self.count_event("declared");
        }
        self.step_owner(shard, OwnerInput::Add { task: key });
        self.place_tasks();
    }

    fn set_quota(&mut self, team: TeamName, quota: QuotaConfig) {
        self.placer.set_quota(self.clock.now(), team, quota);
    }

    fn delete(&mut self, key: TaskKey) {
        if self.tasks.remove(&key).is_none() {
            return;
        }
        self.count_event("deleted");
        self.ready.remove(&key);
        self.reasons.remove(&key);
        self.placer.cancel(self.clock.now(), &key);
        let shard = shard_of(&key.team);
        self.step_owner(shard, OwnerInput::Remove { task: key });
    }

    fn worker_up(&mut self, link: Link, capacity: Resources) {
        let name = link.peer().node.clone();
        let zone = link.peer().zone.clone();
        self.placer
            .worker_up(self.clock.now(), &name, &zone, capacity);
        let last_heartbeat = self
            .workers
            .get(&name)
            .and_then(|worker| worker.last_heartbeat);
        self.workers.insert(
            name,
            Worker {
                link,
                last_heartbeat,
            },
        );
    }

    fn link_closed(&mut self, name: &NodeName) {
        // Keeps a newer link of the worker that has replaced the closed one.
        let closed = |worker: &Worker| worker.link.is_closed();
        if self.workers.get(name).is_some_and(closed) {
            self.workers.remove(name);
            self.placer.worker_down(self.clock.now(), name);
        }
    }

    fn heartbeat(&mut self, name: &NodeName, incarnation: Incarnation, sent: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.last_heartbeat = worker.last_heartbeat.max(Some((incarnation, sent)));
        self.placer.refresh_worker(self.clock.now(), name);
        let shards: Vec<_> = self.shards.keys().copied().collect();
        for shard in shards {
            let agent = name.clone();
            self.step_owner(
                shard,
                OwnerInput::Heartbeat {
                    agent,
                    incarnation,
                    sent,
                },
            );
        }
    }

    fn store_answered(&mut self, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Ownership(snapshot) => self.ownership_read(snapshot),
            StoreAnswer::Swapped {
                shard,
                result,
                sent_at,
            } => {
                if let SwapResult::Succeeded(_) = result {
                    self.confirmed.insert(shard, sent_at);
                }
                self.step_elector(ElectorInput::Swapped { shard, result });
            }
            StoreAnswer::Loaded(loaded) => self.journal_loaded(loaded),
            StoreAnswer::LoadFailed { shard } => {
                log::warn!("could not read the journal of shard {shard}; retrying");
                self.reload_journal(shard);
            }
            StoreAnswer::Written {
                shard,
                epoch,
                seq,
                result,
                head_revision,
            } => {
                let current = |s: &&mut Shard| s.owner.ownership().epoch == epoch;
                if let Some(owned) = self.shards.get_mut(&shard).filter(current) {
                    owned.head_revision = head_revision;
                    self.step_owner(shard, OwnerInput::Written { seq, result });
                }
            }
        }
    }

    fn ownership_read(&mut self, snapshot: OwnershipSnapshot) {
        let now = self.clock.now();
        let mut live = self.liveness.observe(now, snapshot.counters);
        live.insert(self.node.clone());
        self.step_elector(ElectorInput::Live(live));
        self.step_elector(ElectorInput::Read {
            sent_at: snapshot.sent_at,
            records: snapshot.records,
        });
    }

    /// Steps the elector and carries out its outputs.
    fn step_elector(&mut self, input: ElectorInput) {
        let now = self.clock.now();
        let mut out = Vec::new();
        self.elector.step(now, input, &mut out);
        for output in out {
            match output {
                ElectorOutput::Read { sent_at } => {
                    self.counter += 1;
                    self.store.read_ownership(&self.node, self.counter, sent_at);
                }
                ElectorOutput::Swap {
                    shard,
                    expected_revision,
                    record,
                } => self
                    .store
                    .swap_owner(shard, expected_revision, &record, now),
                ElectorOutput::Acquired {
                    ownership,
                    revision,
                } => self.store.load_journal(ownership, revision),
                ElectorOutput::Confirmed { shard, sent_at } => {
                    self.confirmed.insert(shard, sent_at);
                    self.step_owner(shard, OwnerInput::Confirmed { sent_at });
                }
                ElectorOutput::Drain { shard } => self.begin_drain(shard),
                ElectorOutput::Lost { shard } => self.shard_lost(shard),
            }
        }
    }

    fn journal_loaded(&mut self, loaded: LoadedJournal) {
        let now = self.clock.now();
        let shard = loaded.ownership.shard;
        let epoch = loaded.ownership.epoch;
        if self.shards.contains_key(&shard) || !self.elector.owned().any(|id| id == shard) {
            return;
        }
        let config = OwnerConfig {
            flush_interval: self.config.flush,
            max_faults: self.config.faults,
        };
        let owner = match Owner::new(config, loaded.ownership, now, &loaded.segments) {
            Ok(owner) => owner,
            Err(error) => {
                self.count_event("damaged");
                return log::error!(
                    "journal of shard {shard} is damaged, its tasks are not scheduled: {error}"
                );
            }
        };
        log::info!("acquired shard {shard} at epoch {epoch}");
        let owned = Shard {
            owner,
            owner_revision: loaded.owner_revision,
            head_revision: loaded.head_revision,
            draining: false,
        };
        self.shards.insert(shard, owned);
        self.initialize_owner(shard);
    }

    /// Passes the confirmation, heartbeats and declared tasks to a new owner.
    fn initialize_owner(&mut self, shard: ShardId) {
        if let Some(&sent_at) = self.confirmed.get(&shard) {
            self.step_owner(shard, OwnerInput::Confirmed { sent_at });
        }
        let workers = self.workers.iter();
        let heartbeats =
            workers.filter_map(|(name, worker)| Some((name.clone(), worker.last_heartbeat?)));
        for (agent, (incarnation, sent)) in heartbeats.collect::<Vec<_>>() {
            self.step_owner(
                shard,
                OwnerInput::Heartbeat {
                    agent,
                    incarnation,
                    sent,
                },
            );
        }
        let tasks = self.tasks.keys().filter(|key| shard_of(&key.team) == shard);
        for task in tasks.cloned().collect::<Vec<_>>() {
            self.step_owner(shard, OwnerInput::Add { task });
        }
        self.remove_undeclared(shard);
        self.record_assignments(shard);
        self.step_owner(shard, OwnerInput::Tick);
    }

    /// Removes journaled tasks that the settings no longer contain.
    fn remove_undeclared(&mut self, shard: ShardId) {
        let Some(owned) = self.shards.get(&shard).filter(|_| self.all_declared) else {
            return;
        };
        let tasks = owned.owner.tasks().map(|(task, _)| task);
        let undeclared = tasks.filter(|task| !self.tasks.contains_key(*task));
        for task in undeclared.cloned().collect::<Vec<_>>() {
            self.step_owner(shard, OwnerInput::Remove { task });
        }
    }

    /// Records in the placer which workers the shard's tasks are assigned to.
    fn record_assignments(&mut self, shard: ShardId) {
        let now = self.clock.now();
        let Some(owned) = self.shards.get(&shard) else {
            return;
        };
        for (task, record) in owned.owner.tasks() {
            let need = self.tasks.get(task).map(|config| config.need);
            match record.assigned_agent().zip(need) {
                Some((worker, need)) => self.placer.record_assignment(now, task, worker, need),
                None => self.placer.release(now, task),
            }
        }
    }

    fn reload_journal(&mut self, shard: ShardId) {
        // The elector's next read acquires the shard again if this entry still owns it.
        self.elector.forget(shard);
    }

    fn begin_drain(&mut self, shard: ShardId) {
        match self.shards.get_mut(&shard) {
            Some(owned) => owned.draining = true,
            // No tasks were scheduled in a shard whose journal was not read.
            None => self.step_elector(ElectorInput::Drained {
                shard,
                recovered: false,
            }),
        }
        self.finish_drain(shard);
    }

    fn finish_drain(&mut self, shard: ShardId) {
        let is_drained = |owned: &&Shard| owned.draining && owned.owner.is_flushed();
        let Some(owned) = self.shards.get(&shard).filter(is_drained) else {
            return;
        };
        let recovered = owned.owner.is_recovered();
        self.remove_shard(shard);
        self.step_elector(ElectorInput::Drained { shard, recovered });
    }

    fn shard_lost(&mut self, shard: ShardId) {
        self.confirmed.remove(&shard);
        if self.remove_shard(shard) {
            log::info!("shard {shard} is no longer owned by this entry");
        }
    }

    fn remove_shard(&mut self, shard: ShardId) -> bool {
        let now = self.clock.now();
        let Some(owned) = self.shards.remove(&shard) else {
            return false;
        };
        for (task, _) in owned.owner.tasks() {
            self.ready.remove(task);
            self.reasons.remove(task);
            self.placer.cancel(now, task);
        }
        true
    }

    /// Steps the owner of `shard`, if this entry owns it, and carries out its outputs.
    fn step_owner(&mut self, shard: ShardId, input: OwnerInput) {
        let Some(owned) = self.shards.get_mut(&shard) else {
            return;
        };
        let mut out = Vec::new();
        owned.owner.step(self.clock.now(), input, &mut out);
        for output in out {
            self.handle_owner_output(shard, output);
        }
    }

    fn handle_owner_output(&mut self, shard: ShardId, output: OwnerOutput) {
        match output {
            OwnerOutput::Order { agent, order } => self.send_order(&agent, order),
            OwnerOutput::Write(batch) => self.write_journal(shard, batch),
            OwnerOutput::Ready { task } => {
                self.placer.release(self.clock.now(), &task);
                self.ready.insert(task);
            }
            OwnerOutput::NotPlaced { task } => {
                self.placer.release(self.clock.now(), &task);
                self.ready.insert(task);
            }
            OwnerOutput::RunRefused {
                task,
                agent,
                reason,
            } => {
                self.count_event("refused");
                self.placer.record_refusal(&task, &agent);
                let reason = format!("worker {agent} refused: {reason}");
                self.reasons.insert(task, reason);
            }
            OwnerOutput::RunFailed {
                task,
                agent,
                reason,
            } => {
                self.count_event("faulty");
                let reason = format!("run failed on worker {agent}: {reason}");
                self.reasons.insert(task, reason);
            }
            OwnerOutput::RunLost { run } => {
                self.count_event("lost");
                log::warn!(
                    "run {run} is given up: its deadline passed without a report, or its worker was lost"
                );
            }
            OwnerOutput::Completed { task, .. } => {
                self.placer.release(self.clock.now(), &task);
                self.count_event("finished");
            }
            OwnerOutput::Recovered(recovered) => {
                self.count_event("recovered");
                let seconds = recovered.duration.as_secs_f64();
                let (reported, lost) = (recovered.reported, recovered.lost);
                log::info!(
                    "recovered shard {shard} in {seconds:.3} s: {reported} runs reported, {lost} given up"
                );
                self.record_assignments(shard);
            }
            OwnerOutput::Superseded => self.shard_lost(shard),
        }
    }

    fn send_order(&self, agent: &NodeName, order: Order) {
        // An order that could not be sent is repeated at the agent's next report.
        if let Some(worker) = self.workers.get(agent) {
            let _ = worker.link.send(Frame::Order(order));
        }
    }

    fn write_journal(&self, shard: ShardId, batch: Batch) {
        let Some(owned) = self.shards.get(&shard) else {
            return;
        };
        self.metrics.tasks.with_label_values(&["journaled"]).inc();
        self.store.write_journal(JournalWrite {
            shard,
            epoch: owned.owner.ownership().epoch,
            owner_revision: owned.owner_revision,
            head_revision: owned.head_revision,
            batch,
            sent_at: self.clock.now(),
        });
    }

    /// Submits the ready tasks to the placer and starts those that it placed.
    fn place_tasks(&mut self) {
        let now = self.clock.now();
        for task in std::mem::take(&mut self.ready) {
            if self.submit(now, &task) {
                self.ready.insert(task);
            }
        }
        for choice in self.placer.choose(now) {
            self.start_run(now, choice);
        }
    }

    /// Submits a ready task to the placer; returns whether the task is still ready.
    fn submit(&mut self, now: Time, task: &TaskKey) -> bool {
        let owned = self.shards.get(&shard_of(&task.team));
        let owned = owned.filter(|owned| !owned.draining);
        let (Some(config), Some(owned)) = (self.tasks.get(task), owned) else {
            self.placer.cancel(now, task);
            return false;
        };
        if !owned.owner.record(task).is_some_and(TaskRecord::is_ready) {
            return false;
        }
        if !owned.owner.is_ready(now, task) {
            self.placer.cancel(now, task);
            self.reasons.insert(task.clone(), NOT_CONFIRMED.to_owned());
            return true;
        }
        if self.reasons.get(task).is_some_and(|r| r == NOT_CONFIRMED) {
            self.reasons.remove(task);
        }
        self.placer.submit(now, task, config);
        true
    }

    /// Starts a run of the task on the chosen worker.
    fn start_run(&mut self, now: Time, choice: Choice) {
        let Choice {
            task,
            worker: agent,
        } = choice;
        self.ready.remove(&task);
        let shard = shard_of(&task.team);
        let owned = self.shards.get(&shard);
        let record = owned.and_then(|owned| owned.owner.record(&task));
        let (Some(config), Some(record)) = (self.tasks.get(&task), record) else {
            return self.placer.cancel(now, &task);
        };
        let expected_run = record.run;
        let spec = TaskSpec {
            need: config.need,
            command: Arc::from(config.command.as_str()),
            run_time: config.run_time,
        };
        self.count_event("placed");
        let input = OwnerInput::Place {
            task,
            expected_run,
            agent,
            spec,
        };
        self.step_owner(shard, input);
    }

    /// Why a task waits: the placer's explanation and the task's last event.
    fn waiting_reason(&self, task: &TaskKey) -> Option<String> {
        let last = self.reasons.get(task);
        let explanation = self.placer.explain(self.clock.now(), task);
        match (explanation, last) {
            (Some(explanation), Some(last)) => Some(format!("{explanation}; last: {last}")),
            (explanation, last) => explanation.or_else(|| last.cloned()),
        }
    }

    fn list_tasks(&self, team: &TeamName) -> Vec<TaskView> {
        let shard = shard_of(team);
        let owner = self.shards.get(&shard).map(|owned| &owned.owner);
        let keys = self.tasks.keys().filter(|key| key.team == *team);
        let views = keys.map(|key| match owner.and_then(|o| Some((o, o.record(key)?))) {
            Some((owner, record)) => view::owned(key, owner, record, self.waiting_reason(key)),
            None => view::unknown(key, self.unknown_reason(shard)),
        });
        views.collect()
    }

    /// Why this entry does not know the state of the shard's tasks.
    fn unknown_reason(&self, shard: ShardId) -> String {
        match self.elector.owner_of(shard) {
            Some(record) if record.owner == self.node => {
                "the journal of its shard is being read".to_owned()
            }
            Some(record) => format!("entry {} owns its shard", record.owner),
            None => "no entry owns its shard yet".to_owned(),
        }
    }

    fn count_event(&self, event: &str) {
        self.metrics.tasks.with_label_values(&[event]).inc();
    }
}
