//! Places ready steps on workers, the most urgent first.

use std::sync::Arc;

use super::super::fleet::{Load, WorkTime};
use super::super::job::{Job, LiveRun, StepRef};
use super::super::place::{PlacementRequest, choose_worker};
use super::super::urgency::{Urgency, urgency};
use super::super::{JobState, OrderMessage, Output, RunRef, StartOrder};
use super::{RUNS_PER_EPOCH, Scheduler};
use crate::types::{NodeName, Resources, Time};

/// A run to start.
struct RunStart<'a> {
    step: StepRef,
    /// Index of the task within the step.
    index: usize,
    run: u32,
    node: &'a NodeName,
    load: &'a Load,
}

/// Loads that no worker could take in this pass. Loads that need at least as much are
/// skipped.
#[derive(Debug, Default)]
struct Unplaceable {
    /// Needs, each with the image for best-effort loads, as their interference differs.
    loads: Vec<(Resources, Option<Arc<str>>)>,
}

impl Unplaceable {
    fn covers(&self, load: &Load) -> bool {
        let image = best_effort_image(load);
        let covered = |(need, other): &(Resources, Option<Arc<str>>)| {
            *other == image && need.fits(&load.need)
        };

        self.loads.iter().any(covered)
    }

    fn add(&mut self, load: &Load) {
        self.loads.push((load.need, best_effort_image(load)));
    }
}

fn best_effort_image(load: &Load) -> Option<Arc<str>> {
    load.best_effort.then(|| load.image.clone())
}

impl Scheduler {
    /// Starts every waiting task for which a worker has enough free resources.
    pub(super) fn place_waiting(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Output>) {
        self.open_rounds(wall_ms);
        let mut ready = self.ready_steps(wall_ms);
        ready.sort_by_key(|(urgency, step)| (*urgency, step.job, step.round, step.step));
        let mut unplaceable = Unplaceable::default();
        for (_, step) in ready {
            self.place_step(now, step, &mut unplaceable, out);
        }
    }

    fn ready_steps(&self, wall_ms: u64) -> Vec<(Urgency, StepRef)> {
        let mut ready = Vec::new();
        for id in &self.open {
            let job = &self.jobs[id];
            if !self.may_start(job) {
                continue;
            }
            for (round, step, _) in job.waiting_steps() {
                let step = StepRef {
                    job: *id,
                    round,
                    step,
                };
                ready.push((urgency(job, step, &self.durations, wall_ms), step));
            }
        }
        ready
    }

    /// Whether no unreported agent can have a run of the job that a predecessor started.
    fn may_start(&self, job: &Job) -> bool {
        self.unreported.is_empty() || job.accepted > self.options.start_revision
    }

    fn place_step(
        &mut self,
        now: Time,
        step: StepRef,
        unplaceable: &mut Unplaceable,
        out: &mut Vec<Output>,
    ) {
        let Some(load) = self.jobs[&step.job].load(step.step as u16) else {
            return;
        };
        if unplaceable.covers(&load) {
            return;
        }
        let spec = self.jobs[&step.job].spec.clone();
        if spec.steps[step.step].gang {
            self.place_gang(now, step, &load, out);
            return;
        }
        let tasks = self.jobs[&step.job].rounds[step.round].steps[step.step]
            .tasks
            .len();
        for index in 0..tasks {
            let task = &self.jobs[&step.job].rounds[step.round].steps[step.step].tasks[index];
            if !task.needs_run() {
                continue;
            }
            let Some(node) = self.choose_worker_for(now, step, index, &load, None) else {
                let spec = &spec.steps[step.step];
                if spec.required_label.is_none() && spec.max_per_worker == 0 {
                    unplaceable.add(&load);
                }
                return;
            };
            let start = RunStart {
                step,
                index,
                run: self.next_run_number(step, index),
                node: &node,
                load: &load,
            };
            self.start_run(now, &start, out);
        }
    }

    /// Starts all members of a gang with the same run number, or none of them.
    fn place_gang(&mut self, now: Time, step: StepRef, load: &Load, out: &mut Vec<Output>) {
        let tasks = &self.jobs[&step.job].rounds[step.round].steps[step.step].tasks;
        let members = tasks.len();
        if !tasks.iter().all(super::super::job::Task::needs_run) {
            return;
        }
        let run = (0..members)
            .map(|index| self.next_run_number(step, index))
            .max();
        let run = run.unwrap_or(1);
        let mut started = Vec::new();
        let mut rack = None;
        for index in 0..members {
            let chosen = self.choose_worker_for(now, step, index, load, rack.as_deref());
            let Some(node) = chosen else {
                self.roll_back_gang(step, run, &started);
                return;
            };
            if rack.is_none() {
                rack = self
                    .workers
                    .get(&node)
                    .and_then(|worker| worker.rack().cloned());
            }
            let start = RunStart {
                step,
                index,
                run,
                node: &node,
                load,
            };
            let mut orders = Vec::new();
            self.start_run(now, &start, &mut orders);
            started.push((index, node, orders));
        }
        out.extend(started.into_iter().flat_map(|(_, _, orders)| orders));
    }

    /// Undoes the placement of gang members if not all of them fit.
    fn roll_back_gang(
        &mut self,
        step: StepRef,
        run: u32,
        started: &[(usize, NodeName, Vec<Output>)],
    ) {
        for (index, node, _) in started {
            let run = RunRef {
                task: step.task(*index),
                run,
            };
            if let Some(worker) = self.workers.get_mut(node) {
                worker.release(run);
            }
            self.detach_run(node, run);
        }
    }

    fn choose_worker_for(
        &self,
        now: Time,
        step: StepRef,
        index: usize,
        load: &Load,
        shared_rack: Option<&str>,
    ) -> Option<NodeName> {
        let job = &self.jobs[&step.job];
        let run = &job.rounds[step.round].steps[step.step];
        let spec = &job.spec.steps[step.step];
        let request = PlacementRequest {
            contention: &self.contention,
            policy: &job.policy,
            step: spec,
            load,
            failed_on: run.tasks[index].failed_on.as_ref(),
            shared_rack: shared_rack.filter(|_| spec.same_rack),
        };
        choose_worker(&self.workers, &request, run, now).cloned()
    }

    fn next_run_number(&self, step: StepRef, index: usize) -> u32 {
        let task = &self.jobs[&step.job].rounds[step.round].steps[step.step].tasks[index];
        let first = u32::try_from(self.options.epoch).unwrap_or(u32::MAX / RUNS_PER_EPOCH);
        let first = first.saturating_mul(RUNS_PER_EPOCH).saturating_add(1);
        first.max(task.last_run.saturating_add(1))
    }

    fn start_run(&mut self, now: Time, start: &RunStart<'_>, out: &mut Vec<Output>) {
        let RunStart {
            step,
            index,
            node,
            load,
            ..
        } = *start;
        let run = RunRef {
            task: step.task(index),
            run: start.run,
        };
        let task = &self.jobs[&step.job].rounds[step.round].steps[step.step].tasks[index];
        let from_scratch = task.checkpoint.is_empty();
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let Some(incarnation) = worker
            .report
            .as_ref()
            .map(|report| report.incarnation.clone())
        else {
            return;
        };
        if load.best_effort {
            self.contention.start_trials(now, node, worker, load);
        }
        let mut load = load.clone();
        if from_scratch {
            load.work_time = Some(WorkTime::starting_at(now));
        }
        worker.reserve(run, &load);
        self.contention.update_headrooms(node, worker);
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let payload = job.spec.payload.clone();
        let target_ms = job.spec.steps[step.step].target_ms;
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
        let task = &mut job.rounds[step.round].steps[step.step].tasks[index];
        task.last_run = run.run;
        task.runs.push(LiveRun {
            node: node.clone(),
            run: run.run,
            stopping: false,
        });
        let order = StartOrder {
            incarnation,
            run,
            payload,
            checkpoint: task.checkpoint.clone(),
            target_ms,
            best_effort: load.best_effort,
        };
        out.push(Output::Order(node.clone(), OrderMessage::Start(order)));
    }
}
