//! Messages between the owner of a shard and an agent.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::types::{Epoch, Incarnation, NodeName, Resources, RunId, ShardId, Time};

/// Number that the platform gave to a saved state of a task.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct Checkpoint(pub u64);

/// Evidence that the sender owned its shard not long ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proof {
    /// Life of the agent that the order is meant for.
    pub incarnation: Incarnation,
    /// When that agent sent the message that is being answered, on its own clock.
    pub sent_at: Time,
    /// Time since the owner asked the store for its last confirmation.
    pub confirmation_age: Duration,
    /// How long a run may outlive a confirmation.
    pub hold: Duration,
}

/// What to run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunSpec {
    /// The run.
    pub run: RunId,
    /// What it is granted.
    pub resources: Resources,
    /// What the worker runs, passed on unread.
    pub command: Arc<str>,
    /// Declared run time, a hint only.
    pub run_time: Duration,
    /// State to go on from.
    pub checkpoint: Option<Checkpoint>,
}

/// An order of the owner of a shard.
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
    /// Accept the epoch and report the shard's runs.
    Claim,
    /// Let these runs go on.
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
        /// What to run.
        spec: RunSpec,
    },
    /// Stop a run, known or not, and report it as ended.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Save the state of a run and let it go on.
    Save {
        /// The run.
        run: RunId,
    },
    /// Bound the processors of a run.
    Throttle {
        /// The run.
        run: RunId,
        /// Thousandths of its grant.
        cpu_share: u16,
    },
    /// Forget a run that has ended; its end is in the journal.
    Forget {
        /// The run.
        run: RunId,
        /// Hold time of the sender; no start of the run is valid any longer than this.
        hold: Duration,
    },
}

/// What an agent tells the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The worker.
    pub agent: NodeName,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// When this was sent, on the agent's clock.
    pub sent_at: Time,
    /// The shard.
    pub shard: ShardId,
    /// Highest epoch that the agent has seen for the shard.
    pub epoch: Epoch,
    /// Every run of the shard that the agent knows.
    pub runs: Vec<RunReport>,
}

/// What an agent knows of one run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: RunId,
    /// Its state.
    pub state: RunState,
}

/// State of a run at its agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunState {
    /// Handed to the worker, or running there, or being stopped there.
    Live {
        /// Latest saved state.
        checkpoint: Option<Checkpoint>,
    },
    /// Ended before its work was done; it will not run again under this number.
    Stopped {
        /// Latest saved state.
        checkpoint: Option<Checkpoint>,
    },
    /// Ended with its work done.
    Finished,
    /// Ended by a fault.
    Failed {
        /// What the worker reported.
        reason: Arc<str>,
    },
    /// Never started.
    Refused {
        /// Why, such as the missing resource.
        reason: Arc<str>,
    },
}

impl RunState {
    /// Whether the run may still be executing.
    pub fn is_live(&self) -> bool {
        matches!(self, Self::Live { .. })
    }
}
