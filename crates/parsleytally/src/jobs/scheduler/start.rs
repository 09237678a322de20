//! Gives room to steps that are ready, the most urgent first.

use std::sync::Arc;

use super::super::fleet::{Load, Worked};
use super::super::job::{Job, LiveRun, StepRef};
use super::super::order::{Urgency, urgency};
use super::super::place::{Wanted, choose};
use super::super::{JobState, OrderMessage, Output, RunRef, StartOrder};
use super::{RUNS_PER_EPOCH, Scheduler};
use crate::types::{NodeName, Resources, Time};

/// A run that begins.
struct Start<'a> {
    step: StepRef,
    /// Task of the step.
    index: usize,
    /// Number of the run.
    run: u32,
    node: &'a NodeName,
    load: &'a Load,
}

/// A need that found no room; what needs as much does not either.
#[derive(Debug, Default)]
struct Full {
    /// Needs, each with the image for fillers, which differ in what they disturb.
    smallest: Vec<(Resources, Option<Arc<str>>)>,
}

impl Full {
    fn covers(&self, load: &Load) -> bool {
        let kind = kind(load);
        let tried =
            |(need, tried): &(Resources, Option<Arc<str>>)| *tried == kind && need.fits(&load.need);

        self.smallest.iter().any(tried)
    }

    fn add(&mut self, load: &Load) {
        self.smallest.push((load.need, kind(load)));
    }
}

fn kind(load: &Load) -> Option<Arc<str>> {
    load.filler.then(|| load.image.clone())
}

impl Scheduler {
    /// Starts every waiting task for which there is room.
    pub(super) fn place_all(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Output>) {
        self.open_rounds(wall_ms);
        let mut ready = self.ready_steps(wall_ms);
        ready.sort_by_key(|(urgency, step)| (*urgency, step.job, step.round, step.step));
        let mut full = Full::default();
        for (_, step) in ready {
            self.place_step(now, step, &mut full, out);
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

    /// Whether no run of a predecessor can be hidden on an agent that has not reported.
    fn may_start(&self, job: &Job) -> bool {
        self.unheard.is_empty() || job.accepted > self.start.since
    }

    fn place_step(&mut self, now: Time, step: StepRef, full: &mut Full, out: &mut Vec<Output>) {
        let Some(load) = self.jobs[&step.job].load(step.step as u16) else {
            return;
        };
        if full.covers(&load) {
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
            let Some(node) = self.choose_for(now, step, index, &load, None) else {
                let spec = &spec.steps[step.step];
                if spec.required_label.is_none() && spec.max_per_worker == 0 {
                    full.add(&load);
                }
                return;
            };
            let start = Start {
                step,
                index,
                run: self.next_run(step, index),
                node: &node,
                load: &load,
            };
            self.begin_run(now, &start, out);
        }
    }

    /// Starts all members of a gang with one run number, or none.
    fn place_gang(&mut self, now: Time, step: StepRef, load: &Load, out: &mut Vec<Output>) {
        let tasks = &self.jobs[&step.job].rounds[step.round].steps[step.step].tasks;
        let members = tasks.len();
        if !tasks.iter().all(super::super::job::Task::needs_run) {
            return;
        }
        let run = (0..members).map(|index| self.next_run(step, index)).max();
        let run = run.unwrap_or(1);
        let mut started = Vec::new();
        let mut rack = None;
        for index in 0..members {
            let chosen = self.choose_for(now, step, index, load, rack.as_deref());
            let Some(node) = chosen else {
                self.undo(step, run, &started);
                return;
            };
            if rack.is_none() {
                rack = self
                    .workers
                    .get(&node)
                    .and_then(|worker| worker.rack().cloned());
            }
            let start = Start {
                step,
                index,
                run,
                node: &node,
                load,
            };
            let mut orders = Vec::new();
            self.begin_run(now, &start, &mut orders);
            started.push((index, node, orders));
        }
        out.extend(started.into_iter().flat_map(|(_, _, orders)| orders));
    }

    /// Takes back the members of a gang that does not fit whole.
    fn undo(&mut self, step: StepRef, run: u32, started: &[(usize, NodeName, Vec<Output>)]) {
        for (index, node, _) in started {
            let run = RunRef {
                task: step.task(*index),
                run,
            };
            if let Some(worker) = self.workers.get_mut(node) {
                worker.release(run);
            }
            self.forget_run(node, run);
        }
    }

    fn choose_for(
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
        let wanted = Wanted {
            contention: &self.contention,
            policy: &job.policy,
            step: spec,
            load,
            failed_on: run.tasks[index].failed_on.as_ref(),
            shared_rack: shared_rack.filter(|_| spec.same_rack),
        };
        choose(&self.workers, &wanted, run, now).cloned()
    }

    fn next_run(&self, step: StepRef, index: usize) -> u32 {
        let task = &self.jobs[&step.job].rounds[step.round].steps[step.step].tasks[index];
        let first = u32::try_from(self.start.epoch).unwrap_or(u32::MAX / RUNS_PER_EPOCH);
        let first = first.saturating_mul(RUNS_PER_EPOCH).saturating_add(1);
        first.max(task.last_run.saturating_add(1))
    }

    fn begin_run(&mut self, now: Time, start: &Start<'_>, out: &mut Vec<Output>) {
        let Start {
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
        let afresh = task.checkpoint.is_empty();
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let Some(life) = worker.report.as_ref().map(|report| report.life.clone()) else {
            return;
        };
        if load.filler {
            self.contention.started(now, node, worker, load);
        }
        let mut load = load.clone();
        if afresh {
            load.worked = Some(Worked::from(now));
        }
        worker.take(run, &load);
        self.contention.occupied(node, worker);
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
            incarnation: life,
            run,
            payload,
            checkpoint: task.checkpoint.clone(),
            target_ms,
            best_effort: load.filler,
        };
        out.push(Output::Order(node.clone(), OrderMessage::Start(order)));
    }
}
