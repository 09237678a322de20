//! The agent: the process beside each endpoint.
//!
//! It dials the entries of its settings, announces its endpoint, admits requests
//! and passes them on (`requests`), and runs batch tasks within what
//! its worker has (`runs`).

mod admission;
mod agent;
pub mod config;
mod endpoint;
mod keys;
mod links;
mod metrics;
mod operators;
mod requests;
mod runs;
mod settings;
pub mod site;

pub use agent::{Agent, StartError};
