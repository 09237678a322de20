//! Writes an entry's tombstones. All calls to the store are made here and in tasks of their own, so
//! that no request holds up another.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parsleytally::jobs::{CallFailure, JobId};
use parsleytally_platform::store::{Commit, Compare, LeaseId, Outcome, Store, StoreError, Write};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

use super::failures::commit_failure;
use super::keys;
use super::rate_limit::{Limit, Rate};
use super::timer::sleep_for;

/// Longest life of a tombstone, which is the longest lease of the store.
pub(super) const LONGEST_LIFE: Duration = Duration::from_secs(600);
/// Time for which a lease gets new tombstones, so that each lives for 5 minutes at least: writes
/// are carried out up to seconds late, and clients repeat a submission for a minute at most.
const LEASE_USE: Duration = Duration::from_secs(300);
/// Longest wait for a lease, so that another entry can be asked in the client's time.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest wait for the answer to a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Tombstones of one write, each with its condition; the store takes 32 entries.
const MAX_BATCH: usize = 16;
/// Writes without an answer yet at a time.
const MAX_WRITES: usize = 4;
/// Writes that may follow each other without a pause, and the time after which one more may: 10 a
/// second, of the 400 a second that all processes share.
const WRITES: Rate = Rate {
    burst: 40,
    refill: Duration::from_millis(100),
};
/// Tombstones of jobs of which this entry knows nothing: at most 4,000 under one lease, of about
/// 100 bytes each.
const UNKNOWN_JOBS: Rate = Rate {
    burst: 1_000,
    refill: Duration::from_millis(100),
};

/// What has become of a requested tombstone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Requested {
    /// The store has it.
    Written,
    /// It was not written: this job or another one of its write is in the store, or the lease
    /// has ended. The job is to be read again.
    Conflict,
    /// It was not written: too many unknown jobs are being cancelled. One more is possible after
    /// this time.
    Limited(Duration),
}

/// A tombstone that is to be written.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) id: JobId,
    /// Whether this entry has sent a submission of the job with an unknown outcome.
    pub(super) is_sent: bool,
    /// Whether a write may contain it.
    pub(super) is_taken: Arc<AtomicBool>,
    pub(super) reply: oneshot::Sender<Result<Requested, CallFailure>>,
}

impl Request {
    /// Ends the request; its client may have left.
    fn end(self, result: Result<Requested, CallFailure>) {
        let _ = self.reply.send(result);
    }
}

/// A lease of several tombstones.
#[derive(Debug, Clone, Copy)]
struct SharedLease {
    id: LeaseId,
    /// When its grant was requested.
    since: Instant,
}

/// A call to the store that has ended.
enum Ended {
    Grant(Instant, Result<LeaseId, StoreError>),
    Write(LeaseId, Vec<Request>, Result<Outcome, StoreError>),
}

/// Writes the tombstones that are requested, several at once.
pub(super) struct Writer {
    store: Arc<dyn Store>,
    requests: mpsc::UnboundedReceiver<Request>,
    waiting: VecDeque<Request>,
    lease: Option<SharedLease>,
    is_granting: bool,
    writes: Limit,
    unknown_jobs: Limit,
    calls: JoinSet<Ended>,
}

impl Writer {
    pub(super) fn new(store: Arc<dyn Store>, requests: mpsc::UnboundedReceiver<Request>) -> Self {
        Self {
            store,
            requests,
            waiting: VecDeque::new(),
            lease: None,
            is_granting: false,
            writes: Limit::new(WRITES),
            unknown_jobs: Limit::new(UNKNOWN_JOBS),
            calls: JoinSet::new(),
        }
    }

    /// Serves requests until the last sender of them is dropped.
    pub(super) async fn run(mut self) {
        loop {
            let wait = self.send(Instant::now());
            tokio::select! {
                request = self.requests.recv() => match request {
                    Some(request) => self.accept(request),
                    None => return,
                },
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(ended) => self.call_ended(ended),
                    Err(error) => {
                        log::error!(error:% = error; "a call for tombstones was aborted");
                        self.is_granting = false;
                    }
                },
                () = sleep_for(wait) => {}
            }
        }
    }

    /// Keeps a request until it is written, unless it is beyond the limit.
    fn accept(&mut self, request: Request) {
        if request.is_sent {
            return self.waiting.push_back(request);
        }
        let wait = self.unknown_jobs.wait(Instant::now());
        if wait.is_zero() {
            self.unknown_jobs.take(Instant::now());
            return self.waiting.push_back(request);
        }
        log::warn!(job:% = request.id; "limit of tombstones is reached, unknown job is not cancelled");
        request.end(Ok(Requested::Limited(wait)));
    }

    /// Sends what can be sent now; returns the time until the next write may follow.
    fn send(&mut self, now: Instant) -> Option<Duration> {
        self.waiting.retain(|request| !request.reply.is_closed());
        while !self.waiting.is_empty() {
            let Some(lease) = self.current_lease(now) else {
                self.grant(now);
                return None;
            };
            // One call may be the grant of a lease.
            if self.calls.len() >= MAX_WRITES {
                return None;
            }
            let wait = self.writes.wait(now);
            if wait.is_zero() {
                self.writes.take(now);
            } else if !self.waiting.iter().any(|request| request.is_sent) {
                return Some(wait);
            }
            self.write(lease.id, now + WRITE_TIMEOUT);
        }
        None
    }

    fn current_lease(&self, now: Instant) -> Option<SharedLease> {
        self.lease
            .filter(|lease| now.duration_since(lease.since) < LEASE_USE)
    }

    /// Requests a lease, one at a time.
    fn grant(&mut self, now: Instant) {
        if self.is_granting {
            return;
        }
        self.is_granting = true;
        let store = self.store.clone();
        self.calls.spawn(async move {
            let granted = timeout_at(now + GRANT_TIMEOUT, store.grant(LONGEST_LIFE)).await;
            let granted = granted.unwrap_or(Err(StoreError::Timeout { call: "grant" }));
            Ended::Grant(now, granted)
        });
    }

    /// Writes the tombstones of the oldest requests, first of those without a limit.
    fn write(&mut self, lease: LeaseId, deadline: Instant) {
        let waiting = self.waiting.make_contiguous();
        waiting.sort_by_key(|request| !request.is_sent);
        let batch: Vec<Request> = self
            .waiting
            .drain(..MAX_BATCH.min(self.waiting.len()))
            .filter(|request| {
                request.is_taken.store(true, Ordering::SeqCst);
                !request.reply.is_closed()
            })
            .collect();
        if batch.is_empty() {
            return;
        }
        let commit = commit(&batch, lease);
        let store = self.store.clone();
        self.calls.spawn(async move {
            let outcome = store.commit_by(commit, deadline).await;
            Ended::Write(lease, batch, outcome)
        });
    }

    fn call_ended(&mut self, ended: Ended) {
        match ended {
            Ended::Grant(since, granted) => self.granted(since, granted),
            Ended::Write(lease, batch, outcome) => self.written(lease, batch, &outcome),
        }
    }

    /// Uses a lease, or ends the requests that wait for it: another entry may get one.
    fn granted(&mut self, since: Instant, granted: Result<LeaseId, StoreError>) {
        self.is_granting = false;
        match granted {
            Ok(id) => {
                log::info!(lease:% = id; "lease of tombstones granted");
                self.lease = Some(SharedLease { id, since });
            }
            Err(error) => {
                log::warn!(jobs = self.waiting.len(), error:% = error; "no lease for tombstones");
                for request in self.waiting.drain(..) {
                    request.end(Err(CallFailure::NoEffect));
                }
            }
        }
    }

    fn written(
        &mut self,
        lease: LeaseId,
        batch: Vec<Request>,
        outcome: &Result<Outcome, StoreError>,
    ) {
        log::info!(jobs = batch.len(), lease:% = lease, outcome:? = outcome; "tombstones written");
        if matches!(outcome, Err(StoreError::LeaseGone { .. })) {
            self.lease = self.lease.filter(|used| used.id != lease);
        }
        for request in batch {
            let result = match outcome {
                Ok(Outcome::Committed(_)) => Ok(Requested::Written),
                Ok(Outcome::Conflict(_)) | Err(StoreError::LeaseGone { .. }) => {
                    Ok(Requested::Conflict)
                }
                Err(error) => Err(commit_failure(request.id, error)),
            };
            request.end(result);
        }
    }
}

/// Writes or renews tombstones of jobs that the store does not have.
fn commit(batch: &[Request], lease: LeaseId) -> Commit {
    let absent = |request: &Request| Compare::Absent {
        key: keys::job(request.id),
    };
    let put = |request: &Request| Write::Put {
        key: keys::tombstone(request.id),
        value: b"cancelled".to_vec(),
        lease: Some(lease),
    };
    Commit {
        compares: batch.iter().map(absent).collect(),
        writes: batch.iter().map(put).collect(),
    }
}
