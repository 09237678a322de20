//! Progress of a job, as the store holds it.
//!
//! Crashes of workers are an addition behind the record, and only of jobs that have some: a program
//! that does not know of them reads the rest.

use serde::{Deserialize, Serialize};

use super::spec::{decode, decode_first, encode};
use super::{CrashMark, JobState, RecordError};

/// Progress of an unfinished task with failed runs or a checkpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Index within the step.
    pub index: u32,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Crashes of workers with its runs.
    #[serde(skip)]
    pub crashes: Vec<CrashMark>,
}

/// Crashes of workers with runs of a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct TaskCrashes {
    round: u32,
    step: u16,
    index: u32,
    marks: Vec<CrashMark>,
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
        let mut bytes = encode(self);
        let crashes: Vec<TaskCrashes> = self.crashes().collect();
        if !crashes.is_empty() {
            bytes.extend(encode(&crashes));
        }
        bytes
    }

    /// The same without checkpoints, which take most of a large record; tasks resume from the
    /// start if it is used.
    #[must_use]
    pub fn without_checkpoints(&self) -> Self {
        let mut progress = self.clone();
        for step in &mut progress.steps {
            for task in &mut step.tasks {
                task.checkpoint.clear();
            }
            let tells =
                |task: &TaskProgress| !task.failed_runs.is_empty() || !task.crashes.is_empty();
            step.tasks.retain(tells);
        }
        progress
    }

    fn crashes(&self) -> impl Iterator<Item = TaskCrashes> {
        self.steps.iter().flat_map(|step| {
            let crashed = step.tasks.iter().filter(|task| !task.crashes.is_empty());
            crashed.map(|task| TaskCrashes {
                round: step.round,
                step: step.step,
                index: task.index,
                marks: task.crashes.clone(),
            })
        })
    }

    /// Adds the crashes to their tasks.
    fn set_crashes(&mut self, crashes: Vec<TaskCrashes>) {
        for found in crashes {
            let mut steps = self.steps.iter_mut();
            let step = steps.find(|step| step.round == found.round && step.step == found.step);
            let tasks = step.into_iter().flat_map(|step| &mut step.tasks);
            for task in tasks.filter(|task| task.index == found.index) {
                task.crashes.clone_from(&found.marks);
            }
        }
    }

    /// Decodes the progress that the store holds.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the bytes are empty, malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let (mut progress, rest): (Self, _) = decode_first(bytes)?;
        if !rest.is_empty() {
            progress.set_crashes(decode(rest)?);
        }
        Ok(progress)
    }
}
