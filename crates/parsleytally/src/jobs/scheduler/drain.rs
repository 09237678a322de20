//! Drains a worker that shuts down.

use super::super::fleet::Load;
use super::super::job::MILLI;
use super::super::{OrderMessage, Output, RunRef};
use super::Scheduler;
use crate::types::{NodeName, Time};

/// A run without checkpoints loses its work when stopped, so it stays on the worker if at
/// least this share of its remaining work time is left before the shutdown.
const MIN_FINISH_SHARE: f64 = 0.5;

impl Scheduler {
    /// Stops runs that would not finish on `node`, which shuts down in `remaining_ms`.
    pub(super) fn drain(
        &mut self,
        now: Time,
        node: &NodeName,
        remaining_ms: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get(node) else {
            return;
        };
        let runs = worker.runs.iter();
        let late = runs.filter(|(run, load)| self.outlives(now, **run, load, remaining_ms));
        let late: Vec<RunRef> = late.map(|(run, _)| *run).collect();
        for run in late {
            self.stop_run(run, out);
        }
    }

    /// Whether a run is moved at once because it would not finish before the shutdown.
    fn outlives(&self, now: Time, run: RunRef, load: &Load, remaining_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return false;
        };
        let step_index = usize::from(run.task.step);
        let round = job.rounds.get(run.task.round as usize);
        let (Some(step), Some(round)) = (job.spec.steps.get(step_index), round) else {
            return false;
        };
        let step_run = &round.steps[step_index];
        let expected = self.durations.expected_ms(&job.policy.name, step, step_run);
        let work_ms = remaining_work_ms(expected, now, load);
        let share = if step.checkpoints {
            1.0
        } else {
            MIN_FINISH_SHARE
        };
        step.long_running || work_ms * share > remaining_ms as f64
    }

    /// Orders a run to stop; its task can start again once the worker lists it as ended.
    pub(super) fn stop_run(&mut self, run: RunRef, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(task) = job.task(run.task) else {
            return;
        };
        for live in &mut task.runs {
            if live.run == run.run && !live.stopping {
                live.stopping = true;
                out.push(Output::Order(live.node.clone(), OrderMessage::Stop(run)));
            }
        }
    }
}

/// Remaining work time of a run in milliseconds, of `expected_ms` in total.
pub(super) fn remaining_work_ms(expected_ms: u64, now: Time, load: &Load) -> f64 {
    let expected = expected_ms as f64;
    match load.work_time_at(now) {
        Some(work_time) => (expected - work_time.as_secs_f64() * MILLI).max(0.0),
        None => expected * f64::from(100 - load.progress_percent.min(100)) / 100.0,
    }
}
