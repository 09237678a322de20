//! The duty that knows the endpoints and chooses one for each request.

mod duty;
mod route;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Sender, TrySendError, bounded};
use parsleytally::membership::{Announcement, Heartbeat};
use parsleytally::once::KeyHash;
use parsleytally::routing::{EndpointId, Outcome};
use parsleytally::settings::Part;
use parsleytally::types::{NodeName, Revision, ServiceKey};
use parsleytally_link::{Calls, Hello};
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use duty::Duty;
pub(crate) use route::Route;

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
    pub(crate) state: String,
    pub(crate) busy: u32,
    pub(crate) slots: u32,
    pub(crate) capacity: String,
    pub(crate) settings: u64,
}

pub(crate) enum Input {
    /// An agent announced its endpoint on a new link.
    Up(Arc<Calls>, Announcement),
    /// An agent's sign of life.
    Beat(Heartbeat),
    /// An agent has these settings in force.
    InForce(Arc<Calls>, Revision),
    /// A link is gone.
    Down(Arc<Calls>),
    /// A request looks for an endpoint other than those that refused it.
    Pick(
        ServiceKey,
        Vec<EndpointId>,
        oneshot::Sender<Result<Route, PickError>>,
    ),
    /// A request to a chosen endpoint has ended.
    Done(EndpointId, Outcome),
    /// A keyed request looks for the owner of its key.
    PickOwner(
        ServiceKey,
        KeyHash,
        oneshot::Sender<Result<Owner, PickError>>,
    ),
    /// Settings that came into force here, to be passed to the agents.
    Settings(Vec<Part>),
    /// Operators ask for the workers.
    List(oneshot::Sender<Vec<WorkerView>>),
    Close,
}

/// The agent that owns a key, and those that must be fenced before it runs.
pub(crate) struct Owner {
    pub(crate) route: Route,
    pub(crate) fences: Vec<Arc<Calls>>,
}

/// Passes inputs to the duty.
#[derive(Clone)]
pub(crate) struct DirectoryRing(Sender<Input>);

impl DirectoryRing {
    /// A ring whose duty has ended.
    #[cfg(test)]
    pub(crate) fn detached() -> Self {
        Self(bounded(1).0)
    }

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
        refused: Vec<EndpointId>,
    ) -> Result<Route, PickError> {
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
    /// Starts the duty of the entry that says `hello`.
    pub(crate) fn start(hello: &Hello, ttl: Duration, metrics: Metrics) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_RING);
        let ring = DirectoryRing(inputs.clone());
        let mut duty = Duty::new(hello, ring, ttl, metrics);
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
