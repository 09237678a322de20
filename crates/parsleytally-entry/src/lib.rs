//! The entry: the process on each entry VM.
//!
//! It answers callers (`callers`) and operators (`operators`), accepts the
//! links of agents (`links`), and decides in three duties of a thread each:
//! `directory` knows the endpoints and chooses one for a request, `settings`
//! follows the platform's store, and `scheduler` places batch tasks. `site` is the
//! entry for batch jobs on the users' platform.

mod attempts;
mod callers;
pub mod config;
mod directory;
mod entry;
mod links;
mod metrics;
mod operators;
mod peers;
mod scheduler;
mod settings;
pub mod site;
pub mod standalone;

pub use entry::{Entry, StartError};
