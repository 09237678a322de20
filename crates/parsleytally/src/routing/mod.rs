//! Which endpoint of a service gets a request.
//!
//! A [`Router`] is told of endpoints by membership and of load by heartbeats and
//! answers. A pick looks for an endpoint with a free slot in the own zone, then in
//! other zones, then for one below its bound of connections in the same order. The
//! announced slots and connections are upper bounds of what is outstanding by this
//! router's knowledge; the agent enforces them.
//!
//! Among the endpoints of one step a [`Policy`] decides. A new endpoint opens its
//! slots little by little. One that fails several times in a row is ejected for a
//! while, unless too many of its service are ejected already.
//!
//! A pick allocates nothing.

mod endpoint;
mod message;
mod policy;
mod router;

pub use endpoint::EndpointId;
pub use message::{EndpointInfo, Input, NoEndpoint, Outcome, Output, Picked};
pub use policy::{Candidates, JoinIdleQueue, LatencyTwoChoices, Policy, RoundRobin, TwoChoices};
pub use router::Router;

#[cfg(test)]
mod tests;
