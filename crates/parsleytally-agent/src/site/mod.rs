//! The agent for batch jobs: carries out the owner's orders on the worker beside it.
//!
//! An agent gets a small share of a core, so its parts are tasks on a single thread that
//! communicate through bounded channels, instead of one thread each.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{
    AgentInput, AgentMessage, AgentOutput, AgentTimes, JobAgent, OrderMessage, OwnerLink,
    WorkerReport, fencing,
};
use parsleytally::types::Time;
use parsleytally_link::{Frame, Handshakes, Hello, Incoming, Link, LinkConfig, Role};
use parsleytally_platform::jobs::{TaskHost, WorkerReports};
use parsleytally_platform::process::Clock;
use parsleytally_platform::store::Store;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

mod config;
mod log_lines;
mod registration;
mod reports;

pub use config::SiteConfig;

use registration::Registration;

/// Capacity of the channel to the actor. Senders wait while it is full, but reports of the
/// worker are dropped.
const CHANNEL_CAPACITY: usize = 1_024;
/// Further inputs handled before the effects of all are carried out.
const BATCH_SIZE: usize = 128;
/// Time between two timer events of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between two pings to the owner, to within [`TICK_INTERVAL`].
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two pings. Within the two times, a ping is sent with a report and
/// costs the owner no frame of its own.
const MIN_PING_INTERVAL: Duration = Duration::from_millis(400);
/// Pause after a failed `accept` of a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Input of the actor.
#[derive(Debug)]
enum ActorInput {
    /// A link to an owner was opened.
    LinkOpened(OwnerLink, Link),
    /// Input of the library's agent.
    Agent(AgentInput),
    /// A report with this worker id can't be read, with the reason.
    Unreadable(String, String),
}

/// A running agent for batch jobs.
pub struct Site {
    reports: Arc<dyn WorkerReports>,
    tasks: JoinSet<()>,
}

/// Sends the worker's reports to the actor.
struct ReportSender(mpsc::Sender<ActorInput>);

impl WorkerReports for ReportSender {
    fn reported(&self, report: WorkerReport, sequence: u64) -> bool {
        self.send(ActorInput::Agent(AgentInput::Report { report, sequence }))
    }

    fn shutdown_noticed(&self, id: &str) -> bool {
        self.send(ActorInput::Agent(AgentInput::ShutdownNotice(id.into())))
    }

    fn unreadable(&self, id: &str, reason: &str) {
        self.send(ActorInput::Unreadable(id.to_owned(), reason.to_owned()));
    }
}

impl ReportSender {
    /// Returns false if the channel is full.
    fn send(&self, input: ActorInput) -> bool {
        let sent = self.0.try_send(input).is_ok();
        if !sent {
            log::error!("dropped a report of the worker: the channel of the agent is full");
        }
        sent
    }
}

impl Site {
    /// Starts the tasks of an agent that runs work on the worker `host`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address for links is not available.
    pub async fn start(
        config: &SiteConfig,
        store: Arc<dyn Store>,
        host: Arc<dyn TaskHost>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(config.base.links).await?;
        let (sender, inputs) = mpsc::channel(CHANNEL_CAPACITY);
        let (held, held_receiver) = watch::channel(false);
        let clock = Clock::start();
        let times = AgentTimes {
            lease: config.base.jobs.lease,
            lease_max: config.base.jobs.lease_max,
            agent_hold: config.base.jobs.agent_hold,
            owner_hold: config.base.jobs.owner_hold,
            evacuation_limit: config
                .base
                .evacuation
                .map(|evacuation| evacuation.age_limit()),
        };
        let actor = SiteActor {
            clock,
            agent: JobAgent::new(times, clock.now()),
            host,
            sender: sender.clone(),
            links: HashMap::new(),
            held,
            pinged: Time::ZERO,
            out: Vec::new(),
        };
        let registration = Registration {
            store,
            node: config.base.name.clone(),
            links: config.base.links,
            held: held_receiver,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(actor.run(inputs));
        tasks.spawn(registration.maintain());
        let hello = hello(config);
        tasks.spawn(accept_owners(
            listener,
            hello,
            config.link.clone(),
            sender.clone(),
        ));
        Ok(Self {
            reports: Arc::new(ReportSender(sender)),
            tasks,
        })
    }

    /// Receiver of the worker's reports of its state.
    pub fn reports(&self) -> Arc<dyn WorkerReports> {
        self.reports.clone()
    }

    /// Stops the tasks of the agent; runs on the worker continue until their leases expire.
    pub async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}

fn hello(config: &SiteConfig) -> Hello {
    let (node, zone) = (config.base.name.clone(), config.base.zone.clone());
    Hello::new(Role::Agent, node, zone, Clock::incarnation())
}

async fn accept_owners(
    listener: TcpListener,
    hello: Hello,
    config: LinkConfig,
    sender: mpsc::Sender<ActorInput>,
) {
    let handshakes = Handshakes::default();
    let mut number = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "could not accept a connection of an owner");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        number += 1;
        let id = OwnerLink(number);
        let (handshakes, hello) = (handshakes.clone(), hello.clone());
        let (config, sender) = (config.clone(), sender.clone());
        tokio::spawn(async move {
            if let Ok((link, incoming)) = handshakes.accept(stream, &hello, &config).await {
                serve_owner(id, link, incoming, sender).await;
            }
        });
    }
}

async fn serve_owner(
    id: OwnerLink,
    link: Link,
    mut incoming: Incoming,
    sender: mpsc::Sender<ActorInput>,
) {
    let opened = ActorInput::LinkOpened(id, link);
    if sender.send(opened).await.is_err() {
        return;
    }
    while let Some(frame) = incoming.next().await {
        let Frame::JobOrders(messages) = frame else {
            log::warn!("ignoring an unexpected frame from an owner");
            continue;
        };
        for message in messages {
            let input = ActorInput::Agent(AgentInput::OwnerMessage(id, message));
            if sender.send(input).await.is_err() {
                return;
            }
        }
    }
    let _ = sender
        .send(ActorInput::Agent(AgentInput::OwnerLost(id)))
        .await;
}

/// Actor that owns the state machine of the agent.
struct SiteActor {
    clock: Clock,
    agent: JobAgent,
    host: Arc<dyn TaskHost>,
    sender: mpsc::Sender<ActorInput>,
    /// Open links by the number of their [`OwnerLink`].
    links: HashMap<u64, Link>,
    held: watch::Sender<bool>,
    /// When the last ping was sent.
    pinged: Time,
    out: Vec<AgentOutput>,
}

impl SiteActor {
    async fn run(mut self, mut inputs: mpsc::Receiver<ActorInput>) {
        let mut tick = interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.handle(input);
                    for _ in 0..BATCH_SIZE {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.handle(input);
                    }
                }
                _ = tick.tick() => {
                    self.step(AgentInput::Tick);
                    self.ping_if_due();
                    self.publish_hold();
                }
            }
            self.execute_outputs();
        }
    }

    fn handle(&mut self, input: ActorInput) {
        match input {
            ActorInput::LinkOpened(id, link) => {
                log::info!(owner:% = link.peer().node; "owner connected");
                self.links.insert(id.0, link);
            }
            ActorInput::Agent(input) => {
                if let AgentInput::ShutdownNotice(id) = &input {
                    let known = self.agent.is_worker(id);
                    log::info!(worker:% = id, known; "worker gave notice of its shutdown");
                }
                self.step(input);
            }
            ActorInput::Unreadable(id, reason) => {
                let known = self.agent.is_worker(&id);
                log::warn!(worker = id, known, reason; "report of a worker can't be read");
            }
        }
    }

    fn step(&mut self, input: AgentInput) {
        if let AgentInput::OwnerMessage(_, OrderMessage::Begin { .. }) = input {
            // Messages of earlier inputs are for the present owner.
            self.execute_outputs();
        }
        if let AgentInput::OwnerLost(id) = &input {
            self.links.remove(&id.0);
        }
        let previous = self.agent.owner();
        self.agent.step(self.clock.now(), input, &mut self.out);
        self.replace_used_up_link();
        let owner = self.agent.owner();
        if owner == previous {
            return;
        }
        if owner.is_some() {
            self.ping(Vec::new());
        } else {
            log::warn!("owner lost");
        }
    }

    /// Closes the link to the owner, which opens another, before the raises of the fencing token
    /// reach the tokens of later links.
    fn replace_used_up_link(&self) {
        let fencing_token = self.agent.fencing_token();
        if !fencing::needs_new_link(fencing_token) {
            return;
        }
        let link = self.agent.owner().and_then(|id| self.links.get(&id.0));
        if let Some(link) = link.filter(|link| !link.is_closed()) {
            log::warn!(owner:% = link.peer().node, fencing_token;
                "closing the link to the owner: many calls to the worker have no answer");
            link.clone().close();
        }
    }

    /// Publishes whether an owner holds the agent.
    fn publish_hold(&self) {
        let held = self.agent.is_held(self.clock.now());
        self.held
            .send_if_modified(|known| std::mem::replace(known, held) != held);
    }

    /// Sends a ping unless one was sent with a report within [`PING_INTERVAL`].
    fn ping_if_due(&mut self) {
        if self.clock.now().since(self.pinged) >= PING_INTERVAL {
            self.ping(Vec::new());
        }
    }

    /// Sends `messages` with a ping.
    fn ping(&mut self, mut messages: Vec<AgentMessage>) {
        let now = self.clock.now();
        self.pinged = now;
        messages.push(AgentMessage::Ping {
            sent: now.as_micros(),
        });
        self.send_to_owner(messages);
    }

    /// Tells the owner on a link that another one has taken over. Without that, an owner
    /// that can't reach the store would connect again and again.
    fn supersede(&self, id: OwnerLink) {
        let Some(link) = self.links.get(&id.0) else {
            return;
        };
        let fencing_token = self.agent.fencing_token();
        let message = AgentMessage::Superseded { fencing_token };
        if link.send(Frame::JobReports(vec![message])).is_err() {
            link.clone().close();
        }
    }

    fn execute_outputs(&mut self) {
        let mut messages = Vec::new();
        for output in std::mem::take(&mut self.out) {
            match output {
                AgentOutput::Send(message) => {
                    log_lines::message(&message);
                    messages.push(message);
                }
                AgentOutput::Supersede(id) => self.supersede(id),
                AgentOutput::RunsEnded {
                    incarnation,
                    runs,
                    evidence,
                    last_listing,
                } => {
                    log_lines::runs_ended(incarnation.as_ref(), runs, evidence, last_listing);
                }
                AgentOutput::Concluded(conclusion) => log_lines::concluded(&conclusion),
                AgentOutput::Overtaken(answer) => log_lines::overtaken(&answer),
                AgentOutput::Listed(answer) => log_lines::listed(&answer),
                AgentOutput::Doubt { answer, in_doubt } => log_lines::doubt(&answer, in_doubt),
                call => self.call_worker(call),
            }
        }
        if messages.is_empty() {
            return;
        }
        if self.clock.now().since(self.pinged) >= MIN_PING_INTERVAL {
            self.ping(messages);
        } else {
            self.send_to_owner(messages);
        }
    }

    fn send_to_owner(&mut self, messages: Vec<AgentMessage>) {
        let Some(link) = self.agent.owner().and_then(|id| self.links.get(&id.0)) else {
            return;
        };
        let frames = reports::frames(messages).into_iter();
        let sent = frames
            .map(Frame::JobReports)
            .try_for_each(|frame| link.send(frame));
        if let Err(error) = sent {
            // The agent reports its whole state again on the next link.
            log::warn!(error:% = error; "closing the link to the owner: could not send reports");
            link.clone().close();
        }
    }

    fn call_worker(&self, call: AgentOutput) {
        let host = self.host.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let input = match call {
                AgentOutput::Poll(call) => AgentInput::Polled {
                    call,
                    answer: host.poll(call).await,
                },
                AgentOutput::Start(call) => AgentInput::StartAnswered {
                    run: call.order.run,
                    fencing_token: call.fencing_token,
                    answer: host.start(&call).await,
                },
                AgentOutput::Stop(call) => AgentInput::StopAnswered {
                    run: call.run,
                    answer: host.stop(call).await,
                },
                AgentOutput::Throttle(call) => {
                    let answer = host.throttle(call).await;
                    log_lines::throttled(call, answer);
                    AgentInput::ThrottleAnswered { call, answer }
                }
                AgentOutput::Send(_)
                | AgentOutput::Supersede(_)
                | AgentOutput::RunsEnded { .. }
                | AgentOutput::Concluded(_)
                | AgentOutput::Overtaken(_)
                | AgentOutput::Doubt { .. }
                | AgentOutput::Listed(_) => return,
            };
            // Fails only when the actor has stopped, at the end of the process.
            let _ = sender.send(ActorInput::Agent(input)).await;
        });
    }
}

#[cfg(test)]
mod tests;
