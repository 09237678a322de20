//! Batch jobs: steps of tasks that are accepted, placed, run, repeated and ended.
//!
//! One [`Scheduler`] decides for the whole fleet. It is fed with stored jobs, with
//! what agents report of their workers and with confirmations of the store, and
//! answers with orders to agents and records to save. An end of a run is
//! acknowledged to its worker only after the store has it, so a successor that reads
//! the store and asks every agent knows all that has ended.
//!
//! A successor starts nothing of an older job while an agent of its predecessor has
//! neither reported nor run out of the time for which it could keep runs alive.

mod agent;
mod contention;
mod durations;
mod fleet;
mod job;
mod messages;
mod order;
mod place;
mod progress;
mod queues;
mod scheduler;
mod spec;

pub use agent::{
    AgentInput, AgentOutput, AgentTimes, CallError, JobAgent, Listing, OwnerLink, PollCall,
    StartCall, StopCall, ThrottleCall,
};
pub use fleet::{WorkerLife, WorkerReport, WorkerState};
pub use job::JobState;
pub use messages::{
    AgentMessage, EndReason, EndedRun, Input, JobReply, JobRequest, OrderMessage, Output,
    RefusalReason, RunRef, RunStatus, StartOrder, SubmitOutcome,
};
pub use progress::{JobProgress, StepProgress, TaskProgress};
pub use queues::{QueueName, QueuePolicy, QueueTable};
pub use scheduler::{Scheduler, SchedulerStart};
pub use spec::{InvalidJobId, JobId, JobRecord, JobSpec, RecordError, Repeat, StepSpec, TaskId};

#[cfg(test)]
mod tests;
