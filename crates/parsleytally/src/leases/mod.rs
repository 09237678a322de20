//! Runs of batch tasks under leases: the agent's side and the owner's records.
//!
//! An owner of a shard sends [`Order`]s, an agent answers with [`Report`]s. Either
//! may be lost, doubled, late or out of order.
//!
//! Every order that lets a task run carries a [`Proof`]: the agent's own time, sent
//! back, and the age of the owner's last confirmation by the store. From both the
//! agent computes a deadline on its own clock, so time spent on the network only
//! shortens it. [`Agent`] accepts no order of a lower epoch than it has seen, starts
//! no run number twice, and stops a run at its deadline. The platform's lease on the
//! run ends at the same deadline, also if the agent is paused.
//!
//! [`TaskRecord`] is what the owner journals of a task. Its transitions compare the
//! run number, so that a resume and a completion happen once.

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
