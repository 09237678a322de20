//! A store in memory whose calls pass through hooks, for tests of faults.

use std::time::Duration;

use parsleytally::types::Revision;

use super::{
    CallKind, Commit, LeaseId, MemoryStore, Newest, Outcome, Snapshot, Store, StoreFuture, Watch,
};

/// What becomes of the calls to a store in memory; without a hook, it answers them.
pub trait StoreHooks: Send + Sync {
    /// Passes on a call of any kind that has no hook of its own.
    fn pass<'a, T: Send + 'a>(
        &'a self,
        call: CallKind,
        answer: StoreFuture<'a, T>,
    ) -> StoreFuture<'a, T> {
        let _ = call;
        answer
    }

    /// Hook of [`Store::range`].
    fn range<'a>(&'a self, store: &'a MemoryStore, prefix: &'a str) -> StoreFuture<'a, Snapshot> {
        self.pass(CallKind::Range, store.range(prefix))
    }

    /// Hook of [`Store::commit`].
    fn commit<'a>(&'a self, store: &'a MemoryStore, commit: Commit) -> StoreFuture<'a, Outcome> {
        self.pass(CallKind::Commit, store.commit(commit))
    }

    /// Hook of [`Store::grant`].
    fn grant<'a>(&'a self, store: &'a MemoryStore, ttl: Duration) -> StoreFuture<'a, LeaseId> {
        self.pass(CallKind::Grant, store.grant(ttl))
    }

    /// Hook of [`Store::watch`].
    fn watch<'a>(
        &'a self,
        store: &'a MemoryStore,
        prefix: &'a str,
        from: Revision,
    ) -> StoreFuture<'a, Box<dyn Watch>> {
        self.pass(CallKind::Watch, store.watch(prefix, from))
    }
}

/// A store in memory with hooks.
#[derive(Debug, Default)]
pub struct HookedStore<H> {
    /// Store behind the hooks.
    pub memory: MemoryStore,
    /// Hooks of its calls.
    pub hooks: H,
}

impl<H: StoreHooks> Store for HookedStore<H> {
    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Snapshot> {
        self.hooks.range(&self.memory, prefix)
    }

    fn newest<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Newest> {
        let answer = self.memory.newest(prefix);
        self.hooks.pass(CallKind::Newest, answer)
    }

    fn commit(&self, commit: Commit) -> StoreFuture<'_, Outcome> {
        self.hooks.commit(&self.memory, commit)
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId> {
        self.hooks.grant(&self.memory, ttl)
    }

    fn renew(&self, lease: LeaseId) -> StoreFuture<'_, Duration> {
        let answer = self.memory.renew(lease);
        self.hooks.pass(CallKind::Renew, answer)
    }

    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> StoreFuture<'a, Box<dyn Watch>> {
        self.hooks.watch(&self.memory, prefix, from)
    }
}
