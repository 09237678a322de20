//! Rounds of decisions: which task is tried next, and which worker it gets.

use crate::types::{TaskKey, TeamName, Time};

use super::fleet::Worker;
use super::queue::Lane;
use super::score::{expected_slowdown, penalty};
use super::{
    FailedNeed, FilterReason, LatencyImpact, MAX_FAILED_NEEDS, Output, Placement, TaskRecord,
    TaskStatus,
};

/// No worker is reserved while more than one in this many is reserved already.
const RESERVED_DIVISOR: usize = 16;

/// Reasons other than capacity that ruled workers out for a task.
#[derive(Debug, Clone, Copy, Default)]
struct Rejections {
    /// A service was expected to miss its target beside the task's class.
    interference: bool,
    /// A worker had refused or failed this task, but may accept others.
    refused_or_failed: bool,
}

impl Rejections {
    fn add(&mut self, reason: FilterReason) {
        self.interference |= reason == FilterReason::Interference;
        self.refused_or_failed |= reason == FilterReason::RefusedOrFailed;
    }
}

impl Placement {
    /// Places waiting tasks, urgent ones first, within the configured attempts.
    pub(super) fn round(&mut self, now: Time, impact: &dyn LatencyImpact, out: &mut Vec<Output>) {
        self.fleet.mark_stale(now, &self.config);
        self.expire_reservations(now);
        if now.since(self.failed_cleared_at) >= self.config.assume {
            self.failed_needs.clear();
            self.failed_version += 1;
            self.failed_cleared_at = now;
        }
        let mut attempts_left = self.config.attempts;
        while attempts_left > 0 {
            let burst = self.config.burst;
            let urgent = self.run_lane(now, Lane::Urgent, burst, &mut attempts_left, impact, out);
            // After `burst` urgent starts the normal lane gets one, so it never starves.
            let normal_starts = if urgent < burst { u32::MAX } else { 1 };
            let normal = self.run_lane(
                now,
                Lane::Normal,
                normal_starts,
                &mut attempts_left,
                impact,
                out,
            );
            if urgent < burst || (urgent + normal == 0) {
                return;
            }
        }
    }

    /// Starts up to `max_starts` tasks of one lane, the team with the lowest share first.
    fn run_lane(
        &mut self,
        now: Time,
        lane: Lane,
        max_starts: u32,
        attempts_left: &mut usize,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) -> u32 {
        let total = self.fleet.total;
        let mut teams = self.queue.teams_by_share(lane, &total, self.failed_version);
        let mut starts = 0;
        while let Some((_, team)) = teams.pop_first() {
            if *attempts_left == 0 || starts == max_starts {
                break;
            }
            if self.start_next(now, &team, lane, attempts_left, impact, out) {
                starts += 1;
                teams.insert((self.queue.share(&team, &total), team));
            }
        }
        starts
    }

    /// Starts the first of a team's next tasks for which a worker is found.
    fn start_next(
        &mut self,
        now: Time,
        team: &TeamName,
        lane: Lane,
        attempts_left: &mut usize,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(queue) = self.queue.get(team) else {
            return false;
        };
        let depth = self.config.depth.min(*attempts_left);
        let (window, version) = (self.config.look, self.failed_version);
        let heads = queue.next_tasks(lane, window, version).into_iter();
        let tasks = heads.filter(|task| self.worth_trying(task)).take(depth);
        let tasks = tasks.cloned().collect::<Vec<_>>();
        if tasks.is_empty() {
            self.queue.team(team).advance(lane, window, version);
        }
        for task in tasks {
            *attempts_left -= 1;
            if self.try_place(now, &task, impact, out) {
                return true;
            }
        }
        false
    }

    fn worth_trying(&self, task: &TaskKey) -> bool {
        let Some(record) = self.tasks.get(task) else {
            return false;
        };
        let request = &record.request;
        let known_to_fail = |f: &FailedNeed| f.covers(&request.class, &request.need);
        let has_reservation = record.reserved_worker.is_some();
        self.within_quota(request)
            && (has_reservation || !self.failed_needs.iter().any(known_to_fail))
    }

    /// Places one waiting task if its quota allows it and a worker is found.
    pub(super) fn try_place(
        &mut self,
        now: Time,
        task: &TaskKey,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(record) = self.tasks.get(task) else {
            return false;
        };
        if !self.within_quota(&record.request) {
            return false;
        }
        match self.choose_worker(task, impact) {
            Ok(slot) => {
                self.place(now, task, slot, out);
                true
            }
            Err(rejections) => {
                self.record_failure(now, task, rejections);
                false
            }
        }
    }

    /// Picks the candidate with the lowest penalty.
    fn choose_worker(
        &mut self,
        task: &TaskKey,
        impact: &dyn LatencyImpact,
    ) -> Result<usize, Rejections> {
        let Some(record) = self.tasks.get(task) else {
            return Err(Rejections::default());
        };
        let reserved = record
            .reserved_worker
            .as_ref()
            .and_then(|n| self.fleet.slot_of(n));
        if let Some(slot) = reserved
            && let Some(worker) = self.fleet.get(slot)
            && self.check_worker(worker, record, impact).is_ok()
        {
            return Ok(slot);
        }
        let mut rejections = Rejections::default();
        let mut rng = self.rng.clone();
        let mut best: Option<(f64, usize)> = None;
        let mut found = 0;
        let wanted = self.config.candidates;
        let need = record.request.need;
        let index = &self.fleet.index;
        index.visit(&need, self.config.scan, &mut rng, |slot| {
            let Some(worker) = self.fleet.get(slot) else {
                return true;
            };
            let slowdown = match self.check_worker(worker, record, impact) {
                Ok(slowdown) => slowdown,
                Err(reason) => {
                    rejections.add(reason);
                    return true;
                }
            };
            let score = penalty(
                worker,
                &record.request,
                slowdown,
                &self.groups,
                &self.config,
            );
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, slot));
            }
            found += 1;
            found < wanted
        });
        self.rng = rng;
        best.map(|(_, slot)| slot).ok_or(rejections)
    }

    /// Highest expected slowdown of the worker's services, or why it is ruled out.
    pub(super) fn check_worker(
        &self,
        worker: &Worker,
        record: &TaskRecord,
        impact: &dyn LatencyImpact,
    ) -> Result<f64, FilterReason> {
        let request = &record.request;
        if let Some(reason) = worker.filter_reason(&request.task, &request.need, &self.config) {
            return Err(reason);
        }
        let name = &worker.report.worker;
        let failed_here =
            2 * request.avoid.len() < self.fleet.len() && request.avoid.contains(name);
        if failed_here || record.refused_by.contains(name) {
            return Err(FilterReason::RefusedOrFailed);
        }
        let slowdown = expected_slowdown(worker, request, impact);
        if slowdown > self.config.strain && !request.urgent {
            return Err(FilterReason::Interference);
        }
        Ok(slowdown)
    }

    fn place(&mut self, now: Time, task: &TaskKey, slot: usize, out: &mut Vec<Output>) {
        let Some(mut record) = self.untrack(task) else {
            return;
        };
        let need = record.request.need;
        self.queue.charge(&task.team, &need);
        self.fleet.assume(now, slot, &record.request);
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        if let Some(group) = &record.request.group {
            self.groups.add(group, worker);
        }
        let worker = worker.report.worker.clone();
        record.status = TaskStatus::Placed {
            worker: worker.clone(),
        };
        self.tasks.insert(task.clone(), record);
        out.push(Output::Start {
            task: task.clone(),
            worker,
            need,
        });
    }

    /// Remembers that a need fits no worker; reserves a worker after a long wait.
    fn record_failure(&mut self, now: Time, task: &TaskKey, rejections: Rejections) {
        let Some(record) = self.tasks.get_mut(task) else {
            return;
        };
        let (class, need) = (record.request.class.clone(), record.request.need);
        record.refused_by.clear();
        let patience = if record.request.urgent {
            self.config.urgent_patience
        } else {
            self.config.patience
        };
        let waited = now.since(record.since) >= patience;
        if !rejections.refused_or_failed && self.failed_needs.len() < MAX_FAILED_NEEDS {
            let class = rejections.interference.then_some(class);
            let covers_class = |f: &FailedNeed| class.is_none() || f.class == class;
            self.failed_needs
                .retain(|f| !(covers_class(f) && need.fits(&f.need)));
            self.failed_needs.push(FailedNeed { class, need });
        }
        if waited && !self.reservations.contains_key(task) {
            self.reserve(now, task);
        }
    }

    /// Reserves the worker with the most free processors among a random sample of
    /// workers whose total capacity fits the task.
    fn reserve(&mut self, now: Time, task: &TaskKey) {
        if self.reservations.len() > self.fleet.len() / RESERVED_DIVISOR {
            return;
        }
        let Some(need) = self.tasks.get(task).map(|record| record.request.need) else {
            return;
        };
        let slot_count = self.fleet.slot_count();
        let amount = self.config.scan.min(slot_count);
        let sample = rand::seq::index::sample(&mut self.rng, slot_count, amount);
        let eligible = |slot: &usize| {
            self.fleet.get(*slot).is_some_and(|worker| {
                let accepting = worker.report.ready && !worker.quarantined && !worker.stale;
                accepting && worker.reserved.is_none() && need.fits(&worker.report.total)
            })
        };
        let free_cpu = |slot: &usize| self.fleet.get(*slot).map_or(0, |worker| worker.free.cpu.0);
        let Some(slot) = sample.iter().filter(eligible).max_by_key(free_cpu) else {
            return;
        };
        self.fleet.reserve(slot, Some((task.clone(), now)));
        let name = self.fleet.get(slot).map(|w| w.report.worker.clone());
        if let Some(record) = self.tasks.get_mut(task) {
            record.reserved_worker = name;
            self.reservations.insert(task.clone(), now);
        }
    }

    fn expire_reservations(&mut self, now: Time) {
        let limit = self.config.reserve;
        let expired = self
            .reservations
            .iter()
            .filter(|(_, reserved_at)| now.since(**reserved_at) > limit);
        for task in expired.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
            self.reservations.remove(&task);
            let name = self
                .tasks
                .get_mut(&task)
                .and_then(|e| e.reserved_worker.take());
            if let Some(slot) = name.and_then(|name| self.fleet.slot_of(&name)) {
                self.fleet.reserve(slot, None);
                self.forget_fitting_needs(slot);
            }
        }
    }
}
