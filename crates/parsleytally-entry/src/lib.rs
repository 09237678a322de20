//! The entry: the process on each entry VM.
//!
//! It serves callers (`callers`) and operators (`operators`) over HTTP, and accepts
//! links from agents (`links`). Three actors, each with its own thread, hold the state:
//! `directory` tracks the endpoints and picks one for a request, `settings` follows the
//! platform's store, and `scheduler` places batch tasks. `site` is the entry for batch
//! jobs on the users' platform.

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
