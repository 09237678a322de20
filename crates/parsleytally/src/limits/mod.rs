//! Admission at the agent: which request starts, waits or is refused.
//!
//! Two bounds are hard: `slots`, the requests in service at the endpoint, and
//! `connections`, which also counts requests that were abandoned while the
//! endpoint still held them. Below `slots` the number in service follows the
//! endpoint's service time. Requests without a slot wait in a bounded queue;
//! a latency-critical request displaces a bulk one when the queue is full.
//!
//! A request that cannot be answered before its deadline is refused when it
//! arrives rather than after it has waited. Every refusal is given before the
//! endpoint has seen the request, so it proves "not run".

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
use queue::{Queue, Waiting};

/// Shortest wait that a refusal asks of its caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest wait that a refusal asks of its caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Number of an arrival, unique within one life of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Ticket(pub u64);

/// What a request is worth when not all can be served; the first is kept longest.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Class {
    /// A caller waits for it.
    #[default]
    Critical,
    /// Work in bulk that its caller repeats later.
    Bulk,
}

/// How a request that had started came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered whole.
    Answered,
    /// The endpoint closed the connection or broke its answer off.
    Failed,
    /// The agent gave up while the endpoint still held the request.
    Abandoned,
}

/// What the agent reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// A request arrived; a ticket that is already known is ignored.
    Arrive {
        /// Its number.
        ticket: Ticket,
        /// Its class.
        class: Class,
        /// When its caller stops waiting.
        deadline: Time,
    },
    /// A started request ended.
    Finish {
        /// Its number.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller of a waiting request went away.
    Cancel {
        /// Its number.
        ticket: Ticket,
    },
    /// The endpoint leaves: nothing new is admitted from now on.
    Drain,
    /// Time passed; see [`Limits::next_wake`].
    Tick,
}

/// What the agent does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Hand the request over to the endpoint.
    Start {
        /// Its number.
        ticket: Ticket,
    },
    /// Answer "not run"; the endpoint has not seen the request.
    Refuse {
        /// Its number.
        ticket: Ticket,
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
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
    /// A latency-critical request took its place in the queue.
    #[display("displaced by a latency-critical request")]
    Displaced,
    /// It would not have been answered before its deadline.
    #[display("deadline too close for the queue")]
    #[serde(rename = "Late")]
    DeadlineTooClose,
    /// Its deadline passed while it waited.
    #[display("deadline passed in the queue")]
    Expired,
    /// Its caller went away while it waited.
    #[display("caller went away")]
    Cancelled,
    /// The endpoint is leaving.
    #[display("endpoint is leaving")]
    #[serde(rename = "Leaving")]
    Draining,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    Draining { until: Time },
}

/// Admission of one endpoint.
#[derive(Debug)]
pub struct AdmissionControl {
    config: LimitsConfig,
    state: State,
    queue: Queue,
    running: BTreeMap<Ticket, Time>,
    abandoned: VecDeque<Time>,
    service: ServiceTime,
    adapt: Box<dyn ConcurrencyLimit>,
}

impl AdmissionControl {
    /// Creates the admission of an idle endpoint.
    pub fn new(config: LimitsConfig) -> Self {
        let adapt = configured_limit(&config);
        Self::with_concurrency_limit(config, adapt)
    }

    /// As [`Limits::new`], with another way of adapting than `config` names.
    pub fn with_concurrency_limit(config: LimitsConfig, adapt: Box<dyn ConcurrencyLimit>) -> Self {
        Self {
            state: State::Serving,
            queue: Queue::new(config.queue as usize),
            running: BTreeMap::new(),
            abandoned: VecDeque::new(),
            service: ServiceTime::default(),
            adapt,
            config,
        }
    }

    /// Takes one input at `now` and appends what follows from it to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.expire(now, out);
        match input {
            Input::Arrive {
                ticket,
                class,
                deadline,
            } => self.arrive(now, Waiting::new(ticket, class, deadline), out),
            Input::Finish { ticket, outcome } => self.finish(now, ticket, outcome),
            Input::Cancel { ticket } => self.cancel(ticket, out),
            Input::Drain => self.leave(now),
            Input::Tick => {}
        }
        self.start_waiting(now, out);
    }

    /// When the next [`Input::Tick`] is due, if nothing else comes before.
    pub fn next_wake(&self) -> Option<Time> {
        let leave = match self.state {
            State::Draining { until } if !self.queue.is_empty() => Some(until),
            _ => None,
        };
        let freed = match self.queue.is_empty() {
            true => None,
            false => self.abandoned.front().copied(),
        };
        [leave, freed, self.queue.next_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Requests in service.
    pub fn in_service(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Connections that count as open at the endpoint.
    pub fn connections(&self) -> usize {
        self.running.len() + self.abandoned.len()
    }

    /// Requests that may be in service at present; at most `slots`.
    pub fn limit(&self) -> usize {
        self.adapt.limit().clamp(1, self.config.slots) as usize
    }

    /// Whether nothing new is admitted.
    pub fn is_draining(&self) -> bool {
        self.state != State::Serving
    }

    /// Whether nothing is in service and nothing waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    fn arrive(&mut self, now: Time, request: Waiting, out: &mut Vec<Output>) {
        if self.running.contains_key(&request.ticket) || self.queue.contains(request.ticket) {
            return;
        }
        if let Some(reason) = self.reason_to_refuse(now, &request) {
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

    fn reason_to_refuse(&self, now: Time, request: &Waiting) -> Option<RefusalReason> {
        if self.is_draining() {
            return Some(RefusalReason::Draining);
        }
        if request.deadline <= now {
            return Some(RefusalReason::Expired);
        }
        let ahead = self.queue.ahead_of(request.class);
        let is_late = now.after(self.time_to_answer(ahead)) > request.deadline;
        (is_late && !self.is_idle()).then_some(RefusalReason::DeadlineTooClose)
    }

    /// Expected time until a request with `ahead` others before it is answered.
    fn time_to_answer(&self, ahead: usize) -> Duration {
        self.time_to_start(ahead) + self.service.shortest()
    }

    fn time_to_start(&self, ahead: usize) -> Duration {
        let limit = self.limit();
        let ends = (self.running.len() + ahead + 1).saturating_sub(limit);
        self.service.mean() * saturating_u32(ends) / saturating_u32(limit)
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
        self.running.len() < self.limit() && self.connections() < self.config.connections as usize
    }

    fn start(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Output>) {
        self.running.insert(ticket, now);
        out.push(Output::Start { ticket });
    }

    fn finish(&mut self, now: Time, ticket: Ticket, outcome: Outcome) {
        let Some(started) = self.running.remove(&ticket) else {
            return;
        };
        let spent = now.since(started);
        if outcome == Outcome::Abandoned {
            self.abandoned.push_back(now.after(self.config.linger));
        }
        if outcome != Outcome::Failed {
            self.service.add(spent);
        }
        self.adapt.record(Sample {
            ended_at: now,
            service_time: spent,
            answered: outcome == Outcome::Answered,
            in_service: saturating_u32(self.running.len() + 1),
        });
    }

    fn cancel(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        if self.queue.remove(ticket) {
            self.refuse(ticket, RefusalReason::Cancelled, out);
        }
    }

    fn leave(&mut self, now: Time) {
        if self.state == State::Serving {
            let until = now.after(self.config.leave_grace);
            self.state = State::Draining { until };
        }
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Output>) {
        while self.abandoned.front().is_some_and(|until| *until <= now) {
            self.abandoned.pop_front();
        }
        for ticket in self.queue.take_expired(now) {
            self.refuse(ticket, RefusalReason::Expired, out);
        }
        if matches!(self.state, State::Draining { until } if until <= now) {
            while let Some(request) = self.queue.pop() {
                self.refuse(request.ticket, RefusalReason::Draining, out);
            }
        }
    }

    fn start_waiting(&mut self, now: Time, out: &mut Vec<Output>) {
        while self.has_slot() {
            let Some(request) = self.queue.pop() else {
                return;
            };
            let is_late = now.after(self.service.shortest()) > request.deadline;
            if is_late && !self.running.is_empty() {
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
