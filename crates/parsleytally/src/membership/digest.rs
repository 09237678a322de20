//! Digests of zones: what an entry tells other zones, and what it learned of them.
//!
//! A digest lists the services of a zone whose hashes lie in a range. A zone with
//! more than [`MAX_DIGEST_ROWS`] services is told page by page. Within its range a
//! digest is complete, so a service that is missing there has left the zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{Peer, Refusal};
use crate::configs::MembershipConfig;
use crate::types::{Incarnation, NodeName, ServiceKey, Time, ZoneName};

/// Most services in one digest.
pub const MAX_DIGEST_ROWS: usize = 512;

/// Most services that are kept for one other entry.
pub const MAX_REMOTE_ROWS: usize = 8_192;

/// Most other entries that are kept.
pub const MAX_PEERS: usize = 256;

/// Hash of a service, the same in every process.
pub fn service_hash(key: &ServiceKey) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.team.as_str().as_bytes());
    hasher.update(b"/");
    hasher.update(key.service.as_str().as_bytes());
    hasher.digest()
}

/// What a zone offers of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// Endpoints that take new work.
    pub ready_endpoints: u32,
    /// Slots of these endpoints that are not taken.
    pub free_slots: u32,
}

/// One service in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Hash of the service, by [`service_hash`].
    pub service_hash: u64,
    /// What the zone offers of it.
    pub capacity: ServiceCapacity,
}

/// What one entry tells of its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The entry that made the digest.
    pub origin: Peer,
    /// Life of that entry.
    pub incarnation: Incarnation,
    /// Number of the digest within that life.
    pub version: u64,
    /// Whether an entry of the receiver's own zone passed it on.
    pub relayed_in_zone: bool,
    /// Lowest and highest hash that the digest covers.
    pub hash_range: (u64, u64),
    /// Services within the range, in the order of their hashes.
    pub rows: Vec<Row>,
}

impl Digest {
    fn is_valid(&self) -> bool {
        let (low, high) = self.hash_range;
        let ordered = self
            .rows
            .is_sorted_by(|a, b| a.service_hash < b.service_hash);
        let inside = |row: &Row| (low..=high).contains(&row.service_hash);
        self.rows.len() <= MAX_DIGEST_ROWS && ordered && self.rows.iter().all(inside)
    }
}

/// Cuts the page that starts at `from` out of a zone's services.
///
/// Returns the covered range, its rows and the start of the next page.
pub(super) fn cut_page(
    zone: &BTreeMap<u64, ServiceCapacity>,
    from: u64,
) -> ((u64, u64), Vec<Row>, u64) {
    let row = |(&service, &room): (&u64, &ServiceCapacity)| Row {
        service_hash: service,
        capacity: room,
    };
    let mut rest = zone.range(from..).map(row);
    let rows: Vec<Row> = rest.by_ref().take(MAX_DIGEST_ROWS).collect();
    match rest.next() {
        Some(next) => ((from, next.service_hash - 1), rows, next.service_hash),
        None => ((from, u64::MAX), rows, 0),
    }
}

/// What is known of one other entry's zone.
#[derive(Debug)]
struct Remote {
    zone: ZoneName,
    incarnation: Incarnation,
    version: u64,
    heard: Time,
    rows: BTreeMap<u64, ServiceCapacity>,
}

impl Remote {
    fn apply(&mut self, digest: &Digest) {
        let (low, high) = digest.hash_range;
        self.rows.retain(|hash, _| *hash < low || *hash > high);
        let room = MAX_REMOTE_ROWS - self.rows.len();
        let rows = digest.rows.iter().take(room);
        self.rows
            .extend(rows.map(|row| (row.service_hash, row.capacity)));
    }
}

/// Digests of other entries, newest only.
#[derive(Debug, Default)]
pub(super) struct Remotes {
    entries: BTreeMap<NodeName, Remote>,
}

impl Remotes {
    /// Takes a digest in; returns whether it was news.
    pub(super) fn accept(&mut self, now: Time, digest: &Digest) -> Result<bool, Refusal> {
        if !digest.is_valid() {
            return Err(Refusal::BadDigest);
        }
        let name = &digest.origin.name;
        if !self.entries.contains_key(name) && self.entries.len() >= MAX_PEERS {
            return Err(Refusal::TooManyPeers { limit: MAX_PEERS });
        }
        let remote = self.entries.entry(name.clone()).or_insert_with(|| Remote {
            zone: digest.origin.zone.clone(),
            incarnation: digest.incarnation,
            version: 0,
            heard: now,
            rows: BTreeMap::new(),
        });
        let seen = (remote.incarnation, remote.version);
        if (digest.incarnation, digest.version) <= seen {
            return Ok(false);
        }
        if digest.incarnation > remote.incarnation {
            remote.rows.clear();
        }
        remote.incarnation = digest.incarnation;
        remote.version = digest.version;
        remote.zone = digest.origin.zone.clone();
        remote.heard = now;
        remote.apply(digest);
        Ok(true)
    }

    /// Drops what was not renewed in time.
    pub(super) fn expire(&mut self, now: Time, config: &MembershipConfig) {
        let fresh = |remote: &Remote| now.since(remote.heard) < config.digest_expiry;
        self.entries.retain(|_, remote| fresh(remote));
    }

    /// The entry of another zone with most free slots for a service.
    pub(super) fn best(&self, hash: u64) -> Option<(&NodeName, &ZoneName, ServiceCapacity)> {
        let rows = self.entries.iter().filter_map(|(name, remote)| {
            let room = remote.rows.get(&hash)?;
            Some((name, &remote.zone, *room))
        });
        rows.filter(|(_, _, room)| room.ready_endpoints > 0)
            .max_by_key(|(_, _, room)| room.free_slots)
    }
}
