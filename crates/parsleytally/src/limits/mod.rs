//! Admission control at the agent: starts, queues or refuses each request.
//!
//! Two bounds are hard: `slots`, the requests in service at the endpoint, and
//! `connections`, which also counts abandoned requests that the endpoint may still
//! process. Below `slots` an adaptive concurrency limit follows the endpoint's rate
//! of answers. Requests without a slot wait in a bounded queue; a latency-critical
//! request displaces a bulk one when the queue is full.
//!
//! A request that is expected to miss its deadline is refused on arrival rather than
//! after a wait. Every refusal precedes the request's start at the endpoint, so it
//! proves "not run".

mod concurrency;
mod estimate;
mod queue;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::configs::LimitsConfig;
use crate::types::Time;

pub use concurrency::{ConcurrencyLimit, Sample, configured_limit};
use estimate::ServiceTime;
use queue::{Queue, QueuedRequest};

/// Lower bound of the retry delay in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Upper bound of the retry delay in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Number of a request, unique within one incarnation of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Ticket(pub u64);

/// Priority class of a request under overload, highest first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Class {
    /// Latency-critical: its caller waits for the answer.
    #[default]
    Critical,
    /// Bulk work that its caller can retry later.
    Bulk,
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint sent a complete answer.
    Answered,
    /// The endpoint closed the connection or cut its answer short.
    Failed,
    /// The agent stopped waiting; the endpoint may still process the request.
    Abandoned,
}

/// Events that the agent reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// A request arrived; ignored if its ticket is queued or in service already.
    Arrive {
        /// Ticket of the request.
        ticket: Ticket,
        /// Priority class.
        class: Class,
        /// When its caller stops waiting.
        deadline: Time,
    },
    /// A started request ended.
    Finish {
        /// Ticket of the request.
        ticket: Ticket,
        /// How the request ended.
        outcome: Outcome,
    },
    /// The caller of a queued request cancelled it.
    Cancel {
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// The endpoint drains: refuse arrivals now, queued requests after `leave_grace`.
    Drain,
    /// Time passed; see [`AdmissionControl::next_wake`].
    Tick,
}

/// Effects that the agent carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Send the request to the endpoint.
    Start {
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// Answer "not run"; the request was not sent to the endpoint.
    Refuse {
        /// Ticket of the request.
        ticket: Ticket,
        /// Why the request is refused.
        reason: RefusalReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The queue is full.
    #[display("queue full")]
    #[serde(rename = "Full")]
    QueueFull,
    /// A latency-critical request displaced it from the full queue.
    #[display("displaced by a latency-critical request")]
    Displaced,
    /// The expected answer is later than its deadline.
    #[display("deadline too close for the queue")]
    #[serde(rename = "Late")]
    DeadlineTooClose,
    /// Its deadline passed, on arrival or in the queue.
    #[display("deadline passed in the queue")]
    Expired,
    /// Its caller cancelled it while it was queued.
    #[display("caller went away")]
    Cancelled,
    /// The endpoint is draining.
    #[display("endpoint is leaving")]
    #[serde(rename = "Leaving")]
    Draining,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    Draining { until: Time },
}

/// Admission control of one endpoint.
#[derive(Debug)]
pub struct AdmissionControl {
    config: LimitsConfig,
    state: State,
    queue: Queue,
    in_service: BTreeMap<Ticket, Time>,
    abandoned_until: VecDeque<Time>,
    service_time: ServiceTime,
    concurrency_limit: Box<dyn ConcurrencyLimit>,
}

impl AdmissionControl {
    /// Creates the admission control of an idle endpoint.
    pub fn new(config: LimitsConfig) -> Self {
        let concurrency_limit = configured_limit(&config);
        Self::with_concurrency_limit(config, concurrency_limit)
    }

    /// Like [`AdmissionControl::new`], with a concurrency limit other than `config` names.
    pub fn with_concurrency_limit(
        config: LimitsConfig,
        concurrency_limit: Box<dyn ConcurrencyLimit>,
    ) -> Self {
        Self {
            state: State::Serving,
            queue: Queue::new(config.queue as usize),
            in_service: BTreeMap::new(),
            abandoned_until: VecDeque::new(),
            service_time: ServiceTime::default(),
            concurrency_limit,
            config,
        }
    }

    /// Handles one event at `now` and appends its effects to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.expire(now, out);
        match input {
            Input::Arrive {
                ticket,
                class,
                deadline,
            } => self.arrive(now, QueuedRequest::new(ticket, class, deadline), out),
            Input::Finish { ticket, outcome } => self.finish(now, ticket, outcome),
            Input::Cancel { ticket } => self.cancel(ticket, out),
            Input::Drain => self.drain(now),
            Input::Tick => {}
        }
        self.start_queued(now, out);
    }

    /// When the next [`Input::Tick`] is due, unless another event comes first.
    pub fn next_wake(&self) -> Option<Time> {
        let drain_end = match self.state {
            State::Draining { until } if !self.queue.is_empty() => Some(until),
            _ => None,
        };
        let connection_freed = match self.queue.is_empty() {
            true => None,
            false => self.abandoned_until.front().copied(),
        };
        [drain_end, connection_freed, self.queue.next_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Requests in service.
    pub fn in_service(&self) -> usize {
        self.in_service.len()
    }

    /// Requests in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Connections counted as open: requests in service and recently abandoned ones.
    pub fn connections(&self) -> usize {
        self.in_service.len() + self.abandoned_until.len()
    }

    /// Current concurrency limit, from 1 to `slots`.
    pub fn limit(&self) -> usize {
        self.concurrency_limit.limit().clamp(1, self.config.slots) as usize
    }

    /// Whether new requests are refused because the endpoint drains.
    pub fn is_draining(&self) -> bool {
        self.state != State::Serving
    }

    /// Whether no request is in service and none is queued.
    pub fn is_idle(&self) -> bool {
        self.in_service.is_empty() && self.queue.is_empty()
    }

    fn arrive(&mut self, now: Time, request: QueuedRequest, out: &mut Vec<Output>) {
        if self.in_service.contains_key(&request.ticket) || self.queue.contains(request.ticket) {
            return;
        }
        if let Some(reason) = self.refusal_reason(now, &request) {
            return self.refuse(request.ticket, reason, out);
        }
        if self.queue.is_empty() && self.has_slot() {
            return self.start(now, request.ticket, out);
        }
        match self.queue.push(request) {
            Ok(None) => {}
            Ok(Some(displaced)) => self.refuse(displaced.ticket, RefusalReason::Displaced, out),
            Err(refused) => self.refuse(refused.ticket, RefusalReason::QueueFull, out),
        }
    }

    fn refusal_reason(&self, now: Time, request: &QueuedRequest) -> Option<RefusalReason> {
        if self.is_draining() {
            return Some(RefusalReason::Draining);
        }
        if request.deadline <= now {
            return Some(RefusalReason::Expired);
        }
        let ahead = self.queue.count_ahead(request.class);
        let misses_deadline = now.after(self.time_to_answer(ahead)) > request.deadline;
        (misses_deadline && !self.is_idle()).then_some(RefusalReason::DeadlineTooClose)
    }

    /// Expected time until the answer of a request with `ahead` others queued before it.
    fn time_to_answer(&self, ahead: usize) -> Duration {
        self.time_to_start(ahead) + self.service_time.shortest()
    }

    fn time_to_start(&self, ahead: usize) -> Duration {
        let limit = self.limit();
        let completions = (self.in_service.len() + ahead + 1).saturating_sub(limit);
        self.service_time.mean() * saturating_u32(completions) / saturating_u32(limit)
    }

    fn refuse(&self, ticket: Ticket, reason: RefusalReason, out: &mut Vec<Output>) {
        let retry_after = self
            .time_to_start(self.queue.len())
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        out.push(Output::Refuse {
            ticket,
            reason,
            retry_after,
        });
    }

    fn has_slot(&self) -> bool {
        self.in_service.len() < self.limit()
            && self.connections() < self.config.connections as usize
    }

    fn start(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Output>) {
        self.in_service.insert(ticket, now);
        out.push(Output::Start { ticket });
    }

    fn finish(&mut self, now: Time, ticket: Ticket, outcome: Outcome) {
        let Some(started) = self.in_service.remove(&ticket) else {
            return;
        };
        let service_time = now.since(started);
        if outcome == Outcome::Abandoned {
            self.abandoned_until
                .push_back(now.after(self.config.linger));
        }
        if outcome != Outcome::Failed {
            self.service_time.record(service_time);
        }
        self.concurrency_limit.record(Sample {
            ended_at: now,
            service_time,
            answered: outcome == Outcome::Answered,
            in_service: saturating_u32(self.in_service.len() + 1),
        });
    }

    fn cancel(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        if self.queue.remove(ticket) {
            self.refuse(ticket, RefusalReason::Cancelled, out);
        }
    }

    fn drain(&mut self, now: Time) {
        if self.state == State::Serving {
            let until = now.after(self.config.leave_grace);
            self.state = State::Draining { until };
        }
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Output>) {
        while self
            .abandoned_until
            .front()
            .is_some_and(|until| *until <= now)
        {
            self.abandoned_until.pop_front();
        }
        for ticket in self.queue.remove_expired(now) {
            self.refuse(ticket, RefusalReason::Expired, out);
        }
        if matches!(self.state, State::Draining { until } if until <= now) {
            while let Some(request) = self.queue.pop() {
                self.refuse(request.ticket, RefusalReason::Draining, out);
            }
        }
    }

    fn start_queued(&mut self, now: Time, out: &mut Vec<Output>) {
        while self.has_slot() {
            let Some(request) = self.queue.pop() else {
                return;
            };
            let misses_deadline = now.after(self.service_time.shortest()) > request.deadline;
            if misses_deadline && !self.in_service.is_empty() {
                self.refuse(request.ticket, RefusalReason::DeadlineTooClose, out);
            } else {
                self.start(now, request.ticket, out);
            }
        }
    }
}

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
