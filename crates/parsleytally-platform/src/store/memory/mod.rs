//! A store in memory that stands in for the platform's.
//!
//! Clones share the same contents. Leases run on tokio's clock, so that a test
//! with paused time controls their end. Faults of the platform's store can be
//! switched on while it is in use.

mod state;
mod watch;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::types::Revision;
use tokio::sync::watch as newest;

use self::state::State;
use self::watch::MemoryWatch;
use super::calls::{CallKind, CallMetrics};
use super::faults::Faults;
use super::{Commit, LeaseId, Newest, Outcome, Snapshot, Store, StoreError, StoreFuture, Watch};

/// A key-value store in the memory of this process.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Revision of the newest change, for waiting watches.
    newest: newest::Sender<Revision>,
    faults: Mutex<Faults>,
    metrics: CallMetrics,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Creates an empty store at revision 1.
    pub fn new() -> Self {
        let state = State::new();
        let (newest, _) = newest::channel(state.revision);
        let state = Mutex::new(state);
        Self {
            shared: Arc::new(Shared {
                state,
                newest,
                faults: Mutex::default(),
                metrics: CallMetrics::new(),
            }),
        }
    }

    /// Counters of the calls received.
    pub fn metrics(&self) -> &CallMetrics {
        &self.shared.metrics
    }

    /// Makes every call fail and ends all watches, until switched off.
    pub fn set_down(&self, down: bool) {
        self.shared.faults().down = down;
        self.cut_watches();
    }

    /// Answers each call after `delay`.
    ///
    /// A call delayed by [`DEADLINE`](Self::DEADLINE) or more takes effect, and its answer is
    /// given up at the deadline.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.faults().delay = delay;
    }

    /// Loses the answers of the next `count` writes after they took effect.
    pub fn lose_answers(&self, count: u32) {
        self.shared.faults().lost = count;
    }

    /// Ends all open watches.
    pub fn cut_watches(&self) {
        self.shared.faults().cut();
        self.shared.newest.send_modify(|_| {});
    }

    /// Makes all open watches silent for good; new ones work.
    pub fn silence_watches(&self) {
        self.shared.faults().silence();
    }

    /// Time within which a call is answered or given up.
    pub const DEADLINE: Duration = Duration::from_secs(6);

    /// Counts a call and applies the faults that come before its effect.
    async fn enter(&self, kind: CallKind) -> Result<(), StoreError> {
        self.shared.metrics.sent(kind);
        let (down, delay) = {
            let faults = self.shared.faults();
            (faults.down, faults.delay)
        };
        if down {
            let reason = "switched off".to_owned();
            return Err(self.failed(kind, StoreError::Down { reason }));
        }
        if !delay.is_zero() && delay < Self::DEADLINE {
            tokio::time::sleep(delay).await;
        }
        Ok(())
    }

    /// Applies the faults that come after a call's effect.
    async fn leave(&self, kind: CallKind, written: bool) -> Result<(), StoreError> {
        let call = kind.name();
        if self.shared.faults().delay >= Self::DEADLINE {
            tokio::time::sleep(Self::DEADLINE).await;
            return Err(self.failed(kind, StoreError::Timeout { call }));
        }
        if written && self.shared.faults().lose() {
            let reason = "connection was closed".to_owned();
            return Err(self.failed(kind, StoreError::Unknown { call, reason }));
        }
        Ok(())
    }

    fn failed(&self, kind: CallKind, error: StoreError) -> StoreError {
        self.shared.metrics.failed(kind, &error);
        error
    }

    /// Forgets the changes up to `revision`; watches from before it fail.
    pub fn compact(&self, revision: Revision) {
        let mut state = self.shared.lock();
        state.compact(revision);
    }

    /// Ends a lease at once, as when its holder was paused for longer than its time.
    pub fn lapse(&self, lease: LeaseId) {
        let mut state = self.shared.lock();
        state.lapse(lease);
        self.shared.announce(&state);
    }
}

impl Shared {
    /// Locks the state and ends the leases that are due.
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.expire() {
            self.announce(&state);
        }
        state
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn commit(&self, commit: Commit) -> Result<Outcome, StoreError> {
        let mut state = self.lock();
        let before = state.revision;
        let outcome = state.commit(commit)?;
        if state.revision != before {
            self.announce(&state);
        }
        Ok(outcome)
    }

    fn announce(&self, state: &State) {
        self.newest.send_replace(state.revision);
    }
}

impl Store for MemoryStore {
    fn metrics(&self) -> Option<&CallMetrics> {
        Some(&self.shared.metrics)
    }

    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Snapshot> {
        Box::pin(async move {
            self.enter(CallKind::Range).await?;
            let snapshot = self.shared.lock().range(prefix);
            self.leave(CallKind::Range, false).await?;
            Ok(snapshot)
        })
    }

    fn newest<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Newest> {
        Box::pin(async move {
            self.enter(CallKind::Newest).await?;
            let newest = self.shared.lock().newest(prefix);
            self.leave(CallKind::Newest, false).await?;
            Ok(newest)
        })
    }

    fn commit(&self, commit: Commit) -> StoreFuture<'_, Outcome> {
        Box::pin(async move {
            self.enter(CallKind::Commit).await?;
            let outcome = self.shared.commit(commit)?;
            self.leave(CallKind::Commit, true).await?;
            Ok(outcome)
        })
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId> {
        Box::pin(async move {
            self.enter(CallKind::Grant).await?;
            let lease = self.shared.lock().grant(ttl);
            self.leave(CallKind::Grant, true).await?;
            Ok(lease)
        })
    }

    fn renew(&self, lease: LeaseId) -> StoreFuture<'_, Duration> {
        Box::pin(async move {
            self.enter(CallKind::Renew).await?;
            let left = self.shared.lock().renew(lease)?;
            self.leave(CallKind::Renew, true).await?;
            Ok(left)
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> StoreFuture<'a, Box<dyn Watch>> {
        Box::pin(async move {
            self.enter(CallKind::Watch).await?;
            self.shared.lock().changes(prefix, from)?;
            let watch = MemoryWatch {
                id: self.shared.faults().next_watch(),
                newest: self.shared.newest.subscribe(),
                prefix: prefix.to_owned(),
                from,
                _open: self.shared.metrics.open_watch(),
                shared: self.shared.clone(),
            };
            self.leave(CallKind::Watch, false).await?;
            Ok(Box::new(watch) as Box<dyn Watch>)
        })
    }
}
