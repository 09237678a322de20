//! Uneven workers: learns from runs, and decides how long tasks wait for their rack.

use super::super::fleet::{Load, Worker};
use super::super::job::StepRef;
use super::super::locality::{RackChoice, RackTask};
use super::super::worker_health::is_costly;
use super::super::{
    EndReason, EndedRun, Output, RackEvidence, RunRef, RunStatus, StepSpec, WorkerStanding,
    WorkersDecision,
};
use super::Scheduler;
use super::pass::Pass;
use crate::types::{NodeName, Time};

/// Number of workers by their standing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StandingCounts {
    /// Slower, failing or starting later than their peers.
    pub degraded: usize,
    /// Flapping.
    pub flapping: usize,
    /// On probation.
    pub probation: usize,
}

/// Tasks of a step that wait for their rack, or start elsewhere, in one pass.
#[derive(Debug, Default)]
pub(super) struct RackSummary {
    waiting: Option<RackEvidence>,
    given_up: Option<RackEvidence>,
}

impl RackSummary {
    fn add(&mut self, evidence: RackEvidence, waits: bool) {
        let counted = if waits {
            &mut self.waiting
        } else {
            &mut self.given_up
        };
        let first = counted.take();
        *counted = Some(match first {
            Some(first) => RackEvidence {
                task: first.task,
                tasks: first.tasks + 1,
                ..evidence
            },
            None => evidence,
        });
    }

    /// Emits one decision for the tasks that began to wait, and one for those that start
    /// elsewhere.
    pub(super) fn emit(self, out: &mut Vec<Output>) {
        let waiting = self.waiting.map(WorkersDecision::RackWait);
        let given_up = self.given_up.map(WorkersDecision::RackGivenUp);
        out.extend(waiting.into_iter().chain(given_up).map(Output::Workers));
    }
}

impl Scheduler {
    /// Number of workers by their standing.
    pub fn standings(&self) -> StandingCounts {
        let mut counts = StandingCounts::default();
        for worker in self.workers.values() {
            match worker.health.standing() {
                WorkerStanding::Sound => {}
                WorkerStanding::Degraded => counts.degraded += 1,
                WorkerStanding::Flapping => counts.flapping += 1,
                WorkerStanding::Probation => counts.probation += 1,
            }
        }
        counts
    }

    /// Compares the workers with their peers.
    pub(super) fn review_workers(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.options.workers.health {
            let changes = self.health_review.refresh(now, &mut self.workers);
            out.extend(changes.into_iter().map(Output::Workers));
        }
    }

    /// Learns from an ended run, before its run time counts for its step.
    pub(super) fn learn_from_end(
        &mut self,
        now: Time,
        node: &NodeName,
        ended_run: &EndedRun,
        load: Option<&Load>,
    ) {
        if !self.options.workers.health {
            return;
        }
        let slowness = load.and_then(|load| self.relative_run_time(now, node, ended_run.run, load));
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        match ended_run.reason {
            EndReason::Done => {
                worker.health.record_success(now);
                if let Some(slowness) = slowness {
                    worker.health.record_slowness(now, slowness);
                }
            }
            EndReason::Failed => {
                let quarantined = worker.failures.was_quarantined();
                worker.health.record_failure(now, quarantined);
            }
            _ => {}
        }
    }

    /// Work time of a run over the mean of the done tasks of its step.
    ///
    /// Best-effort tasks, members of gangs and tasks outside their rack are left out: their
    /// speed depends on more than the worker.
    fn relative_run_time(
        &self,
        now: Time,
        node: &NodeName,
        run: RunRef,
        load: &Load,
    ) -> Option<f64> {
        let work_time = load.work_time_at(now)?;
        let job = self.jobs.get(&run.task.job)?;
        let step_index = usize::from(run.task.step);
        let step = job.spec.steps.get(step_index)?;
        let round = job.rounds.get(run.task.round as usize)?;
        let mean_ms = round.steps.get(step_index)?.run_times.mean_ms()?;
        let in_rack = self.in_preferred_rack(node, step);
        let comparable = in_rack && !step.best_effort && !step.gang && mean_ms > 0;
        comparable.then(|| work_time.as_secs_f64() * 1_000.0 / mean_ms as f64)
    }

    /// Whether the worker is in the rack that the step prefers, if it prefers one.
    pub(super) fn in_preferred_rack(&self, node: &NodeName, step: &StepSpec) -> bool {
        let has_label = |rack: &str| self.workers.get(node).is_some_and(|w| w.has_label(rack));
        step.preferred_rack.as_deref().is_none_or(has_label)
    }

    /// Notes the measured progress of the runs on a worker.
    pub(super) fn note_progress(&mut self, now: Time, node: &NodeName, gauges: &[RunStatus]) {
        let learns = self.options.workers.health;
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let Worker {
            runs,
            health,
            failures,
            ..
        } = worker;
        let mut seen = Vec::new();
        for gauge in gauges {
            let Some(load) = runs.get_mut(&gauge.run) else {
                continue;
            };
            if !std::mem::replace(&mut load.listed, true) {
                failures.record_start();
                seen.push(gauge.run);
            }
            let delay = load.timeline.measure(now, gauge.percent);
            let seen_ms = load.timeline.seen_ms().unwrap_or_default();
            failures.record_work(load.timeline.ordered, seen_ms);
            if let Some(delay) = delay.filter(|_| learns) {
                health.record_start(now, delay);
            }
        }
        for run in seen {
            self.run_seen(run);
        }
    }

    /// Whether the loss of a run of the step would lose much work.
    pub(super) fn is_costly(&self, at: StepRef) -> bool {
        if !self.options.workers.health {
            return false;
        }
        let job = &self.jobs[&at.job];
        let step = &job.spec.steps[at.step];
        let expected_ms = self
            .durations
            .expected_ms(&job.policy.name, step, job.step_run(at));
        let loses_all = !step.checkpoints && is_costly(step.need.cpu.0, expected_ms);
        step.long_running || step.gang || loses_all
    }

    /// Whether the task `index` of a step waits for its preferred rack instead of starting
    /// on `node`. Without a node, no worker has room; the wait doesn't count as one for the
    /// rack then, but the task is ahead of others that prefer it.
    pub(super) fn waits_for_rack(
        &mut self,
        at: StepRef,
        index: usize,
        node: Option<&NodeName>,
        pass: &mut Pass,
        summary: &mut RackSummary,
    ) -> bool {
        if !self.options.workers.rack_wait {
            return false;
        }
        let job = &self.jobs[&at.job];
        let step = &job.spec.steps[at.step];
        let Some(rack) = step.preferred_rack.clone() else {
            return false;
        };
        if node.is_some_and(|node| self.in_preferred_rack(node, step)) {
            return false;
        }
        let run = job.step_run(at);
        let waiting_since = run.tasks[index].waiting_since;
        let waited = waiting_since.map(|since| pass.now.since(since));
        let task = RackTask {
            pool: &job.policy.service,
            rack: &rack,
            cpu: step.need.cpu.0,
            expected_ms: self.durations.expected_ms(&job.policy.name, step, run),
            waited_ms: waited.unwrap_or_default().as_millis() as u64,
        };
        let racks = pass.racks(&self.workers, self.options.workers.remote_percent);
        let choice = racks.choose(&task);
        let waited_ms = task.waited_ms;
        let begins = choice.waits && waiting_since.is_none() && node.is_some();
        if begins || (!choice.waits && node.is_some()) {
            summary.add(evidence(at, index, &choice, waited_ms, rack), choice.waits);
        }
        if begins {
            self.set_waiting_since(at, index, pass.now);
        }
        choice.waits
    }

    fn set_waiting_since(&mut self, at: StepRef, index: usize, now: Time) {
        if let Some(job) = self.jobs.get_mut(&at.job) {
            job.rounds[at.round].steps[at.step].tasks[index].waiting_since = Some(now);
        }
    }
}

fn evidence(
    at: StepRef,
    index: usize,
    choice: &RackChoice,
    waited_ms: u64,
    rack: std::sync::Arc<str>,
) -> RackEvidence {
    RackEvidence {
        task: at.task(index),
        tasks: 1,
        rack,
        waited_ms,
        forecast_ms: choice.forecast_ms,
        allowed_ms: choice.allowed_ms,
    }
}
