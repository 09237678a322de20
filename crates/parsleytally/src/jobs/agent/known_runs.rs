//! What an agent knows of the runs on its worker without asking it, for a new owner.
//!
//! Each run is tracked from before it is ordered until the worker shows that it has ended, is missing or
//! can't start. So the agent knows them all from its first listing on, which has those that earlier
//! agent processes ordered. Ended runs are kept until the worker drops them: that shows that the
//! store has them.

use std::collections::BTreeSet;

use super::{AgentMessage, AgentOutput, JobAgent, Listing, PollCall, RunRef};
use crate::types::Time;

/// Runs of the present incarnation beside the tracked ones.
#[derive(Debug, Default)]
pub(super) struct KnownRuns {
    /// Whether all runs of this incarnation were listed to an owner.
    pub(super) are_complete: bool,
    /// Ended runs that the worker listed last.
    ended: BTreeSet<RunRef>,
}

impl KnownRuns {
    /// Notes the ended runs of an answer in use.
    pub(super) fn note_ends(&mut self, listing: &Listing) {
        if listing.complete {
            self.ended.clear();
        }
        self.ended.extend(listing.ended.iter().map(|end| end.run));
    }
}

impl JobAgent {
    /// Tells a new owner all runs that may be on the worker, unless there may be others.
    pub(super) fn send_known_runs(&self, now: Time, out: &mut Vec<AgentOutput>) {
        let is_sure =
            self.known_runs.are_complete && self.successor.is_none() && !self.unnamed.is_in_doubt();
        // Without leases, an agent has not asked its worker for a while: another process may have.
        if !is_sure || self.all_leases_expired(now) {
            return;
        }
        let tracked = self.runs.keys().copied();
        let runs: BTreeSet<RunRef> = tracked
            .chain(self.known_runs.ended.iter().copied())
            .collect();
        let runs = runs.into_iter().collect();
        out.push(AgentOutput::Send(AgentMessage::MayRun(runs)));
    }

    /// Notes that the worker refused a poll as fenced: if it has the present token, someone else gives
    /// the worker orders.
    pub(super) fn note_fenced(&mut self, call: PollCall) {
        if call.fencing_token >= self.fencing_token {
            self.known_runs.are_complete = false;
        }
    }
}
