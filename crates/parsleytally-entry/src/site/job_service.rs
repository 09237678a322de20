//! Job operations for clients: submits and cancels jobs, and answers queries on their state.

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

use super::admission::Admission;
use super::keys;
use super::peer::{OwnerClient, RemoteReply};

/// Time reserved for the answer to reach the client before its deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Pause before a failed store call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Longest time for which a commit that the store has not received is repeated.
const MAX_COMMIT_RETRY: Duration = Duration::from_millis(400);
/// Commits with an unknown outcome after which the client's answer is "unknown".
const MAX_UNKNOWN_COMMITS: u32 = 2;
/// Time after which a refused client should retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time to store a job for another entry.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest wait for the owner's answer.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// The [`JobService`] of one entry.
pub(super) struct EntryJobService {
    pub(super) store: Arc<dyn Store>,
    pub(super) queues: watch::Receiver<Option<Arc<QueueTable>>>,
    pub(super) owner: Arc<OwnerClient>,
    pub(super) draining: Arc<AtomicBool>,
    /// Whether an ownership check was answered within `STORE_TIMEOUT`.
    pub(super) store_reachable: Arc<AtomicBool>,
    /// Whether the store answered the last ownership check or commit of this entry.
    pub(super) store_answers: Arc<AtomicBool>,
    /// Refuses jobs that would end too late; none if the settings don't enable it.
    pub(super) admission: Option<Arc<Admission>>,
}

/// Why a commit failed.
enum CommitFailure {
    /// The change is not stored and will not be.
    Refused,
    /// The change may be stored.
    Unknown,
}

impl EntryJobService {
    /// Commits a change, repeating failed calls within the time limits; the commit must be
    /// idempotent.
    async fn commit(&self, commit: &Commit, deadline: Instant) -> Result<Outcome, CommitFailure> {
        let deadline = deadline - ANSWER_MARGIN;
        let began = Instant::now();
        let mut unknown = 0;
        loop {
            let call = self.store.commit(commit.clone());
            let outcome = tokio::time::timeout_at(deadline, call).await;
            let error = match outcome {
                Ok(Ok(outcome)) => {
                    self.store_answers.store(true, Ordering::Relaxed);
                    return Ok(outcome);
                }
                Ok(Err(error)) => error,
                Err(_) => StoreError::Timeout { call: "commit" },
            };
            self.store_answers.store(false, Ordering::Relaxed);
            log::warn!(error:% = error; "storing a change failed");
            if error.is_unknown() {
                unknown += 1;
            }
            let late = Instant::now() + RETRY_PAUSE >= deadline;
            if unknown > 0 && (unknown >= MAX_UNKNOWN_COMMITS || late) {
                return Err(CommitFailure::Unknown);
            }
            if unknown == 0 && (late || began.elapsed() >= MAX_COMMIT_RETRY) {
                return Err(CommitFailure::Refused);
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Submits the job unless the forecast shows that it would end too late.
    async fn admit(
        &self,
        admission: &Admission,
        id: JobId,
        spec: JobSpec,
        deadline: Instant,
    ) -> SubmitAnswer {
        if !self.store_answers.load(Ordering::Relaxed) {
            admission.note_uncertain();
        }
        let refused = admission.refuse(&*self.store, id, &spec, deadline - ANSWER_MARGIN);
        if let Some(answer) = refused.await {
            return answer;
        }
        let outcome = admission.begin(id);
        let submitted = self.submit_job(id, spec, deadline).await;
        outcome.end(submitted);
        submitted
    }

    async fn submit_job(&self, id: JobId, spec: JobSpec, deadline: Instant) -> SubmitAnswer {
        if !self.store_answers.load(Ordering::Relaxed) {
            return self.submit_through_owner(id, spec, deadline).await;
        }
        self.store_job(id, spec, deadline).await
    }

    /// Requests the owner to store the job, because the store does not answer this entry.
    ///
    /// If the request is not sent, the job is certainly not stored and is refused.
    async fn submit_through_owner(
        &self,
        id: JobId,
        spec: JobSpec,
        deadline: Instant,
    ) -> SubmitAnswer {
        let request = JobRequest::Submit(id, spec);
        let reply = self.owner.request_remote(request, deadline - ANSWER_MARGIN);
        match reply.await {
            RemoteReply::Answered(JobReply::Submitted(SubmitOutcome::Yes)) => {
                SubmitAnswer::Accepted
            }
            RemoteReply::Answered(JobReply::Submitted(SubmitOutcome::No) | JobReply::NotOwner)
            | RemoteReply::NotSent => SubmitAnswer::Refused {
                retry_after: RETRY_AFTER,
            },
            RemoteReply::Answered(_) | RemoteReply::Unanswered => SubmitAnswer::Unknown,
        }
    }

    /// Stores a job for another entry.
    pub(super) async fn store_for(&self, id: JobId, spec: JobSpec) -> SubmitOutcome {
        if !self.store_answers.load(Ordering::Relaxed) {
            return SubmitOutcome::No;
        }
        match self
            .store_job(id, spec, Instant::now() + RELAY_TIMEOUT)
            .await
        {
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
            // A stored job with this ID is an earlier copy of the same submission.
            Ok(Outcome::Committed(_) | Outcome::Conflict(_)) => SubmitAnswer::Accepted,
            Err(CommitFailure::Refused) => SubmitAnswer::Refused {
                retry_after: RETRY_AFTER,
            },
            Err(CommitFailure::Unknown) => SubmitAnswer::Unknown,
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
                    log::error!(job:% = id, error:% = error; "job record is invalid");
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
                // Another copy of this cancellation, or a delayed write of its own, was stored
                // first: read the record again.
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

    async fn request_owner(&self, request: JobRequest) -> Option<JobReply> {
        let reply = timeout(OWNER_TIMEOUT, self.owner.request(request)).await;
        reply.ok().flatten()
    }

    async fn job_state(&self, id: JobId, deadline: Instant) -> JobAnswer<JobState> {
        if let Some(JobReply::State(Some(state))) = self.request_owner(JobRequest::State(id)).await
        {
            return JobAnswer::Known(state);
        }
        // The owner is unreachable or has not read the job yet: use the store's records.
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
        match self.request_owner(JobRequest::Pending(queue.clone())).await {
            Some(JobReply::Pending(pending)) => JobAnswer::Known(pending),
            _ => JobAnswer::Unknown,
        }
    }
}

impl JobService for EntryJobService {
    fn queues(&self) -> Option<Arc<QueueTable>> {
        self.queues.borrow().clone()
    }

    fn submit(&self, id: JobId, spec: JobSpec, deadline: Instant) -> JobFuture<'_, SubmitAnswer> {
        Box::pin(async move {
            let queue = spec.queue.name.clone();
            let store_answers = self.store_answers.load(Ordering::Relaxed);
            let submitted = match &self.admission {
                Some(admission) => self.admit(admission, id, spec, deadline).await,
                None => self.submit_job(id, spec, deadline).await,
            };
            log::info!(job:% = id, queue:% = queue, store_answers, outcome:? = submitted;
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
            && self.store_reachable.load(Ordering::Relaxed)
            && self.queues.borrow().is_some()
    }
}
