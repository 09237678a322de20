//! The duty that knows the endpoints and chooses one for each request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use parsleytally::once::{Change, KeyHash, NoOwner, Owners};
use parsleytally::types::{NodeName, Revision, ServiceKey};
use parsleytally_link::{Announcement, Calls, Frame, Heartbeat, SettingsNotice};
use parsleytally_platform::process::Clock;
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
    /// An endpoint that may have run the idempotency key is gone.
    #[snafu(display("an endpoint that may have run this idempotency key is gone"))]
    KeyLost {
        /// When the key counts as forgotten.
        retry_after: Duration,
    },
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
    /// A request looks for an endpoint other than those that refused it.
    Pick(
        ServiceKey,
        Vec<NodeName>,
        oneshot::Sender<Result<Arc<Calls>, PickError>>,
    ),
    /// A keyed request looks for the owner of its key.
    PickOwner(
        ServiceKey,
        KeyHash,
        oneshot::Sender<Result<Owner, PickError>>,
    ),
    /// Settings in force here, to be told to the agents.
    Settings(Revision),
    /// Operators ask for the workers.
    List(oneshot::Sender<Vec<WorkerView>>),
    Close,
}

/// The agent that owns a key, and those that must be fenced before it runs.
pub(crate) struct Owner {
    pub(crate) calls: Arc<Calls>,
    pub(crate) fences: Vec<Arc<Calls>>,
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
    pub(crate) async fn pick(
        &self,
        service: &ServiceKey,
        refused: Vec<NodeName>,
    ) -> Result<Arc<Calls>, PickError> {
        self.ask(|reply| Input::Pick(service.clone(), refused, reply))
            .await
    }

    /// Chooses the owner of `key`.
    pub(crate) async fn pick_owner(
        &self,
        service: &ServiceKey,
        key: KeyHash,
    ) -> Result<Owner, PickError> {
        self.ask(|reply| Input::PickOwner(service.clone(), key, reply))
            .await
    }

    async fn ask<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<Result<T, PickError>>) -> Input,
    ) -> Result<T, PickError> {
        let (sender, receiver) = oneshot::channel();
        match self.0.try_send(input(sender)) {
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
    pub(crate) fn start(ttl: Duration, metrics: Metrics) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_RING);
        let mut duty = Duty {
            workers: BTreeMap::new(),
            owners: BTreeMap::new(),
            ttl,
            clock: Clock::start(),
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
    owners: BTreeMap<ServiceKey, Owners>,
    ttl: Duration,
    clock: Clock,
    revision: Revision,
    metrics: Metrics,
}

impl Duty {
    fn run(&mut self, inputs: &Receiver<Input>) {
        for input in inputs {
            match input {
                Input::Up(calls, offer) => self.up(calls, offer),
                Input::Beat(calls, beat) => self.beat(&calls, beat),
                Input::InForce(calls, revision) => {
                    self.update(&calls, |worker| {
                        worker.revision = worker.revision.max(revision);
                    });
                }
                Input::Down(calls) => self.down(&calls),
                Input::Pick(service, refused, reply) => {
                    let _ = reply.send(self.pick(&service, &refused));
                }
                Input::PickOwner(service, key, reply) => {
                    let _ = reply.send(self.pick_owner(&service, key));
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
        let joined = Change::Joined {
            node: name.clone(),
            incarnation: peer.incarnation,
            age: Duration::ZERO,
        };
        self.change(&offer.service, joined);
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
            let worker = self.workers.remove(name);
            log::info!("worker {name} is gone");
            if let Some(worker) = worker {
                let node = name.clone();
                self.change(&worker.offer.service, Change::Gone { node });
            }
        }
        self.count();
    }

    fn beat(&mut self, calls: &Arc<Calls>, beat: Heartbeat) {
        let mut left = None;
        self.update(calls, |worker| {
            if beat.leaving && !worker.beat.leaving {
                left = Some(worker.offer.service.clone());
            }
            worker.beat = beat;
        });
        if let Some(service) = left {
            let node = calls.link().peer().node.clone();
            self.change(&service, Change::Leaving { node });
        }
    }

    /// Tells a service's owners of keys about a change.
    fn change(&mut self, service: &ServiceKey, change: Change) {
        let ttl = self.ttl;
        let owners = self
            .owners
            .entry(service.clone())
            .or_insert_with(|| Owners::new(ttl));
        owners.step(self.clock.now(), change);
    }

    fn pick_owner(&mut self, service: &ServiceKey, key: KeyHash) -> Result<Owner, PickError> {
        let Some(owners) = self.owners.get_mut(service) else {
            return Err(PickError::UnknownService);
        };
        let route = owners
            .route(self.clock.now(), key)
            .map_err(|error| match error {
                NoOwner::Empty => PickError::NoneReady,
                NoOwner::Lost { retry_after } => PickError::KeyLost { retry_after },
            })?;
        let calls = |node: &NodeName| {
            let worker = self.workers.get(node);
            worker.map(|worker| worker.calls.clone())
        };
        let fences = route.fences.iter().map(calls).collect::<Option<_>>();
        Ok(Owner {
            calls: calls(&route.owner).ok_or(PickError::NoneReady)?,
            fences: fences.ok_or(PickError::NoneReady)?,
        })
    }

    fn pick(&self, service: &ServiceKey, refused: &[NodeName]) -> Result<Arc<Calls>, PickError> {
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
            .min_by_key(|worker| {
                let has_refused = refused.contains(&worker.calls.link().peer().node);
                (has_refused, worker.calls.in_flight())
            })
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
