//! Control of the worker that an agent runs on.
//!
//! [`WorkerControl`] is the border. The platform runs tasks under leases that end
//! on the machine's monotonic clock, and enforces them also while the agent is
//! paused or dead. [`WorkerControl::attach`] gives the worker to one life of its
//! agent; calls of earlier lives are refused from then on.

use parsleytally::leases::{Command, Event, WorkerRun};
use parsleytally::types::{Incarnation, Resources, RunId, Time};
use snafu::Snafu;

#[cfg(feature = "stand-in")]
mod stand_in;

#[cfg(feature = "stand-in")]
pub use stand_in::StandInWorker;

/// A call to the worker that failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// A later life of the agent has the worker.
    #[snafu(display("life {life} of the agent no longer has the worker"))]
    Superseded {
        /// The life that called.
        life: Incarnation,
    },
    /// The worker did not answer; the call may have taken effect.
    #[snafu(display("worker did not answer: {reason}"))]
    Silent {
        /// What the platform reported.
        reason: String,
    },
}

/// What a run used, measured some time ago.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunUsage {
    /// The run.
    pub run: RunId,
    /// When it was measured, on the machine's monotonic clock.
    pub measured: Time,
    /// What it used.
    pub used: Resources,
}

/// The platform's control of one worker.
///
/// Calls return at once; what they bring about is told by [`WorkerControl::poll`].
pub trait WorkerControl: Send + Sync {
    /// The machine's monotonic clock, the same for all lives of the agent.
    fn now(&self) -> Time;

    /// Gives the worker to `life` and lists every run on it.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::Superseded`] when a later life has the worker.
    fn attach(&self, life: Incarnation) -> Result<Vec<WorkerRun>, WorkerError>;

    /// Carries out `command` for `life`.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError`] when a later life has the worker, or when the
    /// worker did not answer.
    fn call(&self, life: Incarnation, command: Command) -> Result<(), WorkerError>;

    /// What has happened since the last poll of `life`.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError`] when a later life has the worker, or when the
    /// worker did not answer.
    fn poll(&self, life: Incarnation) -> Result<Vec<Event>, WorkerError>;

    /// What the runs used; late by the platform's lag.
    fn usage(&self) -> Vec<RunUsage>;
}

#[cfg(all(test, feature = "stand-in"))]
mod tests;
