//! Sends a caller's request: picks an endpoint for each attempt and retries after failures.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use parsleytally::configs::RetryConfig;
use parsleytally::idempotency::{KeyHash, RequestHash};
use parsleytally::retry::{CrashSuspects, Failure, Input, Outcome, Output, Reason, Retry};
use parsleytally::routing::{EndpointId, Outcome as RoutingOutcome};
use parsleytally::types::{RequestId, ServiceKey, Time};
use parsleytally_link::{Answer, CallError, Fence, Header, Request};
use parsleytally_platform::process::Clock;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::directory::{DirectoryHandle, KeyOwner, PickError, Route};

/// Upper bound of the time reserved for the agent's answer to reach the entry.
const MAX_RETURN_RESERVE: Duration = Duration::from_millis(250);

/// Lowest HTTP status that counts as a failure of the endpoint.
const FIRST_SERVER_ERROR: u16 = 500;

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) service: ServiceKey,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// Value of the `traceparent` header sent to the agent.
    pub(crate) trace: String,
    /// Time until the caller's deadline.
    pub(crate) limit: Duration,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Hash of the idempotency key of a request that may not run twice.
    pub(crate) key: Option<KeyHash>,
}

impl OutgoingRequest {
    /// Hash of what an endpoint receives.
    fn hash(&self) -> RequestHash {
        let target = format!("{}{}", self.service, self.path);
        RequestHash::new(&self.method, &target, &self.body)
    }
}

/// Why a request was not answered.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No endpoint was chosen for any attempt.
    NotSent(PickError),
    /// Endpoints were lost under this request or an earlier copy of it.
    EndpointsLost {
        /// Outcome of this copy.
        outcome: Outcome,
        retry_after: Duration,
    },
    /// Attempts failed and no further one is allowed.
    GaveUp {
        outcome: Outcome,
        /// Whether the last attempt ran into the time limit.
        timed_out: bool,
        reason: String,
        retry_after: Duration,
    },
}

/// Sends requests of callers to agents, with retries.
pub(crate) struct Attempts {
    directory: DirectoryHandle,
    clock: Clock,
    next: AtomicU64,
    retry: Mutex<(Retry, SmallRng)>,
    suspects: Mutex<CrashSuspects<EndpointId>>,
}

impl Attempts {
    pub(crate) fn new(directory: DirectoryHandle, config: RetryConfig, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            directory,
            clock: Clock::start(),
            next: AtomicU64::new(1),
            retry: Mutex::new((Retry::new(config), rng)),
            suspects: Mutex::default(),
        }
    }

    /// Sends `outgoing` until it is answered or the retry policy gives up.
    pub(crate) async fn run(&self, outgoing: &OutgoingRequest) -> Result<Answer, SendError> {
        let deadline = self.clock.now().after(outgoing.limit);
        let guard = RequestGuard {
            attempts: self,
            id: self.next_id(),
        };
        let id = guard.id;
        let idempotent = outgoing.idempotent;
        if let Some(left) = self.barred_for(outgoing) {
            return Err(SendError::EndpointsLost {
                outcome: Outcome::NotRun,
                retry_after: left,
            });
        }
        self.step(Input::Begin {
            id,
            deadline,
            idempotent,
        });
        let mut prior = PriorAttempts::default();
        loop {
            let error = match self.attempt(outgoing, deadline, &mut prior).await {
                Ok(answer) => {
                    self.note_answered(outgoing);
                    return Ok(answer);
                }
                Err(error) => error,
            };
            if error.is_endpoint_lost() && self.note_lost(id, outgoing, &prior) {
                log::warn!(service:% = outgoing.service, method = outgoing.method, trace = outgoing.trace;
                    "request not sent on: endpoints were lost under it");
                return Err(SendError::EndpointsLost {
                    outcome: Outcome::Unknown,
                    retry_after: self.barred_for(outgoing).unwrap_or_default(),
                });
            }
            let failure = match &error {
                AttemptError::Pick(error) if !prior.any_sent => {
                    return Err(SendError::NotSent(*error));
                }
                AttemptError::Pick(_) => Failure::NotRun {
                    retry_after: Duration::ZERO,
                },
                AttemptError::Call(error) => retry_failure(error),
            };
            match self.step(Input::Failed { id, failure }) {
                Some(Output::Send { at, .. }) => sleep(at.since(self.clock.now())).await,
                Some(Output::GiveUp {
                    outcome,
                    reason,
                    retry_after,
                    ..
                }) => return Err(error.give_up(outcome, reason, retry_after)),
                None => {
                    return Err(error.give_up(Outcome::Unknown, Reason::Deadline, outgoing.limit));
                }
            }
        }
    }

    async fn attempt(
        &self,
        outgoing: &OutgoingRequest,
        deadline: Time,
        prior: &mut PriorAttempts,
    ) -> Result<Answer, AttemptError> {
        let route = match outgoing.key {
            None => self
                .directory
                .pick(&outgoing.service, &prior.endpoints)
                .map_err(AttemptError::Pick)?,
            Some(key) => self.owner(outgoing, key, deadline).await?,
        };
        let limit = deadline.since(self.clock.now());
        prior.any_sent = true;
        prior.endpoints.extend(route.endpoint());
        let request = self.request(outgoing, limit);
        let sent = self.clock.now();
        let result = route.calls().call(request, limit).await;
        route.close(routing_outcome(&result, self.clock.now().since(sent)));
        result.map_err(AttemptError::Call)
    }

    /// Picks the owner of `key` and fences the agents that may have owned it before.
    ///
    /// A former owner that already has the key gets the request itself.
    async fn owner(
        &self,
        outgoing: &OutgoingRequest,
        key: KeyHash,
        deadline: Time,
    ) -> Result<Route, AttemptError> {
        let owner = self.directory.pick_owner(&outgoing.service, key);
        let KeyOwner {
            route,
            to_fence: fences,
        } = owner.map_err(AttemptError::Pick)?;
        for former_owner in fences {
            let limit = deadline.since(self.clock.now());
            let id = self.next_id();
            match former_owner.fence(Fence { id, key }, limit).await {
                Ok(()) => {}
                // The former owner already has the key, so only it may answer.
                Err(CallError::Unknown {
                    timed_out: false, ..
                }) if !former_owner.link().is_closed() => {
                    return Ok(Route::uncounted(former_owner));
                }
                Err(_) => return Err(AttemptError::Call(fence_failed())),
            }
        }
        Ok(route)
    }

    fn request(&self, outgoing: &OutgoingRequest, limit: Duration) -> Request {
        Request {
            id: self.next_id(),
            service: outgoing.service.clone(),
            method: outgoing.method.clone(),
            path: outgoing.path.clone(),
            headers: outgoing.headers.clone(),
            body: outgoing.body.clone(),
            timeout: u64::try_from(agent_timeout(limit).as_micros()).unwrap_or(u64::MAX),
            trace: outgoing.trace.clone(),
        }
    }

    fn suspects(&self) -> MutexGuard<'_, CrashSuspects<EndpointId>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time until the request may be sent, since endpoints were lost under it; none if it may
    /// be sent now.
    fn barred_for(&self, outgoing: &OutgoingRequest) -> Option<Duration> {
        let suspects = self.suspects();
        if suspects.is_empty() {
            return None;
        }
        suspects.barred_for(self.clock.now(), outgoing.hash())
    }

    fn note_answered(&self, outgoing: &OutgoingRequest) {
        let mut suspects = self.suspects();
        if !suspects.is_empty() {
            suspects.answered(outgoing.hash());
        }
    }

    /// Notes that the last endpoint broke off; returns whether the request must not be sent on.
    fn note_lost(&self, id: RequestId, outgoing: &OutgoingRequest, prior: &PriorAttempts) -> bool {
        let Some(endpoint) = prior.endpoints.last() else {
            return false;
        };
        let now = self.clock.now();
        self.suspects().lost(now, id, outgoing.hash(), *endpoint)
    }

    fn next_id(&self) -> RequestId {
        RequestId(self.next.fetch_add(1, Ordering::Relaxed))
    }

    fn step(&self, input: Input) -> Option<Output> {
        let mut out = Vec::new();
        let mut retry = self.retry.lock().unwrap_or_else(PoisonError::into_inner);
        let (retry, rng) = &mut *retry;
        retry.step(self.clock.now(), input, rng, &mut out);
        out.pop()
    }
}

/// Removes a request from the retry state on drop: when it is answered, given up or cancelled.
struct RequestGuard<'a> {
    attempts: &'a Attempts,
    id: RequestId,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.attempts.step(Input::Done { id: self.id });
    }
}

/// Earlier attempts of a request.
#[derive(Debug, Default)]
struct PriorAttempts {
    /// Whether any attempt was sent to an agent.
    any_sent: bool,
    /// Endpoints already tried, passed to routing for the next pick.
    endpoints: Vec<EndpointId>,
}

/// Classifies the result of an attempt for routing.
fn routing_outcome(result: &Result<Answer, CallError>, latency: Duration) -> RoutingOutcome {
    match result {
        Ok(answer) if answer.status < FIRST_SERVER_ERROR => RoutingOutcome::Answered(latency),
        Ok(_) | Err(CallError::Unknown { .. }) => RoutingOutcome::Failed,
        Err(CallError::NotRun { .. }) => RoutingOutcome::Refused,
    }
}

enum AttemptError {
    Pick(PickError),
    Call(CallError),
}

impl AttemptError {
    fn is_endpoint_lost(&self) -> bool {
        matches!(
            self,
            Self::Call(CallError::Unknown {
                endpoint_lost: true,
                ..
            })
        )
    }

    fn give_up(&self, outcome: Outcome, reason: Reason, retry_after: Duration) -> SendError {
        let (message, timed_out) = match self {
            Self::Pick(error) => (error.to_string(), false),
            Self::Call(error) => (
                error.to_string(),
                matches!(
                    error,
                    CallError::Unknown {
                        timed_out: true,
                        ..
                    }
                ),
            ),
        };
        SendError::GaveUp {
            outcome,
            timed_out,
            reason: format!("{message} ({reason})"),
            retry_after,
        }
    }
}

/// The agent's time limit, shorter than `limit` so that its answer arrives in time.
fn agent_timeout(limit: Duration) -> Duration {
    limit - (limit / 10).min(MAX_RETURN_RESERVE)
}

fn retry_failure(error: &CallError) -> Failure {
    match error {
        CallError::NotRun { retry_after, .. } => Failure::NotRun {
            retry_after: *retry_after,
        },
        CallError::Unknown { .. } => Failure::Unknown,
    }
}

/// Error of a keyed request that was not sent because a former owner was not fenced.
fn fence_failed() -> CallError {
    CallError::NotRun {
        reason: "an endpoint that may have run this idempotency key does not answer".to_owned(),
        retry_after: Duration::ZERO,
    }
}
