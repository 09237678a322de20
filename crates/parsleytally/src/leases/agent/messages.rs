//! Inputs and outputs of an agent's runs.

use crate::leases::{Checkpoint, Order, Report, RunSpec, RunState};
use crate::types::{Resources, RunId, ShardId, Time};

/// A run as the worker reports it to a restarted agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WorkerRun {
    /// Shard of the run's team.
    pub shard: ShardId,
    /// The run.
    pub run: RunId,
    /// What it was granted.
    pub resources: Resources,
    /// End of the worker's lease on it.
    pub lease_end: Time,
    /// Latest saved state.
    pub checkpoint: Option<Checkpoint>,
    /// Whether it still executes.
    pub state: WorkerRunState,
}

/// State of a run on the worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum WorkerRunState {
    /// Executing.
    Running,
    /// Ended with this state, and kept until forgotten.
    Ended(RunState),
}

/// Input of an [`Agent`](super::Agent).
#[derive(Debug, Clone)]
pub enum Input {
    /// Everything on the worker, read after the worker had fenced earlier agents.
    Inventory(Vec<WorkerRun>),
    /// An order of an owner.
    Order(Order),
    /// News from the worker.
    Worker(Event),
    /// Time has passed.
    Tick,
}

/// News from the worker about one run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// The run executes.
    Started {
        /// The run.
        run: RunId,
    },
    /// Its state was saved.
    Saved {
        /// The run.
        run: RunId,
        /// Number of the saved state.
        checkpoint: Checkpoint,
    },
    /// It does not execute, and will not again.
    Ended {
        /// The run.
        run: RunId,
        /// How it ended.
        state: RunState,
    },
    /// A later agent has taken the worker over.
    Superseded,
}

/// Call to the worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Start a run under a lease; refused after `until`.
    Start {
        /// Shard of the run's team, kept with the run.
        shard: ShardId,
        /// What to run.
        spec: RunSpec,
        /// End of the lease, on the machine's monotonic clock.
        lease_end: Time,
    },
    /// Move the end of a run's lease.
    Extend {
        /// The run.
        run: RunId,
        /// New end of the lease.
        lease_end: Time,
    },
    /// Save a run's state and let it go on.
    Save {
        /// The run.
        run: RunId,
    },
    /// Bound a run's processors.
    Throttle {
        /// The run.
        run: RunId,
        /// Thousandths of its grant.
        cpu_share: u16,
    },
    /// End a run; answered by [`Event::Ended`], also for a run that is not known.
    Stop {
        /// The run.
        run: RunId,
        /// Whether its state is saved first.
        save: bool,
    },
    /// Drop the kept result of a run.
    Forget {
        /// The run.
        run: RunId,
    },
}

/// Why an order was ignored; for counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum IgnoreReason {
    /// Its epoch is lower than one already seen.
    StaleEpoch,
    /// Its proof is for another life, expired, or older than this life.
    StaleProof,
    /// Its run number has been used.
    StaleRun,
    /// Another run of the task has not ended yet.
    Busy,
    /// The worker has not reported its runs yet.
    Unbuilt,
}

/// Output of an [`Agent`](super::Agent).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// To the owner of the report's shard.
    Report(Report),
    /// To the worker.
    Worker(Command),
    /// An order had no effect.
    Ignored(IgnoreReason),
    /// Another agent has the worker; this one must exit.
    Exit,
}
