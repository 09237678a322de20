//! Interfaces of batch jobs to the outside: the worker beside an agent, the clients of an
//! entry and the queue settings of operators.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{
    CallError, JobId, JobSpec, JobState, Listing, PollCall, QueueName, QueueTable, StartCall,
    StopCall, ThrottleCall, WorkerReport,
};
use parsleytally::types::ZoneName;
use tokio::time::Instant;

use crate::store::Write;

/// A boxed future, so that the traits here can be used as trait objects.
pub type JobFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Calls to the worker beside an agent; the worker itself enforces leases and fencing tokens.
pub trait TaskHost: Send + Sync {
    /// Lists the worker's runs and renews its lease.
    fn poll(&self, call: PollCall) -> JobFuture<'_, Result<Listing, CallError>>;

    /// Starts a run.
    fn start<'a>(&'a self, call: &'a StartCall) -> JobFuture<'a, Result<(), CallError>>;

    /// Stops a run; the worker refuses a later start with the same run number.
    fn stop(&self, call: StopCall) -> JobFuture<'_, Result<(), CallError>>;

    /// Changes the CPU share of a run.
    fn throttle(&self, call: ThrottleCall) -> JobFuture<'_, Result<(), CallError>>;
}

/// Receives the reports that a worker sends about itself.
pub trait WorkerReports: Send + Sync {
    /// Handles a worker's report of its state and capacity, with the report's number; returns
    /// false if it was dropped, so that it must not be confirmed.
    fn reported(&self, report: WorkerReport, sequence: u64) -> bool;

    /// Handles the notice of shutdown of the worker with this ID, which runs its tasks until it
    /// has ended; returns false if it was dropped.
    fn shutdown_noticed(&self, id: &str) -> bool;

    /// Notes a report with this worker ID that can't be read.
    fn unreadable(&self, id: &str, reason: &str);
}

/// Outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The job is stored.
    Accepted,
    /// The job is not stored and will not be.
    Refused {
        /// Time after which the client should retry.
        retry_after: Duration,
    },
    /// The job may be stored; the client retries with the same job ID.
    Unknown,
}

/// Outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The cancellation is stored.
    Accepted,
    /// No such job exists.
    NoJob,
    /// The cancellation is not stored and will not be.
    Refused {
        /// Time after which the client should retry.
        retry_after: Duration,
    },
    /// The cancellation may be stored.
    Unknown,
}

/// Answer to a client's query about a job or a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer<T> {
    /// The queried value.
    Known(T),
    /// No such job or queue exists.
    Absent,
    /// The value is not available at the moment.
    Unknown,
}

/// Operations on jobs that an entry offers to clients.
pub trait JobService: Send + Sync {
    /// Current queues; `None` before the first settings are read.
    fn queues(&self) -> Option<Arc<QueueTable>>;

    /// Stores a job and reports the outcome before `deadline`.
    fn submit(&self, id: JobId, spec: JobSpec, deadline: Instant) -> JobFuture<'_, SubmitAnswer>;

    /// Cancels a job.
    fn cancel(&self, id: JobId, deadline: Instant) -> JobFuture<'_, CancelAnswer>;

    /// Returns the state of a job.
    fn state(&self, id: JobId, deadline: Instant) -> JobFuture<'_, JobAnswer<JobState>>;

    /// Returns the number of jobs in a queue that have not started.
    fn pending<'a>(
        &'a self,
        queue: &'a QueueName,
        deadline: Instant,
    ) -> JobFuture<'a, JobAnswer<u64>>;

    /// Whether the load balancer may send new connections to the entry.
    fn is_ready(&self) -> bool;
}

/// Parses the queues from the settings of operators.
pub trait QueueSource: Send + Sync {
    /// Store key of the settings.
    fn key(&self) -> &str;

    /// Parses a value of that key.
    ///
    /// # Errors
    ///
    /// Returns a description of what is invalid in the value.
    fn parse(&self, value: &[u8]) -> Result<QueueTable, String>;
}

/// Reads the operators' requests to evacuate availability zones. The key alone is the request,
/// so its value is not read.
pub trait EvacuationSource: Send + Sync {
    /// Prefix of the store keys of the requests.
    fn prefix(&self) -> &str;

    /// The availability zone that a key under the prefix names.
    ///
    /// # Errors
    ///
    /// Returns a description of why the key names no zone.
    fn zone(&self, key: &str) -> Result<ZoneName, String>;
}

/// Key that is written together with each job record and each agent's address. The revision that
/// a read of it shows must also have come over a watch; one that has not shows that the watch
/// leaves changes out.
pub const FLEET_CHANGED: &str = "/parsleytally/fleet/lead-changed";

/// Marks a change of `key` under [`FLEET_CHANGED`]; part of the same commit.
pub fn fleet_changed(key: &str) -> Write {
    Write::Put {
        key: FLEET_CHANGED.to_owned(),
        value: key.as_bytes().to_vec(),
        lease: None,
    }
}

/// Prefix of the store keys under which agents publish their addresses.
pub const AGENTS: &str = "/parsleytally/fleet/agents/";
