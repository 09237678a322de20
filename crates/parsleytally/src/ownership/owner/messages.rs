//! Settings, inputs and outputs of the owner of a shard.

use std::sync::Arc;
use std::time::Duration;

use crate::leases::{Order, Report};
use crate::ownership::Batch;
use crate::recovery::Recovered;
use crate::types::{Incarnation, NodeName, Resources, RunId, RunNumber, TaskKey, Time};

/// Settings of an [`Owner`](super::Owner).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OwnerConfig {
    /// Shortest time between two journal writes of a shard.
    pub flush_interval: Duration,
    /// Number of failed runs after which a task counts as failed.
    pub max_faults: u16,
}

/// What a task needs and runs, as placed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskSpec {
    /// Resources granted to the run.
    pub need: Resources,
    /// Command for the worker, passed on without parsing.
    pub command: Arc<str>,
    /// Declared run time, a hint only.
    pub run_time: Duration,
}

/// Result of writing a journal batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The batch is in the store, under the epoch of this owner.
    Accepted {
        /// When the write was sent; the store confirmed the epoch later than that.
        sent_at: Time,
    },
    /// The store has a higher epoch; the write was refused.
    Fenced,
    /// No answer; the same batch is sent again.
    Unknown,
}

/// Input of an [`Owner`](super::Owner).
#[derive(Debug, Clone)]
pub enum OwnerInput {
    /// The store confirmed the epoch in a call that was sent at `sent_at`.
    Confirmed {
        /// When the call was sent.
        sent_at: Time,
    },
    /// The store has a higher epoch.
    Superseded,
    /// The settings contain this task.
    Add {
        /// The task.
        task: TaskKey,
    },
    /// The settings no longer contain this task.
    Remove {
        /// The task.
        task: TaskKey,
    },
    /// Stop the task; it does not run again.
    Cancel {
        /// The task.
        task: TaskKey,
    },
    /// Stop the run after it saves a checkpoint, to free its resources.
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
        /// Latest run of the task when the placement was decided.
        expected_run: RunNumber,
        /// The worker.
        agent: NodeName,
        /// What it needs.
        spec: TaskSpec,
    },
    /// A message of an agent arrived.
    Heartbeat {
        /// The worker.
        agent: NodeName,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// When it sent its message, on its own clock.
        sent: Time,
    },
    /// An agent reported the shard's runs.
    Report(Report),
    /// The platform reported that the worker no longer exists.
    WorkerLost {
        /// The worker.
        agent: NodeName,
    },
    /// A journal batch was answered.
    Written {
        /// Number of the batch.
        seq: u64,
        /// Result of the write.
        result: WriteResult,
    },
    /// Time has passed.
    Tick,
}

/// Output of an [`Owner`](super::Owner).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OwnerOutput {
    /// Send an order to an agent.
    Order {
        /// The worker.
        agent: NodeName,
        /// The order.
        order: Order,
    },
    /// Write a journal batch to the store.
    Write(Batch),
    /// The task may be placed.
    Ready {
        /// The task.
        task: TaskKey,
    },
    /// A placement was refused; the task, its segment or the worker is not ready.
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
    /// A run failed.
    RunFailed {
        /// The task.
        task: TaskKey,
        /// The worker.
        agent: NodeName,
        /// What the worker reported.
        reason: Arc<str>,
    },
    /// A run was given up: its deadline passed without a report, or its worker was lost.
    RunLost {
        /// The run.
        run: RunId,
    },
    /// The task is finished, and its end is durable in the journal.
    Completed {
        /// The task.
        task: TaskKey,
        /// The run that did the work.
        run: RunNumber,
    },
    /// Every run of earlier owners is accounted for.
    Recovered(Recovered),
    /// Another owner has the shard; this one ignores all further input.
    Superseded,
}
