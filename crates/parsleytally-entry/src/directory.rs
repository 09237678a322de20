//! The duty that knows the endpoints and chooses one for each request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use parsleytally::types::{NodeName, Revision, ServiceKey};
use parsleytally_link::{Announcement, Calls, Frame, Heartbeat, SettingsNotice};
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::oneshot;

use crate::metrics::Metrics;

/// Inputs that wait for the duty; a full ring refuses requests and holds links back.
const INPUT_RING: usize = 4_096;

/// Why no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum PickError {
    /// No endpoint has announced this service.
    #[snafu(display("service is not known"))]
    UnknownService,
    /// No endpoint of the service takes new work.
    #[snafu(display("no endpoint of the service takes new work"))]
    NoneReady,
    /// The ring of the duty is full.
    #[snafu(display("entry is overloaded"))]
    Overloaded,
}

/// One worker as operators see it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct WorkerView {
    pub(crate) worker: NodeName,
    pub(crate) zone: String,
    pub(crate) rack: String,
    pub(crate) service: String,
    pub(crate) state: &'static str,
    pub(crate) busy: u32,
    pub(crate) slots: u32,
    pub(crate) capacity: String,
    pub(crate) settings: u64,
}

pub(crate) enum Input {
    /// An agent announced its endpoint on a new link.
    Up(Arc<Calls>, Announcement),
    /// An agent's sign of life.
    Beat(Arc<Calls>, Heartbeat),
    /// An agent has these settings in force.
    InForce(Arc<Calls>, Revision),
    /// A link is gone.
    Down(Arc<Calls>),
    /// A request looks for an endpoint.
    Pick(ServiceKey, oneshot::Sender<Result<Arc<Calls>, PickError>>),
    /// Settings in force here, to be told to the agents.
    Settings(Revision),
    /// Operators ask for the workers.
    List(oneshot::Sender<Vec<WorkerView>>),
    Close,
}

/// Passes inputs to the duty.
#[derive(Clone)]
pub(crate) struct DirectoryRing(Sender<Input>);

impl DirectoryRing {
    /// Passes `input` on and waits while the ring is full.
    pub(crate) fn send(&self, input: Input) {
        if self.0.send(input).is_err() {
            log::debug!("directory has ended");
        }
    }

    /// Chooses an endpoint of `service`.
    pub(crate) async fn pick(&self, service: &ServiceKey) -> Result<Arc<Calls>, PickError> {
        let (sender, receiver) = oneshot::channel();
        match self.0.try_send(Input::Pick(service.clone(), sender)) {
            Ok(()) => receiver.await.unwrap_or(Err(PickError::Overloaded)),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                Err(PickError::Overloaded)
            }
        }
    }

    /// The workers as operators see them.
    pub(crate) async fn workers(&self) -> Vec<WorkerView> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::List(sender));
        receiver.await.unwrap_or_default()
    }
}

/// The duty and its ring.
#[derive(Debug)]
pub(crate) struct Directory {
    inputs: Sender<Input>,
    thread: thread::JoinHandle<()>,
}

impl Directory {
    pub(crate) fn start(metrics: Metrics) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_RING);
        let mut duty = Duty {
            workers: BTreeMap::new(),
            revision: Revision(0),
            metrics,
        };
        let thread = thread::Builder::new()
            .name("directory".to_owned())
            .spawn(move || duty.run(&receiver))?;
        Ok(Self { inputs, thread })
    }

    pub(crate) fn ring(&self) -> DirectoryRing {
        DirectoryRing(self.inputs.clone())
    }

    /// Ends the duty.
    pub(crate) fn close(self) {
        let _ = self.inputs.send(Input::Close);
        let _ = self.thread.join();
    }
}

struct Worker {
    calls: Arc<Calls>,
    offer: Announcement,
    beat: Heartbeat,
    revision: Revision,
}

struct Duty {
    workers: BTreeMap<NodeName, Worker>,
    revision: Revision,
    metrics: Metrics,
}

impl Duty {
    fn run(&mut self, inputs: &Receiver<Input>) {
        for input in inputs {
            match input {
                Input::Up(calls, offer) => self.up(calls, offer),
                Input::Beat(calls, beat) => self.update(&calls, |worker| worker.beat = beat),
                Input::InForce(calls, revision) => {
                    self.update(&calls, |worker| {
                        worker.revision = worker.revision.max(revision);
                    });
                }
                Input::Down(calls) => self.down(&calls),
                Input::Pick(service, reply) => {
                    let _ = reply.send(self.pick(&service));
                }
                Input::Settings(revision) => self.tell(revision),
                Input::List(reply) => {
                    let _ = reply.send(self.workers.values().map(view).collect());
                }
                Input::Close => return,
            }
        }
    }

    fn up(&mut self, calls: Arc<Calls>, offer: Announcement) {
        let peer = calls.link().peer();
        let name = peer.node.clone();
        if let Some(old) = self.workers.get(&name)
            && old.calls.link().peer().incarnation > peer.incarnation
        {
            return;
        }
        log::info!("worker {name} announced service {}", offer.service);
        notify(&calls, self.revision);
        let worker = Worker {
            calls,
            offer,
            beat: Heartbeat::default(),
            revision: Revision(0),
        };
        self.workers.insert(name, worker);
        self.count();
    }

    fn update(&mut self, calls: &Arc<Calls>, change: impl FnOnce(&mut Worker)) {
        let worker = self.workers.get_mut(&calls.link().peer().node);
        if let Some(worker) = worker.filter(|worker| Arc::ptr_eq(&worker.calls, calls)) {
            change(worker);
        }
    }

    fn down(&mut self, calls: &Arc<Calls>) {
        let name = &calls.link().peer().node;
        let known = self.workers.get(name);
        if known.is_some_and(|worker| Arc::ptr_eq(&worker.calls, calls)) {
            self.workers.remove(name);
            log::info!("worker {name} is gone");
        }
        self.count();
    }

    fn pick(&self, service: &ServiceKey) -> Result<Arc<Calls>, PickError> {
        let mut of_service = self
            .workers
            .values()
            .filter(|worker| worker.offer.service == *service)
            .peekable();
        if of_service.peek().is_none() {
            return Err(PickError::UnknownService);
        }
        of_service
            .filter(|worker| is_ready(worker))
            .min_by_key(|worker| worker.calls.in_flight())
            .map(|worker| worker.calls.clone())
            .ok_or(PickError::NoneReady)
    }

    fn tell(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        for worker in self.workers.values() {
            notify(&worker.calls, self.revision);
        }
    }

    fn count(&self) {
        let count = i64::try_from(self.workers.len()).unwrap_or(i64::MAX);
        self.metrics.endpoints.set(count);
    }
}

fn is_ready(worker: &Worker) -> bool {
    !worker.beat.leaving && !worker.calls.link().is_closed()
}

fn notify(calls: &Calls, revision: Revision) {
    let notice = Frame::Settings(SettingsNotice { revision });
    if let Err(error) = calls.link().send(notice) {
        log::debug!("notice of settings was not sent: {error}");
    }
}

fn view(worker: &Worker) -> WorkerView {
    let peer = worker.calls.link().peer();
    WorkerView {
        worker: peer.node.clone(),
        zone: peer.zone.to_string(),
        rack: worker.offer.rack.to_string(),
        service: worker.offer.service.to_string(),
        state: if worker.beat.leaving {
            "leaving"
        } else {
            "ready"
        },
        busy: worker.beat.busy,
        slots: worker.offer.slots,
        capacity: worker.offer.capacity.to_string(),
        settings: worker.revision.0,
    }
}
