//! Tombstones: what a cancellation of an unknown job leaves in the store, so that a submission with
//! this ID that is stored late, or repeated, is not carried out.
//!
//! A tombstone is deleted at the end of its lease. Those of one entry from some minutes share a
//! lease, and those that are requested while others are written share a write. Their number is
//! limited, as anybody can cancel jobs that do not exist; beyond the limit such a cancellation is
//! refused, never confirmed. The limit does not hold for a job whose submission this entry has sent
//! with an unknown outcome: these are bounded by the submissions.
//!
//! All calls to the store are made by [`Writer`], so that no request holds up another.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parsleytally::jobs::{CallFailure, JobId};
use parsleytally_platform::store::Store;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use super::sent_log::SentLog;
use super::tombstone_writer::{Request, Writer};

pub(super) use super::tombstone_writer::{LONGEST_LIFE, Requested};

/// Requests tombstones of this entry's [`Writer`], which ends when this is dropped.
#[derive(Debug)]
pub(super) struct Tombstones {
    requests: mpsc::UnboundedSender<Request>,
    sent: Arc<SentLog>,
}

impl Tombstones {
    /// Starts the writer.
    pub(super) fn start(store: Arc<dyn Store>, sent: Arc<SentLog>) -> Self {
        let (requests, receiver) = mpsc::unbounded_channel();
        tokio::spawn(Writer::new(store, receiver).run());
        Self { requests, sent }
    }

    /// Writes the tombstone of a job unless the store has the job; ends at `deadline` at the
    /// latest.
    pub(super) async fn request(
        &self,
        id: JobId,
        deadline: Instant,
    ) -> Result<Requested, CallFailure> {
        let (reply, answer) = oneshot::channel();
        let is_taken = Arc::new(AtomicBool::new(false));
        let request = Request {
            id,
            is_sent: self.sent.may_be_stored(id),
            is_taken: is_taken.clone(),
            reply,
        };
        // The writer runs until the sender is dropped.
        let _ = self.requests.send(request);
        if let Ok(Ok(answer)) = timeout_at(deadline, answer).await {
            return answer;
        }
        // The writer marks a request before it finds out whether somebody still waits.
        if is_taken.load(Ordering::SeqCst) {
            return Err(CallFailure::Unknown);
        }
        Err(CallFailure::NoEffect)
    }
}
