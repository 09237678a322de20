//! Runs of batch tasks under leases: the agent's side and the owner's records.
//!
//! An owner of a shard sends [`Order`]s, an agent answers with [`Report`]s. Both may
//! be lost, duplicated, delayed or reordered.
//!
//! Every order that starts a run or renews its lease carries a [`Proof`]: the send
//! time of the agent's report or heartbeat, echoed by the owner, and the age of the
//! owner's last confirmation by the store. From both the agent computes a deadline on
//! its own clock, so network delay only shortens it. [`Agent`] ignores orders of a
//! lower epoch than the highest it has accepted, starts no run number twice, and stops
//! a run at its deadline. The platform's lease on the run expires at the same deadline,
//! also while the agent is paused.
//!
//! [`TaskRecord`] is the owner's journaled state of a task. Its transitions compare
//! the run number, so a run is resumed or completed only once.

mod agent;
mod clock;
mod messages;
mod record;

pub use agent::{
    Agent, AgentConfig, Command, Event, IgnoreReason, Input, Output, WorkerRun, WorkerRunState,
};
pub use clock::with_drift_margin;
pub use messages::{Checkpoint, Order, OrderKind, Proof, Report, RunReport, RunSpec, RunState};
pub use record::{Phase, RecordError, TaskRecord};

#[cfg(test)]
mod tests;
