//! The owner's duty: feeds the scheduler and carries out what it decides.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use parsleytally::configs::JobsConfig;
use parsleytally::jobs::{
    AgentMessage, Input, JobId, JobProgress, JobRecord, JobReply, JobRequest, OrderMessage, Output,
    QueueTable, Scheduler, SchedulerOptions,
};
use parsleytally::types::{NodeName, Revision, Time};
use parsleytally_link::{Hello, LinkConfig};
use parsleytally_platform::process::Clock;
use parsleytally_platform::store::{
    Change, Commit, Compare, Item, Snapshot, Store, StoreError, Write,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep};
use tokio_util::sync::CancellationToken;

use super::agents::{AgentLink, Orders};
use super::follow::{News, follow};
use super::keys;
use super::lead::Owner;
use super::metrics::OwnerMetrics;
use super::saver::{Record, Saver, revisions};

/// Inputs that wait for the owner; senders wait beyond them.
const RING: usize = 4_096;
/// Inputs decided together.
const BATCH: usize = 256;
/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(150);
/// Pause after a failed read of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// What the owner's duty is told.
#[derive(Debug)]
pub(crate) enum OwnerInput {
    /// An agent is linked; orders go to the sender.
    Linked(NodeName, mpsc::UnboundedSender<Vec<OrderMessage>>),
    /// The link of an agent is lost.
    Unlinked(NodeName),
    /// Messages of an agent.
    Agent(NodeName, Vec<AgentMessage>),
    /// Records that the store has, each with its version.
    Saved(Vec<(JobId, u64)>),
    /// A question of a client.
    Ask(JobRequest, oneshot::Sender<JobReply>),
    /// Another entry owns the jobs.
    Replaced,
}

/// Time at which the store last confirmed the ownership.
#[derive(Debug, Clone)]
pub(crate) struct Confirmed(Arc<Mutex<Instant>>);

impl Confirmed {
    pub(crate) fn at(instant: Instant) -> Self {
        Self(Arc::new(Mutex::new(instant)))
    }

    pub(crate) fn renew(&self, instant: Instant) {
        let mut at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *at = instant.max(*at);
    }

    pub(crate) fn age(&self) -> Duration {
        let at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        at.elapsed()
    }
}

/// What an ownership needs.
#[derive(Clone)]
pub(crate) struct Parts {
    pub(crate) hello: Hello,
    pub(crate) link: LinkConfig,
    pub(crate) jobs: JobsConfig,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) queues: watch::Receiver<Option<Arc<QueueTable>>>,
    pub(crate) metrics: OwnerMetrics,
}

/// A running ownership.
pub(crate) struct Ownership {
    pub(crate) since: Revision,
    pub(crate) confirmed: Confirmed,
    ring: mpsc::Sender<OwnerInput>,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Ownership {
    /// Begins as `owner`, whose epoch was written at `since`.
    pub(crate) fn start(parts: Parts, owner: Owner, since: Revision, confirmed: Instant) -> Self {
        let (ring, inputs) = mpsc::channel(RING);
        let stop = CancellationToken::new();
        let confirmed = Confirmed::at(confirmed);
        let duty = Duty {
            clock: Clock::start(),
            scheduler: Scheduler::new(start(&parts.jobs, &owner, since)),
            parts,
            owner,
            since,
            confirmed: confirmed.clone(),
            ring: ring.clone(),
            inputs,
            stop: stop.clone(),
            agents: BTreeMap::new(),
            orders: HashMap::new(),
            links: JoinSet::new(),
            out: Vec::new(),
            known: HashMap::new(),
        };
        let task = tokio::spawn(duty.run());
        Self {
            since,
            confirmed,
            ring,
            stop,
            task,
        }
    }

    /// Where questions of clients go.
    pub(crate) fn ring(&self) -> mpsc::Sender<OwnerInput> {
        self.ring.clone()
    }

    /// Whether the duty has ended by itself.
    pub(crate) fn is_over(&self) -> bool {
        self.task.is_finished()
    }

    /// Gives no further order.
    pub(crate) async fn close(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

fn start(config: &JobsConfig, owner: &Owner, since: Revision) -> SchedulerOptions {
    SchedulerOptions {
        epoch: owner.epoch.0,
        start_revision: since,
        agent_hold: with_drift(config.agent_hold),
        owner_hold: with_drift(config.owner_hold),
        ended_retention: config.keep_ended,
    }
}

/// A time on another machine's clock as a time on this one's.
fn with_drift(time: Duration) -> Duration {
    const CLOCK_DRIFT_PERCENT: u32 = 5;
    time + time * CLOCK_DRIFT_PERCENT / 100
}

struct Duty {
    clock: Clock,
    scheduler: Scheduler,
    parts: Parts,
    owner: Owner,
    since: Revision,
    confirmed: Confirmed,
    ring: mpsc::Sender<OwnerInput>,
    inputs: mpsc::Receiver<OwnerInput>,
    stop: CancellationToken,
    /// Agents by name, each with the token that ends its link.
    agents: BTreeMap<NodeName, (String, CancellationToken)>,
    orders: HashMap<NodeName, mpsc::UnboundedSender<Vec<OrderMessage>>>,
    links: JoinSet<()>,
    out: Vec<Output>,
    /// Revision of each job that was taken in.
    known: HashMap<JobId, Revision>,
}

impl Duty {
    async fn run(mut self) {
        let stop = self.stop.clone();
        let _ = stop.run_until_cancelled(self.serve()).await;
        self.stop.cancel();
        self.parts.metrics.ended();
        self.links.shutdown().await;
    }

    async fn serve(&mut self) {
        let (fleet, progress) = self.read_all().await;
        log::info!(epoch:% = self.owner.epoch, revision:% = self.since,
            jobs = progress.items.len(); "ownership begins");
        self.parts.metrics.began(self.owner.epoch.0);
        let (records, saver_records) = mpsc::unbounded_channel();
        let saver = Saver {
            store: self.parts.store.clone(),
            since: self.since,
            revisions: revisions(&progress),
            records: saver_records,
            owner: self.ring.clone(),
            stop: self.stop.clone(),
        };
        self.links.spawn(saver.run());
        let mut queues = self.parts.queues.clone();
        self.take_queues(&mut queues);
        self.load(&fleet, &progress);
        let (changes, mut changed) = mpsc::channel(16);
        let follower = follow(self.parts.store.clone(), fleet.revision, changes);
        self.links.spawn(follower);
        let mut tick = interval(TICK);
        loop {
            let wake = self.scheduler.wake_at();
            let wake = wake.map(|at| at.since(self.clock.now()));
            tokio::select! {
                Some(input) = self.inputs.recv() => {
                    if !self.take_batch(input) {
                        return;
                    }
                }
                Some(news) = changed.recv() => {
                    if !self.take_news(news) {
                        return;
                    }
                }
                Ok(()) = queues.changed() => self.take_queues(&mut queues),
                _ = tick.tick() => self.tick(),
                () = until(wake) => {}
            }
            self.decide(&records);
        }
    }

    async fn read_all(&self) -> (Snapshot, Snapshot) {
        loop {
            match self.try_read().await {
                Ok(all) => return all,
                Err(error) => {
                    log::warn!(error:% = error; "jobs are not read yet");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn try_read(&self) -> Result<(Snapshot, Snapshot), StoreError> {
        let fleet = self.parts.store.range(keys::FLEET).await?;
        let progress = self.parts.store.range(keys::PROGRESS).await?;
        Ok((fleet, progress))
    }

    fn load(&mut self, fleet: &Snapshot, progress: &Snapshot) {
        let mut kept: HashMap<JobId, JobProgress> = HashMap::new();
        for item in &progress.items {
            let Some(id) = keys::job_of(keys::PROGRESS, &item.key) else {
                continue;
            };
            match JobProgress::decode(&item.value) {
                Ok(progress) => {
                    kept.insert(id, progress);
                }
                Err(error) => {
                    log::error!(job:% = id, error:% = error; "record of a job is unreadable");
                }
            }
        }
        for item in &fleet.items {
            if let Some(node) = keys::agent_of(&item.key) {
                self.step(Input::Expected(node.clone()));
                self.take_agent(node, &item.value);
            } else if let Some(id) = keys::job_of(keys::JOBS, &item.key) {
                self.take_job(id, item, kept.remove(&id));
            }
        }
    }

    fn take_agent(&mut self, node: NodeName, value: &[u8]) {
        let text = String::from_utf8_lossy(value).into_owned();
        let Ok(address) = text.parse() else {
            log::warn!(agent:% = node, address = text.as_str(); "address of an agent is unreadable");
            return;
        };
        if let Some((known, stop)) = self.agents.get(&node) {
            if *known == text {
                return;
            }
            stop.cancel();
        }
        let stop = self.stop.child_token();
        let link = AgentLink {
            node: node.clone(),
            address,
            epoch: self.owner.epoch,
            hello: self.parts.hello.clone(),
            config: self.parts.link.clone(),
            confirmed: self.confirmed.clone(),
            owner: self.ring.clone(),
        };
        let token = stop.clone();
        self.links.spawn(async move {
            let _ = token.run_until_cancelled(link.keep()).await;
        });
        self.agents.insert(node, (text, stop));
    }

    fn take_job(&mut self, id: JobId, item: &Item, progress: Option<JobProgress>) {
        if self.known.get(&id) == Some(&item.revision) {
            return;
        }
        self.known.insert(id, item.revision);
        match JobRecord::decode(&item.value) {
            Ok(record) => {
                log::info!(job:% = id, cancelled = record.cancelled, revision:% = item.revision;
                    "job taken in");
                let accepted = item.created;
                self.step(Input::Job {
                    id,
                    record,
                    accepted,
                    progress,
                });
            }
            Err(error) => log::error!(job:% = id, error:% = error; "job is unreadable"),
        }
    }

    fn take_queues(&mut self, queues: &mut watch::Receiver<Option<Arc<QueueTable>>>) {
        let table = queues.borrow_and_update().clone();
        if let Some(table) = table {
            self.step(Input::Queues(table));
        }
    }

    /// Takes what waits in the ring; false once the ownership is over.
    fn take_batch(&mut self, first: OwnerInput) -> bool {
        let mut next = Some(first);
        for _ in 0..BATCH {
            let Some(input) = next else {
                return true;
            };
            if !self.take(input) {
                return false;
            }
            next = self.inputs.try_recv().ok();
        }
        next.is_none_or(|input| self.take(input))
    }

    fn take(&mut self, input: OwnerInput) -> bool {
        match input {
            OwnerInput::Linked(node, orders) => {
                self.orders.insert(node.clone(), orders);
                log::info!(agent:% = node; "agent linked");
                self.step(Input::Linked(node));
            }
            OwnerInput::Unlinked(node) => {
                self.orders.remove(&node);
                log::warn!(agent:% = node; "agent lost");
                self.step(Input::Unlinked(node));
            }
            OwnerInput::Agent(node, messages) => {
                for message in messages {
                    self.parts.metrics.heard(&message);
                    self.step(Input::Agent(node.clone(), message));
                }
            }
            OwnerInput::Saved(saved) => {
                for (job, version) in saved {
                    self.step(Input::Saved { job, version });
                }
            }
            OwnerInput::Ask(question, reply) => {
                // A client that no longer waits has dropped its end.
                let _ = reply.send(self.scheduler.answer(&question));
            }
            OwnerInput::Replaced => return false,
        }
        true
    }

    fn take_news(&mut self, news: News) -> bool {
        match news {
            News::All(fleet) => {
                for item in &fleet.items {
                    if !self.take_item(item) {
                        return false;
                    }
                }
            }
            News::Changes(changes) => {
                for change in &changes.changes {
                    if let Change::Put(item) = change
                        && !self.take_item(item)
                    {
                        return false;
                    }
                }
            }
        }
        true
    }

    fn take_item(&mut self, item: &Item) -> bool {
        if item.key == keys::EPOCH {
            return item.revision <= self.since;
        }
        if let Some(node) = keys::agent_of(&item.key) {
            self.take_agent(node, &item.value);
        } else if let Some(id) = keys::job_of(keys::JOBS, &item.key) {
            self.take_job(id, item, None);
        }
        true
    }

    fn tick(&mut self) {
        let age = self.confirmed.age();
        let linked = self.orders.len();
        self.parts.metrics.show(&self.scheduler, linked, age);
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = self.clock.now().as_micros().saturating_sub(age);
        self.step(Input::Confirmed(Time::from_micros(at)));
        self.step(Input::Tick);
    }

    /// Ends the link to an agent that is gone, and takes its address out of the store; an
    /// agent without an owner tells it again.
    fn forget(&mut self, node: &NodeName) {
        if let Some((_, stop)) = self.agents.remove(node) {
            stop.cancel();
        }
        log::warn!(agent:% = node; "agent is gone: its address is taken out of the store");
        let commit = Commit {
            compares: vec![Compare::Unchanged {
                key: keys::EPOCH.to_owned(),
                revision: self.since,
            }],
            writes: vec![Write::Delete {
                key: keys::agent(node),
            }],
        };
        let store = self.parts.store.clone();
        self.links.spawn(async move {
            if let Err(error) = store.commit(commit).await {
                log::warn!(error:% = error; "address of a gone agent stays in the store");
            }
        });
    }

    fn step(&mut self, input: Input) {
        let now = self.clock.now();
        self.scheduler
            .step(now, Clock::wall_ms(), input, &mut self.out);
    }

    fn decide(&mut self, records: &mpsc::UnboundedSender<Record>) {
        let now: Time = self.clock.now();
        self.scheduler.decide(now, Clock::wall_ms(), &mut self.out);
        let mut orders: BTreeMap<NodeName, Orders> = BTreeMap::new();
        let mut forgotten = Vec::new();
        for output in self.out.drain(..) {
            match output {
                Output::Order(node, message) => orders.entry(node).or_default().push(message),
                Output::Forget(node) => forgotten.push(node),
                Output::Save {
                    job,
                    version,
                    progress,
                } => {
                    // The saver ends only with this duty.
                    let _ = records.send(Record {
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
        for (node, messages) in orders {
            for message in &messages {
                tell_order(&node, message);
                self.parts.metrics.ordered(message);
            }
            if let Some(link) = self.orders.get(&node) {
                // A link that has ended is told of as lost, and compared when it is back.
                let _ = link.send(messages);
            }
        }
    }
}

fn tell_order(node: &NodeName, message: &OrderMessage) {
    match message {
        OrderMessage::Start(order) => {
            log::info!(task:% = order.run.task, run = order.run.run, agent:% = node; "start ordered");
        }
        OrderMessage::Stop(run) => {
            log::info!(task:% = run.task, run = run.run, agent:% = node; "stop ordered");
        }
        OrderMessage::Throttle {
            run,
            cpu_share: percent,
        } => {
            log::info!(task:% = run.task, run = run.run, percent, agent:% = node; "pace ordered");
        }
        OrderMessage::AcknowledgeEnds {
            sequence: number, ..
        } => {
            log::debug!("ends up to {number} of {node} are stored");
        }
        _ => {}
    }
}

/// Waits for a time; for ever without one.
async fn until(wait: Option<Duration>) {
    match wait {
        Some(wait) => sleep(wait).await,
        None => std::future::pending().await,
    }
}
