//! Inputs and outputs of the holder of an entry's shards.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ownership::{OwnerRecord, Ownership};
use crate::types::{Incarnation, NodeName, Revision, ShardId, Time};

/// Settings of an entry's ownerships.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ElectorConfig {
    /// Name of the entry.
    pub node: NodeName,
    /// Life of the entry's process; unique for the name.
    pub incarnation: Incarnation,
    /// How long a run may outlive a confirmation by the store.
    pub hold: Duration,
    /// Whether runs may be started before they are journaled.
    pub unjournaled_starts: bool,
    /// Time between two reads of all owner records.
    pub read_interval: Duration,
    /// Most swaps in flight, and most shards being given up at once.
    pub max_moves: usize,
}

/// Answer to a swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SwapResult {
    /// The record is in the store at this revision.
    Succeeded(Revision),
    /// Somebody else was faster; nothing was written.
    Conflict,
    /// Not known; a later read tells.
    Unknown,
}

/// Input of a [`ShardElector`](super::ShardElector).
#[derive(Debug, Clone)]
pub enum ElectorInput {
    /// Entries that are reachable and not leaving, this one included.
    Live(BTreeSet<NodeName>),
    /// All owner records, by a read that was sent at `asked`.
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
        /// What became of it.
        result: SwapResult,
    },
    /// The owner of the shard has stopped, with its journal written.
    Drained {
        /// The shard.
        shard: ShardId,
        /// Whether the runs of all earlier owners were known.
        recovered: bool,
    },
    /// The process is shutting down: give up every shard and take none.
    Close,
    /// Time has passed.
    Tick,
}

/// Output of a [`ShardElector`](super::ShardElector).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ElectorOutput {
    /// Read all owner records; answer with the time given here.
    Read {
        /// The present.
        sent_at: Time,
    },
    /// Write `record` if the key is unchanged since `expect`, or absent if `None`.
    Swap {
        /// The shard.
        shard: ShardId,
        /// Expected revision of the key's last change.
        expected_revision: Option<Revision>,
        /// The new record.
        record: OwnerRecord,
    },
    /// The shard is owned from now on; its journal is to be read after this.
    Acquired {
        /// The ownership.
        ownership: Ownership,
        /// Revision of the owner record, for the journal's compares.
        revision: Revision,
    },
    /// The store has confirmed the ownership in a call sent at `asked`.
    Confirmed {
        /// The shard.
        shard: ShardId,
        /// When the call was sent.
        sent_at: Time,
    },
    /// The shard is to be given up: stop deciding, write the journal, answer
    /// [`ElectorInput::Drained`].
    Drain {
        /// The shard.
        shard: ShardId,
    },
    /// The shard is owned by another entry, or was given up.
    Lost {
        /// The shard.
        shard: ShardId,
    },
}
