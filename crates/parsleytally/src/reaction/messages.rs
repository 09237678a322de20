//! Inputs and outputs of the reaction controller.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::types::{Bytes, Resources, TaskKey, Time};

/// Share of its grant that a run may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum ThrottleLevel {
    /// A quarter of the grant.
    #[display("quarter")]
    Quarter,
    /// Half of the grant.
    #[display("half")]
    Half,
    /// The whole grant.
    #[display("full")]
    Full,
}

impl ThrottleLevel {
    /// The share as a factor, 0 to 1.
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

/// Latest measurement of a service on the worker.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceView {
    /// Class of the service.
    pub class: Arc<str>,
    /// When the latency was measured.
    pub measured_at: Time,
    /// Tail latency divided by its target.
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
    /// Resources that the agent has granted.
    pub granted: Resources,
    /// Share of its grant that it may use now.
    pub level: ThrottleLevel,
    /// Whether the worker can checkpoint it.
    pub can_checkpoint: bool,
    /// Time since the start.
    pub age: Duration,
    /// Run time since the start or the last checkpoint, lost on an eviction.
    pub unsaved: Duration,
}

/// State of a worker as its agent measures it.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Capacity of the worker.
    pub total: Resources,
    /// Sum of all grants, services included.
    pub granted: Resources,
    /// Total memory in use, services included.
    pub memory: Bytes,
    /// Its services.
    pub services: Vec<ServiceView>,
    /// Its runs.
    pub runs: Vec<RunView>,
}

/// A change of one run.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Set the share of its grant that the run may use.
    Throttle {
        /// The task.
        task: TaskKey,
        /// The new share.
        level: ThrottleLevel,
    },
    /// Fit the grant to what the run uses; the worker has enough free capacity.
    Resize {
        /// The task.
        task: TaskKey,
        /// The new grant.
        need: Resources,
    },
    /// Checkpoint the run and resume it on another worker.
    Move(TaskKey),
    /// Stop the run without a checkpoint and start it again on another worker.
    Evict(TaskKey),
}
