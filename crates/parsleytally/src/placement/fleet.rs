//! State of the workers, from reports that may be stale and starts not yet reported.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::configs::PlacementConfig;
use crate::types::{NodeName, Resources, TaskKey, Time};

use super::index::Index;
use super::{FilterReason, Report, Request};

/// A start that the worker's report does not cover yet.
#[derive(Debug)]
struct AssumedStart {
    task: TaskKey,
    class: Arc<str>,
    need: Resources,
    started_at: Time,
}

/// A worker's last report and what has been decided about it since.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) report: Report,
    /// Capacity that neither grants nor assumed starts use.
    pub(super) free: Resources,
    pub(super) reserved: Option<(TaskKey, Time)>,
    pub(super) quarantined: bool,
    pub(super) stale: bool,
    /// When the last report arrived.
    last_report: Time,
    assumed_starts: Vec<AssumedStart>,
}

impl Worker {
    /// Recomputes the free capacity.
    fn refresh(&mut self) {
        let granted = &self.report.granted;
        let mut free = self.report.total.saturating_sub(granted);
        for start in &self.assumed_starts {
            free = free.saturating_sub(&start.need);
        }
        self.free = free;
    }

    fn drop_reported(&mut self, covered: &[TaskKey]) {
        if self.assumed_starts.is_empty() {
            return;
        }
        let covered = covered.iter().collect::<HashSet<_>>();
        self.assumed_starts
            .retain(|start| !covered.contains(&start.task));
    }

    /// Class and need of the starts that the report does not cover yet.
    pub(super) fn assumed_starts(&self) -> impl Iterator<Item = (&str, &Resources)> {
        self.assumed_starts
            .iter()
            .map(|start| (&*start.class, &start.need))
    }

    pub(super) fn last_report(&self) -> Time {
        self.last_report
    }

    fn accepts_starts(&self) -> bool {
        self.report.ready && !self.quarantined && !self.stale
    }

    /// First reason why `task` with `need` cannot start on this worker now.
    pub(super) fn filter_reason(
        &self,
        task: &TaskKey,
        need: &Resources,
        config: &PlacementConfig,
    ) -> Option<FilterReason> {
        if !self.report.ready {
            return Some(FilterReason::NotReady);
        }
        if self.quarantined {
            return Some(FilterReason::Quarantined);
        }
        if self.stale {
            return Some(FilterReason::Stale);
        }
        if self.reserved.as_ref().is_some_and(|(by, _)| by != task) {
            return Some(FilterReason::Reserved);
        }
        self.insufficient_resource(need, config)
    }

    fn insufficient_resource(
        &self,
        need: &Resources,
        config: &PlacementConfig,
    ) -> Option<FilterReason> {
        if need.accelerators > self.free.accelerators {
            return Some(FilterReason::Accelerators);
        }
        if need.cpu > self.free.cpu {
            return Some(FilterReason::Cpu);
        }
        if need.memory > self.free.memory {
            return Some(FilterReason::Memory);
        }
        let headroom = accelerator_headroom(self.free.accelerators, config);
        let remaining = self.free.saturating_sub(need);
        let uses_headroom = need.accelerators == 0 && !headroom.fits(&remaining);
        uses_headroom.then_some(FilterReason::AcceleratorHeadroom)
    }
}

/// Capacity kept free for the tasks that will use `count` free accelerators.
fn accelerator_headroom(count: u32, config: &PlacementConfig) -> Resources {
    let count = u64::from(count);
    let cpu = config.accelerator_cpu.saturating_mul(count);
    let memory = config.accelerator_memory.saturating_mul(count);
    Resources::new(cpu, memory, 0)
}

/// All known workers, each in a slot that is reused after its removal.
#[derive(Debug)]
pub(super) struct Fleet {
    workers: Vec<Option<Worker>>,
    slots_by_name: HashMap<NodeName, usize>,
    vacant_slots: Vec<usize>,
    /// Workers that are not stale, by the time of their last report.
    by_last_report: BTreeSet<(Time, usize)>,
    /// Number of workers by their total capacity.
    shapes: BTreeMap<(u64, u64, u32), u32>,
    pub(super) index: Index,
    /// Sum of the totals of all workers.
    pub(super) total: Resources,
}

impl Fleet {
    pub(super) fn new() -> Self {
        Self {
            workers: Vec::new(),
            slots_by_name: HashMap::new(),
            vacant_slots: Vec::new(),
            by_last_report: BTreeSet::new(),
            shapes: BTreeMap::new(),
            index: Index::new(),
            total: Resources::NONE,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.slots_by_name.len()
    }

    pub(super) fn slot_count(&self) -> usize {
        self.workers.len()
    }

    pub(super) fn get(&self, slot: usize) -> Option<&Worker> {
        self.workers.get(slot)?.as_ref()
    }

    pub(super) fn slot_of(&self, name: &NodeName) -> Option<usize> {
        self.slots_by_name.get(name).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().flatten()
    }

    /// Whether `need` fits the total capacity of some worker, or no worker is known.
    pub(super) fn fits_some_total(&self, need: &Resources) -> bool {
        let holds = |&(cpu, memory, accelerators): &(u64, u64, u32)| {
            need.fits(&Resources::new(cpu, memory, accelerators))
        };
        self.slots_by_name.is_empty() || self.shapes.keys().any(holds)
    }

    /// Stores a report; returns the worker's slot and whether its total is a new one.
    pub(super) fn report(&mut self, now: Time, report: Report) -> (usize, bool) {
        let slot = self.slot_of(&report.worker);
        let slot = slot.unwrap_or_else(|| self.vacant_slots.pop().unwrap_or(self.workers.len()));
        if slot == self.workers.len() {
            self.workers.push(None);
        }
        let old = self.workers[slot].take();
        let new_shape = self.replace_shape(old.as_ref().map(|w| w.report.total), report.total);
        let worker = match old {
            None => Worker {
                free: Resources::NONE,
                reserved: None,
                quarantined: false,
                stale: false,
                last_report: now,
                assumed_starts: Vec::new(),
                report,
            },
            Some(mut worker) => {
                self.by_last_report.remove(&(worker.last_report, slot));
                worker.drop_reported(&report.tasks);
                worker.last_report = now;
                worker.stale = false;
                worker.report = report;
                worker
            }
        };
        self.slots_by_name
            .insert(worker.report.worker.clone(), slot);
        self.workers[slot] = Some(worker);
        self.by_last_report.insert((now, slot));
        self.reindex(slot);
        (slot, new_shape)
    }

    fn replace_shape(&mut self, old: Option<Resources>, new: Resources) -> bool {
        if let Some(old) = old {
            self.remove_shape(&old);
        }
        self.total = self.total.saturating_add(&new);
        let count = self.shapes.entry(shape(&new)).or_default();
        *count += 1;
        *count == 1
    }

    fn remove_shape(&mut self, old: &Resources) {
        self.total = self.total.saturating_sub(old);
        let key = shape(old);
        let count = self.shapes.get_mut(&key).map_or(0, |count| {
            *count -= 1;
            *count
        });
        if count == 0 {
            self.shapes.remove(&key);
        }
    }

    pub(super) fn remove(&mut self, name: &NodeName) {
        let Some(slot) = self.slots_by_name.remove(name) else {
            return;
        };
        if let Some(worker) = self.workers[slot].take() {
            self.remove_shape(&worker.report.total);
            self.by_last_report.remove(&(worker.last_report, slot));
        }
        self.index.set_free(slot, None);
        self.vacant_slots.push(slot);
    }

    pub(super) fn set_quarantined(&mut self, slot: usize, quarantined: bool) {
        self.update(slot, |worker| worker.quarantined = quarantined);
    }

    pub(super) fn reserve(&mut self, slot: usize, by: Option<(TaskKey, Time)>) {
        self.update(slot, |worker| worker.reserved = by);
    }

    /// Deducts a start from the worker's free capacity until a report covers the task.
    pub(super) fn assume(&mut self, now: Time, slot: usize, request: &Request) {
        let start = AssumedStart {
            task: request.task.clone(),
            class: request.class.clone(),
            need: request.need,
            started_at: now,
        };
        self.update(slot, |worker| worker.assumed_starts.push(start));
    }

    /// Frees the capacity of an ended task, also if the last report still covers it.
    pub(super) fn release(&mut self, slot: usize, task: &TaskKey, need: &Resources) {
        self.update(slot, |worker| {
            worker.assumed_starts.retain(|s| s.task != *task);
            let covered = worker.report.tasks.iter().position(|t| t == task);
            if let Some(position) = covered {
                worker.report.tasks.swap_remove(position);
                worker.report.granted = worker.report.granted.saturating_sub(need);
            }
        });
    }

    /// Replaces the need of a task that was assumed to start or that the report covers.
    pub(super) fn resize(&mut self, slot: usize, task: &TaskKey, old: &Resources, need: Resources) {
        self.update(slot, |worker| {
            for start in worker.assumed_starts.iter_mut().filter(|s| s.task == *task) {
                start.need = need;
            }
            if worker.report.tasks.contains(task) {
                let without = worker.report.granted.saturating_sub(old);
                worker.report.granted = without.saturating_add(&need);
            }
        });
    }

    /// Sets the free capacity that the agent reported with a refusal, which covers all
    /// starts so far.
    pub(super) fn set_free(&mut self, slot: usize, free: &Resources) {
        self.update(slot, |worker| {
            worker.report.granted = worker.report.total.saturating_sub(free);
            worker.assumed_starts.clear();
        });
    }

    /// Marks workers whose last report is too old.
    pub(super) fn mark_stale(&mut self, now: Time, config: &PlacementConfig) {
        while let Some(&(last_report, slot)) = self.by_last_report.first() {
            if now.since(last_report) <= config.stale {
                break;
            }
            self.by_last_report.pop_first();
            self.update(slot, |worker| worker.stale = true);
        }
    }

    /// Drops starts on one worker that no report covered in time.
    pub(super) fn expire_starts(&mut self, now: Time, slot: usize, config: &PlacementConfig) {
        self.update(slot, |worker| {
            let fresh = |s: &AssumedStart| now.since(s.started_at) <= config.assume;
            worker.assumed_starts.retain(fresh);
        });
    }

    /// Applies a change to a worker, then recomputes its free capacity and index cell.
    fn update(&mut self, slot: usize, apply: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.workers.get_mut(slot).and_then(Option::as_mut) {
            apply(worker);
        }
        self.reindex(slot);
    }

    fn reindex(&mut self, slot: usize) {
        let Some(worker) = self.workers.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        worker.refresh();
        let free = worker.accepts_starts().then_some(&worker.free);
        self.index.set_free(slot, free);
    }
}

/// Key of a total capacity in `shapes`.
fn shape(total: &Resources) -> (u64, u64, u32) {
    (total.cpu.0, total.memory.0, total.accelerators)
}
