//! Picture of the workers, from reports that are stale and starts not yet reported.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::configs::PlacementConfig;
use crate::types::{Bytes, MilliCpu, NodeName, Resources, TaskKey, Time};

use super::index::Index;
use super::{FilterReason, Report, Request};

/// A start that the worker's report does not cover yet.
#[derive(Debug)]
struct Assumed {
    task: TaskKey,
    class: Arc<str>,
    need: Resources,
    at: Time,
}

/// One worker as it is known here.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) report: Report,
    pub(super) free: Resources,
    pub(super) reserved: Option<(TaskKey, Time)>,
    pub(super) quarantined: bool,
    pub(super) stale: bool,
    seen: Time,
    assumed: Vec<Assumed>,
}

impl Worker {
    fn refresh(&mut self) {
        let granted = &self.report.granted;
        let mut free = saturating_sub(&self.report.total, granted);
        for start in &self.assumed {
            free = saturating_sub(&free, &start.need);
        }
        self.free = free;
    }

    fn drop_covered(&mut self, covered: &[TaskKey]) {
        if self.assumed.is_empty() {
            return;
        }
        let covered = covered.iter().collect::<HashSet<_>>();
        self.assumed.retain(|start| !covered.contains(&start.task));
    }

    /// Class and size of the starts that the report does not cover yet.
    pub(super) fn assumed(&self) -> impl Iterator<Item = (&str, &Resources)> {
        self.assumed
            .iter()
            .map(|start| (&*start.class, &start.need))
    }

    pub(super) fn seen(&self) -> Time {
        self.seen
    }

    fn open(&self) -> bool {
        self.report.ready && !self.quarantined && !self.stale
    }

    /// First reason for which `need` of `task` cannot start here now.
    pub(super) fn rules_out(
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
        self.lacks(need, config)
    }

    fn lacks(&self, need: &Resources, config: &PlacementConfig) -> Option<FilterReason> {
        if need.accelerators > self.free.accelerators {
            return Some(FilterReason::Accelerators);
        }
        if need.cpu > self.free.cpu {
            return Some(FilterReason::Cpu);
        }
        if need.memory > self.free.memory {
            return Some(FilterReason::Memory);
        }
        let kept = kept_beside(self.free.accelerators, config);
        let left = saturating_sub(&self.free, need);
        let taken = need.accelerators == 0 && !kept.fits(&left);
        taken.then_some(FilterReason::AcceleratorHeadroom)
    }
}

/// Room that stays free beside `count` free accelerators.
fn kept_beside(count: u32, config: &PlacementConfig) -> Resources {
    let count = u64::from(count);
    let cpu = config.accelerator_cpu.saturating_mul(count);
    let memory = config.accelerator_memory.saturating_mul(count);
    Resources::new(cpu, memory, 0)
}

/// All known workers.
#[derive(Debug)]
pub(super) struct Fleet {
    workers: Vec<Option<Worker>>,
    names: HashMap<NodeName, usize>,
    vacant: Vec<usize>,
    expiry: BTreeSet<(Time, usize)>,
    shapes: BTreeMap<(u64, u64, u32), u32>,
    pub(super) index: Index,
    pub(super) total: Resources,
}

impl Fleet {
    pub(super) fn new() -> Self {
        Self {
            workers: Vec::new(),
            names: HashMap::new(),
            vacant: Vec::new(),
            expiry: BTreeSet::new(),
            shapes: BTreeMap::new(),
            index: Index::new(),
            total: Resources::NONE,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    pub(super) fn slots(&self) -> usize {
        self.workers.len()
    }

    pub(super) fn get(&self, at: usize) -> Option<&Worker> {
        self.workers.get(at)?.as_ref()
    }

    pub(super) fn find(&self, name: &NodeName) -> Option<usize> {
        self.names.get(name).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().flatten()
    }

    /// Whether some known worker, were it empty, could hold `need`.
    pub(super) fn could_hold(&self, need: &Resources) -> bool {
        let holds = |&(cpu, memory, accelerators): &(u64, u64, u32)| {
            need.fits(&Resources::new(cpu, memory, accelerators))
        };
        self.names.is_empty() || self.shapes.keys().any(holds)
    }

    /// Takes a report; returns the worker and whether a new shape came with it.
    pub(super) fn report(&mut self, now: Time, report: Report) -> (usize, bool) {
        let at = self.find(&report.worker);
        let at = at.unwrap_or_else(|| self.vacant.pop().unwrap_or(self.workers.len()));
        if at == self.workers.len() {
            self.workers.push(None);
        }
        let old = self.workers[at].take();
        let new_shape = self.swap_shape(old.as_ref().map(|w| w.report.total), report.total);
        let worker = match old {
            None => Worker {
                free: Resources::NONE,
                reserved: None,
                quarantined: false,
                stale: false,
                seen: now,
                assumed: Vec::new(),
                report,
            },
            Some(mut worker) => {
                self.expiry.remove(&(worker.seen, at));
                worker.drop_covered(&report.tasks);
                worker.seen = now;
                worker.stale = false;
                worker.report = report;
                worker
            }
        };
        self.names.insert(worker.report.worker.clone(), at);
        self.workers[at] = Some(worker);
        self.expiry.insert((now, at));
        self.refresh(at);
        (at, new_shape)
    }

    fn swap_shape(&mut self, old: Option<Resources>, new: Resources) -> bool {
        if let Some(old) = old {
            self.drop_shape(&old);
        }
        self.total = saturating_add(&self.total, &new);
        let count = self.shapes.entry(shape(&new)).or_default();
        *count += 1;
        *count == 1
    }

    fn drop_shape(&mut self, old: &Resources) {
        self.total = saturating_sub(&self.total, old);
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
        let Some(at) = self.names.remove(name) else {
            return;
        };
        if let Some(worker) = self.workers[at].take() {
            self.drop_shape(&worker.report.total);
            self.expiry.remove(&(worker.seen, at));
        }
        self.index.put(at, None);
        self.vacant.push(at);
    }

    pub(super) fn set_quarantined(&mut self, at: usize, quarantined: bool) {
        self.change(at, |worker| worker.quarantined = quarantined);
    }

    pub(super) fn reserve(&mut self, at: usize, by: Option<(TaskKey, Time)>) {
        self.change(at, |worker| worker.reserved = by);
    }

    /// Holds a start against the worker until a report covers the task.
    pub(super) fn assume(&mut self, now: Time, at: usize, request: &Request) {
        let start = Assumed {
            task: request.task.clone(),
            class: request.class.clone(),
            need: request.need,
            at: now,
        };
        self.change(at, |worker| worker.assumed.push(start));
    }

    /// Takes back an ended task that the last report still covers.
    pub(super) fn release(&mut self, at: usize, task: &TaskKey, need: &Resources) {
        self.change(at, |worker| {
            worker.assumed.retain(|s| s.task != *task);
            let covered = worker.report.tasks.iter().position(|t| t == task);
            if let Some(position) = covered {
                worker.report.tasks.swap_remove(position);
                worker.report.granted = saturating_sub(&worker.report.granted, need);
            }
        });
    }

    /// Replaces the need of a task that is assumed or that the last report covers.
    pub(super) fn resize(&mut self, at: usize, task: &TaskKey, old: &Resources, need: Resources) {
        self.change(at, |worker| {
            for start in worker.assumed.iter_mut().filter(|s| s.task == *task) {
                start.need = need;
            }
            if worker.report.tasks.contains(task) {
                let without = saturating_sub(&worker.report.granted, old);
                worker.report.granted = saturating_add(&without, &need);
            }
        });
    }

    /// Corrects the picture by what a refusing agent says is free.
    pub(super) fn correct(&mut self, at: usize, free: &Resources) {
        self.change(at, |worker| {
            worker.report.granted = saturating_sub(&worker.report.total, free);
            worker.assumed.clear();
        });
    }

    /// Marks workers whose reports have grown old and drops unanswered starts.
    pub(super) fn expire(&mut self, now: Time, config: &PlacementConfig) {
        while let Some(&(seen, at)) = self.expiry.first() {
            if now.since(seen) <= config.stale {
                break;
            }
            self.expiry.pop_first();
            self.change(at, |worker| worker.stale = true);
        }
    }

    /// Drops starts on one worker that nobody answered in time.
    pub(super) fn expire_starts(&mut self, now: Time, at: usize, config: &PlacementConfig) {
        self.change(at, |worker| {
            let fresh = |s: &Assumed| now.since(s.at) <= config.assume;
            worker.assumed.retain(fresh);
        });
    }

    fn change(&mut self, at: usize, change: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.workers.get_mut(at).and_then(Option::as_mut) {
            change(worker);
        }
        self.refresh(at);
    }

    fn refresh(&mut self, at: usize) {
        let Some(worker) = self.workers.get_mut(at).and_then(Option::as_mut) else {
            return;
        };
        worker.refresh();
        let open = worker.open().then_some(&worker.free);
        self.index.put(at, open);
    }
}

fn shape(total: &Resources) -> (u64, u64, u32) {
    (total.cpu.0, total.memory.0, total.accelerators)
}

pub(super) fn saturating_sub(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: MilliCpu(a.cpu.0.saturating_sub(b.cpu.0)),
        memory: Bytes(a.memory.0.saturating_sub(b.memory.0)),
        accelerators: a.accelerators.saturating_sub(b.accelerators),
    }
}

pub(super) fn saturating_add(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: MilliCpu(a.cpu.0.saturating_add(b.cpu.0)),
        memory: Bytes(a.memory.0.saturating_add(b.memory.0)),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}
