//! Copies of stragglers, and stops of runs without progress.

use super::super::fleet::Worker;
use super::super::job::{Job, StepRef};
use super::super::speculation::{has_quorum, max_copies, straggler, would_win};
use super::super::stalls::{MAX_STOPS_PER_TASK, stalled};
use super::super::{
    CopyEvidence, Output, RunRef, RunStatus, StallEvidence, WorkerStanding, WorkersDecision,
};
use super::Scheduler;
use crate::types::{NodeName, Time};

/// Slowdown of a task in its preferred rack, in percent.
const LOCAL_PERCENT: u32 = 100;

/// A task whose only run is a straggler.
struct Straggler {
    at: StepRef,
    index: usize,
    evidence: CopyEvidence,
}

impl Scheduler {
    /// Number of runs on all workers.
    fn runs(&self) -> usize {
        self.workers.values().map(|worker| worker.runs.len()).sum()
    }

    /// Number of runs beside another run of their task.
    pub fn copies(&self) -> usize {
        if !self.options.workers.speculation {
            return 0;
        }
        let jobs = self.open.iter().map(|id| &self.jobs[id]);
        let rounds = jobs.flat_map(|job| &job.rounds);
        let tasks = rounds
            .flat_map(|round| &round.steps)
            .flat_map(|step| &step.tasks);
        tasks.map(|task| task.runs.len().saturating_sub(1)).sum()
    }

    /// Starts copies of the stragglers of speculative steps, the slowest first.
    pub(super) fn start_copies(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.options.workers.speculation {
            return;
        }
        let mut stragglers = Vec::new();
        for id in &self.open {
            let job = &self.jobs[id];
            if self.may_start(job) {
                self.collect_stragglers(now, *id, job, &mut stragglers);
            }
        }
        if stragglers.is_empty() {
            return;
        }
        stragglers.sort_by_key(|found| std::cmp::Reverse(found.evidence.remaining_ms));
        let allowed = max_copies(self.runs()).saturating_sub(self.copies());
        let mut left = allowed;
        for found in &stragglers {
            if left == 0 {
                return;
            }
            left -= usize::from(self.start_copy_of(now, found, out));
        }
    }

    fn collect_stragglers(
        &self,
        now: Time,
        id: super::JobId,
        job: &Job,
        found: &mut Vec<Straggler>,
    ) {
        for (round, open) in job.rounds.iter().enumerate() {
            for (step, run) in open.steps.iter().enumerate() {
                let spec = &job.spec.steps[step];
                let copies = spec.speculative && !spec.gang && !spec.long_running;
                if !copies || !has_quorum(run.tasks.len(), run.remaining) {
                    continue;
                }
                let Some(mean_ms) = run.run_times.mean_ms() else {
                    continue;
                };
                let at = StepRef {
                    job: id,
                    round,
                    step,
                };
                for index in 0..run.tasks.len() {
                    let evidence = self.straggler_evidence(now, job, at, index, mean_ms);
                    found.extend(evidence.map(|evidence| Straggler {
                        at,
                        index,
                        evidence,
                    }));
                }
            }
        }
    }

    /// Evidence that the only run of a task is a straggler. The failure of a copy alone must
    /// not fail the job, so a task whose next failure is the last gets none; nor does one that may
    /// have crashed a worker.
    fn straggler_evidence(
        &self,
        now: Time,
        job: &Job,
        at: StepRef,
        index: usize,
        mean_ms: u64,
    ) -> Option<CopyEvidence> {
        let task = &job.step_run(at).tasks[index];
        let [live] = task.runs.as_slice() else {
            return None;
        };
        let attempts = job.policy.max_attempts as usize;
        let risky = task.failed.len() + 1 >= attempts || !task.crashes.is_empty();
        if task.done || live.stopping || risky || !self.may_start_task(at.task(index)) {
            return None;
        }
        let worker = self.workers.get(&live.node)?;
        let run = RunRef {
            task: at.task(index),
            run: live.run,
        };
        let load = worker.runs.get(&run)?;
        let reachable = worker.linked && !worker.unresponsive;
        straggler(now, &load.timeline, mean_ms, reachable)
    }

    /// Starts a copy on another worker, if it would probably end first.
    fn start_copy_of(&mut self, now: Time, found: &Straggler, out: &mut Vec<Output>) -> bool {
        let Straggler {
            at,
            index,
            evidence,
        } = *found;
        let original = self.jobs[&at.job].step_run(at).tasks[index].runs[0].clone();
        let is_sound = |name: &NodeName, worker: &Worker| {
            *name != original.node
                && !worker.failures.is_suspect()
                && worker.health.standing() == WorkerStanding::Sound
        };
        let Some(node) = self.choose_elsewhere(now, at, index, is_sound) else {
            return false;
        };
        let step = &self.jobs[&at.job].spec.steps[at.step];
        let local = self.in_preferred_rack(&node, step);
        let percent = if local {
            LOCAL_PERCENT
        } else {
            self.options.workers.remote_percent
        };
        if !would_win(&evidence, percent) {
            return false;
        }
        let run = self.start_copy(now, at, index, &node, out);
        out.push(Output::Workers(WorkersDecision::Copy {
            run,
            node,
            original: original.run,
            evidence,
        }));
        true
    }

    /// Stops measured runs of a worker that make no progress, so that their tasks start
    /// elsewhere.
    pub(super) fn stop_stalled(
        &mut self,
        now: Time,
        node: &NodeName,
        gauges: &[RunStatus],
        out: &mut Vec<Output>,
    ) {
        if !self.options.workers.stalls {
            return;
        }
        for gauge in gauges {
            let Some(evidence) = self.stall_evidence(node, gauge.run) else {
                continue;
            };
            let at = StepRef {
                job: gauge.run.task.job,
                round: gauge.run.task.round as usize,
                step: usize::from(gauge.run.task.step),
            };
            let index = gauge.run.task.index as usize;
            let elsewhere = self.choose_elsewhere(now, at, index, |name, _| name != node);
            let runs = self.runs();
            if elsewhere.is_some() && self.stall_budget.take(now, runs) {
                self.stop_stalled_run(node, gauge.run, evidence, out);
            }
        }
    }

    /// Evidence that the only run of a task makes no progress.
    fn stall_evidence(&self, node: &NodeName, run: RunRef) -> Option<StallEvidence> {
        let worker = self.workers.get(node)?;
        let load = worker.runs.get(&run)?;
        let job = self.jobs.get(&run.task.job)?;
        let step_index = usize::from(run.task.step);
        let step = job.spec.steps.get(step_index)?;
        let round = job.rounds.get(run.task.round as usize)?;
        let step_run = &round.steps[step_index];
        let task = step_run.tasks.get(run.task.index as usize)?;
        let is_only =
            matches!(task.runs.as_slice(), [live] if live.run == run.run && !live.stopping);
        if step.gang || step.long_running || !is_only || task.stalls >= MAX_STOPS_PER_TASK {
            return None;
        }
        let may_pause = load.best_effort && worker.service_runs > 0;
        let expected_ms = self.durations.expected_ms(&job.policy.name, step, step_run);
        stalled(load, expected_ms, may_pause)
    }

    fn stop_stalled_run(
        &mut self,
        node: &NodeName,
        run: RunRef,
        evidence: StallEvidence,
        out: &mut Vec<Output>,
    ) {
        let job = self.jobs.get_mut(&run.task.job);
        if let Some(task) = job.and_then(|job| job.task(run.task)) {
            task.stalls += 1;
            task.failed_on = Some(node.clone());
        }
        if let Some(worker) = self.workers.get_mut(node)
            && self.options.workers.health
        {
            worker.health.record_stall();
        }
        out.push(Output::Workers(WorkersDecision::Stall {
            run,
            node: node.clone(),
            evidence,
        }));
        self.stop_run(run, out);
    }
}
