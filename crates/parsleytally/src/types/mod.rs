//! Types shared by several components.
//!
//! Names are validated once, on construction, and are cheap to clone. Numbers that must
//! not be mixed up, such as epochs and revisions, have a type each.

mod names;
mod numbers;
mod resources;
mod task;
mod time;

pub use names::{InvalidName, NodeName, RackName, ServiceName, TaskName, TeamName, ZoneName};
pub use numbers::{Epoch, Incarnation, RequestId, Revision, RunNumber, ShardId};
pub use resources::{Bytes, MilliCpu, Resources};
pub use task::{RunId, ServiceKey, TaskKey};
pub use time::Time;

#[cfg(test)]
mod tests;
