//! Chooses a worker for each waiting task, from partial and stale knowledge.
//!
//! A decision filters, then scores. Candidates come from a grid of workers by free
//! room with a seeded random start, and their number is bounded, so that the cost of
//! a decision does not grow with the fleet. The agent has the last word: a refused
//! start corrects the picture and the task goes elsewhere within the same step.
//!
//! Starts that no report covers yet are held against their worker for a while, so
//! one placement does not fill the same room twice. A need that found no room is
//! remembered by class until room of its size appears, so that a long queue of
//! waiting tasks costs nothing.
//!
//! A task that no known worker could hold leaves the queue with the reason and comes
//! back when a larger worker or quota appears. A task that has waited long gets a
//! worker reserved, on which nothing else starts until it fits.

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
use queue::{Order, Queue};
use score::Spread;

/// Needs without room that are remembered.
const MAX_FAILED_NEEDS: usize = 64;

/// Where a known task is.
#[derive(Debug)]
enum Place {
    Waiting { order: Order },
    Parked(UnplaceableReason),
    Placed { worker: NodeName },
}

/// A known task.
#[derive(Debug)]
struct Entry {
    request: Request,
    place: Place,
    since: Time,
    /// Workers that refused the task since it was submitted.
    avoid: Vec<NodeName>,
    reserved: Option<NodeName>,
}

/// A need that found no room.
#[derive(Debug)]
struct Failed {
    /// Set if interference ruled workers out, so that other classes may find room.
    class: Option<Arc<str>>,
    need: Resources,
}

impl Failed {
    /// Whether a task that needs no less would find no room either.
    fn covers(&self, class: &str, need: &Resources) -> bool {
        self.class.as_deref().is_none_or(|own| own == class) && self.need.fits(need)
    }
}

/// The state of placement.
#[derive(Debug)]
pub struct Placement {
    config: PlacementConfig,
    fleet: Fleet,
    queue: Queue,
    tasks: HashMap<TaskKey, Entry>,
    parked: BTreeSet<TaskKey>,
    failed: Vec<Failed>,
    /// Counts the times that remembered needs were forgotten.
    forgotten: u64,
    spread: Spread,
    reserved: BTreeMap<TaskKey, Time>,
    cleared: Time,
    rng: SmallRng,
}

impl Placement {
    /// Creates a placement that knows no workers.
    pub fn new(config: PlacementConfig, seed: u64) -> Self {
        Self {
            config,
            fleet: Fleet::new(),
            queue: Queue::default(),
            tasks: HashMap::new(),
            parked: BTreeSet::new(),
            failed: Vec::new(),
            forgotten: 0,
            spread: Spread::default(),
            reserved: BTreeMap::new(),
            cleared: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes one event; decisions are appended to `out`.
    pub fn step(
        &mut self,
        now: Time,
        input: Input,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Report(report) => self.report(now, report),
            Input::WorkerLost(worker) => self.gone(&worker),
            Input::Quarantine {
                worker,
                quarantined,
            } => self.set_quarantined(&worker, quarantined),
            Input::Quota { team, quota } => self.set_quota(&team, quota),
            Input::Submit(request) => self.submit(now, request, out),
            Input::Adopt { request, worker } => self.adopt(now, request, worker),
            Input::Resized { task, need } => self.resized(&task, need),
            Input::Cancel(task) | Input::Ended(task) => self.drop_task(&task),
            Input::Started(task) => self.started(&task),
            Input::Refused { task, worker, free } => {
                self.refused(now, &task, &worker, free, impact, out);
            }
            Input::Tick => self.round(now, impact, out),
        }
    }

    /// Tasks that wait for a worker or cannot run.
    pub fn unplaced(&self) -> usize {
        let unplaced = |entry: &&Entry| !matches!(entry.place, Place::Placed { .. });
        self.tasks.values().filter(unplaced).count()
    }

    /// Explains where a task stands; looks at every worker.
    pub fn explain(
        &self,
        now: Time,
        task: &TaskKey,
        impact: &dyn LatencyImpact,
    ) -> Option<Explanation> {
        let entry = self.tasks.get(task)?;
        let mut ruled_out = BTreeMap::new();
        if let Place::Waiting { .. } = entry.place {
            for worker in self.fleet.iter() {
                let late = now.since(worker.seen()) > self.config.stale;
                let stale = late.then_some(FilterReason::Stale);
                let reason = stale.or_else(|| self.judge(worker, entry, impact).err());
                if let Some(reason) = reason {
                    *ruled_out.entry(reason).or_default() += 1;
                }
            }
        }
        Some(Explanation {
            status: self.status(entry),
            since: entry.since,
            workers: self.fleet.len(),
            ruled_out,
        })
    }

    fn status(&self, entry: &Entry) -> PlacementStatus {
        match &entry.place {
            Place::Parked(refusal) => PlacementStatus::Unplaceable(*refusal),
            Place::Placed { worker } => PlacementStatus::Placed(worker.clone()),
            Place::Waiting { .. } if !self.within_quota(&entry.request) => {
                PlacementStatus::QuotaExhausted
            }
            Place::Waiting { .. } => PlacementStatus::Waiting,
        }
    }

    fn within_quota(&self, request: &Request) -> bool {
        let team = self.queue.get(&request.task.team);
        team.is_none_or(|team| team.allows(&request.need))
    }

    fn report(&mut self, now: Time, report: Report) {
        let (at, new_shape) = self.fleet.report(now, report);
        self.fleet.expire_starts(now, at, &self.config);
        self.room_grew(at);
        if new_shape {
            self.unpark();
        }
    }

    fn gone(&mut self, name: &NodeName) {
        self.fleet.remove(name);
        let lost =
            |entry: &Entry| matches!(&entry.place, Place::Placed { worker } if worker == name);
        let tasks = self.tasks.iter().filter(|(_, entry)| lost(entry));
        for task in tasks.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
            self.drop_task(&task);
        }
    }

    fn set_quarantined(&mut self, name: &NodeName, quarantined: bool) {
        if let Some(at) = self.fleet.find(name) {
            self.fleet.set_quarantined(at, quarantined);
            self.room_grew(at);
        }
    }

    fn set_quota(&mut self, team: &TeamName, quota: QuotaConfig) {
        let queue = self.queue.team(team);
        queue.quota = quota;
        queue.set_hopeful();
        self.unpark();
    }

    fn submit(&mut self, now: Time, request: Request, out: &mut Vec<Output>) {
        let task = request.task.clone();
        let (since, parked) = match self.tasks.get(&task) {
            None => (now, false),
            Some(known) if known.request == request => return,
            Some(known) => match known.place {
                Place::Placed { .. } => return,
                Place::Waiting { .. } => (known.since, false),
                Place::Parked(_) => (known.since, true),
            },
        };
        self.unplace(&task);
        let entry = Entry {
            request,
            place: Place::Waiting { order: (0, 0) },
            since,
            avoid: Vec::new(),
            reserved: None,
        };
        let refusal = self.enter(entry);
        if let Some(refusal) = refusal.filter(|_| !parked) {
            out.push(Output::Unplaceable {
                task,
                reason: refusal,
            });
        }
    }

    fn adopt(&mut self, now: Time, request: Request, worker: NodeName) {
        let task = request.task.clone();
        let known = self.unplace(&task);
        self.queue.take(&task.team, &request.need);
        if let (Some(group), Some(at)) = (&request.group, self.fleet.find(&worker))
            && let Some(known) = self.fleet.get(at)
        {
            self.spread.add(group, known);
        }
        let entry = Entry {
            since: known.map_or(now, |entry| entry.since),
            request,
            place: Place::Placed { worker },
            avoid: Vec::new(),
            reserved: None,
        };
        self.tasks.insert(task, entry);
    }

    fn resized(&mut self, task: &TaskKey, need: Resources) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Place::Placed { worker } = &entry.place else {
            return;
        };
        let old = std::mem::replace(&mut entry.request.need, need);
        let at = self.fleet.find(worker);
        self.queue.give_back(&task.team, &old);
        self.queue.take(&task.team, &need);
        if let Some(at) = at {
            self.fleet.resize(at, task, &old, need);
            self.room_grew(at);
        }
    }

    /// Queues a task, or parks it with the reason.
    fn enter(&mut self, mut entry: Entry) -> Option<UnplaceableReason> {
        let refusal = self.refusal(&entry.request);
        let task = entry.request.task.clone();
        entry.place = match refusal {
            Some(refusal) => {
                self.parked.insert(task.clone());
                Place::Parked(refusal)
            }
            None => {
                let order = self.queue.push(entry.since, &entry.request, &self.config);
                Place::Waiting { order }
            }
        };
        self.tasks.insert(task, entry);
        refusal
    }

    fn refusal(&mut self, request: &Request) -> Option<UnplaceableReason> {
        let limit = self.queue.team(&request.task.team).quota.limit;
        if !request.need.fits(&limit) {
            return Some(UnplaceableReason::OverQuota(limit));
        }
        let possible = self.fleet.could_hold(&request.need);
        (!possible).then_some(UnplaceableReason::TooLarge(request.need))
    }

    /// Tries parked tasks again after a larger worker or quota has appeared.
    fn unpark(&mut self) {
        for task in std::mem::take(&mut self.parked) {
            if let Some(entry) = self.tasks.remove(&task) {
                self.enter(entry);
            }
        }
    }

    fn started(&mut self, task: &TaskKey) {
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.avoid = Vec::new();
        }
    }

    fn refused(
        &mut self,
        now: Time,
        task: &TaskKey,
        worker: &NodeName,
        free: Option<Resources>,
        impact: &dyn LatencyImpact,
        out: &mut Vec<Output>,
    ) {
        let placed =
            |entry: &Entry| matches!(&entry.place, Place::Placed { worker: w } if w == worker);
        if !self.tasks.get(task).is_some_and(placed) {
            return;
        }
        let Some(mut entry) = self.unplace(task) else {
            return;
        };
        if let (Some(at), Some(free)) = (self.fleet.find(worker), free) {
            self.fleet.correct(at, &free);
        }
        entry.avoid.push(worker.clone());
        if self.enter(entry).is_none() {
            self.attempt(now, task, impact, out);
        }
    }

    /// Takes a task out of every list and gives its room and quota back.
    fn unplace(&mut self, task: &TaskKey) -> Option<Entry> {
        let mut entry = self.tasks.remove(task)?;
        match &entry.place {
            Place::Waiting { order } => self.queue.remove(&entry.request, *order),
            Place::Parked(_) => {
                self.parked.remove(task);
            }
            Place::Placed { worker } => {
                let need = entry.request.need;
                self.queue.give_back(&task.team, &need);
                if let Some(at) = self.fleet.find(worker) {
                    self.ungroup(at, &entry.request);
                    self.fleet.release(at, task, &need);
                    self.room_grew(at);
                }
            }
        }
        self.unreserve(&mut entry);
        Some(entry)
    }

    fn drop_task(&mut self, task: &TaskKey) {
        self.unplace(task);
    }

    fn ungroup(&mut self, at: usize, request: &Request) {
        if let (Some(group), Some(worker)) = (&request.group, self.fleet.get(at)) {
            self.spread.remove(group, worker);
        }
    }

    fn unreserve(&mut self, entry: &mut Entry) {
        self.reserved.remove(&entry.request.task);
        let Some(name) = entry.reserved.take() else {
            return;
        };
        if let Some(at) = self.fleet.find(&name) {
            self.fleet.reserve(at, None);
            self.room_grew(at);
        }
    }

    /// Forgets the needs without room that the worker could now hold.
    fn room_grew(&mut self, at: usize) {
        if self.failed.is_empty() {
            return;
        }
        if let Some(worker) = self.fleet.get(at) {
            let free = worker.free;
            let before = self.failed.len();
            self.failed.retain(|failed| !failed.need.fits(&free));
            self.forgotten += u64::from(self.failed.len() < before);
        }
    }
}

#[cfg(test)]
mod tests;
