//! Inputs and outputs of [`JobAgent`](super::JobAgent), and its calls to the worker.

use std::sync::Arc;

use super::{EndedRun, ListingEvidence, OwnerLink, RunConclusion, RunStatus};
use crate::jobs::{
    AgentMessage, EndEvidence, OrderMessage, RefusalReason, RunRef, StartOrder, WorkerIncarnation,
    WorkerReport,
};
use crate::types::Time;

/// Why a call to the worker did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The worker refused the call; the call has no effect.
    Refused(RefusalReason),
    /// Another incarnation of the worker answered; the call has no effect.
    OtherLife,
    /// The worker was not reached; the call has no effect.
    Unreachable,
    /// No answer arrived; the call may take effect, possibly later.
    Unanswered,
}

/// Answer of a worker to a poll: its runs and its clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Start of this incarnation of the worker, as Unix time in milliseconds.
    pub born: u64,
    /// The worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<RunStatus>,
    /// Ended runs that are not acknowledged.
    pub ended: Vec<EndedRun>,
    /// Whether `ended` holds all of them; a worker lists only so many at a time.
    pub complete: bool,
    /// Number of entries in which no run can be read. Other writers may have left them, or they
    /// may be damaged entries of runs that are in neither list.
    pub unnamed: usize,
}

/// A poll of the worker's runs, which also renews its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollCall {
    /// Number of the poll; ascends in the order of sending.
    pub number: u64,
    /// Fencing token; the worker refuses later calls with a lower one.
    pub fencing_token: u64,
    /// New end of the lease on the worker's clock, in milliseconds; none doesn't renew it.
    pub lease_end: Option<u64>,
    /// Ended runs up to this sequence number are acknowledged; the worker may drop them.
    pub acknowledged: u64,
    /// Longest time to delay the answer until a run ends, in milliseconds.
    pub wait_ms: u64,
    /// When the poll was sent.
    pub sent: Time,
}

/// A call to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// The owner's order.
    pub order: StartOrder,
    /// Fencing token; the worker refuses later calls with a lower one.
    pub fencing_token: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end: u64,
}

/// A call to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopCall {
    /// The run.
    pub run: RunRef,
    /// Fencing token; the worker refuses later calls with a lower one.
    pub fencing_token: u64,
}

/// A call to change the CPU share of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThrottleCall {
    /// The run.
    pub run: RunRef,
    /// New CPU share, in percent.
    pub cpu_share: u32,
    /// Fencing token; the worker refuses later calls with a lower one.
    pub fencing_token: u64,
}

/// Input of an agent.
#[derive(Debug)]
pub enum AgentInput {
    /// A message arrived on the link of an owner.
    OwnerMessage(OwnerLink, OrderMessage),
    /// The link of an owner is lost.
    OwnerLost(OwnerLink),
    /// A worker reported its state.
    Report {
        /// Its report.
        report: WorkerReport,
        /// Number of the report, ascending within one incarnation; 0 if it has none.
        sequence: u64,
    },
    /// The worker with this id gave notice of its shutdown; its runs go on until it ends.
    ShutdownNotice(Arc<str>),
    /// Result of a poll.
    Polled {
        /// The poll.
        call: PollCall,
        /// The worker's runs, or why the poll failed.
        answer: Result<Listing, CallError>,
    },
    /// Result of a call to start a run.
    StartAnswered {
        /// The run.
        run: RunRef,
        /// Fencing token of the call.
        fencing_token: u64,
        /// Result of the call.
        answer: Result<(), CallError>,
    },
    /// Result of a call to stop a run.
    StopAnswered {
        /// The run.
        run: RunRef,
        /// Result of the call.
        answer: Result<(), CallError>,
    },
    /// Result of a call to change the CPU share of a run.
    ThrottleAnswered {
        /// The call.
        call: ThrottleCall,
        /// Result of the call.
        answer: Result<(), CallError>,
    },
    /// Periodic timer.
    Tick,
}

/// Effect that an agent requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentOutput {
    /// Send a message to the owner.
    Send(AgentMessage),
    /// Tell the owner on this link that it is superseded; it closes the link.
    Supersede(OwnerLink),
    /// The runs of an incarnation of the worker count as ended; only logged.
    RunsEnded {
        /// The incarnation; none if it has not reported itself.
        incarnation: Option<WorkerIncarnation>,
        /// Number of runs that the agent has tracked.
        runs: usize,
        /// From what the agent concludes so.
        evidence: EndEvidence,
        /// The last answer of the worker that was used; none if there is none.
        last_listing: Option<ListingEvidence>,
    },
    /// The agent concludes something about a run; only logged.
    Concluded(RunConclusion),
    /// This answer was dropped, since it may be older than the last one in use; only logged.
    Overtaken(ListingEvidence),
    /// The first listing for the owner was made from this answer; only logged.
    Listed(ListingEvidence),
    /// Entries without a run in this answer are in doubt, or no longer; only logged.
    Doubt {
        /// The answer.
        answer: ListingEvidence,
        /// Whether one of the entries may be a run that was ordered here.
        in_doubt: bool,
    },
    /// Poll the worker.
    Poll(PollCall),
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Change the CPU share of a run.
    Throttle(ThrottleCall),
}
