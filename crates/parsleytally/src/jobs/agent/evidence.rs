//! From which answer of the worker an agent concludes something about a run; only logged.

use super::{AgentOutput, Listing, PollCall};
use crate::jobs::{AgentMessage, EndReason, RefusalReason, RunRef};
use crate::types::Time;

/// An answered poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListingEvidence {
    /// Number of the poll.
    pub poll: u64,
    /// Fencing token of the poll.
    pub fencing_token: u64,
    /// When the poll was sent.
    pub sent: Time,
    /// When its answer was received.
    pub received: Time,
    /// Start of the incarnation that answered, as Unix time in milliseconds.
    pub born: u64,
    /// The worker's monotonic clock in the answer, in milliseconds.
    pub clock_ms: u64,
    /// Number of runs in progress.
    pub running: usize,
    /// Number of ended runs that are not acknowledged.
    pub ended: usize,
    /// Number of entries in which no run can be read.
    pub unnamed: usize,
}

impl ListingEvidence {
    /// The answer `listing` to `call`, received at `now`.
    pub(super) fn new(now: Time, call: PollCall, listing: &Listing) -> Self {
        Self {
            poll: call.number,
            fencing_token: call.fencing_token,
            sent: call.sent,
            received: now,
            born: listing.born,
            clock_ms: listing.clock_ms,
            running: listing.running.len(),
            ended: listing.ended.len(),
            unnamed: listing.unnamed,
        }
    }
}

/// An answered call to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartEvidence {
    /// Fencing token of the call.
    pub fencing_token: u64,
    /// When the call was sent.
    pub sent: Time,
    /// When its answer was received.
    pub received: Time,
}

/// From what an agent concludes something about a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEvidence {
    /// The answer to a poll.
    Listing(ListingEvidence),
    /// The answer to the call that was to start the run.
    Start(StartEvidence),
    /// The state of the agent; the worker was not called.
    Agent,
}

/// What an agent concludes about a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunVerdict {
    /// The worker does not have it any more.
    Missing,
    /// It did not start and can't start later.
    NotStarted(RefusalReason),
    /// The worker listed its end.
    Ended {
        /// Why it ended.
        reason: EndReason,
        /// Sequence number of the end.
        sequence: u64,
    },
}

/// A conclusion about a run, with what the agent knew of the run before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunConclusion {
    /// The run.
    pub run: RunRef,
    /// What the agent concludes.
    pub verdict: RunVerdict,
    /// From what.
    pub evidence: RunEvidence,
    /// When the last order to start it was sent; none if this agent sent none.
    pub start_sent: Option<Time>,
    /// When it was last known to be on the worker; none if it never was.
    pub known_at: Option<Time>,
}

impl RunConclusion {
    /// A conclusion about a run of which the agent knew nothing before.
    pub(super) fn untracked(run: RunRef, verdict: RunVerdict, evidence: RunEvidence) -> Self {
        Self {
            run,
            verdict,
            evidence,
            start_sent: None,
            known_at: None,
        }
    }
}

/// Adds what is concluded about a run, and the message to the owner unless that is an end:
/// ends are reported together.
pub(super) fn push_conclusion(conclusion: RunConclusion, out: &mut Vec<AgentOutput>) {
    out.push(AgentOutput::Concluded(conclusion));
    let run = conclusion.run;
    match conclusion.verdict {
        RunVerdict::Missing => out.push(AgentOutput::Send(AgentMessage::Missing(run))),
        RunVerdict::NotStarted(reason) => {
            out.push(AgentOutput::Send(AgentMessage::Refused { run, reason }));
        }
        RunVerdict::Ended { .. } => {}
    }
}
