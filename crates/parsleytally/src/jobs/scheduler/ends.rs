//! Runs that end, and what workers list after a change of their owner.

use std::collections::HashSet;

use super::super::fleet::{Load, PendingEnd};
use super::super::job::LiveRun;
use super::super::{
    EndReason, EndedRun, JobState, OrderMessage, Output, RefusalReason, RunRef, RunStatus,
    WorkerLife,
};
use super::Scheduler;
use crate::types::{NodeName, Time};

impl Scheduler {
    /// Compares all that a worker lists with what was given to it.
    pub(super) fn listed(
        &mut self,
        now: Time,
        node: &NodeName,
        life: &WorkerLife,
        running: &[RunStatus],
        ended: &[EndedRun],
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        if !worker.is_life(life) {
            return;
        }
        worker.listed = true;
        // The worker lists what is not acknowledged again from the beginning.
        worker.seen = 0;
        worker.ends.clear();
        let given: Vec<RunRef> = worker.runs.keys().copied().collect();
        self.ended(now, node, life, ended, out);
        let runs: HashSet<RunRef> = running.iter().map(|task| task.run).collect();
        for run in given {
            if !runs.contains(&run) {
                self.gone(node, run);
            }
        }
        for task in running {
            self.adopt(node, task, out);
            self.describe(node, task.run, out);
        }
        self.unheard.remove(node);
        self.stirred = true;
    }

    /// Tells an agent what it needs to know of a run that it found.
    fn describe(&self, node: &NodeName, run: RunRef, out: &mut Vec<Output>) {
        let job = self.jobs.get(&run.task.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(run.task.step)));
        if let Some(step) = step
            && (step.best_effort || step.target_ms > 0)
        {
            let describe = OrderMessage::Describe {
                run,
                target_ms: step.target_ms,
                best_effort: step.best_effort,
            };
            out.push(Output::Order(node.clone(), describe));
        }
    }

    /// Takes over a run that a worker lists.
    fn adopt(&mut self, node: &NodeName, listed: &RunStatus, out: &mut Vec<Output>) {
        let run = listed.run;
        let known = self.workers.get(node);
        if known.is_some_and(|worker| worker.runs.contains_key(&run)) {
            self.started(run);
            return;
        }
        let load = self.jobs.get(&run.task.job);
        let load = load.and_then(|job| job.load(run.task.step));
        let mut load = load.unwrap_or_default();
        load.pace = None;
        if let Some(worker) = self.workers.get_mut(node) {
            worker.take(run, &load);
        }
        if !self.keep_adopted(node, listed) {
            out.push(Output::Order(node.clone(), OrderMessage::Stop(run)));
        }
    }

    /// Whether an unknown run is wanted; it then counts as a run of its task.
    fn keep_adopted(&mut self, node: &NodeName, listed: &RunStatus) -> bool {
        let run = listed.run;
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return false;
        };
        if job.state.is_final() {
            return false;
        }
        let copies = job
            .spec
            .steps
            .get(usize::from(run.task.step))
            .is_some_and(|step| step.speculative);
        let Some(task) = job.task(run.task) else {
            return false;
        };
        task.last_run = task.last_run.max(run.run);
        if task.done || (!task.runs.is_empty() && !copies) {
            return false;
        }
        if !listed.checkpoint.is_empty() {
            task.checkpoint.clone_from(&listed.checkpoint);
        }
        task.runs.push(LiveRun {
            node: node.clone(),
            run: run.run,
            stopping: false,
        });
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
        true
    }

    /// Takes ends that a worker lists.
    pub(super) fn ended(
        &mut self,
        now: Time,
        node: &NodeName,
        life: &WorkerLife,
        ended: &[EndedRun],
        out: &mut Vec<Output>,
    ) {
        let current = self.workers.get(node);
        if !current.is_some_and(|worker| worker.is_life(life)) {
            return;
        }
        for end in ended {
            self.take_end(now, node, end, out);
        }
        self.acknowledge(node, out);
    }

    fn take_end(&mut self, now: Time, node: &NodeName, end: &EndedRun, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        if end.sequence <= worker.seen {
            return;
        }
        worker.seen = end.sequence;
        let load = self.release(node, end.run);
        self.note_duration(now, end, load.as_ref());
        self.stirred = true;
        self.note_health(now, node, end);
        let saved_by = self.note_end(node, end, out);
        if let Some(worker) = self.workers.get_mut(node) {
            let number = end.sequence;
            worker.ends.push_back(PendingEnd { number, saved_by });
        }
    }

    /// Learns from the time that a task worked until it was done.
    fn note_duration(&mut self, now: Time, end: &EndedRun, load: Option<&Load>) {
        let taken = load.and_then(|load| load.worked_by(now));
        let job = self.jobs.get_mut(&end.run.task.job);
        let (EndReason::Done, Some(taken), Some(job)) = (end.reason, taken, job) else {
            return;
        };
        let number = usize::from(end.run.task.step);
        let Some(step) = job.spec.steps.get(number) else {
            return;
        };
        self.durations.done(now, &job.policy.name, step, taken);
        let round = job.rounds.get_mut(end.run.task.round as usize);
        if let Some(run) = round.and_then(|round| round.steps.get_mut(number)) {
            run.run_times.add(taken);
        }
    }

    fn note_health(&mut self, now: Time, node: &NodeName, end: &EndedRun) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        match end.reason {
            EndReason::Failed => worker.failures.failed(now, end.run.task.job),
            EndReason::Done => worker.failures.succeeded(),
            _ => {}
        }
    }

    /// Notes an end in its job; returns the version of the record that holds it.
    fn note_end(
        &mut self,
        node: &NodeName,
        end: &EndedRun,
        out: &mut Vec<Output>,
    ) -> Option<(super::JobId, u64)> {
        let id = end.run.task.job;
        let job = self.jobs.get_mut(&id)?;
        if job.state.is_final() {
            return Some((id, job.version));
        }
        let lasts = job
            .spec
            .steps
            .get(usize::from(end.run.task.step))?
            .long_running;
        let attempts = job.policy.max_attempts as usize;
        let task = job.task(end.run.task)?;
        task.last_run = task.last_run.max(end.run.run);
        task.runs.retain(|run| run.run != end.run.run);
        if !end.checkpoint.is_empty() && !task.done {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        let mut failed = false;
        let mut done = false;
        match end.reason {
            EndReason::Done if !task.done && !lasts => {
                task.done = true;
                done = true;
            }
            EndReason::Failed => {
                task.failed_on = Some(node.clone());
                if !lasts && !task.failed.contains(&end.run.run) {
                    task.failed.push(end.run.run);
                }
                failed = !lasts && !task.done && task.failed.len() >= attempts;
            }
            _ => {}
        }
        job.version += 1;
        self.changed.insert(id);
        let version = job.version;
        if done {
            self.task_done(end.run, out);
        }
        if failed {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.state = JobState::Failed;
            }
            self.close_job(id, out);
        }
        Some((id, version))
    }

    /// Counts a task that is done, and ends its round and job with the last one.
    fn task_done(&mut self, run: RunRef, out: &mut Vec<Output>) {
        let id = run.task.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let spec = job.spec.clone();
        let round = &mut job.rounds[run.task.round as usize];
        let step = &mut round.steps[usize::from(run.task.step)];
        step.remaining -= 1;
        let copies = std::mem::take(&mut step.tasks[run.task.index as usize].runs);
        for copy in copies {
            let task = run.task;
            let copy_run = RunRef {
                task,
                run: copy.run,
            };
            out.push(Output::Order(copy.node, OrderMessage::Stop(copy_run)));
        }
        if spec.steps[usize::from(run.task.step)].gang {
            self.gang_done(run, out);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let round = &job.rounds[run.task.round as usize];
        if !round.is_done() {
            return;
        }
        job.rounds_done += 1;
        if job.rounds_done == spec.rounds() {
            job.state = JobState::Completed;
            self.close_job(id, out);
        }
    }

    /// One end `done` stands for all members of a gang.
    fn gang_done(&mut self, run: RunRef, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let round = &mut job.rounds[run.task.round as usize];
        let step = &mut round.steps[usize::from(run.task.step)];
        for (index, task) in step.tasks.iter_mut().enumerate() {
            if task.done {
                continue;
            }
            task.done = true;
            step.remaining -= 1;
            for live in task.runs.drain(..) {
                let task = super::super::TaskId {
                    index: index as u32,
                    ..run.task
                };
                let member = RunRef {
                    task,
                    run: live.run,
                };
                out.push(Output::Order(live.node, OrderMessage::Stop(member)));
            }
        }
    }

    /// A run was seen on its worker.
    pub(super) fn started(&mut self, run: RunRef) {
        if let Some(job) = self.jobs.get_mut(&run.task.job)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
        }
    }

    /// A run did not start and will not.
    pub(super) fn refused(
        &mut self,
        now: Time,
        node: &NodeName,
        run: RunRef,
        reason: RefusalReason,
    ) {
        if reason == RefusalReason::Unwell
            && let Some(worker) = self.workers.get_mut(node)
        {
            worker.failures.turned_away(now);
        }
        self.gone(node, run);
    }

    /// A run is no longer on its worker, without an end.
    pub(super) fn gone(&mut self, node: &NodeName, run: RunRef) {
        self.release(node, run);
        self.forget_run(node, run);
        self.stirred = true;
    }

    /// Gives the room of a run back.
    fn release(&mut self, node: &NodeName, run: RunRef) -> Option<Load> {
        let worker = self.workers.get_mut(node)?;
        let load = worker.release(run);
        self.contention.occupied(node, worker);
        load
    }

    /// Takes a run off its task, which may start again.
    pub(super) fn forget_run(&mut self, node: &NodeName, run: RunRef) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        if let Some(task) = job.task(run.task) {
            task.runs
                .retain(|live| live.run != run.run || live.node != *node);
        }
    }

    /// Acknowledges the ends of every worker that the store has.
    pub(super) fn acknowledge_all(&mut self, out: &mut Vec<Output>) {
        let nodes: Vec<NodeName> = {
            let waiting = self
                .workers
                .iter()
                .filter(|(_, worker)| !worker.ends.is_empty());
            waiting.map(|(node, _)| node.clone()).collect()
        };
        for node in nodes {
            self.acknowledge(&node, out);
        }
    }

    /// Acknowledges the ends of `node` up to the first that the store does not have.
    fn acknowledge(&mut self, node: &NodeName, out: &mut Vec<Output>) {
        let jobs = &self.jobs;
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let is_saved = |end: &PendingEnd| {
            let Some((id, version)) = end.saved_by else {
                return true;
            };
            jobs.get(&id).is_none_or(|job| job.saved_version >= version)
        };
        let mut last = None;
        while let Some(end) = worker.ends.pop_front_if(|end| is_saved(end)) {
            last = Some(end.number);
        }
        let Some(number) = last else {
            return;
        };
        let Some(life) = worker.report.as_ref().map(|report| report.life.clone()) else {
            return;
        };
        let stored = OrderMessage::AcknowledgeEnds {
            incarnation: life,
            sequence: number,
        };
        out.push(Output::Order(node.clone(), stored));
    }
}
