//! Waiting tasks by team: weighted fair shares, urgent work first.
//!
//! Teams are ordered by their dominant share of the fleet divided by their weight.
//! Within a team tasks are ordered by submission time plus expected run time, the
//! latter bounded, so that a short task overtakes a long one by a bounded time only.
//!
//! A scan of a lane resumes at a cursor while the remembered needs without capacity
//! are unchanged (the same `version`), and a lane whose tasks were all checked is
//! skipped until then.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::configs::{PlacementConfig, QuotaConfig};
use crate::dominant_share::weighted_share;
use crate::types::{Resources, TaskKey, TeamName, Time};

use super::Request;

/// Sort key of a task within its lane: microseconds and a sequence number.
pub(super) type QueueKey = (u64, u64);

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

impl LaneQueue {
    fn scan_start(&self, version: u64) -> QueueKey {
        let cursor = self.cursor.filter(|_| self.cursor_version == version);
        cursor.unwrap_or_default()
    }
}

/// A team's quota, use and waiting tasks.
#[derive(Debug, Default)]
pub(super) struct Team {
    pub(super) quota: QuotaConfig,
    pub(super) used: Resources,
    urgent: LaneQueue,
    normal: LaneQueue,
}

/// Waiting tasks of one lane.
#[derive(Debug, Default)]
struct LaneQueue {
    tasks: BTreeMap<QueueKey, TaskKey>,
    /// Version of the failed needs at which no task of the lane was worth trying.
    exhausted_at: Option<u64>,
    /// Where the next scan starts, if `cursor_version` is still current.
    cursor: Option<QueueKey>,
    cursor_version: u64,
    /// Whether a task was queued ahead of the cursor, so that the scan missed it.
    inserted_before_cursor: bool,
}

impl Team {
    /// The next `count` tasks to check.
    pub(super) fn next_tasks(&self, lane: Lane, count: usize, version: u64) -> Vec<&TaskKey> {
        let queue = self.lane(lane);
        let tasks = queue.tasks.range(queue.scan_start(version)..);
        tasks.take(count).map(|(_, task)| task).collect()
    }

    /// Moves the cursor past the next `count` tasks, none of which is worth trying.
    ///
    /// Once all tasks have been checked, the lane is skipped until it or the version of
    /// the failed needs changes.
    pub(super) fn advance(&mut self, lane: Lane, count: usize, version: u64) {
        let queue = self.lane_mut(lane);
        let next = queue.tasks.range(queue.scan_start(version)..).nth(count);
        queue.cursor = next.map(|(key, _)| *key);
        queue.cursor_version = version;
        if queue.cursor.is_none() && !std::mem::take(&mut queue.inserted_before_cursor) {
            queue.exhausted_at = Some(version);
        }
    }

    /// Makes both lanes eligible for a scan again.
    pub(super) fn reset_exhausted(&mut self) {
        self.urgent.exhausted_at = None;
        self.normal.exhausted_at = None;
    }

    fn lane(&self, lane: Lane) -> &LaneQueue {
        match lane {
            Lane::Urgent => &self.urgent,
            Lane::Normal => &self.normal,
        }
    }

    fn lane_mut(&mut self, lane: Lane) -> &mut LaneQueue {
        match lane {
            Lane::Urgent => &mut self.urgent,
            Lane::Normal => &mut self.normal,
        }
    }

    /// Whether the quota allows `need` beside what the team uses.
    pub(super) fn allows(&self, need: &Resources) -> bool {
        let sum = self.used.checked_add(need);
        sum.is_some_and(|sum| sum.fits(&self.quota.limit))
    }

    /// Largest share of any resource of `total`, divided by the weight, in millionths.
    fn share(&self, total: &Resources) -> u64 {
        weighted_share(&self.used, total, self.quota.weight)
    }
}

/// Queues of all teams, and the teams with waiting tasks in each lane.
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

    /// Queues a task that was submitted at `since`; returns its key.
    pub(super) fn push(
        &mut self,
        since: Time,
        request: &Request,
        config: &PlacementConfig,
    ) -> QueueKey {
        self.sequence += 1;
        let delay = request.run_time.min(config.overtake);
        let key = (since.after(delay).as_micros(), self.sequence);
        let lane = Lane::of(request);
        let team = self.team(&request.task.team);
        let queue = team.lane_mut(lane);
        queue.tasks.insert(key, request.task.clone());
        queue.exhausted_at = None;
        queue.inserted_before_cursor |= queue.cursor.is_some_and(|cursor| key < cursor);
        self.waiting_teams(lane).insert(request.task.team.clone());
        key
    }

    pub(super) fn remove(&mut self, request: &Request, key: QueueKey) {
        let lane = Lane::of(request);
        let team = self.team(&request.task.team);
        let queue = team.lane_mut(lane);
        queue.tasks.remove(&key);
        queue.exhausted_at = None;
        if team.lane(lane).tasks.is_empty() {
            self.waiting_teams(lane).remove(&request.task.team);
        }
    }

    /// Adds a task's need to its team's use.
    pub(super) fn charge(&mut self, team: &TeamName, need: &Resources) {
        let team = self.team(team);
        team.used = team.used.saturating_add(need);
    }

    /// Subtracts a task's need from its team's use.
    pub(super) fn refund(&mut self, team: &TeamName, need: &Resources) {
        let team = self.team(team);
        team.used = team.used.saturating_sub(need);
        team.reset_exhausted();
    }

    /// Teams whose lane is not exhausted at `version`, the lowest share first.
    pub(super) fn teams_by_share(
        &self,
        lane: Lane,
        total: &Resources,
        version: u64,
    ) -> BTreeSet<(u64, TeamName)> {
        let names = match lane {
            Lane::Urgent => &self.urgent,
            Lane::Normal => &self.normal,
        };
        let by_share = |name: &TeamName| (self.share(name, total), name.clone());
        let not_exhausted = |name: &&TeamName| {
            let team = self.teams.get(*name);
            team.is_some_and(|team| team.lane(lane).exhausted_at != Some(version))
        };
        names.iter().filter(not_exhausted).map(by_share).collect()
    }

    pub(super) fn share(&self, name: &TeamName, total: &Resources) -> u64 {
        self.teams.get(name).map_or(0, |team| team.share(total))
    }

    fn waiting_teams(&mut self, lane: Lane) -> &mut BTreeSet<TeamName> {
        match lane {
            Lane::Urgent => &mut self.urgent,
            Lane::Normal => &mut self.normal,
        }
    }
}
