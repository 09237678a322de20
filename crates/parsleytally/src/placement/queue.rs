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

/// A team's quota, use and waiting tasks.
#[derive(Debug, Default)]
pub(super) struct Team {
    pub(super) quota: QuotaConfig,
    pub(super) used: Resources,
    urgent: BTreeMap<Order, TaskKey>,
    normal: BTreeMap<Order, TaskKey>,
}

impl Team {
    pub(super) fn lane(&self, lane: Lane) -> &BTreeMap<Order, TaskKey> {
        match lane {
            Lane::Urgent => &self.urgent,
            Lane::Normal => &self.normal,
        }
    }

    fn lane_mut(&mut self, lane: Lane) -> &mut BTreeMap<Order, TaskKey> {
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
        team.lane_mut(lane).insert(order, request.task.clone());
        self.waiting(lane).insert(request.task.team.clone());
        order
    }

    pub(super) fn remove(&mut self, request: &Request, order: Order) {
        let lane = Lane::of(request);
        let team = self.team(&request.task.team);
        team.lane_mut(lane).remove(&order);
        if team.lane(lane).is_empty() {
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
    }

    /// Teams with waiting tasks, the lowest share first.
    pub(super) fn turns(&self, lane: Lane, total: &Resources) -> BTreeSet<(u64, TeamName)> {
        let names = match lane {
            Lane::Urgent => &self.urgent,
            Lane::Normal => &self.normal,
        };
        let place = |name: &TeamName| (self.share(name, total), name.clone());
        names.iter().map(place).collect()
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
