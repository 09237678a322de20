//! Borders of batch jobs: the worker beside an agent, and the clients of an entry.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{
    CallError, JobId, JobSpec, JobState, Listing, PollCall, QueueName, QueueTable, StartCall,
    StopCall, ThrottleCall, WorkerReport,
};
use tokio::time::Instant;

/// An operation in progress.
pub type JobFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The worker beside an agent; it enforces leases and fences by itself.
pub trait TaskHost: Send + Sync {
    /// Looks at the lists of the worker and renews its lease.
    fn look(&self, call: PollCall) -> JobFuture<'_, Result<Listing, CallError>>;

    /// Starts a run.
    fn start<'a>(&'a self, call: &'a StartCall) -> JobFuture<'a, Result<(), CallError>>;

    /// Stops a run, and refuses one of that number that starts later.
    fn stop(&self, call: StopCall) -> JobFuture<'_, Result<(), CallError>>;

    /// Changes the pace of a run.
    fn pace(&self, call: ThrottleCall) -> JobFuture<'_, Result<(), CallError>>;
}

/// Takes what a worker says of itself.
pub trait WorkerReports: Send + Sync {
    /// A worker said this of itself.
    fn reported(&self, report: WorkerReport);

    /// The worker called `id` ends.
    fn left(&self, id: &str);
}

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// The store has the job.
    Accepted,
    /// The store does not have the job and will not.
    Refused {
        /// When it is worth to come back.
        retry_after: Duration,
    },
    /// The store may have the job; the client asks again under the same number.
    Unknown,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The store has it.
    Accepted,
    /// There is no such job.
    NoJob,
    /// The store may have it.
    Unknown,
}

/// What a client learns of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told<T> {
    /// The answer.
    Known(T),
    /// There is no such job or queue.
    Absent,
    /// It is not known at the moment.
    Unknown,
}

/// What an entry does for clients of jobs.
pub trait JobDesk: Send + Sync {
    /// The queues in force; none before the first settings.
    fn queues(&self) -> Option<Arc<QueueTable>>;

    /// Accepts a job before `deadline`, or says what became of it.
    fn submit(&self, id: JobId, spec: JobSpec, deadline: Instant) -> JobFuture<'_, Submitted>;

    /// Cancels a job.
    fn cancel(&self, id: JobId, deadline: Instant) -> JobFuture<'_, Cancelled>;

    /// State of a job.
    fn state(&self, id: JobId, deadline: Instant) -> JobFuture<'_, Told<JobState>>;

    /// Number of jobs of a queue that have not begun.
    fn pending<'a>(&'a self, queue: &'a QueueName, deadline: Instant) -> JobFuture<'a, Told<u64>>;

    /// Whether the entry takes new connections.
    fn is_ready(&self) -> bool;
}

/// Reads the queues out of the settings of operators.
pub trait QueueSource: Send + Sync {
    /// Key of the store that holds the settings.
    fn key(&self) -> &str;

    /// Reads a value of that key.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the value.
    fn read(&self, value: &[u8]) -> Result<QueueTable, String>;
}

/// Prefix of the keys of the store under which agents tell their addresses.
pub const AGENTS: &str = "/parsleytally/fleet/agents/";
