//! Order in which ready steps are placed: by lateness, priority and latest start.

use super::durations::Durations;
use super::job::{Job, StepRef};

/// Multiple of the allowed time after which the result of a job has no value any more.
const MAX_LATENESS_FACTOR: u64 = 3;

/// Sort key of a ready step; the lowest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// Class of lateness: 0 if the objective can still be met, 1 if the job will be late but
    /// its result has value, 2 if it has none.
    lateness: u8,
    /// Priority of the queue; 0 is the highest.
    priority: u32,
    /// Unix time by which the step has to start to meet the objective, in milliseconds.
    latest_start_ms: u64,
}

impl Urgency {
    /// Whether the result of the job still has value when it ends as expected.
    pub(super) fn has_value(&self) -> bool {
        self.lateness < 2
    }
}

/// Urgency of a step of `job` at the Unix time `wall_ms`.
pub(super) fn urgency(job: &Job, step: StepRef, durations: &Durations, wall_ms: u64) -> Urgency {
    let expected = durations.expected_of_round_ms(job, step.round);
    let remaining_ms = critical_path_ms(job, &expected, Some(step.step));
    let total_ms = critical_path_ms(job, &expected, None);
    let allowed_ms = job.policy.slack_ms + total_ms * job.policy.stretch_percent / 100;
    let due_ms = job.due_ms(step.round);
    let deadline_ms = due_ms + allowed_ms;
    let end_ms = wall_ms + remaining_ms;
    let long_running = job.spec.steps[step.step].long_running;
    let lateness = if long_running || end_ms <= deadline_ms {
        0
    } else if end_ms <= due_ms + MAX_LATENESS_FACTOR * allowed_ms {
        1
    } else {
        2
    };
    Urgency {
        lateness,
        priority: job.policy.priority,
        latest_start_ms: deadline_ms.saturating_sub(remaining_ms),
    }
}

/// Expected duration of the critical path in milliseconds: of the whole job, or from the
/// step `from` on.
fn critical_path_ms(job: &Job, expected: &[u64], from: Option<usize>) -> u64 {
    let mut ends: Vec<Option<u64>> = Vec::with_capacity(expected.len());
    for (index, (step, expected)) in job.spec.steps.iter().zip(expected).enumerate() {
        let dependencies = step
            .after
            .iter()
            .filter_map(|after| ends[usize::from(*after)]);
        let start = dependencies.max();
        let included = from.is_none_or(|from| from == index) || start.is_some();
        ends.push(included.then_some(start.unwrap_or(0) + expected));
    }
    ends.into_iter().flatten().max().unwrap_or(0)
}
