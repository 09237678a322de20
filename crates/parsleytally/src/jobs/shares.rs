//! Shares of the queues in each pool, and the order in which queues place their steps.
//!
//! A queue's use is derived from the runs that occupy its pool's workers, so a run counts
//! from its start order until its end is certain, and once only. Long-running tasks are not
//! counted: they hold their capacity until cancelled and can't return it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use super::QueueName;
use super::fleet::Worker;
use super::job::StepRef;
use super::{RunRef, urgency::Urgency};
use crate::configs::SharesConfig;
use crate::dominant_share::{dominant_share, weighted_share};
use crate::types::{NodeName, Resources};

/// Share of the pool, in millionths, by which a queue may pass the next one before that one's
/// turn. Each turn scores the workers again, so larger turns cost less.
const TURN_SHARE: u64 = 10_000;
/// A whole in percent.
const PERCENT: u64 = 100;

/// Tasks of queues on one worker, as counted in [`Pool`].
#[derive(Debug, Default)]
struct WorkerUse {
    pool: Arc<str>,
    capacity: Resources,
    queues: BTreeMap<QueueName, Resources>,
}

/// Capacity of a pool and what each queue uses of it.
#[derive(Debug, Default)]
struct Pool {
    capacity: Resources,
    queues: BTreeMap<QueueName, Resources>,
}

/// What the queues use of their pools.
#[derive(Debug)]
pub(super) struct Shares {
    pub(super) config: Arc<SharesConfig>,
    workers: BTreeMap<NodeName, WorkerUse>,
    pools: HashMap<Arc<str>, Pool>,
}

/// Use of a pool by a queue, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueUsage {
    /// The queue.
    pub queue: QueueName,
    /// Dominant share of its pool that its tasks take, long-running ones excepted.
    pub share: f64,
    /// Number of its tasks that are ready but not placed on a worker.
    pub waiting: usize,
}

impl Shares {
    pub(super) fn new(config: Arc<SharesConfig>) -> Self {
        Self {
            config,
            workers: BTreeMap::new(),
            pools: HashMap::new(),
        }
    }

    /// Counts the runs of a worker again. `queue_of` returns the queue of a run that counts.
    pub(super) fn recount<'a>(
        &mut self,
        node: &NodeName,
        worker: Option<&Worker>,
        queue_of: impl Fn(&RunRef) -> Option<&'a QueueName>,
    ) {
        if let Some(old) = self.workers.remove(node) {
            let pool = self.pools.entry(old.pool).or_default();
            pool.capacity = pool.capacity.saturating_sub(&old.capacity);
            for (queue, used) in &old.queues {
                let sum = pool.queues.entry(queue.clone()).or_default();
                *sum = sum.saturating_sub(used);
            }
        }
        let Some((worker, report)) = worker.and_then(|w| Some((w, w.report.as_ref()?))) else {
            return;
        };
        let mut current = WorkerUse {
            pool: report.service.clone(),
            capacity: if worker.linked {
                report.capacity
            } else {
                Resources::NONE
            },
            queues: BTreeMap::new(),
        };
        for (run, load) in &worker.runs {
            if let Some(queue) = queue_of(run) {
                let sum = current.queues.entry(queue.clone()).or_default();
                *sum = sum.saturating_add(&load.need);
            }
        }
        let pool = self.pools.entry(current.pool.clone()).or_default();
        pool.capacity = pool.capacity.saturating_add(&current.capacity);
        for (queue, used) in &current.queues {
            let sum = pool.queues.entry(queue.clone()).or_default();
            *sum = sum.saturating_add(used);
        }
        self.workers.insert(node.clone(), current);
    }

    /// Counts a run that starts.
    pub(super) fn charge(&mut self, node: &NodeName, queue: &QueueName, need: &Resources) {
        self.adjust(node, queue, |used| used.saturating_add(need));
    }

    /// Takes back [`Self::charge`].
    pub(super) fn refund(&mut self, node: &NodeName, queue: &QueueName, need: &Resources) {
        self.adjust(node, queue, |used| used.saturating_sub(need));
    }

    fn adjust(
        &mut self,
        node: &NodeName,
        queue: &QueueName,
        change: impl Fn(&Resources) -> Resources,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let on_worker = worker.queues.entry(queue.clone()).or_default();
        *on_worker = change(on_worker);
        if let Some(pool) = self.pools.get_mut(&worker.pool) {
            let in_pool = pool.queues.entry(queue.clone()).or_default();
            *in_pool = change(in_pool);
        }
    }

    /// Share of the pool that `queue` uses, divided by its weight, in millionths.
    pub(super) fn weighted(&self, pool: &str, queue: &QueueName) -> u64 {
        let Some(pool) = self.pools.get(pool) else {
            return 0;
        };
        let used = pool.queues.get(queue).copied().unwrap_or_default();
        let weight = self.config.share(&queue.0).weight;
        weighted_share(&used, &pool.capacity, weight)
    }

    /// Weighted share of one task that needs `need`, in millionths.
    pub(super) fn weighted_task(&self, pool: &str, queue: &QueueName, need: &Resources) -> u64 {
        let capacity = self.pools.get(pool).map(|pool| pool.capacity);
        let weight = self.config.share(&queue.0).weight;
        weighted_share(need, &capacity.unwrap_or_default(), weight)
    }

    /// Share of the pool that `queue` uses, of 1.
    pub(super) fn share(&self, pool: &str, queue: &QueueName) -> f64 {
        let Some(pool) = self.pools.get(pool) else {
            return 0.0;
        };
        let used = pool.queues.get(queue);
        used.map_or(0.0, |used| dominant_share(used, &pool.capacity))
    }

    /// Number of tasks that need `need` each and fit into the quota of `queue`.
    pub(super) fn quota_room(&self, pool: &str, queue: &QueueName, need: &Resources) -> usize {
        let quota = self.config.share(&queue.0).quota_percent;
        let (Some(percent), Some(pool)) = (quota, self.pools.get(pool)) else {
            return usize::MAX;
        };
        let used = pool.queues.get(queue).copied().unwrap_or_default();
        let limit = |whole: u64| {
            let part = u128::from(whole) * u128::from(percent) / u128::from(PERCENT);
            u64::try_from(part).unwrap_or(u64::MAX)
        };
        let room = |need: u64, used: u64, whole: u64| {
            let free = limit(whole).saturating_sub(used);
            free.checked_div(need).unwrap_or(u64::MAX)
        };
        let cpu = room(need.cpu.0, used.cpu.0, pool.capacity.cpu.0);
        let memory = room(need.memory.0, used.memory.0, pool.capacity.memory.0);
        let accelerators = room(
            need.accelerators.into(),
            used.accelerators.into(),
            pool.capacity.accelerators.into(),
        );
        usize::try_from(cpu.min(memory).min(accelerators)).unwrap_or(usize::MAX)
    }
}

/// A ready step of a queue.
#[derive(Debug, Clone)]
pub(super) struct QueuedStep {
    pub(super) urgency: Urgency,
    pub(super) at: StepRef,
    pub(super) queue: QueueName,
    pub(super) pool: Arc<str>,
    pub(super) need: Resources,
    /// Number of tasks that can only start together; 1 except for gangs.
    pub(super) together: usize,
}

/// The next step to place, and how many of its tasks at most.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Turn {
    pub(super) at: StepRef,
    pub(super) limit: usize,
}

/// Ready steps of one placement pass: the queue with the lowest weighted share comes first,
/// and within a queue the most urgent step.
#[derive(Debug, Default)]
pub(super) struct Order {
    queues: BTreeMap<(Arc<str>, QueueName), VecDeque<QueuedStep>>,
}

impl Order {
    /// Sorts `steps`, which are in order of urgency, by queue.
    pub(super) fn new(steps: impl Iterator<Item = QueuedStep>) -> Self {
        let mut order = Self::default();
        for step in steps {
            let key = (step.pool.clone(), step.queue.clone());
            order.queues.entry(key).or_default().push_back(step);
        }
        order
    }

    /// The step whose turn it is; steps beyond the quota of their queue are left out.
    pub(super) fn next(&mut self, shares: &Shares) -> Option<Turn> {
        loop {
            let (key, step) = self.lowest(shares)?;
            let room = shares.quota_room(&key.0, &key.1, &step.need);
            if room < step.together {
                let (key, at) = (key.clone(), step.at);
                self.skip(&key, at);
                continue;
            }
            let limit = self.turn_limit(shares, key, step);
            let limit = limit.min(room).max(step.together);
            return Some(Turn { at: step.at, limit });
        }
    }

    /// Ends the turns of a step that is placed or can't be placed now.
    pub(super) fn finish(&mut self, at: StepRef) {
        let is_head = |steps: &VecDeque<QueuedStep>| steps.front().is_some_and(|s| s.at == at);
        let key = self.queues.iter().find(|(_, steps)| is_head(steps));
        if let Some(key) = key.map(|(key, _)| key.clone()) {
            self.skip(&key, at);
        }
    }

    fn skip(&mut self, key: &(Arc<str>, QueueName), at: StepRef) {
        if let Some(steps) = self.queues.get_mut(key) {
            steps.pop_front_if(|step| step.at == at);
            if steps.is_empty() {
                self.queues.remove(key);
            }
        }
    }

    fn lowest(&self, shares: &Shares) -> Option<(&(Arc<str>, QueueName), &QueuedStep)> {
        let heads = self.queues.iter();
        let heads = heads.filter_map(|(key, steps)| Some((key, steps.front()?)));
        heads.min_by_key(|(key, step)| (shares.weighted(&key.0, &key.1), step.urgency))
    }

    /// Number of tasks after which another queue of the pool has a lower share.
    fn turn_limit(&self, shares: &Shares, key: &(Arc<str>, QueueName), step: &QueuedStep) -> usize {
        let others = self
            .queues
            .keys()
            .filter(|other| other.0 == key.0 && *other != key);
        let next = others
            .map(|(pool, queue)| shares.weighted(pool, queue))
            .min();
        let Some(next) = next else {
            return usize::MAX;
        };
        let own = shares.weighted(&key.0, &key.1);
        let task = shares.weighted_task(&key.0, &key.1, &step.need).max(1);
        let tasks = next.saturating_add(TURN_SHARE).saturating_sub(own) / task;
        usize::try_from(tasks.max(1)).unwrap_or(usize::MAX)
    }
}

/// Queues with the names of their pools, without duplicates.
pub(super) fn distinct<'a>(
    queues: impl Iterator<Item = (&'a QueueName, &'a Arc<str>)>,
) -> BTreeSet<(QueueName, Arc<str>)> {
    queues
        .map(|(queue, pool)| (queue.clone(), pool.clone()))
        .collect()
}
