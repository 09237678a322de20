//! Contents of the store in memory: items, leases and the history of changes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use parsleytally::types::Revision;
use tokio::time::Instant;

use crate::store::{
    Change, Commit, Compare, Item, LeaseId, MAX_VALUE_BYTES, Newest, Outcome, Snapshot, StoreError,
    Write,
};

/// Changes kept for watches; older ones are compacted.
const MAX_HISTORY: usize = 4_096;

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) revision: Revision,
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

impl State {
    pub(super) fn new() -> Self {
        Self {
            revision: Revision(1),
            ..Self::default()
        }
    }

    /// Ends a lease at once.
    pub(super) fn lapse(&mut self, lease: LeaseId) {
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.end = Instant::now();
        }
        self.expire();
    }

    /// Ends the leases that are due; whether a key was deleted by it.
    pub(super) fn expire(&mut self) -> bool {
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

    pub(super) fn next_end(&self) -> Option<Instant> {
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

    pub(super) fn compact(&mut self, revision: Revision) {
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

    pub(super) fn commit(&mut self, commit: Commit) -> Result<Outcome, StoreError> {
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

    pub(super) fn range(&self, prefix: &str) -> Snapshot {
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

    pub(super) fn newest(&self, prefix: &str) -> Newest {
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

    pub(super) fn changes(&self, prefix: &str, from: Revision) -> Result<Vec<Change>, StoreError> {
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

    pub(super) fn grant(&mut self, ttl: Duration) -> LeaseId {
        let ttl = Duration::from_secs(ttl.as_secs().max(1));
        let end = Instant::now() + ttl;
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        self.leases.insert(id, Lease { ttl, end });
        id
    }

    pub(super) fn renew(&mut self, id: LeaseId) -> Result<Duration, StoreError> {
        let lease = self.leases.get_mut(&id);
        let lease = lease.ok_or(StoreError::LeaseGone { lease: id })?;
        lease.end = Instant::now() + lease.ttl;
        Ok(lease.ttl)
    }
}
