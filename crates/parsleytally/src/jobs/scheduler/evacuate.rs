//! Moves work off a worker that leaves.

use super::super::fleet::Load;
use super::super::job::MILLI;
use super::super::{OrderMessage, Output, RunRef};
use super::Scheduler;
use crate::types::{NodeName, Time};

/// Least time that a task without checkpoints is left to finish in, as a share of
/// its estimate.
const FINISH_SHARE: f64 = 0.5;

impl Scheduler {
    /// Stops what would not finish on `node`, which leaves in `remaining_ms`.
    pub(super) fn evacuate(
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

    /// Whether a run is better moved at once than left to the worker's end.
    fn outlives(&self, now: Time, run: RunRef, load: &Load, remaining_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return false;
        };
        let number = usize::from(run.task.step);
        let round = job.rounds.get(run.task.round as usize);
        let (Some(step), Some(round)) = (job.spec.steps.get(number), round) else {
            return false;
        };
        let steps = &round.steps[number];
        let expected = self.durations.expected_ms(&job.policy.name, step, steps);
        let wanted = left_ms(expected, now, load);
        let share = if step.checkpoints { 1.0 } else { FINISH_SHARE };
        step.long_running || wanted * share > remaining_ms as f64
    }

    /// Orders a run to stop; its task starts elsewhere once the end is listed.
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

/// Time that a run still has to work, of `expected_ms` in all.
fn left_ms(expected_ms: u64, now: Time, load: &Load) -> f64 {
    let expected = expected_ms as f64;
    match load.worked_by(now) {
        Some(worked) => (expected - worked.as_secs_f64() * MILLI).max(0.0),
        None => expected * f64::from(100 - load.percent.min(100)) / 100.0,
    }
}
