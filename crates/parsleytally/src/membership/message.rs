//! Messages into and out of membership.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Digest, State};
use crate::types::{Incarnation, NodeName, RackName, Resources, ServiceKey, ZoneName};

/// What an agent says of itself; within one life it only moves forward.
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
    /// Started, its endpoint does not answer yet.
    #[default]
    #[display("joining")]
    Joining,
    /// Takes new work.
    #[display("ready")]
    Ready,
    /// Finishes what it has and takes nothing new.
    #[display("leaving")]
    Leaving,
    /// Has finished; this life sends nothing more.
    #[display("gone")]
    Stopped,
}

/// What a worker offers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the worker.
    pub worker: NodeName,
    /// Life of the worker's agent.
    pub incarnation: Incarnation,
    /// Number of this message within the life, counted together with heartbeats.
    pub sequence: u64,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Service that its endpoint answers.
    pub service: ServiceKey,
    /// Requests that the endpoint works on at the same time.
    pub slots: u32,
    /// Connections that the endpoint accepts.
    pub connections: u32,
    /// Processors, memory and accelerators of the worker.
    pub capacity: Resources,
    /// Time since the agent started, in microseconds.
    pub uptime_us: u64,
}

/// Load of an endpoint as its agent sees it, over all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests admitted and not yet answered.
    pub outstanding: u32,
    /// Of these, the ones that came from the receiver of the report.
    pub from_receiver: u32,
}

/// A sign of life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the worker.
    pub worker: NodeName,
    /// Life of the worker's agent.
    pub incarnation: Incarnation,
    /// Number of this message within the life.
    pub sequence: u64,
    /// What the agent says of itself.
    pub phase: Phase,
    /// Load of its endpoint.
    pub load: Load,
}

/// Another entry, as the settings name it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Zone of the entry.
    pub zone: ZoneName,
    /// Name of the entry.
    pub name: NodeName,
}

/// What membership is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A worker told what it offers.
    Announced(Announcement),
    /// A worker gave a sign of life.
    Heartbeat(Heartbeat),
    /// The last link to this life of a worker's agent is down.
    LinkLost {
        /// Name of the worker.
        worker: NodeName,
        /// The life whose link it was.
        incarnation: Incarnation,
    },
    /// A link to another entry is up.
    PeerUp(Peer),
    /// The link to another entry is down.
    PeerLost(Peer),
    /// Another entry told what its zone offers.
    Digest(Digest),
    /// Time has passed; expected at least every quarter of `suspect_after`.
    Tick,
}

/// Why a message was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The bound on kept workers is reached.
    #[display("{limit} workers are known already")]
    TooManyMembers {
        /// The bound.
        limit: usize,
    },
    /// The bound on kept entries is reached.
    #[display("{limit} entries are known already")]
    TooManyPeers {
        /// The bound.
        limit: usize,
    },
    /// A digest holds more rows than one may, or rows outside its range.
    #[display("the digest breaks its bounds")]
    BadDigest,
}

/// What membership wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A worker's state has changed; its record can be read by name.
    StateChanged {
        /// Name of the worker.
        worker: NodeName,
        /// State before.
        from: State,
        /// State now.
        to: State,
    },
    /// A ready worker offers something else than before.
    OfferChanged {
        /// Name of the worker.
        worker: NodeName,
    },
    /// A life was heard of whose announcement is missing; ask its agent.
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
    /// A message was not taken.
    Refused(Refusal),
}
