//! Inputs and outputs of the owner of a shard.

use std::sync::Arc;
use std::time::Duration;

use crate::leases::{Order, Report};
use crate::ownership::Batch;
use crate::recovery::Recovered;
use crate::types::{Incarnation, NodeName, Resources, RunId, RunNumber, TaskKey, Time};

/// Settings of the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OwnerConfig {
    /// Shortest time between two journal writes of a shard.
    pub flush_interval: Duration,
    /// Faulty runs after which a task is given up.
    pub max_faults: u16,
}

/// What a placed task needs to run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskSpec {
    /// What it is granted.
    pub need: Resources,
    /// What the worker runs, passed on unread.
    pub command: Arc<str>,
    /// Declared run time, a hint only.
    pub run_time: Duration,
}

/// What became of a journal batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// It is in the store, under the epoch of this owner.
    Accepted {
        /// When the write was sent; the store confirmed the epoch after that.
        sent_at: Time,
    },
    /// The store has a higher epoch.
    Fenced,
    /// Not known; the same batch is sent again.
    Unknown,
}

/// Input of an [`Owner`](super::Owner).
#[derive(Debug, Clone)]
pub enum OwnerInput {
    /// The store confirmed the epoch in a call that was sent at `asked`.
    Confirmed {
        /// When the call was sent.
        sent_at: Time,
    },
    /// The store has a higher epoch.
    Superseded,
    /// Settings have this task.
    Add {
        /// The task.
        task: TaskKey,
    },
    /// Settings no longer have this task.
    Remove {
        /// The task.
        task: TaskKey,
    },
    /// The task shall not run any more.
    Cancel {
        /// The task.
        task: TaskKey,
    },
    /// The run shall save its state and make room.
    Evict {
        /// The task.
        task: TaskKey,
        /// Its current run.
        run: RunNumber,
    },
    /// Run the task on a worker.
    Place {
        /// The task.
        task: TaskKey,
        /// Its latest run when this was decided.
        expected_run: RunNumber,
        /// The worker.
        agent: NodeName,
        /// What it needs.
        spec: TaskSpec,
    },
    /// An agent was heard.
    Heartbeat {
        /// The worker.
        agent: NodeName,
        /// Life of the agent.
        incarnation: Incarnation,
        /// When it sent its message, on its own clock.
        sent: Time,
    },
    /// An agent reported the shard's runs.
    Report(Report),
    /// The platform says that the worker does not exist any more.
    WorkerLost {
        /// The worker.
        agent: NodeName,
    },
    /// A journal batch was answered.
    Written {
        /// Number of the batch.
        seq: u64,
        /// What became of it.
        result: WriteResult,
    },
    /// Time has passed.
    Tick,
}

/// Output of an [`Owner`](super::Owner).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OwnerOutput {
    /// To an agent.
    Order {
        /// The worker.
        agent: NodeName,
        /// The order.
        order: Order,
    },
    /// To the store.
    Write(Batch),
    /// The task may be placed.
    Ready {
        /// The task.
        task: TaskKey,
    },
    /// A placement was not taken; the task or the worker is not ready.
    NotPlaced {
        /// The task.
        task: TaskKey,
    },
    /// The worker refused a run.
    RunRefused {
        /// The task.
        task: TaskKey,
        /// The worker.
        agent: NodeName,
        /// Why.
        reason: Arc<str>,
    },
    /// A run ended by a fault.
    RunFailed {
        /// The task.
        task: TaskKey,
        /// The worker.
        agent: NodeName,
        /// What the worker reported.
        reason: Arc<str>,
    },
    /// A run was given up after its worker stayed silent, or was replaced.
    RunLost {
        /// The run.
        run: RunId,
    },
    /// The task is finished, and the journal has it.
    Completed {
        /// The task.
        task: TaskKey,
        /// The run that did the work.
        run: RunNumber,
    },
    /// Every run of earlier owners is known.
    Recovered(Recovered),
    /// Another owner has the shard; this one does nothing more.
    Superseded,
}
