//! Decisions about uneven and changed workers, for logs and metrics.

use std::sync::Arc;

use super::{RunRef, TaskId};
use crate::types::{NodeName, Resources};

/// How a worker compares with its peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkerStanding {
    /// It gets one run at a time until one succeeds.
    Probation,
    /// It restarts or stops answering often, and gets no task that would lose much work.
    Flapping,
    /// It is slower, fails more often or starts later than its peers; others go first.
    Degraded,
    /// Like its peers, or not known.
    #[default]
    Sound,
}

/// On what the standing of a worker is based; values are absent without enough samples.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HealthEvidence {
    /// Run times relative to its peers, in percent.
    pub slowness_percent: Option<u32>,
    /// Share of its runs that failed, in percent.
    pub failure_percent: Option<u32>,
    /// Time from the order of a run to its first measurement, in milliseconds.
    pub start_delay_ms: Option<u64>,
    /// Outages within the last minute.
    pub outages: usize,
    /// Age of the newest sample, in milliseconds.
    pub age_ms: u64,
}

/// Why tasks of a step wait for their preferred rack, or start elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RackEvidence {
    /// First of the tasks.
    pub task: TaskId,
    /// Number of the tasks.
    pub tasks: usize,
    /// The preferred rack.
    pub rack: Arc<str>,
    /// Time that the last task has waited, in milliseconds.
    pub waited_ms: u64,
    /// Forecast of its further wait, in milliseconds.
    pub forecast_ms: u64,
    /// Wait that costs as much as running elsewhere, in milliseconds.
    pub allowed_ms: u64,
}

/// Why a run gets a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyEvidence {
    /// Time since the order of the run, in milliseconds.
    pub elapsed_ms: u64,
    /// Mean run time of the done tasks of its step, in milliseconds.
    pub mean_ms: u64,
    /// Its expected remaining time, in milliseconds.
    pub remaining_ms: u64,
    /// Age of its last measurement, in milliseconds; none without one that counts.
    pub age_ms: Option<u64>,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallEvidence {
    /// Its progress, in percent.
    pub percent: u32,
    /// Time for which measurements have shown no more, in milliseconds.
    pub stalled_ms: u64,
    /// Its expected run time, in milliseconds.
    pub expected_ms: u64,
    /// Number of those measurements.
    pub measurements: u32,
}

/// A decision about an uneven worker, or a change of one.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkersDecision {
    /// The capacity of a worker has changed.
    Capacity {
        /// The worker's agent.
        node: NodeName,
        /// The capacity before.
        before: Resources,
        /// The capacity now.
        after: Resources,
        /// Sum of the needs of its runs.
        reserved: Resources,
    },
    /// The standing of a worker has changed.
    Standing {
        /// The worker's agent.
        node: NodeName,
        /// Its new standing.
        standing: WorkerStanding,
        /// On what it is based.
        evidence: HealthEvidence,
    },
    /// Tasks wait for room in their preferred rack.
    RackWait(RackEvidence),
    /// Tasks start outside their preferred rack, as waiting would cost more.
    RackGivenUp(RackEvidence),
    /// A straggler gets a copy.
    Copy {
        /// The copy.
        run: RunRef,
        /// Agent of the worker of the copy.
        node: NodeName,
        /// Number of the run that is a straggler.
        original: u32,
        /// Why.
        evidence: CopyEvidence,
    },
    /// The first of several runs of a task is done, and the others are stopped.
    CopiesEnded {
        /// The run that is done.
        run: RunRef,
        /// Whether it started later than another.
        copy_won: bool,
    },
    /// A run is stopped, as it makes no progress.
    Stall {
        /// The run.
        run: RunRef,
        /// The worker's agent.
        node: NodeName,
        /// Why.
        evidence: StallEvidence,
    },
}
