//! The duty that knows the endpoints and chooses one for each request.
//!
//! News of endpoints comes through a bounded ring to the duty's thread. Requests
//! choose from the same state in place, under its lock, so that no request waits
//! for another thread to wake up; the lock is held for one choice or one input.

mod duty;
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
use duty::Duty;
pub(crate) use route::Route;

/// Inputs that wait for the duty; a full ring holds links back.
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
    Up(Arc<Calls>, Announcement),
    /// An agent's sign of life.
    Beat(Heartbeat),
    /// An agent has these settings in force.
    InForce(Arc<Calls>, Revision),
    /// A link is gone.
    Down(Arc<Calls>),
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

/// Passes inputs to the duty, and chooses endpoints from its state in place.
#[derive(Clone)]
pub(crate) struct DirectoryRing {
    inputs: Sender<Input>,
    duty: Weak<Mutex<Duty>>,
}

impl DirectoryRing {
    /// A ring whose duty has ended.
    #[cfg(test)]
    pub(crate) fn detached() -> Self {
        Self {
            inputs: bounded(1).0,
            duty: Weak::new(),
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
        self.with(|duty| duty.pick(service, refused))
            .unwrap_or(Err(PickError::Closed))
    }

    /// Chooses the owner of `key`.
    pub(crate) fn pick_owner(
        &self,
        service: &ServiceKey,
        key: KeyHash,
    ) -> Result<Owner, PickError> {
        self.with(|duty| duty.pick_owner(service, key))
            .unwrap_or(Err(PickError::Closed))
    }

    /// Notes that a request to a chosen endpoint has ended.
    fn done(&self, endpoint: EndpointId, outcome: Outcome) {
        self.with(|duty| duty.done(endpoint, outcome));
    }

    fn with<T>(&self, use_duty: impl FnOnce(&mut Duty) -> T) -> Option<T> {
        let duty = self.duty.upgrade()?;
        let mut duty = duty.lock().unwrap_or_else(PoisonError::into_inner);
        Some(use_duty(&mut duty))
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
    ring: DirectoryRing,
    thread: thread::JoinHandle<()>,
}

impl Directory {
    /// Starts the duty of the entry that says `hello`.
    pub(crate) fn start(hello: &Hello, ttl: Duration, metrics: Metrics) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_RING);
        let duty = Arc::new_cyclic(|duty| {
            let inputs = inputs.clone();
            let duty = duty.clone();
            let ring = DirectoryRing { inputs, duty };
            Mutex::new(Duty::new(hello, ring, ttl, metrics))
        });
        let ring = DirectoryRing {
            inputs,
            duty: Arc::downgrade(&duty),
        };
        let thread = thread::Builder::new()
            .name("directory".to_owned())
            .spawn(move || duty::run(&duty, &receiver))?;
        Ok(Self { ring, thread })
    }

    pub(crate) fn ring(&self) -> DirectoryRing {
        self.ring.clone()
    }

    /// Ends the duty.
    pub(crate) fn close(self) {
        self.ring.send(Input::Close);
        let _ = self.thread.join();
    }
}
