//! What an entry does for clients: accepts jobs, cancels them, tells their state.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parsleytally::jobs::{
    JobId, JobProgress, JobRecord, JobReply, JobRequest, JobSpec, JobState, QueueName, QueueTable,
    SubmitOutcome,
};
use parsleytally_platform::jobs::{CancelAnswer, JobAnswer, JobFuture, JobService, SubmitAnswer};
use parsleytally_platform::store::{Commit, Compare, Item, Outcome, Store, StoreError, Write};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::keys;
use super::peer::{Asked, Peer};

/// Time before the client stops waiting at which an answer is owed.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Pause after a call that the store refused.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Longest time for which a refused call is repeated.
const PATIENCE: Duration = Duration::from_millis(400);
/// Calls whose outcome is unknown before the client is told so.
const UNKNOWN_CALLS: u32 = 2;
/// Time to come back after while the store refuses.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time for storing another entry's job.
const RELAY_LIMIT: Duration = Duration::from_millis(1_200);
/// Longest wait for the owner's answer.
const OWNER_PATIENCE: Duration = Duration::from_millis(500);

/// The desk of one entry.
pub(super) struct Desk {
    pub(super) store: Arc<dyn Store>,
    pub(super) queues: watch::Receiver<Option<Arc<QueueTable>>>,
    pub(super) owner: Arc<Peer>,
    pub(super) draining: Arc<AtomicBool>,
    /// Whether the store has answered lately.
    pub(super) reaches_store: Arc<AtomicBool>,
    /// Whether the last call to the store was answered.
    pub(super) answered: Arc<AtomicBool>,
}

/// Why a change was not made.
enum Failed {
    /// The store does not have it and will not.
    Refused,
    /// The store may have it.
    Unknown,
}

impl Desk {
    /// Commits, and repeats while that can help; a repeated commit must be idempotent.
    async fn commit(&self, commit: &Commit, deadline: Instant) -> Result<Outcome, Failed> {
        let deadline = deadline - ANSWER_MARGIN;
        let began = Instant::now();
        let mut unknown = 0;
        loop {
            let call = self.store.commit(commit.clone());
            let outcome = tokio::time::timeout_at(deadline, call).await;
            let error = match outcome {
                Ok(Ok(outcome)) => {
                    self.answered.store(true, Ordering::Relaxed);
                    return Ok(outcome);
                }
                Ok(Err(error)) => error,
                Err(_) => StoreError::Timeout { call: "commit" },
            };
            self.answered.store(false, Ordering::Relaxed);
            log::warn!(error:% = error; "change is not stored yet");
            if error.is_unknown() {
                unknown += 1;
            }
            let late = Instant::now() + RETRY_PAUSE >= deadline;
            if unknown > 0 && (unknown >= UNKNOWN_CALLS || late) {
                return Err(Failed::Unknown);
            }
            if unknown == 0 && (late || began.elapsed() >= PATIENCE) {
                return Err(Failed::Refused);
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn submit_job(&self, id: JobId, spec: JobSpec, deadline: Instant) -> SubmitAnswer {
        if !self.answered.load(Ordering::Relaxed) {
            return self.submit_by_owner(id, spec, deadline).await;
        }
        self.store_job(id, spec, deadline).await
    }

    /// Asks the owner to store the job, since the store does not answer here.
    ///
    /// Where the question is not sent there is no doubt that the job was not accepted.
    async fn submit_by_owner(&self, id: JobId, spec: JobSpec, deadline: Instant) -> SubmitAnswer {
        let question = JobRequest::Submit(id, spec);
        let asked = self.owner.ask_elsewhere(question, deadline - ANSWER_MARGIN);
        match asked.await {
            Asked::Answered(JobReply::Submitted(SubmitOutcome::Yes)) => SubmitAnswer::Accepted,
            Asked::Answered(JobReply::Submitted(SubmitOutcome::No) | JobReply::NotOwner)
            | Asked::NotSent => SubmitAnswer::Refused {
                retry_after: RETRY_AFTER,
            },
            Asked::Answered(_) | Asked::Unanswered => SubmitAnswer::Unknown,
        }
    }

    /// Stores a job for another entry.
    pub(super) async fn store_for(&self, id: JobId, spec: JobSpec) -> SubmitOutcome {
        if !self.answered.load(Ordering::Relaxed) {
            return SubmitOutcome::No;
        }
        match self.store_job(id, spec, Instant::now() + RELAY_LIMIT).await {
            SubmitAnswer::Accepted => SubmitOutcome::Yes,
            SubmitAnswer::Refused { .. } => SubmitOutcome::No,
            SubmitAnswer::Unknown => SubmitOutcome::Unknown,
        }
    }

    async fn store_job(&self, id: JobId, spec: JobSpec, deadline: Instant) -> SubmitAnswer {
        let record = JobRecord {
            spec,
            cancelled: false,
        };
        let key = keys::job(id);
        let commit = Commit {
            compares: vec![Compare::Absent { key: key.clone() }],
            writes: vec![Write::Put {
                key,
                value: record.encode(),
                lease: None,
            }],
        };
        match self.commit(&commit, deadline).await {
            // A job of that number is there: it is the same job.
            Ok(Outcome::Committed(_) | Outcome::Conflict(_)) => SubmitAnswer::Accepted,
            Err(Failed::Refused) => SubmitAnswer::Refused {
                retry_after: RETRY_AFTER,
            },
            Err(Failed::Unknown) => SubmitAnswer::Unknown,
        }
    }

    async fn cancel_job(&self, id: JobId, deadline: Instant) -> CancelAnswer {
        loop {
            let item = match self.read(&keys::job(id), deadline).await {
                Ok(Some(item)) => item,
                Ok(None) => return CancelAnswer::NoJob,
                Err(_) => return CancelAnswer::Unknown,
            };
            let mut record = match JobRecord::decode(&item.value) {
                Ok(record) => record,
                Err(error) => {
                    log::error!(job:% = id, error:% = error; "job is unreadable");
                    return CancelAnswer::Unknown;
                }
            };
            if record.cancelled {
                return CancelAnswer::Accepted;
            }
            record.cancelled = true;
            let commit = Commit {
                compares: vec![Compare::Unchanged {
                    key: item.key.clone(),
                    revision: item.revision,
                }],
                writes: vec![Write::Put {
                    key: item.key,
                    value: record.encode(),
                    lease: None,
                }],
            };
            match self.commit(&commit, deadline).await {
                Ok(Outcome::Committed(_)) => return CancelAnswer::Accepted,
                // Another copy of this request came first, or a late one of its own.
                Ok(Outcome::Conflict(_)) => {}
                Err(_) => return CancelAnswer::Unknown,
            }
        }
    }

    async fn read(&self, key: &str, deadline: Instant) -> Result<Option<Item>, StoreError> {
        let deadline = deadline - ANSWER_MARGIN;
        loop {
            let read = tokio::time::timeout_at(deadline, self.store.range(key)).await;
            match read {
                Ok(Ok(found)) => return Ok(found.item(key).cloned()),
                Ok(Err(error)) if Instant::now() + RETRY_PAUSE >= deadline => return Err(error),
                Ok(Err(_)) => sleep(RETRY_PAUSE).await,
                Err(_) => return Err(StoreError::Timeout { call: "range" }),
            }
        }
    }

    async fn ask(&self, question: JobRequest) -> Option<JobReply> {
        let reply = timeout(OWNER_PATIENCE, self.owner.ask(question)).await;
        reply.ok().flatten()
    }

    async fn job_state(&self, id: JobId, deadline: Instant) -> JobAnswer<JobState> {
        if let Some(JobReply::State(Some(state))) = self.ask(JobRequest::State(id)).await {
            return JobAnswer::Known(state);
        }
        // The owner is away, or does not have the job yet.
        let record = match self.read(&keys::job(id), deadline).await {
            Ok(Some(item)) => JobRecord::decode(&item.value),
            Ok(None) => return JobAnswer::Absent,
            Err(_) => return JobAnswer::Unknown,
        };
        let Ok(record) = record else {
            return JobAnswer::Unknown;
        };
        let progress = match self.read(&keys::progress(id), deadline).await {
            Ok(item) => item.and_then(|item| JobProgress::decode(&item.value).ok()),
            Err(_) => return JobAnswer::Unknown,
        };
        let state = progress.map_or(JobState::Queued, |progress| progress.state);
        if record.cancelled && !state.is_final() {
            return JobAnswer::Known(JobState::Cancelled);
        }
        JobAnswer::Known(state)
    }

    async fn pending_jobs(&self, queue: &QueueName) -> JobAnswer<u64> {
        match self.ask(JobRequest::Pending(queue.clone())).await {
            Some(JobReply::Pending(pending)) => JobAnswer::Known(pending),
            _ => JobAnswer::Unknown,
        }
    }
}

impl JobService for Desk {
    fn queues(&self) -> Option<Arc<QueueTable>> {
        self.queues.borrow().clone()
    }

    fn submit(&self, id: JobId, spec: JobSpec, deadline: Instant) -> JobFuture<'_, SubmitAnswer> {
        Box::pin(async move {
            let queue = spec.queue.name.clone();
            let answered = self.answered.load(Ordering::Relaxed);
            let submitted = self.submit_job(id, spec, deadline).await;
            log::info!(job:% = id, queue:% = queue, store_answers = answered, outcome:? = submitted;
                "job submitted");
            submitted
        })
    }

    fn cancel(&self, id: JobId, deadline: Instant) -> JobFuture<'_, CancelAnswer> {
        Box::pin(async move {
            let cancelled = self.cancel_job(id, deadline).await;
            log::info!(job:% = id, outcome:? = cancelled; "job cancelled");
            cancelled
        })
    }

    fn state(&self, id: JobId, deadline: Instant) -> JobFuture<'_, JobAnswer<JobState>> {
        Box::pin(self.job_state(id, deadline))
    }

    fn pending<'a>(&'a self, queue: &'a QueueName, _: Instant) -> JobFuture<'a, JobAnswer<u64>> {
        Box::pin(self.pending_jobs(queue))
    }

    fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::Relaxed)
            && self.reaches_store.load(Ordering::Relaxed)
            && self.queues.borrow().is_some()
    }
}
