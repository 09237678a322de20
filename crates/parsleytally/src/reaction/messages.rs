//! Inputs and outputs of the reaction controller.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::types::{Bytes, Resources, TaskKey, Time};

/// How much of its grant a run may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum ThrottleLevel {
    /// A quarter.
    #[display("quarter")]
    Quarter,
    /// Half.
    #[display("half")]
    Half,
    /// All.
    #[display("full")]
    Full,
}

impl ThrottleLevel {
    /// Share of the grant.
    pub fn share(self) -> f64 {
        match self {
            Self::Quarter => 0.25,
            Self::Half => 0.5,
            Self::Full => 1.0,
        }
    }

    pub(super) fn lower(self) -> Option<Self> {
        match self {
            Self::Full => Some(Self::Half),
            Self::Half => Some(Self::Quarter),
            Self::Quarter => None,
        }
    }

    pub(super) fn higher(self) -> Option<Self> {
        match self {
            Self::Quarter => Some(Self::Half),
            Self::Half => Some(Self::Full),
            Self::Full => None,
        }
    }
}

/// A service of the worker, as measured.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceView {
    /// Class of the service.
    pub class: Arc<str>,
    /// When the latency was measured.
    pub measured_at: Time,
    /// Tail latency over target.
    pub slowdown: f64,
    /// Share of the endpoint's slots in use now, 0 to 1.
    pub load: f64,
}

/// A run on the worker.
#[derive(Debug, Clone, PartialEq)]
pub struct RunView {
    /// The task.
    pub task: TaskKey,
    /// Class of the task.
    pub class: Arc<str>,
    /// Processors in use.
    pub cores: f64,
    /// Memory in use.
    pub memory: Bytes,
    /// What the agent has granted.
    pub granted: Resources,
    /// How much of its grant it may use now.
    pub level: ThrottleLevel,
    /// Whether the worker can checkpoint it.
    pub can_checkpoint: bool,
    /// Time since the start.
    pub age: Duration,
    /// Work since the start or the last checkpoint.
    pub unsaved: Duration,
}

/// What the agent sees on its worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// What the worker has.
    pub total: Resources,
    /// What is granted in all, services included.
    pub granted: Resources,
    /// Memory in use in all, services included.
    pub memory: Bytes,
    /// Its services.
    pub services: Vec<ServiceView>,
    /// Its runs.
    pub runs: Vec<RunView>,
}

/// A change of one run.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Let the run use this much of its grant from now on.
    Throttle {
        /// The task.
        task: TaskKey,
        /// How much.
        level: ThrottleLevel,
    },
    /// Change the grant to what the run uses; the worker has the room.
    Resize {
        /// The task.
        task: TaskKey,
        /// The new grant.
        need: Resources,
    },
    /// Checkpoint the run and let it resume elsewhere.
    Move(TaskKey),
    /// Stop the run without a checkpoint and start it elsewhere.
    Evict(TaskKey),
}
