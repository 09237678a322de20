//! In which order steps get room.

use super::job::{Job, ReadyStep};

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

/// How urgent `job` is at `wall_ms`.
pub(super) fn urgency(job: &Job, step: ReadyStep, wall_ms: u64) -> Urgency {
    let left_ms = left_ms(job, step);
    let allowed = job.goal_ms - job.spec.submitted_ms;
    let last = job.spec.submitted_ms + LATE_FACTOR * allowed;
    let end = wall_ms + left_ms;
    let lasts = job.spec.steps[step.step].lasts;
    let chance = if lasts || end <= job.goal_ms {
        0
    } else if end <= last {
        1
    } else {
        2
    };
    Urgency {
        chance,
        priority: job.policy.priority,
        goal_ms: job.goal_ms.saturating_sub(left_ms),
    }
}

/// Longest chain of work from `step` on, in milliseconds.
fn left_ms(job: &Job, step: ReadyStep) -> u64 {
    let steps = &job.spec.steps;
    let mut chains = vec![0_u64; steps.len()];
    chains[step.step] = steps[step.step].estimate_ms;
    for (number, spec) in steps.iter().enumerate().skip(step.step + 1) {
        let before = spec.after.iter().map(|after| chains[usize::from(*after)]);
        let before = before.max().unwrap_or(0);
        if before > 0 {
            chains[number] = before + spec.estimate_ms;
        }
    }
    chains.into_iter().max().unwrap_or(0)
}
