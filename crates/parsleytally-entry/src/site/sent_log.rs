//! The submissions that an entry has sent, shared by its requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use parsleytally::jobs::{EarlierCopy, JobId, SentJobs, SentOutcome};
use parsleytally_platform::process::Clock;

/// The submissions that this entry has sent to the store or to another entry.
#[derive(Debug)]
pub(super) struct SentLog {
    clock: Clock,
    jobs: Mutex<SentJobs>,
}

impl SentLog {
    pub(super) fn new() -> Self {
        Self {
            clock: Clock::start(),
            jobs: Mutex::default(),
        }
    }

    /// Records that a submission is about to be sent.
    pub(super) fn begin(self: &Arc<Self>, id: JobId) -> SentGuard {
        self.jobs().begin(self.clock.now(), id);
        SentGuard {
            log: self.clone(),
            id,
            outcome: SentOutcome::Unknown,
        }
    }

    /// What other submissions say of a job; `own` tells whether the asking one is in progress.
    pub(super) fn earlier_copy(&self, id: JobId, own: bool) -> EarlierCopy {
        self.jobs().earlier_copy(self.clock.now(), id, own)
    }

    /// Whether a submission of the job is in progress or has an unknown outcome.
    pub(super) fn may_be_stored(&self, id: JobId) -> bool {
        self.earlier_copy(id, false) == EarlierCopy::MaybeStored
    }

    fn jobs(&self) -> MutexGuard<'_, SentJobs> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A submission that was sent. Its outcome is unknown if the request is dropped, which it is
/// when the client disconnects.
pub(super) struct SentGuard {
    log: Arc<SentLog>,
    id: JobId,
    pub(super) outcome: SentOutcome,
}

impl Drop for SentGuard {
    fn drop(&mut self) {
        self.log.jobs().end(self.id, self.outcome);
    }
}
