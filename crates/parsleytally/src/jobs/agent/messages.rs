//! What an agent is told, and what it wants done.

use super::{EndedRun, OwnerLink, RunStatus};
use crate::jobs::{AgentMessage, OrderMessage, RefusalReason, RunRef, StartOrder, WorkerReport};
use crate::types::Time;

/// Why a call to the worker did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The worker refused; it has done nothing.
    Refused(RefusalReason),
    /// Another life of the worker answered; it has done nothing.
    OtherLife,
    /// The worker was not reached; it has done nothing.
    Unreachable,
    /// No answer came; the call may take effect, also later.
    Unanswered,
}

/// What a worker lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// When this life of the worker began, in milliseconds since 1970.
    pub born: u64,
    /// The worker's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunStatus>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<EndedRun>,
}

/// A look at the worker's lists, which renews the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollCall {
    /// Number that fences all orders of lower ones.
    pub fencing_token: u64,
    /// New end of the lease on the worker's clock, in milliseconds; none renews nothing.
    pub lease_end: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub acknowledged: u64,
    /// Longest time to wait for an end, in milliseconds.
    pub wait_ms: u64,
    /// When it was sent.
    pub sent: Time,
}

/// A run to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// The order.
    pub order: StartOrder,
    /// Number that fences all orders of lower ones.
    pub fencing_token: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end: u64,
}

/// A run to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopCall {
    /// The run.
    pub run: RunRef,
    /// Number that fences all orders of lower ones.
    pub fencing_token: u64,
}

/// A change of a run's pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThrottleCall {
    /// The run.
    pub run: RunRef,
    /// Share of its speed, in percent.
    pub cpu_share: u32,
    /// Number that fences all orders of lower ones.
    pub fencing_token: u64,
}

/// What an agent is told.
#[derive(Debug)]
pub enum AgentInput {
    /// A message on a connection to an owner.
    OwnerMessage(OwnerLink, OrderMessage),
    /// A connection to an owner is lost.
    OwnerLost(OwnerLink),
    /// The worker said this of itself.
    Report(WorkerReport),
    /// The worker said that it ends.
    WorkerLeft,
    /// Answer to a look.
    Polled {
        /// The look.
        call: PollCall,
        /// What the worker lists.
        answer: Result<Listing, CallError>,
    },
    /// Answer to an order to start.
    StartAnswered {
        /// The run.
        run: RunRef,
        /// Fence of the order.
        fencing_token: u64,
        /// What became of it.
        answer: Result<(), CallError>,
    },
    /// Answer to an order to stop.
    StopAnswered {
        /// The run.
        run: RunRef,
        /// What became of it.
        answer: Result<(), CallError>,
    },
    /// An order to change the pace of a run failed.
    ThrottleFailed(RunRef),
    /// Time has passed.
    Tick,
}

/// What an agent wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentOutput {
    /// Send to the owner.
    Send(AgentMessage),
    /// Close a connection to an owner that is no longer one.
    Close(OwnerLink),
    /// Look at the worker's lists.
    Poll(PollCall),
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Change the pace of a run; the next look shows whether it was.
    Throttle(ThrottleCall),
}
