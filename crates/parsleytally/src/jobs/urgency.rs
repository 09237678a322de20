//! Order in which ready steps are placed: by lateness, priority and latest start.
//!
//! Best-effort steps of queues that yield to others (priority above 0) may be ordered by the
//! remaining work of their jobs instead of the latest start. Under shortage the order by latest
//! start serves the jobs that are nearly late first, so that most jobs end late; with the least
//! work first, most jobs end on time, and the large ones that remain are late.

use super::StepSpec;
use super::durations::Durations;
use super::job::{Job, MILLI, StepRef};
use crate::configs::BestEffortOrder;

/// Multiple of the allowed time after which the result of a job has no value any more.
pub(super) const MAX_LATENESS_FACTOR: u64 = 3;

/// Sort key of a ready step; the lowest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// Class of lateness: 0 if the objective can still be met, 1 if the job will be late but
    /// its result has value, 2 if it has none.
    lateness: u8,
    /// Priority of the queue; 0 is the highest.
    priority: u32,
    /// Remaining work of the job in milliseconds of one processor; 0 for steps that are not
    /// ordered by it.
    remaining_work: u64,
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
pub(super) fn urgency(
    job: &Job,
    step: StepRef,
    durations: &Durations,
    order: BestEffortOrder,
    wall_ms: u64,
) -> Urgency {
    let expected = durations.expected_of_round_ms(job, step.round);
    let remaining_ms = critical_path_ms(job, &expected, Some(step.step));
    let allowed_ms = allowed_ms(job, &expected);
    let due_ms = job.due_ms(step.round);
    let deadline_ms = due_ms.saturating_add(allowed_ms);
    let end_ms = wall_ms.saturating_add(remaining_ms);
    let latest_end_ms = due_ms.saturating_add(allowed_ms.saturating_mul(MAX_LATENESS_FACTOR));
    let spec = &job.spec.steps[step.step];
    let lateness = if spec.long_running || end_ms <= deadline_ms {
        0
    } else if end_ms <= latest_end_ms {
        1
    } else {
        2
    };
    let by_work = order == BestEffortOrder::RemainingWork && yields(job, spec);
    Urgency {
        lateness,
        priority: job.policy.priority,
        remaining_work: if by_work {
            remaining_work(job, step.round, &expected)
        } else {
            0
        },
        latest_start_ms: deadline_ms.saturating_sub(remaining_ms),
    }
}

/// Time that the objective of a job allows, whose steps have these expected durations.
pub(super) fn allowed_ms(job: &Job, expected: &[u64]) -> u64 {
    let total_ms = critical_path_ms(job, expected, None);
    // Settings of operators have no limits, so the sums may exceed all times.
    let stretched_ms = total_ms.saturating_mul(job.policy.stretch_percent) / 100;
    job.policy.slack_ms.saturating_add(stretched_ms)
}

/// Whether the tasks of `step` only use what others leave idle, in a queue that yields to others.
fn yields(job: &Job, step: &StepSpec) -> bool {
    step.best_effort && job.policy.priority > 0
}

/// Work of the tasks of a round that are not done, in milliseconds of one processor.
fn remaining_work(job: &Job, round: usize, expected: &[u64]) -> u64 {
    let runs = &job.rounds[round].steps;
    let steps = job.spec.steps.iter().zip(runs).zip(expected);
    let work = steps.map(|((spec, run), expected_ms)| {
        let cores = spec.need.cpu.0 as f64 / MILLI;
        run.remaining as f64 * cores * *expected_ms as f64
    });
    work.sum::<f64>() as u64
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
