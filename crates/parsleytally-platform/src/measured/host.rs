//! What an agent asks its worker.

use std::sync::Arc;

use parsleytally::jobs::{
    CallError, Listing, PollCall, RefusalReason, StartCall, StopCall, ThrottleCall,
};
use prometheus::Registry;
use tokio::time::Instant;

use super::Calls;
use crate::jobs::{JobFuture, TaskHost};

/// A worker whose calls are counted and timed.
pub struct MeasuredHost {
    host: Arc<dyn TaskHost>,
    calls: Calls,
}

impl MeasuredHost {
    /// Wraps `host`.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on names that are taken.
    pub fn new(host: Arc<dyn TaskHost>, registry: &Registry) -> prometheus::Result<Self> {
        let calls = Calls::register(registry, "parsleytally_worker_calls", "Calls to the worker")?;
        Ok(Self { host, calls })
    }

    async fn note<T>(
        &self,
        call: &str,
        answer: JobFuture<'_, Result<T, CallError>>,
    ) -> Result<T, CallError> {
        let began = Instant::now();
        let answer = answer.await;
        let outcome = answer.as_ref().err().map_or("done", error_name);
        self.calls.note(call, outcome, began.elapsed());
        answer
    }
}

impl TaskHost for MeasuredHost {
    fn poll(&self, call: PollCall) -> JobFuture<'_, Result<Listing, CallError>> {
        Box::pin(self.note("look", self.host.poll(call)))
    }

    fn start<'a>(&'a self, call: &'a StartCall) -> JobFuture<'a, Result<(), CallError>> {
        Box::pin(self.note("start", self.host.start(call)))
    }

    fn stop(&self, call: StopCall) -> JobFuture<'_, Result<(), CallError>> {
        Box::pin(self.note("stop", self.host.stop(call)))
    }

    fn throttle(&self, call: ThrottleCall) -> JobFuture<'_, Result<(), CallError>> {
        Box::pin(self.note("pace", self.host.throttle(call)))
    }
}

fn error_name(error: &CallError) -> &'static str {
    match error {
        CallError::Refused(RefusalReason::Fenced) => "fenced",
        CallError::Refused(_) => "refused",
        CallError::OtherLife => "other-life",
        CallError::Unreachable => "unreachable",
        CallError::Unanswered => "unanswered",
    }
}
