//! What an entry answers its clients.

use std::sync::Arc;

use parsleytally::jobs::{JobId, JobSpec, JobState, QueueName, QueueTable};
use prometheus::Registry;
use tokio::time::Instant;

use super::Calls;
use crate::jobs::{CancelAnswer, JobAnswer, JobFuture, JobService, SubmitAnswer};

/// A desk whose answers are counted and timed.
pub struct MeasuredDesk {
    desk: Arc<dyn JobService>,
    calls: Calls,
}

impl MeasuredDesk {
    /// Wraps `desk`.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on names that are taken.
    pub fn new(desk: Arc<dyn JobService>, registry: &Registry) -> prometheus::Result<Self> {
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

impl JobService for MeasuredDesk {
    fn queues(&self) -> Option<Arc<QueueTable>> {
        self.desk.queues()
    }

    fn submit(&self, id: JobId, spec: JobSpec, deadline: Instant) -> JobFuture<'_, SubmitAnswer> {
        Box::pin(async move {
            let began = Instant::now();
            let submitted = self.desk.submit(id, spec, deadline).await;
            let outcome = match submitted {
                SubmitAnswer::Accepted => "accepted",
                SubmitAnswer::Refused { .. } => "refused",
                SubmitAnswer::Unknown => "unknown",
            };
            self.note("submit", outcome, began);
            submitted
        })
    }

    fn cancel(&self, id: JobId, deadline: Instant) -> JobFuture<'_, CancelAnswer> {
        Box::pin(async move {
            let began = Instant::now();
            let cancelled = self.desk.cancel(id, deadline).await;
            let outcome = match cancelled {
                CancelAnswer::Accepted => "accepted",
                CancelAnswer::NoJob => "absent",
                CancelAnswer::Refused { .. } => "refused",
                CancelAnswer::Unknown => "unknown",
            };
            self.note("cancel", outcome, began);
            cancelled
        })
    }

    fn state(&self, id: JobId, deadline: Instant) -> JobFuture<'_, JobAnswer<JobState>> {
        Box::pin(async move {
            let began = Instant::now();
            let told = self.desk.state(id, deadline).await;
            self.note("state", told_name(&told), began);
            told
        })
    }

    fn pending<'a>(
        &'a self,
        queue: &'a QueueName,
        deadline: Instant,
    ) -> JobFuture<'a, JobAnswer<u64>> {
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

fn told_name<T>(told: &JobAnswer<T>) -> &'static str {
    match told {
        JobAnswer::Known(_) => "known",
        JobAnswer::Absent => "absent",
        JobAnswer::Unknown => "unknown",
    }
}
