//! The actor that runs batch tasks under leases, within the capacity of the worker.
//!
//! Its thread steps the library's lease agent and carries out the effects on the worker.
//! Orders of owners arrive through a bounded channel. The reports of a shard go to the
//! entry whose order had the highest epoch for it, or to all entries while the link to
//! that entry is closed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use parsleytally::leases::{
    Agent, AgentConfig, Command, Event, Input as LeaseInput, Order, Output, RunState,
};
use parsleytally::types::{Epoch, Incarnation, NodeName, ShardId, Time};
use parsleytally_link::{Frame, Link, RunHeartbeat};
use parsleytally_platform::worker::{WorkerControl, WorkerError};

use crate::metrics::Metrics;

/// Capacity of the channel to the actor. A full channel drops orders, which their owners
/// repeat.
const CHANNEL_CAPACITY: usize = 4_096;
/// Longest time between two reports of all runs to their owners.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two polls of the worker.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

enum Input {
    /// An order of an owner and the link that it arrived on.
    Order(Order, Link),
    /// A link to an entry was opened.
    LinkOpened(Link),
    /// The link to this entry was closed.
    LinkClosed(NodeName),
    Close,
}

/// Handle of the actor's thread and channel.
#[derive(Debug)]
pub(crate) struct RunsHandle {
    inputs: Sender<Input>,
    thread: thread::JoinHandle<()>,
}

/// Sends orders and link changes to the actor.
#[derive(Clone)]
pub(crate) struct RunsSender(Sender<Input>);

impl RunsSender {
    /// Sends an order that arrived on `link`.
    pub(crate) fn order(&self, order: Order, link: &Link) {
        if self.0.try_send(Input::Order(order, link.clone())).is_err() {
            log::debug!("dropped an order: the channel of the runs actor is full");
        }
    }

    /// Reports that `link` was opened.
    pub(crate) fn link_opened(&self, link: &Link) {
        let _ = self.0.try_send(Input::LinkOpened(link.clone()));
    }

    /// Reports that the link to `entry` was closed.
    pub(crate) fn link_closed(&self, entry: &NodeName) {
        let _ = self.0.try_send(Input::LinkClosed(entry.clone()));
    }
}

impl RunsHandle {
    /// Starts the actor, which attaches `worker` to this incarnation of the agent.
    pub(crate) fn start(
        config: AgentConfig,
        incarnation: Incarnation,
        worker: Arc<dyn WorkerControl>,
        metrics: Metrics,
    ) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(CHANNEL_CAPACITY);
        let thread = thread::Builder::new()
            .name("runs".to_owned())
            .spawn(move || {
                let inventory = match worker.attach(incarnation) {
                    Ok(inventory) => inventory,
                    Err(error) => return log::error!("could not attach to the worker: {error}"),
                };
                // Read after `attach`: the worker refuses every earlier incarnation by then.
                let started_at = worker.now();
                let mut actor = RunsActor {
                    agent: Agent::new(config, incarnation, started_at),
                    worker,
                    routes: BTreeMap::new(),
                    links: BTreeMap::new(),
                    metrics,
                    last_report: started_at,
                    exited: false,
                };
                actor.step(LeaseInput::Inventory(inventory));
                actor.run(&receiver);
            })?;
        Ok(Self { inputs, thread })
    }

    pub(crate) fn sender(&self) -> RunsSender {
        RunsSender(self.inputs.clone())
    }

    /// Stops the actor; runs continue until their leases expire.
    pub(crate) fn close(self) {
        let _ = self.inputs.send(Input::Close);
        let _ = self.thread.join();
    }
}

/// Destination of the reports of a shard.
struct Route {
    epoch: Epoch,
    link: Link,
}

struct RunsActor {
    agent: Agent,
    worker: Arc<dyn WorkerControl>,
    routes: BTreeMap<ShardId, Route>,
    links: BTreeMap<NodeName, Link>,
    metrics: Metrics,
    last_report: Time,
    /// Whether a later incarnation of the agent has taken over the worker.
    exited: bool,
}

impl RunsActor {
    fn run(&mut self, inputs: &Receiver<Input>) {
        while !self.exited {
            match inputs.recv_timeout(self.next_wait()) {
                Ok(Input::Order(order, link)) => self.handle_order(order, link),
                Ok(Input::LinkOpened(link)) => {
                    self.links.insert(link.peer().node.clone(), link);
                    self.report();
                }
                Ok(Input::LinkClosed(entry)) => {
                    if self.links.get(&entry).is_some_and(Link::is_closed) {
                        self.links.remove(&entry);
                    }
                }
                Ok(Input::Close) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.poll();
        }
    }

    fn next_wait(&self) -> Duration {
        let deadline = self.agent.next_deadline();
        deadline.map_or(POLL_INTERVAL, |deadline| {
            deadline.since(self.worker.now()).min(POLL_INTERVAL)
        })
    }

    fn handle_order(&mut self, order: Order, link: Link) {
        let epoch = order.epoch;
        let is_replaceable = |route: &Route| route.epoch <= epoch;
        if self.routes.get(&order.shard).is_none_or(is_replaceable) {
            self.routes.insert(order.shard, Route { epoch, link });
        }
        self.step(LeaseInput::Order(order));
    }

    fn poll(&mut self) {
        match self.worker.poll(self.agent.incarnation()) {
            Ok(events) => {
                for event in events {
                    self.count_event(&event);
                    self.step(LeaseInput::Worker(event));
                }
            }
            Err(error) => self.handle_error(&error),
        }
        let now = self.worker.now();
        let due = self
            .agent
            .next_deadline()
            .is_some_and(|deadline| deadline <= now);
        if due || now.since(self.last_report) >= REPORT_INTERVAL {
            self.report();
        }
    }

    fn report(&mut self) {
        self.last_report = self.worker.now();
        let heartbeat = RunHeartbeat {
            incarnation: self.agent.incarnation(),
            sent: self.last_report,
        };
        for link in self.links.values() {
            let _ = link.send(Frame::RunHeartbeat(heartbeat));
        }
        self.step(LeaseInput::Tick);
    }

    fn step(&mut self, input: LeaseInput) {
        let mut out = Vec::new();
        self.agent.step(self.worker.now(), input, &mut out);
        for output in out {
            match output {
                Output::Worker(command) => self.execute(command),
                Output::Report(report) => {
                    let frame = Frame::Report(report.clone());
                    let route = self.routes.get(&report.shard);
                    match route.filter(|route| !route.link.is_closed()) {
                        Some(route) => drop(route.link.send(frame)),
                        None => self.broadcast(&frame),
                    }
                }
                Output::Ignored(reason) => {
                    log::debug!("ignored an order: {reason:?}");
                    self.metrics.runs.with_label_values(&["ignored"]).inc();
                }
                Output::Exit => self.exited = true,
            }
        }
    }

    fn broadcast(&self, frame: &Frame) {
        for link in self.links.values() {
            let _ = link.send(frame.clone());
        }
    }

    fn execute(&mut self, command: Command) {
        if matches!(command, Command::Stop { .. }) {
            self.metrics.runs.with_label_values(&["stop"]).inc();
        }
        if let Err(error) = self.worker.call(self.agent.incarnation(), command) {
            self.handle_error(&error);
        }
    }

    fn handle_error(&mut self, error: &WorkerError) {
        match error {
            WorkerError::Superseded { .. } => {
                log::error!("stopped managing the runs of this worker: {error}");
                self.step(LeaseInput::Worker(Event::Superseded));
            }
            // The lease agent repeats stops at every tick; owners repeat starts.
            WorkerError::Silent { .. } => log::debug!("{error}"),
        }
    }

    fn count_event(&self, event: &Event) {
        let label = match event {
            Event::Started { .. } => "started",
            Event::Saved { .. } => "saved",
            Event::Ended { state, .. } => match state {
                RunState::Finished => "finished",
                RunState::Failed { .. } => "failed",
                _ => "stopped",
            },
            Event::Superseded => "superseded",
        };
        self.metrics.runs.with_label_values(&[label]).inc();
    }
}
