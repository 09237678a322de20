//! Tombstones: what a cancellation of an unknown job leaves in the store, so that a submission with
//! this ID that is stored late, or repeated, is not carried out.
//!
//! A tombstone is deleted at the end of its lease. All those of one entry from some minutes share a
//! lease, so that each costs one write. Their number and rate are limited, as anybody can cancel
//! jobs that do not exist; beyond the limit such a cancellation is refused, never confirmed.

use std::time::Duration;

use parsleytally::jobs::JobId;
use parsleytally_platform::store::{Commit, Compare, LeaseId, Store, StoreError, Write};
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout_at};

use super::keys;

/// Longest life of a tombstone, which is the longest lease of the store.
pub(super) const LONGEST_LIFE: Duration = Duration::from_secs(600);
/// Time for which a lease gets new tombstones, so that each lives for 5 minutes at least: writes
/// are carried out up to seconds late, and clients repeat a submission for a minute at most.
const LEASE_USE: Duration = Duration::from_secs(300);
/// Tombstones of one lease; two leases of an entry overlap, at about 100 bytes a tombstone.
const MAX_OF_LEASE: u32 = 4_096;
/// Tombstones that an entry writes at once.
const BURST: u32 = 40;
/// Time after which an entry may write one more: 10 a second, of the 400 writes a second that all
/// processes share.
const REFILL: Duration = Duration::from_millis(100);

/// The tombstones that this entry writes.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lease: Option<SharedLease>,
    /// Time at which the full burst is available again.
    full_at: Option<Instant>,
}

/// A lease of several tombstones.
#[derive(Debug)]
struct SharedLease {
    id: LeaseId,
    /// When its grant was requested.
    since: Instant,
    tombstones: u32,
}

impl Tombstones {
    /// A commit that writes the tombstone of a job unless the store has the job; none beyond the
    /// limit.
    pub(super) async fn commit(
        &self,
        store: &dyn Store,
        id: JobId,
        deadline: Instant,
    ) -> Result<Option<Commit>, StoreError> {
        let mut state = self.state.lock().await;
        let Some(full_at) = state.after_one_more(Instant::now()) else {
            return Ok(None);
        };
        let lease = state.lease(store, deadline).await?;
        state.full_at = Some(full_at);
        Ok(lease.map(|lease| tombstone(id, lease)))
    }

    /// Notes that the store does not have this lease any more.
    pub(super) async fn lease_gone(&self, lease: LeaseId) {
        let mut state = self.state.lock().await;
        if state.lease.as_ref().is_some_and(|used| used.id == lease) {
            state.lease = None;
        }
    }
}

impl State {
    /// When the full burst is available again after one more tombstone; none beyond the rate.
    fn after_one_more(&self, now: Instant) -> Option<Instant> {
        let full_at = self.full_at.map_or(now, |at| at.max(now)) + REFILL;
        (full_at - now <= REFILL * BURST).then_some(full_at)
    }

    /// The lease for one more tombstone; none if it has too many.
    async fn lease(
        &mut self,
        store: &dyn Store,
        deadline: Instant,
    ) -> Result<Option<LeaseId>, StoreError> {
        let now = Instant::now();
        let is_old = |lease: &SharedLease| now.duration_since(lease.since) >= LEASE_USE;
        if self.lease.as_ref().is_none_or(is_old) {
            let granted = timeout_at(deadline, store.grant(LONGEST_LIFE)).await;
            let id = granted.unwrap_or(Err(StoreError::Timeout { call: "grant" }))?;
            log::info!(lease:% = id; "lease of tombstones granted");
            self.lease = Some(SharedLease {
                id,
                since: now,
                tombstones: 0,
            });
        }
        let lease = self.lease.as_mut().filter(|l| l.tombstones < MAX_OF_LEASE);
        Ok(lease.map(|lease| {
            lease.tombstones += 1;
            lease.id
        }))
    }
}

/// Writes or renews a tombstone.
fn tombstone(id: JobId, lease: LeaseId) -> Commit {
    Commit {
        compares: vec![Compare::Absent { key: keys::job(id) }],
        writes: vec![Write::Put {
            key: keys::tombstone(id),
            value: b"cancelled".to_vec(),
            lease: Some(lease),
        }],
    }
}
