//! A store in memory that stands in for the platform's.
//!
//! Clones share the same contents. Leases run on tokio's clock, so that a test
//! with paused time controls their end. Faults of the platform's store can be
//! switched on while it is in use.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::types::Revision;
use tokio::sync::watch;
use tokio::time::Instant;

use super::calls::{CallKind, CallMetrics, OpenWatch};
use super::faults::{Faults, WatchId};
use super::{
    Change, Changes, Commit, Compare, Item, LeaseId, MAX_VALUE_BYTES, Newest, Outcome, Snapshot,
    Store, StoreError, StoreFuture, Watch, Write,
};

/// Changes kept for watches; older ones are compacted.
const MAX_HISTORY: usize = 4_096;

/// A key-value store in the memory of this process.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Revision of the newest change, for waiting watches.
    newest: watch::Sender<Revision>,
    faults: Mutex<Faults>,
    metrics: CallMetrics,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    items: BTreeMap<String, Entry>,
    leases: HashMap<LeaseId, Lease>,
    last_lease: u64,
    history: VecDeque<Change>,
    compacted: Revision,
}

#[derive(Debug)]
struct Entry {
    value: Vec<u8>,
    revision: Revision,
    created: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    end: Instant,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Creates an empty store at revision 1.
    pub fn new() -> Self {
        let state = State {
            revision: Revision(1),
            ..State::default()
        };
        let (newest, _) = watch::channel(state.revision);
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
        if let Some(lease) = state.leases.get_mut(&lease) {
            lease.end = Instant::now();
        }
        state.expire();
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

impl State {
    /// Ends the leases that are due; whether a key was deleted by it.
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let due = |lease: &Lease| lease.end <= now;
        if !self.leases.values().any(due) {
            return false;
        }
        self.leases.retain(|_, lease| !due(lease));
        let ended = |lease: &LeaseId| !self.leases.contains_key(lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, entry)| entry.lease.as_ref().is_some_and(ended))
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return false;
        }
        let revision = self.revision.next();
        for key in keys {
            self.delete(key, revision);
        }
        self.revision = revision;
        true
    }

    fn next_end(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.end).min()
    }

    fn delete(&mut self, key: String, revision: Revision) {
        self.items.remove(&key);
        self.record(Change::Delete { key, revision });
    }

    fn put(&mut self, item: Item, lease: Option<LeaseId>) {
        let entry = Entry {
            value: item.value.clone(),
            revision: item.revision,
            created: item.created,
            lease,
        };
        self.items.insert(item.key.clone(), entry);
        self.record(Change::Put(item));
    }

    fn record(&mut self, change: Change) {
        self.history.push_back(change);
        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.front()
        {
            self.compact(oldest.revision());
        }
    }

    fn compact(&mut self, revision: Revision) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let floor = self.compacted;
        while self.history.front().is_some_and(|c| c.revision() <= floor) {
            self.history.pop_front();
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Absent { key } => !self.items.contains_key(key),
            Compare::Unchanged { key, revision } => {
                let entry = self.items.get(key);
                entry.is_some_and(|entry| entry.revision == *revision)
            }
        }
    }

    fn check(&self, writes: &[Write]) -> Result<(), StoreError> {
        for (n, write) in writes.iter().enumerate() {
            if writes[..n].iter().any(|other| other.key() == write.key()) {
                return Err(StoreError::Refused {
                    call: "commit",
                    reason: format!("key {:?} is written twice", write.key()),
                });
            }
            let Write::Put { key, value, lease } = write else {
                continue;
            };
            if value.len() > MAX_VALUE_BYTES {
                return Err(StoreError::TooLarge {
                    key: key.clone(),
                    size: value.len(),
                });
            }
            if let Some(lease) = *lease
                && !self.leases.contains_key(&lease)
            {
                return Err(StoreError::LeaseGone { lease });
            }
        }
        Ok(())
    }

    fn commit(&mut self, commit: Commit) -> Result<Outcome, StoreError> {
        if !commit.compares.iter().all(|compare| self.holds(compare)) {
            return Ok(Outcome::Conflict(self.revision));
        }
        self.check(&commit.writes)?;
        let revision = self.revision.next();
        let mut changed = false;
        for write in commit.writes {
            match write {
                Write::Put { key, value, lease } => {
                    let known = self.items.get(&key);
                    let created = known.map_or(revision, |entry| entry.created);
                    let item = Item {
                        key,
                        value,
                        revision,
                        created,
                    };
                    self.put(item, lease);
                    changed = true;
                }
                Write::Delete { key } if self.items.contains_key(&key) => {
                    self.delete(key, revision);
                    changed = true;
                }
                Write::Delete { .. } => {}
            }
        }
        if changed {
            self.revision = revision;
        }
        Ok(Outcome::Committed(self.revision))
    }

    fn range(&self, prefix: &str) -> Snapshot {
        let items = self
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| Item {
                key: key.clone(),
                value: entry.value.clone(),
                revision: entry.revision,
                created: entry.created,
            });
        Snapshot {
            revision: self.revision,
            items: items.collect(),
        }
    }

    fn newest(&self, prefix: &str) -> Newest {
        let items = self.items.range(prefix.to_owned()..);
        let items = items.take_while(|(key, _)| key.starts_with(prefix));
        let start = Newest {
            revision: self.revision,
            changed: Revision(0),
            count: 0,
        };
        items.fold(start, |newest, (_, entry)| Newest {
            changed: newest.changed.max(entry.revision),
            count: newest.count + 1,
            ..newest
        })
    }

    fn changes(&self, prefix: &str, from: Revision) -> Result<Vec<Change>, StoreError> {
        if from < self.compacted {
            return Err(StoreError::Compacted {
                oldest: self.compacted,
            });
        }
        let start = self.history.partition_point(|c| c.revision() <= from);
        let changes = self.history.iter().skip(start);
        Ok(changes
            .filter(|change| change.key().starts_with(prefix))
            .cloned()
            .collect())
    }

    fn grant(&mut self, ttl: Duration) -> LeaseId {
        let ttl = Duration::from_secs(ttl.as_secs().max(1));
        let end = Instant::now() + ttl;
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        self.leases.insert(id, Lease { ttl, end });
        id
    }

    fn renew(&mut self, id: LeaseId) -> Result<Duration, StoreError> {
        let lease = self.leases.get_mut(&id);
        let lease = lease.ok_or(StoreError::LeaseGone { lease: id })?;
        lease.end = Instant::now() + lease.ttl;
        Ok(lease.ttl)
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

#[derive(Debug)]
struct MemoryWatch {
    id: WatchId,
    shared: Arc<Shared>,
    newest: watch::Receiver<Revision>,
    prefix: String,
    from: Revision,
    _open: OpenWatch,
}

impl MemoryWatch {
    /// Changes since the last report, and when the next lease may end.
    fn poll(&mut self) -> Result<(Option<Changes>, Option<Instant>), StoreError> {
        let state = self.shared.lock();
        self.newest.mark_unchanged();
        let changes = state.changes(&self.prefix, self.from)?;
        let revision = self.from.max(state.revision);
        self.from = revision;
        let changes = (!changes.is_empty()).then_some(Changes { revision, changes });
        Ok((changes, state.next_end()))
    }
}

impl Watch for MemoryWatch {
    fn next(&mut self) -> StoreFuture<'_, Changes> {
        Box::pin(async move {
            loop {
                if self.shared.faults().is_cut(self.id) {
                    let reason = "connection was closed".to_owned();
                    return Err(StoreError::WatchEnded { reason });
                }
                if self.shared.faults().is_silent(self.id) {
                    std::future::pending::<()>().await;
                }
                let (changes, lease_end) = self.poll()?;
                if let Some(changes) = changes {
                    return Ok(changes);
                }
                let lease = async {
                    match lease_end {
                        Some(end) => tokio::time::sleep_until(end).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    _ = self.newest.changed() => {}
                    () = lease => {}
                }
            }
        })
    }
}
