//! Messages, inputs and outputs of membership.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Digest, State};
use crate::types::{Incarnation, NodeName, RackName, Resources, ServiceKey, ZoneName};

/// Lifecycle phase that an agent reports; it only moves forward within one incarnation.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
pub enum Phase {
    /// Started; its endpoint does not answer yet.
    #[default]
    #[display("joining")]
    Joining,
    /// Accepts new work.
    #[display("ready")]
    Ready,
    /// Completes its current work and accepts no new work.
    #[display("leaving")]
    Leaving,
    /// Stopped; this incarnation sends no further messages.
    #[display("gone")]
    Stopped,
}

/// Service, capacity and location of a worker, sent by its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the worker.
    pub worker: NodeName,
    /// Incarnation of the worker's agent.
    pub incarnation: Incarnation,
    /// Number of this message within the incarnation, shared with heartbeats.
    pub sequence: u64,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Service that its endpoint serves.
    pub service: ServiceKey,
    /// Maximum number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Maximum number of connections to the endpoint.
    pub connections: u32,
    /// Processors, memory and accelerators of the worker.
    pub capacity: Resources,
    /// Time since the agent's start, in microseconds.
    pub uptime_us: u64,
}

/// Load of an endpoint over all entries, as counted by its agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests admitted but not yet answered.
    pub outstanding: u32,
    /// Those of them that were sent by the entry that receives the report.
    pub from_receiver: u32,
}

/// Periodic report of an agent's phase and load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the worker.
    pub worker: NodeName,
    /// Incarnation of the worker's agent.
    pub incarnation: Incarnation,
    /// Number of this message within the incarnation, shared with announcements.
    pub sequence: u64,
    /// Lifecycle phase of the agent.
    pub phase: Phase,
    /// Load of its endpoint.
    pub load: Load,
}

/// An entry and its zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Zone of the entry.
    pub zone: ZoneName,
    /// Name of the entry.
    pub name: NodeName,
}

/// Events that membership processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A worker's announcement was received.
    Announced(Announcement),
    /// A worker's heartbeat was received.
    Heartbeat(Heartbeat),
    /// The last link to one incarnation of a worker's agent is down.
    LinkLost {
        /// Name of the worker.
        worker: NodeName,
        /// Incarnation of the agent at the other end of the link.
        incarnation: Incarnation,
    },
    /// A link to another entry is up.
    PeerUp(Peer),
    /// The link to another entry is down.
    PeerLost(Peer),
    /// A digest of another entry was received.
    Digest(Digest),
    /// Timer event, expected at least every quarter of `suspect_after`.
    Tick,
}

/// Reason for refusing a message or a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The maximum number of stored workers is reached.
    #[display("limit of {limit} workers is reached")]
    TooManyMembers {
        /// The maximum number.
        limit: usize,
    },
    /// The maximum number of stored entries is reached.
    #[display("limit of {limit} entries is reached")]
    TooManyPeers {
        /// The maximum number.
        limit: usize,
    },
    /// A digest has too many rows, unordered rows or rows outside its range.
    #[display("the digest has too many, unordered or out-of-range rows")]
    BadDigest,
}

/// Effects that membership requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A worker's state changed; [`Membership::member`](super::Membership::member) has its record.
    StateChanged {
        /// Name of the worker.
        worker: NodeName,
        /// State before.
        from: State,
        /// State now.
        to: State,
    },
    /// A ready worker sent a newer announcement.
    OfferChanged {
        /// Name of the worker.
        worker: NodeName,
    },
    /// Request the missing announcement of a worker whose heartbeat was received.
    RequestAnnouncement {
        /// Name of the worker.
        worker: NodeName,
    },
    /// Send a digest to another entry.
    SendDigest {
        /// Name of the entry.
        peer: NodeName,
        /// The digest.
        digest: Digest,
    },
    /// A message or a peer was refused.
    Refused(Refusal),
}
