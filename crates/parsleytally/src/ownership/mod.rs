//! Who may decide about a team's batch work.
//!
//! Teams hash to shards, and each shard has at most one current epoch in the
//! platform's store. An entry takes a shard by one compare-and-swap that raises
//! the epoch ([`Holder`]), and decides about its tasks ([`Owner`]) while the store
//! has confirmed that epoch less than the hold time ago.
//!
//! A new owner reads the journal after the swap, claims the workers that it names,
//! and starts nothing that may still run elsewhere: it has heard from the worker,
//! or has waited until the worker's deadline has certainly passed.
//! `docs/design/ownership.md` has the proof.

mod holder;
mod journal;
mod owner;
mod presence;
mod shards;
mod term;

pub use holder::{Holder, HolderConfig, HolderInput, HolderOutput, Swap};
pub use journal::{
    Batch, JOURNAL_SEGMENTS, Journal, JournalError, MAX_SEGMENT_BYTES, Segment, SegmentId,
    TaskEntry, segment_of,
};
pub use owner::{Owner, OwnerConfig, OwnerInput, OwnerOutput, Spec, Written};
pub use presence::Presence;
pub use shards::{SHARDS, choose, shard_of};
pub use term::{OwnerRecord, Term};

#[cfg(test)]
mod tests;
