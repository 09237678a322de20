//! Waiting tasks by team: weighted fair shares, urgent work first.
//!
//! A team's place is its dominant share of all workers over its weight. Within a
//! team tasks are ordered by submission plus expected run time, the latter bounded,
//! so that a short task overtakes a long one by a bounded time only.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::configs::{PlacementConfig, QuotaConfig};
use crate::types::{Resources, TaskKey, TeamName, Time};

use super::Request;
use super::fleet::{saturating_add, saturating_sub};

/// Place of a task within its team's queue.
pub(super) type Order = (u64, u64);

/// One of the two queues of each team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lane {
    Urgent,
    Normal,
}

impl Lane {
    pub(super) fn of(request: &Request) -> Self {
        if request.urgent {
            Self::Urgent
        } else {
            Self::Normal
        }
    }
}

impl Line {
    fn start(&self, state: u64) -> Order {
        let cursor = self.cursor.filter(|_| self.state == state);
        cursor.unwrap_or_default()
    }
}

/// A team's quota, use and waiting tasks.
#[derive(Debug, Default)]
pub(super) struct Team {
    pub(super) quota: QuotaConfig,
    pub(super) used: Resources,
    urgent: Line,
    normal: Line,
}

/// Waiting tasks of one lane.
#[derive(Debug, Default)]
struct Line {
    tasks: BTreeMap<Order, TaskKey>,
    /// State of the remembered needs at which no task was worth trying.
    hopeless: Option<u64>,
    /// Where the next look begins, if the state of the last one still holds.
    cursor: Option<Order>,
    state: u64,
    /// Whether a task came in before the cursor.
    missed: bool,
}

impl Team {
    /// The next `count` tasks to look at.
    pub(super) fn look(&self, lane: Lane, count: usize, state: u64) -> Vec<&TaskKey> {
        let line = self.line(lane);
        let tasks = line.tasks.range(line.start(state)..);
        tasks.take(count).map(|(_, task)| task).collect()
    }

    /// Looks past the next `count` tasks from now on, since none is worth trying.
    ///
    /// Once all have been looked at, the lane is skipped until it or the remembered
    /// needs change.
    pub(super) fn look_past(&mut self, lane: Lane, count: usize, state: u64) {
        let line = self.line_mut(lane);
        let next = line.tasks.range(line.start(state)..).nth(count);
        line.cursor = next.map(|(order, _)| *order);
        line.state = state;
        if line.cursor.is_none() && !std::mem::take(&mut line.missed) {
            line.hopeless = Some(state);
        }
    }

    /// Looks at both lanes again.
    pub(super) fn set_hopeful(&mut self) {
        self.urgent.hopeless = None;
        self.normal.hopeless = None;
    }

    fn line(&self, lane: Lane) -> &Line {
        match lane {
            Lane::Urgent => &self.urgent,
            Lane::Normal => &self.normal,
        }
    }

    fn line_mut(&mut self, lane: Lane) -> &mut Line {
        match lane {
            Lane::Urgent => &mut self.urgent,
            Lane::Normal => &mut self.normal,
        }
    }

    /// Whether the quota leaves room for `need`.
    pub(super) fn allows(&self, need: &Resources) -> bool {
        let sum = self.used.checked_add(need);
        sum.is_some_and(|sum| sum.fits(&self.quota.limit))
    }

    /// Dominant share of `total` over the weight, in millionths.
    fn share(&self, total: &Resources) -> u64 {
        let part = |used: u64, whole: u64| used as f64 / whole.max(1) as f64;
        let cpu = part(self.used.cpu.0, total.cpu.0);
        let memory = part(self.used.memory.0, total.memory.0);
        let accelerators = part(
            u64::from(self.used.accelerators),
            u64::from(total.accelerators),
        );
        let dominant = cpu.max(memory).max(accelerators);
        let weight = f64::from(self.quota.weight.max(1));
        (dominant / weight * 1e6) as u64
    }
}

/// Queues of all teams.
#[derive(Debug, Default)]
pub(super) struct Queue {
    teams: HashMap<TeamName, Team>,
    urgent: BTreeSet<TeamName>,
    normal: BTreeSet<TeamName>,
    sequence: u64,
}

impl Queue {
    pub(super) fn team(&mut self, name: &TeamName) -> &mut Team {
        if !self.teams.contains_key(name) {
            self.teams.insert(name.clone(), Team::default());
        }
        self.teams.get_mut(name).expect("the team was inserted")
    }

    pub(super) fn get(&self, name: &TeamName) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Queues a task that was submitted at `since`; returns its place.
    pub(super) fn push(
        &mut self,
        since: Time,
        request: &Request,
        config: &PlacementConfig,
    ) -> Order {
        self.sequence += 1;
        let behind = request.run_time.min(config.overtake);
        let order = (since.after(behind).as_micros(), self.sequence);
        let lane = Lane::of(request);
        let team = self.team(&request.task.team);
        let line = team.line_mut(lane);
        line.tasks.insert(order, request.task.clone());
        line.hopeless = None;
        line.missed |= line.cursor.is_some_and(|cursor| order < cursor);
        self.waiting(lane).insert(request.task.team.clone());
        order
    }

    pub(super) fn remove(&mut self, request: &Request, order: Order) {
        let lane = Lane::of(request);
        let team = self.team(&request.task.team);
        let line = team.line_mut(lane);
        line.tasks.remove(&order);
        line.hopeless = None;
        if team.line(lane).tasks.is_empty() {
            self.waiting(lane).remove(&request.task.team);
        }
    }

    pub(super) fn take(&mut self, team: &TeamName, need: &Resources) {
        let team = self.team(team);
        team.used = saturating_add(&team.used, need);
    }

    pub(super) fn give_back(&mut self, team: &TeamName, need: &Resources) {
        let team = self.team(team);
        team.used = saturating_sub(&team.used, need);
        team.set_hopeful();
    }

    /// Teams with tasks worth a look, the lowest share first.
    pub(super) fn turns(
        &self,
        lane: Lane,
        total: &Resources,
        state: u64,
    ) -> BTreeSet<(u64, TeamName)> {
        let names = match lane {
            Lane::Urgent => &self.urgent,
            Lane::Normal => &self.normal,
        };
        let place = |name: &TeamName| (self.share(name, total), name.clone());
        let hopeful = |name: &&TeamName| {
            let team = self.teams.get(*name);
            team.is_some_and(|team| team.line(lane).hopeless != Some(state))
        };
        names.iter().filter(hopeful).map(place).collect()
    }

    pub(super) fn share(&self, name: &TeamName, total: &Resources) -> u64 {
        self.teams.get(name).map_or(0, |team| team.share(total))
    }

    fn waiting(&mut self, lane: Lane) -> &mut BTreeSet<TeamName> {
        match lane {
            Lane::Urgent => &mut self.urgent,
            Lane::Normal => &mut self.normal,
        }
    }
}
