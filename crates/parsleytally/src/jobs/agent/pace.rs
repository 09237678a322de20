//! Holds fillers where tasks that serve users stay over their targets.
//!
//! The owner takes off the fillers that do harm, by what it learned on all workers.
//! This is for the time in which its orders do not come or do not suffice.

use std::collections::HashMap;

use super::RunRef;
use crate::jobs::RunStatus;
use crate::jobs::fleet::FULL_PACE;

/// Tail latency over target at which a measurement counts against fillers.
const HIGH_STRAIN: f64 = 1.0;
/// Tail latency over target below which fillers may go on.
const LOW_STRAIN: f64 = 0.9;
/// Measurements over the target, with none far below it between, after which fillers
/// are held.
const PATIENCE: u32 = 5;
/// Measurements below it, with none over it between, after which they go on.
const CALM: u32 = 2;

/// What matters of a run beside others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Kind {
    /// Bound of its tail latency, in milliseconds; 0 is none.
    pub(super) target_ms: u64,
    pub(super) filler: bool,
}

/// The pace of the fillers of one worker.
#[derive(Debug, Default)]
pub(super) struct Pacer {
    kinds: HashMap<RunRef, Kind>,
    /// Pace that the owner ordered, in percent; none where it did not.
    wanted: HashMap<RunRef, u32>,
    /// Pace that the worker was last told, in percent; none of a run that was found.
    told: HashMap<RunRef, u32>,
    /// Whether fillers are held.
    held: bool,
    /// Measurements that speak for a change since the last that spoke against it.
    row: u32,
}

impl Pacer {
    pub(super) fn describe(&mut self, run: RunRef, kind: Kind) {
        if kind.filler || kind.target_ms > 0 {
            self.kinds.insert(run, kind);
        }
    }

    /// Takes a run that starts, and so at full pace.
    pub(super) fn started(&mut self, run: RunRef, kind: Kind) {
        self.describe(run, kind);
        self.told.insert(run, FULL_PACE);
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Takes the owner's order; returns whether it changes anything.
    pub(super) fn order(&mut self, run: RunRef, percent: u32) -> bool {
        self.wanted.insert(run, percent);
        self.told.insert(run, percent) != Some(percent)
    }

    /// Whether there are both fillers and tasks that they may disturb.
    pub(super) fn is_mixed(&self) -> bool {
        let fillers = self.kinds.values().any(|kind| kind.filler);
        fillers && self.kinds.values().any(|kind| kind.target_ms > 0)
    }

    /// Takes a measurement; returns the runs whose pace shall change, with its percent.
    pub(super) fn measured(&mut self, running: &[RunStatus]) -> Vec<(RunRef, u32)> {
        let runs = |run: &RunRef| running.iter().any(|task| task.run == *run);
        self.kinds.retain(|run, _| runs(run));
        self.wanted.retain(|run, _| runs(run));
        self.told.retain(|run, _| runs(run));
        let strain = running.iter().filter_map(|task| self.strain(task));
        self.judge(strain.fold(0.0, f64::max));
        let mut changes = Vec::new();
        for (run, _) in self.kinds.iter().filter(|(_, kind)| kind.filler) {
            let wanted = self.wanted.get(run).copied().unwrap_or(FULL_PACE);
            let percent = if self.held { 0 } else { wanted };
            if self.told.insert(*run, percent) != Some(percent) {
                changes.push((*run, percent));
            }
        }
        changes
    }

    /// A change that was ordered was not made.
    pub(super) fn unchanged(&mut self, run: RunRef) {
        self.told.remove(&run);
    }

    fn judge(&mut self, strain: f64) {
        let (high, low) = (strain > HIGH_STRAIN, strain < LOW_STRAIN);
        let (speaks, denies, enough) = if self.held {
            (low, high, CALM)
        } else {
            (high, low, PATIENCE)
        };
        if speaks {
            self.row += 1;
        }
        if denies {
            self.row = 0;
        }
        if self.row >= enough {
            self.held = !self.held;
            self.row = 0;
        }
    }

    fn strain(&self, task: &RunStatus) -> Option<f64> {
        let kind = self.kinds.get(&task.run)?;
        (kind.target_ms > 0).then(|| task.measurement as f64 / kind.target_ms as f64)
    }
}
