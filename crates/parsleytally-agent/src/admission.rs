//! Admission shared by all links: the `limits` duty behind a lock.
//!
//! A step takes microseconds and never waits, so requests call it directly
//! rather than through a ring, which would cost each of them two wake-ups.

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

/// Longest wait between two looks at a waiting request's queue.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// A request that was refused before the endpoint saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Duration,
}

type Verdict = Result<(), Refused>;

/// Decides which request starts, waits or is refused.
#[derive(Debug)]
pub(crate) struct Admission {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limits: AdmissionControl,
    last: u64,
    waiting: HashMap<Ticket, oneshot::Sender<Verdict>>,
    out: Vec<Output>,
}

/// Requests at this agent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) in_service: usize,
    pub(crate) waiting: usize,
    pub(crate) leaving: bool,
}

/// A request in service; one that is dropped without an end counts as abandoned.
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
            last: 0,
            waiting: HashMap::new(),
            out: Vec::new(),
        };
        Arc::new(Self {
            clock: Clock::start(),
            state: Mutex::new(state),
        })
    }

    /// Waits until the request may start; `limit` is how long its caller waits.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        class: Class,
        limit: Duration,
    ) -> Result<Slot, Refused> {
        let (ticket, verdict) = self.arrive(class, limit);
        let waiting = Waiting {
            admission: self,
            ticket,
        };
        let verdict = self.wait(verdict).await;
        std::mem::forget(waiting);
        verdict?;
        Ok(Slot {
            admission: self.clone(),
            ticket,
            end: Outcome::Abandoned,
        })
    }

    /// Admits nothing new from now on.
    pub(crate) fn leave(&self) {
        self.step(Input::Drain);
    }

    /// Current load; also refuses what has waited too long.
    pub(crate) fn load(&self) -> Load {
        self.step(Input::Tick);
        let state = self.lock();
        Load {
            in_service: state.limits.in_service(),
            waiting: state.limits.queued(),
            leaving: state.limits.is_draining(),
        }
    }

    fn arrive(&self, class: Class, limit: Duration) -> (Ticket, oneshot::Receiver<Verdict>) {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.last += 1;
        let ticket = Ticket(state.last);
        state.waiting.insert(ticket, sender);
        let arrive = Input::Arrive {
            ticket,
            class,
            deadline: now.after(limit),
        };
        state.step(now, arrive);
        (ticket, receiver)
    }

    /// Waits for the verdict and wakes the queue when its next deadline is due.
    async fn wait(&self, mut verdict: oneshot::Receiver<Verdict>) -> Verdict {
        loop {
            if let Ok(verdict) = verdict.try_recv() {
                return verdict;
            }
            tokio::select! {
                biased;
                verdict = &mut verdict => return verdict.unwrap_or(Err(LOST)),
                () = sleep(self.next_wait()) => self.step(Input::Tick),
            }
        }
    }

    fn next_wait(&self) -> Duration {
        let wake = self.lock().limits.next_wake();
        let wait = wake.map_or(MAX_WAIT, |at| at.since(self.clock.now()));
        wait.min(MAX_WAIT)
    }

    fn step(&self, input: Input) {
        let now = self.clock.now();
        self.lock().step(now, input);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Verdict of a request whose sender is gone, which no path leads to.
const LOST: Refused = Refused {
    reason: RefusalReason::Cancelled,
    retry_after: Duration::ZERO,
};

impl State {
    fn step(&mut self, now: Time, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.limits.step(now, input, &mut out);
        for output in out.drain(..) {
            self.tell(output);
        }
        self.out = out;
    }

    fn tell(&mut self, output: Output) {
        let (ticket, verdict) = match output {
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
            let _ = sender.send(verdict);
        }
    }
}

/// Takes a request out of the queue when its caller went away.
struct Waiting<'a> {
    admission: &'a Admission,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.admission.step(Input::Cancel { ticket });
        // A request that had just started is not handed over any more.
        let end = Outcome::Failed;
        self.admission.step(Input::Finish {
            ticket,
            outcome: end,
        });
    }
}

impl Slot {
    /// Frees the slot.
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
