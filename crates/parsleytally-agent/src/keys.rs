//! Idempotency keys of this agent: the `once` table behind a lock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::configs::OnceConfig;
use parsleytally::idempotency::{
    Conflict, Input, KeyHash, KeyTable, Outcome, Output, RequestHash, Ticket,
};
use parsleytally_link::Answer;
use parsleytally_platform::process::Clock;
use tokio::sync::oneshot;

/// Bytes of an answer's head that count towards the memory of the table.
const HEAD_BYTES: u64 = 512;

/// What a keyed request is to do.
#[derive(Debug)]
pub(crate) enum Turn {
    /// Run, and report the end.
    Run(RunningKey),
    /// Answer with what the first request of the key got.
    Replay(Arc<Answer>),
    /// Answer 409.
    Refuse(Conflict),
    /// Answer "not run", for now.
    NotRun { retry_after: Duration },
}

/// Keys that run or have run here.
#[derive(Debug)]
pub(crate) struct Keys {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: KeyTable<Arc<Answer>>,
    last: u64,
    waiting: HashMap<Ticket, (KeyHash, oneshot::Sender<Word>)>,
}

/// A table's output without its ticket.
#[derive(Debug)]
enum Word {
    Run,
    Replay(Arc<Answer>),
    Refuse(Conflict),
    NotRun(Duration),
    Fenced,
    Known,
}

/// A key whose request runs; one that is dropped without an end is unknown.
#[derive(Debug)]
pub(crate) struct RunningKey {
    keys: Arc<Keys>,
    key: KeyHash,
    settled: Option<Outcome<Arc<Answer>>>,
}

impl Keys {
    pub(crate) fn new(config: OnceConfig) -> Arc<Self> {
        let state = State {
            table: KeyTable::new(config),
            last: 0,
            waiting: HashMap::new(),
        };
        Arc::new(Self {
            clock: Clock::start(),
            state: Mutex::new(state),
        })
    }

    /// Waits for what a keyed request is to do.
    pub(crate) async fn turn(self: &Arc<Self>, key: KeyHash, request: RequestHash) -> Turn {
        let word = self.ask(key, |ticket| Input::Arrive {
            ticket,
            key,
            request,
        });
        match word.await {
            Ok(Word::Run) => Turn::Run(RunningKey {
                keys: self.clone(),
                key,
                settled: None,
            }),
            Ok(Word::Replay(answer)) => Turn::Replay(answer),
            Ok(Word::Refuse(conflict)) => Turn::Refuse(conflict),
            Ok(Word::NotRun(retry_after)) => Turn::NotRun { retry_after },
            Ok(Word::Fenced | Word::Known) | Err(_) => Turn::Refuse(Conflict::Unknown),
        }
    }

    /// Whether `key` has not run here and never will.
    pub(crate) async fn fence(&self, key: KeyHash) -> bool {
        let word = self.ask(key, |ticket| Input::Fence { ticket, key });
        matches!(word.await, Ok(Word::Fenced))
    }

    /// Keys that are remembered.
    pub(crate) fn len(&self) -> usize {
        self.lock().table.len()
    }

    fn ask(
        &self,
        key: KeyHash,
        input: impl FnOnce(Ticket) -> Input<Arc<Answer>>,
    ) -> oneshot::Receiver<Word> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.last += 1;
        let ticket = Ticket(state.last);
        state.waiting.insert(ticket, (key, sender));
        self.step(&mut state, input(ticket));
        receiver
    }

    fn settle(&self, key: KeyHash, settled: Outcome<Arc<Answer>>) {
        let mut state = self.lock();
        self.step(
            &mut state,
            Input::Complete {
                key,
                outcome: settled,
            },
        );
    }

    /// Steps the table; a turn to run whose request has gone away passes to the next one.
    fn step(&self, state: &mut State, input: Input<Arc<Answer>>) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            let mut out = Vec::new();
            state.table.step(self.clock.now(), input, &mut out);
            for output in out {
                if let Some(key) = state.tell(output) {
                    let settled = Outcome::NotRun;
                    next = Some(Input::Complete {
                        key,
                        outcome: settled,
                    });
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Passes `output` on; gives back the key of a turn to run that nobody takes.
    fn tell(&mut self, output: Output<Arc<Answer>>) -> Option<KeyHash> {
        let (ticket, word) = match output {
            Output::Run { ticket } => (ticket, Word::Run),
            Output::Replay { ticket, answer } => (ticket, Word::Replay(answer)),
            Output::Refuse { ticket, conflict } => (ticket, Word::Refuse(conflict)),
            Output::NotRun {
                ticket,
                retry_after,
            } => (ticket, Word::NotRun(retry_after)),
            Output::Fenced { ticket } => (ticket, Word::Fenced),
            Output::FenceRefused { ticket } => (ticket, Word::Known),
        };
        let (key, sender) = self.waiting.remove(&ticket)?;
        match sender.send(word) {
            Err(Word::Run) => Some(key),
            _ => None,
        }
    }
}

impl RunningKey {
    /// Remembers the endpoint's answer.
    pub(crate) fn answered(mut self, answer: &Answer) {
        let heads = answer.headers.len() as u64 * HEAD_BYTES / 8;
        self.settled = Some(Outcome::Answered {
            answer: Arc::new(answer.clone()),
            size: answer.body.len() as u64 + HEAD_BYTES + heads,
        });
    }

    /// Frees the key, since the endpoint never saw the request.
    pub(crate) fn not_run(mut self) {
        self.settled = Some(Outcome::NotRun);
    }

    /// Keeps the key as one of unknown outcome.
    pub(crate) fn unknown(self) {}
}

impl Drop for RunningKey {
    fn drop(&mut self) {
        let settled = self.settled.take().unwrap_or(Outcome::Unknown);
        self.keys.settle(self.key, settled);
    }
}
