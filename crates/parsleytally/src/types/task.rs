//! Identities of services, tasks and runs.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{RunNumber, ServiceName, TaskName, TeamName};

/// A service of a team.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{team}/{service}")]
pub struct ServiceKey {
    /// Owning team.
    pub team: TeamName,
    /// Name within the team.
    pub service: ServiceName,
}

/// A batch task of a team.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{team}/{task}")]
pub struct TaskKey {
    /// Owning team.
    pub team: TeamName,
    /// Name within the team.
    pub task: TaskName,
}

/// One run of a batch task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{task}#{run}")]
pub struct RunId {
    /// The task.
    pub task: TaskKey,
    /// Number of the run, from 1.
    pub run: RunNumber,
}
