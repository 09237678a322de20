//! Frames that agents and entries exchange.

use bytes::Bytes;
use derive_more::Display;
use parsleytally::idempotency::KeyHash;
use parsleytally::jobs::{AgentMessage, JobReply, JobRequest, OrderMessage};
use parsleytally::leases::{Order, Report};
use parsleytally::membership::{Announcement, Heartbeat};
use parsleytally::settings::{Ask, Part};
use parsleytally::types::{Incarnation, NodeName, RequestId, Revision, ServiceKey, Time, ZoneName};
use serde::{Deserialize, Serialize};

/// Which kind of process speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Role {
    /// Runs on an entry VM.
    #[display("entry")]
    Entry,
    /// Runs beside an endpoint.
    #[display("agent")]
    Agent,
}

/// First frame in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the frames.
    pub version: u16,
    /// Kind of the process.
    pub role: Role,
    /// Name of the process's place.
    pub node: NodeName,
    /// Availability zone of the process.
    pub zone: ZoneName,
    /// Number of this life of the process.
    pub incarnation: Incarnation,
}

impl Hello {
    /// What a process of this version says of itself.
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
    /// Value, as received.
    pub value: Bytes,
}

impl Header {
    /// Copies a header from its name in lower case and its value.
    pub fn new(name: &str, value: &[u8]) -> Self {
        Self {
            name: name.to_owned(),
            value: Bytes::copy_from_slice(value),
        }
    }
}

/// A caller's request on its way to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number, unique within this life of the entry.
    pub id: RequestId,
    /// Service that shall answer.
    pub service: ServiceKey,
    /// HTTP method.
    pub method: String,
    /// Path and query, without the team.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
    /// Time left for the answer, in microseconds.
    pub timeout: u64,
    /// Span context as W3C `traceparent`.
    pub trace: String,
}

/// An endpoint's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the request.
    pub id: RequestId,
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
}

/// A request that did not reach the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Number of the request.
    pub id: RequestId,
    /// Why it was refused.
    pub reason: String,
    /// Time after which there may be room, in microseconds.
    pub retry_after: u64,
}

/// A question whether an idempotency key has run, and the order never to run it.
///
/// The agent answers by a [`Refusal`] when the key has not run there and will not,
/// by a [`Failure`] when it runs or has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Number, unique within this life of the entry.
    pub id: RequestId,
    /// The key.
    pub key: KeyHash,
}

/// A request that was handed to the endpoint and got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Number of the request.
    pub id: RequestId,
    /// What went wrong.
    pub reason: String,
    /// Whether it was the time limit.
    pub timed_out: bool,
}

/// An agent's time, for the proofs of owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHeartbeat {
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// When this was sent, on the agent's clock.
    pub sent: Time,
}

/// Revision of the settings in force at the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsNotice {
    /// Revision in force.
    pub revision: Revision,
}

/// One message on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame.
    Hello(Hello),
    /// What an agent offers.
    Announce(Announcement),
    /// Sign of life of an agent, with its load.
    Heartbeat(Heartbeat),
    /// A caller's request.
    Request(Request),
    /// An endpoint's answer.
    Answer(Answer),
    /// A request that did not run.
    Refused(Refusal),
    /// A request with unknown outcome.
    Failed(Failure),
    /// A question about an idempotency key.
    Fence(Fence),
    /// The entry no longer waits for this request.
    Cancel(RequestId),
    /// Settings that came into force at the entry, or that an agent asked for.
    Settings(Part),
    /// What an agent tells of its settings to learn what it lacks.
    SettingsRequest(Ask),
    /// An order of the owner of a shard.
    Order(Order),
    /// An agent's report to the owner of a shard.
    Report(Report),
    /// An agent's time.
    RunHeartbeat(RunHeartbeat),
    /// Settings in force at the agent.
    SettingsNotice(SettingsNotice),
    /// What an agent tells the owner of the jobs, in order.
    JobReports(Vec<AgentMessage>),
    /// What the owner of the jobs orders, in order.
    JobOrders(Vec<OrderMessage>),
    /// A question to the owner of the jobs.
    JobRequest(RequestId, JobRequest),
    /// Answer to a question.
    JobReply(RequestId, JobReply),
    /// Sent when nothing else was for a while; the link keeps it to itself.
    KeepAlive,
}
