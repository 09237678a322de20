//! Load balancing: chooses the endpoint of a service that gets a request.
//!
//! A [`Router`] learns endpoints from membership and their load from heartbeats and
//! answers. A pick tries four tiers in order: endpoints with a free slot in the
//! router's own availability zone, then in other zones, then endpoints below their
//! connection bound in the own zone, then in other zones. The router compares these
//! bounds with the requests that it knows of; the agent enforces them.
//!
//! Within a tier a [`Policy`] chooses. A new endpoint starts slowly: its usable slots
//! grow with its age. An endpoint that fails several times in a row is ejected for a
//! while, unless too many endpoints of its service are ejected already.
//!
//! A pick allocates no memory.

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
