//! The agent: the process beside each endpoint.
//!
//! It connects to the configured entries, announces its endpoint, admits requests and
//! forwards them to the endpoint (`requests`), and runs batch tasks within the
//! capacity of its worker (`runs`). [`site`] is the agent for batch jobs on the users'
//! platform.

mod admission;
mod agent;
pub mod config;
mod endpoint;
mod idempotency;
mod links;
mod metrics;
mod operators;
mod requests;
mod runs;
mod settings;
pub mod site;

pub use agent::{Agent, StartError};
