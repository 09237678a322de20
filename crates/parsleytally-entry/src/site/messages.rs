//! Messages to the owner of the jobs, and what identifies it and its agents.

use std::net::SocketAddr;

use parsleytally::jobs::{AgentMessage, JobId, JobReply, JobRequest, OrderMessage, RunRef};
use parsleytally::types::NodeName;
use tokio::sync::{mpsc, oneshot};

/// Orders for one agent.
pub(super) type Orders = Vec<OrderMessage>;

/// An agent, and the number of the task that links the owner to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AgentId {
    pub(crate) node: NodeName,
    pub(crate) dialer: u64,
}

/// Input of the owner's actor.
#[derive(Debug)]
pub(crate) enum OwnerInput {
    /// An agent is linked; orders go to the sender.
    Linked(AgentId, mpsc::UnboundedSender<Vec<OrderMessage>>),
    /// The link of an agent is lost.
    Unlinked(AgentId),
    /// Another agent answers at the address of this one, which is dialed again after a pause.
    OtherAgent(AgentId),
    /// Messages from an agent.
    Agent(AgentId, Vec<AgentMessage>),
    /// Progress records that are stored, each job with its record's version.
    Saved(Vec<(JobId, u64)>),
    /// A request, and the channel for its reply.
    Request(JobRequest, oneshot::Sender<JobReply>),
    /// A request of operators for the runs that the owner counts as active.
    Runs(oneshot::Sender<Vec<(NodeName, RunRef)>>),
    /// Another entry owns the jobs, or must begin another epoch.
    Replaced,
}

/// Location of the owner of the jobs, as last found in the store.
#[derive(Debug, Clone)]
pub(super) enum OwnerLocation {
    /// No owner is known.
    Unknown,
    /// This process.
    Local(mpsc::Sender<OwnerInput>),
    /// Another entry, which accepts links at this address.
    Remote(SocketAddr),
}

/// Outcome of a request to the owner on another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RemoteReply {
    /// The owner's reply.
    Answered(JobReply),
    /// The request was not sent.
    NotSent,
    /// The request was sent, but no reply arrived.
    Unanswered,
}
