//! The attempts of one caller's request: choose an endpoint, send, and send again.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use parsleytally::configs::RetryConfig;
use parsleytally::idempotency::KeyHash;
use parsleytally::retry::{Failure, Input, Outcome, Output, Reason, Retry};
use parsleytally::routing::{EndpointId, Outcome as Ending};
use parsleytally::types::{RequestId, ServiceKey, Time};
use parsleytally_link::{Answer, CallError, Fence, Header, Request};
use parsleytally_platform::process::Clock;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::directory::{DirectoryRing, Owner, PickError, Route};

/// Longest time kept back from an agent for the way of its verdict.
const MAX_RETURN_TIME: Duration = Duration::from_millis(250);

/// Lowest HTTP status that tells of a failing endpoint.
const FIRST_SERVER_ERROR: u16 = 500;

/// A caller's request, read whole.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) service: ServiceKey,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) trace: String,
    /// How long the caller waits.
    pub(crate) limit: Duration,
    pub(crate) repeatable: bool,
    pub(crate) key: Option<KeyHash>,
}

/// Why a request got no answer.
#[derive(Debug)]
pub(crate) enum NoAnswer {
    /// No endpoint was chosen for any attempt.
    NotSent(PickError),
    /// The attempts failed.
    GaveUp {
        outcome: Outcome,
        late: bool,
        reason: String,
        retry_after: Duration,
    },
}

/// Sends requests and sends them again.
pub(crate) struct Attempts {
    directory: DirectoryRing,
    clock: Clock,
    next: AtomicU64,
    retry: Mutex<(Retry, SmallRng)>,
}

impl Attempts {
    pub(crate) fn new(directory: DirectoryRing, config: RetryConfig, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            directory,
            clock: Clock::start(),
            next: AtomicU64::new(1),
            retry: Mutex::new((Retry::new(config), rng)),
        }
    }

    /// Sends `order` until it is answered or given up on.
    pub(crate) async fn run(&self, order: &Order) -> Result<Answer, NoAnswer> {
        let deadline = self.clock.now().after(order.limit);
        let begun = Begun {
            attempts: self,
            id: self.next_id(),
        };
        let id = begun.id;
        let repeatable = order.repeatable;
        self.step(Input::Begin {
            id,
            deadline,
            idempotent: repeatable,
        });
        let mut tried = Tried::default();
        loop {
            let error = match self.attempt(order, deadline, &mut tried).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let failure = match &error {
                AttemptError::Pick(error) if !tried.any => {
                    return Err(NoAnswer::NotSent(*error));
                }
                AttemptError::Pick(_) => Failure::NotRun {
                    retry_after: Duration::ZERO,
                },
                AttemptError::Call(error) => failure_of(error),
            };
            match self.step(Input::Failed { id, failure }) {
                Some(Output::Send { at, .. }) => sleep(at.since(self.clock.now())).await,
                Some(Output::GiveUp {
                    outcome,
                    reason,
                    retry_after,
                    ..
                }) => return Err(error.give_up(outcome, reason, retry_after)),
                None => return Err(error.give_up(Outcome::Unknown, Reason::Deadline, order.limit)),
            }
        }
    }

    async fn attempt(
        &self,
        order: &Order,
        deadline: Time,
        tried: &mut Tried,
    ) -> Result<Answer, AttemptError> {
        let route = match order.key {
            None => self
                .directory
                .pick(&order.service, &tried.endpoints)
                .map_err(AttemptError::Pick)?,
            Some(key) => self.owner(order, key, deadline).await?,
        };
        let limit = deadline.since(self.clock.now());
        tried.any = true;
        tried.endpoints.extend(route.endpoint());
        let request = self.request(order, limit);
        let sent = self.clock.now();
        let verdict = route.calls().call(request, limit).await;
        route.close(ending(&verdict, self.clock.now().since(sent)));
        verdict.map_err(AttemptError::Call)
    }

    /// Chooses the owner of `key` and fences those that may have owned it.
    async fn owner(
        &self,
        order: &Order,
        key: KeyHash,
        deadline: Time,
    ) -> Result<Route, AttemptError> {
        let owner = self.directory.pick_owner(&order.service, key);
        let Owner { route, fences } = owner.map_err(AttemptError::Pick)?;
        for former in fences {
            let limit = deadline.since(self.clock.now());
            let id = self.next_id();
            match former.fence(Fence { id, key }, limit).await {
                Ok(()) => {}
                // It knows the key: it alone answers for it.
                Err(CallError::Unknown {
                    timed_out: false, ..
                }) if !former.link().is_closed() => {
                    return Ok(Route::uncounted(former));
                }
                Err(_) => return Err(AttemptError::Call(not_fenced())),
            }
        }
        Ok(route)
    }

    fn request(&self, order: &Order, limit: Duration) -> Request {
        Request {
            id: self.next_id(),
            service: order.service.clone(),
            method: order.method.clone(),
            path: order.path.clone(),
            headers: order.headers.clone(),
            body: order.body.clone(),
            timeout: u64::try_from(agent_limit(limit).as_micros()).unwrap_or(u64::MAX),
            trace: order.trace.clone(),
        }
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

/// Forgets a request when it is answered, given up on, or its caller went away.
struct Begun<'a> {
    attempts: &'a Attempts,
    id: RequestId,
}

impl Drop for Begun<'_> {
    fn drop(&mut self) {
        self.attempts.step(Input::Done { id: self.id });
    }
}

/// Where a request has been sent.
#[derive(Debug, Default)]
struct Tried {
    any: bool,
    endpoints: Vec<EndpointId>,
}

/// What routing learns from the end of an attempt.
fn ending(verdict: &Result<Answer, CallError>, latency: Duration) -> Ending {
    match verdict {
        Ok(answer) if answer.status < FIRST_SERVER_ERROR => Ending::Answered(latency),
        Ok(_) | Err(CallError::Unknown { .. }) => Ending::Failed,
        Err(CallError::NotRun { .. }) => Ending::Refused,
    }
}

enum AttemptError {
    Pick(PickError),
    Call(CallError),
}

impl AttemptError {
    fn give_up(&self, outcome: Outcome, reason: Reason, retry_after: Duration) -> NoAnswer {
        let (text, late) = match self {
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
        NoAnswer::GaveUp {
            outcome,
            late,
            reason: format!("{text} ({reason})"),
            retry_after,
        }
    }
}

/// The agent's part of `limit`, so that its verdict is back before the limit ends.
fn agent_limit(limit: Duration) -> Duration {
    limit - (limit / 10).min(MAX_RETURN_TIME)
}

fn failure_of(error: &CallError) -> Failure {
    match error {
        CallError::NotRun { retry_after, .. } => Failure::NotRun {
            retry_after: *retry_after,
        },
        CallError::Unknown { .. } => Failure::Unknown,
    }
}

/// A keyed request that was not sent, since a former owner did not answer.
fn not_fenced() -> CallError {
    CallError::NotRun {
        reason: "an endpoint that may have run this idempotency key does not answer".to_owned(),
        retry_after: Duration::ZERO,
    }
}
