//! Settings, inputs and outputs of the shard elector.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ownership::{OwnerRecord, Ownership};
use crate::types::{Incarnation, NodeName, Revision, ShardId, Time};

/// Settings of a [`ShardElector`](super::ShardElector).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ElectorConfig {
    /// Name of the entry.
    pub node: NodeName,
    /// Incarnation of the entry's process; unique per name.
    pub incarnation: Incarnation,
    /// How long a run may outlive a confirmation by the store.
    pub hold: Duration,
    /// Whether runs may be started before they are journaled.
    pub unjournaled_starts: bool,
    /// Time between two reads of all owner records.
    pub read_interval: Duration,
    /// Maximum number of swaps in flight; also of shards draining at once.
    pub max_moves: usize,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SwapResult {
    /// The record is in the store at this revision.
    Succeeded(Revision),
    /// The key had changed; nothing was written.
    Conflict,
    /// No answer; a later read shows whether the record was written.
    Unknown,
}

/// Input of a [`ShardElector`](super::ShardElector).
#[derive(Debug, Clone)]
pub enum ElectorInput {
    /// Entries that are reachable and not leaving, this one included.
    Live(BTreeSet<NodeName>),
    /// All owner records, from a read that was sent at `sent_at`.
    Read {
        /// When the read was sent.
        sent_at: Time,
        /// Records with the revision of their last change.
        records: Vec<(ShardId, OwnerRecord, Revision)>,
    },
    /// A swap was answered.
    Swapped {
        /// The shard.
        shard: ShardId,
        /// Result of the swap.
        result: SwapResult,
    },
    /// The owner of the shard has stopped and its journal is flushed.
    Drained {
        /// The shard.
        shard: ShardId,
        /// Whether the runs of all earlier owners were accounted for.
        recovered: bool,
    },
    /// The process is shutting down: release every shard and acquire none.
    Close,
    /// Time has passed.
    Tick,
}

/// Output of a [`ShardElector`](super::ShardElector).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ElectorOutput {
    /// Read all owner records and answer with the same `sent_at`.
    Read {
        /// When the read is sent.
        sent_at: Time,
    },
    /// Write `record` if the key is unchanged since `expected_revision`, or absent if `None`.
    Swap {
        /// The shard.
        shard: ShardId,
        /// Expected revision of the key's last change.
        expected_revision: Option<Revision>,
        /// The new record.
        record: OwnerRecord,
    },
    /// The shard is now owned; its journal must be read after this.
    Acquired {
        /// The ownership.
        ownership: Ownership,
        /// Revision of the owner record; journal writes compare against it.
        revision: Revision,
    },
    /// The store confirmed the ownership in a call that was sent at `sent_at`.
    Confirmed {
        /// The shard.
        shard: ShardId,
        /// When the call was sent.
        sent_at: Time,
    },
    /// Prepare the release of the shard: stop deciding, flush the journal, then
    /// answer [`ElectorInput::Drained`].
    Drain {
        /// The shard.
        shard: ShardId,
    },
    /// The shard is no longer owned: another entry owns it, or it was released.
    Lost {
        /// The shard.
        shard: ShardId,
    },
}
