//! The duty that knows the endpoints and chooses one for each request.
//!
//! News of endpoints comes through a bounded ring to the duty's thread. Requests
//! choose from the same state in place, under its lock, so that no request waits
//! for another thread to wake up; the lock is held for one choice or one input.

mod actor;
mod route;

use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Sender, bounded};
use parsleytally::idempotency::KeyHash;
use parsleytally::membership::{Announcement, Heartbeat};
use parsleytally::routing::{EndpointId, Outcome};
use parsleytally::settings::Part;
use parsleytally::types::{NodeName, Revision, ServiceKey};
use parsleytally_link::{Calls, Hello};
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use actor::DirectoryActor;
pub(crate) use route::Route;

/// Inputs that wait for the duty; a full ring holds links back.
const INPUT_CAPACITY: usize = 4_096;

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
    /// The duty has ended.
    #[snafu(display("entry is shutting down"))]
    Closed,
}

/// One worker as operators see it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct WorkerView {
    pub(crate) worker: NodeName,
    pub(crate) zone: String,
    pub(crate) rack: String,
    pub(crate) service: String,
    pub(crate) state: String,
    pub(crate) busy: u32,
    pub(crate) slots: u32,
    pub(crate) capacity: String,
    pub(crate) settings: u64,
}

pub(crate) enum Input {
    /// An agent announced its endpoint on a new link.
    Announced(Arc<Calls>, Announcement),
    /// An agent's sign of life.
    Heartbeat(Heartbeat),
    /// An agent has these settings in force.
    InForce(Arc<Calls>, Revision),
    /// A link was closed.
    LinkClosed(Arc<Calls>),
    /// Settings that came into force here, to be passed to the agents.
    Settings(Vec<Part>),
    /// Operators ask for the workers.
    List(oneshot::Sender<Vec<WorkerView>>),
    Close,
}

/// The agent that owns a key, and those that must be fenced before it runs.
pub(crate) struct KeyOwner {
    pub(crate) route: Route,
    pub(crate) to_fence: Vec<Arc<Calls>>,
}

/// Passes inputs to the duty, and chooses endpoints from its state in place.
#[derive(Clone)]
pub(crate) struct DirectoryHandle {
    inputs: Sender<Input>,
    actor: Weak<Mutex<DirectoryActor>>,
}

impl DirectoryHandle {
    /// A ring whose duty has ended.
    #[cfg(test)]
    pub(crate) fn detached() -> Self {
        Self {
            inputs: bounded(1).0,
            actor: Weak::new(),
        }
    }

    /// Passes `input` on and waits while the ring is full.
    pub(crate) fn send(&self, input: Input) {
        if self.inputs.send(input).is_err() {
            log::debug!("directory has ended");
        }
    }

    /// Chooses an endpoint of `service` other than those that refused the request.
    pub(crate) fn pick(
        &self,
        service: &ServiceKey,
        refused: &[EndpointId],
    ) -> Result<Route, PickError> {
        self.with(|actor| actor.pick(service, refused))
            .unwrap_or(Err(PickError::Closed))
    }

    /// Chooses the owner of `key`.
    pub(crate) fn pick_owner(
        &self,
        service: &ServiceKey,
        key: KeyHash,
    ) -> Result<KeyOwner, PickError> {
        self.with(|actor| actor.pick_owner(service, key))
            .unwrap_or(Err(PickError::Closed))
    }

    /// Notes that a request to a chosen endpoint has ended.
    fn done(&self, endpoint: EndpointId, outcome: Outcome) {
        self.with(|actor| actor.done(endpoint, outcome));
    }

    fn with<T>(&self, use_actor: impl FnOnce(&mut DirectoryActor) -> T) -> Option<T> {
        let actor = self.actor.upgrade()?;
        let mut actor = actor.lock().unwrap_or_else(PoisonError::into_inner);
        Some(use_actor(&mut actor))
    }

    /// The workers as operators see them.
    pub(crate) async fn workers(&self) -> Vec<WorkerView> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::List(sender));
        receiver.await.unwrap_or_default()
    }
}

/// The duty and its ring.
pub(crate) struct Directory {
    handle: DirectoryHandle,
    thread: thread::JoinHandle<()>,
}

impl Directory {
    /// Starts the duty of the entry that says `hello`.
    pub(crate) fn start(hello: &Hello, ttl: Duration, metrics: Metrics) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_CAPACITY);
        let actor = Arc::new_cyclic(|actor| {
            let inputs = inputs.clone();
            let actor = actor.clone();
            let handle = DirectoryHandle { inputs, actor };
            Mutex::new(DirectoryActor::new(hello, handle, ttl, metrics))
        });
        let handle = DirectoryHandle {
            inputs,
            actor: Arc::downgrade(&actor),
        };
        let thread = thread::Builder::new()
            .name("directory".to_owned())
            .spawn(move || actor::run(&actor, &receiver))?;
        Ok(Self { handle, thread })
    }

    pub(crate) fn handle(&self) -> DirectoryHandle {
        self.handle.clone()
    }

    /// Ends the actor.
    pub(crate) fn close(self) {
        self.handle.send(Input::Close);
        let _ = self.thread.join();
    }
}
