//! The duty that runs batch tasks under leases, within what the worker has.
//!
//! A thread drives the library's agent over the worker's control: orders of
//! owners come through a bounded ring, reports go to the entry whose order had
//! the highest epoch for the shard, and to every entry while that one has no link.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use parsleytally::leases::{
    Agent, AgentConfig, Command, Event, Input as Lease, Order, Output, RunState,
};
use parsleytally::types::{Epoch, Incarnation, NodeName, ShardId, Time};
use parsleytally_link::{Frame, Link, RunBeat};
use parsleytally_platform::worker::{WorkerControl, WorkerError};

use crate::metrics::Metrics;

/// Inputs that wait for the duty; a full ring drops orders, which owners repeat.
const INPUT_RING: usize = 4_096;
/// Time between two reports of all runs.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two polls of the worker.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

enum Input {
    Order(Order, Link),
    Up(Link),
    Down(NodeName),
    Close,
}

/// The duty and its ring.
#[derive(Debug)]
pub(crate) struct Runs {
    inputs: Sender<Input>,
    thread: thread::JoinHandle<()>,
}

/// Passes orders and news of links to the duty.
#[derive(Clone)]
pub(crate) struct RunsRing(Sender<Input>);

impl RunsRing {
    /// Passes `order` on; its reports go to `link`.
    pub(crate) fn order(&self, order: Order, link: &Link) {
        if self.0.try_send(Input::Order(order, link.clone())).is_err() {
            log::debug!("order is dropped: the ring of runs is full");
        }
    }

    /// Tells that `link` is open.
    pub(crate) fn up(&self, link: &Link) {
        let _ = self.0.try_send(Input::Up(link.clone()));
    }

    /// Tells that the link to `entry` is closed.
    pub(crate) fn down(&self, entry: &NodeName) {
        let _ = self.0.try_send(Input::Down(entry.clone()));
    }
}

impl Runs {
    /// Takes `worker` over for `life` of the agent.
    pub(crate) fn start(
        config: AgentConfig,
        life: Incarnation,
        worker: Arc<dyn WorkerControl>,
        metrics: Metrics,
    ) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_RING);
        let thread = thread::Builder::new()
            .name("runs".to_owned())
            .spawn(move || {
                let found = match worker.attach(life) {
                    Ok(found) => found,
                    Err(error) => return log::error!("worker is not taken over: {error}"),
                };
                // Read after `attach`, so that every earlier life was fenced by then.
                let boot = worker.now();
                let mut duty = Duty {
                    agent: Agent::new(config, life, boot),
                    worker,
                    routes: BTreeMap::new(),
                    links: BTreeMap::new(),
                    metrics,
                    reported: boot,
                    ended: false,
                };
                duty.step(Lease::Inventory(found));
                duty.run(&receiver);
            })?;
        Ok(Self { inputs, thread })
    }

    pub(crate) fn ring(&self) -> RunsRing {
        RunsRing(self.inputs.clone())
    }

    /// Ends the duty; runs go on until their leases end.
    pub(crate) fn close(self) {
        let _ = self.inputs.send(Input::Close);
        let _ = self.thread.join();
    }
}

struct Route {
    epoch: Epoch,
    link: Link,
}

struct Duty {
    agent: Agent,
    worker: Arc<dyn WorkerControl>,
    routes: BTreeMap<ShardId, Route>,
    links: BTreeMap<NodeName, Link>,
    metrics: Metrics,
    reported: Time,
    ended: bool,
}

impl Duty {
    fn run(&mut self, inputs: &Receiver<Input>) {
        while !self.ended {
            match inputs.recv_timeout(self.wait()) {
                Ok(Input::Order(order, link)) => self.order(order, link),
                Ok(Input::Up(link)) => {
                    self.links.insert(link.peer().node.clone(), link);
                    self.report();
                }
                Ok(Input::Down(entry)) => {
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

    fn wait(&self) -> Duration {
        let wake = self.agent.next_deadline();
        wake.map_or(POLL_INTERVAL, |wake| {
            wake.since(self.worker.now()).min(POLL_INTERVAL)
        })
    }

    fn order(&mut self, order: Order, link: Link) {
        let epoch = order.epoch;
        let newer = |route: &Route| route.epoch <= epoch;
        if self.routes.get(&order.shard).is_none_or(newer) {
            self.routes.insert(order.shard, Route { epoch, link });
        }
        self.step(Lease::Order(order));
    }

    fn poll(&mut self) {
        match self.worker.poll(self.agent.incarnation()) {
            Ok(events) => {
                for event in events {
                    self.count(&event);
                    self.step(Lease::Worker(event));
                }
            }
            Err(error) => self.failed(&error),
        }
        let now = self.worker.now();
        let due = self.agent.next_deadline().is_some_and(|wake| wake <= now);
        if due || now.since(self.reported) >= REPORT_INTERVAL {
            self.report();
        }
    }

    fn report(&mut self) {
        self.reported = self.worker.now();
        let beat = RunBeat {
            life: self.agent.incarnation(),
            sent: self.reported,
        };
        for link in self.links.values() {
            let _ = link.send(Frame::RunBeat(beat));
        }
        self.step(Lease::Tick);
    }

    fn step(&mut self, input: Lease) {
        let mut out = Vec::new();
        self.agent.step(self.worker.now(), input, &mut out);
        for output in out {
            match output {
                Output::Worker(command) => self.command(command),
                Output::Report(report) => {
                    let frame = Frame::Report(report.clone());
                    let route = self.routes.get(&report.shard);
                    match route.filter(|route| !route.link.is_closed()) {
                        Some(route) => drop(route.link.send(frame)),
                        None => self.broadcast(&frame),
                    }
                }
                Output::Ignored(reason) => {
                    log::debug!("order is ignored: {reason:?}");
                    self.metrics.runs.with_label_values(&["ignored"]).inc();
                }
                Output::Exit => self.ended = true,
            }
        }
    }

    fn broadcast(&self, frame: &Frame) {
        for link in self.links.values() {
            let _ = link.send(frame.clone());
        }
    }

    fn command(&mut self, command: Command) {
        if matches!(command, Command::Stop { .. }) {
            self.metrics.runs.with_label_values(&["stop"]).inc();
        }
        if let Err(error) = self.worker.call(self.agent.incarnation(), command) {
            self.failed(&error);
        }
    }

    fn failed(&mut self, error: &WorkerError) {
        match error {
            WorkerError::Superseded { .. } => {
                log::error!("runs have ended here: {error}");
                self.step(Lease::Worker(Event::Superseded));
            }
            // Stops are repeated by every tick, starts by their owner.
            WorkerError::Silent { .. } => log::debug!("{error}"),
        }
    }

    fn count(&self, event: &Event) {
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
