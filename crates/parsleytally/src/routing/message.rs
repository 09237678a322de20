//! Events and effects of the router.

use std::time::Duration;

use derive_more::{Display, Error};

use super::EndpointId;
use crate::membership::Load;
use crate::types::{Incarnation, NodeName, RequestId, ServiceKey, Time, ZoneName};

/// An endpoint that accepts new requests, as its worker announces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Worker that the endpoint runs on.
    pub worker: NodeName,
    /// Incarnation of the worker's agent.
    pub incarnation: Incarnation,
    /// Service that the endpoint belongs to.
    pub service: ServiceKey,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Most requests in service at the same time.
    pub slots: u32,
    /// Most outstanding requests.
    pub connections: u32,
}

/// How a request that was sent to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered, with this latency.
    Answered(Duration),
    /// The agent had no free capacity; the request did not run.
    Refused,
    /// No answer, an incomplete one, or a failure of the endpoint.
    Failed,
    /// The request was abandoned for reasons unrelated to the endpoint.
    Abandoned,
}

/// Events that the router handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<'a> {
    /// An endpoint accepts new requests, or its announcement has changed.
    Announced(EndpointInfo),
    /// An endpoint accepts no new requests.
    Withdrawn {
        /// Worker that the endpoint runs on.
        worker: &'a NodeName,
    },
    /// An agent reported its endpoint's load.
    LoadReported {
        /// Worker that the endpoint runs on.
        worker: &'a NodeName,
        /// Incarnation of the worker's agent.
        incarnation: Incarnation,
        /// Outstanding requests at the endpoint.
        load: Load,
    },
    /// A request needs an endpoint.
    Pick {
        /// Identifies the request in the answer.
        request: RequestId,
        /// Service that the request calls.
        service: &'a ServiceKey,
        /// Endpoints to avoid while another one has free capacity.
        avoid: &'a [EndpointId],
    },
    /// A picked request has ended.
    Done {
        /// Endpoint that the request was sent to.
        endpoint: EndpointId,
        /// How the request ended.
        outcome: Outcome,
    },
}

/// A chosen endpoint; the router counts the request as outstanding there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Picked {
    /// Endpoint to name in [`Input::Done`].
    pub endpoint: EndpointId,
    /// Worker that the endpoint runs on.
    pub worker: NodeName,
    /// Incarnation of the worker's agent.
    pub incarnation: Incarnation,
}

/// Why no endpoint was chosen; the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum NoEndpoint {
    /// No endpoint of the service is announced.
    #[display("no endpoint of the service is known")]
    Unknown,
    /// Every endpoint is at its bound or ejected.
    #[display("no endpoint of the service has free capacity")]
    NoCapacity,
}

/// Effects that the caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send the request to the chosen endpoint.
    Picked {
        /// Request of the [`Input::Pick`].
        request: RequestId,
        /// The chosen endpoint.
        picked: Picked,
    },
    /// Refuse the request.
    Refused {
        /// Request of the [`Input::Pick`].
        request: RequestId,
        /// Why no endpoint was chosen.
        reason: NoEndpoint,
    },
    /// An endpoint was ejected after consecutive failures.
    Ejected {
        /// Worker that the endpoint runs on.
        worker: NodeName,
        /// When the endpoint may be chosen again.
        until: Time,
    },
}
