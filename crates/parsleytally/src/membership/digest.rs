//! Digests: summaries of one zone's services, exchanged between zones.
//!
//! A digest lists the services of a zone whose hashes lie in a range. A zone with
//! more than [`MAX_DIGEST_ROWS`] services is sent page by page. A digest is complete
//! within its range, so the receiver removes services of that range that it omits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{Peer, Refusal};
use crate::configs::MembershipConfig;
use crate::types::{Incarnation, NodeName, ServiceKey, Time, ZoneName};

/// Maximum number of services in one digest.
pub const MAX_DIGEST_ROWS: usize = 512;

/// Maximum number of services stored per remote entry.
pub const MAX_REMOTE_ROWS: usize = 8_192;

/// Maximum number of linked peers, and of remote entries with stored digests.
pub const MAX_PEERS: usize = 256;

/// Hash of a service; every process computes the same value.
pub fn service_hash(key: &ServiceKey) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.team.as_str().as_bytes());
    hasher.update(b"/");
    hasher.update(key.service.as_str().as_bytes());
    hasher.digest()
}

/// Capacity of one service within a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// Endpoints that accept new work.
    pub ready_endpoints: u32,
    /// Unused slots of these endpoints.
    pub free_slots: u32,
}

/// One service of a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Hash of the service, by [`service_hash`].
    pub service_hash: u64,
    /// Capacity of the service within the zone.
    pub capacity: ServiceCapacity,
}

/// Services of one zone within a range of hashes, as its sender reports them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Entry that created the digest.
    pub origin: Peer,
    /// Incarnation of that entry.
    pub incarnation: Incarnation,
    /// Number of the digest within that incarnation; a higher one is newer.
    pub version: u64,
    /// Whether an entry of the receiver's zone forwarded it; it is not forwarded again.
    pub relayed_in_zone: bool,
    /// Lowest and highest hash covered, both inclusive.
    pub hash_range: (u64, u64),
    /// Services within the range, in ascending order of their hashes.
    pub rows: Vec<Row>,
}

impl Digest {
    fn is_valid(&self) -> bool {
        let (low, high) = self.hash_range;
        let ordered = self
            .rows
            .is_sorted_by(|a, b| a.service_hash < b.service_hash);
        let in_range = |row: &Row| (low..=high).contains(&row.service_hash);
        self.rows.len() <= MAX_DIGEST_ROWS && ordered && self.rows.iter().all(in_range)
    }
}

/// Builds the page of a zone's services that starts at the hash `start`.
///
/// Returns the covered range, its rows and the start of the next page, which is 0
/// after the last page.
pub(super) fn build_page(
    services: &BTreeMap<u64, ServiceCapacity>,
    start: u64,
) -> ((u64, u64), Vec<Row>, u64) {
    let row = |(&service_hash, &capacity): (&u64, &ServiceCapacity)| Row {
        service_hash,
        capacity,
    };
    let mut rest = services.range(start..).map(row);
    let rows: Vec<Row> = rest.by_ref().take(MAX_DIGEST_ROWS).collect();
    match rest.next() {
        Some(next) => ((start, next.service_hash - 1), rows, next.service_hash),
        None => ((start, u64::MAX), rows, 0),
    }
}

/// Services of another zone, as reported by the digests of one of its entries.
#[derive(Debug)]
struct RemoteEntry {
    zone: ZoneName,
    incarnation: Incarnation,
    version: u64,
    received_at: Time,
    rows: BTreeMap<u64, ServiceCapacity>,
}

impl RemoteEntry {
    /// Replaces the rows of the digest's range; rows beyond the limit are dropped.
    fn apply(&mut self, digest: &Digest) {
        let (low, high) = digest.hash_range;
        self.rows.retain(|hash, _| *hash < low || *hash > high);
        let remaining = MAX_REMOTE_ROWS - self.rows.len();
        let rows = digest.rows.iter().take(remaining);
        self.rows
            .extend(rows.map(|row| (row.service_hash, row.capacity)));
    }
}

/// State received from the entries of other zones.
#[derive(Debug, Default)]
pub(super) struct RemoteEntries {
    entries: BTreeMap<NodeName, RemoteEntry>,
}

impl RemoteEntries {
    /// Applies a digest; returns `false` if it is not newer than the stored state.
    pub(super) fn accept(&mut self, now: Time, digest: &Digest) -> Result<bool, Refusal> {
        if !digest.is_valid() {
            return Err(Refusal::BadDigest);
        }
        let name = &digest.origin.name;
        if !self.entries.contains_key(name) && self.entries.len() >= MAX_PEERS {
            return Err(Refusal::TooManyPeers { limit: MAX_PEERS });
        }
        let remote = self
            .entries
            .entry(name.clone())
            .or_insert_with(|| RemoteEntry {
                zone: digest.origin.zone.clone(),
                incarnation: digest.incarnation,
                version: 0,
                received_at: now,
                rows: BTreeMap::new(),
            });
        let current = (remote.incarnation, remote.version);
        if (digest.incarnation, digest.version) <= current {
            return Ok(false);
        }
        if digest.incarnation > remote.incarnation {
            remote.rows.clear();
        }
        remote.incarnation = digest.incarnation;
        remote.version = digest.version;
        remote.zone = digest.origin.zone.clone();
        remote.received_at = now;
        remote.apply(digest);
        Ok(true)
    }

    /// Removes entries that sent no newer digest within `digest_expiry`.
    pub(super) fn expire(&mut self, now: Time, config: &MembershipConfig) {
        let is_fresh = |remote: &RemoteEntry| now.since(remote.received_at) < config.digest_expiry;
        self.entries.retain(|_, remote| is_fresh(remote));
    }

    /// The entry whose zone reports the most free slots for a service; zones without a ready
    /// endpoint are skipped.
    pub(super) fn with_most_free_slots(
        &self,
        hash: u64,
    ) -> Option<(&NodeName, &ZoneName, ServiceCapacity)> {
        let rows = self.entries.iter().filter_map(|(name, remote)| {
            let capacity = remote.rows.get(&hash)?;
            Some((name, &remote.zone, *capacity))
        });
        rows.filter(|(_, _, capacity)| capacity.ready_endpoints > 0)
            .max_by_key(|(_, _, capacity)| capacity.free_slots)
    }
}
