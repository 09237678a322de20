//! Rounds of decisions: who is tried next, and which worker it gets.

use crate::types::{TaskKey, TeamName, Time};

use super::fleet::Worker;
use super::queue::Lane;
use super::score::{expected_strain, penalty};
use super::{
    Entry, Failed, FilterReason, LatencyImpact, MAX_FAILED_NEEDS, Output, Place, Placement,
};

/// Part of the fleet, as a divisor, past which no further worker is reserved.
const RESERVED_DIVISOR: usize = 16;

/// What ruled workers with room out.
#[derive(Debug, Clone, Copy, Default)]
struct NoRoom {
    /// A service would be harmed by the task's class.
    strained: bool,
    /// The task is kept off a worker that others may use.
    avoided: bool,
}

impl NoRoom {
    fn note(&mut self, reason: FilterReason) {
        self.strained |= reason == FilterReason::Interference;
        self.avoided |= reason == FilterReason::RefusedOrFailed;
    }
}

impl Placement {
    /// Places waiting tasks, urgent ones first, within the bounds of one round.
    pub(super) fn round(&mut self, now: Time, impact: &dyn LatencyImpact, out: &mut Vec<Output>) {
        self.fleet.expire(now, &self.config);
        self.expire_reservations(now);
        if now.since(self.cleared) >= self.config.assume {
            self.failed.clear();
            self.forgotten += 1;
            self.cleared = now;
        }
        let mut left = self.config.attempts;
        while left > 0 {
            let burst = self.config.burst;
            let urgent = self.lane(now, Lane::Urgent, burst, &mut left, impact, out);
            // One start in `burst + 1` goes to the other lane, so that it moves on.
            let turns = if urgent < burst { u32::MAX } else { 1 };
            let normal = self.lane(now, Lane::Normal, turns, &mut left, impact, out);
            if urgent < burst || (urgent + normal == 0) {
                return;
            }
        }
    }

    /// Starts up to `most` tasks of one lane, by the shares of their teams.
    fn lane(
        &mut self,
        now: Time,
        lane: Lane,
        most: u32,
        left: &mut usize,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) -> u32 {
        let total = self.fleet.total;
        let mut turns = self.queue.turns(lane, &total, self.forgotten);
        let mut starts = 0;
        while let Some((_, team)) = turns.pop_first() {
            if *left == 0 || starts == most {
                break;
            }
            if self.start_one(now, &team, lane, left, impact, out) {
                starts += 1;
                turns.insert((self.queue.share(&team, &total), team));
            }
        }
        starts
    }

    /// Starts the first task of a team that finds a worker.
    fn start_one(
        &mut self,
        now: Time,
        team: &TeamName,
        lane: Lane,
        left: &mut usize,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(queue) = self.queue.get(team) else {
            return false;
        };
        let depth = self.config.depth.min(*left);
        let (look, state) = (self.config.look, self.forgotten);
        let heads = queue.look(lane, look, state).into_iter();
        let worth = heads.filter(|task| self.worth_trying(task)).take(depth);
        let worth = worth.cloned().collect::<Vec<_>>();
        if worth.is_empty() {
            self.queue.team(team).look_past(lane, look, state);
        }
        for task in worth {
            *left -= 1;
            if self.attempt(now, &task, impact, out) {
                return true;
            }
        }
        false
    }

    fn worth_trying(&self, task: &TaskKey) -> bool {
        let Some(entry) = self.tasks.get(task) else {
            return false;
        };
        let request = &entry.request;
        let hopeless = |f: &Failed| f.covers(&request.class, &request.need);
        let reserved = entry.reserved.is_some();
        self.within_quota(request) && (reserved || !self.failed.iter().any(hopeless))
    }

    /// Looks for a worker for one waiting task.
    pub(super) fn attempt(
        &mut self,
        now: Time,
        task: &TaskKey,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(entry) = self.tasks.get(task) else {
            return false;
        };
        if !self.within_quota(&entry.request) {
            return false;
        }
        match self.choose(task, impact) {
            Ok(at) => {
                self.place(now, task, at, out);
                true
            }
            Err(no_room) => {
                self.no_room(now, task, no_room);
                false
            }
        }
    }

    /// Picks the candidate with the lowest penalty.
    fn choose(&mut self, task: &TaskKey, impact: &dyn LatencyImpact) -> Result<usize, NoRoom> {
        let Some(entry) = self.tasks.get(task) else {
            return Err(NoRoom::default());
        };
        let reserved = entry.reserved.as_ref().and_then(|n| self.fleet.find(n));
        if let Some(at) = reserved
            && let Some(worker) = self.fleet.get(at)
            && self.judge(worker, entry, impact).is_ok()
        {
            return Ok(at);
        }
        let mut no_room = NoRoom::default();
        let mut rng = self.rng.clone();
        let mut best: Option<(f64, usize)> = None;
        let mut found = 0;
        let wanted = self.config.candidates;
        let need = entry.request.need;
        let index = &self.fleet.index;
        index.offer(&need, self.config.scan, &mut rng, |at| {
            let Some(worker) = self.fleet.get(at) else {
                return true;
            };
            let strain = match self.judge(worker, entry, impact) {
                Ok(strain) => strain,
                Err(reason) => {
                    no_room.note(reason);
                    return true;
                }
            };
            let sum = penalty(worker, &entry.request, strain, &self.spread, &self.config);
            if best.is_none_or(|(lowest, _)| sum < lowest) {
                best = Some((sum, at));
            }
            found += 1;
            found < wanted
        });
        self.rng = rng;
        best.map(|(_, at)| at).ok_or(no_room)
    }

    /// Expected strain on the worker, or the reason that rules it out.
    pub(super) fn judge(
        &self,
        worker: &Worker,
        entry: &Entry,
        impact: &dyn LatencyImpact,
    ) -> Result<f64, FilterReason> {
        let request = &entry.request;
        if let Some(reason) = worker.rules_out(&request.task, &request.need, &self.config) {
            return Err(reason);
        }
        let name = &worker.report.worker;
        let failed = 2 * request.avoid.len() < self.fleet.len() && request.avoid.contains(name);
        if failed || entry.avoid.contains(name) {
            return Err(FilterReason::RefusedOrFailed);
        }
        let strain = expected_strain(worker, request, impact);
        if strain > self.config.strain && !request.urgent {
            return Err(FilterReason::Interference);
        }
        Ok(strain)
    }

    fn place(&mut self, now: Time, task: &TaskKey, at: usize, out: &mut Vec<Output>) {
        let Some(mut entry) = self.unplace(task) else {
            return;
        };
        let need = entry.request.need;
        self.queue.take(&task.team, &need);
        self.fleet.assume(now, at, &entry.request);
        let Some(worker) = self.fleet.get(at) else {
            return;
        };
        if let Some(group) = &entry.request.group {
            self.spread.add(group, worker);
        }
        let worker = worker.report.worker.clone();
        entry.place = Place::Placed {
            worker: worker.clone(),
        };
        self.tasks.insert(task.clone(), entry);
        out.push(Output::Start {
            task: task.clone(),
            worker,
            need,
        });
    }

    /// Remembers that a need found no room; reserves a worker after a long wait.
    fn no_room(&mut self, now: Time, task: &TaskKey, no_room: NoRoom) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let (class, need) = (entry.request.class.clone(), entry.request.need);
        entry.avoid.clear();
        let patience = if entry.request.urgent {
            self.config.urgent_patience
        } else {
            self.config.patience
        };
        let waited = now.since(entry.since) >= patience;
        if !no_room.avoided && self.failed.len() < MAX_FAILED_NEEDS {
            let class = no_room.strained.then_some(class);
            let wider = |f: &Failed| class.is_none() || f.class == class;
            self.failed.retain(|f| !(wider(f) && need.fits(&f.need)));
            self.failed.push(Failed { class, need });
        }
        if waited && !self.reserved.contains_key(task) {
            self.reserve(now, task);
        }
    }

    /// Reserves the roomiest worker of a sample that is large enough.
    fn reserve(&mut self, now: Time, task: &TaskKey) {
        if self.reserved.len() > self.fleet.len() / RESERVED_DIVISOR {
            return;
        }
        let Some(need) = self.tasks.get(task).map(|entry| entry.request.need) else {
            return;
        };
        let slots = self.fleet.slots();
        let amount = self.config.scan.min(slots);
        let sample = rand::seq::index::sample(&mut self.rng, slots, amount);
        let suits = |at: &usize| {
            self.fleet.get(*at).is_some_and(|worker| {
                let open = worker.report.ready && !worker.quarantined && !worker.stale;
                open && worker.reserved.is_none() && need.fits(&worker.report.total)
            })
        };
        let room = |at: &usize| self.fleet.get(*at).map_or(0, |worker| worker.free.cpu.0);
        let Some(at) = sample.iter().filter(suits).max_by_key(room) else {
            return;
        };
        self.fleet.reserve(at, Some((task.clone(), now)));
        let name = self.fleet.get(at).map(|w| w.report.worker.clone());
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.reserved = name;
            self.reserved.insert(task.clone(), now);
        }
    }

    fn expire_reservations(&mut self, now: Time) {
        let limit = self.config.reserve;
        let old = self
            .reserved
            .iter()
            .filter(|(_, at)| now.since(**at) > limit);
        for task in old.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
            self.reserved.remove(&task);
            let name = self.tasks.get_mut(&task).and_then(|e| e.reserved.take());
            if let Some(at) = name.and_then(|name| self.fleet.find(&name)) {
                self.fleet.reserve(at, None);
                self.room_grew(at);
            }
        }
    }
}
