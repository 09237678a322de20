//! Election of the owner of the jobs: an epoch key that names the owner, and a leased key
//! that shows that the owner is alive.
//!
//! Writes of an owner are conditional on the revision of its epoch key, so writes of a
//! replaced owner fail. The leased key only determines when the owner may be replaced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::{Epoch, NodeName, Revision};
use parsleytally_platform::store::{Commit, Compare, LeaseId, Outcome, Store, StoreError, Write};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::keys;

/// Time for which a draining entry leaves a free ownership to other candidates.
const YIELD_TIME: Duration = Duration::from_millis(700);

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
    ttl: Duration,
    lease: Option<LeaseId>,
    /// Revision at which the last ended ownership of this process began.
    ended: Option<Revision>,
    /// When this process first found the jobs without an owner.
    vacant_since: Option<Instant>,
    /// Whether this process drains and leaves a free ownership to other candidates first.
    pub(crate) yielding: bool,
}

impl Candidate {
    pub(crate) fn new(
        store: Arc<dyn Store>,
        node: NodeName,
        links: SocketAddr,
        incarnation: u64,
        ttl: Duration,
    ) -> Self {
        Self {
            store,
            node,
            links,
            incarnation,
            ttl,
            lease: None,
            ended: None,
            vacant_since: None,
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
    pub(crate) async fn check(&mut self) -> Result<(OwnerView, Instant), StoreError> {
        let sent = Instant::now();
        let ownership = self.store.range(keys::OWNERSHIP).await?;
        let owner = ownership.item(keys::EPOCH).and_then(|item| {
            let owner = postcard::from_bytes::<Owner>(&item.value);
            let owner = owner.map_err(|error| {
                log::error!(key = keys::EPOCH, error:% = error; "owner record is invalid");
            });
            Some((owner.ok()?, item.revision))
        });
        let alive = ownership.item(keys::ALIVE).is_some();
        match owner {
            Some((_, since)) if self.ended == Some(since) => {
                if self.must_yield() {
                    return Ok((OwnerView::Unknown, sent));
                }
                self.acquire(owner, alive).await.map(|view| (view, sent))
            }
            Some((owner, since))
                if owner.incarnation == self.incarnation && owner.node == self.node =>
            {
                self.vacant_since = None;
                self.renew_lease(alive, since).await?;
                Ok((OwnerView::Own(owner, since), sent))
            }
            Some((owner, _)) if alive => {
                self.vacant_since = None;
                Ok((OwnerView::Other(owner), sent))
            }
            _ if self.must_yield() => Ok((OwnerView::Unknown, sent)),
            last => self.acquire(last, false).await.map(|view| (view, sent)),
        }
    }

    /// Whether this process must still leave a free ownership to other candidates.
    fn must_yield(&mut self) -> bool {
        let since = *self.vacant_since.get_or_insert_with(Instant::now);
        self.yielding && since.elapsed() < YIELD_TIME
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
        let mut compares = vec![Compare::Unchanged {
            key: keys::EPOCH.to_owned(),
            revision: since,
        }];
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

    async fn acquire(
        &mut self,
        last: Option<(Owner, Revision)>,
        alive: bool,
    ) -> Result<OwnerView, StoreError> {
        let lease = self.ensure_lease().await?;
        let (epoch, compare) = match last {
            Some((owner, revision)) => {
                let key = keys::EPOCH.to_owned();
                (owner.epoch.next(), Compare::Unchanged { key, revision })
            }
            None => (Epoch(0), absent(keys::EPOCH)),
        };
        let owner = Owner {
            epoch,
            node: self.node.clone(),
            links: self.links,
            incarnation: self.incarnation,
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
        let unchanged = Compare::Unchanged {
            key: keys::EPOCH.to_owned(),
            revision: since,
        };
        let commit = Commit {
            compares: vec![unchanged],
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

fn absent(key: &str) -> Compare {
    Compare::Absent {
        key: key.to_owned(),
    }
}
