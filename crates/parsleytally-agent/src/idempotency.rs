//! Idempotency keys of this agent: the library's key table behind a mutex.

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

/// Memory charged to the table for each stored answer besides its body; an eighth of it
/// is charged again for each header.
const ANSWER_OVERHEAD_BYTES: u64 = 512;

/// How to handle a request with an idempotency key.
#[derive(Debug)]
pub(crate) enum KeyAction {
    /// Run the request and record its outcome in the [`RunningKey`].
    Run(RunningKey),
    /// Return the stored answer of the key's first request.
    Replay(Arc<Answer>),
    /// Answer with HTTP status 409.
    Refuse(Conflict),
    /// Refuse the request as not run; the caller may retry later.
    NotRun { retry_after: Duration },
}

/// Idempotency keys whose requests run or have run at this agent.
#[derive(Debug)]
pub(crate) struct IdempotencyKeys {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: KeyTable<Arc<Answer>>,
    last_ticket: u64,
    waiting: HashMap<Ticket, (KeyHash, oneshot::Sender<Reply>)>,
}

/// Output of the key table without its ticket.
#[derive(Debug)]
enum Reply {
    Run,
    Replay(Arc<Answer>),
    Refuse(Conflict),
    NotRun(Duration),
    Fenced,
    FenceRefused,
}

/// Key whose request runs; dropping it without an outcome records an unknown outcome.
#[derive(Debug)]
pub(crate) struct RunningKey {
    keys: Arc<IdempotencyKeys>,
    key: KeyHash,
    outcome: Option<Outcome<Arc<Answer>>>,
}

impl IdempotencyKeys {
    pub(crate) fn new(config: OnceConfig) -> Arc<Self> {
        let state = State {
            table: KeyTable::new(config),
            last_ticket: 0,
            waiting: HashMap::new(),
        };
        Arc::new(Self {
            clock: Clock::start(),
            state: Mutex::new(state),
        })
    }

    /// Waits until the table decides how to handle a keyed request.
    pub(crate) async fn claim(self: &Arc<Self>, key: KeyHash, request: RequestHash) -> KeyAction {
        let reply = self.request(key, |ticket| Input::Arrive {
            ticket,
            key,
            request,
        });
        match reply.await {
            Ok(Reply::Run) => KeyAction::Run(RunningKey {
                keys: self.clone(),
                key,
                outcome: None,
            }),
            Ok(Reply::Replay(answer)) => KeyAction::Replay(answer),
            Ok(Reply::Refuse(conflict)) => KeyAction::Refuse(conflict),
            Ok(Reply::NotRun(retry_after)) => KeyAction::NotRun { retry_after },
            Ok(Reply::Fenced | Reply::FenceRefused) | Err(_) => {
                KeyAction::Refuse(Conflict::Unknown)
            }
        }
    }

    /// Fences `key`, so that no request of it runs here from now on. False if one has
    /// started already or the table is full.
    pub(crate) async fn fence(&self, key: KeyHash) -> bool {
        let reply = self.request(key, |ticket| Input::Fence { ticket, key });
        matches!(reply.await, Ok(Reply::Fenced))
    }

    /// Number of remembered keys.
    pub(crate) fn len(&self) -> usize {
        self.lock().table.len()
    }

    fn request(
        &self,
        key: KeyHash,
        input: impl FnOnce(Ticket) -> Input<Arc<Answer>>,
    ) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = Ticket(state.last_ticket);
        state.waiting.insert(ticket, (key, sender));
        self.step(&mut state, input(ticket));
        receiver
    }

    fn complete(&self, key: KeyHash, outcome: Outcome<Arc<Answer>>) {
        let mut state = self.lock();
        self.step(&mut state, Input::Complete { key, outcome });
    }

    /// Steps the table. If the request that may run was cancelled, completes its key as
    /// not run, so that the next request of the key may run.
    fn step(&self, state: &mut State, input: Input<Arc<Answer>>) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            let mut out = Vec::new();
            state.table.step(self.clock.now(), input, &mut out);
            for output in out {
                if let Some(key) = state.reply(output) {
                    let outcome = Outcome::NotRun;
                    next = Some(Input::Complete { key, outcome });
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Sends `output` to its request; returns the key if the request may run but was
    /// cancelled.
    fn reply(&mut self, output: Output<Arc<Answer>>) -> Option<KeyHash> {
        let (ticket, reply) = match output {
            Output::Run { ticket } => (ticket, Reply::Run),
            Output::Replay { ticket, answer } => (ticket, Reply::Replay(answer)),
            Output::Refuse { ticket, conflict } => (ticket, Reply::Refuse(conflict)),
            Output::NotRun {
                ticket,
                retry_after,
            } => (ticket, Reply::NotRun(retry_after)),
            Output::Fenced { ticket } => (ticket, Reply::Fenced),
            Output::FenceRefused { ticket } => (ticket, Reply::FenceRefused),
        };
        let (key, sender) = self.waiting.remove(&ticket)?;
        match sender.send(reply) {
            Err(Reply::Run) => Some(key),
            _ => None,
        }
    }
}

impl RunningKey {
    /// Stores the endpoint's answer.
    pub(crate) fn answered(mut self, answer: &Answer) {
        let header_bytes = answer.headers.len() as u64 * ANSWER_OVERHEAD_BYTES / 8;
        self.outcome = Some(Outcome::Answered {
            answer: Arc::new(answer.clone()),
            size: answer.body.len() as u64 + ANSWER_OVERHEAD_BYTES + header_bytes,
        });
    }

    /// Frees the key, since the endpoint did not receive the request.
    pub(crate) fn not_run(mut self) {
        self.outcome = Some(Outcome::NotRun);
    }

    /// Keeps the key with an unknown outcome.
    pub(crate) fn unknown(self) {}
}

impl Drop for RunningKey {
    fn drop(&mut self) {
        let outcome = self.outcome.take().unwrap_or(Outcome::Unknown);
        self.keys.complete(self.key, outcome);
    }
}
