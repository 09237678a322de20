//! Batch jobs: each consists of steps of tasks and may repeat in rounds.
//!
//! One [`Scheduler`], that of the current owner, places the tasks of the whole fleet. Its
//! inputs are stored jobs, the agents' reports on their workers and the store's
//! confirmations of the ownership; its outputs are orders for agents and records to save.
//! The end of a run is acknowledged to its worker only after the store has saved it, so a
//! successor that reads the store and receives the reports of all agents misses no ended
//! run.
//!
//! A successor starts no task of an older job until every agent of its predecessor has
//! listed its runs, has told at once that it may not run the task, or its hold time, for which it
//! may keep runs alive, has passed.
//!
//! Each agent runs a [`JobAgent`], which carries out the orders on its worker.

mod admission;
mod agent;
mod call_plan;
mod contention;
mod crashes;
mod decisions;
mod durations;
mod evacuation;
mod failures;
pub mod fencing;
mod fleet;
mod isolation;
mod job;
mod locality;
mod losses;
mod measured;
mod messages;
mod place;
mod preempt;
mod progress;
mod queues;
mod scheduler;
mod sent_jobs;
mod shares;
mod spec;
mod speculation;
mod stalls;
mod standing;
mod unreported;
mod urgency;
mod waiting;
mod worker_health;

pub use admission::{
    AdmissionControl, BacklogGroup, Decision, Forecast, PoolForecast, QueueEstimate, Refusal,
    UNCERTAIN_TIME, Work,
};
pub use agent::{
    AgentInput, AgentOutput, AgentTimes, CallError, JobAgent, Listing, ListingEvidence, OwnerLink,
    PollCall, RunConclusion, RunEvidence, RunVerdict, StartCall, StartEvidence, StopCall,
    ThrottleCall,
};
pub use call_plan::{CallContext, CallFailure, CallPlan, NextCall};
pub use contention::ContentionRecord;
pub use crashes::CrashMark;
pub use decisions::{
    CopyEvidence, HealthEvidence, RackEvidence, StallEvidence, WorkerStanding, WorkersDecision,
};
pub use evacuation::{EvacuatedZones, EvacuationEvent};
pub use fleet::{WorkerIncarnation, WorkerReport, WorkerState};
pub use job::JobState;
pub use losses::{JobAccount, JobOutcome, TaskTimes};
pub use messages::{
    AgentMessage, CancelOutcome, CrashDecision, CrashSource, CrashedRun, EndEvidence, EndReason,
    EndedRun, Input, JobReply, JobRequest, LastEnd, ListingOutcome, OrderMessage, Output,
    RefusalReason, RunRef, RunStatus, StartOrder, StoredJob, SubmitOutcome, WorkerCrash,
};
pub use progress::{JobProgress, StepProgress, TaskProgress};
pub use queues::{QueueName, QueuePolicy, QueueTable};
pub use scheduler::{PoolUse, Scheduler, SchedulerOptions, StandingCounts};
pub use sent_jobs::{EarlierCopy, SentJobs, SentOutcome};
pub use shares::QueueUsage;
pub use spec::{InvalidJobId, JobId, JobRecord, JobSpec, RecordError, Repeat, StepSpec, TaskId};
pub use unreported::UnreportedWaits;
pub use waiting::{MissingStep, WaitCounts, WaitEvidence, WaitHolder, WaitReason};

#[cfg(test)]
mod tests;
