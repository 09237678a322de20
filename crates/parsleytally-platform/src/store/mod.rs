//! The platform's key-value service: compare-and-swap, leases and watches.
//!
//! [`Store`] is the border. Every change of the store takes the next
//! [`Revision`], and each item carries the revision of its last change; a
//! [`Commit`] compares these revisions and writes several keys at once or none.
//!
//! A call that fails by [`StoreError::Unknown`] or [`StoreError::Timeout`] may
//! have taken effect all the same; a writer reads back before it writes again.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use derive_more::{Display, From, Into};
use parsleytally::types::Revision;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout_at};

mod calls;
mod error;
mod etcd;
#[cfg(feature = "stand-in")]
mod faults;
#[cfg(feature = "stand-in")]
pub mod gateway;
#[cfg(feature = "stand-in")]
mod hooked;
#[cfg(feature = "stand-in")]
mod memory;
mod writer;

pub use calls::{CallKind, CallMetrics};
pub use error::StoreError;
pub use etcd::EtcdStore;
#[cfg(feature = "stand-in")]
pub use hooked::{HookedStore, StoreHooks};
#[cfg(feature = "stand-in")]
pub use memory::MemoryStore;
pub use writer::{Verdict, Writer};

/// Largest value that the store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A call to the store in progress.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// Number of a lease that the store granted.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value, unread.
    pub value: Vec<u8>,
    /// Revision of the key's last change.
    pub revision: Revision,
    /// Revision at which the key came to be; a key that was deleted and set again has a new one.
    pub created: Revision,
}

/// All items under a prefix at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the store at the time of the read.
    pub revision: Revision,
    /// Items in the order of their keys.
    pub items: Vec<Item>,
}

impl Snapshot {
    /// The item under exactly `key`.
    pub fn item(&self, key: &str) -> Option<&Item> {
        self.items.iter().find(|item| item.key == key)
    }
}

/// What tells whether a holder of the items under a prefix has missed a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Newest {
    /// Revision of the store at the time of the read.
    pub revision: Revision,
    /// Highest revision of the items under the prefix; 0 without items.
    pub changed: Revision,
    /// Number of items under the prefix.
    pub count: u64,
}

/// A condition of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Compare {
    /// The key does not exist.
    Absent {
        /// The key.
        key: String,
    },
    /// The key exists and was last changed at this revision.
    Unchanged {
        /// The key.
        key: String,
        /// Expected revision of its last change.
        revision: Revision,
    },
}

impl Compare {
    /// Condition that the key is unchanged at this revision; without one, that it is absent.
    pub fn unchanged(key: impl Into<String>, revision: Option<Revision>) -> Self {
        let key = key.into();
        match revision {
            Some(revision) => Self::Unchanged { key, revision },
            None => Self::Absent { key },
        }
    }
}

/// A write of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        key: String,
        /// Its new value, at most [`MAX_VALUE_BYTES`].
        value: Vec<u8>,
        /// Lease at whose end the key is deleted.
        lease: Option<LeaseId>,
    },
    /// Deletes a key; deleting an absent one changes nothing.
    Delete {
        /// The key.
        key: String,
    },
}

impl Write {
    /// The key that is written.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }

    /// The lease at whose end the key is deleted.
    pub fn lease(&self) -> Option<LeaseId> {
        match self {
            Self::Put { lease, .. } => *lease,
            Self::Delete { .. } => None,
        }
    }
}

/// Writes that take effect together when every condition holds, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Writes, at most one for each key.
    pub writes: Vec<Write>,
}

/// Answer to a commit, with the store's revision after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All conditions held; the writes are in effect.
    Committed(Revision),
    /// A condition did not hold; nothing was written.
    Conflict(Revision),
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The key was set.
    Put(Item),
    /// The key was deleted, or its lease ended.
    Delete {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

impl Change {
    /// The key that changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Delete { key, .. } => key,
        }
    }

    /// Revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(item) => item.revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// Changes that a watch reports at once, in the order of their revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which every change under the prefix has been reported.
    pub revision: Revision,
    /// The changes; none when the store only reports its progress.
    pub changes: Vec<Change>,
}

/// The platform's key-value service.
pub trait Store: Send + Sync {
    /// Reads all items whose key starts with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Snapshot>;

    /// Reads the number of items under `prefix` and their highest revision.
    fn newest<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Newest>;

    /// Writes several keys at once if every condition holds.
    fn commit(&self, commit: Commit) -> StoreFuture<'_, Outcome>;

    /// Same as [`Self::commit`], but ends at `deadline` at the latest.
    ///
    /// An implementation that can tell whether the call was sent by then reports an unsent
    /// one as [`StoreError::Down`]; without, it counts as [`StoreError::Timeout`].
    fn commit_by(&self, commit: Commit, deadline: Instant) -> StoreFuture<'_, Outcome> {
        Box::pin(async move {
            let answer = timeout_at(deadline, self.commit(commit)).await;
            answer.unwrap_or(Err(StoreError::Timeout { call: "commit" }))
        })
    }

    /// Grants a lease that ends after `ttl` unless it is renewed; whole seconds, at least one.
    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId>;

    /// Renews a lease and returns its remaining time.
    fn renew(&self, lease: LeaseId) -> StoreFuture<'_, Duration>;

    /// Counters of the calls, where the store keeps them.
    fn metrics(&self) -> Option<&CallMetrics> {
        None
    }

    /// Opens a watch for the changes under `prefix` whose revision is above `from`.
    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> StoreFuture<'a, Box<dyn Watch>>;
}

/// An open watch; dropping it ends it.
pub trait Watch: Send {
    /// Waits for the next changes.
    ///
    /// After an error the watch is over; another is opened from the last
    /// reported revision.
    fn next(&mut self) -> StoreFuture<'_, Changes>;
}

#[cfg(all(test, feature = "stand-in"))]
mod tests;
