//! What the store keeps of an ownership.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::leases::outlast;
use crate::types::{Epoch, Incarnation, NodeName, RunNumber, ShardId, Time};

/// Bits of a run number below the epoch that gave it, where that is part of it.
const EPOCH_SHIFT: u32 = 32;

/// Value of a shard's owner key in the store.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Epoch of this ownership.
    pub epoch: Epoch,
    /// The entry that owns the shard.
    pub owner: NodeName,
    /// Life of that entry; with the epoch it tells whose write this was.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// How long a run may outlive a confirmation of this epoch, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold: Duration,
    /// Longest hold time of this and the earlier epochs, in milliseconds.
    #[serde(rename = "longest")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub longest_hold: Duration,
    /// Whether this or an earlier epoch could start runs before they were journaled.
    #[serde(rename = "ahead")]
    pub unjournaled_starts: bool,
    /// Whether the owner has given the shard up and sends no more orders.
    pub released: bool,
}

impl OwnerRecord {
    /// The record that follows `old` when `owner` takes the shard.
    pub fn successor(
        old: Option<&Self>,
        owner: &NodeName,
        life: Incarnation,
        hold: Duration,
        ahead: bool,
    ) -> Self {
        Self {
            epoch: old.map_or(Epoch(1), |old| old.epoch.next()),
            owner: owner.clone(),
            incarnation: life,
            hold,
            longest_hold: old.map_or(hold, |old| old.longest_hold.max(hold)),
            unjournaled_starts: ahead || old.is_some_and(|old| old.unjournaled_starts),
            released: false,
        }
    }

    /// The record that gives the shard up, with everything started in the journal.
    ///
    /// `settled` tells whether the runs of all earlier epochs are known.
    #[must_use]
    pub fn release(&self, settled: bool) -> Self {
        Self {
            longest_hold: if settled {
                self.hold
            } else {
                self.longest_hold
            },
            unjournaled_starts: self.unjournaled_starts && !settled,
            released: true,
            ..self.clone()
        }
    }

    /// Whether `owner` in its life `life` wrote this.
    pub fn written_by(&self, owner: &NodeName, life: Incarnation) -> bool {
        self.owner == *owner && self.incarnation == life
    }
}

/// One ownership, as its owner knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ownership {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// How long a run may outlive a confirmation.
    pub hold: Duration,
    /// Whether runs may be started before they are journaled.
    pub unjournaled_starts: bool,
    /// Whether an earlier owner could do so.
    pub unjournaled_runs: bool,
    /// When every run that an earlier owner let go on has certainly ended.
    pub earlier_runs_end: Time,
}

impl Ownership {
    /// The ownership by `record`, learned at `now`.
    pub fn new(shard: ShardId, record: &OwnerRecord, now: Time) -> Self {
        let first = record.epoch == Epoch(1);
        let wait = if first {
            Duration::ZERO
        } else {
            outlast(record.longest_hold)
        };
        Self {
            shard,
            epoch: record.epoch,
            hold: record.hold,
            unjournaled_starts: record.unjournaled_starts,
            unjournaled_runs: record.unjournaled_starts && !first,
            earlier_runs_end: now.after(wait),
        }
    }

    /// Number above which runs are numbered, so that none is used again that an
    /// earlier owner gave to a run which the journal does not have.
    pub fn run_number_floor(&self) -> RunNumber {
        match self.unjournaled_runs {
            true => RunNumber(self.epoch.0 << EPOCH_SHIFT),
            false => RunNumber(0),
        }
    }
}
