//! Ownership of a shard: its record in the store and the owner's view of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::leases::with_drift_margin;
use crate::types::{Epoch, Incarnation, NodeName, RunNumber, ShardId, Time};

/// Position of the epoch in run numbers that include it.
const EPOCH_SHIFT: u32 = 32;

/// Value of a shard's owner key in the store.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Epoch of this ownership.
    pub epoch: Epoch,
    /// The entry that owns the shard.
    pub owner: NodeName,
    /// Incarnation of that entry; with the epoch it identifies the writer of the record.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// How long a run may go on after a confirmation of this epoch; stored in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold: Duration,
    /// Longest hold time of this and earlier epochs; stored in milliseconds.
    #[serde(rename = "longest")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub longest_hold: Duration,
    /// Whether this or an earlier epoch may start runs before they are journaled.
    #[serde(rename = "ahead")]
    pub unjournaled_starts: bool,
    /// Whether the owner has released the shard and sends no more orders.
    pub released: bool,
}

impl OwnerRecord {
    /// Record of the next epoch after `previous`, with `owner` as the owner.
    pub fn successor(
        previous: Option<&Self>,
        owner: &NodeName,
        incarnation: Incarnation,
        hold: Duration,
        unjournaled_starts: bool,
    ) -> Self {
        Self {
            epoch: previous.map_or(Epoch(1), |previous| previous.epoch.next()),
            owner: owner.clone(),
            incarnation,
            hold,
            longest_hold: previous.map_or(hold, |previous| previous.longest_hold.max(hold)),
            unjournaled_starts: unjournaled_starts
                || previous.is_some_and(|previous| previous.unjournaled_starts),
            released: false,
        }
    }

    /// Record that releases the shard; every started run must be in the journal.
    ///
    /// `recovered`: whether the runs of all earlier epochs are accounted for.
    #[must_use]
    pub fn release(&self, recovered: bool) -> Self {
        Self {
            longest_hold: if recovered {
                self.hold
            } else {
                self.longest_hold
            },
            unjournaled_starts: self.unjournaled_starts && !recovered,
            released: true,
            ..self.clone()
        }
    }

    /// Whether `owner` wrote this record in `incarnation`.
    pub fn written_by(&self, owner: &NodeName, incarnation: Incarnation) -> bool {
        self.owner == *owner && self.incarnation == incarnation
    }
}

/// The ownership of one shard in one epoch, as seen by its owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ownership {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// How long a run may go on after a confirmation.
    pub hold: Duration,
    /// Whether runs may start before they are journaled; copied from the record.
    pub unjournaled_starts: bool,
    /// Whether runs of earlier owners may exist that the journal lacks.
    pub unjournaled_runs: bool,
    /// When all runs of earlier owners have certainly ended, unless kept by this one.
    pub earlier_runs_end: Time,
}

impl Ownership {
    /// Creates the ownership described by `record`, which was read or written by `now`.
    pub fn new(shard: ShardId, record: &OwnerRecord, now: Time) -> Self {
        let first = record.epoch == Epoch(1);
        let wait = if first {
            Duration::ZERO
        } else {
            with_drift_margin(record.longest_hold)
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

    /// Lower bound for new run numbers. If the journal may lack runs, it includes the
    /// epoch, so that no number of an unjournaled run is used again.
    pub fn run_number_floor(&self) -> RunNumber {
        match self.unjournaled_runs {
            true => RunNumber(self.epoch.0 << EPOCH_SHIFT),
            false => RunNumber(0),
        }
    }
}
