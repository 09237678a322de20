//! An agent for batch jobs: carries out the owner's orders on the worker beside it.
//!
//! The machines give an agent a small share of a core, so its duties are tasks of one
//! thread, joined by bounded rings, instead of a thread each.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{
    AgentInput, AgentMessage, AgentOutput, AgentTimes, JobAgent, OwnerLink, WorkerReport,
};
use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, Role, accept};
use parsleytally_platform::jobs::{TaskHost, WorkerReports};
use parsleytally_platform::process::Clock;
use parsleytally_platform::store::Store;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

mod config;
mod presence;

pub use config::SiteConfig;

use presence::Presence;

/// Inputs that wait for the duty; senders wait beyond them.
const RING: usize = 1_024;
/// Inputs handled together.
const BATCH: usize = 128;
/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(200);
/// Time between two pings to the owner.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a link that was not accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What the duty is told.
#[derive(Debug)]
enum DutyInput {
    /// A link to an owner was opened.
    Opened(OwnerLink, Link),
    /// For the agent's decisions.
    Agent(AgentInput),
}

/// A running agent for batch jobs.
pub struct Site {
    reports: Arc<dyn WorkerReports>,
    tasks: JoinSet<()>,
}

/// Hands what the worker says to the duty.
struct ReportRing(mpsc::Sender<DutyInput>);

impl WorkerReports for ReportRing {
    fn reported(&self, report: WorkerReport) {
        self.pass(AgentInput::Report(report));
    }

    fn stopped(&self, id: &str) {
        log::info!(worker = id; "worker leaves");
        self.pass(AgentInput::WorkerLeft);
    }
}

impl ReportRing {
    fn pass(&self, input: AgentInput) {
        if self.0.try_send(DutyInput::Agent(input)).is_err() {
            log::error!("ring of the agent is full: a report of the worker is dropped");
        }
    }
}

impl Site {
    /// Starts the duties beside the worker `host`.
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
        let (ring, inputs) = mpsc::channel(RING);
        let (has_owner, owner_seen) = watch::channel(false);
        let clock = Clock::start();
        let times = AgentTimes {
            lease: config.base.jobs.lease,
            agent_hold: config.base.jobs.agent_hold,
            owner_hold: config.base.jobs.owner_hold,
        };
        let duty = Duty {
            clock,
            tasks: JobAgent::new(times, clock.now()),
            host,
            ring: ring.clone(),
            links: HashMap::new(),
            has_owner,
            out: Vec::new(),
        };
        let presence = Presence {
            store,
            node: config.base.name.clone(),
            links: config.base.links,
            has_owner: owner_seen,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(duty.run(inputs));
        tasks.spawn(presence.keep());
        let hello = hello(config);
        tasks.spawn(accept_owners(
            listener,
            hello,
            config.link.clone(),
            ring.clone(),
        ));
        Ok(Self {
            reports: Arc::new(ReportRing(ring)),
            tasks,
        })
    }

    /// Where what the worker says of itself goes.
    pub fn reports(&self) -> Arc<dyn WorkerReports> {
        self.reports.clone()
    }

    /// Ends the duties; what runs on the worker goes on until its lease ends.
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
    ring: mpsc::Sender<DutyInput>,
) {
    let mut number = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "link of an owner is not accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        number += 1;
        let id = OwnerLink(number);
        let (hello, config, ring) = (hello.clone(), config.clone(), ring.clone());
        tokio::spawn(async move {
            match accept(stream, &hello, &config).await {
                Ok((link, incoming)) => serve_owner(id, link, incoming, ring).await,
                Err(error) => log::warn!(error:% = error; "link of an owner is not opened"),
            }
        });
    }
}

async fn serve_owner(
    id: OwnerLink,
    link: Link,
    mut incoming: Incoming,
    ring: mpsc::Sender<DutyInput>,
) {
    let opened = DutyInput::Opened(id, link);
    if ring.send(opened).await.is_err() {
        return;
    }
    while let Some(frame) = incoming.next().await {
        let Frame::JobOrders(messages) = frame else {
            log::warn!("owner sent a frame that owners do not send");
            continue;
        };
        for message in messages {
            let input = DutyInput::Agent(AgentInput::OwnerMessage(id, message));
            if ring.send(input).await.is_err() {
                return;
            }
        }
    }
    let _ = ring.send(DutyInput::Agent(AgentInput::OwnerLost(id))).await;
}

struct Duty {
    clock: Clock,
    tasks: JobAgent,
    host: Arc<dyn TaskHost>,
    ring: mpsc::Sender<DutyInput>,
    links: HashMap<u64, Link>,
    has_owner: watch::Sender<bool>,
    out: Vec<AgentOutput>,
}

impl Duty {
    async fn run(mut self, mut inputs: mpsc::Receiver<DutyInput>) {
        let mut tick = interval(TICK);
        let mut ping = interval(PING_INTERVAL);
        loop {
            tokio::select! {
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                    for _ in 0..BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.take(input);
                    }
                }
                _ = tick.tick() => self.step(AgentInput::Tick),
                _ = ping.tick() => self.ping(),
            }
            self.carry_out();
        }
    }

    fn take(&mut self, input: DutyInput) {
        match input {
            DutyInput::Opened(id, link) => {
                log::info!(owner:% = link.peer().node; "owner linked");
                self.links.insert(id.0, link);
            }
            DutyInput::Agent(input) => self.step(input),
        }
    }

    fn step(&mut self, input: AgentInput) {
        if let AgentInput::OwnerLost(id) = &input {
            self.links.remove(&id.0);
        }
        let before = self.tasks.owner();
        self.tasks.step(self.clock.now(), input, &mut self.out);
        let owner = self.tasks.owner();
        if owner == before {
            return;
        }
        self.has_owner.send_replace(owner.is_some());
        if owner.is_some() {
            self.ping();
        } else {
            log::warn!("owner lost");
        }
    }

    fn ping(&mut self) {
        let sent = self.clock.now().as_micros();
        self.report(vec![AgentMessage::Ping { sent }]);
    }

    fn carry_out(&mut self) {
        let mut reports = Vec::new();
        for output in std::mem::take(&mut self.out) {
            match output {
                AgentOutput::Send(message) => {
                    tell_report(&message);
                    reports.push(message);
                }
                AgentOutput::Close(id) => {
                    if let Some(link) = self.links.remove(&id.0) {
                        link.close();
                    }
                }
                call => self.call(call),
            }
        }
        if !reports.is_empty() {
            self.report(reports);
        }
    }

    fn report(&mut self, messages: Vec<AgentMessage>) {
        let Some(link) = self.tasks.owner().and_then(|id| self.links.get(&id.0)) else {
            return;
        };
        if let Err(error) = link.send(Frame::JobReports(messages)) {
            // Everything is told again on the next link.
            log::warn!(error:% = error; "link to the owner is closed: reports do not fit");
            link.clone().close();
        }
    }

    fn call(&self, call: AgentOutput) {
        let host = self.host.clone();
        let ring = self.ring.clone();
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
                    if let Err(error) = host.throttle(call).await {
                        log::warn!(task:% = call.run.task, run = call.run.run, error:? = error;
                            "pace is not changed");
                        AgentInput::ThrottleFailed(call.run)
                    } else {
                        log::info!(task:% = call.run.task, run = call.run.run,
                            percent = call.cpu_share; "pace changed");
                        return;
                    }
                }
                AgentOutput::Send(_) | AgentOutput::Close(_) => return,
            };
            // The duty ends only with the process.
            let _ = ring.send(DutyInput::Agent(input)).await;
        });
    }
}

fn tell_report(message: &AgentMessage) {
    match message {
        AgentMessage::Report(report) => {
            log::info!(worker:% = report.incarnation.id, born = report.incarnation.started_ms, state:? = report.state;
                "worker reported");
        }
        AgentMessage::Listed {
            incarnation: life,
            running,
            ended,
        } => {
            log::info!(worker:% = life.id, running = running.len(), ended = ended.len();
                "worker listed");
        }
        AgentMessage::Refused { run, reason } => {
            log::warn!(task:% = run.task, run = run.run, reason:? = reason; "run did not start");
        }
        AgentMessage::Missing(run) => {
            log::warn!(task:% = run.task, run = run.run; "run is gone without an end");
        }
        AgentMessage::Ended { ended, .. } => {
            for end in ended {
                log::info!(task:% = end.run.task, run = end.run.run, how:? = end.reason,
                    number = end.sequence; "run ended");
            }
        }
        AgentMessage::Unresponsive(true) => log::warn!("worker does not answer"),
        AgentMessage::Unresponsive(false) => log::info!("worker answers again"),
        AgentMessage::LeasesExpired => log::warn!("worker is silent: its leases have run out"),
        AgentMessage::Measurements(_) | AgentMessage::Ping { .. } => {}
    }
}

#[cfg(test)]
mod tests;
