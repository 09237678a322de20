//! Why ready tasks wait: for which reasons the workers of their pool turn them away.
//!
//! Each worker has one reason, the first that applies in the order of [`WaitReason`], so the
//! counts of a step add up to the workers of its pool.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;

use super::{JobId, PoolUse, RunRef, TaskId};
use crate::types::{NodeName, Time};

/// Time after which the wait of a step is explained.
const EXPLAIN_AFTER: Duration = Duration::from_secs(1);
/// Minimum time between two explanations of a step.
const EXPLAIN_INTERVAL: Duration = Duration::from_secs(1);

/// Why a task can't start on a worker, or at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub enum WaitReason {
    /// The last read of the evacuation requests is too old for starts.
    OldRead,
    /// An agent of the predecessor has not reported and may keep a run of the job.
    Unreported,
    /// The store does not have the marks of a crash yet.
    Unsaved,
    /// The worker is not linked, not listed, silent or shutting down.
    Unavailable,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It is quarantined after failures or a refused start.
    Quarantined,
    /// It lacks the required label.
    Label,
    /// Its free resources don't suffice.
    Room,
    /// Its best-effort runs request as many processors as they may.
    CpuLimit,
    /// It is on probation or flaps.
    Standing,
    /// A task there, or this one, must start without others.
    Isolation,
    /// It runs as many tasks of the step as it may.
    PerWorker,
    /// The effect of the task on a service there is being tried on another worker.
    Trial,
    /// The headroom beside a service there does not suffice.
    Headroom,
    /// A worker could take it, and was given to others or is kept for them.
    Order,
}

/// The agent, run or mark that holds a task back; only logged.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WaitHolder {
    /// An agent of the predecessor that has not listed its runs.
    #[display("agent={node} lacks={lacks} since_ms={since_ms} links={links} agents={agents}")]
    Agent {
        /// The agent.
        node: NodeName,
        /// What it has not done.
        lacks: MissingStep,
        /// Time since this owner has expected it, in milliseconds.
        since_ms: u64,
        /// Number of links to it that this owner has opened.
        links: u32,
        /// Number of such agents.
        agents: usize,
    },
    /// A run beside which no other job starts.
    #[display("agent={node} task={} run={} remaining_ms={remaining_ms}", run.task, run.run)]
    IsolatedRun {
        /// Its worker's agent.
        node: NodeName,
        /// The run.
        run: RunRef,
        /// Time until others may start beside it, in milliseconds.
        remaining_ms: u64,
    },
    /// Marks of crashes of the task itself.
    #[display("marks={marks}")]
    Marks {
        /// Number of the marks.
        marks: usize,
    },
}

/// What an agent has not done yet before its owner knows its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum MissingStep {
    /// It is not linked.
    Link,
    /// It has not reported its worker.
    Report,
    /// It has not listed the worker's runs.
    Listing,
}

/// Why the tasks of a step wait; only logged and counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitEvidence {
    /// The first task that waits.
    pub task: TaskId,
    /// Number of waiting tasks of the step.
    pub tasks: usize,
    /// Number of running tasks of the job.
    pub running: usize,
    /// Time since the step was ready or last started a task, in milliseconds.
    pub waited_ms: u64,
    /// The reason of most workers.
    pub reason: WaitReason,
    /// What holds the first task back, if a single thing is known.
    pub holder: Option<WaitHolder>,
    /// Number of the first task's starts that came to nothing since a worker last had a run of it.
    pub vain_starts: u32,
    /// Number of workers of the pool by reason.
    pub workers: BTreeMap<WaitReason, usize>,
    /// Share of the pool's processors that nothing has reserved, in percent.
    pub free_percent: u32,
    /// Use of the pool, as it decides how long the step may wait.
    pub pool_use: PoolUse,
}

/// The wait of a step since it was ready or last started a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wait {
    pub(super) since: Time,
    /// Number of workers to which the step was offered although headroom or limits exclude them.
    pub(super) offered: usize,
    explained_at: Option<Time>,
    reason: Option<WaitReason>,
}

impl Wait {
    pub(super) fn since(now: Time) -> Self {
        Self {
            since: now,
            offered: 0,
            explained_at: None,
            reason: None,
        }
    }

    /// Whether to explain it now.
    pub(super) fn is_due(&self, now: Time) -> bool {
        let last = self.explained_at;
        now.since(self.since) >= EXPLAIN_AFTER
            && last.is_none_or(|last| now.since(last) >= EXPLAIN_INTERVAL)
    }

    /// Notes an explanation; returns whether the reason has changed.
    pub(super) fn explain(&mut self, now: Time, reason: WaitReason) -> bool {
        self.explained_at = Some(now);
        self.reason.replace(reason) != Some(reason)
    }

    pub(super) fn explained_at(&self) -> Option<Time> {
        self.explained_at
    }

    pub(super) fn reason(&self) -> Option<WaitReason> {
        self.reason
    }
}

/// Steps that have waited for a while, by the reason last found.
pub type WaitCounts = BTreeMap<WaitReason, usize>;

/// The reason of most workers; [`WaitReason::Order`] if a worker has none.
pub(super) fn main_reason(workers: &WaitCounts) -> WaitReason {
    if workers.is_empty() {
        return WaitReason::Unavailable;
    }
    if workers.contains_key(&WaitReason::Order) {
        return WaitReason::Order;
    }
    let most = workers
        .iter()
        .max_by_key(|(reason, count)| (**count, **reason));
    most.map_or(WaitReason::Unavailable, |(reason, _)| *reason)
}

/// Jobs whose steps wait, for the choice of those to explain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueWait {
    pub(super) explained_at: Option<Time>,
    pub(super) job: JobId,
    pub(super) round: usize,
    pub(super) step: usize,
}

/// Time from `since` to `now`, in milliseconds.
pub(super) fn millis(now: Time, since: Time) -> u64 {
    u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX)
}
