//! Chooses a worker for each waiting task, from partial and stale reports.
//!
//! A decision filters workers, then scores them. Candidates come from a grid index of
//! workers by free capacity, from a seeded random start, and their number is bounded,
//! so that the cost of a decision does not grow with the fleet. The agent decides
//! whether a start is granted: a refusal corrects the worker's free capacity, and
//! another worker is tried within the same step.
//!
//! Starts that no report covers yet are deducted from their worker's free capacity for
//! a limited time, so that the same capacity is not assigned twice. A need that fits
//! no worker is remembered, by class if interference ruled workers out, until a worker
//! has that much free capacity. Tasks that need no less are skipped meanwhile, so that
//! a long queue costs little.
//!
//! A task that is larger than every known worker or than its team's quota leaves the
//! queue as unplaceable and is queued again when a larger worker or quota appears. For
//! a task that has waited long a worker is reserved, on which no other task starts
//! until the task fits or the reservation expires.

mod decide;
mod explain;
mod fleet;
mod index;
mod messages;
mod queue;
mod score;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use explain::{Explanation, FilterReason, PlacementStatus, UnplaceableReason};
pub use messages::{Input, Output, Report, Request, ServiceLoad};
pub use score::{LatencyImpact, NoLatencyImpact};

use crate::configs::{PlacementConfig, QuotaConfig};
use crate::types::{NodeName, Resources, TaskKey, TeamName, Time};
use fleet::Fleet;
use queue::{Queue, QueueKey};
use score::GroupCounts;

/// Most needs without a fitting worker that are remembered.
const MAX_FAILED_NEEDS: usize = 64;

/// Whether a known task waits, is unplaceable or has a worker.
#[derive(Debug)]
enum TaskStatus {
    Waiting { key: QueueKey },
    Unplaceable(UnplaceableReason),
    Placed { worker: NodeName },
}

/// A known task and its state.
#[derive(Debug)]
struct TaskRecord {
    request: Request,
    status: TaskStatus,
    since: Time,
    /// Workers that refused the task since it last started or ran out of candidates.
    refused_by: Vec<NodeName>,
    reserved_worker: Option<NodeName>,
}

/// A need for which no worker was found.
#[derive(Debug)]
struct FailedNeed {
    /// Set if interference ruled workers out, since other classes may still fit there.
    class: Option<Arc<str>>,
    need: Resources,
}

impl FailedNeed {
    /// Whether a task of `class` that needs no less would find no worker either.
    fn covers(&self, class: &str, need: &Resources) -> bool {
        self.class.as_deref().is_none_or(|own| own == class) && self.need.fits(need)
    }
}

/// Waiting and placed tasks, the known workers and the teams' quotas.
#[derive(Debug)]
pub struct Placement {
    config: PlacementConfig,
    fleet: Fleet,
    queue: Queue,
    tasks: HashMap<TaskKey, TaskRecord>,
    unplaceable: BTreeSet<TaskKey>,
    failed_needs: Vec<FailedNeed>,
    /// Incremented whenever remembered needs are removed; then waiting tasks are rescanned.
    failed_version: u64,
    groups: GroupCounts,
    /// Tasks with a reserved worker, by the time of the reservation.
    reservations: BTreeMap<TaskKey, Time>,
    failed_cleared_at: Time,
    rng: SmallRng,
}

impl Placement {
    /// Creates a placement without workers or tasks.
    pub fn new(config: PlacementConfig, seed: u64) -> Self {
        Self {
            config,
            fleet: Fleet::new(),
            queue: Queue::default(),
            tasks: HashMap::new(),
            unplaceable: BTreeSet::new(),
            failed_needs: Vec::new(),
            failed_version: 0,
            groups: GroupCounts::default(),
            reservations: BTreeMap::new(),
            failed_cleared_at: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Applies one event and appends the decisions to `out`.
    pub fn step(
        &mut self,
        now: Time,
        input: Input,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Report(report) => self.handle_report(now, report),
            Input::WorkerLost(worker) => self.remove_worker(&worker),
            Input::Quarantine {
                worker,
                quarantined,
            } => self.set_quarantined(&worker, quarantined),
            Input::Quota { team, quota } => self.set_quota(&team, quota),
            Input::Submit(request) => self.submit(now, request, out),
            Input::Adopt { request, worker } => self.adopt(now, request, worker),
            Input::Resized { task, need } => self.handle_resized(&task, need),
            Input::Cancel(task) | Input::Ended(task) => self.remove_task(&task),
            Input::Started(task) => self.handle_started(&task),
            Input::Refused { task, worker, free } => {
                self.handle_refused(now, &task, &worker, free, impact, out);
            }
            Input::Tick => self.round(now, impact, out),
        }
    }

    /// Number of tasks that wait for a worker or are unplaceable.
    pub fn unplaced(&self) -> usize {
        let unplaced = |record: &&TaskRecord| !matches!(record.status, TaskStatus::Placed { .. });
        self.tasks.values().filter(unplaced).count()
    }

    /// Explains the status of a task; for a waiting one it checks every worker.
    pub fn explain(
        &self,
        now: Time,
        task: &TaskKey,
        impact: &dyn LatencyImpact,
    ) -> Option<Explanation> {
        let record = self.tasks.get(task)?;
        let mut ruled_out = BTreeMap::new();
        if let TaskStatus::Waiting { .. } = record.status {
            for worker in self.fleet.iter() {
                let is_stale = now.since(worker.last_report()) > self.config.stale;
                let stale = is_stale.then_some(FilterReason::Stale);
                let reason = stale.or_else(|| self.check_worker(worker, record, impact).err());
                if let Some(reason) = reason {
                    *ruled_out.entry(reason).or_default() += 1;
                }
            }
        }
        Some(Explanation {
            status: self.status(record),
            since: record.since,
            workers: self.fleet.len(),
            ruled_out,
        })
    }

    fn status(&self, record: &TaskRecord) -> PlacementStatus {
        match &record.status {
            TaskStatus::Unplaceable(reason) => PlacementStatus::Unplaceable(*reason),
            TaskStatus::Placed { worker } => PlacementStatus::Placed(worker.clone()),
            TaskStatus::Waiting { .. } if !self.within_quota(&record.request) => {
                PlacementStatus::QuotaExhausted
            }
            TaskStatus::Waiting { .. } => PlacementStatus::Waiting,
        }
    }

    fn within_quota(&self, request: &Request) -> bool {
        let team = self.queue.get(&request.task.team);
        team.is_none_or(|team| team.allows(&request.need))
    }

    fn handle_report(&mut self, now: Time, report: Report) {
        let (slot, new_total) = self.fleet.report(now, report);
        self.fleet.expire_starts(now, slot, &self.config);
        self.forget_fitting_needs(slot);
        if new_total {
            self.retry_unplaceable();
        }
    }

    fn remove_worker(&mut self, name: &NodeName) {
        self.fleet.remove(name);
        let placed_here =
            |r: &TaskRecord| matches!(&r.status, TaskStatus::Placed { worker } if worker == name);
        let tasks = self.tasks.iter().filter(|(_, record)| placed_here(record));
        for task in tasks.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
            self.remove_task(&task);
        }
    }

    fn set_quarantined(&mut self, name: &NodeName, quarantined: bool) {
        if let Some(slot) = self.fleet.slot_of(name) {
            self.fleet.set_quarantined(slot, quarantined);
            self.forget_fitting_needs(slot);
        }
    }

    fn set_quota(&mut self, team: &TeamName, quota: QuotaConfig) {
        let queue = self.queue.team(team);
        queue.quota = quota;
        queue.reset_exhausted();
        self.retry_unplaceable();
    }

    fn submit(&mut self, now: Time, request: Request, out: &mut Vec<Output>) {
        let task = request.task.clone();
        let (since, was_unplaceable) = match self.tasks.get(&task) {
            None => (now, false),
            Some(known) if known.request == request => return,
            Some(known) => match known.status {
                TaskStatus::Placed { .. } => return,
                TaskStatus::Waiting { .. } => (known.since, false),
                TaskStatus::Unplaceable(_) => (known.since, true),
            },
        };
        self.untrack(&task);
        let record = TaskRecord {
            request,
            status: TaskStatus::Waiting { key: (0, 0) },
            since,
            refused_by: Vec::new(),
            reserved_worker: None,
        };
        let reason = self.admit(record);
        if let Some(reason) = reason.filter(|_| !was_unplaceable) {
            out.push(Output::Unplaceable { task, reason });
        }
    }

    fn adopt(&mut self, now: Time, request: Request, worker: NodeName) {
        let task = request.task.clone();
        let known = self.untrack(&task);
        self.queue.charge(&task.team, &request.need);
        if let (Some(group), Some(slot)) = (&request.group, self.fleet.slot_of(&worker))
            && let Some(known) = self.fleet.get(slot)
        {
            self.groups.add(group, known);
        }
        let record = TaskRecord {
            since: known.map_or(now, |record| record.since),
            request,
            status: TaskStatus::Placed { worker },
            refused_by: Vec::new(),
            reserved_worker: None,
        };
        self.tasks.insert(task, record);
    }

    fn handle_resized(&mut self, task: &TaskKey, need: Resources) {
        let Some(record) = self.tasks.get_mut(task) else {
            return;
        };
        let TaskStatus::Placed { worker } = &record.status else {
            return;
        };
        let old = std::mem::replace(&mut record.request.need, need);
        let slot = self.fleet.slot_of(worker);
        self.queue.refund(&task.team, &old);
        self.queue.charge(&task.team, &need);
        if let Some(slot) = slot {
            self.fleet.resize(slot, task, &old, need);
            self.forget_fitting_needs(slot);
        }
    }

    /// Queues a task, or marks it unplaceable and returns why.
    fn admit(&mut self, mut record: TaskRecord) -> Option<UnplaceableReason> {
        let reason = self.unplaceable_reason(&record.request);
        let task = record.request.task.clone();
        record.status = match reason {
            Some(reason) => {
                self.unplaceable.insert(task.clone());
                TaskStatus::Unplaceable(reason)
            }
            None => {
                let key = self.queue.push(record.since, &record.request, &self.config);
                TaskStatus::Waiting { key }
            }
        };
        self.tasks.insert(task, record);
        reason
    }

    fn unplaceable_reason(&mut self, request: &Request) -> Option<UnplaceableReason> {
        let limit = self.queue.team(&request.task.team).quota.limit;
        if !request.need.fits(&limit) {
            return Some(UnplaceableReason::OverQuota(limit));
        }
        let fits = self.fleet.fits_some_total(&request.need);
        (!fits).then_some(UnplaceableReason::TooLarge(request.need))
    }

    /// Queues unplaceable tasks again if a new worker size or quota now allows them.
    fn retry_unplaceable(&mut self) {
        for task in std::mem::take(&mut self.unplaceable) {
            if let Some(record) = self.tasks.remove(&task) {
                self.admit(record);
            }
        }
    }

    fn handle_started(&mut self, task: &TaskKey) {
        if let Some(record) = self.tasks.get_mut(task) {
            record.refused_by = Vec::new();
        }
    }

    fn handle_refused(
        &mut self,
        now: Time,
        task: &TaskKey,
        worker: &NodeName,
        free: Option<Resources>,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let placed =
            |r: &TaskRecord| matches!(&r.status, TaskStatus::Placed { worker: w } if w == worker);
        if !self.tasks.get(task).is_some_and(placed) {
            return;
        }
        let Some(mut record) = self.untrack(task) else {
            return;
        };
        if let (Some(slot), Some(free)) = (self.fleet.slot_of(worker), free) {
            self.fleet.set_free(slot, &free);
        }
        record.refused_by.push(worker.clone());
        if self.admit(record).is_none() {
            self.try_place(now, task, impact, out);
        }
    }

    /// Removes a task from every list and frees its capacity, quota and reservation.
    fn untrack(&mut self, task: &TaskKey) -> Option<TaskRecord> {
        let mut record = self.tasks.remove(task)?;
        match &record.status {
            TaskStatus::Waiting { key } => self.queue.remove(&record.request, *key),
            TaskStatus::Unplaceable(_) => {
                self.unplaceable.remove(task);
            }
            TaskStatus::Placed { worker } => {
                let need = record.request.need;
                self.queue.refund(&task.team, &need);
                if let Some(slot) = self.fleet.slot_of(worker) {
                    self.remove_from_group(slot, &record.request);
                    self.fleet.release(slot, task, &need);
                    self.forget_fitting_needs(slot);
                }
            }
        }
        self.release_reservation(&mut record);
        Some(record)
    }

    fn remove_task(&mut self, task: &TaskKey) {
        self.untrack(task);
    }

    fn remove_from_group(&mut self, slot: usize, request: &Request) {
        if let (Some(group), Some(worker)) = (&request.group, self.fleet.get(slot)) {
            self.groups.remove(group, worker);
        }
    }

    fn release_reservation(&mut self, record: &mut TaskRecord) {
        self.reservations.remove(&record.request.task);
        let Some(name) = record.reserved_worker.take() else {
            return;
        };
        if let Some(slot) = self.fleet.slot_of(&name) {
            self.fleet.reserve(slot, None);
            self.forget_fitting_needs(slot);
        }
    }

    /// Forgets the remembered needs that now fit the worker's free capacity.
    fn forget_fitting_needs(&mut self, slot: usize) {
        if self.failed_needs.is_empty() {
            return;
        }
        if let Some(worker) = self.fleet.get(slot) {
            let free = worker.free;
            let before = self.failed_needs.len();
            self.failed_needs.retain(|failed| !failed.need.fits(&free));
            self.failed_version += u64::from(self.failed_needs.len() < before);
        }
    }
}

#[cfg(test)]
mod tests;
