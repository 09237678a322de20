//! Idempotency keys of one agent: running requests and remembered outcomes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{KeyHash, RequestHash};
use crate::configs::OnceConfig;
use crate::types::Time;

/// Shortest retry delay that a refusal gives the caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Number of a request or fence, unique within one incarnation of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Ticket(pub u64);

/// Outcome of the request that runs under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<A> {
    /// The endpoint answered.
    Answered {
        /// The answer; cloned for every replay, so it should be a shared pointer.
        answer: A,
        /// Its size, in bytes.
        size: u64,
    },
    /// The endpoint never received the request.
    NotRun,
    /// The endpoint may have run the request.
    Unknown,
}

/// Input of a [`KeyTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<A> {
    /// A keyed request arrived.
    Arrive {
        /// Number of the request.
        ticket: Ticket,
        /// Its key.
        key: KeyHash,
        /// Its method, path and body.
        request: RequestHash,
    },
    /// The request that ran under a key ended.
    Complete {
        /// Its key.
        key: KeyHash,
        /// Its outcome.
        outcome: Outcome<A>,
    },
    /// Another agent becomes the owner of the key.
    Fence {
        /// Number of the fence.
        ticket: Ticket,
        /// The key.
        key: KeyHash,
    },
}

/// Output of a [`KeyTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output<A> {
    /// Run the request and report its outcome by [`Input::Complete`].
    Run {
        /// Number of the request.
        ticket: Ticket,
    },
    /// Replay the answer of the first request of the key.
    Replay {
        /// Number of the request.
        ticket: Ticket,
        /// The first request's answer.
        answer: A,
    },
    /// Answer 409: the request was not run, because of an earlier use of its key.
    Refuse {
        /// Number of the request.
        ticket: Ticket,
        /// Why the key can't be used.
        conflict: Conflict,
    },
    /// Answer "not run": the table is full.
    NotRun {
        /// Number of the request or fence.
        ticket: Ticket,
        /// Delay before the caller may retry.
        retry_after: Duration,
    },
    /// The key has not run on this agent and will not run on it.
    Fenced {
        /// Number of the fence.
        ticket: Ticket,
    },
    /// The key is running or has run on this agent, so it can't move.
    FenceRefused {
        /// Number of the fence.
        ticket: Ticket,
    },
}

/// Why a key can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Conflict {
    /// An earlier request of the key had another method, path or body.
    #[display("the key was used for another request")]
    Reused,
    /// The first request may have run; its outcome is unknown.
    #[display("the outcome of the first request is unknown")]
    Unknown,
    /// The first request ran; its answer did not fit into the table.
    #[display("the first request ran and its answer was not kept")]
    AnswerNotKept,
    /// Another agent owns the key now.
    #[display("another endpoint owns the key")]
    Moved,
}

#[derive(Debug)]
enum State<A> {
    Running { waiters: Vec<Ticket> },
    Answered { answer: A, size: u64 },
    AnswerNotKept,
    Unknown,
    Moved,
}

#[derive(Debug)]
struct Record<A> {
    /// The first request; `None` for a key that was fenced before it ran.
    request: Option<RequestHash>,
    state: State<A>,
}

/// Remembered keys of one agent, bounded in number and memory.
///
/// No record is dropped before it expires: a full table refuses new keys.
#[derive(Debug)]
pub struct KeyTable<A> {
    config: OnceConfig,
    records: HashMap<KeyHash, Record<A>>,
    /// Expiry times of the keys that do not run, in ascending order.
    expiry: VecDeque<(Time, KeyHash)>,
    answer_bytes: u64,
}

impl<A: Clone> KeyTable<A> {
    /// Creates an empty table.
    pub fn new(config: OnceConfig) -> Self {
        Self {
            config,
            records: HashMap::new(),
            expiry: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Handles one input at `now` and appends the outputs to `out`.
    pub fn step(&mut self, now: Time, input: Input<A>, out: &mut Vec<Output<A>>) {
        self.remove_expired(now);
        match input {
            Input::Arrive {
                ticket,
                key,
                request,
            } => out.extend(self.arrive(now, ticket, key, request)),
            Input::Complete { key, outcome } => self.complete(now, key, outcome, out),
            Input::Fence { ticket, key } => out.push(self.fence(now, ticket, key)),
        }
    }

    /// Number of keys that run or are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key runs or is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the remembered answers, in bytes.
    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    fn arrive(
        &mut self,
        now: Time,
        ticket: Ticket,
        key: KeyHash,
        request: RequestHash,
    ) -> Option<Output<A>> {
        let Some(record) = self.records.get_mut(&key) else {
            return Some(self.run(now, ticket, key, request));
        };
        let refuse = |conflict| Some(Output::Refuse { ticket, conflict });
        if record.request.is_some_and(|first| first != request) {
            return refuse(Conflict::Reused);
        }
        match &mut record.state {
            State::Running { waiters } => {
                waiters.push(ticket);
                None
            }
            State::Answered { answer, .. } => Some(Output::Replay {
                ticket,
                answer: answer.clone(),
            }),
            State::AnswerNotKept => refuse(Conflict::AnswerNotKept),
            State::Unknown => refuse(Conflict::Unknown),
            State::Moved => refuse(Conflict::Moved),
        }
    }

    fn run(&mut self, now: Time, ticket: Ticket, key: KeyHash, request: RequestHash) -> Output<A> {
        if self.is_full() {
            return self.refuse_full(now, ticket);
        }
        let state = State::Running {
            waiters: Vec::new(),
        };
        let request = Some(request);
        self.records.insert(key, Record { request, state });
        Output::Run { ticket }
    }

    fn is_full(&self) -> bool {
        self.records.len() >= self.config.keys
    }

    fn refuse_full(&self, now: Time, ticket: Ticket) -> Output<A> {
        let free_at = self
            .expiry
            .front()
            .map_or(now, |(expires_at, _)| *expires_at);
        let retry_after = free_at.since(now).max(MIN_RETRY_AFTER);
        Output::NotRun {
            ticket,
            retry_after,
        }
    }

    fn complete(&mut self, now: Time, key: KeyHash, outcome: Outcome<A>, out: &mut Vec<Output<A>>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let State::Running { waiters } = &mut record.state else {
            return;
        };
        let waiters = std::mem::take(waiters);
        match outcome {
            Outcome::NotRun => self.run_next_waiter(key, waiters, out),
            Outcome::Unknown => {
                record.state = State::Unknown;
                self.schedule_expiry(now, key);
                refuse_all(waiters, Conflict::Unknown, out);
            }
            Outcome::Answered { answer, size } => {
                out.extend(waiters.into_iter().map(|ticket| Output::Replay {
                    ticket,
                    answer: answer.clone(),
                }));
                self.store_answer(now, key, answer, size);
            }
        }
    }

    /// Runs the first waiting request, after the one before it did not run.
    fn run_next_waiter(&mut self, key: KeyHash, waiters: Vec<Ticket>, out: &mut Vec<Output<A>>) {
        let mut waiters = waiters.into_iter();
        let Some(ticket) = waiters.next() else {
            self.records.remove(&key);
            return;
        };
        out.push(Output::Run { ticket });
        if let Some(record) = self.records.get_mut(&key) {
            let waiters = waiters.collect();
            record.state = State::Running { waiters };
        }
    }

    fn store_answer(&mut self, now: Time, key: KeyHash, answer: A, size: u64) {
        let fits =
            size <= self.config.max_answer.0 && self.answer_bytes + size <= self.config.memory.0;
        if fits {
            self.answer_bytes += size;
        }
        if let Some(record) = self.records.get_mut(&key) {
            record.state = match fits {
                true => State::Answered { answer, size },
                false => State::AnswerNotKept,
            };
        }
        self.schedule_expiry(now, key);
    }

    fn fence(&mut self, now: Time, ticket: Ticket, key: KeyHash) -> Output<A> {
        match self.records.get(&key).map(|record| &record.state) {
            Some(State::Moved) => Output::Fenced { ticket },
            Some(_) => Output::FenceRefused { ticket },
            None if self.is_full() => self.refuse_full(now, ticket),
            None => {
                let state = State::Moved;
                let request = None;
                self.records.insert(key, Record { request, state });
                self.schedule_expiry(now, key);
                Output::Fenced { ticket }
            }
        }
    }

    fn schedule_expiry(&mut self, now: Time, key: KeyHash) {
        self.expiry.push_back((now.after(self.config.ttl), key));
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((expires_at, key)) = self.expiry.front().copied() {
            if expires_at > now {
                return;
            }
            self.expiry.pop_front();
            if let Some(record) = self.records.remove(&key) {
                self.answer_bytes -= record.answer_size();
            }
        }
    }
}

impl<A> Record<A> {
    fn answer_size(&self) -> u64 {
        match self.state {
            State::Answered { size, .. } => size,
            _ => 0,
        }
    }
}

fn refuse_all<A>(waiters: Vec<Ticket>, conflict: Conflict, out: &mut Vec<Output<A>>) {
    let refuse = |ticket| Output::Refuse { ticket, conflict };
    out.extend(waiters.into_iter().map(refuse));
}
