//! Accounts what the time of each job is lost to, with the ends of its runs and its own.

use super::super::fleet::Load;
use super::super::job::{Round, StepRef};
use super::super::losses::{JobAccount, JobOutcome, TaskTimes, millis};
use super::super::urgency::{MAX_LATENESS_FACTOR, allowed_ms};
use super::super::{EndReason, EndedRun, JobId, JobState, Output, RunRef};
use super::Scheduler;
use crate::types::Time;

/// An ended job with its last rounds, to account for.
#[derive(Debug)]
pub(super) struct ClosedJob {
    pub(super) id: JobId,
    pub(super) rounds: Vec<Round>,
}

impl Scheduler {
    /// Adds an ended run to the account of its job.
    pub(super) fn account_run(&mut self, now: Time, ended: &EndedRun, load: Option<&Load>) {
        let job = self.jobs.get_mut(&ended.run.task.job);
        let (Some(job), Some(load)) = (job, load) else {
            return;
        };
        let in_vain = ended.reason != EndReason::Done && ended.checkpoint.is_empty();
        if let Some(run) = load.timeline.run_time(now) {
            let throttled = load.timeline.throttled_at(now, load.speed());
            job.losses.add_run(run, throttled, in_vain);
        }
    }

    /// Adds a task that is done to the account of its job.
    pub(super) fn account_done(&mut self, now: Time, run: RunRef) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let spec = job.spec.clone();
        let step = usize::from(run.task.step);
        let Some(round) = job.rounds.get_mut(run.task.round as usize) else {
            return;
        };
        if let Some(ready) = round.ready_at(&spec.steps[step]) {
            job.losses.open += now.since(ready);
        }
        let step = &mut round.steps[step];
        let (remaining, count) = (step.remaining, step.tasks.len());
        job.losses.straggled += step.times.note_done(now, remaining, count);
    }

    /// Emits the accounts of the jobs that have ended.
    pub(super) fn emit_accounts(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Output>) {
        for closed in std::mem::take(&mut self.closed) {
            let account = self.account(now, wall_ms, closed);
            out.extend(account.map(Output::JobEnded));
        }
    }

    fn account(&mut self, now: Time, wall_ms: u64, closed: ClosedJob) -> Option<JobAccount> {
        let job = self.jobs.get_mut(&closed.id)?;
        let last = closed.rounds.len().checked_sub(1)?;
        if job.spec.steps.iter().any(|step| step.long_running) {
            return None;
        }
        job.rounds = closed.rounds;
        let expected = self.durations.expected_of_round_ms(job, last);
        let rounds = std::mem::take(&mut job.rounds);
        self.account_open(now, closed.id, &rounds);
        let job = &self.jobs[&closed.id];
        let took_ms = wall_ms.saturating_sub(job.due_ms(last));
        let allowed_ms = allowed_ms(job, &expected);
        Some(JobAccount {
            job: closed.id,
            queue: job.policy.name.clone(),
            outcome: outcome(job.state, took_ms, allowed_ms),
            tasks: job
                .spec
                .steps
                .iter()
                .map(|step| u64::from(step.count))
                .sum(),
            took_ms,
            allowed_ms,
            task_ms: TaskTimes::from(&job.losses),
            straggled_ms: millis(job.losses.straggled),
        })
    }

    /// Adds the tasks that are not done, and their runs, to the account of their job.
    fn account_open(&mut self, now: Time, id: JobId, rounds: &[Round]) {
        let mut losses = self.jobs[&id].losses;
        let spec = self.jobs[&id].spec.clone();
        for (round_at, round) in rounds.iter().enumerate() {
            for (step_at, (step, run)) in spec.steps.iter().zip(&round.steps).enumerate() {
                losses.open += run.open_time(now, round.ready_at(step));
                let at = StepRef {
                    job: id,
                    round: round_at,
                    step: step_at,
                };
                for (index, task) in run.tasks.iter().enumerate() {
                    for live in &task.runs {
                        let run = RunRef {
                            task: at.task(index),
                            run: live.run,
                        };
                        let worker = self.workers.get(&live.node);
                        let load = worker.and_then(|worker| worker.runs.get(&run));
                        let Some((load, time)) =
                            load.and_then(|load| Some((load, load.timeline.run_time(now)?)))
                        else {
                            continue;
                        };
                        let throttled = load.timeline.throttled_at(now, load.speed());
                        losses.add_run(time, throttled, task.checkpoint.is_empty());
                    }
                }
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.losses = losses;
        }
    }
}

/// Outcome of a job in the final state `state` that took `took_ms`.
fn outcome(state: JobState, took_ms: u64, allowed_ms: u64) -> JobOutcome {
    match state {
        JobState::Failed => JobOutcome::Failed,
        JobState::Cancelled => JobOutcome::Cancelled,
        _ if took_ms <= allowed_ms => JobOutcome::InTime,
        _ if took_ms <= allowed_ms.saturating_mul(MAX_LATENESS_FACTOR) => JobOutcome::Late,
        _ => JobOutcome::Worthless,
    }
}
