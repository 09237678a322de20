//! Who owns the jobs: an epoch in the store, and a leased key that shows that its
//! owner lives.
//!
//! Writes of an owner are conditioned on the revision of its epoch, so those of an
//! owner that was replaced fail. The leased key only tells when to replace it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::{Epoch, NodeName, Revision};
use parsleytally_platform::store::{Commit, Compare, LeaseId, Outcome, Store, StoreError, Write};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::keys;

/// Time for which an entry that ends soon leaves the ownership to others.
const GIVE_WAY: Duration = Duration::from_millis(700);

/// The owner, as the store tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    /// Number of the ownership, from 0.
    pub(crate) epoch: Epoch,
    /// Name of the entry.
    pub(crate) node: NodeName,
    /// Where it accepts links.
    pub(crate) links: SocketAddr,
    /// Number of the entry's life.
    pub(crate) life: u64,
}

/// What a look at the store told about the ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum View {
    /// This process owns the jobs since this revision.
    Mine(Owner, Revision),
    /// Another one does.
    Other(Owner),
    /// Nobody does.
    Nobody,
}

/// This process as a candidate.
pub(crate) struct Candidate {
    store: Arc<dyn Store>,
    node: NodeName,
    links: SocketAddr,
    life: u64,
    ttl: Duration,
    lease: Option<LeaseId>,
    /// Beginning of an ownership of this process that has ended.
    retired: Option<Revision>,
    /// Since when nobody has owned the jobs.
    vacant: Option<Instant>,
    /// Whether this process ends soon, and others shall go first.
    pub(crate) reluctant: bool,
}

impl Candidate {
    pub(crate) fn new(
        store: Arc<dyn Store>,
        node: NodeName,
        links: SocketAddr,
        life: u64,
        ttl: Duration,
    ) -> Self {
        Self {
            store,
            node,
            links,
            life,
            ttl,
            lease: None,
            retired: None,
            vacant: None,
            reluctant: false,
        }
    }

    /// Notes that the ownership that began at `since` has ended: the next look takes a
    /// new one.
    pub(crate) fn retire(&mut self, since: Revision) {
        self.retired = Some(since);
    }

    /// Looks at the ownership; takes it where nobody has it.
    ///
    /// The second value is when the look was sent: the view held at that time or later.
    pub(crate) async fn look(&mut self) -> Result<(View, Instant), StoreError> {
        let sent = Instant::now();
        let lead = self.store.range(keys::LEAD).await?;
        let owner = lead.item(keys::EPOCH).and_then(|item| {
            let owner = postcard::from_bytes::<Owner>(&item.value);
            let owner = owner.map_err(|error| {
                log::error!(key = keys::EPOCH, error:% = error; "owner is unreadable");
            });
            Some((owner.ok()?, item.revision))
        });
        let alive = lead.item(keys::ALIVE).is_some();
        match owner {
            Some((_, since)) if self.retired == Some(since) => {
                if self.gives_way() {
                    return Ok((View::Nobody, sent));
                }
                self.take(owner, alive).await.map(|view| (view, sent))
            }
            Some((owner, since)) if owner.life == self.life && owner.node == self.node => {
                self.vacant = None;
                self.stay(alive, since).await?;
                Ok((View::Mine(owner, since), sent))
            }
            Some((owner, _)) if alive => {
                self.vacant = None;
                Ok((View::Other(owner), sent))
            }
            _ if self.gives_way() => Ok((View::Nobody, sent)),
            last => self.take(last, false).await.map(|view| (view, sent)),
        }
    }

    /// Whether another entry may still take what nobody owns.
    fn gives_way(&mut self) -> bool {
        let since = *self.vacant.get_or_insert_with(Instant::now);
        self.reluctant && since.elapsed() < GIVE_WAY
    }

    /// Renews the lease, and sets its key again where the store has lost it.
    async fn stay(&mut self, alive: bool, since: Revision) -> Result<(), StoreError> {
        if let Some(lease) = self.lease.filter(|_| alive) {
            match self.store.renew(lease).await {
                Ok(_) => return Ok(()),
                Err(StoreError::LeaseGone { .. }) => self.lease = None,
                Err(error) => return Err(error),
            }
        }
        let lease = self.grant().await?;
        let mut compares = vec![Compare::Unchanged {
            key: keys::EPOCH.to_owned(),
            revision: since,
        }];
        if !alive {
            compares.push(absent(keys::ALIVE));
        }
        let writes = vec![self.alive(lease)];
        let outcome = self.store.commit(Commit { compares, writes }).await?;
        if let Outcome::Conflict(_) = outcome {
            log::warn!("ownership changed while its lease was set again");
        }
        Ok(())
    }

    async fn take(
        &mut self,
        last: Option<(Owner, Revision)>,
        alive: bool,
    ) -> Result<View, StoreError> {
        let lease = self.grant().await?;
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
            life: self.life,
        };
        // Writing to memory fails only for types that postcard does not know.
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
            writes: vec![epoch_key, self.alive(lease)],
        };
        match self.store.commit(commit).await? {
            Outcome::Committed(since) => {
                self.vacant = None;
                Ok(View::Mine(owner, since))
            }
            Outcome::Conflict(_) => Ok(View::Nobody),
        }
    }

    /// Lets another entry take over at once.
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
            log::warn!(error:% = error; "ownership ends with its lease: store did not take the end");
        }
    }

    async fn grant(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease
            && self.store.renew(lease).await.is_ok()
        {
            return Ok(lease);
        }
        let lease = self.store.grant(self.ttl).await?;
        self.lease = Some(lease);
        Ok(lease)
    }

    fn alive(&self, lease: LeaseId) -> Write {
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
