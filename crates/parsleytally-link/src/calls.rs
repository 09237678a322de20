//! Pending requests on one link, matched to their answers.

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
        /// Why it did not run.
        reason: String,
        /// Suggested delay before a retry.
        retry_after: Duration,
    },
    /// The request may have run.
    #[snafu(display("outcome of the request is unknown: {reason}"))]
    Unknown {
        /// What went wrong.
        reason: String,
        /// Whether the time limit was exceeded.
        timed_out: bool,
        /// Whether the endpoint broke off the exchange.
        endpoint_lost: bool,
    },
}

type CallResult = Result<Answer, CallError>;

/// The requests in flight on one link.
#[derive(Debug)]
pub struct Calls {
    link: Link,
    pending: Mutex<HashMap<RequestId, oneshot::Sender<CallResult>>>,
    strays: AtomicU64,
}

impl Calls {
    /// Creates an empty table of requests for `link`.
    pub fn new(link: Link) -> Self {
        Self {
            link,
            pending: Mutex::default(),
            strays: AtomicU64::new(0),
        }
    }

    /// The link that requests are sent on.
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// Number of requests without an answer so far.
    pub fn in_flight(&self) -> usize {
        self.pending().len()
    }

    /// Number of results that arrived without a pending request.
    pub fn strays(&self) -> u64 {
        self.strays.load(Ordering::Relaxed)
    }

    /// Sends `request` and waits for its answer for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotRun`] if the endpoint certainly did not receive the
    /// request, [`CallError::Unknown`] in every other case.
    pub async fn call(&self, request: Request, limit: Duration) -> CallResult {
        match self
            .send_and_wait(request.id, Frame::Request(request), limit)
            .await
        {
            Ok(result) => result,
            Err(error) => not_sent(&error),
        }
    }

    /// Orders the agent never to run an idempotency key that it has not started.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unknown`] if the key is running or has run there, if the agent
    /// can't record the order, if no answer arrived, or if the order was not sent.
    pub async fn fence(&self, fence: Fence, limit: Duration) -> Result<(), CallError> {
        match self
            .send_and_wait(fence.id, Frame::Fence(fence), limit)
            .await
        {
            Ok(Err(CallError::NotRun { .. })) => Ok(()),
            Ok(Err(error)) => Err(error),
            Ok(Ok(_)) => unknown("unexpected answer to a fence order", false),
            Err(error) => unknown(&error.to_string(), false),
        }
    }

    /// Sends `frame` and waits for the result of `id`; fails if the frame was not sent.
    async fn send_and_wait(
        &self,
        id: RequestId,
        frame: Frame,
        limit: Duration,
    ) -> Result<CallResult, LinkError> {
        let (sender, receiver) = oneshot::channel();
        self.pending().insert(id, sender);
        let _guard = PendingGuard { calls: self, id };
        self.link.send(frame)?;
        match timeout(limit, receiver).await {
            Ok(Ok(result)) => Ok(result),
            Ok(Err(_)) => Ok(unknown("link was lost", false)),
            Err(_) => {
                let _ = self.link.send(Frame::Cancel(id));
                Ok(unknown("no answer in time", true))
            }
        }
    }

    /// Settles a request with its answer.
    pub fn answered(&self, answer: Answer) {
        self.settle(answer.id, Ok(answer));
    }

    /// Settles a request as not run.
    pub fn refused(&self, refusal: Refusal) {
        let result = CallError::NotRun {
            reason: refusal.reason,
            retry_after: Duration::from_micros(refusal.retry_after),
        };
        self.settle(refusal.id, Err(result));
    }

    /// Settles a request as unknown.
    pub fn failed(&self, failure: Failure) {
        let Failure {
            id,
            reason,
            timed_out,
            endpoint_lost,
        } = failure;
        let error = CallError::Unknown {
            reason,
            timed_out,
            endpoint_lost,
        };
        self.settle(id, Err(error));
    }

    /// Settles every request as unknown because the link was lost.
    pub fn lost(&self) {
        self.pending().clear();
    }

    fn settle(&self, id: RequestId, result: CallResult) {
        let sender = self.pending().remove(&id);
        let delivered = sender.is_some_and(|sender| sender.send(result).is_ok());
        if !delivered {
            self.strays.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<RequestId, oneshot::Sender<CallResult>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from the table when its call ends or is dropped.
struct PendingGuard<'a> {
    calls: &'a Calls,
    id: RequestId,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.calls.pending().remove(&self.id);
    }
}

fn not_sent(error: &LinkError) -> CallResult {
    let reason = error.to_string();
    let retry_after = Duration::ZERO;
    Err(CallError::NotRun {
        reason,
        retry_after,
    })
}

fn unknown<T>(reason: &str, timed_out: bool) -> Result<T, CallError> {
    let reason = reason.to_owned();
    Err(CallError::Unknown {
        reason,
        timed_out,
        endpoint_lost: false,
    })
}
