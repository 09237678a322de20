//! Election of the owner of the jobs: an epoch key that names the owner, and a leased key
//! that shows that the owner is alive.
//!
//! Writes of an owner are conditional on the revision of its epoch key, so writes of a
//! replaced owner fail. The leased key only determines when the owner may be replaced.
//!
//! The owner's work grows with the fleet, and entries can differ much in their processors.
//! The record therefore tells the owner's processors: an entry with far more of them
//! replaces the owner, and one with far fewer leaves a vacant ownership to the others for a
//! while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::{Epoch, MilliCpu, NodeName, Revision};
use parsleytally_platform::process::BootTime;
use parsleytally_platform::store::{Commit, Compare, LeaseId, Outcome, Store, StoreError, Write};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::entries::EntryRegistry;
use super::keys;

/// Time for which a draining entry leaves a vacant ownership to other candidates.
const YIELD_TIME: Duration = Duration::from_millis(700);
/// Same for an entry with far fewer processors than the last owner.
const WEAK_YIELD_TIME: Duration = Duration::from_millis(500);
/// Factor between the processors of two entries from which on the better one should own
/// the jobs.
const MIN_CPU_FACTOR: u64 = 2;
/// Time for which an entry knows an owner with far fewer processors before it replaces it.
const REPLACE_DELAY: Duration = Duration::from_millis(1_200);

/// Highest epoch of a record; fencing tokens have 32 bits for it.
const MAX_EPOCH: Epoch = Epoch(1 << 31);

/// Record of the owner in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    /// Number of the ownership, counted from 0.
    pub(crate) epoch: Epoch,
    /// Name of the entry.
    pub(crate) node: NodeName,
    /// Address at which the entry accepts links.
    pub(crate) links: SocketAddr,
    /// Incarnation of the entry's process.
    pub(crate) incarnation: u64,
    /// Processors of the entry; 0 in a record of an earlier program version.
    pub(crate) cpu: MilliCpu,
}

/// Record of the owner as earlier program versions write it.
#[derive(Deserialize)]
struct OwnerWithoutCpu {
    epoch: Epoch,
    node: NodeName,
    links: SocketAddr,
    incarnation: u64,
}

impl Owner {
    /// Decodes a record; none if it is not one that an entry wrote.
    fn decode(bytes: &[u8]) -> Option<Self> {
        let owner: Option<Self> = postcard::from_bytes(bytes).ok();
        let owner = owner.or_else(|| Self::decode_without_cpu(bytes));
        owner.filter(|owner| owner.epoch <= MAX_EPOCH)
    }

    fn decode_without_cpu(bytes: &[u8]) -> Option<Self> {
        let old: OwnerWithoutCpu = postcard::from_bytes(bytes).ok()?;
        Some(Self {
            epoch: old.epoch,
            node: old.node,
            links: old.links,
            incarnation: old.incarnation,
            cpu: MilliCpu(0),
        })
    }
}

/// Whether an entry with `cpu` should own the jobs rather than one with `other`.
fn far_exceeds(cpu: MilliCpu, other: MilliCpu) -> bool {
    cpu.0 > 0 && cpu.0 >= other.0.saturating_mul(MIN_CPU_FACTOR)
}

/// Result of a check of the ownership in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OwnerView {
    /// This process owns the jobs; the revision is that of its epoch key.
    Own(Owner, Revision),
    /// Another process owns the jobs.
    Other(Owner),
    /// The owner is unknown: this process leaves the ownership to other candidates, or
    /// another process changed the keys during the check.
    Unknown,
}

/// This process as a candidate for the ownership.
pub(crate) struct Candidate {
    store: Arc<dyn Store>,
    node: NodeName,
    links: SocketAddr,
    incarnation: u64,
    cpu: MilliCpu,
    ttl: Duration,
    lease: Option<LeaseId>,
    /// Revision at which the last ended ownership of this process began.
    ended: Option<Revision>,
    /// When this process first found the jobs without an owner.
    vacant_since: Option<Instant>,
    /// Owner with far fewer processors than this process, by the revision of its epoch key,
    /// and when this process first found it.
    weak_owner: Option<(Revision, Instant)>,
    /// Revision of the last change of jobs or agents, as the last check has read it.
    pub(super) changed: Revision,
    /// Takes the entries' addresses from the same read.
    pub(super) entries: Option<EntryRegistry>,
    /// Whether this process drains and leaves a free ownership to other candidates first.
    pub(crate) yielding: bool,
}

impl Candidate {
    pub(crate) fn new(
        store: Arc<dyn Store>,
        node: NodeName,
        links: SocketAddr,
        incarnation: u64,
        cpu: MilliCpu,
        ttl: Duration,
    ) -> Self {
        Self {
            store,
            node,
            links,
            incarnation,
            cpu,
            ttl,
            lease: None,
            ended: None,
            vacant_since: None,
            weak_owner: None,
            changed: Revision(0),
            entries: None,
            yielding: false,
        }
    }

    /// Records that this process's ownership from revision `since` has ended; the next
    /// check acquires a new one.
    pub(crate) fn mark_ended(&mut self, since: Revision) {
        self.ended = Some(since);
    }

    /// Checks the ownership in the store, renews it if it is this process's, and acquires
    /// it if it is free.
    ///
    /// The second value is the time at which the check began: the view was valid at that
    /// time or later.
    pub(crate) async fn check(&mut self) -> Result<(OwnerView, BootTime), StoreError> {
        let sent = BootTime::now();
        let ownership = self.store.range(keys::OWNERSHIP).await?;
        if let Some(entries) = &mut self.entries {
            entries.update(&ownership);
        }
        let changed = ownership.item(keys::FLEET_CHANGED);
        self.changed = changed.map_or(self.changed, |item| item.revision);
        let epoch_item = ownership.item(keys::EPOCH);
        let owner = epoch_item.and_then(|item| Some((Owner::decode(&item.value)?, item.revision)));
        let alive = ownership.item(keys::ALIVE).is_some();
        if let Some(item) = epoch_item.filter(|_| owner.is_none()) {
            let view = self.replace_unreadable(item.revision, alive).await?;
            return Ok((view, sent));
        }
        match owner {
            Some((_, since)) if self.ended == Some(since) => {
                if self.must_yield(None) {
                    return Ok((OwnerView::Unknown, sent));
                }
                let last = owner.map(epoch_after);
                self.acquire(last, alive).await.map(|view| (view, sent))
            }
            Some((owner, since))
                if owner.incarnation == self.incarnation && owner.node == self.node =>
            {
                self.vacant_since = None;
                self.renew_lease(alive, since).await?;
                Ok((OwnerView::Own(owner, since), sent))
            }
            Some((owner, since)) if alive => {
                self.vacant_since = None;
                if self.must_replace(&owner, since) {
                    log::info!(owner:% = owner.node, owner_cpu:% = owner.cpu, cpu:% = self.cpu;
                        "replacing the owner: this entry has more processors");
                    let last = epoch_after((owner, since));
                    let view = self.acquire(Some(last), true).await?;
                    return Ok((view, sent));
                }
                Ok((OwnerView::Other(owner), sent))
            }
            last if self.must_yield(last.as_ref().map(|(owner, _)| owner)) => {
                Ok((OwnerView::Unknown, sent))
            }
            last => {
                let last = last.map(epoch_after);
                self.acquire(last, false).await.map(|view| (view, sent))
            }
        }
    }

    /// Replaces an owner record that can't be read. Each epoch is written at a revision of its
    /// own, so that of the record is above all epochs so far.
    async fn replace_unreadable(
        &mut self,
        revision: Revision,
        alive: bool,
    ) -> Result<OwnerView, StoreError> {
        log::error!(key = keys::EPOCH, revision:% = revision;
            "owner record is invalid, replacing it");
        if self.yielding {
            return Ok(OwnerView::Unknown);
        }
        let next = (Epoch(revision.0.min(MAX_EPOCH.0 / 2)), revision);
        self.acquire(Some(next), alive).await
    }

    /// Whether this process must still leave a vacant ownership, last held by `last`, to
    /// other candidates.
    fn must_yield(&mut self, last: Option<&Owner>) -> bool {
        let since = *self.vacant_since.get_or_insert_with(Instant::now);
        let is_weak = last.is_some_and(|last| far_exceeds(last.cpu, self.cpu));
        let yields = self.yielding && since.elapsed() < YIELD_TIME;
        yields || (is_weak && since.elapsed() < WEAK_YIELD_TIME)
    }

    /// Whether this process must replace a living owner that has far fewer processors.
    fn must_replace(&mut self, owner: &Owner, since: Revision) -> bool {
        if self.yielding || owner.cpu.0 == 0 || !far_exceeds(self.cpu, owner.cpu) {
            self.weak_owner = None;
            return false;
        }
        match self.weak_owner {
            Some((known, found)) if known == since => found.elapsed() >= REPLACE_DELAY,
            _ => {
                self.weak_owner = Some((since, Instant::now()));
                false
            }
        }
    }

    /// Renews the lease; writes the liveness key under a new lease if the key or the lease
    /// is lost.
    async fn renew_lease(&mut self, alive: bool, since: Revision) -> Result<(), StoreError> {
        if let Some(lease) = self.lease.filter(|_| alive) {
            match self.store.renew(lease).await {
                Ok(_) => return Ok(()),
                Err(StoreError::LeaseGone { .. }) => self.lease = None,
                Err(error) => return Err(error),
            }
        }
        let lease = self.ensure_lease().await?;
        let mut compares = vec![epoch_unchanged(since)];
        if !alive {
            compares.push(absent(keys::ALIVE));
        }
        let writes = vec![self.put_alive(lease)];
        let outcome = self.store.commit(Commit { compares, writes }).await?;
        if let Outcome::Conflict(_) = outcome {
            log::warn!("ownership changed while its liveness key was being restored");
        }
        Ok(())
    }

    /// Writes a new owner record with the next epoch, in place of the last one at its revision.
    async fn acquire(
        &mut self,
        next: Option<(Epoch, Revision)>,
        alive: bool,
    ) -> Result<OwnerView, StoreError> {
        let lease = self.ensure_lease().await?;
        let (epoch, compare) = match next {
            Some((epoch, revision)) => (epoch, epoch_unchanged(revision)),
            None => (Epoch(0), absent(keys::EPOCH)),
        };
        let owner = Owner {
            epoch,
            node: self.node.clone(),
            links: self.links,
            incarnation: self.incarnation,
            cpu: self.cpu,
        };
        // Encoding to memory fails only for types that postcard does not support.
        let value = postcard::to_stdvec(&owner).expect("an owner consists of plain data");
        let epoch_key = Write::Put {
            key: keys::EPOCH.to_owned(),
            value,
            lease: None,
        };
        let mut compares = vec![compare];
        if !alive {
            compares.push(absent(keys::ALIVE));
        }
        let commit = Commit {
            compares,
            writes: vec![epoch_key, self.put_alive(lease)],
        };
        match self.store.commit(commit).await? {
            Outcome::Committed(since) => {
                self.vacant_since = None;
                Ok(OwnerView::Own(owner, since))
            }
            Outcome::Conflict(_) => Ok(OwnerView::Unknown),
        }
    }

    /// Deletes the liveness key, so that another entry can take over at once.
    pub(crate) async fn resign(&mut self, since: Revision) {
        let commit = Commit {
            compares: vec![epoch_unchanged(since)],
            writes: vec![Write::Delete {
                key: keys::ALIVE.to_owned(),
            }],
        };
        if let Err(error) = self.store.commit(commit).await {
            log::warn!(error:% = error; "deleting the liveness key failed, it may remain until its lease expires");
        }
    }

    async fn ensure_lease(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease
            && self.store.renew(lease).await.is_ok()
        {
            return Ok(lease);
        }
        let lease = self.store.grant(self.ttl).await?;
        self.lease = Some(lease);
        Ok(lease)
    }

    fn put_alive(&self, lease: LeaseId) -> Write {
        Write::Put {
            key: keys::ALIVE.to_owned(),
            value: self.node.as_str().as_bytes().to_vec(),
            lease: Some(lease),
        }
    }
}

/// The epoch after that of an owner, and the revision of its record.
fn epoch_after((owner, revision): (Owner, Revision)) -> (Epoch, Revision) {
    (owner.epoch.next(), revision)
}

/// Condition that the ownership that began at revision `since` has not been replaced.
pub(super) fn epoch_unchanged(since: Revision) -> Compare {
    Compare::Unchanged {
        key: keys::EPOCH.to_owned(),
        revision: since,
    }
}

fn absent(key: &str) -> Compare {
    Compare::Absent {
        key: key.to_owned(),
    }
}
