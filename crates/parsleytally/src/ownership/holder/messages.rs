//! Inputs and outputs of the holder of an entry's shards.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ownership::{OwnerRecord, Term};
use crate::types::{Incarnation, NodeName, Revision, ShardId, Time};

/// Settings of an entry's ownerships.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HolderConfig {
    /// Name of the entry.
    pub node: NodeName,
    /// Life of the entry's process; unique for the name.
    pub life: Incarnation,
    /// How long a run may outlive a confirmation by the store.
    pub hold: Duration,
    /// Whether runs may be started before they are journaled.
    pub ahead: bool,
    /// Time between two reads of all owner records.
    pub interval: Duration,
    /// Most swaps in flight, and most shards being given up at once.
    pub moves: usize,
}

/// Answer to a swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Swap {
    /// The record is in the store at this revision.
    Won(Revision),
    /// Somebody else was faster; nothing was written.
    Lost,
    /// Not known; a later read tells.
    Unknown,
}

/// Input of a [`Holder`](super::Holder).
#[derive(Debug, Clone)]
pub enum HolderInput {
    /// Entries that are reachable and not leaving, this one included.
    Live(BTreeSet<NodeName>),
    /// All owner records, by a read that was sent at `asked`.
    Read {
        /// When the read was sent.
        asked: Time,
        /// Records with the revision of their last change.
        records: Vec<(ShardId, OwnerRecord, Revision)>,
    },
    /// A swap was answered.
    Swapped {
        /// The shard.
        shard: ShardId,
        /// What became of it.
        result: Swap,
    },
    /// The owner of the shard has stopped, with its journal written.
    Drained {
        /// The shard.
        shard: ShardId,
        /// Whether the runs of all earlier owners were known.
        settled: bool,
    },
    /// The process is shutting down: give up every shard and take none.
    Close,
    /// Time has passed.
    Tick,
}

/// Output of a [`Holder`](super::Holder).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HolderOutput {
    /// Read all owner records; answer with the time given here.
    Read {
        /// The present.
        asked: Time,
    },
    /// Write `record` if the key is unchanged since `expect`, or absent if `None`.
    Swap {
        /// The shard.
        shard: ShardId,
        /// Expected revision of the key's last change.
        expect: Option<Revision>,
        /// The new record.
        record: OwnerRecord,
    },
    /// The shard is owned from now on; its journal is to be read after this.
    Acquired {
        /// The ownership.
        term: Term,
        /// Revision of the owner record, for the journal's compares.
        revision: Revision,
    },
    /// The store has confirmed the ownership in a call sent at `asked`.
    Confirmed {
        /// The shard.
        shard: ShardId,
        /// When the call was sent.
        asked: Time,
    },
    /// The shard is to be given up: stop deciding, write the journal, answer
    /// [`HolderInput::Drained`].
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
