//! Pauses best-effort tasks while latency-sensitive tasks on the same worker exceed their
//! latency targets.
//!
//! The owner throttles or stops harmful best-effort tasks by its measurements of all
//! workers. This local rule covers the time in which its orders are missing or don't
//! suffice.
//!
//! A pause has a longest time: a service that stays near or over its target without best-effort
//! tasks beside it is slow for another reason. They then work again for at least as long as it
//! takes to pause them, which is shorter than services may be slowed by them.

use std::collections::{HashMap, HashSet};

use super::RunRef;
use crate::jobs::RunStatus;
use crate::jobs::fleet::FULL_CPU_SHARE;

/// Slowdown (tail latency divided by target) above which a measurement counts towards
/// pausing best-effort tasks.
const HIGH_SLOWDOWN: f64 = 1.0;
/// Slowdown below which a measurement counts towards resuming them.
const LOW_SLOWDOWN: f64 = 0.9;
/// Measurements above [`HIGH_SLOWDOWN`], with none below [`LOW_SLOWDOWN`] in between, after
/// which best-effort tasks are paused.
const PAUSE_AFTER: u32 = 5;
/// Measurements below [`LOW_SLOWDOWN`], with none above [`HIGH_SLOWDOWN`] in between,
/// after which they resume.
const RESUME_AFTER: u32 = 2;
/// Measurements of a pause after which they resume in any case: about 4 s.
const MAX_PAUSE: u32 = 8;

/// Properties of a run that matter to other runs on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunKind {
    /// Target of its tail latency, in milliseconds; 0 is none.
    pub(super) target_ms: u64,
    pub(super) best_effort: bool,
}

/// CPU shares of the best-effort runs of one worker.
#[derive(Debug, Default)]
pub(super) struct Throttle {
    kinds: HashMap<RunRef, RunKind>,
    /// CPU share that the owner ordered, in percent.
    ordered: HashMap<RunRef, u32>,
    /// CPU share that was last sent to the worker, in percent; none if it is unknown.
    sent: HashMap<RunRef, u32>,
    /// Runs with a call that is not answered; a second one could overtake it.
    pending: HashSet<RunRef>,
    /// Whether best-effort runs are paused.
    paused: bool,
    /// Measurements that favor pausing or resuming since the last that opposed it.
    streak: u32,
    /// Measurements since best-effort runs were last paused or resumed.
    phase_age: u32,
}

impl Throttle {
    pub(super) fn describe(&mut self, run: RunRef, kind: RunKind) {
        if kind.best_effort || kind.target_ms > 0 {
            self.kinds.insert(run, kind);
        }
    }

    /// Adds a run that starts, with a full CPU share.
    pub(super) fn started(&mut self, run: RunRef, kind: RunKind) {
        self.describe(run, kind);
        self.sent.insert(run, FULL_CPU_SHARE);
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Notes the CPU share that the owner ordered.
    pub(super) fn order(&mut self, run: RunRef, cpu_share: u32) {
        self.ordered.insert(run, cpu_share);
    }

    /// CPU share to send for a run that the owner ordered one for, if the worker may have
    /// another one.
    pub(super) fn take_unsent(&mut self, run: RunRef) -> Option<u32> {
        let ordered = self.ordered.get(&run).copied()?;
        let best_effort = self.kinds.get(&run).is_some_and(|kind| kind.best_effort);
        let paused = self.paused && best_effort;
        self.take(run, if paused { 0 } else { ordered })
    }

    /// The CPU share `wanted`, unless it was sent last or a call is pending.
    fn take(&mut self, run: RunRef, wanted: u32) -> Option<u32> {
        let is_sent = self.sent.get(&run) == Some(&wanted);
        if is_sent || !self.pending.insert(run) {
            return None;
        }
        self.sent.insert(run, wanted);
        Some(wanted)
    }

    /// Drops the runs that are not tracked any more.
    pub(super) fn retain(&mut self, is_tracked: impl Fn(&RunRef) -> bool) {
        self.kinds.retain(|run, _| is_tracked(run));
        self.ordered.retain(|run, _| is_tracked(run));
        self.sent.retain(|run, _| is_tracked(run));
        self.pending.retain(|run| is_tracked(run));
    }

    /// Whether there are both best-effort and latency-sensitive runs.
    pub(super) fn is_mixed(&self) -> bool {
        let has_best_effort = self.kinds.values().any(|kind| kind.best_effort);
        has_best_effort && self.kinds.values().any(|kind| kind.target_ms > 0)
    }

    /// Evaluates a measurement of all runs of the worker; returns the runs whose CPU share
    /// changes, each with its new share in percent.
    pub(super) fn evaluate(&mut self, running: &[RunStatus]) -> Vec<(RunRef, u32)> {
        let slowdowns = running.iter().filter_map(|status| self.slowdown(status));
        self.update_paused(slowdowns.fold(0.0, f64::max));
        self.changes(running)
    }

    /// Resumes paused runs of a worker without latency-sensitive runs; returns those whose CPU
    /// share changes, each with its new share in percent.
    pub(super) fn resume(&mut self, running: &[RunStatus]) -> Vec<(RunRef, u32)> {
        self.streak = 0;
        self.paused = false;
        self.changes(running)
    }

    /// Best-effort runs whose CPU share differs from the one that was sent.
    fn changes(&mut self, running: &[RunStatus]) -> Vec<(RunRef, u32)> {
        let is_running = |run: &RunRef| running.iter().any(|status| status.run == *run);
        let mut changes = Vec::new();
        let best_effort = |(run, kind): &(&RunRef, &RunKind)| kind.best_effort && is_running(run);
        let runs = self.kinds.iter().filter(best_effort).map(|(run, _)| *run);
        for run in runs.collect::<Vec<_>>() {
            let ordered = self.ordered.get(&run).copied().unwrap_or(FULL_CPU_SHARE);
            let wanted = if self.paused { 0 } else { ordered };
            changes.extend(self.take(run, wanted).map(|cpu_share| (run, cpu_share)));
        }
        changes
    }

    /// Notes the answer to a call; after a failure, the share is unknown and sent again.
    pub(super) fn answered(&mut self, run: RunRef, succeeded: bool) {
        self.pending.remove(&run);
        if !succeeded {
            self.sent.remove(&run);
        }
    }

    /// Pauses or resumes best-effort runs by the highest slowdown of a measurement.
    fn update_paused(&mut self, slowdown: f64) {
        let (high, low) = (slowdown > HIGH_SLOWDOWN, slowdown < LOW_SLOWDOWN);
        let (favors, opposes, required) = if self.paused {
            (low, high, RESUME_AFTER)
        } else {
            (high, low, PAUSE_AFTER)
        };
        if favors {
            self.streak += 1;
        }
        if opposes {
            self.streak = 0;
        }
        self.phase_age = self.phase_age.saturating_add(1);
        let overdue = self.paused && self.phase_age >= MAX_PAUSE;
        if self.streak >= required || overdue {
            self.paused = !self.paused;
            self.streak = 0;
            self.phase_age = 0;
        }
    }

    fn slowdown(&self, status: &RunStatus) -> Option<f64> {
        let kind = self.kinds.get(&status.run)?;
        (kind.target_ms > 0).then(|| status.measurement as f64 / kind.target_ms as f64)
    }
}
