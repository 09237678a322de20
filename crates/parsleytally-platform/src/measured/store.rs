//! Calls to the platform's store.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::Revision;
use prometheus::Registry;
use tokio::time::Instant;

use super::Calls;
use crate::store::{
    CallKind, Changes, Commit, LeaseId, Newest, Outcome, Snapshot, Store, StoreError, StoreFuture,
    Watch,
};

/// A store whose calls are counted and timed.
pub struct MeasuredStore {
    store: Arc<dyn Store>,
    calls: Calls,
}

impl MeasuredStore {
    /// Wraps `store`.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on names that are taken.
    pub fn new(store: Arc<dyn Store>, registry: &Registry) -> prometheus::Result<Self> {
        let calls = Calls::register(registry, "parsleytally_kv_calls", "Calls to the store")?;
        Ok(Self { store, calls })
    }

    fn note<'a, T: 'a>(&'a self, kind: CallKind, answer: StoreFuture<'a, T>) -> StoreFuture<'a, T> {
        Box::pin(async move {
            let began = Instant::now();
            let answer = answer.await;
            let outcome = answer.as_ref().err().map_or("done", StoreError::name);
            self.calls.note(kind.name(), outcome, began.elapsed());
            answer
        })
    }
}

impl Store for MeasuredStore {
    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Snapshot> {
        self.note(CallKind::Range, self.store.range(prefix))
    }

    fn newest<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Newest> {
        self.note(CallKind::Newest, self.store.newest(prefix))
    }

    fn commit(&self, commit: Commit) -> StoreFuture<'_, Outcome> {
        self.note(CallKind::Commit, self.store.commit(commit))
    }

    fn commit_by(&self, commit: Commit, deadline: Instant) -> StoreFuture<'_, Outcome> {
        self.note(CallKind::Commit, self.store.commit_by(commit, deadline))
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId> {
        self.note(CallKind::Grant, self.store.grant(ttl))
    }

    fn renew(&self, lease: LeaseId) -> StoreFuture<'_, Duration> {
        self.note(CallKind::Renew, self.store.renew(lease))
    }

    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> StoreFuture<'a, Box<dyn Watch>> {
        Box::pin(async move {
            let opened = self.note(CallKind::Watch, self.store.watch(prefix, from));
            let watch = opened.await?;
            let calls = self.calls.clone();
            Ok(Box::new(MeasuredWatch { watch, calls }) as Box<dyn Watch>)
        })
    }
}

/// A watch whose changes are counted.
struct MeasuredWatch {
    watch: Box<dyn Watch>,
    calls: Calls,
}

impl Watch for MeasuredWatch {
    fn next(&mut self) -> StoreFuture<'_, Changes> {
        Box::pin(async move {
            let began = Instant::now();
            let changes = self.watch.next().await;
            let outcome = changes.as_ref().err().map_or("done", StoreError::name);
            self.calls.note("changes", outcome, began.elapsed());
            changes
        })
    }
}
