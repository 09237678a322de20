//! Messages between the owner of a shard and an agent.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::types::{Epoch, Incarnation, NodeName, Resources, RunId, ShardId, Time};

/// Number that the platform assigned to a saved state of a task.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct Checkpoint(pub u64);

/// Evidence that the sender of an order owned its shard recently.
///
/// The agent computes from it the deadline up to which a run may execute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proof {
    /// Incarnation of the agent that the order is addressed to.
    pub incarnation: Incarnation,
    /// When that agent sent the report or heartbeat that the order answers, on its clock.
    pub sent_at: Time,
    /// Time since the owner sent the request for its last confirmation by the store.
    pub confirmation_age: Duration,
    /// Hold time: how long a run may execute after a confirmation.
    pub hold: Duration,
}

/// A run to start, with its grant and its command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunSpec {
    /// The run.
    pub run: RunId,
    /// Resources that the run is granted.
    pub resources: Resources,
    /// Command that the worker executes; opaque to owner and agent.
    pub command: Arc<str>,
    /// Declared run time; a hint, not enforced.
    pub run_time: Duration,
    /// Saved state to resume from.
    pub checkpoint: Option<Checkpoint>,
}

/// An order from the owner of a shard to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// What to do.
    pub kind: OrderKind,
}

/// Kinds of orders.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderKind {
    /// Accept the sender's epoch and report the shard's runs.
    Claim,
    /// Renew the leases of these runs.
    Renew {
        /// Evidence of ownership.
        proof: Proof,
        /// The runs.
        runs: Vec<RunId>,
    },
    /// Start a run.
    Start {
        /// Evidence of ownership.
        proof: Proof,
        /// The run to start.
        spec: RunSpec,
    },
    /// Stop a run, also one unknown to the agent, and report it as ended.
    Stop {
        /// The run.
        run: RunId,
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
    /// Forget an ended run, whose end the owner has journaled.
    Forget {
        /// The run.
        run: RunId,
        /// Hold time of the sender, after which no earlier start of the run is valid.
        hold: Duration,
    },
}

/// An agent's report to the owner of a shard: all runs of the shard on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The worker.
    pub agent: NodeName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// When the report was sent, on the agent's clock.
    pub sent_at: Time,
    /// The shard.
    pub shard: ShardId,
    /// Highest epoch that the agent has accepted for the shard.
    pub epoch: Epoch,
    /// Every run of the shard that the agent knows, ended ones included.
    pub runs: Vec<RunReport>,
}

/// One run in a [`Report`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: RunId,
    /// Its state.
    pub state: RunState,
}

/// State of a run as its agent knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunState {
    /// Sent to the worker, running there, or being stopped there.
    Live {
        /// Latest saved state.
        checkpoint: Option<Checkpoint>,
    },
    /// Ended before its work was done; the run number is not started again.
    Stopped {
        /// Latest saved state.
        checkpoint: Option<Checkpoint>,
    },
    /// Ended with its work done.
    Finished,
    /// Ended by a failure.
    Failed {
        /// Failure that the worker reported.
        reason: Arc<str>,
    },
    /// Refused by the agent; never started.
    Refused {
        /// Why, such as the resource that is short.
        reason: Arc<str>,
    },
}

impl RunState {
    /// Whether the run may still be executing.
    pub fn is_live(&self) -> bool {
        matches!(self, Self::Live { .. })
    }
}
