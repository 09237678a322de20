//! The actor that tracks the endpoints and chooses one for each request.
//!
//! Updates about endpoints reach the actor's thread through a bounded channel.
//! Requests choose on their own thread, under the lock of the actor's state, so that
//! no request waits for another thread to wake up; the lock is held for one choice
//! or one input.

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

/// Capacity of the actor's channel; links wait while it is full.
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
    /// An agent that may have run the idempotency key was lost.
    #[snafu(display("an endpoint that may have run this idempotency key was lost"))]
    AgentLost {
        /// Time until the lost agent would have forgotten the key.
        retry_after: Duration,
    },
    /// The actor has stopped.
    #[snafu(display("entry is shutting down"))]
    Closed,
}

/// One worker as the operators' API shows it.
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

/// An input of the directory's actor.
pub(crate) enum Input {
    /// An agent announced its endpoint on a new link.
    Announced(Arc<Calls>, Announcement),
    /// An agent sent a heartbeat.
    Heartbeat(Heartbeat),
    /// An agent reported the revision of its settings in force.
    InForce(Arc<Calls>, Revision),
    /// A link was closed.
    LinkClosed(Arc<Calls>),
    /// Settings came into force here; send them to the agents.
    Settings(Vec<Part>),
    /// List the workers.
    List(oneshot::Sender<Vec<WorkerView>>),
    /// Stop the actor.
    Close,
}

/// The agent that owns an idempotency key, and the agents to fence before the key runs there.
pub(crate) struct KeyOwner {
    pub(crate) route: Route,
    pub(crate) to_fence: Vec<Arc<Calls>>,
}

/// Sends inputs to the actor, and chooses endpoints on the caller's thread.
#[derive(Clone)]
pub(crate) struct DirectoryHandle {
    inputs: Sender<Input>,
    actor: Weak<Mutex<DirectoryActor>>,
}

impl DirectoryHandle {
    /// A handle whose actor has stopped.
    #[cfg(test)]
    pub(crate) fn detached() -> Self {
        Self {
            inputs: bounded(1).0,
            actor: Weak::new(),
        }
    }

    /// Sends `input` and blocks while the channel is full.
    pub(crate) fn send(&self, input: Input) {
        if self.inputs.send(input).is_err() {
            log::debug!("input is dropped: directory has stopped");
        }
    }

    /// Chooses an endpoint of `service`, except those in `refused`.
    pub(crate) fn pick(
        &self,
        service: &ServiceKey,
        refused: &[EndpointId],
    ) -> Result<Route, PickError> {
        self.with_actor(|actor| actor.pick(service, refused))
            .unwrap_or(Err(PickError::Closed))
    }

    /// Chooses the owner of the idempotency key `key`.
    pub(crate) fn pick_owner(
        &self,
        service: &ServiceKey,
        key: KeyHash,
    ) -> Result<KeyOwner, PickError> {
        self.with_actor(|actor| actor.pick_owner(service, key))
            .unwrap_or(Err(PickError::Closed))
    }

    /// Reports the outcome of a request to a chosen endpoint.
    fn done(&self, endpoint: EndpointId, outcome: Outcome) {
        self.with_actor(|actor| actor.done(endpoint, outcome));
    }

    fn with_actor<T>(&self, operation: impl FnOnce(&mut DirectoryActor) -> T) -> Option<T> {
        let actor = self.actor.upgrade()?;
        let mut actor = actor.lock().unwrap_or_else(PoisonError::into_inner);
        Some(operation(&mut actor))
    }

    /// The workers as the operators' API shows them.
    pub(crate) async fn workers(&self) -> Vec<WorkerView> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::List(sender));
        receiver.await.unwrap_or_default()
    }
}

/// The running actor.
pub(crate) struct Directory {
    handle: DirectoryHandle,
    thread: thread::JoinHandle<()>,
}

impl Directory {
    /// Starts the actor of the entry that `hello` describes.
    pub(crate) fn start(hello: &Hello, ttl: Duration, metrics: Metrics) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_CAPACITY);
        let actor = Arc::new_cyclic(|weak| {
            let inputs = inputs.clone();
            let actor = weak.clone();
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

    /// Stops the actor and waits for its thread.
    pub(crate) fn close(self) {
        self.handle.send(Input::Close);
        let _ = self.thread.join();
    }
}
