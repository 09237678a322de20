//! The border between the driver and a policy.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::estimates::Usage;
use parsleytally::placement::Report;
use parsleytally::reaction::{Sample, ThrottleLevel};
use parsleytally::types::{NodeName, Resources, TaskKey, Time};

/// A task as its team declared it.
#[derive(Debug, Clone)]
pub(crate) struct Declared {
    pub(crate) task: TaskKey,
    pub(crate) class: Arc<str>,
    pub(crate) need: Resources,
    pub(crate) time: Duration,
    pub(crate) urgent: bool,
}

/// A late measurement of a service.
#[derive(Debug, Clone)]
pub(crate) struct Measured {
    pub(crate) worker: NodeName,
    pub(crate) at: Time,
    pub(crate) service: Arc<str>,
    pub(crate) load: f64,
    pub(crate) strain: f64,
}

/// What a policy learns.
#[derive(Debug, Clone)]
pub(crate) enum News {
    /// A worker's agent reported.
    Report(Report),
    /// A worker has gone for certain.
    Gone(NodeName),
    /// A task arrived.
    Submit(Declared),
    /// A task already runs, as a policy that takes over is told.
    Adopt {
        declared: Declared,
        worker: NodeName,
        granted: Resources,
    },
    /// A task is no longer wanted.
    Cancel(TaskKey),
    /// A start was granted.
    Started(TaskKey),
    /// A grant was changed.
    Resized { task: TaskKey, need: Resources },
    /// A start was refused; `free` is what the agent has.
    Refused {
        task: TaskKey,
        worker: NodeName,
        free: Resources,
    },
    /// A run finished.
    Finished {
        task: TaskKey,
        worker: NodeName,
        usage: Usage,
    },
    /// A run failed and waits again.
    Failed { task: TaskKey, worker: NodeName },
    /// A run was stopped by its worker for lack of memory and waits again.
    Killed { task: TaskKey, usage: Usage },
    /// A run was taken out as asked, or lost with its worker, and waits again.
    Removed(TaskKey),
    /// A measurement arrived.
    Measured(Measured),
    /// What an agent sees now; its services carry the latest measurement.
    Seen { worker: NodeName, sample: Sample },
    /// Time to decide.
    Tick,
}

/// What a policy wants.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    Start {
        task: TaskKey,
        worker: NodeName,
        need: Resources,
    },
    Throttle {
        task: TaskKey,
        level: ThrottleLevel,
    },
    Resize {
        task: TaskKey,
        need: Resources,
    },
    TakeOut {
        task: TaskKey,
        checkpoint: bool,
    },
}

/// A policy under replay.
pub(crate) trait Policy {
    /// Takes news; actions are appended to `out`.
    fn step(&mut self, now: Time, news: News, out: &mut Vec<Action>);

    /// Learned effect of a pair, for the report.
    fn effect(&self, _service: &str, _task: &str) -> Option<f64> {
        None
    }
}
