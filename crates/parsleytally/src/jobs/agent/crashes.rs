//! Runs that were on the worker when it crashed.
//!
//! A worker that answers as a later incarnation has lost the runs of the earlier one. Unless it
//! had announced its end, it crashed, and one of these runs may be the cause. Only the agent
//! is sure to know them: the owner may change before the worker is back.

use std::collections::VecDeque;

use super::{AgentMessage, AgentOutput, CrashedRun, JobAgent, TrackedRun, WorkerCrash};
use crate::jobs::{RunRef, WorkerIncarnation};
use crate::types::Time;

/// Most crashes that are kept; the oldest is dropped first.
const MAX_CRASHES: usize = 16;

/// When a run was first and last known to be on the worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sightings {
    first: Time,
    last: Time,
}

impl Sightings {
    pub(super) fn at(now: Time) -> Self {
        Self {
            first: now,
            last: now,
        }
    }

    pub(super) fn extend_to(&mut self, at: Time) {
        self.last = self.last.max(at);
    }

    pub(super) fn last(self) -> Time {
        self.last
    }

    fn span_ms(self) -> u64 {
        u64::try_from(self.last.since(self.first).as_millis()).unwrap_or(u64::MAX)
    }
}

/// Crashes of the worker, and runs of which it is not known yet whether they were lost in one.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Runs of the present incarnation that count as ended since its leases have expired.
    expired: Vec<CrashedRun>,
    /// Crashes that the store may not have, the oldest first.
    known: VecDeque<WorkerCrash>,
}

impl Crashes {
    /// Keeps runs whose leases have expired while the worker does not answer.
    pub(super) fn add_expired(&mut self, runs: impl Iterator<Item = CrashedRun>) {
        self.expired.extend(runs);
    }

    /// Notes that the present incarnation answers: it has not crashed.
    pub(super) fn clear_expired(&mut self) {
        self.expired.clear();
    }

    /// Adds a crash of `incarnation` with `runs` and those that had expired; returns it unless
    /// it had no runs.
    fn add(
        &mut self,
        incarnation: WorkerIncarnation,
        runs: impl Iterator<Item = CrashedRun>,
    ) -> Option<&WorkerCrash> {
        let mut lost = std::mem::take(&mut self.expired);
        lost.extend(runs);
        if lost.is_empty() {
            return None;
        }
        if self.known.len() == MAX_CRASHES {
            self.known.pop_front();
        }
        self.known.push_back(WorkerCrash {
            incarnation,
            runs: lost,
        });
        self.known.back()
    }

    /// Drops a crash that the store has.
    pub(super) fn acknowledge(&mut self, incarnation: &WorkerIncarnation) {
        self.known.retain(|crash| crash.incarnation != *incarnation);
    }
}

/// The run as part of a crash.
pub(super) fn crashed_run((run, tracked): (&RunRef, &TrackedRun)) -> CrashedRun {
    CrashedRun {
        run: *run,
        seen_ms: tracked.sightings.map(Sightings::span_ms),
    }
}

impl JobAgent {
    /// Records that the present incarnation of the worker has crashed, if it had not announced
    /// its end.
    pub(super) fn record_crash(&mut self, out: &mut Vec<AgentOutput>) {
        let announced = self.shutdown_noticed || self.is_draining();
        let report = self.report.as_ref().filter(|_| !announced);
        let Some(incarnation) = report.map(|report| report.incarnation.clone()) else {
            self.crashes.clear_expired();
            return;
        };
        let runs = self.runs.iter().map(crashed_run);
        if let Some(crash) = self.crashes.add(incarnation, runs) {
            out.push(AgentOutput::Send(AgentMessage::Crashed(crash.clone())));
        }
    }

    /// Tells a new owner of the crashes.
    pub(super) fn send_crashes(&self, out: &mut Vec<AgentOutput>) {
        let crashes = self.crashes.known.iter().cloned();
        out.extend(crashes.map(AgentMessage::Crashed).map(AgentOutput::Send));
    }
}
