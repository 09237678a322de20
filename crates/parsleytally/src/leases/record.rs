//! State of a task in the journal of its shard's owner.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::Checkpoint;
use crate::types::{NodeName, RunNumber};

/// Phase of a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// No run exists; the next may be placed.
    Waiting,
    /// The current run is assigned to a worker, which has not reported it yet.
    Starting {
        /// The worker.
        agent: NodeName,
    },
    /// The worker has reported the current run.
    Running {
        /// The worker.
        agent: NodeName,
    },
    /// The current run is ordered to stop; the task resumes in a later run.
    Evicting {
        /// The worker.
        agent: NodeName,
    },
    /// The current run is ordered to stop; the task is cancelled.
    Cancelling {
        /// The worker.
        agent: NodeName,
    },
    /// The current run ended early; the next may be placed.
    Evicted,
    /// The work is done.
    Finished,
    /// Cancelled, and no run exists.
    Cancelled,
    /// Failed for good after too many failed runs.
    Failed,
}

/// A transition that does not apply to the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RecordError {
    /// The run number is not the current one.
    #[snafu(display("run {run} is not the current run {current}"))]
    StaleRun {
        /// Run number of the transition.
        run: RunNumber,
        /// Run number of the record.
        current: RunNumber,
    },
    /// The phase does not allow the transition.
    #[snafu(display("the task's phase does not allow this"))]
    WrongPhase,
}

/// Journaled state of one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the latest run; before the first, the base of [`TaskRecord::new`].
    pub run: RunNumber,
    /// Phase of the task.
    pub phase: Phase,
    /// Saved state to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Number of failed runs.
    pub failures: u16,
}

impl TaskRecord {
    /// Creates the record of a task that has not run; its runs are numbered after `base`.
    pub fn new(base: RunNumber) -> Self {
        Self {
            run: base,
            phase: Phase::Waiting,
            checkpoint: None,
            failures: 0,
        }
    }

    /// The worker that the current run is assigned to, if the run may still execute.
    pub fn assigned_agent(&self) -> Option<&NodeName> {
        match &self.phase {
            Phase::Starting { agent }
            | Phase::Running { agent }
            | Phase::Evicting { agent }
            | Phase::Cancelling { agent } => Some(agent),
            _ => None,
        }
    }

    /// Whether the task is finished, cancelled or failed for good.
    pub fn is_terminal(&self) -> bool {
        matches!(
            self.phase,
            Phase::Finished | Phase::Cancelled | Phase::Failed
        )
    }

    /// Whether the next run may be placed.
    pub fn is_ready(&self) -> bool {
        matches!(self.phase, Phase::Waiting | Phase::Evicted)
    }

    /// Assigns the next run to `agent` and returns its number, which is above both
    /// the current run's and `minimum`.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when `expected` is not the current run, since another
    /// was started meanwhile, or when no run may be placed.
    pub fn start(
        &mut self,
        expected: RunNumber,
        minimum: RunNumber,
        agent: &NodeName,
    ) -> Result<RunNumber, RecordError> {
        self.check_current(expected)?;
        ensure!(self.is_ready(), WrongPhaseSnafu);
        self.run = expected.max(minimum).next();
        self.phase = Phase::Starting {
            agent: agent.clone(),
        };
        Ok(self.run)
    }

    /// Records that the worker has reported `run` as live, with its latest saved state.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when `run` is not current or not assigned to a worker.
    pub fn mark_live(
        &mut self,
        run: RunNumber,
        checkpoint: Option<Checkpoint>,
    ) -> Result<(), RecordError> {
        self.check_assigned(run)?;
        self.checkpoint = checkpoint.or(self.checkpoint);
        if let Phase::Starting { agent } = &self.phase {
            self.phase = Phase::Running {
                agent: agent.clone(),
            };
        }
        Ok(())
    }

    /// Marks the current run to be stopped and resumed by a later run.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when `run` is not current, or neither starting nor running.
    pub fn evict(&mut self, run: RunNumber) -> Result<(), RecordError> {
        self.check_current(run)?;
        match &self.phase {
            Phase::Starting { agent } | Phase::Running { agent } => {
                self.phase = Phase::Evicting {
                    agent: agent.clone(),
                };
                Ok(())
            }
            _ => WrongPhaseSnafu.fail(),
        }
    }

    /// Cancels the task, at once if no run exists, else when the current run ends.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::WrongPhase`] when the task is in a terminal phase.
    pub fn cancel(&mut self) -> Result<(), RecordError> {
        ensure!(!self.is_terminal(), WrongPhaseSnafu);
        self.phase = match self.assigned_agent() {
            Some(agent) => Phase::Cancelling {
                agent: agent.clone(),
            },
            None => Phase::Cancelled,
        };
        Ok(())
    }

    /// Records that `run` ended early, or can certainly not execute any more.
    ///
    /// If `run` was recorded as ended before and the task has not been resumed since,
    /// a later `checkpoint` is still recorded.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when `run` is not current, or neither assigned nor evicted.
    pub fn mark_ended(
        &mut self,
        run: RunNumber,
        checkpoint: Option<Checkpoint>,
    ) -> Result<(), RecordError> {
        self.check_assigned_or_evicted(run)?;
        self.checkpoint = checkpoint.or(self.checkpoint);
        self.phase = match self.phase {
            Phase::Cancelling { .. } => Phase::Cancelled,
            _ => Phase::Evicted,
        };
        Ok(())
    }

    /// Records that the agent refused `run` before it started.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when `run` is not current, or neither assigned nor evicted.
    pub fn mark_refused(&mut self, run: RunNumber) -> Result<(), RecordError> {
        self.mark_ended(run, None)?;
        if self.phase == Phase::Evicted {
            self.phase = Phase::Waiting;
        }
        Ok(())
    }

    /// Records that `run` finished its work. A cancelled task stays cancelled.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when `run` is not current, or neither assigned nor evicted.
    pub fn mark_finished(&mut self, run: RunNumber) -> Result<(), RecordError> {
        self.check_assigned_or_evicted(run)?;
        self.phase = match self.phase {
            Phase::Cancelling { .. } => Phase::Cancelled,
            _ => Phase::Finished,
        };
        Ok(())
    }

    /// Records that `run` failed; the task fails for good at `limit` failed runs.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when `run` is not current or not assigned to a worker.
    pub fn mark_failed(&mut self, run: RunNumber, limit: u16) -> Result<(), RecordError> {
        self.check_assigned(run)?;
        self.failures = self.failures.saturating_add(1);
        self.phase = match self.phase {
            Phase::Cancelling { .. } => Phase::Cancelled,
            _ if self.failures >= limit => Phase::Failed,
            _ => Phase::Evicted,
        };
        Ok(())
    }

    /// Records `run`, which an earlier owner started on `agent` without journaling it.
    ///
    /// All runs before it have ended, since the earlier owner started `run` only then.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when `run` is not above the current run, or the phase is terminal.
    pub fn recover_run(&mut self, run: RunNumber, agent: &NodeName) -> Result<(), RecordError> {
        let current = self.run;
        ensure!(!self.is_terminal(), WrongPhaseSnafu);
        ensure!(run > current, StaleRunSnafu { run, current });
        self.run = run;
        let agent = agent.clone();
        self.phase = match self.phase {
            Phase::Cancelling { .. } => Phase::Cancelling { agent },
            _ => Phase::Running { agent },
        };
        Ok(())
    }

    fn check_current(&self, run: RunNumber) -> Result<(), RecordError> {
        let current = self.run;
        ensure!(run == current, StaleRunSnafu { run, current });
        Ok(())
    }

    fn check_assigned_or_evicted(&self, run: RunNumber) -> Result<(), RecordError> {
        self.check_current(run)?;
        let assigned_or_evicted = self.assigned_agent().is_some() || self.phase == Phase::Evicted;
        ensure!(assigned_or_evicted, WrongPhaseSnafu);
        Ok(())
    }

    fn check_assigned(&self, run: RunNumber) -> Result<(), RecordError> {
        self.check_current(run)?;
        ensure!(self.assigned_agent().is_some(), WrongPhaseSnafu);
        Ok(())
    }
}
