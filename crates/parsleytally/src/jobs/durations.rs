//! Expected durations of tasks, learned from finished ones.
//!
//! Estimates of clients can be wrong by large factors. Tasks of one step take about the
//! same time, so the mean of the finished ones predicts the others. Before the first has
//! finished, the earlier tasks of the queue decide whether the client's estimate or the
//! usual duration in the queue is the better prediction.

use std::time::Duration;

use super::job::{Job, StepRun};
use super::{QueueName, StepSpec};
use crate::configs::EstimatesConfig;
use crate::estimates::{Estimates, Usage};
use crate::types::{Resources, Time};

/// Learned durations of the tasks of each queue.
#[derive(Debug)]
pub(super) struct Durations {
    estimates: Estimates,
}

impl Default for Durations {
    fn default() -> Self {
        Self {
            estimates: Estimates::new(EstimatesConfig::default()),
        }
    }
}

impl Durations {
    /// Records the work time of a finished task of `step`.
    pub(super) fn record(
        &mut self,
        now: Time,
        queue: &QueueName,
        step: &StepSpec,
        work_time: Duration,
    ) {
        let usage = Usage {
            class: queue.0.clone(),
            declared: Resources::NONE,
            peak: Resources::NONE,
            oom_killed: false,
            declared_run_time: Duration::from_millis(step.estimate_ms),
            run_time: Some(work_time),
        };
        self.estimates.step(now, usage);
    }

    /// Expected work time of a task of `step`, in milliseconds; `run` holds the work times of
    /// its finished tasks.
    pub(super) fn expected_ms(&self, queue: &QueueName, step: &StepSpec, run: &StepRun) -> u64 {
        if let Some(mean) = run.run_times.mean_ms() {
            return mean;
        }
        let declared = Duration::from_millis(step.estimate_ms);
        let expected = self.estimates.run_time(&queue.0, declared);
        u64::try_from(expected.as_millis()).unwrap_or(u64::MAX)
    }

    /// Expected work time of a task of each step in a round, in milliseconds.
    pub(super) fn expected_of_round_ms(&self, job: &Job, round: usize) -> Vec<u64> {
        let steps = job.spec.steps.iter().zip(&job.rounds[round].steps);
        steps
            .map(|(step, run)| self.expected_ms(&job.policy.name, step, run))
            .collect()
    }
}
