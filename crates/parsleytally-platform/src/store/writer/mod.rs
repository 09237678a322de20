//! Writes that are told apart afterwards when their answer is lost.
//!
//! A [`Writer`] adds to each commit the log of the group's writes, as described at
//! [`parsleytally::writes`]. After an unknown outcome it reads the log back; it
//! sends the commit again only while the log proves that it has not taken effect,
//! and the condition on the log then lets at most one of them take effect.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parsleytally::types::Revision;
use parsleytally::writes::{VersionedLog, WriteId, WriteLog, WriteOutcome, resolve};
use tokio::time::Instant;

use super::{Commit, Compare, Outcome, Store, StoreError, Write};

/// Pause before a lost write is read back again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What became of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect; the revision is known unless others wrote since.
    Accepted(Option<Revision>),
    /// A condition did not hold; it did not and will not take effect.
    Refused,
    /// It did not reach the store, or the store refused it as such.
    NotAccepted(StoreError),
    /// It cannot be told whether it took or will take effect.
    Unknown(StoreError),
}

/// Writes of one process, each with an identity of its own.
#[derive(Clone)]
pub struct Writer {
    store: Arc<dyn Store>,
    writer: u64,
    sequence: Arc<AtomicU64>,
    patience: Duration,
}

impl Writer {
    /// Creates the writer of one life of a process.
    ///
    /// `writer` is a random number; `patience` bounds the time for which the
    /// outcome of one write is sought.
    pub fn new(store: Arc<dyn Store>, writer: u64, patience: Duration) -> Self {
        Self {
            store,
            writer,
            sequence: Arc::default(),
            patience,
        }
    }

    /// Reads the log that guards a group of keys.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or [`StoreError::Protocol`] for a malformed log.
    pub async fn guard(&self, key: &str) -> Result<VersionedLog, StoreError> {
        let snapshot = self.store.range(key).await?;
        let Some(item) = snapshot.item(key) else {
            return Ok(VersionedLog::default());
        };
        let log = WriteLog::parse(&item.value).map_err(|e| StoreError::Protocol {
            call: "range",
            reason: e.to_string(),
        })?;
        let revision = Some(item.revision);
        Ok(VersionedLog { log, revision })
    }

    /// Commits on condition that the log under `key` is still `base`.
    pub async fn commit(&self, key: &str, base: &VersionedLog, commit: Commit) -> Verdict {
        let id = WriteId {
            writer: self.writer,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        };
        let commit = guarded(commit, key, base, id);
        let error = match self.store.commit(commit.clone()).await {
            Ok(Outcome::Committed(revision)) => return Verdict::Accepted(Some(revision)),
            Ok(Outcome::Conflict(_)) => return Verdict::Refused,
            Err(error) if !error.is_unknown() => return Verdict::NotAccepted(error),
            Err(error) => error,
        };
        let end = Instant::now() + self.patience;
        let settled = tokio::time::timeout_at(end, self.settle(key, base, id, &commit)).await;
        settled.unwrap_or(Verdict::Unknown(error))
    }

    /// Seeks what became of a write whose answer was lost.
    async fn settle(
        &self,
        key: &str,
        base: &VersionedLog,
        id: WriteId,
        commit: &Commit,
    ) -> Verdict {
        loop {
            match self.guard(key).await.map(|now| resolve(id, base, &now)) {
                Ok(WriteOutcome::Accepted(revision)) => return Verdict::Accepted(revision),
                Ok(WriteOutcome::Refused) => return Verdict::Refused,
                Ok(WriteOutcome::Unknown) => return Verdict::Unknown(overwritten()),
                Ok(WriteOutcome::Pending) => {
                    let again = self.store.commit(commit.clone()).await;
                    if let Ok(Outcome::Committed(revision)) = again {
                        return Verdict::Accepted(Some(revision));
                    }
                }
                Err(_) => {}
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

fn overwritten() -> StoreError {
    StoreError::Unknown {
        call: "commit",
        reason: "too many other writes have followed".to_owned(),
    }
}

fn guarded(mut commit: Commit, key: &str, base: &VersionedLog, id: WriteId) -> Commit {
    let unchanged = Compare::unchanged(key, base.revision);
    commit.compares.push(unchanged);
    commit.writes.push(Write::Put {
        key: key.to_owned(),
        value: base.log.with(id).to_value(),
        lease: None,
    });
    commit
}

#[cfg(all(test, feature = "stand-in"))]
mod tests;
