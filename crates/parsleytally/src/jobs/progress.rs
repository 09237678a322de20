//! What has become of a job, as the store keeps it.

use serde::{Deserialize, Serialize};

use super::spec::{decode, encode};
use super::{JobState, RecordError};

/// A task that has not gone straight from start to end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Number within the step.
    pub index: u32,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
    /// Newest checkpoint; empty without one.
    pub checkpoint: String,
}

/// A step of one round.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Round of the job.
    pub round: u32,
    /// Number of the step.
    pub step: u16,
    /// First and last index of each row of tasks that are done.
    pub done_ranges: Vec<(u32, u32)>,
    /// Tasks with failed runs or a checkpoint.
    pub tasks: Vec<TaskProgress>,
}

impl StepProgress {
    /// Adds `index` to the tasks that are done; indexes come in ascending order.
    pub(super) fn push_done(&mut self, index: u32) {
        match self.done_ranges.last_mut() {
            Some((_, last)) if *last + 1 == index => *last = index,
            _ => self.done_ranges.push((index, index)),
        }
    }
}

/// What has become of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// State of the job; tasks matter only while it is open.
    pub state: JobState,
    /// Steps in which something has ended.
    pub steps: Vec<StepProgress>,
}

impl JobProgress {
    /// Bytes for the store.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads the bytes of the store.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when another version or something else wrote them.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}
