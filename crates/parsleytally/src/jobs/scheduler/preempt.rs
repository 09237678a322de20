//! Preempts runs of queues with lower priority for tasks that no worker can take.
//!
//! State is only in the runs that were ordered to stop: their resources count as free for
//! the next tasks, so that one task never preempts for another time, and a new owner, which
//! knows of no stop, decides anew by the runs that the workers list.

use std::collections::BTreeMap;

use super::super::fleet::{Load, Worker};
use super::super::job::{MILLI, StepRef, StepRun, Task};
use super::super::preempt::{Choice, Room, Victim, choose};
use super::super::urgency::Urgency;
use super::super::{Output, QueueName, QueuePolicy, RunRef, StepSpec};
use super::Scheduler;
use super::throttle::NEARLY_DONE_PERCENT;
use crate::types::{NodeName, Resources, Time};

/// Tasks for which runs may be preempted in one pass; passes with preemption are as far
/// apart as two ticks. This bounds the cost, and the damage by wrong measurements.
const MAX_TASKS: usize = 16;
/// A whole in percent.
const PERCENT: f64 = 100.0;

/// Weighted shares of the queues once all runs that were ordered to stop have ended and the
/// tasks for which they stop have started, in millionths.
type FutureShares = BTreeMap<QueueName, u64>;

impl Scheduler {
    /// Preempts runs for the steps of `ready` that still wait, the most urgent first.
    pub(super) fn preempt(
        &mut self,
        now: Time,
        ready: &[(Urgency, StepRef)],
        out: &mut Vec<Output>,
    ) {
        if !self.shares.as_ref().is_some_and(|s| s.config.preempt) {
            return;
        }
        let mut pools = BTreeMap::new();
        let mut tasks = MAX_TASKS;
        for (urgency, at) in ready {
            if tasks == 0 {
                return;
            }
            if !urgency.has_value() || !self.may_preempt(*at) {
                continue;
            }
            let pool = self.jobs[&at.job].policy.service.clone();
            let (rooms, shares) = pools
                .entry(pool)
                .or_insert_with_key(|pool| self.rooms(now, pool));
            tasks -= self.preempt_for_step(*at, tasks, rooms, shares, out);
        }
    }

    /// Whether runs may be preempted for a step: it waits and reserves its resources.
    fn may_preempt(&self, at: StepRef) -> bool {
        let job = &self.jobs[&at.job];
        let step = &job.spec.steps[at.step];
        !step.best_effort && !step.gang && self.startable_tasks(at).next().is_some()
    }

    /// Preempts runs for at most `limit` tasks of a step; returns how many were considered.
    fn preempt_for_step(
        &mut self,
        at: StepRef,
        limit: usize,
        rooms: &mut [Room],
        shares: &mut FutureShares,
        out: &mut Vec<Output>,
    ) -> usize {
        let Some(own) = &self.shares else {
            return 0;
        };
        let job = &self.jobs[&at.job];
        let policy = job.policy.clone();
        let spec = job.spec.clone();
        let step = &spec.steps[at.step];
        let quota = if step.long_running {
            usize::MAX
        } else {
            own.quota_room(&policy.service, &policy.name, &step.need)
        };
        let task_share = own.weighted_task(&policy.service, &policy.name, &step.need);
        let present_share = own.weighted(&policy.service, &policy.name);
        let waiting = self.startable_tasks(at).count();
        let tasks = waiting.min(limit).min(quota);
        for considered in 0..tasks {
            let own_share = shares.get(&policy.name).copied().unwrap_or(present_share);
            let own_share = own_share.saturating_add(task_share);
            let choice = choose(
                rooms,
                &step.need,
                |room| self.may_use(at, step, room),
                |victim| {
                    let share = shares.get(&victim.queue).copied().unwrap_or(0);
                    let keeps = share.saturating_sub(victim.share) >= own_share;
                    (step.long_running || keeps) && self.may_be_preempted(&policy, victim)
                },
            );
            let Some(choice) = choice else {
                return considered + 1;
            };
            if !step.long_running {
                shares.insert(policy.name.clone(), own_share);
            }
            self.apply(&choice, &step.need, &policy, rooms, shares, out);
        }
        tasks
    }

    /// Whether a worker has the label that a step requires and fewer of its tasks than allowed.
    fn may_use(&self, at: StepRef, step: &StepSpec, room: &Room) -> bool {
        let worker = self.workers.get(&room.node);
        let label = step.required_label.as_deref();
        if !label.is_none_or(|label| worker.is_some_and(|worker| worker.has_label(label))) {
            return false;
        }
        let runs = self.step_run(at).tasks.iter().flat_map(|task| &task.runs);
        let placed = runs.filter(|run| run.node == room.node).count();
        step.max_per_worker == 0 || placed < step.max_per_worker as usize
    }

    /// Whether a run has a lower priority than `policy`, and its step may lose another task.
    fn may_be_preempted(&self, policy: &QueuePolicy, victim: &Victim) -> bool {
        let Some(job) = self.jobs.get(&victim.run.task.job) else {
            return false;
        };
        let round = job.rounds.get(victim.run.task.round as usize);
        let index = usize::from(victim.run.task.step);
        let (Some(round), Some(step)) = (round, job.spec.steps.get(index)) else {
            return false;
        };
        job.policy.priority > policy.priority && may_lose_task(step, &round.steps[index])
    }

    /// Stops the chosen runs and reserves the room for the task.
    fn apply(
        &mut self,
        choice: &Choice,
        need: &Resources,
        policy: &QueuePolicy,
        rooms: &mut [Room],
        shares: &mut FutureShares,
        out: &mut Vec<Output>,
    ) {
        let room = &mut rooms[choice.room];
        let mut indexes = choice.victims.clone();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        for index in indexes {
            let victim = room.victims.swap_remove(index);
            room.free = room.free.saturating_add(&victim.freed);
            if let Some(share) = shares.get_mut(&victim.queue) {
                *share = share.saturating_sub(victim.share);
            }
            out.push(Output::Preempted {
                node: room.node.clone(),
                run: victim.run,
                queue: victim.queue,
                by: policy.name.clone(),
                percent: victim.percent,
                lost_cpu_ms: victim.lost,
            });
            self.stop_run(victim.run, out);
        }
        room.free = room.free.saturating_sub(need);
    }

    /// Workers of a pool that accept tasks, and the future shares of its queues.
    fn rooms(&self, now: Time, pool: &str) -> (Vec<Room>, FutureShares) {
        let mut shares = FutureShares::new();
        let mut rooms = Vec::new();
        for (node, worker) in &self.workers {
            let service = worker.report.as_ref().map(|report| &*report.service);
            if service == Some(pool) {
                let room = self.room(now, pool, node, worker, &mut shares);
                rooms.extend(worker.accepts_tasks(now).then_some(room));
            }
        }
        (rooms, shares)
    }

    /// A worker with its runs that may be preempted; corrects the shares of the queues by the
    /// runs that stop.
    fn room(
        &self,
        now: Time,
        pool: &str,
        node: &NodeName,
        worker: &Worker,
        future: &mut FutureShares,
    ) -> Room {
        let mut room = Room {
            node: node.clone(),
            free: worker.free(),
            victims: Vec::new(),
        };
        for (run, load) in &worker.runs {
            let Some((victim, stops)) = self.victim(now, pool, node, *run, load) else {
                continue;
            };
            let share = future.entry(victim.queue.clone());
            let current = || {
                let shares = self.shares.as_ref();
                shares.map_or(0, |shares| shares.weighted(pool, &victim.queue))
            };
            let share = share.or_insert_with(current);
            if stops {
                *share = share.saturating_sub(victim.share);
                room.free = room.free.saturating_add(&victim.freed);
            } else if victim.percent < NEARLY_DONE_PERCENT {
                room.victims.push(victim);
            }
        }
        room
    }

    /// A run that is neither long-running nor in a gang, and whether it stops already.
    fn victim(
        &self,
        now: Time,
        pool: &str,
        node: &NodeName,
        run: RunRef,
        load: &Load,
    ) -> Option<(Victim, bool)> {
        let job = self.jobs.get(&run.task.job)?;
        let index = usize::from(run.task.step);
        let step = job.spec.steps.get(index)?;
        let step_run = job.rounds.get(run.task.round as usize)?.steps.get(index)?;
        let task = step_run.tasks.get(run.task.index as usize)?;
        let mut live = task.runs.iter();
        let live = live.find(|live| live.run == run.run && live.node == *node)?;
        if step.long_running || step.gang || load.target_ms > 0 {
            return None;
        }
        let expected = self.durations.expected_ms(&job.policy.name, step, step_run);
        let done_ms = done_work_ms(now, load, expected);
        let mut freed = load.need;
        if load.best_effort {
            freed.cpu.0 = 0;
        }
        let shares = self.shares.as_ref()?;
        let cores = load.need.cpu.0 as f64 / MILLI;
        let victim = Victim {
            run,
            queue: job.policy.name.clone(),
            freed,
            share: shares.weighted_task(pool, &job.policy.name, &load.need),
            lost: if step.checkpoints {
                0
            } else {
                (done_ms as f64 * cores) as u64
            },
            percent: done_percent(now, load, expected),
        };
        Some((victim, live.stopping))
    }
}

/// Whether one more task of a step may be unavailable; a limit of 0 is none for tasks that
/// end by themselves.
fn may_lose_task(step: &StepSpec, run: &StepRun) -> bool {
    if step.max_unavailable == 0 {
        return true;
    }
    let available = |task: &&Task| task.done || task.runs.iter().any(|live| !live.stopping);
    let unavailable = run.tasks.len() - run.tasks.iter().filter(available).count();
    unavailable < step.max_unavailable as usize
}

/// Work time of a run so far in milliseconds, of `expected_ms` in total.
fn done_work_ms(now: Time, load: &Load, expected_ms: u64) -> u64 {
    match load.work_time_at(now) {
        Some(work_time) => u64::try_from(work_time.as_millis()).unwrap_or(u64::MAX),
        None => (expected_ms as f64 * f64::from(load.progress_percent) / PERCENT) as u64,
    }
}

/// Share of its work that a run has done by `now`, in percent: by its last measurement,
/// extrapolated at its mean speed until then, and at least by its expected duration. A run of
/// an earlier owner counts as done until it is measured.
fn done_percent(now: Time, load: &Load, expected_ms: u64) -> u32 {
    let percent = f64::from(load.progress_percent);
    let expected = expected_ms.max(1) as f64;
    let worked_since = |at: Time| now.since(at).as_secs_f64() * MILLI * load.speed();
    let since = load.measured_at.map(worked_since);
    let Some(work_time) = load.work_time_at(now) else {
        let since = since.unwrap_or(f64::INFINITY);
        return (percent + since / expected * PERCENT) as u32;
    };
    let work_ms = work_time.as_secs_f64() * MILLI;
    let measured = match since {
        Some(since) if work_ms > since => percent * work_ms / (work_ms - since),
        _ => percent,
    };
    measured.max(work_ms / expected * PERCENT) as u32
}
