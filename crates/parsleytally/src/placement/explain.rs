//! Explains why a task waits and why each worker was ruled out.

use std::collections::BTreeMap;
use std::fmt;

use derive_more::Display;

use crate::types::{NodeName, Resources, Time};

/// Why one worker cannot run a task now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum FilterReason {
    /// The agent does not accept starts.
    #[display("not ready")]
    NotReady,
    /// The last report is too old.
    #[display("report is stale")]
    Stale,
    /// The worker is quarantined because too many tasks failed on it.
    #[display("set aside")]
    Quarantined,
    /// The worker is reserved for another task that has waited long.
    #[display("reserved")]
    Reserved,
    /// The worker refused this task recently, or the task failed on it.
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
    /// The remaining capacity is kept for tasks that need accelerators.
    #[display("kept for accelerators")]
    AcceleratorHeadroom,
    /// A service on the worker would be expected to exceed the allowed slowdown.
    #[display("interference")]
    Interference,
}

/// Why a task cannot run with the current workers and quota, even if all were idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum UnplaceableReason {
    /// The task needs more than any known worker has in total.
    #[display("no worker has {_0}")]
    TooLarge(Resources),
    /// The task needs more than its team's whole quota.
    #[display("the team's quota is {_0}")]
    OverQuota(Resources),
}

/// Status of a task in placement.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementStatus {
    /// It waits for a worker.
    Waiting,
    /// It waits because the rest of the team's quota is too small for it.
    QuotaExhausted,
    /// It cannot run with the current workers and quota.
    Unplaceable(UnplaceableReason),
    /// It has been sent to a worker.
    Placed(NodeName),
}

/// Status of a task, with the reasons that ruled workers out if it waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// Status of the task.
    pub status: PlacementStatus,
    /// When the task was submitted or adopted.
    pub since: Time,
    /// Number of known workers.
    pub workers: usize,
    /// Number of workers ruled out, by the first reason that applies.
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
