//! Progress of a job, as the store holds it.

use serde::{Deserialize, Serialize};

use super::spec::{decode, encode};
use super::{JobState, RecordError};

/// Progress of an unfinished task with failed runs or a checkpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Index within the step.
    pub index: u32,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Progress of a step in one round.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Round of the job.
    pub round: u32,
    /// Index of the step in the job.
    pub step: u16,
    /// First and last index of each range of finished tasks.
    pub done_ranges: Vec<(u32, u32)>,
    /// Unfinished tasks with failed runs or a checkpoint.
    pub tasks: Vec<TaskProgress>,
}

impl StepProgress {
    /// Adds a finished task; must be called in ascending order of `index`.
    pub(super) fn push_done(&mut self, index: u32) {
        match self.done_ranges.last_mut() {
            Some((_, last)) if *last + 1 == index => *last = index,
            _ => self.done_ranges.push((index, index)),
        }
    }
}

/// Progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// State of the job.
    pub state: JobState,
    /// Steps with finished, failed or checkpointed tasks; empty once the job has ended.
    pub steps: Vec<StepProgress>,
}

impl JobProgress {
    /// Encodes the progress for the store.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes the progress that the store holds.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the bytes are empty, malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}
