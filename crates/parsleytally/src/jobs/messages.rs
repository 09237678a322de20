//! Messages between the scheduler, the agents and the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    ContentionRecord, EvacuatedZones, EvacuationEvent, Forecast, JobAccount, JobId, JobProgress,
    JobRecord, JobSpec, JobState, QueueName, QueueTable, TaskId, WaitEvidence, WorkerIncarnation,
    WorkerReport, WorkersDecision,
};
use crate::types::{NodeName, Resources, Revision, Time};

/// One run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunRef {
    /// The task.
    pub task: TaskId,
    /// Number of the run; it rises with each start of the task.
    pub run: u32,
}

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// It completed its work.
    Done,
    /// It failed, because of the task or the worker.
    Failed,
    /// It was ordered to stop.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// A run that has ended, as listed by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Sequence number, ascending within one incarnation of the worker.
    pub sequence: u64,
    /// The run.
    pub run: RunRef,
    /// Why it ended.
    pub reason: EndReason,
    /// Last checkpoint; empty without one.
    pub checkpoint: String,
}

/// Progress and measurement of a run, as listed by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The run.
    pub run: RunRef,
    /// Last checkpoint; empty without one.
    pub checkpoint: String,
    /// Share of its work that is done, in percent; 100 for a long-running task that is in
    /// service.
    pub percent: u32,
    /// Rough measurement over the last half second: tail latency in milliseconds for a
    /// service task, else CPU use in thousandths of a processor.
    pub measurement: u64,
}

/// Why a worker or an agent refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The worker lacks free capacity.
    Room,
    /// The worker has received a higher fencing token.
    Fenced,
    /// The worker already had a run of the task with this number or a higher one.
    Old,
    /// The order arrived after the end of its lease.
    Late,
    /// The worker's ticket for the step is missing or has expired.
    Ticket,
    /// The worker is unhealthy, draining, unresponsive or restarted, or its agent can't
    /// renew its lease.
    Unwell,
    /// The worker did not answer, and a later poll showed that the run can't start any more.
    Unanswered,
    /// The worker can't process the order, or it can't be encoded.
    Invalid,
    /// The owner had read the operators' requests to evacuate availability zones too long ago.
    OldRead,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Incarnation of the worker that the order is for.
    pub incarnation: WorkerIncarnation,
    /// The run.
    pub run: RunRef,
    /// Description of the task's work, opaque to the scheduler.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty without one.
    pub checkpoint: String,
    /// Target of its tail latency, in milliseconds; 0 is none.
    pub target_ms: u64,
    /// Whether it only uses processors that others leave idle.
    pub best_effort: bool,
    /// Capacity of the worker that the owner counted on.
    pub capacity: Resources,
    /// When the read of the operators' requests to evacuate availability zones was sent, on the
    /// owner's clock, in microseconds; none if evacuations are not enabled.
    pub zones_read: Option<u64>,
}

/// From what an agent or an owner concludes that the runs of a worker have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndEvidence {
    /// The worker listed its runs as a later incarnation.
    LaterIncarnation,
    /// The worker does not answer, and all its leases have expired.
    ExpiredLeases,
    /// The agent has told the owner.
    AgentMessage,
    /// The agent is not linked, and its hold time has passed.
    PassedHold,
}

/// A run that was on a worker when it crashed, or may have been.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The run.
    pub run: RunRef,
    /// How long it was seen on the worker, in milliseconds; none if its start was not answered.
    pub seen_ms: Option<u64>,
}

/// A crash of a worker: it started again without notice, and lost its runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// The incarnation that crashed.
    pub incarnation: WorkerIncarnation,
    /// Its runs.
    pub runs: Vec<CrashedRun>,
}

/// Who knows that a run was lost in a crash of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSource {
    /// The agent beside the worker, which had the run before the crash.
    Agent,
    /// The owner alone: the agent started anew, or was not linked.
    Owner,
}

/// How the last run of a task ended, as far as the owner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastEnd {
    /// The worker listed its end.
    Listed(EndReason),
    /// It did not start.
    Refused(RefusalReason),
    /// The worker does not have it any more.
    Missing,
    /// It was dropped with all runs of the worker.
    Dropped(EndEvidence),
    /// The worker crashed.
    Crashed,
}

/// A decision about runs that were lost in crashes of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashDecision {
    /// A run was lost.
    Lost {
        /// The worker's agent.
        node: NodeName,
        /// The incarnation that crashed.
        incarnation: WorkerIncarnation,
        /// The run.
        lost: CrashedRun,
        /// Whether it is one of the suspects.
        suspect: bool,
        /// Whether all suspects are of one job.
        sole: bool,
        /// Who knows.
        source: CrashSource,
    },
    /// The job of a task that crashes its workers has failed.
    GivenUp {
        /// The task.
        task: TaskId,
        /// Agents of the workers that crashed under it.
        workers: Vec<NodeName>,
    },
    /// A task starts again after a run that ended otherwise than by an end that the worker
    /// listed.
    StartedAgain {
        /// The new run.
        run: RunRef,
        /// The agent of its worker.
        node: NodeName,
        /// How the last run ended.
        last_end: LastEnd,
        /// Crashes of workers with runs of the task.
        crashes: usize,
        /// Whether it has its worker for itself at first.
        isolated: bool,
    },
}

/// What became of the runs on a worker whose agent has listed them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListingOutcome {
    /// Runs that the owner had placed there and that are still running.
    pub kept: usize,
    /// Runs that the owner had placed there and that the worker does not have.
    pub missing: usize,
    /// Runs of an earlier owner that were taken over.
    pub adopted: usize,
    /// Runs that no task needs, ordered to stop.
    pub stopped: usize,
}

/// An owner's message to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderMessage {
    /// First message on a link: the sender takes over as owner if its token is higher than
    /// the agent's.
    Begin {
        /// Fencing token of the owner's orders.
        fencing_token: u64,
    },
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop(RunRef),
    /// Properties of a run that the agent found on its worker.
    Describe {
        /// The run.
        run: RunRef,
        /// Target of its tail latency, in milliseconds; 0 is none.
        target_ms: u64,
        /// Whether it only uses processors that others leave idle.
        best_effort: bool,
    },
    /// Changes the CPU share of a run.
    Throttle {
        /// The run.
        run: RunRef,
        /// New CPU share, in percent.
        cpu_share: u32,
    },
    /// Acknowledges ended runs whose ends are saved in the store.
    AcknowledgeEnds {
        /// Incarnation of the worker that listed them.
        incarnation: WorkerIncarnation,
        /// Sequence number up to which all ended runs are acknowledged.
        sequence: u64,
    },
    /// Acknowledges a crash whose marks are saved in the store.
    AcknowledgeCrash {
        /// The incarnation that crashed.
        incarnation: WorkerIncarnation,
    },
    /// Answer to [`AgentMessage::Ping`].
    Pong {
        /// When the agent sent its ping, on the agent's clock, in microseconds.
        sent: u64,
        /// Time since the store last confirmed the owner, in microseconds.
        confirmation_age: u64,
        /// When the owner sent this, on the owner's clock, in microseconds.
        owner_clock: u64,
        /// Whether it keeps the runs alive of an agent whose listing the owner does not know.
        supports: bool,
    },
    /// The owner knows the runs of the worker: its answers keep them alive from now on.
    ListingKnown,
}

/// An agent's message to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Heartbeat, answered with [`OrderMessage::Pong`].
    Ping {
        /// When this was sent, on the agent's clock, in microseconds.
        sent: u64,
    },
    /// The worker's report of its own state.
    Report(WorkerReport),
    /// All runs of the worker, listed after it received this owner's fencing token.
    Listed {
        /// Incarnation of the worker.
        incarnation: WorkerIncarnation,
        /// Runs in progress.
        running: Vec<RunStatus>,
        /// Ended runs that are not acknowledged.
        ended: Vec<EndedRun>,
    },
    /// A run did not start and can't start later.
    Refused {
        /// The run.
        run: RunRef,
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// Runs have ended.
    Ended {
        /// Incarnation of the worker.
        incarnation: WorkerIncarnation,
        /// The ended runs.
        ended: Vec<EndedRun>,
    },
    /// A run is neither running nor listed as ended: the worker lost it or restarted.
    Missing(RunRef),
    /// Runs in progress with new measurements.
    Measurements(Vec<RunStatus>),
    /// The worker has stopped (true) or resumed (false) answering polls.
    Unresponsive(bool),
    /// Earlier runs of the worker have ended for certain: it does not answer and all its
    /// leases have expired, it shut down, or it restarted.
    LeasesExpired,
    /// Another owner has taken over the agent, with this higher fencing token.
    Superseded {
        /// The agent's fencing token.
        fencing_token: u64,
    },
    /// The worker shuts down and gets no more leases: its runs have ended for certain after
    /// this time, unless a later report shows that it accepts tasks again.
    LastLease {
        /// Time until the last lease has expired, in microseconds.
        expires_within: u64,
    },
    /// The worker crashed with these runs; repeated for each owner.
    Crashed(WorkerCrash),
    /// The worker has begun a run that this owner ordered.
    Started(RunRef),
    /// All runs that may be on the worker, may still start there or have ended without an
    /// acknowledgement, as known without asking the worker; sent at once to a new owner.
    MayRun(Vec<RunRef>),
}

/// Request of an entry to the owner of the jobs, or to any other entry where it says so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRequest {
    /// State of a job.
    State(JobId),
    /// Number of jobs of a queue that have not started.
    Pending(QueueName),
    /// Store this job on behalf of an entry that can't reach the store.
    Submit(JobId, JobSpec),
    /// Cancel this job on behalf of an entry that can't reach the store.
    Cancel(JobId),
    /// Read this job on behalf of an entry that can't reach the store.
    Read(JobId),
    /// The forecast of the open work, for the admission of new jobs.
    Forecast {
        /// Whether a submission to the entry had an unknown outcome in the last seconds.
        uncertain: bool,
    },
}

/// Result of [`JobRequest::Submit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The store has the job.
    Yes,
    /// The store does not have the job and will not receive it.
    No,
    /// The store may have the job.
    Unknown,
    /// The job was cancelled before the store had it, and will not be stored.
    Withdrawn,
}

/// Result of [`JobRequest::Cancel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// The store has the cancellation.
    Yes,
    /// The store has no such job.
    NoJob,
    /// The store does not have the cancellation and will not receive it.
    No,
    /// The store may have the cancellation.
    Unknown,
}

/// Result of [`JobRequest::Read`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredJob {
    /// The store has the job, in this state.
    State(JobState),
    /// The store has no such job.
    Absent,
    /// The store did not answer, or its record is invalid.
    Unknown,
}

/// Answer to a [`JobRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// State of a job; none if the owner has no such job.
    State(Option<JobState>),
    /// Number of jobs that have not started.
    Pending(u64),
    /// Result of a submission.
    Submitted(SubmitOutcome),
    /// The receiver of the request is not the owner.
    NotOwner,
    /// Result of a cancellation.
    Cancelled(CancelOutcome),
    /// Result of a read.
    Stored(StoredJob),
    /// The forecast of the open work.
    Forecast(Forecast),
}

/// Input of the scheduler.
#[derive(Debug, Clone)]
pub enum Input {
    /// The queue settings have changed.
    Queues(Arc<QueueTable>),
    /// A new or changed job in the store.
    Job {
        /// Id of the job.
        id: JobId,
        /// Record of the job.
        record: JobRecord,
        /// Revision of the store at which the job was accepted.
        accepted: Revision,
        /// Stored progress; none if nothing was saved yet.
        progress: Option<JobProgress>,
    },
    /// What the previous owner learned about the contention between images.
    Learned(ContentionRecord),
    /// An agent whose worker may still run tasks of the previous owner.
    Expected(NodeName),
    /// The link to an agent is open.
    Linked(NodeName),
    /// The link to an agent is lost.
    Unlinked(NodeName),
    /// A message of an agent.
    Agent(NodeName, AgentMessage),
    /// The store has saved a job's progress up to this version.
    Saved {
        /// The job.
        job: JobId,
        /// Version of the record.
        version: u64,
    },
    /// A read of the operators' requests to evacuate availability zones.
    Zones(EvacuatedZones),
    /// The store confirmed the ownership at this time.
    Confirmed(Time),
    /// Periodic timer.
    Tick,
}

/// Effect that the scheduler requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message to an agent.
    Order(NodeName, OrderMessage),
    /// Remove an agent from those that a successor has to wait for, until it registers its
    /// address again: it is not linked and all runs of its worker have ended for certain.
    Forget(NodeName),
    /// Close the link to an agent, which counts as lost, and open another.
    Relink(NodeName),
    /// The runs on a worker count as ended; only logged.
    RunsDropped {
        /// The worker's agent.
        node: NodeName,
        /// Number of runs.
        runs: usize,
        /// From what the owner concludes so.
        evidence: EndEvidence,
    },
    /// A run is preempted, and ordered to stop by a further output; only logged and counted.
    Preempted {
        /// The worker's agent.
        node: NodeName,
        /// The run.
        run: RunRef,
        /// Its queue.
        queue: QueueName,
        /// Queue whose task needs the room.
        by: QueueName,
        /// Share of its work that was done, in percent.
        percent: u32,
        /// Work that is lost, in processor milliseconds.
        lost_cpu_ms: u64,
    },
    /// An agent has listed the runs of its worker; only logged.
    Reconciled(NodeName, ListingOutcome),
    /// A decision about the evacuation of a zone; only logged and counted.
    Evacuation(EvacuationEvent),
    /// A decision about uneven workers; only logged.
    Workers(WorkersDecision),
    /// Why the tasks of a step wait; only logged and counted.
    Waiting(WaitEvidence),
    /// A job has ended, and what its time was lost to; only logged and counted.
    JobEnded(JobAccount),
    /// A decision about runs that were lost in crashes; only logged and counted.
    Crash(CrashDecision),
    /// Save in the store what was learned about the contention between images.
    SaveLearned(ContentionRecord),
    /// Save a job's progress in the store.
    Save {
        /// The job.
        job: JobId,
        /// Version of the record.
        version: u64,
        /// The record.
        progress: JobProgress,
    },
}
