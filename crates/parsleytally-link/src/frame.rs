//! Frames that agents and entries exchange.

use bytes::Bytes;
use derive_more::Display;
use parsleytally::idempotency::KeyHash;
use parsleytally::jobs::{AgentMessage, JobReply, JobRequest, OrderMessage};
use parsleytally::leases::{Order, Report};
use parsleytally::membership::{Announcement, Heartbeat};
use parsleytally::settings::{Part, UpdateRequest};
use parsleytally::types::{Incarnation, NodeName, RequestId, Revision, ServiceKey, Time, ZoneName};
use serde::{Deserialize, Serialize};

/// Kind of process at one end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Role {
    /// Entry process on an entry VM.
    #[display("entry")]
    Entry,
    /// Agent process beside an endpoint.
    #[display("agent")]
    Agent,
}

/// Description of a process, sent first in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Kind of the process.
    pub role: Role,
    /// Node name of the process.
    pub node: NodeName,
    /// Availability zone of the process.
    pub zone: ZoneName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

impl Hello {
    /// Describes a process that runs this protocol version.
    pub fn new(role: Role, node: NodeName, zone: ZoneName, incarnation: Incarnation) -> Self {
        Self {
            version: crate::PROTOCOL_VERSION,
            role,
            node,
            zone,
            incarnation,
        }
    }
}

/// One header of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value, not decoded.
    pub value: Bytes,
}

impl Header {
    /// Creates a header from copies of `name`, in lower case, and `value`.
    pub fn new(name: &str, value: &[u8]) -> Self {
        Self {
            name: name.to_owned(),
            value: Bytes::copy_from_slice(value),
        }
    }
}

/// A caller's request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Request number, unique within the entry's incarnation.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: ServiceKey,
    /// HTTP method.
    pub method: String,
    /// Path and query, without the team.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
    /// Remaining time for the answer, in microseconds.
    pub timeout: u64,
    /// Span context as W3C `traceparent`.
    pub trace: String,
}

/// An endpoint's complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the request.
    pub id: RequestId,
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

/// Reports that a request did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Number of the request.
    pub id: RequestId,
    /// Why it was refused.
    pub reason: String,
    /// Suggested delay before a retry, in microseconds.
    pub retry_after: u64,
}

/// Orders an agent never to run an idempotency key that it has not started.
///
/// The agent answers with a [`Refusal`] if the key has not run there and will not, and
/// with a [`Failure`] if it is running, has run, or the agent can't record the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Request number, unique within the entry's incarnation.
    pub id: RequestId,
    /// Hash of the service and the idempotency key.
    pub key: KeyHash,
}

/// Reports that a request was sent to the endpoint without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Number of the request.
    pub id: RequestId,
    /// What went wrong.
    pub reason: String,
    /// Whether the time limit was exceeded.
    pub timed_out: bool,
    /// Whether the endpoint broke off the exchange.
    pub endpoint_lost: bool,
}

/// Periodic clock reading of an agent; shard owners put the latest into the proofs of
/// their orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHeartbeat {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Time of sending on the agent's clock.
    pub sent: Time,
}

/// Reports which settings the sender has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsNotice {
    /// Revision of the settings.
    pub revision: Revision,
}

/// One message on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Not sent: the handshake exchanges hellos before the first frame.
    Hello(Hello),
    /// Service, capacity and location of a worker.
    Announce(Announcement),
    /// Periodic report of an agent's phase and load.
    Heartbeat(Heartbeat),
    /// A caller's request.
    Request(Request),
    /// An endpoint's answer.
    Answer(Answer),
    /// A request that did not run.
    Refused(Refusal),
    /// A request whose outcome is unknown.
    Failed(Failure),
    /// An order never to run an idempotency key.
    Fence(Fence),
    /// The entry no longer expects an answer to this request.
    Cancel(RequestId),
    /// Settings that came into force at the entry, or that were requested.
    Settings(Part),
    /// Request for the settings that the sender lacks.
    SettingsRequest(UpdateRequest),
    /// An order from the owner of a shard.
    Order(Order),
    /// An agent's report to the owner of a shard.
    Report(Report),
    /// Periodic clock reading of an agent.
    RunHeartbeat(RunHeartbeat),
    /// Revision of the settings in force at the sender.
    SettingsNotice(SettingsNotice),
    /// An agent's messages to the owner of the jobs, in order.
    JobReports(Vec<AgentMessage>),
    /// Messages from the owner of the jobs to an agent, in order.
    JobOrders(Vec<OrderMessage>),
    /// A request to the owner of the jobs.
    JobRequest(RequestId, JobRequest),
    /// Answer to a [`Frame::JobRequest`].
    JobReply(RequestId, JobReply),
    /// Keeps an idle link open; the receiving link discards it.
    KeepAlive,
}

impl Frame {
    /// Whether frames of its kind arrive in the order of sending, whatever their sizes.
    pub(crate) fn is_ordered(&self) -> bool {
        matches!(self, Self::JobReports(_) | Self::JobOrders(_))
    }
}
