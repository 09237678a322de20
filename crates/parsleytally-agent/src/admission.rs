//! Admission control shared by all links: the `limits` state machine behind a mutex.
//!
//! A step takes microseconds and never blocks, so requests call it directly. A channel to
//! an actor would cost each request two thread wake-ups.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::configs::LimitsConfig;
use parsleytally::limits::{
    AdmissionControl, Class, Input, Outcome, Output, RefusalReason, Ticket,
};
use parsleytally::types::Time;
use parsleytally_platform::process::Clock;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Longest time between two timer events for a queued request.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Refusal of a request that did not reach the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Duration,
}

/// Whether a request may start.
type Decision = Result<(), Refused>;

/// Decides which requests start, wait in the queue or are refused.
#[derive(Debug)]
pub(crate) struct Admission {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limits: AdmissionControl,
    last_ticket: u64,
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
    /// Buffer reused by every step.
    out: Vec<Output>,
}

/// Number of requests at this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) in_service: usize,
    pub(crate) waiting: usize,
    pub(crate) leaving: bool,
}

/// Slot of a request in service; dropping it without `close` counts the request as
/// abandoned.
#[derive(Debug)]
pub(crate) struct Slot {
    admission: Arc<Admission>,
    ticket: Ticket,
    end: Outcome,
}

impl Admission {
    pub(crate) fn new(config: LimitsConfig) -> Arc<Self> {
        let state = State {
            limits: AdmissionControl::new(config),
            last_ticket: 0,
            waiting: HashMap::new(),
            out: Vec::new(),
        };
        Arc::new(Self {
            clock: Clock::start(),
            state: Mutex::new(state),
        })
    }

    /// Waits until the request may start, for at most `limit`, the timeout of its caller.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        class: Class,
        limit: Duration,
    ) -> Result<Slot, Refused> {
        let (ticket, decision) = self.arrive(class, limit);
        let cancel_on_drop = CancelOnDrop {
            admission: self,
            ticket,
        };
        let decision = self.wait(decision).await;
        std::mem::forget(cancel_on_drop);
        decision?;
        Ok(Slot {
            admission: self.clone(),
            ticket,
            end: Outcome::Abandoned,
        })
    }

    /// Refuses every new request.
    pub(crate) fn leave(&self) {
        self.step(Input::Drain);
    }

    /// Current load; first refuses queued requests whose deadline has passed.
    pub(crate) fn load(&self) -> Load {
        self.step(Input::Tick);
        let state = self.lock();
        Load {
            in_service: state.limits.in_service(),
            waiting: state.limits.queued(),
            leaving: state.limits.is_draining(),
        }
    }

    fn arrive(&self, class: Class, limit: Duration) -> (Ticket, oneshot::Receiver<Decision>) {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = Ticket(state.last_ticket);
        state.waiting.insert(ticket, sender);
        let arrive = Input::Arrive {
            ticket,
            class,
            deadline: now.after(limit),
        };
        state.step(now, arrive);
        (ticket, receiver)
    }

    /// Waits for the decision and steps the queue at each of its deadlines.
    async fn wait(&self, mut decision: oneshot::Receiver<Decision>) -> Decision {
        loop {
            if let Ok(decision) = decision.try_recv() {
                return decision;
            }
            tokio::select! {
                biased;
                decision = &mut decision => return decision.unwrap_or(Err(SENDER_LOST)),
                () = sleep(self.next_wait()) => self.step(Input::Tick),
            }
        }
    }

    fn next_wait(&self) -> Duration {
        let deadline = self.lock().limits.next_wake();
        let wait = deadline.map_or(MAX_TICK_INTERVAL, |at| at.since(self.clock.now()));
        wait.min(MAX_TICK_INTERVAL)
    }

    fn step(&self, input: Input) {
        let now = self.clock.now();
        self.lock().step(now, input);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decision of a request whose sender was dropped; no code path does that.
const SENDER_LOST: Refused = Refused {
    reason: RefusalReason::Cancelled,
    retry_after: Duration::ZERO,
};

impl State {
    fn step(&mut self, now: Time, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.limits.step(now, input, &mut out);
        for output in out.drain(..) {
            self.send_decision(output);
        }
        self.out = out;
    }

    fn send_decision(&mut self, output: Output) {
        let (ticket, decision) = match output {
            Output::Start { ticket } => (ticket, Ok(())),
            Output::Refuse {
                ticket,
                reason,
                retry_after,
            } => {
                let refused = Refused {
                    reason,
                    retry_after,
                };
                (ticket, Err(refused))
            }
        };
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _ = sender.send(decision);
        }
    }
}

/// Removes a request from the queue when its future is dropped.
struct CancelOnDrop<'a> {
    admission: &'a Admission,
    ticket: Ticket,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.admission.step(Input::Cancel { ticket });
        // The request may have been started but not yet sent to the endpoint: free its slot.
        let end = Outcome::Failed;
        self.admission.step(Input::Finish {
            ticket,
            outcome: end,
        });
    }
}

impl Slot {
    /// Frees the slot and records how the request ended.
    pub(crate) fn close(mut self, end: Outcome) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let ticket = self.ticket;
        let end = self.end;
        self.admission.step(Input::Finish {
            ticket,
            outcome: end,
        });
    }
}
