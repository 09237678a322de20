//! A run that an agent has ordered or seen on its worker.

use super::crashes::Sightings;
use super::{RunConclusion, RunEvidence, RunVerdict};
use crate::jobs::{RunRef, StartOrder};
use crate::types::Time;

/// Start state of a tracked run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartState {
    /// The start order was sent with this token; its answer is pending.
    Sent { fencing_token: u64 },
    /// A start order with this token or a lower one may still take effect.
    Unanswered { fencing_token: u64 },
    /// The worker had the run before it was sent any poll with a number above this one.
    Confirmed { last_poll: u64 },
}

/// A run that was ordered to start or stop, or that the worker listed.
#[derive(Debug, Clone)]
pub(super) struct TrackedRun {
    pub(super) state: StartState,
    /// Start order of the current owner; none for other runs.
    pub(super) order: Option<StartOrder>,
    /// When a call to start it was last sent.
    pub(super) start_sent: Option<Time>,
    /// When a stop order is sent again.
    pub(super) stop_due: Time,
    /// Whether the current owner ordered it to stop.
    pub(super) stop_ordered: bool,
    /// When it was known to be on the worker; none before its start is answered.
    pub(super) sightings: Option<Sightings>,
}

impl TrackedRun {
    /// Token of a start order that may still take effect.
    pub(super) fn unsettled_token(&self) -> Option<u64> {
        match self.state {
            StartState::Sent { fencing_token } | StartState::Unanswered { fencing_token } => {
                Some(fencing_token)
            }
            StartState::Confirmed { .. } => None,
        }
    }

    /// What is concluded about this run, numbered `run`.
    pub(super) fn conclude(
        &self,
        run: RunRef,
        verdict: RunVerdict,
        evidence: RunEvidence,
    ) -> RunConclusion {
        RunConclusion {
            run,
            verdict,
            evidence,
            start_sent: self.start_sent,
            known_at: self.sightings.map(Sightings::last),
        }
    }
}
