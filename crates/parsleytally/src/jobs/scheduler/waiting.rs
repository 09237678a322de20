//! Explains why ready steps wait, a few of them with each tick.

use super::super::Output;
use super::super::crashes::needs_isolation;
use super::super::fleet::Worker;
use super::super::job::{Job, StepRef};
use super::super::place::turned_away;
use super::super::waiting::{
    DueWait, Wait, WaitCounts, WaitEvidence, WaitHolder, WaitReason, main_reason, millis,
};
use super::Scheduler;
use super::crashes::awaits_save;
use crate::types::Time;

/// Most steps that are explained with one tick.
const MAX_EXPLAINED: usize = 8;

impl Scheduler {
    /// Steps that have waited for a second or more, by the reason last found.
    pub fn waiting_steps(&self) -> WaitCounts {
        let mut counts = WaitCounts::new();
        for job in self.open.iter().map(|id| &self.jobs[id]) {
            let steps = job.waiting_steps().filter_map(|(_, _, run)| run.wait);
            for reason in steps.filter_map(|wait| wait.reason()) {
                *counts.entry(reason).or_default() += 1;
            }
        }
        counts
    }

    /// Share of the processors of all usable workers that nothing has reserved, in percent.
    pub fn free_percent(&self) -> u32 {
        free_percent(self.workers.values())
    }

    /// Emits why steps wait if the reason has changed, for those explained longest ago.
    pub(super) fn explain_waiting(&mut self, now: Time, out: &mut Vec<Output>) {
        for due in self.due_waits(now) {
            let at = StepRef {
                job: due.job,
                round: due.round,
                step: due.step,
            };
            let Some(evidence) = self.wait_evidence(now, at) else {
                continue;
            };
            let wait = self.wait_mut(at);
            if wait.is_some_and(|wait| wait.explain(now, evidence.reason)) {
                out.push(Output::Waiting(evidence));
            }
        }
    }

    /// Notes the begin of waits; returns the steps to explain.
    fn due_waits(&mut self, now: Time) -> Vec<DueWait> {
        let mut due = Vec::new();
        for id in &self.open {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let waiting: Vec<(usize, usize)> = {
                let steps = job.waiting_steps();
                steps.map(|(round, step, _)| (round, step)).collect()
            };
            for (round, step) in waiting {
                let long_running = job.spec.steps[step].long_running;
                let wait = job.rounds[round].steps[step].note_wait(now, long_running);
                if wait.is_due(now) {
                    due.push(DueWait {
                        explained_at: wait.explained_at(),
                        job: *id,
                        round,
                        step,
                    });
                }
            }
        }
        due.sort_unstable();
        due.truncate(MAX_EXPLAINED);
        due
    }

    pub(super) fn wait_mut(&mut self, at: StepRef) -> Option<&mut Wait> {
        let job = self.jobs.get_mut(&at.job)?;
        job.rounds[at.round].steps[at.step].wait.as_mut()
    }

    fn wait_evidence(&self, now: Time, at: StepRef) -> Option<WaitEvidence> {
        let job = &self.jobs[&at.job];
        let run = job.step_run(at);
        let index = run.waiting_tasks().next()?;
        let workers = self.reasons(now, at, index);
        let held = self.held_back(now, job, at, index);
        let pool = self.workers.values();
        let pool = pool.filter(|worker| worker.is_in_pool(&job.policy.service));
        let reason = held.unwrap_or_else(|| main_reason(&workers));
        Some(WaitEvidence {
            task: at.task(index),
            holder: self.holder(now, at, index, reason),
            vain_starts: run.tasks[index].vain_starts,
            tasks: run.waiting_tasks().count(),
            running: running_tasks(job),
            waited_ms: run.wait.map_or(0, |wait| millis(now, wait.since)),
            reason,
            workers,
            free_percent: free_percent(pool),
            pool_use: self.pool_use(&job.policy.service),
        })
    }

    /// Why no worker may take a task, whatever the worker.
    fn held_back(&self, now: Time, job: &Job, at: StepRef, index: usize) -> Option<WaitReason> {
        if !self.evacuation.is_fresh(now) {
            return Some(WaitReason::OldRead);
        }
        if !self.may_start(job) || !self.may_start_task(at.task(index)) {
            return Some(WaitReason::Unreported);
        }
        let task = &job.step_run(at).tasks[index];
        awaits_save(job, task).then_some(WaitReason::Unsaved)
    }

    /// What holds a task back for `reason`, where that is a single thing.
    fn holder(
        &self,
        now: Time,
        at: StepRef,
        index: usize,
        reason: WaitReason,
    ) -> Option<WaitHolder> {
        match reason {
            WaitReason::Unreported => self.unreported_holder(now, at.task(index)),
            WaitReason::Isolation => self.isolated_run(now, at),
            WaitReason::Unsaved => Some(WaitHolder::Marks {
                marks: self.step_run(at).tasks[index].crashes.len(),
            }),
            _ => None,
        }
    }

    /// The isolated run that keeps a step away from its worker for longest.
    fn isolated_run(&self, now: Time, at: StepRef) -> Option<WaitHolder> {
        let runs = self.workers.iter().filter_map(|(node, worker)| {
            let (run, end) = worker.isolation.holder(now, at.job)?;
            Some((node, run, end))
        });
        let (node, run, end) = runs.max_by_key(|(_, _, end)| *end)?;
        Some(WaitHolder::IsolatedRun {
            node: node.clone(),
            run,
            remaining_ms: millis(end, now),
        })
    }

    /// Number of workers of the pool by the reason for which they turn a task away.
    fn reasons(&self, now: Time, at: StepRef, index: usize) -> WaitCounts {
        let mut counts = WaitCounts::new();
        let job = &self.jobs[&at.job];
        let Some(load) = job.load(at.step as u16) else {
            return counts;
        };
        let step = self.ready_step(at, load);
        let run = job.step_run(at);
        let task = &run.tasks[index];
        let mut request = self.request(&step, Some(task));
        request.isolated = needs_isolation(&task.crashes);
        for (name, worker) in &self.workers {
            if !worker.is_in_pool(&job.policy.service) {
                continue;
            }
            let reason = turned_away(now, name, worker, &request, run);
            *counts
                .entry(reason.unwrap_or(WaitReason::Order))
                .or_default() += 1;
        }
        counts
    }
}

fn running_tasks(job: &Job) -> usize {
    let steps = job.rounds.iter().flat_map(|round| &round.steps);
    let tasks = steps.flat_map(|step| &step.tasks);
    tasks.filter(|task| !task.runs.is_empty()).count()
}

fn free_percent<'a>(workers: impl Iterator<Item = &'a Worker>) -> u32 {
    let (mut free, mut total) = (0, 0);
    for worker in workers {
        let capacity = worker
            .report
            .as_ref()
            .map_or(0, |report| report.capacity.cpu.0);
        total += capacity;
        free += worker.free().cpu.0;
    }
    let percent = (free * 100).checked_div(total).unwrap_or(0);
    u32::try_from(percent).unwrap_or(0)
}
