//! In which order steps get room.

use super::durations::Durations;
use super::job::{Job, StepRef};

/// Multiple of the objective after which an ended job is worth nothing.
const LATE_FACTOR: u64 = 3;

/// What a step is sorted by; lower is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// 0 while the objective can be met, 1 while a late end still counts, 2 after that.
    chance: u8,
    priority: u32,
    goal_ms: u64,
}

/// How urgent a step of `job` is at `wall_ms`.
pub(super) fn urgency(job: &Job, step: StepRef, durations: &Durations, wall_ms: u64) -> Urgency {
    let expected = durations.of_round(job, step.round);
    let left_ms = chain_ms(job, &expected, Some(step.step));
    let chain = chain_ms(job, &expected, None);
    let allowed = job.policy.slack_ms + chain * job.policy.stretch_percent / 100;
    let due = job.due_ms(step.round);
    let goal = due + allowed;
    let end = wall_ms + left_ms;
    let lasts = job.spec.steps[step.step].long_running;
    let chance = if lasts || end <= goal {
        0
    } else if end <= due + LATE_FACTOR * allowed {
        1
    } else {
        2
    };
    Urgency {
        chance,
        priority: job.policy.priority,
        goal_ms: goal.saturating_sub(left_ms),
    }
}

/// Longest chain of work, in milliseconds: of the whole job, or from one step on.
fn chain_ms(job: &Job, expected: &[u64], from: Option<usize>) -> u64 {
    let mut ends: Vec<Option<u64>> = Vec::with_capacity(expected.len());
    for (number, (step, expected)) in job.spec.steps.iter().zip(expected).enumerate() {
        let before = step
            .after
            .iter()
            .filter_map(|after| ends[usize::from(*after)]);
        let begin = before.max();
        let counts = from.is_none_or(|from| from == number) || begin.is_some();
        ends.push(counts.then_some(begin.unwrap_or(0) + expected));
    }
    ends.into_iter().flatten().max().unwrap_or(0)
}
