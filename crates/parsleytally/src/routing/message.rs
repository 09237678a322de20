//! Messages into and out of routing.

use std::time::Duration;

use derive_more::{Display, Error};

use super::EndpointId;
use crate::membership::Load;
use crate::types::{Incarnation, NodeName, RequestId, ServiceKey, Time, ZoneName};

/// An endpoint that takes new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Worker that it runs on.
    pub worker: NodeName,
    /// Life of the worker's agent.
    pub incarnation: Incarnation,
    /// Service that it answers.
    pub service: ServiceKey,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Most requests that may be outstanding.
    pub connections: u32,
}

/// How a request that was sent to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered after this time.
    Answered(Duration),
    /// The agent refused for want of room; the request did not run.
    Refused,
    /// No answer, a broken one, or a failure of the endpoint.
    Failed,
    /// The request was given up for reasons that say nothing of the endpoint.
    Abandoned,
}

/// What routing is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<'a> {
    /// An endpoint takes new work, or offers something else than before.
    Announced(EndpointInfo),
    /// An endpoint takes nothing new.
    Withdrawn {
        /// Worker that it runs on.
        worker: &'a NodeName,
    },
    /// An agent reported its endpoint's load.
    LoadReported {
        /// Worker that it runs on.
        worker: &'a NodeName,
        /// Life of the worker's agent.
        incarnation: Incarnation,
        /// The load.
        load: Load,
    },
    /// A request needs an endpoint.
    Pick {
        /// Number of the request.
        request: RequestId,
        /// Service that is asked for.
        service: &'a ServiceKey,
        /// Endpoints that should be avoided, if another one has room.
        avoid: &'a [EndpointId],
    },
    /// A picked request has ended.
    Done {
        /// Endpoint that it was sent to.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
    },
}

/// A chosen endpoint; the router counts the request as outstanding there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Picked {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Worker that it runs on.
    pub worker: NodeName,
    /// Life of the worker's agent.
    pub incarnation: Incarnation,
}

/// Why no endpoint was chosen; the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum NoEndpoint {
    /// No endpoint announces the service.
    #[display("no endpoint of the service is known")]
    Unknown,
    /// Every endpoint is at its bound or ejected.
    #[display("no endpoint of the service has room")]
    NoCapacity,
}

/// What routing answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// The request goes to an endpoint.
    Picked {
        /// Number of the request.
        request: RequestId,
        /// The endpoint.
        picked: Picked,
    },
    /// The request goes nowhere.
    Refused {
        /// Number of the request.
        request: RequestId,
        /// The reason.
        reason: NoEndpoint,
    },
    /// An endpoint is set aside after failures.
    Ejected {
        /// Worker that it runs on.
        worker: NodeName,
        /// When it may be chosen again.
        until: Time,
    },
}
