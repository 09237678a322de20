//! Job operations for clients: submits and cancels jobs, and answers queries on their state.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parsleytally::jobs::{
    CallContext, CallFailure, CallPlan, EarlierCopy, JobId, JobReply, JobRequest, JobSpec,
    JobState, NextCall, QueueName, QueueTable, SentOutcome,
};
use parsleytally_platform::jobs::{CancelAnswer, JobAnswer, JobFuture, JobService, SubmitAnswer};
use parsleytally_platform::store::Store;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::admission::Admission;
use super::job_call::{JobCall, JobCallResult};
use super::owner_client::OwnerClient;
use super::relays::{Asked, Relays};
use super::sent_log::{SentGuard, SentLog};
use super::store_health::StoreHealth;
use super::tombstones::{LONGEST_LIFE, Tombstones};

/// Time reserved for the answer to reach the client before its deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Pause before a call to the store is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time after which a refused client should retry. Most disturbances of the store's path end
/// within seconds, and `Retry-After` has whole seconds.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time to carry out a call for another entry.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest wait for the owner's answer.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// The [`JobService`] of one entry.
pub(super) struct EntryJobService {
    pub(super) store: Arc<dyn Store>,
    pub(super) queues: watch::Receiver<Option<Arc<QueueTable>>>,
    pub(super) owner: Arc<OwnerClient>,
    pub(super) relays: Relays,
    pub(super) draining: Arc<AtomicBool>,
    /// Whether an ownership check was answered within `STORE_TIMEOUT`.
    pub(super) store_reachable: Arc<AtomicBool>,
    pub(super) health: Arc<StoreHealth>,
    pub(super) sent: Arc<SentLog>,
    pub(super) tombstones: Tombstones,
    /// Time by which all requests must be answered, since the process ends then.
    pub(super) answer_by: OnceLock<Instant>,
    /// Refuses jobs that would end too late; none if the settings don't enable it.
    pub(super) admission: Option<Arc<Admission>>,
}

impl EntryJobService {
    /// Latest time for the answer to a client with this deadline.
    fn answer_time(&self, deadline: Instant) -> Instant {
        let answer_by = self.answer_by.get().copied();
        let deadline = answer_by.map_or(deadline, |by| by.min(deadline));
        deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline)
    }

    /// Carries out a call by the store or, if `relay` is set, through other entries.
    async fn carry_out(
        &self,
        call: &JobCall,
        deadline: Instant,
        relay: bool,
    ) -> Result<JobCallResult, CallFailure> {
        let mut plan = if relay {
            call.plan()
        } else {
            CallPlan::default()
        };
        let mut asked = Asked::new();
        let mut sent: Option<SentGuard> = None;
        let result = loop {
            let target = if relay {
                self.relays.next(&asked)
            } else {
                None
            };
            let context = CallContext {
                left: deadline.saturating_duration_since(Instant::now()),
                store_answers: self.health.answers(),
                relay_available: target.is_some(),
            };
            let next = plan.next(&context);
            let is_call = matches!(next, NextCall::Store | NextCall::Relay);
            if is_call && sent.is_none() && matches!(call, JobCall::Submit(..)) {
                sent = Some(self.sent.begin(call.job()));
            }
            let failure = match (next, target) {
                (NextCall::Store, _) => {
                    if plan.has_called_store() {
                        sleep(RETRY_PAUSE).await;
                    }
                    let answer = call.call_store(self.store.as_ref(), &self.tombstones, deadline);
                    match answer.await {
                        Ok(result) => break Ok(result),
                        Err(failure) => plan.store_failed(failure),
                    }
                    continue;
                }
                (NextCall::Relay, Some(target)) => {
                    asked.insert(target.address());
                    let reply = self.relays.request(&target, call.request(), deadline);
                    match call.result(reply.await) {
                        Ok(result) => break Ok(result),
                        Err(failure) => {
                            self.relays.skip(&target);
                            failure
                        }
                    }
                }
                (NextCall::Unknown, _) => break Err(CallFailure::Unknown),
                (NextCall::Refuse | NextCall::Relay, _) => break Err(CallFailure::NoEffect),
            };
            plan.relay_failed(failure);
        };
        if let Some(sent) = &mut sent {
            sent.outcome = match result {
                Ok(JobCallResult::Withdrawn) | Err(CallFailure::NoEffect) => SentOutcome::NotStored,
                Ok(_) => SentOutcome::Stored,
                Err(CallFailure::Unknown) => SentOutcome::Unknown,
            };
        }
        let result = self.with_earlier_copy(call, result, sent.is_some());
        if let Err(failure) = result {
            self.log_failure(call, failure, asked.len(), deadline);
        }
        result
    }

    fn log_failure(&self, call: &JobCall, failure: CallFailure, asked: usize, deadline: Instant) {
        let left = deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let (job, call, store_answers) = (call.job(), call.name(), self.health.answers());
        match failure {
            CallFailure::NoEffect => log::warn!(job:% = job, call, store_answers,
                entries_asked = asked, left_ms; "call had no effect"),
            CallFailure::Unknown => log::warn!(job:% = job, call, store_answers,
                entries_asked = asked, left_ms; "outcome of a call is unknown"),
        }
    }

    /// Replaces a refusal by what an earlier copy of the same submission says.
    fn with_earlier_copy(
        &self,
        call: &JobCall,
        result: Result<JobCallResult, CallFailure>,
        own: bool,
    ) -> Result<JobCallResult, CallFailure> {
        if !matches!(call, JobCall::Submit(..)) || result.is_ok() {
            return result;
        }
        match self.sent.earlier_copy(call.job(), own) {
            EarlierCopy::None => result,
            EarlierCopy::Stored => Ok(JobCallResult::Submitted),
            EarlierCopy::MaybeStored => Err(CallFailure::Unknown),
        }
    }

    /// Carries out a call for another entry.
    pub(super) async fn relay(&self, call: JobCall) -> JobReply {
        let deadline = Instant::now() + RELAY_TIMEOUT;
        let result = self.carry_out(&call, deadline, false).await;
        call.reply(result)
    }

    /// Submits the job unless the forecast shows that it would end too late.
    async fn admit(
        &self,
        admission: &Admission,
        id: JobId,
        spec: JobSpec,
        deadline: Instant,
    ) -> SubmitAnswer {
        if !self.health.answers() {
            admission.note_uncertain();
        }
        let refused = admission.refuse(&*self.store, id, &spec, deadline);
        if let Some(answer) = refused.await {
            return answer;
        }
        let outcome = admission.begin(id);
        let submitted = self.submit_job(id, spec, deadline).await;
        outcome.end(submitted);
        submitted
    }

    async fn submit_job(&self, id: JobId, spec: JobSpec, deadline: Instant) -> SubmitAnswer {
        let call = JobCall::Submit(id, spec);
        match self.carry_out(&call, deadline, true).await {
            Ok(JobCallResult::Withdrawn) => SubmitAnswer::Refused {
                retry_after: LONGEST_LIFE,
            },
            Ok(_) => SubmitAnswer::Accepted,
            Err(CallFailure::NoEffect) => SubmitAnswer::Refused {
                retry_after: RETRY_AFTER,
            },
            Err(CallFailure::Unknown) => SubmitAnswer::Unknown,
        }
    }

    async fn cancel_job(&self, id: JobId, deadline: Instant) -> CancelAnswer {
        match self.carry_out(&JobCall::Cancel(id), deadline, true).await {
            Ok(JobCallResult::Absent) => CancelAnswer::NoJob,
            Ok(JobCallResult::Limited(retry_after)) => CancelAnswer::Refused { retry_after },
            Err(CallFailure::NoEffect) => CancelAnswer::Refused {
                retry_after: RETRY_AFTER,
            },
            Ok(_) => CancelAnswer::Accepted,
            Err(CallFailure::Unknown) => CancelAnswer::Unknown,
        }
    }

    /// Requests a reply of the owner; half of the time until `deadline` is left for other ways.
    async fn request_owner(&self, request: JobRequest, deadline: Instant) -> Option<JobReply> {
        let now = Instant::now();
        let left = deadline.saturating_duration_since(now);
        let until = now + OWNER_TIMEOUT.min(left / 2);
        let reply = timeout_at(until, self.owner.request(request)).await;
        reply.ok().flatten()
    }

    async fn job_state(&self, id: JobId, deadline: Instant) -> JobAnswer<JobState> {
        let request = JobRequest::State(id);
        if let Some(JobReply::State(Some(state))) = self.request_owner(request, deadline).await {
            return JobAnswer::Known(state);
        }
        // The owner is unreachable or has not read the job yet: use the store's records.
        match self.carry_out(&JobCall::Read(id), deadline, true).await {
            Ok(JobCallResult::State(state)) => JobAnswer::Known(state),
            Ok(_) => JobAnswer::Absent,
            Err(_) => JobAnswer::Unknown,
        }
    }

    async fn pending_jobs(&self, queue: &QueueName, deadline: Instant) -> JobAnswer<u64> {
        let request = JobRequest::Pending(queue.clone());
        match self.request_owner(request, deadline).await {
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
            let store_answers = self.health.answers();
            let deadline = self.answer_time(deadline);
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
            let cancelled = self.cancel_job(id, self.answer_time(deadline)).await;
            log::info!(job:% = id, outcome:? = cancelled; "job cancelled");
            cancelled
        })
    }

    fn state(&self, id: JobId, deadline: Instant) -> JobFuture<'_, JobAnswer<JobState>> {
        Box::pin(self.job_state(id, self.answer_time(deadline)))
    }

    fn pending<'a>(
        &'a self,
        queue: &'a QueueName,
        deadline: Instant,
    ) -> JobFuture<'a, JobAnswer<u64>> {
        Box::pin(self.pending_jobs(queue, self.answer_time(deadline)))
    }

    fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::Relaxed)
            && self.store_reachable.load(Ordering::Relaxed)
            && self.queues.borrow().is_some()
    }
}
