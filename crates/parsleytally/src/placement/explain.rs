//! Why a task waits, and which workers were ruled out by what.

use std::collections::BTreeMap;
use std::fmt;

use derive_more::Display;

use crate::types::{NodeName, Resources, Time};

/// Why one worker cannot take a task now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum FilterReason {
    /// The agent does not accept starts.
    #[display("not ready")]
    NotReady,
    /// The last report is too old.
    #[display("report is stale")]
    Stale,
    /// The worker failed too many tasks.
    #[display("set aside")]
    Quarantined,
    /// The worker is reserved for a task that has waited long.
    #[display("reserved")]
    Reserved,
    /// The worker refused this task a moment ago, or the task failed there.
    #[display("refused or failed the task")]
    RefusedOrFailed,
    /// Too few free processors.
    #[display("cpu")]
    Cpu,
    /// Too little free memory.
    #[display("memory")]
    Memory,
    /// Too few free accelerators.
    #[display("accelerators")]
    Accelerators,
    /// The room is kept for tasks that need accelerators.
    #[display("kept for accelerators")]
    AcceleratorHeadroom,
    /// A service there would be expected to miss its target.
    #[display("interference")]
    Interference,
}

/// Why a task cannot run at all with what is known now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum UnplaceableReason {
    /// Every known worker is smaller than the task.
    #[display("no worker has {_0}")]
    TooLarge(Resources),
    /// The team's quota is smaller than the task.
    #[display("the team's quota is {_0}")]
    OverQuota(Resources),
}

/// Where a task stands.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementStatus {
    /// It waits for a worker.
    Waiting,
    /// It waits because the team uses its quota up.
    QuotaExhausted,
    /// It cannot run with what is known now.
    Unplaceable(UnplaceableReason),
    /// It has been sent to a worker.
    Placed(NodeName),
}

/// Answer to the question why a task waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// Where the task stands.
    pub status: PlacementStatus,
    /// Since when.
    pub since: Time,
    /// Known workers.
    pub workers: usize,
    /// Workers ruled out, counted by the first reason that applies.
    pub ruled_out: BTreeMap<FilterReason, u32>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.status {
            PlacementStatus::Waiting => write!(f, "waiting for room")?,
            PlacementStatus::QuotaExhausted => write!(f, "waiting: the team's quota is used up")?,
            PlacementStatus::Unplaceable(reason) => write!(f, "cannot run: {reason}")?,
            PlacementStatus::Placed(worker) => write!(f, "placed on {worker}")?,
        }
        write!(f, "; workers {}", self.workers)?;
        for (reason, count) in &self.ruled_out {
            write!(f, ", {reason} {count}")?;
        }
        Ok(())
    }
}
