//! Work that the fleet has completed in the last seconds.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Work;
use crate::jobs::{QueueName, StepSpec};
use crate::types::Time;

/// Seconds over which completed work is averaged; long enough for several tasks of 2 s in
/// a row, short enough to follow a change of demand within 13 s.
pub(super) const WINDOW_SECS: u64 = 8;
/// Declared run time of a queue, in milliseconds, after which older tasks weigh half.
const MAX_DECLARED_MS: f64 = 400_000.0;
/// Bounds of a queue's correction, in percent, so that a few wrong estimates can't turn it
/// into an arbitrary number.
const CORRECTION_RANGE: (f64, f64) = (20.0, 500.0);

/// How long the tasks of a queue take, relative to their clients' estimates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueEstimate {
    /// Name of the queue.
    pub queue: QueueName,
    /// Measured run time in percent of the estimate.
    pub percent: u32,
}

/// Work that was completed within one second.
#[derive(Debug, Default)]
struct Second {
    number: u64,
    best_effort: Work,
    other: Work,
}

/// Declared and measured run times of a queue, in milliseconds.
#[derive(Debug, Default)]
struct RunTimeSums {
    declared: f64,
    measured: f64,
}

/// Completed work of each pool, and how long the tasks of each queue took.
#[derive(Debug, Default)]
pub(in crate::jobs) struct CompletedWork {
    pools: BTreeMap<Arc<str>, VecDeque<Second>>,
    queues: HashMap<QueueName, RunTimeSums>,
}

impl CompletedWork {
    /// Records a task of `step` that is done after `work_time`.
    pub(in crate::jobs) fn record(
        &mut self,
        now: Time,
        pool: &Arc<str>,
        queue: &QueueName,
        step: &StepSpec,
        work_time: Duration,
    ) {
        if step.long_running {
            return;
        }
        let run_ms = u64::try_from(work_time.as_millis()).unwrap_or(u64::MAX);
        let second = self.second(now, pool);
        let work = Work::of_tasks(step, 1, run_ms);
        if step.best_effort {
            second.best_effort = second.best_effort.plus(work);
        } else {
            second.other = second.other.plus(work);
        }
        let sums = self.queues.entry(queue.clone()).or_default();
        sums.declared += step.estimate_ms as f64;
        sums.measured += run_ms as f64;
        if sums.declared > MAX_DECLARED_MS {
            sums.declared /= 2.0;
            sums.measured /= 2.0;
        }
    }

    fn second(&mut self, now: Time, pool: &Arc<str>) -> &mut Second {
        let number = second_of(now);
        let seconds = self.pools.entry(pool.clone()).or_default();
        while seconds
            .front()
            .is_some_and(|first| first.number + WINDOW_SECS < number)
        {
            seconds.pop_front();
        }
        if seconds.back().is_none_or(|last| last.number != number) {
            seconds.push_back(Second {
                number,
                ..Second::default()
            });
        }
        seconds.back_mut().expect("pushed above if it was empty")
    }

    /// Best-effort and other work completed per millisecond in the whole seconds of the
    /// window, in thousandths of a processor.
    pub(super) fn rates(&self, now: Time, pool: &str) -> (u64, u64) {
        let present = second_of(now);
        let seconds = self.pools.get(pool).into_iter().flatten();
        let counted = seconds
            .filter(|second| second.number < present && second.number + WINDOW_SECS >= present);
        let sums = counted.fold((Work(0), Work(0)), |(best_effort, other), second| {
            (
                best_effort.plus(second.best_effort),
                other.plus(second.other),
            )
        });
        let millis = WINDOW_SECS * 1_000;
        (sums.0.0 / millis, sums.1.0 / millis)
    }

    /// Correction of the declared run times of each queue.
    pub(super) fn corrections(&self) -> Vec<QueueEstimate> {
        let known = self.queues.iter().filter(|(_, sums)| sums.declared > 0.0);
        let mut corrections: Vec<QueueEstimate> = known
            .map(|(queue, sums)| {
                let (low, high) = CORRECTION_RANGE;
                let percent = (sums.measured / sums.declared * 100.0).clamp(low, high);
                QueueEstimate {
                    queue: queue.clone(),
                    percent: percent as u32,
                }
            })
            .collect();
        corrections.sort_by(|a, b| a.queue.cmp(&b.queue));
        corrections
    }
}

fn second_of(now: Time) -> u64 {
    now.as_micros() / 1_000_000
}
