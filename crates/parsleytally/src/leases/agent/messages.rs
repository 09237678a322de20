//! Inputs and outputs of the agent's state machine.

use crate::leases::{Checkpoint, Order, Report, RunSpec, RunState};
use crate::types::{Resources, RunId, ShardId, Time};

/// A run as the worker reports it to a restarted agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WorkerRun {
    /// Shard of the run's team.
    pub shard: ShardId,
    /// The run.
    pub run: RunId,
    /// Resources that the run was granted.
    pub resources: Resources,
    /// When the worker's lease on the run expires.
    pub lease_end: Time,
    /// Latest saved state.
    pub checkpoint: Option<Checkpoint>,
    /// Whether it still executes, or how it ended.
    pub state: WorkerRunState,
}

/// State of a run on the worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum WorkerRunState {
    /// Executing.
    Running,
    /// Ended with this state; listed until [`Command::Forget`].
    Ended(RunState),
}

/// Input of an [`Agent`](super::Agent).
#[derive(Debug, Clone)]
pub enum Input {
    /// All runs on the worker, read after the worker had ceased to accept commands of
    /// earlier agents.
    Inventory(Vec<WorkerRun>),
    /// An order of the owner of a shard.
    Order(Order),
    /// An event of the worker.
    Worker(Event),
    /// Periodic tick: repeats pending stops and reports to all owners.
    Tick,
}

/// An event of the worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// A run executes.
    Started {
        /// The run.
        run: RunId,
    },
    /// The state of a run was saved.
    Saved {
        /// The run.
        run: RunId,
        /// Number of the saved state.
        checkpoint: Checkpoint,
    },
    /// A run does not execute, and will not execute again.
    Ended {
        /// The run.
        run: RunId,
        /// How it ended.
        state: RunState,
    },
    /// A later agent has taken over the worker.
    Superseded,
}

/// A command to the worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Start a run under a lease; refused after `lease_end`.
    Start {
        /// Shard of the run's team; the worker stores it with the run.
        shard: ShardId,
        /// The run to start.
        spec: RunSpec,
        /// When the lease expires, on the machine's monotonic clock.
        lease_end: Time,
    },
    /// Extend the lease of a run.
    Extend {
        /// The run.
        run: RunId,
        /// When the lease expires now.
        lease_end: Time,
    },
    /// Save the state of a run without stopping it.
    Save {
        /// The run.
        run: RunId,
    },
    /// Limit the CPU share of a run.
    Throttle {
        /// The run.
        run: RunId,
        /// Limit in thousandths of the run's CPU grant.
        cpu_share: u16,
    },
    /// Stop a run; answered by [`Event::Ended`], also for an unknown run.
    Stop {
        /// The run.
        run: RunId,
        /// Whether to save its state first.
        save: bool,
    },
    /// Delete the ended run from the worker's list.
    Forget {
        /// The run.
        run: RunId,
    },
}

/// Why an order was ignored; for log lines and counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum IgnoreReason {
    /// Its epoch is lower than one already accepted.
    StaleEpoch,
    /// Its proof is for another incarnation, expired, or from before this one started.
    StaleProof,
    /// Its run number was used before.
    StaleRun,
    /// Another run of the task has not ended yet.
    Busy,
    /// The worker has not reported its runs yet.
    Unbuilt,
}

/// Output of an [`Agent`](super::Agent).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a report to the owner of its shard.
    Report(Report),
    /// Send a command to the worker.
    Worker(Command),
    /// An order had no effect.
    Ignored(IgnoreReason),
    /// A later agent has taken over the worker; this one must exit.
    Exit,
}
