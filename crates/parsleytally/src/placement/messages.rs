//! Inputs and outputs of placement.

use std::sync::Arc;
use std::time::Duration;

use crate::configs::QuotaConfig;
use crate::types::{NodeName, RackName, Resources, TaskKey, TeamName, ZoneName};

use super::UnplaceableReason;

/// A batch task or service replica that needs a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The task.
    pub task: TaskKey,
    /// Class of tasks that behave alike.
    pub class: Arc<str>,
    /// Resources to be granted.
    pub need: Resources,
    /// Expected run time, used only to order the queue; it may be wrong.
    pub run_time: Duration,
    /// Whether it is placed before tasks that are not urgent.
    pub urgent: bool,
    /// Group whose tasks are spread over availability zones, racks and workers.
    pub group: Option<Arc<str>>,
    /// Workers on which it failed; skipped while they are less than half of all workers.
    pub avoid: Vec<NodeName>,
}

/// Load of one service on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Class of services that behave alike.
    pub class: Arc<str>,
    /// Share of the endpoint's slots in use, 0 to 1.
    pub load: f64,
    /// Tail latency divided by its target; `None` without a fresh measurement.
    pub slowdown: Option<f64>,
}

/// State of a worker as its agent reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The worker.
    pub worker: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// Its capacity without the part of its services.
    pub total: Resources,
    /// Resources that its agent has granted to tasks.
    pub granted: Resources,
    /// Tasks whose grants `granted` includes.
    pub tasks: Vec<TaskKey>,
    /// Its services.
    pub services: Vec<ServiceLoad>,
    /// Whether it accepts starts.
    pub ready: bool,
}

/// An event that changes the known workers or the queue.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A worker reported.
    Report(Report),
    /// A worker was lost; its tasks' owner submits them again.
    WorkerLost(NodeName),
    /// A worker is quarantined or released from quarantine.
    Quarantine {
        /// The worker.
        worker: NodeName,
        /// Whether it gets no starts from now on.
        quarantined: bool,
    },
    /// A team's quota has changed.
    Quota {
        /// The team.
        team: TeamName,
        /// Its new quota.
        quota: QuotaConfig,
    },
    /// A task is to run, or a waiting one has changed and keeps its submission time.
    Submit(Request),
    /// A task runs already, as an agent reported to the new owner.
    Adopt {
        /// The task.
        request: Request,
        /// The worker on which it runs.
        worker: NodeName,
    },
    /// A task is no longer to run.
    Cancel(TaskKey),
    /// An agent has granted a start.
    Started(TaskKey),
    /// An agent has refused a start; another worker is tried in the same step.
    Refused {
        /// The task.
        task: TaskKey,
        /// The worker that refused.
        worker: NodeName,
        /// Free capacity that the agent reported, if it was too small for the task.
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
    /// Time has passed: waiting tasks are placed.
    Tick,
}

/// A placement decision.
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
    /// The task is larger than every known worker or its team's quota and has left the
    /// queue.
    Unplaceable {
        /// The task.
        task: TaskKey,
        /// Why it cannot run.
        reason: UnplaceableReason,
    },
}
