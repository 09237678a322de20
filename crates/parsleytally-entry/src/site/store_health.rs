//! Whether the store answers this entry, by the calls of all its components.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::types::Revision;
use parsleytally_platform::store::{
    Changes, Commit, LeaseId, Newest, Outcome, Snapshot, Store, StoreError, StoreFuture, Watch,
};
use prometheus::IntGauge;
use tokio::time::Instant;

/// Whether the store answers this entry; shared by all components.
#[derive(Debug)]
pub(super) struct StoreHealth {
    answers: AtomicBool,
    last_answer: Mutex<Option<Instant>>,
    /// 1 while the store answers.
    gauge: IntGauge,
}

impl StoreHealth {
    /// The store counts as answering until the first failure.
    pub(super) fn new(gauge: IntGauge) -> Self {
        gauge.set(1);
        Self {
            answers: AtomicBool::new(true),
            last_answer: Mutex::default(),
            gauge,
        }
    }

    /// Whether the store has answered since the last failure.
    pub(super) fn answers(&self) -> bool {
        self.answers.load(Ordering::Relaxed)
    }

    fn answered(&self) {
        *self.last_answer() = Some(Instant::now());
        if !self.answers.swap(true, Ordering::Relaxed) {
            self.gauge.set(1);
            log::info!("the store answers this entry again");
        }
    }

    /// Records a failure of a call that was sent at `sent`.
    fn failed(&self, sent: Instant, error: &StoreError) {
        // A call that was answered after this one was sent shows that only this one's answer
        // was lost.
        if self.last_answer().is_some_and(|answer| answer > sent) {
            return;
        }
        if self.answers.swap(false, Ordering::Relaxed) {
            self.gauge.set(0);
            log::warn!(error:% = error; "the store does not answer this entry");
        }
    }

    fn last_answer(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_answer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the outcome of a call that was sent at `sent`.
    fn record<T>(&self, sent: Instant, outcome: &Result<T, StoreError>) {
        match outcome {
            Ok(_) | Err(StoreError::LeaseGone { .. } | StoreError::Compacted { .. }) => {
                self.answered();
            }
            // Says nothing about the store: the call was not sent.
            Err(StoreError::TooLarge { .. }) => {}
            Err(error) => self.failed(sent, error),
        }
    }
}

/// A store whose calls are recorded in a [`StoreHealth`].
pub(super) struct ObservedStore {
    store: Arc<dyn Store>,
    health: Arc<StoreHealth>,
}

impl ObservedStore {
    pub(super) fn new(store: Arc<dyn Store>, health: Arc<StoreHealth>) -> Self {
        Self { store, health }
    }

    fn observe<'a, T: 'a>(&'a self, answer: StoreFuture<'a, T>) -> StoreFuture<'a, T> {
        Box::pin(async move {
            let sent = Instant::now();
            let outcome = answer.await;
            self.health.record(sent, &outcome);
            outcome
        })
    }
}

impl Store for ObservedStore {
    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Snapshot> {
        self.observe(self.store.range(prefix))
    }

    fn newest<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Newest> {
        self.observe(self.store.newest(prefix))
    }

    fn commit(&self, commit: Commit) -> StoreFuture<'_, Outcome> {
        self.observe(self.store.commit(commit))
    }

    fn commit_by(&self, commit: Commit, deadline: Instant) -> StoreFuture<'_, Outcome> {
        self.observe(self.store.commit_by(commit, deadline))
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId> {
        self.observe(self.store.grant(ttl))
    }

    fn renew(&self, lease: LeaseId) -> StoreFuture<'_, Duration> {
        self.observe(self.store.renew(lease))
    }

    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> StoreFuture<'a, Box<dyn Watch>> {
        Box::pin(async move {
            // Opening a watch may send nothing, so its success is no answer of the store.
            let watch = self.store.watch(prefix, from).await?;
            let health = self.health.clone();
            Ok(Box::new(ObservedWatch { watch, health }) as Box<dyn Watch>)
        })
    }
}

/// A watch whose answers are recorded. Its failures are not: a watch can be silent while the
/// store answers all other calls.
struct ObservedWatch {
    watch: Box<dyn Watch>,
    health: Arc<StoreHealth>,
}

impl Watch for ObservedWatch {
    fn next(&mut self) -> StoreFuture<'_, Changes> {
        Box::pin(async move {
            let changes = self.watch.next().await;
            if changes.is_ok() {
                self.health.answered();
            }
            changes
        })
    }
}
