//! Keys that one agent runs or has run.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{KeyHash, RequestHash};
use crate::configs::OnceConfig;
use crate::types::Time;

/// Shortest wait that a refusal asks of its caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Number of an arrival, unique within one life of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Ticket(pub u64);

/// How a request that ran under its key came to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<A> {
    /// The endpoint answered.
    Answered {
        /// The answer; kept by cloning, so a shared pointer is a good choice.
        answer: A,
        /// Its size, in bytes.
        size: u64,
    },
    /// The endpoint never saw the request.
    NotRun,
    /// The endpoint may have run it.
    Unknown,
}

/// What the agent reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<A> {
    /// A keyed request arrived.
    Arrive {
        /// Its number.
        ticket: Ticket,
        /// Its key.
        key: KeyHash,
        /// What it asks for.
        request: RequestHash,
    },
    /// The request that runs under a key ended.
    Complete {
        /// Its key.
        key: KeyHash,
        /// How it ended.
        outcome: Outcome<A>,
    },
    /// Another agent is to own the key from now on.
    Fence {
        /// Number of this question.
        ticket: Ticket,
        /// The key.
        key: KeyHash,
    },
}

/// What the agent does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output<A> {
    /// Run the request and report its end by [`Input::Settle`].
    Run {
        /// Number of the arrival.
        ticket: Ticket,
    },
    /// Answer with what the first request of the key got.
    Replay {
        /// Number of the arrival.
        ticket: Ticket,
        /// The first request's answer.
        answer: A,
    },
    /// Answer 409: it was not run now, and an earlier request of the key stands against it.
    Refuse {
        /// Number of the arrival.
        ticket: Ticket,
        /// What stands against it.
        conflict: Conflict,
    },
    /// Answer "not run", for now.
    NotRun {
        /// Number of the arrival.
        ticket: Ticket,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The key has not run here and will not.
    Fenced {
        /// Number of the question.
        ticket: Ticket,
    },
    /// The key runs or has run here, and stays here.
    FenceRefused {
        /// Number of the question.
        ticket: Ticket,
    },
}

/// Why a key can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Conflict {
    /// The key came with another method, path or body before.
    #[display("the key was used for another request")]
    Reused,
    /// The first request may have run; its answer is not known.
    #[display("the outcome of the first request is unknown")]
    Unknown,
    /// The first request ran; its answer was too large to keep.
    #[display("the first request ran and its answer was not kept")]
    AnswerNotKept,
    /// Another agent owns the key by now.
    #[display("another endpoint owns the key")]
    Moved,
}

#[derive(Debug)]
enum State<A> {
    Running { waiters: Vec<Ticket> },
    Answered { answer: A, size: u64 },
    NotKept,
    Unknown,
    Moved,
}

#[derive(Debug)]
struct Record<A> {
    request: Option<RequestHash>,
    state: State<A>,
}

/// Keys of one agent, bounded in count and memory.
///
/// A record that has not expired is never dropped: a full table refuses new keys.
#[derive(Debug)]
pub struct KeyTable<A> {
    config: OnceConfig,
    records: HashMap<KeyHash, Record<A>>,
    expiry: VecDeque<(Time, KeyHash)>,
    memory: u64,
}

impl<A: Clone> KeyTable<A> {
    /// Creates an empty table.
    pub fn new(config: OnceConfig) -> Self {
        Self {
            config,
            records: HashMap::new(),
            expiry: VecDeque::new(),
            memory: 0,
        }
    }

    /// Takes one input at `now` and appends what follows from it to `out`.
    pub fn step(&mut self, now: Time, input: Input<A>, out: &mut Vec<Output<A>>) {
        self.forget_expired(now);
        match input {
            Input::Arrive {
                ticket,
                key,
                request,
            } => out.extend(self.arrive(now, ticket, key, request)),
            Input::Complete {
                key,
                outcome: settled,
            } => self.settle(now, key, settled, out),
            Input::Fence { ticket, key } => out.push(self.fence(now, ticket, key)),
        }
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of the answers that are kept.
    pub fn answer_bytes(&self) -> u64 {
        self.memory
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
            State::NotKept => refuse(Conflict::AnswerNotKept),
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
        let free_at = self.expiry.front().map_or(now, |(until, _)| *until);
        let retry_after = free_at.since(now).max(MIN_RETRY_AFTER);
        Output::NotRun {
            ticket,
            retry_after,
        }
    }

    fn settle(&mut self, now: Time, key: KeyHash, settled: Outcome<A>, out: &mut Vec<Output<A>>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let State::Running { waiters } = &mut record.state else {
            return;
        };
        let waiters = std::mem::take(waiters);
        match settled {
            Outcome::NotRun => self.pass_on(key, waiters, out),
            Outcome::Unknown => {
                record.state = State::Unknown;
                self.remember(now, key);
                refuse_all(waiters, Conflict::Unknown, out);
            }
            Outcome::Answered { answer, size } => {
                out.extend(waiters.into_iter().map(|ticket| Output::Replay {
                    ticket,
                    answer: answer.clone(),
                }));
                self.keep(now, key, answer, size);
            }
        }
    }

    /// Lets the first waiter run in place of a request that did not.
    fn pass_on(&mut self, key: KeyHash, waiters: Vec<Ticket>, out: &mut Vec<Output<A>>) {
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

    fn keep(&mut self, now: Time, key: KeyHash, answer: A, size: u64) {
        let fits = size <= self.config.max_answer.0 && self.memory + size <= self.config.memory.0;
        if fits {
            self.memory += size;
        }
        if let Some(record) = self.records.get_mut(&key) {
            record.state = match fits {
                true => State::Answered { answer, size },
                false => State::NotKept,
            };
        }
        self.remember(now, key);
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
                self.remember(now, key);
                Output::Fenced { ticket }
            }
        }
    }

    fn remember(&mut self, now: Time, key: KeyHash) {
        self.expiry.push_back((now.after(self.config.ttl), key));
    }

    fn forget_expired(&mut self, now: Time) {
        while let Some((until, key)) = self.expiry.front().copied() {
            if until > now {
                return;
            }
            self.expiry.pop_front();
            if let Some(record) = self.records.remove(&key) {
                self.memory -= record.size();
            }
        }
    }
}

impl<A> Record<A> {
    fn size(&self) -> u64 {
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
