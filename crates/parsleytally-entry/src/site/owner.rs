//! The owner's actor: passes events to the scheduler and carries out its effects.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use parsleytally::configs::{EvacuationConfig, JobsConfig, SharesConfig, WorkersConfig};
use parsleytally::jobs::{
    ContentionRecord, Input, JobId, JobProgress, JobRecord, JobReply, JobRequest, OrderMessage,
    Output, QueueTable, Scheduler, SchedulerOptions,
};
use parsleytally::types::{NodeName, Revision, Time};
use parsleytally_link::{Hello, LinkConfig};
use parsleytally_platform::process::{BootTime, Clock};
use parsleytally_platform::store::{Change, Commit, Item, Store, Write};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use super::agents::AgentLink;
use super::confirmation::LastConfirmation;
use super::election::{Owner, epoch_unchanged};
use super::evacuations::{ZoneRead, ZoneReads, next_read};
use super::follow::{FleetFollower, FleetUpdate};
use super::keys;
use super::known_agents::{Dial, KnownAgents, delete_address};
use super::messages::{AgentId, Orders, OwnerInput};
use super::metrics::OwnerMetrics;
use super::owner_log::{
    log_account, log_crash, log_dropped, log_evacuation, log_order, log_preempted, log_reconciled,
    log_undelivered, log_waiting, log_workers_decision,
};
use super::saver::{ProgressRecord, Saver, revisions};
use super::stored_state::StoredState;
use super::timer::sleep_for;

/// Capacity of the owner's channel; senders wait while it is full.
const CHANNEL_CAPACITY: usize = 4_096;
/// Inputs after the first that are applied before the scheduler decides.
const MAX_BATCH: usize = 256;
/// Time between two ticks of the scheduler.
const TICK: Duration = Duration::from_millis(150);

/// Settings and components that every ownership of an entry uses.
#[derive(Clone)]
pub(crate) struct OwnerContext {
    pub(crate) hello: Hello,
    pub(crate) link: LinkConfig,
    pub(crate) jobs: JobsConfig,
    pub(crate) workers: WorkersConfig,
    pub(crate) shares: Option<Arc<SharesConfig>>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) queues: watch::Receiver<Option<Arc<QueueTable>>>,
    pub(crate) evacuation: Option<EvacuationConfig>,
    /// Reads of the operators' evacuation requests; none if evacuations are not enabled.
    pub(crate) zone_reads: Option<ZoneReads>,
    pub(crate) metrics: OwnerMetrics,
}

/// A running ownership.
pub(crate) struct Ownership {
    pub(crate) since: Revision,
    pub(crate) confirmation: LastConfirmation,
    sender: mpsc::Sender<OwnerInput>,
    /// Revision of the last change of the fleet's keys that a check of the ownership has read.
    changed: watch::Sender<Revision>,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Ownership {
    /// Starts the actor for `owner`, whose epoch key was written at revision `since`.
    pub(crate) fn start(
        context: OwnerContext,
        owner: Owner,
        since: Revision,
        confirmed: BootTime,
    ) -> Self {
        let (sender, inputs) = mpsc::channel(CHANNEL_CAPACITY);
        let changed = watch::Sender::new(Revision(0));
        let stop = CancellationToken::new();
        let confirmation = LastConfirmation::at(confirmed);
        let mut scheduler = Scheduler::new(scheduler_options(&context, &owner, since));
        if let Some(shares) = &context.shares {
            scheduler.set_shares(shares.clone());
        }
        let actor = OwnerActor {
            clock: Clock::start(),
            scheduler,
            context,
            owner,
            since,
            confirmation: confirmation.clone(),
            sender: sender.clone(),
            inputs,
            changed: changed.subscribe(),
            stop: stop.clone(),
            agents: KnownAgents::new(stop.clone()),
            order_senders: HashMap::new(),
            tasks: JoinSet::new(),
            out: Vec::new(),
            job_revisions: HashMap::new(),
            unreadable: HashSet::new(),
        };
        let task = tokio::spawn(actor.run());
        Self {
            since,
            confirmation,
            sender,
            changed,
            stop,
            task,
        }
    }

    /// Tells of the last change of the fleet's keys, of which the owner must hear.
    pub(crate) fn fleet_changed(&self, revision: Revision) {
        let newer = |known: &mut Revision| {
            let newer = *known < revision;
            *known = revision.max(*known);
            newer
        };
        self.changed.send_if_modified(newer);
    }

    /// Sender of the actor's input channel.
    pub(crate) fn sender(&self) -> mpsc::Sender<OwnerInput> {
        self.sender.clone()
    }

    /// Whether the actor has stopped by itself, as it does once another entry owns the jobs.
    pub(crate) fn is_finished(&self) -> bool {
        self.task.is_finished()
    }

    /// Stops the actor; no orders are sent afterwards.
    pub(crate) async fn close(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

fn scheduler_options(context: &OwnerContext, owner: &Owner, since: Revision) -> SchedulerOptions {
    let config = &context.jobs;
    let evacuation = context.evacuation.as_ref();
    SchedulerOptions {
        epoch: owner.epoch.0,
        start_revision: since,
        agent_hold: with_drift(config.agent_hold),
        owner_hold: with_drift(config.owner_hold),
        ended_retention: config.keep_ended,
        best_effort: config.best_effort,
        evacuation_limit: evacuation.map(EvacuationConfig::age_limit),
        workers: context.workers,
    }
}

/// Extends a duration on another machine's clock, so that it has certainly passed there
/// once the result has passed on this machine's clock.
fn with_drift(duration: Duration) -> Duration {
    const CLOCK_DRIFT_PERCENT: u32 = 5;
    duration + duration * CLOCK_DRIFT_PERCENT / 100
}

struct OwnerActor {
    clock: Clock,
    scheduler: Scheduler,
    context: OwnerContext,
    owner: Owner,
    since: Revision,
    confirmation: LastConfirmation,
    sender: mpsc::Sender<OwnerInput>,
    inputs: mpsc::Receiver<OwnerInput>,
    changed: watch::Receiver<Revision>,
    stop: CancellationToken,
    agents: KnownAgents,
    /// Senders of orders to the agents that are linked.
    order_senders: HashMap<NodeName, mpsc::UnboundedSender<Vec<OrderMessage>>>,
    /// Links to agents and the other tasks of this ownership.
    tasks: JoinSet<()>,
    out: Vec<Output>,
    /// Revision of each job record that the scheduler has received.
    job_revisions: HashMap<JobId, Revision>,
    /// Jobs whose progress can't be read: tasks that are done would start again.
    unreadable: HashSet<JobId>,
}

impl OwnerActor {
    async fn run(mut self) {
        let stop = self.stop.clone();
        let _ = stop.run_until_cancelled(self.serve()).await;
        self.stop.cancel();
        self.context.metrics.ended();
        self.tasks.shutdown().await;
    }

    async fn serve(&mut self) {
        let mut zone_reads = self.context.zone_reads.clone();
        if let Some(reads) = &zone_reads {
            reads.request();
        }
        let state = StoredState::read(&*self.context.store).await;
        log::info!(epoch:% = self.owner.epoch, revision:% = self.since,
            jobs = state.progress.items.len(); "ownership started");
        self.context.metrics.began(self.owner.epoch.0);
        let (records, records_receiver) = mpsc::unbounded_channel();
        let saver = Saver {
            store: self.context.store.clone(),
            since: self.since,
            revisions: revisions(&state.progress),
            records: records_receiver,
            owner: self.sender.clone(),
            stop: self.stop.clone(),
        };
        self.tasks.spawn(saver.run());
        let mut queues = self.context.queues.clone();
        self.apply_queues(&mut queues);
        if !self.load(&state) {
            return;
        }
        let (updates, mut fleet_updates) = mpsc::channel(16);
        let follower = FleetFollower::new(
            self.context.store.clone(),
            state.fleet.revision,
            updates,
            self.changed.clone(),
        );
        self.tasks.spawn(follower.run());
        let mut tick = interval(TICK);
        loop {
            let wake = self.scheduler.wake_at();
            let wake = wake.map(|at| at.since(self.clock.now()));
            tokio::select! {
                Some(input) = self.inputs.recv() => {
                    if !self.apply_batch(input) {
                        return;
                    }
                }
                Some(update) = fleet_updates.recv() => {
                    if !self.apply_update(update) {
                        return;
                    }
                }
                read = next_read(&mut zone_reads) => self.apply_zones(&read),
                Ok(()) = queues.changed() => self.apply_queues(&mut queues),
                _ = tick.tick() => {
                    if !self.apply_queued() {
                        return;
                    }
                    self.tick();
                }
                () = sleep_for(wake) => {}
            }
            self.decide(&records);
        }
    }

    /// Applies the stored state; returns false if another entry owns the jobs.
    fn load(&mut self, state: &StoredState) -> bool {
        if state
            .fleet
            .item(keys::EPOCH)
            .is_none_or(|item| item.revision != self.since)
        {
            return false;
        }
        let mut progress = state.progress();
        for item in &state.fleet.items {
            if let Some(node) = keys::parse_agent(&item.key) {
                self.step(Input::Expected(node.clone()));
                self.connect_agent(&node, item);
            } else if let Some(id) = keys::parse_job(keys::JOBS, &item.key) {
                match progress.remove(&id) {
                    Some(None) => {
                        self.unreadable.insert(id);
                    }
                    progress => self.apply_job(id, item, progress.flatten()),
                }
            }
        }
        if let Some(record) = state.learned() {
            self.step(Input::Learned(record));
        }
        true
    }

    fn connect_agent(&mut self, node: &NodeName, item: &Item) {
        let Some(dial) = self.agents.update(node, item) else {
            return;
        };
        let Dial {
            agent,
            address,
            replaces,
            stop,
        } = dial;
        if replaces && self.order_senders.contains_key(node) {
            self.unlink(node.clone());
        }
        let link = AgentLink {
            agent,
            address,
            epoch: self.owner.epoch,
            hello: self.context.hello.clone(),
            config: self.context.link.clone(),
            confirmation: self.confirmation.clone(),
            clock: self.clock,
            support_end: self.scheduler.support_end(),
            owner: self.sender.clone(),
            link_counter: self.agents.link_counter.clone(),
        };
        self.tasks.spawn(async move {
            let _ = stop.run_until_cancelled(link.run()).await;
        });
    }

    fn apply_job(&mut self, id: JobId, item: &Item, progress: Option<JobProgress>) {
        let known = self.job_revisions.get(&id);
        if known.is_some_and(|known| item.revision <= *known) || self.unreadable.contains(&id) {
            return;
        }
        self.job_revisions.insert(id, item.revision);
        match JobRecord::decode(&item.value) {
            Ok(record) => {
                log::info!(job:% = id, cancelled = record.cancelled, revision:% = item.revision;
                    "job record read");
                let accepted = item.created;
                self.step(Input::Job {
                    id,
                    record,
                    accepted,
                    progress,
                });
            }
            Err(error) => log::error!(job:% = id, error:% = error; "job record is invalid"),
        }
    }

    fn apply_queues(&mut self, queues: &mut watch::Receiver<Option<Arc<QueueTable>>>) {
        let table = queues.borrow_and_update().clone();
        if let Some(table) = table {
            self.step(Input::Queues(table));
        }
    }

    /// Applies a read of the evacuation requests, unless it was sent before this ownership.
    fn apply_zones(&mut self, read: &ZoneRead) {
        if let Some(zones) = read.on_clock(self.clock) {
            self.step(Input::Zones(zones));
        }
    }

    /// Applies the inputs that wait in the channel; returns false once another entry owns
    /// the jobs.
    fn apply_batch(&mut self, first: OwnerInput) -> bool {
        let mut next = Some(first);
        for _ in 0..MAX_BATCH {
            let Some(input) = next else {
                return true;
            };
            if !self.apply(input) {
                return false;
            }
            next = self.inputs.try_recv().ok();
        }
        next.is_none_or(|input| self.apply(input))
    }

    /// Applies all inputs that wait in the channel. A link that was opened extends the hold
    /// of its agent, so it must be known before the tick that lets holds pass.
    fn apply_queued(&mut self) -> bool {
        for _ in 0..CHANNEL_CAPACITY {
            let Ok(input) = self.inputs.try_recv() else {
                return true;
            };
            if !self.apply(input) {
                return false;
            }
        }
        true
    }

    fn apply(&mut self, input: OwnerInput) -> bool {
        match input {
            OwnerInput::Linked(agent, _)
            | OwnerInput::Unlinked(agent)
            | OwnerInput::OtherAgent(agent)
            | OwnerInput::Agent(agent, _)
                if !self.agents.is_current(&agent) =>
            {
                log::debug!("input of an earlier link to agent {} is late", agent.node);
            }
            OwnerInput::Linked(AgentId { node, .. }, orders) => {
                self.agents.set_answered_by_other(&node, false);
                self.order_senders.insert(node.clone(), orders);
                log::info!(agent:% = node; "agent linked");
                self.step(Input::Linked(node));
            }
            OwnerInput::Unlinked(AgentId { node, .. }) => self.unlink(node),
            OwnerInput::OtherAgent(AgentId { node, .. }) => {
                self.context.metrics.count_mismatch();
                self.agents.set_answered_by_other(&node, true);
            }
            OwnerInput::Agent(AgentId { node, .. }, messages) => {
                for message in messages {
                    self.context.metrics.count_message(&message);
                    self.step(Input::Agent(node.clone(), message));
                }
            }
            OwnerInput::Saved(saved) => {
                for (job, version) in saved {
                    self.step(Input::Saved { job, version });
                }
            }
            OwnerInput::Request(request, reply) => {
                // The receiver is closed if the client no longer waits.
                let _ = reply.send(self.answer(&request));
            }
            OwnerInput::Runs(reply) => {
                let runs = self.scheduler.counted_runs();
                let _ = reply.send(runs.map(|(node, run)| (node.clone(), run)).collect());
            }
            OwnerInput::Replaced => return false,
        }
        true
    }

    fn answer(&mut self, request: &JobRequest) -> JobReply {
        let JobRequest::Forecast { uncertain } = request else {
            return self.scheduler.answer(request);
        };
        let (now, wall_ms) = (self.clock.now(), Clock::wall_ms());
        JobReply::Forecast(self.scheduler.forecast(now, wall_ms, *uncertain))
    }

    fn unlink(&mut self, node: NodeName) {
        self.order_senders.remove(&node);
        log::warn!(agent:% = node; "agent lost");
        self.step(Input::Unlinked(node));
    }

    fn apply_update(&mut self, update: FleetUpdate) -> bool {
        match update {
            FleetUpdate::Snapshot(fleet) => {
                for item in &fleet.items {
                    if !self.apply_item(item) {
                        return false;
                    }
                }
            }
            FleetUpdate::Changes(changes) => {
                for change in &changes.changes {
                    if let Change::Put(item) = change
                        && !self.apply_item(item)
                    {
                        return false;
                    }
                }
            }
        }
        true
    }

    fn apply_item(&mut self, item: &Item) -> bool {
        if item.key == keys::EPOCH {
            return item.revision <= self.since;
        }
        if let Some(node) = keys::parse_agent(&item.key) {
            self.connect_agent(&node, item);
        } else if let Some(id) = keys::parse_job(keys::JOBS, &item.key) {
            self.apply_job(id, item, None);
        }
        true
    }

    fn tick(&mut self) {
        let age = self.confirmation.age();
        let linked = self.order_senders.len();
        self.context.metrics.update(&self.scheduler, linked, age);
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = self.clock.now().as_micros().saturating_sub(age);
        self.step(Input::Confirmed(Time::from_micros(at)));
        self.step(Input::Tick);
    }

    /// Closes the link to a lost agent and deletes its address from the store; an agent
    /// without an owner publishes its address again.
    fn forget(&mut self, node: &NodeName) {
        let Some(revision) = self.agents.remove(node) else {
            return;
        };
        log::warn!(agent:% = node; "agent forgotten, deleting its address from the store");
        let store = self.context.store.clone();
        self.tasks
            .spawn(delete_address(store, self.since, node.clone(), revision));
    }

    fn save_learned(&mut self, record: &ContentionRecord) {
        let put = Write::Put {
            key: keys::LEARNED.to_owned(),
            value: record.encode(),
            lease: None,
        };
        self.write_once(put, "learned effects");
    }

    /// Writes to the store on condition that the owner has not changed; a failure is logged.
    fn write_once(&mut self, write: Write, what: &'static str) {
        let commit = Commit {
            compares: vec![epoch_unchanged(self.since)],
            writes: vec![write],
        };
        let store = self.context.store.clone();
        self.tasks.spawn(async move {
            if let Err(error) = store.commit(commit).await {
                log::warn!(what, error:% = error; "writing to the store failed");
            }
        });
    }

    fn step(&mut self, input: Input) {
        let now = self.clock.now();
        self.scheduler
            .step(now, Clock::wall_ms(), input, &mut self.out);
    }

    fn decide(&mut self, records: &mpsc::UnboundedSender<ProgressRecord>) {
        let now: Time = self.clock.now();
        self.scheduler.decide(now, Clock::wall_ms(), &mut self.out);
        let mut orders: BTreeMap<NodeName, Orders> = BTreeMap::new();
        let mut forgotten = Vec::new();
        let mut learned = None;
        for output in self.out.drain(..) {
            match output {
                Output::Order(node, message) => orders.entry(node).or_default().push(message),
                Output::Forget(node) => forgotten.push(node),
                Output::Relink(node) => {
                    log::info!(agent:% = node; "link to an agent is replaced, an order may be on its way");
                    // The link closes without it.
                    self.order_senders.remove(&node);
                }
                Output::SaveLearned(record) => learned = Some(record),
                Output::RunsDropped {
                    node,
                    runs,
                    evidence,
                } => log_dropped(&node, runs, evidence),
                Output::Evacuation(event) => {
                    log_evacuation(&event);
                    self.context.metrics.count_evacuation(&event);
                }
                Output::Preempted {
                    node,
                    run,
                    queue,
                    by,
                    percent,
                    lost_cpu_ms,
                } => {
                    self.context.metrics.count_preempted(&queue);
                    log_preempted(&node, run, [&queue, &by], percent, lost_cpu_ms);
                }
                Output::Crash(decision) => {
                    log_crash(&decision);
                    self.context.metrics.count_crash(&decision);
                }
                Output::Waiting(evidence) => log_waiting(&evidence),
                Output::JobEnded(account) => {
                    log_account(&account);
                    self.context.metrics.count_job(&account);
                }
                Output::Reconciled(node, outcome) => log_reconciled(&node, &outcome),
                Output::Workers(decision) => {
                    log_workers_decision(&decision);
                    self.context.metrics.count_decision(&decision);
                }
                Output::Save {
                    job,
                    version,
                    progress,
                } => {
                    // The saver stops only together with this actor.
                    let _ = records.send(ProgressRecord {
                        job,
                        version,
                        progress,
                    });
                }
            }
        }
        for node in forgotten {
            self.forget(&node);
        }
        if let Some(record) = learned {
            self.save_learned(&record);
        }
        for (node, messages) in orders {
            for message in &messages {
                log_order(&node, message);
                self.context.metrics.count_order(message);
            }
            if let Some(link) = self.order_senders.get(&node) {
                // If the link is closed, `Unlinked` follows, and the agent's runs are compared
                // with the orders once it is linked again.
                let _ = link.send(messages);
            } else {
                log_undelivered(&node, &messages);
            }
        }
    }
}
