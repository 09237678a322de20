//! Admission control: a forecast of when a new best-effort job would be placed, and the
//! decision of an entry to refuse a job that would end too late to have any value.
//!
//! The owner's scheduler computes the [`Forecast`]; each entry decides by its copy. All
//! bounds are optimistic: no later job is expected, and a job is refused only if it would
//! end too late even with a faster fleet, a shorter run time and a longer objective.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::urgency::MAX_LATENESS_FACTOR;
use super::{QueuePolicy, StepSpec};

mod completed;
mod decide;
mod forecast;
mod sizes;

pub use completed::QueueEstimate;
pub use decide::{AdmissionControl, Decision, Refusal};
pub use forecast::{BacklogGroup, Forecast, PoolForecast};
pub(super) use forecast::{ForecastState, OpenJob, PoolSample};

/// Time for which nothing is refused after a submission whose outcome is unknown: its record
/// may reach the store after a check for the same id has found nothing.
pub const UNCERTAIN_TIME: Duration = Duration::from_secs(5);
/// Percentage by which the fleet may complete work faster than it did.
const RATE_MARGIN: u64 = 25;
/// Percentage by which the expected run time of a job may be wrong. Estimates of single jobs
/// are off by up to 50%; the mean of a job's tasks is off by less.
const RUN_TIME_MARGIN: u64 = 25;

/// Work, in thousandths of a processor times milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Work(pub u64);

impl Work {
    /// Work of `count` tasks of `step`, each of which takes `run_ms`.
    pub(super) fn of_tasks(step: &StepSpec, count: u64, run_ms: u64) -> Self {
        Self(step.need.cpu.0.saturating_mul(run_ms).saturating_mul(count))
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Milliseconds in which a fleet completes the work that uses `rate` thousandths of a
    /// processor, or somewhat more.
    fn shortest_ms(self, rate: u64) -> u64 {
        let fastest = rate.saturating_mul(100 + RATE_MARGIN) / 100;
        self.0 / fastest.max(1)
    }
}

/// Objective of a job in milliseconds, from its submission.
pub(super) fn objective_ms(policy: &QueuePolicy, path_ms: u64) -> u64 {
    policy.slack_ms + path_ms.saturating_mul(policy.stretch_percent) / 100
}

/// Latest time in milliseconds from a job's submission at which a job with a critical path of
/// `path_ms` can start and have any value, by optimistic bounds.
pub(super) fn latest_start_ms(policy: &QueuePolicy, path_ms: u64) -> u64 {
    let longest = path_ms.saturating_mul(100 + RUN_TIME_MARGIN) / 100;
    let shortest = path_ms.saturating_mul(100 - RUN_TIME_MARGIN) / 100;
    let limit = MAX_LATENESS_FACTOR.saturating_mul(objective_ms(policy, longest));
    limit.saturating_sub(shortest)
}

/// Duration of the critical path of `steps`, of which each takes its `run_ms`.
pub(super) fn critical_path_ms(steps: &[StepSpec], run_ms: &[u64]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (step, run_ms) in steps.iter().zip(run_ms) {
        let dependencies = step.after.iter().map(|after| ends[usize::from(*after)]);
        ends.push(dependencies.max().unwrap_or(0).saturating_add(*run_ms));
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Whether the forecast covers the step: best-effort tasks that may run on any worker.
pub(super) fn is_covered(step: &StepSpec) -> bool {
    step.best_effort
        && !step.long_running
        && !step.gang
        && step.target_ms == 0
        && step.required_label.is_none()
        && step.max_per_worker == 0
}
