//! Inputs and outputs of placement.

use std::sync::Arc;
use std::time::Duration;

use crate::configs::QuotaConfig;
use crate::types::{NodeName, RackName, Resources, TaskKey, TeamName, ZoneName};

use super::UnplaceableReason;

/// A batch task or service replica that wants a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The task.
    pub task: TaskKey,
    /// Class that tasks of the same behaviour share.
    pub class: Arc<str>,
    /// Resources to be granted.
    pub need: Resources,
    /// Expected run time; orders the queue and is not relied on.
    pub run_time: Duration,
    /// Whether it goes before work that is not urgent.
    pub urgent: bool,
    /// Tasks of one group are spread over zones, racks and workers.
    pub group: Option<Arc<str>>,
    /// Workers on which it failed; others are taken as long as most are left.
    pub avoid: Vec<NodeName>,
}

/// Load of one service on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Class that services of the same behaviour share.
    pub class: Arc<str>,
    /// Share of the endpoint's slots in use, 0 to 1.
    pub load: f64,
    /// Tail latency over target; `None` without a fresh measurement.
    pub slowdown: Option<f64>,
}

/// What a worker's agent last said about it.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The worker.
    pub worker: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// What it has beside its services.
    pub total: Resources,
    /// What its agent has granted to tasks.
    pub granted: Resources,
    /// Tasks that the granted amount covers.
    pub tasks: Vec<TaskKey>,
    /// Its services.
    pub services: Vec<ServiceLoad>,
    /// Whether it accepts starts.
    pub ready: bool,
}

/// An event that changes the picture or the queue.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A worker reported.
    Report(Report),
    /// A worker has gone; its tasks are submitted again by their owner.
    WorkerLost(NodeName),
    /// A worker is set aside, or taken back.
    Quarantine {
        /// The worker.
        worker: NodeName,
        /// Whether it is set aside from now on.
        quarantined: bool,
    },
    /// A team's quota has changed.
    Quota {
        /// The team.
        team: TeamName,
        /// Its new quota.
        quota: QuotaConfig,
    },
    /// A task wants to run, or a waiting one has changed and keeps its age.
    Submit(Request),
    /// A task runs already, as an agent reported to a new owner.
    Adopt {
        /// The task.
        request: Request,
        /// The worker that holds it.
        worker: NodeName,
    },
    /// A task no longer wants to run.
    Cancel(TaskKey),
    /// An agent has granted a start.
    Started(TaskKey),
    /// An agent has refused a start; the task goes elsewhere at once.
    Refused {
        /// The task.
        task: TaskKey,
        /// The worker that refused.
        worker: NodeName,
        /// What the agent says is free, if the refusal was for lack of room.
        free: Option<Resources>,
    },
    /// An agent has changed the grant of a running task.
    Resized {
        /// The task.
        task: TaskKey,
        /// Its new grant.
        need: Resources,
    },
    /// A run has ended, for whatever reason.
    Ended(TaskKey),
    /// Time has passed: places what waits.
    Tick,
}

/// A decision.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// The task is to be started on the worker.
    Start {
        /// The task.
        task: TaskKey,
        /// The chosen worker.
        worker: NodeName,
        /// Resources to be granted.
        need: Resources,
    },
    /// No known worker could ever hold the task; it blocks nothing meanwhile.
    Unplaceable {
        /// The task.
        task: TaskKey,
        /// Why.
        reason: UnplaceableReason,
    },
}
