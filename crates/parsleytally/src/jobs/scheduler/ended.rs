//! Processes ended runs, and the runs that workers list after a change of the owner.

use std::collections::HashSet;

use super::super::fleet::{Load, PendingAck, Worker};
use super::super::job::{LiveRun, Task};
use super::super::{
    EndReason, EndedRun, JobState, LastEnd, ListingOutcome, OrderMessage, Output, RefusalReason,
    RunRef, RunStatus, WorkerIncarnation, WorkerState, WorkersDecision,
};
use super::Scheduler;
use crate::types::{NodeName, Time};

/// Refused starts of a task from which on a refusal for want of room or time pauses its worker too.
const PAUSING_REFUSALS: u32 = 2;

/// Whether a worker that refused a start for `reason` gets none for a while; `again` if the task was
/// refused before.
fn pauses_worker(reason: RefusalReason, again: bool) -> bool {
    match reason {
        RefusalReason::Unwell | RefusalReason::OldRead => true,
        // These are due to the order, not to the worker.
        RefusalReason::Old | RefusalReason::Invalid => false,
        _ => again,
    }
}

impl Scheduler {
    /// Reconciles all runs that a worker lists with those that were placed on it.
    pub(super) fn reconcile(
        &mut self,
        now: Time,
        node: &NodeName,
        incarnation: &WorkerIncarnation,
        running: &[RunStatus],
        ended: &[EndedRun],
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        if !worker.is_incarnation(incarnation) {
            return;
        }
        worker.listed = true;
        worker.known = true;
        worker.runs_expire_at = None;
        out.push(Output::Order(node.clone(), OrderMessage::ListingKnown));
        worker.expect_all_ends();
        if worker.unresponsive {
            self.set_unresponsive(now, node, false);
        }
        let Some(worker) = self.workers.get(node) else {
            return;
        };
        let placed: Vec<RunRef> = worker.runs.keys().copied().collect();
        self.handle_ended(now, node, incarnation, ended, out);
        let runs: HashSet<RunRef> = running.iter().map(|task| task.run).collect();
        let mut outcome = ListingOutcome::default();
        for run in placed {
            if !runs.contains(&run) {
                self.run_missing(node, run, LastEnd::Missing);
                outcome.missing += 1;
            }
        }
        for task in running {
            self.adopt(node, task, &mut outcome, out);
            self.send_description(node, task.run, out);
        }
        out.push(Output::Reconciled(node.clone(), outcome));
        let state = self.workers.get(node).and_then(Worker::state);
        if let Some(WorkerState::Draining { remaining_ms }) = state {
            self.drain(now, node, remaining_ms, out);
        }
        if let Some(worker) = self.workers.get(node) {
            self.contention.update_headrooms(node, worker);
        }
        self.agent_reported(node);
        self.pass_due = true;
    }

    /// Sends an agent the attributes of a run that it found on its worker.
    fn send_description(&self, node: &NodeName, run: RunRef, out: &mut Vec<Output>) {
        let job = self.jobs.get(&run.task.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(run.task.step)));
        if let Some(step) = step
            && (step.best_effort || step.target_ms > 0)
        {
            let description = OrderMessage::Describe {
                run,
                target_ms: step.target_ms,
                best_effort: step.best_effort,
            };
            out.push(Output::Order(node.clone(), description));
        }
    }

    /// Keeps or adopts a run that a worker lists, or stops it.
    ///
    /// An earlier order to stop it may have been lost together with its link.
    fn adopt(
        &mut self,
        node: &NodeName,
        listed: &RunStatus,
        outcome: &mut ListingOutcome,
        out: &mut Vec<Output>,
    ) {
        let run = listed.run;
        let known = self.workers.get_mut(node);
        if let Some(load) = known.and_then(|worker| worker.runs.get_mut(&run)) {
            load.listed = true;
            if let Some(worker) = self.workers.get_mut(node) {
                worker.failures.record_start();
            }
            if self.is_needed(node, run) {
                self.mark_started(run);
                outcome.kept += 1;
            } else {
                outcome.stopped += 1;
                out.push(Output::Order(node.clone(), OrderMessage::Stop(run)));
            }
            return;
        }
        let load = self.jobs.get(&run.task.job);
        let load = load.and_then(|job| job.load(run.task.step));
        let mut load = load.unwrap_or_default();
        load.cpu_share = None;
        load.listed = true;
        load.progress_percent = listed.percent;
        if let Some(worker) = self.workers.get_mut(node) {
            worker.reserve(run, &load);
        }
        if self.add_adopted(node, listed) {
            outcome.adopted += 1;
        } else {
            outcome.stopped += 1;
            out.push(Output::Order(node.clone(), OrderMessage::Stop(run)));
        }
    }

    /// Whether a task needs this run and it was not ordered to stop.
    fn is_needed(&mut self, node: &NodeName, run: RunRef) -> bool {
        let job = self.jobs.get_mut(&run.task.job);
        let task = job.and_then(|job| job.task(run.task));
        let live = task.and_then(|task| task.run_on(node, run.run));
        live.is_some_and(|live| !live.stopping)
    }

    /// Adds an unknown run to its task; returns false if the task doesn't need it.
    fn add_adopted(&mut self, node: &NodeName, listed: &RunStatus) -> bool {
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
        job.save_checkpoint(run, &listed.checkpoint);
        let Some(task) = job.task(run.task) else {
            return false;
        };
        task.last_run = task.last_run.max(run.run);
        if task.done || (!task.runs.is_empty() && !copies) {
            return false;
        }
        task.runs.push(LiveRun {
            node: node.clone(),
            run: run.run,
            stopping: false,
        });
        job.note_begun();
        true
    }

    /// Processes ended runs that a worker lists.
    pub(super) fn handle_ended(
        &mut self,
        now: Time,
        node: &NodeName,
        incarnation: &WorkerIncarnation,
        ended: &[EndedRun],
        out: &mut Vec<Output>,
    ) {
        let current = self.workers.get(node);
        if !current.is_some_and(|worker| worker.is_incarnation(incarnation)) {
            return;
        }
        for ended_run in ended {
            self.process_ended(now, node, ended_run, out);
        }
        self.acknowledge(node, out);
    }

    fn process_ended(
        &mut self,
        now: Time,
        node: &NodeName,
        ended_run: &EndedRun,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        if ended_run.sequence <= worker.last_ended {
            return;
        }
        worker.last_ended = ended_run.sequence;
        let load = self.release(node, ended_run.run);
        self.end_seen(ended_run.run, load.is_some());
        self.pass_due = true;
        self.record_health(now, node, ended_run, load.as_ref());
        self.learn_from_end(now, node, ended_run, load.as_ref());
        self.record_duration(now, ended_run, load.as_ref());
        self.account_run(now, ended_run, load.as_ref());
        let mut unsettled = self.runs_beside(ended_run);
        if let Some(worker) = self.workers.get_mut(node) {
            let awaited = worker.awaited_runs.remove(&ended_run.sequence);
            unsettled.extend(awaited.into_iter().flatten());
        }
        self.acks_held |= !unsettled.is_empty();
        let saved_by = self.record_ended(now, node, ended_run, out);
        if let Some(worker) = self.workers.get_mut(node) {
            worker.pending_acks.push_back(PendingAck {
                number: ended_run.sequence,
                saved_by,
                unsettled,
                done: (ended_run.reason == EndReason::Done).then_some(ended_run.run.task),
            });
        }
    }

    /// Runs of the same task beside one that is done, with their agents.
    fn runs_beside(&mut self, ended_run: &EndedRun) -> Vec<(NodeName, RunRef)> {
        let RunRef { task: id, run } = ended_run.run;
        let job = self.jobs.get_mut(&id.job);
        let Some(task) = job.and_then(|job| job.task(id)) else {
            return Vec::new();
        };
        if ended_run.reason != EndReason::Done || task.done {
            return Vec::new();
        }
        let others = task.runs.iter().filter(|live| live.run != run);
        let named = others.map(|live| {
            let run = live.run;
            (live.node.clone(), RunRef { task: id, run })
        });
        named.collect()
    }

    /// Updates the expected durations with the work time of a task that is done.
    fn record_duration(&mut self, now: Time, ended_run: &EndedRun, load: Option<&Load>) {
        let work_time = load.and_then(|load| load.work_time_at(now));
        let job = self.jobs.get_mut(&ended_run.run.task.job);
        let (EndReason::Done, Some(work_time), Some(job)) = (ended_run.reason, work_time, job)
        else {
            return;
        };
        let step_index = usize::from(ended_run.run.task.step);
        let Some(step) = job.spec.steps.get(step_index) else {
            return;
        };
        self.durations
            .record(now, &job.policy.name, step, work_time);
        let (pool, queue) = (&job.policy.service, &job.policy.name);
        self.forecasts
            .completed
            .record(now, pool, queue, step, work_time);
        let round = job.rounds.get_mut(ended_run.run.task.round as usize);
        if let Some(run) = round.and_then(|round| round.steps.get_mut(step_index)) {
            run.run_times.add(work_time);
        }
    }

    fn record_health(
        &mut self,
        now: Time,
        node: &NodeName,
        ended_run: &EndedRun,
        load: Option<&Load>,
    ) {
        let job = ended_run.run.task.job;
        let ordered = load.and_then(|load| load.timeline.ordered);
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        match ended_run.reason {
            EndReason::Failed => worker.failures.record_failure(now, job, ordered),
            EndReason::Done => worker.failures.record_success(),
            _ => {}
        }
    }

    /// Records an ended run in its job; returns the job and the version of the record that
    /// includes it.
    fn record_ended(
        &mut self,
        now: Time,
        node: &NodeName,
        ended_run: &EndedRun,
        out: &mut Vec<Output>,
    ) -> Option<(super::JobId, u64)> {
        let id = ended_run.run.task.job;
        let job = self.jobs.get_mut(&id)?;
        if job.state.is_final() {
            return Some((id, job.version));
        }
        job.note_begun();
        let long_running = job
            .spec
            .steps
            .get(usize::from(ended_run.run.task.step))?
            .long_running;
        let attempts = job.policy.max_attempts as usize;
        job.save_checkpoint(ended_run.run, &ended_run.checkpoint);
        let task = job.task(ended_run.run.task)?;
        task.last_run = task.last_run.max(ended_run.run.run);
        task.runs.retain(|run| run.run != ended_run.run.run);
        task.last_end = Some(LastEnd::Listed(ended_run.reason));
        let mut failed = false;
        let mut done = false;
        match ended_run.reason {
            EndReason::Done if !task.done && !long_running => {
                task.done = true;
                done = true;
            }
            EndReason::Failed => {
                task.failed_on = Some(node.clone());
                if !long_running && !task.failed.contains(&ended_run.run.run) {
                    task.failed.push(ended_run.run.run);
                }
                failed = !long_running && !task.done && task.failed.len() >= attempts;
            }
            _ => {}
        }
        job.version += 1;
        self.changed.insert(id);
        let version = job.version;
        if done {
            self.complete_task(now, ended_run.run, out);
        }
        if failed {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.state = JobState::Failed;
            }
            self.close_job(id, out);
        }
        Some((id, version))
    }

    /// Counts a finished task, and completes its round and job after the last one.
    fn complete_task(&mut self, now: Time, run: RunRef, out: &mut Vec<Output>) {
        let id = run.task.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let spec = job.spec.clone();
        let round = &mut job.rounds[run.task.round as usize];
        let step = &mut round.steps[usize::from(run.task.step)];
        step.remaining -= 1;
        let copies = std::mem::take(&mut step.tasks[run.task.index as usize].runs);
        if let Some(first) = copies.iter().map(|copy| copy.run).min() {
            let copy_won = run.run > first;
            out.push(Output::Workers(WorkersDecision::CopiesEnded {
                run,
                copy_won,
            }));
        }
        for copy in copies {
            let task = run.task;
            let copy_run = RunRef {
                task,
                run: copy.run,
            };
            out.push(Output::Order(copy.node, OrderMessage::Stop(copy_run)));
        }
        if spec.steps[usize::from(run.task.step)].gang {
            self.complete_gang(run, out);
        }
        self.account_done(now, run);
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

    /// Completes all members of a gang once one of them is done.
    fn complete_gang(&mut self, run: RunRef, out: &mut Vec<Output>) {
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

    /// Notes that a worker was seen to have a run: its task and step no longer wait.
    pub(super) fn run_seen(&mut self, run: RunRef) {
        let job = self.jobs.get_mut(&run.task.job);
        let Some(step) = job.and_then(|job| job.step_of(run.task)) else {
            return;
        };
        step.wait = None;
        if let Some(task) = step.tasks.get_mut(run.task.index as usize) {
            task.idle_since = None;
            task.isolation_due = None;
            task.vain_starts = 0;
        }
    }

    /// Ends the wait of a run's task, unless the end was seen before: an end is listed on each new
    /// link until the store has it. `was_known` tells whether the run counted as in progress.
    fn end_seen(&mut self, run: RunRef, was_known: bool) {
        let job = self.jobs.get_mut(&run.task.job);
        let Some(task) = job.and_then(|job| job.task(run.task)) else {
            return;
        };
        let is_new = was_known || run.run > task.last_ended;
        task.last_ended = task.last_ended.max(run.run);
        if is_new {
            self.run_seen(run);
        }
    }

    /// Marks the job of a run as running once a worker is known to have begun the run.
    pub(super) fn mark_started(&mut self, run: RunRef) {
        self.run_seen(run);
        if let Some(job) = self.jobs.get_mut(&run.task.job) {
            job.note_begun();
        }
    }

    /// Handles a run that did not start and will not.
    pub(super) fn start_refused(
        &mut self,
        now: Time,
        node: &NodeName,
        run: RunRef,
        reason: RefusalReason,
    ) {
        self.run_missing(node, run, LastEnd::Refused(reason));
        let job = self.jobs.get_mut(&run.task.job);
        let task = job.and_then(|job| job.task(run.task));
        let again = task.is_some_and(|task| task.vain_starts >= PAUSING_REFUSALS);
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        worker.failures.record_refusal();
        if pauses_worker(reason, again) {
            worker.failures.pause_after_refusal(now);
        }
    }

    /// Handles a run that is missing on its worker but was not listed as ended.
    pub(super) fn run_missing(&mut self, node: &NodeName, run: RunRef, end: LastEnd) {
        let load = self.release(node, run);
        self.detach_run(node, run, end);
        if load.is_some_and(|load| !load.listed) {
            self.count_vain_start(run);
        }
        self.pass_due = true;
    }

    /// Counts a start of which no worker was seen to have a run.
    pub(super) fn count_vain_start(&mut self, run: RunRef) {
        let job = self.jobs.get_mut(&run.task.job);
        if let Some(task) = job.and_then(|job| job.task(run.task)) {
            task.vain_starts = task.vain_starts.saturating_add(1);
        }
    }

    /// Releases the resources of a run.
    pub(super) fn release(&mut self, node: &NodeName, run: RunRef) -> Option<Load> {
        let worker = self.workers.get_mut(node)?;
        let load = worker.release(run)?;
        self.acks_due |= self.acks_held;
        if load.shares_processors() {
            self.contention.update_headrooms(node, worker);
        }
        Some(load)
    }

    /// Removes a run from its task, so that the task can start again.
    pub(super) fn detach_run(&mut self, node: &NodeName, run: RunRef, end: LastEnd) {
        if let Some(task) = self.remove_run(node, run) {
            task.last_end = Some(end);
        }
    }

    /// Removes a run from its task; returns the task if it had the run.
    pub(super) fn remove_run(&mut self, node: &NodeName, run: RunRef) -> Option<&mut Task> {
        let task = self.jobs.get_mut(&run.task.job)?.task(run.task)?;
        let runs = task.runs.len();
        task.runs
            .retain(|live| live.run != run.run || live.node != *node);
        (task.runs.len() < runs).then_some(task)
    }

    /// Acknowledges the ended runs of every worker, as far as the store has them.
    pub(super) fn acknowledge_all(&mut self, out: &mut Vec<Output>) {
        let nodes: Vec<NodeName> = {
            let unacknowledged = self
                .workers
                .iter()
                .filter(|(_, worker)| !worker.pending_acks.is_empty());
            unacknowledged.map(|(node, _)| node.clone()).collect()
        };
        for node in nodes {
            self.acknowledge(&node, out);
        }
        let is_held = |ack: &PendingAck| !ack.unsettled.is_empty();
        let mut workers = self.workers.values();
        self.acks_held = workers.any(|worker| worker.pending_acks.iter().any(is_held));
    }

    /// Whether the store has the end, and no further run of its task can start any more.
    fn is_ready(&self, node: &NodeName, ack: &PendingAck) -> bool {
        let is_saved = ack.saved_by.is_none_or(|(id, version)| {
            let job = self.jobs.get(&id);
            job.is_none_or(|job| job.saved_version >= version)
        });
        let is_placed = |(node, run): &(NodeName, RunRef)| {
            let worker = self.workers.get(node);
            worker.is_some_and(|worker| worker.runs.contains_key(run))
        };
        let may_follow = |task| self.unreported.is_named_beside(node, task);
        is_saved && !ack.unsettled.iter().any(is_placed) && !ack.done.is_some_and(may_follow)
    }

    /// Acknowledges the ended runs of `node`, up to the first that the store does not have.
    fn acknowledge(&mut self, node: &NodeName, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get(node) else {
            return;
        };
        let pending = worker.pending_acks.iter();
        let ready = pending.take_while(|ack| self.is_ready(node, ack)).count();
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let Some(number) = worker
            .pending_acks
            .drain(..ready)
            .next_back()
            .map(|ack| ack.number)
        else {
            return;
        };
        let Some(incarnation) = worker.incarnation().cloned() else {
            return;
        };
        let stored = OrderMessage::AcknowledgeEnds {
            incarnation,
            sequence: number,
        };
        out.push(Output::Order(node.clone(), stored));
    }
}
