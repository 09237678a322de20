//! Moves work off a worker that leaves.

use super::super::{OrderMessage, Output, RunRef};
use super::Scheduler;
use crate::types::NodeName;

/// Least time that a task without checkpoints is left to finish in, as a share of
/// its estimate.
const FINISH_SHARE: f64 = 0.5;

impl Scheduler {
    /// Stops what would not finish on `node`, which leaves in `remaining_ms`.
    pub(super) fn evacuate(&mut self, node: &NodeName, remaining_ms: u64, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get(node) else {
            return;
        };
        let runs: Vec<RunRef> = worker.runs.keys().copied().collect();
        for run in runs {
            if self.outlives(run, remaining_ms) {
                self.stop_run(run, out);
            }
        }
    }

    /// Whether a run is better moved at once than left to the worker's end.
    fn outlives(&self, run: RunRef, remaining_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return false;
        };
        let number = usize::from(run.task.step);
        let round = job.rounds.get(run.task.round as usize);
        let (Some(step), Some(round)) = (job.spec.steps.get(number), round) else {
            return false;
        };
        let steps = &round.steps[number];
        let wanted = self.durations.expected_ms(&job.policy.name, step, steps) as f64;
        let share = if step.checkpoints { 1.0 } else { FINISH_SHARE };
        step.lasts || wanted * share > remaining_ms as f64
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
