//! Ownership of shards: which entry may decide about a team's batch tasks.
//!
//! Teams hash to shards, and each shard has at most one current epoch in the
//! platform's store. An entry acquires a shard by one compare-and-swap that raises
//! the epoch ([`ShardElector`]), and decides about its tasks ([`Owner`]) while the
//! last confirmation of that epoch by the store is younger than the hold time.
//!
//! A new owner reads the journal after the swap, claims the workers named in it,
//! and starts no task that may still run elsewhere: either the worker has reported,
//! or its deadline has certainly passed.
//! `docs/design/ownership.md` has the proof.

mod elector;
mod journal;
mod liveness;
mod owner;
mod record;
mod shards;

pub use elector::{ElectorConfig, ElectorInput, ElectorOutput, ShardElector, SwapResult};
pub use journal::{
    Batch, JOURNAL_SEGMENTS, Journal, JournalError, JournaledTask, MAX_SEGMENT_BYTES, Segment,
    SegmentId, segment_of,
};
pub use liveness::LivenessTracker;
pub use owner::{Owner, OwnerConfig, OwnerInput, OwnerOutput, TaskSpec, WriteResult};
pub use record::{OwnerRecord, Ownership};
pub use shards::{SHARDS, preferred_owner, shard_of};

#[cfg(test)]
mod tests;
