//! What an entry answers its clients.

use std::sync::Arc;

use parsleytally::jobs::{JobId, JobSpec, JobState, QueueName, QueueTable};
use prometheus::Registry;
use tokio::time::Instant;

use super::Calls;
use crate::jobs::{Cancelled, JobDesk, JobFuture, Submitted, Told};

/// A desk whose answers are counted and timed.
pub struct MeasuredDesk {
    desk: Arc<dyn JobDesk>,
    calls: Calls,
}

impl MeasuredDesk {
    /// Wraps `desk`.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on names that are taken.
    pub fn new(desk: Arc<dyn JobDesk>, registry: &Registry) -> prometheus::Result<Self> {
        let calls = Calls::register(
            registry,
            "parsleytally_jobs_requests",
            "Requests of clients",
        )?;
        Ok(Self { desk, calls })
    }

    fn note(&self, call: &str, outcome: &str, began: Instant) {
        self.calls.note(call, outcome, began.elapsed());
    }
}

impl JobDesk for MeasuredDesk {
    fn queues(&self) -> Option<Arc<QueueTable>> {
        self.desk.queues()
    }

    fn submit(&self, id: JobId, spec: JobSpec, deadline: Instant) -> JobFuture<'_, Submitted> {
        Box::pin(async move {
            let began = Instant::now();
            let submitted = self.desk.submit(id, spec, deadline).await;
            let outcome = match submitted {
                Submitted::Accepted => "accepted",
                Submitted::Refused { .. } => "refused",
                Submitted::Unknown => "unknown",
            };
            self.note("submit", outcome, began);
            submitted
        })
    }

    fn cancel(&self, id: JobId, deadline: Instant) -> JobFuture<'_, Cancelled> {
        Box::pin(async move {
            let began = Instant::now();
            let cancelled = self.desk.cancel(id, deadline).await;
            let outcome = match cancelled {
                Cancelled::Accepted => "accepted",
                Cancelled::NoJob => "absent",
                Cancelled::Unknown => "unknown",
            };
            self.note("cancel", outcome, began);
            cancelled
        })
    }

    fn state(&self, id: JobId, deadline: Instant) -> JobFuture<'_, Told<JobState>> {
        Box::pin(async move {
            let began = Instant::now();
            let told = self.desk.state(id, deadline).await;
            self.note("state", told_name(&told), began);
            told
        })
    }

    fn pending<'a>(&'a self, queue: &'a QueueName, deadline: Instant) -> JobFuture<'a, Told<u64>> {
        Box::pin(async move {
            let began = Instant::now();
            let told = self.desk.pending(queue, deadline).await;
            self.note("pending", told_name(&told), began);
            told
        })
    }

    fn is_ready(&self) -> bool {
        self.desk.is_ready()
    }
}

fn told_name<T>(told: &Told<T>) -> &'static str {
    match told {
        Told::Known(_) => "known",
        Told::Absent => "absent",
        Told::Unknown => "unknown",
    }
}
