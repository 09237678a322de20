//! Messages between the scheduler, the agents and the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    JobId, JobProgress, JobRecord, JobSpec, JobState, QueueName, QueueTable, TaskId, WorkerLife,
    WorkerReport,
};
use crate::types::{NodeName, Revision, Time};

/// One run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunRef {
    /// The task.
    pub task: TaskId,
    /// Number of the run; it rises with each start of the task.
    pub run: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that has ended, as its worker lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number of the end in this life of the worker.
    pub sequence: u64,
    /// The run.
    pub run: RunRef,
    /// How it ended.
    pub reason: EndReason,
    /// Its last checkpoint; empty without one.
    pub checkpoint: String,
}

/// A run that goes on, as its worker lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The run.
    pub run: RunRef,
    /// Its last checkpoint; empty without one.
    pub checkpoint: String,
    /// Share of its work that is done, in percent; 100 for a task that lasts and is at
    /// work.
    pub percent: u32,
    /// Rough figure of the last half second: tail latency in milliseconds for a task
    /// that serves, thousandths of processors in use otherwise.
    pub measurement: u64,
}

/// Why a run did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The worker has no room for it.
    Room,
    /// The worker holds that a later order has been given.
    Fenced,
    /// A run with this number or a higher one has been there.
    Old,
    /// The order came after its time.
    Late,
    /// The worker's ticket for the step is missing or has run out.
    Ticket,
    /// The worker is not well or leaves.
    Unwell,
    /// The worker did not answer, and by now it is certain that it will not start.
    Unanswered,
    /// The order makes no sense to the worker.
    Invalid,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Life of the worker that it is meant for.
    pub incarnation: WorkerLife,
    /// The run.
    pub run: RunRef,
    /// What the task is told to do.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty without one.
    pub checkpoint: String,
    /// Bound of its tail latency, in milliseconds; 0 is none.
    pub target_ms: u64,
    /// Whether it only uses processors that others leave idle.
    pub best_effort: bool,
}

/// An owner's message to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderMessage {
    /// First message of an owner; `fencing_token` is higher than that of each message before.
    Begin {
        /// Number that fences all orders of lower ones.
        fencing_token: u64,
    },
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop(RunRef),
    /// What matters of a run that the agent found on its worker.
    Describe {
        /// The run.
        run: RunRef,
        /// Bound of its tail latency, in milliseconds; 0 is none.
        target_ms: u64,
        /// Whether it only uses processors that others leave idle.
        best_effort: bool,
    },
    /// Changes the pace of a run.
    Throttle {
        /// The run.
        run: RunRef,
        /// Share of its speed, in percent.
        cpu_share: u32,
    },
    /// Ends up to this number are stored.
    AcknowledgeEnds {
        /// Life of the worker that listed them.
        incarnation: WorkerLife,
        /// The number.
        sequence: u64,
    },
    /// Answer to [`AgentMessage::Ping`].
    Pong {
        /// When the agent sent its ping, on the agent's clock, in microseconds.
        sent: u64,
        /// Time since the store last confirmed the owner, in microseconds.
        confirmation_age: u64,
    },
}

/// An agent's message to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Asks for a sign of life of the owner.
    Ping {
        /// When this was sent, on the agent's clock, in microseconds.
        sent: u64,
    },
    /// What the worker says of itself.
    Report(WorkerReport),
    /// All that runs and has ended on the worker, after it was fenced.
    Listed {
        /// Life of the worker.
        incarnation: WorkerLife,
        /// What runs.
        running: Vec<RunStatus>,
        /// What has ended and was not acknowledged.
        ended: Vec<EndedRun>,
    },
    /// A run did not start, and will not.
    Refused {
        /// The run.
        run: RunRef,
        /// Why.
        reason: RefusalReason,
    },
    /// Runs have ended.
    Ended {
        /// Life of the worker.
        incarnation: WorkerLife,
        /// The ends.
        ended: Vec<EndedRun>,
    },
    /// A run is gone without an end.
    Missing(RunRef),
    /// What runs, with new measurements.
    Measurements(Vec<RunStatus>),
    /// Whether the worker has ceased to answer.
    Unresponsive(bool),
    /// The worker does not answer, and all leases on it have run out.
    LeasesExpired,
}

/// A question of an entry to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRequest {
    /// State of a job.
    State(JobId),
    /// Number of jobs of a queue that have not begun.
    Pending(QueueName),
    /// Store this job for an entry that the store does not answer.
    Submit(JobId, JobSpec),
}

/// What became of a job that was to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The store has it.
    Yes,
    /// The store does not have it and will not.
    No,
    /// The store may have it.
    Unknown,
}

/// Answer to a [`Question`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// State of a job; none when the owner does not know it.
    State(Option<JobState>),
    /// Number of jobs that have not begun.
    Pending(u64),
    /// What became of a job that was to be stored.
    Submitted(SubmitOutcome),
    /// The asked one is not the owner.
    NotOwner,
}

/// What the scheduler is told.
#[derive(Debug, Clone)]
pub enum Input {
    /// The queues in force have changed.
    Queues(Arc<QueueTable>),
    /// A job in the store, new or changed.
    Job {
        /// Its number.
        id: JobId,
        /// Its record.
        record: JobRecord,
        /// Revision at which it was accepted.
        accepted: Revision,
        /// What has become of it, where the store says so.
        progress: Option<JobProgress>,
    },
    /// An agent that may run tasks of a predecessor.
    Expected(NodeName),
    /// An agent is linked.
    Linked(NodeName),
    /// The link of an agent is lost.
    Unlinked(NodeName),
    /// A message of an agent.
    Agent(NodeName, AgentMessage),
    /// The store has the record of a job up to this version.
    Saved {
        /// The job.
        job: JobId,
        /// Version of the record.
        version: u64,
    },
    /// The store confirmed the ownership at this time.
    Confirmed(Time),
    /// Time has passed.
    Tick,
}

/// What the scheduler wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// A message for an agent.
    Order(NodeName, OrderMessage),
    /// Nothing runs on this agent's worker for certain, and it is not linked: a successor
    /// need not wait for it until it tells its address again.
    Forget(NodeName),
    /// A record for the store.
    Save {
        /// The job.
        job: JobId,
        /// Version of the record.
        version: u64,
        /// The record.
        progress: JobProgress,
    },
}
