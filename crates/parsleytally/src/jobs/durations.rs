//! How long tasks take, learned from those that are done.
//!
//! What clients estimate is off by factors. The tasks of one step take about the same
//! time, so the first that are done tell of the others; before that, the earlier runs of
//! the queue tell whether its estimates are worth more than its usual time.

use std::time::Duration;

use super::job::{Job, StepRun};
use super::{QueueName, StepSpec};
use crate::configs::EstimatesConfig;
use crate::estimates::{Estimates, Usage};
use crate::types::{Resources, Time};

/// What is learned of the queues.
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
    /// Takes the time that a task of `step` worked until it was done.
    pub(super) fn done(&mut self, now: Time, queue: &QueueName, step: &StepSpec, taken: Duration) {
        let usage = Usage {
            class: queue.0.clone(),
            declared: Resources::NONE,
            peak: Resources::NONE,
            killed: false,
            planned: Duration::from_millis(step.estimate_ms),
            taken: Some(taken),
        };
        self.estimates.step(now, usage);
    }

    /// Time that a task of `step` is expected to work, in milliseconds; `run` tells of
    /// the tasks of the step that are done.
    pub(super) fn expected_ms(&self, queue: &QueueName, step: &StepSpec, run: &StepRun) -> u64 {
        if let Some(mean) = run.run_times.mean_ms() {
            return mean;
        }
        let declared = Duration::from_millis(step.estimate_ms);
        let expected = self.estimates.run_time(&queue.0, declared);
        u64::try_from(expected.as_millis()).unwrap_or(u64::MAX)
    }

    /// Expected times of all steps of a round, in milliseconds.
    pub(super) fn of_round(&self, job: &Job, round: usize) -> Vec<u64> {
        let steps = job.spec.steps.iter().zip(&job.rounds[round].steps);
        steps
            .map(|(step, run)| self.expected_ms(&job.policy.name, step, run))
            .collect()
    }
}
