//! What an entry sends again after a failed attempt, and when.
//!
//! An attempt fails with a proven "not run" or with an unknown outcome. After
//! "not run" any request may be sent again. After an unknown outcome only an
//! idempotent one may, and its final answer stays "unknown" even when a later
//! attempt was refused, since the earlier one may have run.
//!
//! Retries are paid from two budgets that first attempts fill by a share each:
//! a small one for attempts that may have reached an endpoint, which bounds the
//! load that retries add there, and a larger one for refusals, which add none.
//! A request that is given up on gets its final answer at once, with the time
//! after which the caller may come back.

mod budget;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rand::Rng;

use crate::configs::RetryConfig;
use crate::types::{RequestId, Time};

use budget::Budget;

/// Shortest wait that a final answer asks of its caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// One part in this many of a request's time must be left for an attempt to start.
const MIN_ATTEMPT: u32 = 10;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint never saw the request.
    NotRun {
        /// When the refusing side expects room.
        retry_after: Duration,
    },
    /// The endpoint may have run the request.
    Unknown,
}

/// What a caller is told when its request is given up on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Outcome {
    /// No attempt reached an endpoint.
    #[display("not-run")]
    NotRun,
    /// At least one attempt may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Reason {
    /// Its outcome is unknown and it may not run twice.
    #[display("not repeatable")]
    NotIdempotent,
    /// It has used its attempts.
    #[display("attempts used")]
    AttemptsExhausted,
    /// The next attempt would start too close to the deadline, or after it.
    #[display("deadline")]
    Deadline,
    /// Retries have used their share of the traffic.
    #[display("retry budget used")]
    BudgetExhausted,
}

/// What the entry reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// A request arrived.
    Begin {
        /// Its number, unique within one life of the entry.
        id: RequestId,
        /// When its caller stops waiting.
        deadline: Time,
        /// Whether running it twice has the same effect as once.
        idempotent: bool,
    },
    /// The last attempt of a request failed.
    Failed {
        /// Its number.
        id: RequestId,
        /// How it failed.
        failure: Failure,
    },
    /// A request was answered, or its caller went away.
    Done {
        /// Its number.
        id: RequestId,
    },
}

/// What the entry does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Send the request.
    Send {
        /// Its number.
        id: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// When; never after the deadline.
        at: Time,
    },
    /// Give the caller its final answer now.
    GiveUp {
        /// Its number.
        id: RequestId,
        /// What is known.
        outcome: Outcome,
        /// Why it is not sent again.
        reason: Reason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct Request {
    deadline: Time,
    limit: Duration,
    repeatable: bool,
    attempts: u32,
    outcome: Outcome,
}

/// Retries of one entry.
#[derive(Debug)]
pub struct Retry {
    config: RetryConfig,
    requests: BTreeMap<RequestId, Request>,
    repeats: Budget,
    reroutes: Budget,
}

impl Retry {
    /// Creates the retries of an entry without requests; both budgets are full.
    pub fn new(config: RetryConfig) -> Self {
        Self {
            requests: BTreeMap::new(),
            repeats: Budget::new(config.share, config.burst),
            reroutes: Budget::new(config.reroute_share, config.burst),
            config,
        }
    }

    /// Takes one input at `now` and appends what follows from it to `out`.
    pub fn step(
        &mut self,
        now: Time,
        input: Input,
        rng: &mut (impl Rng + ?Sized),
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Begin {
                id,
                deadline,
                idempotent: repeatable,
            } => out.push(self.begin(now, id, deadline, repeatable)),
            Input::Failed { id, failure } => out.extend(self.failed(now, id, failure, rng)),
            Input::Done { id } => {
                self.requests.remove(&id);
            }
        }
    }

    /// Requests that are neither answered nor given up on.
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    fn begin(&mut self, now: Time, id: RequestId, deadline: Time, repeatable: bool) -> Output {
        self.repeats.earn();
        self.reroutes.earn();
        let request = Request {
            deadline,
            limit: deadline.since(now),
            repeatable,
            attempts: 1,
            outcome: Outcome::NotRun,
        };
        self.requests.insert(id, request);
        Output::Send {
            id,
            attempt: 1,
            at: now,
        }
    }

    fn failed(
        &mut self,
        now: Time,
        id: RequestId,
        failure: Failure,
        rng: &mut (impl Rng + ?Sized),
    ) -> Option<Output> {
        let mut request = self.requests.remove(&id)?;
        if failure == Failure::Unknown {
            request.outcome = Outcome::Unknown;
        }
        let wait = self.backoff(request.attempts, failure, rng);
        let at = now.after(wait);
        if let Some(reason) = self.reason_to_stop(at, &request, failure) {
            let retry_after = self.retry_after(failure, wait);
            return Some(Output::GiveUp {
                id,
                outcome: request.outcome,
                reason,
                retry_after,
            });
        }
        request.attempts += 1;
        self.requests.insert(id, request);
        Some(Output::Send {
            id,
            attempt: request.attempts,
            at,
        })
    }

    /// Checks the budget last, so that only a retry that is sent is paid for.
    fn reason_to_stop(&mut self, at: Time, request: &Request, failure: Failure) -> Option<Reason> {
        let is_unknown = failure == Failure::Unknown;
        if is_unknown && !request.repeatable {
            return Some(Reason::NotIdempotent);
        }
        if request.attempts >= self.config.attempts {
            return Some(Reason::AttemptsExhausted);
        }
        if at.after(request.limit / MIN_ATTEMPT) >= request.deadline {
            return Some(Reason::Deadline);
        }
        let budget = match is_unknown {
            true => &mut self.repeats,
            false => &mut self.reroutes,
        };
        (!budget.spend()).then_some(Reason::BudgetExhausted)
    }

    /// No wait for the first retry after "not run", which goes to another endpoint;
    /// else a random part of an exponentially growing span.
    fn backoff(&self, attempts: u32, failure: Failure, rng: &mut (impl Rng + ?Sized)) -> Duration {
        let is_refusal = matches!(failure, Failure::NotRun { .. });
        if is_refusal && attempts == 1 {
            return Duration::ZERO;
        }
        let doublings = attempts.saturating_sub(1).min(16);
        let span = self.config.backoff.saturating_mul(1 << doublings);
        span.min(self.config.max_backoff)
            .mul_f64(rng.random_range(0.5..=1.0))
    }

    fn retry_after(&self, failure: Failure, wait: Duration) -> Duration {
        let asked = match failure {
            Failure::NotRun { retry_after } => retry_after,
            Failure::Unknown => self.config.max_backoff,
        };
        asked.max(wait).max(MIN_RETRY_AFTER)
    }
}

/// Whether HTTP defines `method` as idempotent.
pub fn is_idempotent(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS" | "TRACE"
    )
}

#[cfg(test)]
mod tests;
