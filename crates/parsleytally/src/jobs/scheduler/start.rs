//! Places ready steps on workers, the most urgent first.

use super::super::contention::LoadEffects;
use super::super::crashes::needs_isolation;
use super::super::fleet::{Load, WorkTime, Worker};
use super::super::job::{LiveRun, StepRef, StepRun, Task};
use super::super::measured::RunTimeline;
use super::super::place::{Candidates, PlacementRequest, choose_worker};
use super::super::urgency::{Urgency, urgency};
use super::super::{CrashDecision, LastEnd, OrderMessage, Output, RunRef, StartOrder};
use super::crashes::{awaits_save, isolation_end};
use super::pass::Pass;
use super::starving::Offer;
use super::uneven::RackSummary;
use super::{RUNS_PER_EPOCH, Scheduler};
use crate::types::{NodeName, Time};

/// A run to start.
struct RunStart<'a> {
    step: StepRef,
    /// Index of the task within the step.
    index: usize,
    run: u32,
    node: &'a NodeName,
    load: &'a Load,
}

/// A ready step with the load of each of its tasks.
pub(super) struct ReadyStep {
    at: StepRef,
    load: Load,
    /// Effects of a best-effort load on services.
    effects: Option<LoadEffects>,
    /// Whether much work would be lost with a run of a task.
    costly: bool,
    /// Workers whose headroom and limits it may exceed, as its job has waited for long.
    pub(super) starving: Option<Offer>,
    /// Whether it may start on quarantined workers, and on those of low standing.
    pub(super) quarantined: bool,
}

/// Result of placing the waiting tasks of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Placement {
    /// All have started.
    All,
    /// Some wait for a worker on which they can be isolated.
    AwaitsIsolation,
    /// Some wait for their preferred rack, although others have room.
    AwaitsRack,
    /// No worker can take some of them.
    NoRoom,
}

impl Scheduler {
    /// Starts every waiting task for which a worker has enough free resources.
    pub(super) fn place_waiting(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Output>) {
        self.open_rounds(now, wall_ms);
        if !self.zones_permit_starts(now, out) {
            return;
        }
        let mut ready = self.ready_steps(wall_ms);
        ready.sort_by_key(|(urgency, step)| (*urgency, *step));
        let changed = std::mem::take(&mut self.changed_workers);
        let consider_all = std::mem::take(&mut self.full_pass_due);
        let changed = (!consider_all).then_some(changed);
        self.recount_shares(changed.as_ref());
        let mut pass = Pass::new(now, changed);
        if self.shares.is_some() {
            self.place_by_shares(&ready, &mut pass, out);
            if consider_all {
                self.preempt(now, &ready, out);
            }
        } else {
            for (_, step) in &ready {
                self.place_step(*step, usize::MAX, &mut pass, out);
            }
        }
        if consider_all {
            self.place_starving(&mut pass, &ready, out);
            self.start_copies(now, out);
        }
        self.move_out_of_zones(now, out);
    }

    pub(super) fn ready_steps(&self, wall_ms: u64) -> Vec<(Urgency, StepRef)> {
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
                let order = self.options.best_effort.order;
                let urgency = urgency(job, step, &self.durations, order, wall_ms);
                ready.push((urgency, step));
            }
        }
        ready
    }

    /// Starts at most `limit` waiting tasks of a step; returns whether there was a worker for
    /// each. A gang is started as a whole and returns false.
    pub(super) fn place_step(
        &mut self,
        at: StepRef,
        limit: usize,
        pass: &mut Pass,
        out: &mut Vec<Output>,
    ) -> bool {
        let job = &self.jobs[&at.job];
        let Some(load) = job.load(at.step as u16) else {
            return false;
        };
        let blocked = job.step_run(at).blocked;
        let pool = job.policy.service.clone();
        if pass.covers(&load, &pool, blocked) {
            self.set_blocked(at, true);
            return false;
        }
        let spec = job.spec.clone();
        let spec = &spec.steps[at.step];
        let step = self.ready_step(at, load);
        let Some(placement) = self.place_ready(&step, limit, pass, out) else {
            return false;
        };
        self.set_blocked(at, placement != Placement::All);
        // A worker that doesn't take costly tasks may take others.
        let unrestricted =
            spec.required_label.is_none() && spec.max_per_worker == 0 && !step.costly;
        if placement == Placement::NoRoom && unrestricted {
            pass.add_unplaceable(&step.load, &pool, blocked);
        }
        placement == Placement::All
    }

    /// Starts at most `limit` waiting tasks of a step; none for a gang, which starts as a whole.
    pub(super) fn place_ready(
        &mut self,
        step: &ReadyStep,
        limit: usize,
        pass: &mut Pass,
        out: &mut Vec<Output>,
    ) -> Option<Placement> {
        let job = &self.jobs[&step.at.job];
        if job.spec.steps[step.at.step].gang {
            self.place_gang(pass.now, step, out);
            return None;
        }
        // A starving step is offered more than the workers that have changed.
        let blocked = step.starving.is_none() && job.step_run(step.at).blocked;
        Some(self.place_tasks(step, limit, pass, blocked, out))
    }

    pub(super) fn ready_step(&self, at: StepRef, load: Load) -> ReadyStep {
        let effects = load.best_effort.then(|| self.contention.effects(&load));
        let costly = self.is_costly(at);
        ReadyStep {
            at,
            load,
            effects,
            costly,
            starving: None,
            quarantined: false,
        }
    }

    /// Chooses the best worker of those that `may_use` accepts for one more run of the task
    /// `index`.
    pub(super) fn choose_elsewhere(
        &self,
        now: Time,
        at: StepRef,
        index: usize,
        may_use: impl Fn(&NodeName, &Worker) -> bool,
    ) -> Option<NodeName> {
        let load = self.jobs[&at.job].load(at.step as u16)?;
        let step = self.ready_step(at, load);
        let usable = self
            .workers
            .iter()
            .filter(|(name, worker)| may_use(name, worker));
        let run = self.step_run(at);
        let request = self.request(&step, Some(&run.tasks[index]));
        choose_worker(usable, &request, run, now).cloned()
    }

    /// Starts one more run of a task on `node`, beside another.
    pub(super) fn start_copy(
        &mut self,
        now: Time,
        at: StepRef,
        index: usize,
        node: &NodeName,
        out: &mut Vec<Output>,
    ) -> RunRef {
        let load = self.jobs[&at.job].load(at.step as u16).unwrap_or_default();
        let run = self.next_run_number(at, index);
        let start = RunStart {
            step: at,
            index,
            run,
            node,
            load: &load,
        };
        self.start_run(now, &start, out);
        RunRef {
            task: at.task(index),
            run,
        }
    }

    fn set_blocked(&mut self, at: StepRef, blocked: bool) {
        if let Some(job) = self.jobs.get_mut(&at.job) {
            job.rounds[at.round].steps[at.step].blocked = blocked;
        }
    }

    /// Starts at most `limit` waiting tasks of a step.
    fn place_tasks(
        &mut self,
        step: &ReadyStep,
        limit: usize,
        pass: &mut Pass,
        blocked: bool,
        out: &mut Vec<Output>,
    ) -> Placement {
        let mut racks = RackSummary::default();
        let placement = self.place_each(step, limit, pass, blocked, &mut racks, out);
        racks.emit(out);
        placement
    }

    fn place_each(
        &mut self,
        step: &ReadyStep,
        limit: usize,
        pass: &mut Pass,
        blocked: bool,
        racks: &mut RackSummary,
        out: &mut Vec<Output>,
    ) -> Placement {
        let now = pass.now;
        let mut placement = Placement::All;
        let waiting: Vec<usize> = self.startable_tasks(step.at).collect();
        if waiting.is_empty() {
            return placement;
        }
        let workers = self.offered_workers(step, pass, blocked);
        let run = self.step_run(step.at);
        let mut candidates = Candidates::new(workers, &self.request(step, None), run, now);
        let mut started = 0;
        for index in waiting {
            if started == limit {
                break;
            }
            let run = self.step_run(step.at);
            let task = &run.tasks[index];
            if awaits_save(&self.jobs[&step.at.job], task) {
                placement = placement.max(Placement::AwaitsIsolation);
                continue;
            }
            let request = self.request(step, Some(task));
            let isolated = request.isolated;
            let node = if isolated {
                self.choose_isolated(now, step, index)
            } else if task.last_failed_on().is_none() {
                candidates.choose(&self.workers, &request, run, now)
            } else {
                let workers = self.offered_workers(step, pass, blocked);
                choose_worker(workers, &request, run, now).cloned()
            };
            let waits = step.starving.is_none()
                && self.waits_for_rack(step.at, index, node.as_ref(), pass, racks);
            let Some(node) = node else {
                if isolated {
                    placement = placement.max(Placement::AwaitsIsolation);
                    continue;
                }
                placement = Placement::NoRoom;
                if waits {
                    continue;
                }
                break;
            };
            if waits {
                placement = Placement::AwaitsRack;
                self.offer(step, &node, &mut candidates, now);
                continue;
            }
            let start = RunStart {
                step: step.at,
                index,
                run: self.next_run_number(step.at, index),
                node: &node,
                load: &step.load,
            };
            self.start_run(now, &start, out);
            started += 1;
            self.offer(step, &node, &mut candidates, now);
        }
        placement
    }

    /// Workers that are considered for a step.
    fn offered_workers<'a>(
        &'a self,
        step: &ReadyStep,
        pass: &'a Pass,
        blocked: bool,
    ) -> Box<dyn Iterator<Item = (&'a NodeName, &'a Worker)> + 'a> {
        match step.starving {
            Some(offer) => Box::new(offer.workers(&self.workers)),
            None => pass.workers(&self.workers, blocked),
        }
    }

    /// Makes the worker `node` a candidate again if it can take another task.
    fn offer(&self, step: &ReadyStep, node: &NodeName, candidates: &mut Candidates, now: Time) {
        let (request, run) = (self.request(step, None), self.step_run(step.at));
        candidates.offer(node, &self.workers[node], &request, run, now);
    }

    /// Chooses the worker for a task in isolation; one with recent starts if it has waited for long.
    fn choose_isolated(&mut self, now: Time, step: &ReadyStep, index: usize) -> Option<NodeName> {
        let choose = |scheduler: &Self, isolated| {
            let run = scheduler.step_run(step.at);
            let request = PlacementRequest {
                isolated,
                ..scheduler.request(step, Some(&run.tasks[index]))
            };
            choose_worker(scheduler.workers.iter(), &request, run, now).cloned()
        };
        let quiet = choose(self, true);
        if quiet.is_none() && self.isolation_wait_over(now, step.at, index) {
            return choose(self, false);
        }
        quiet
    }

    /// Starts all members of a gang with the same run number, or none of them.
    fn place_gang(&mut self, now: Time, step: &ReadyStep, out: &mut Vec<Output>) {
        let tasks = &self.step_run(step.at).tasks;
        let members = tasks.len();
        let job = &self.jobs[&step.at.job];
        let may_start = |(index, task): (usize, &Task)| {
            task.needs_run() && !awaits_save(job, task) && self.may_start_task(step.at.task(index))
        };
        if !tasks.iter().enumerate().all(may_start) {
            return;
        }
        let run = (0..members)
            .map(|index| self.next_run_number(step.at, index))
            .max();
        let run = run.unwrap_or(1);
        let mut started = Vec::new();
        let mut rack = None;
        for index in 0..members {
            let Some(node) = self.choose_for_member(now, step, index, rack.as_deref()) else {
                self.roll_back_gang(step.at, run, &started);
                return;
            };
            if rack.is_none() {
                rack = self
                    .workers
                    .get(&node)
                    .and_then(|worker| worker.rack().cloned());
            }
            let start = RunStart {
                step: step.at,
                index,
                run,
                node: &node,
                load: &step.load,
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
            if let Some(load) = self.release(node, run) {
                self.refund_share(node, step, &load);
            }
            self.remove_run(node, run);
        }
    }

    /// Chooses the worker for a gang member, in `shared_rack` if the gang must share one.
    fn choose_for_member(
        &self,
        now: Time,
        step: &ReadyStep,
        index: usize,
        shared_rack: Option<&str>,
    ) -> Option<NodeName> {
        let run = self.step_run(step.at);
        let mut request = self.request(step, Some(&run.tasks[index]));
        request.shared_rack = shared_rack.filter(|_| request.step.same_rack);
        let quiet = choose_worker(self.workers.iter(), &request, run, now);
        // A gang that waited for one member would hold back the others.
        request.isolated = false;
        let node = quiet.or_else(|| choose_worker(self.workers.iter(), &request, run, now));
        node.cloned()
    }

    /// Request for a worker for `task` of `step`; for none, one that has not failed.
    pub(super) fn request<'a>(
        &'a self,
        step: &'a ReadyStep,
        task: Option<&'a Task>,
    ) -> PlacementRequest<'a> {
        let job = &self.jobs[&step.at.job];
        PlacementRequest {
            contention: &self.contention,
            job: step.at.job,
            policy: &job.policy,
            step: &job.spec.steps[step.at.step],
            load: &step.load,
            effects: step.effects.as_ref(),
            cpu_limit: self.options.best_effort.cpu_limit,
            failed_on: task.and_then(Task::last_failed_on),
            costly: step.costly,
            starving: step.starving.is_some(),
            quarantined: step.quarantined,
            isolated: task.is_some_and(|task| needs_isolation(&task.crashes)),
            shared_rack: None,
        }
    }

    pub(super) fn step_run(&self, at: StepRef) -> &StepRun {
        self.jobs[&at.job].step_run(at)
    }

    /// Indexes of the waiting tasks of a step that no agent of the predecessor may run.
    pub(super) fn startable_tasks(&self, at: StepRef) -> impl Iterator<Item = usize> {
        let waiting = self.step_run(at).waiting_tasks();
        waiting.filter(move |index| self.may_start_task(at.task(*index)))
    }

    fn next_run_number(&self, step: StepRef, index: usize) -> u32 {
        let task = &self.step_run(step).tasks[index];
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
        let task = &self.step_run(step).tasks[index];
        let from_scratch = task.checkpoint.is_empty();
        let isolation_end = isolation_end(now, task);
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let Some(report) = &worker.report else {
            return;
        };
        let (incarnation, capacity) = (report.incarnation.clone(), report.capacity);
        if load.best_effort {
            self.contention.start_trials(now, node, worker, load);
        }
        let mut load = load.clone();
        if from_scratch {
            load.work_time = Some(WorkTime::starting_at(now));
        }
        load.timeline = RunTimeline::ordered_at(now);
        worker.health.started(run);
        worker.reserve(run, &load);
        worker.isolation.note_start(now, run, isolation_end);
        if load.shares_processors() {
            self.contention.update_headrooms(node, worker);
        }
        self.charge_share(node, step, &load);
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let payload = job.spec.payload.clone();
        let target_ms = job.spec.steps[step.step].target_ms;
        let step_run = &mut job.rounds[step.round].steps[step.step];
        let task = &mut step_run.tasks[index];
        task.last_run = run.run;
        if let Some(last_end) = task.last_end.filter(is_unlisted) {
            out.push(Output::Crash(CrashDecision::StartedAgain {
                run,
                node: node.clone(),
                last_end,
                crashes: task.crashes.len(),
                isolated: isolation_end.is_some(),
            }));
        }
        task.waiting_since = None;
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
            capacity,
            zones_read: self.evacuation.read_at().map(Time::as_micros),
        };
        out.push(Output::Order(node.clone(), OrderMessage::Start(order)));
        if load.best_effort {
            self.throttle_start(now, run, node, out);
        }
    }
}

/// Whether a run ended otherwise than by an end that the worker listed.
fn is_unlisted(end: &LastEnd) -> bool {
    !matches!(end, LastEnd::Listed(_))
}
