//! Requests that wait for their answer on one link.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::types::RequestId;
use snafu::Snafu;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::{Answer, Failure, Fence, Frame, Link, LinkError, Refusal, Request};

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The request did not run.
    #[snafu(display("request did not run: {reason}"))]
    NotRun {
        /// Why not.
        reason: String,
        /// When there may be room.
        retry_after: Duration,
    },
    /// The request may have run.
    #[snafu(display("outcome of the request is unknown: {reason}"))]
    Unknown {
        /// What went wrong.
        reason: String,
        /// Whether it was the time limit.
        timed_out: bool,
    },
}

type Verdict = Result<Answer, CallError>;

/// The requests in flight on one link.
#[derive(Debug)]
pub struct Calls {
    link: Link,
    pending: Mutex<HashMap<RequestId, oneshot::Sender<Verdict>>>,
    strays: AtomicU64,
}

impl Calls {
    /// Starts without requests on `link`.
    pub fn new(link: Link) -> Self {
        Self {
            link,
            pending: Mutex::default(),
            strays: AtomicU64::new(0),
        }
    }

    /// The link.
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// Requests that wait for an answer now.
    pub fn in_flight(&self) -> usize {
        self.pending().len()
    }

    /// Answers that nobody waited for.
    pub fn strays(&self) -> u64 {
        self.strays.load(Ordering::Relaxed)
    }

    /// Sends `request` and waits for its answer for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotRun`] when it is proven that the endpoint never saw
    /// the request, [`CallError::Unknown`] in every other case.
    pub async fn call(&self, request: Request, limit: Duration) -> Verdict {
        match self.ask(request.id, Frame::Request(request), limit).await {
            Ok(verdict) => verdict,
            Err(error) => not_sent(&error),
        }
    }

    /// Orders the agent never to run a key that has not run there.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the key runs or has run there, or when that is
    /// not known: no answer came, or the order was not sent.
    pub async fn fence(&self, fence: Fence, limit: Duration) -> Result<(), CallError> {
        match self.ask(fence.id, Frame::Fence(fence), limit).await {
            Ok(Err(CallError::NotRun { .. })) => Ok(()),
            Ok(Err(error)) => Err(error),
            Ok(Ok(_)) => unknown("answer does not fit the question", false),
            Err(error) => unknown(&error.to_string(), false),
        }
    }

    /// Sends `frame` and waits for what becomes of `id`; an error is a frame not sent.
    async fn ask(
        &self,
        id: RequestId,
        frame: Frame,
        limit: Duration,
    ) -> Result<Verdict, LinkError> {
        let (sender, receiver) = oneshot::channel();
        self.pending().insert(id, sender);
        let _entry = Pending { calls: self, id };
        self.link.send(frame)?;
        match timeout(limit, receiver).await {
            Ok(Ok(verdict)) => Ok(verdict),
            Ok(Err(_)) => Ok(unknown("link was lost", false)),
            Err(_) => {
                let _ = self.link.send(Frame::Cancel(id));
                Ok(unknown("no answer in time", true))
            }
        }
    }

    /// Hands an answer to the request that waits for it.
    pub fn answered(&self, answer: Answer) {
        self.settle(answer.id, Ok(answer));
    }

    /// Tells a request that it did not run.
    pub fn refused(&self, refusal: Refusal) {
        let verdict = CallError::NotRun {
            reason: refusal.reason,
            retry_after: Duration::from_micros(refusal.retry_after),
        };
        self.settle(refusal.id, Err(verdict));
    }

    /// Tells a request that its outcome is unknown.
    pub fn failed(&self, failure: Failure) {
        let Failure {
            id,
            reason,
            timed_out,
        } = failure;
        self.settle(id, Err(CallError::Unknown { reason, timed_out }));
    }

    /// Settles every request as unknown, since the link is gone.
    pub fn lost(&self) {
        self.pending().clear();
    }

    fn settle(&self, id: RequestId, verdict: Verdict) {
        let waiting = self.pending().remove(&id);
        let delivered = waiting.is_some_and(|sender| sender.send(verdict).is_ok());
        if !delivered {
            self.strays.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<RequestId, oneshot::Sender<Verdict>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from the table when its caller stops waiting.
struct Pending<'a> {
    calls: &'a Calls,
    id: RequestId,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.calls.pending().remove(&self.id);
    }
}

fn not_sent(error: &LinkError) -> Verdict {
    let reason = error.to_string();
    let retry_after = Duration::ZERO;
    Err(CallError::NotRun {
        reason,
        retry_after,
    })
}

fn unknown<T>(reason: &str, timed_out: bool) -> Result<T, CallError> {
    let reason = reason.to_owned();
    Err(CallError::Unknown { reason, timed_out })
}
