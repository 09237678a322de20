//! Maps teams to shards, and shards to entries.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::types::{NodeName, ShardId, TeamName};

/// Number of shards; part of the stored format.
pub const SHARDS: u64 = 64;

/// Shard of `team`; the same in every process.
pub fn shard_of(team: &TeamName) -> ShardId {
    ShardId(xxh3_64(team.as_str().as_bytes()) % SHARDS)
}

/// The entry that should own `shard` by rendezvous hashing; `None` without entries.
///
/// When an entry joins or leaves, only the shards that it gains or loses move.
pub fn preferred_owner<'a>(
    shard: ShardId,
    entries: impl IntoIterator<Item = &'a NodeName>,
) -> Option<&'a NodeName> {
    let score = |entry: &NodeName| xxh3_64_with_seed(entry.as_str().as_bytes(), shard.0);
    entries
        .into_iter()
        .max_by_key(|&entry| (score(entry), entry))
}
