//! Retry policy of an entry: whether and when a failed request is sent again.
//!
//! An attempt fails either with a proven "not run" or with an unknown outcome. After
//! "not run" any request may be retried. After an unknown outcome only an idempotent
//! request may, and its final outcome stays "unknown" even if a later attempt is
//! refused, since the earlier one may have run.
//!
//! Retries are limited by two token buckets, each refilled by first attempts: a small
//! one for attempts that may have reached an endpoint, which bounds the load that
//! retries add there, and a larger one for refused attempts, which add no load. When
//! retries end, the final outcome is returned at once, with a time after which the
//! caller may try again.

mod budget;
mod suspects;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rand::Rng;

use crate::configs::RetryConfig;
use crate::types::{RequestId, Time};

use budget::Budget;

pub use suspects::CrashSuspects;

/// Minimum `retry_after` of a final outcome.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// An attempt starts only if more than 1/10 of the request's total time remains.
const MIN_REMAINING_DIVISOR: u32 = 10;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request provably did not reach the endpoint.
    NotRun {
        /// Time until the refusing side expects free capacity.
        retry_after: Duration,
    },
    /// The endpoint may have run the request.
    Unknown,
}

/// Final outcome of a request that is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Outcome {
    /// No attempt reached an endpoint.
    #[display("not-run")]
    NotRun,
    /// At least one attempt may have run.
    #[display("unknown")]
    Unknown,
}

/// Reason for not retrying a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Reason {
    /// The outcome is unknown and the request is not idempotent.
    #[display("not repeatable")]
    NotIdempotent,
    /// The maximum number of attempts is reached.
    #[display("attempts used")]
    AttemptsExhausted,
    /// The next attempt would start too close to the deadline, or after it.
    #[display("deadline")]
    Deadline,
    /// The retry budget is exhausted.
    #[display("retry budget used")]
    BudgetExhausted,
}

/// Events that the entry reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// A request arrived.
    Begin {
        /// Request number, unique within one incarnation of the entry.
        id: RequestId,
        /// Time at which the caller stops waiting.
        deadline: Time,
        /// Whether running it twice has the same effect as running it once.
        idempotent: bool,
    },
    /// The latest attempt of a request failed.
    Failed {
        /// Request number.
        id: RequestId,
        /// How the attempt failed.
        failure: Failure,
    },
    /// A request was answered, or its caller stopped waiting.
    Done {
        /// Request number.
        id: RequestId,
    },
}

/// Effects for the entry to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Send the request.
    Send {
        /// Request number.
        id: RequestId,
        /// Attempt number, starting at 1.
        attempt: u32,
        /// Time to send it at; never after the deadline.
        at: Time,
    },
    /// Return the final outcome to the caller now.
    GiveUp {
        /// Request number.
        id: RequestId,
        /// Final outcome.
        outcome: Outcome,
        /// Reason for not retrying.
        reason: Reason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct Request {
    deadline: Time,
    time_limit: Duration,
    idempotent: bool,
    attempts: u32,
    outcome: Outcome,
}

/// Retry state of one entry's requests.
#[derive(Debug)]
pub struct Retry {
    config: RetryConfig,
    requests: BTreeMap<RequestId, Request>,
    repeat_budget: Budget,
    reroute_budget: Budget,
}

impl Retry {
    /// Creates a state without requests and with full budgets.
    pub fn new(config: RetryConfig) -> Self {
        Self {
            requests: BTreeMap::new(),
            repeat_budget: Budget::new(config.share, config.burst),
            reroute_budget: Budget::new(config.reroute_share, config.burst),
            config,
        }
    }

    /// Processes one event at `now` and appends its effects to `out`.
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
                idempotent,
            } => out.push(self.begin(now, id, deadline, idempotent)),
            Input::Failed { id, failure } => out.extend(self.failed(now, id, failure, rng)),
            Input::Done { id } => {
                self.requests.remove(&id);
            }
        }
    }

    /// Number of requests without a final outcome.
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    fn begin(&mut self, now: Time, id: RequestId, deadline: Time, idempotent: bool) -> Output {
        self.repeat_budget.refill();
        self.reroute_budget.refill();
        let request = Request {
            deadline,
            time_limit: deadline.since(now),
            idempotent,
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
        let delay = self.backoff(request.attempts, failure, rng);
        let at = now.after(delay);
        if let Some(reason) = self.reason_to_stop(at, &request, failure) {
            let retry_after = self.retry_after(failure, delay);
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

    /// Reason for not retrying at `at`, if any. Checks the budget last, so that only a retry that
    /// is sent spends a token.
    fn reason_to_stop(&mut self, at: Time, request: &Request, failure: Failure) -> Option<Reason> {
        let is_unknown = failure == Failure::Unknown;
        if is_unknown && !request.idempotent {
            return Some(Reason::NotIdempotent);
        }
        if request.attempts >= self.config.attempts {
            return Some(Reason::AttemptsExhausted);
        }
        if at.after(request.time_limit / MIN_REMAINING_DIVISOR) >= request.deadline {
            return Some(Reason::Deadline);
        }
        let budget = match is_unknown {
            true => &mut self.repeat_budget,
            false => &mut self.reroute_budget,
        };
        (!budget.try_spend()).then_some(Reason::BudgetExhausted)
    }

    /// Delay before the next attempt: none for the first retry after "not run", which goes to
    /// another endpoint, otherwise 50 % to 100 % of an exponentially growing duration.
    fn backoff(&self, attempts: u32, failure: Failure, rng: &mut (impl Rng + ?Sized)) -> Duration {
        let is_refusal = matches!(failure, Failure::NotRun { .. });
        if is_refusal && attempts == 1 {
            return Duration::ZERO;
        }
        let doublings = attempts.saturating_sub(1).min(16);
        let delay = self.config.backoff.saturating_mul(1 << doublings);
        delay
            .min(self.config.max_backoff)
            .mul_f64(rng.random_range(0.5..=1.0))
    }

    fn retry_after(&self, failure: Failure, delay: Duration) -> Duration {
        let suggested = match failure {
            Failure::NotRun { retry_after } => retry_after,
            Failure::Unknown => self.config.max_backoff,
        };
        suggested.max(delay).max(MIN_RETRY_AFTER)
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
