//! What a job consists of, as its client described it.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::QueuePolicy;
use crate::types::Resources;

/// Version of the stored records that this code writes.
const RECORD_VERSION: u8 = 1;
/// Length of a job's number as text, in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Number of a job, chosen by its client; 16 lower-case hexadecimal digits as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A text that is not a job's number.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is not a job's number: expected {ID_DIGITS} lower-case hexadecimal digits")]
pub struct InvalidJobId {
    text: String,
}

impl FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<Self, InvalidJobId> {
        let digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        let valid = text.len() == ID_DIGITS && text.bytes().all(digit);
        let number = u64::from_str_radix(text, 16).ok().filter(|_| valid);
        number.map(Self).ok_or_else(|| InvalidJobId {
            text: text.chars().take(2 * ID_DIGITS).collect(),
        })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One task: `job.round.step.index` as text.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{job}.{round}.{step}.{index}")]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Repetition of the job, from 0.
    pub round: u32,
    /// Number of its step, from 0.
    pub step: u16,
    /// Number within the step, from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<Self, InvalidJobId> {
        let invalid = || InvalidJobId {
            text: text.chars().take(4 * ID_DIGITS).collect(),
        };
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(invalid)?.parse()?;
        let mut number = || parts.next()?.parse::<u32>().ok();
        let (round, step, index) = (number(), number(), number());
        let step = step.and_then(|step| u16::try_from(step).ok());
        let (Some(round), Some(step), Some(index)) = (round, step, index) else {
            return Err(invalid());
        };
        if parts.next().is_some() {
            return Err(invalid());
        }
        Ok(Self {
            job,
            round,
            step,
            index,
        })
    }
}

/// A step of equal tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub need: Resources,
    /// Rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether the tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks run only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the data; elsewhere the tasks are slower.
    pub preferred_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 is any number.
    pub max_per_worker: u32,
    /// Whether several runs of one task may go on at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of what the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound of the tail latency of tasks that serve users, in milliseconds; 0 is none.
    pub target_ms: u64,
    /// Whether the tasks only use processors that others leave idle.
    pub best_effort: bool,
    /// Tasks of the step that may be missing through the scheduler's own actions.
    pub max_unavailable: u32,
}

/// How often a job runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of rounds.
    pub count: u32,
    /// When the first round is due, in milliseconds since 1970.
    pub start_ms: u64,
    /// Time from one round to the next, in milliseconds.
    pub interval_ms: u64,
}

/// A job as its client described it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue that it was submitted to, as it was then: an owner that does not know
    /// the queue, or no longer, goes by it.
    pub queue: Arc<QueuePolicy>,
    /// What each task is told to do, unread.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// How often it runs; once and at once without.
    pub repeat: Option<Repeat>,
    /// When it was submitted, in milliseconds since 1970.
    pub submitted_ms: u64,
}

impl JobSpec {
    /// Whether every step refers to earlier steps only and has at least one task.
    pub fn is_valid(&self) -> bool {
        let earlier = |(number, step): (usize, &StepSpec)| {
            step.count > 0 && step.after.iter().all(|after| usize::from(*after) < number)
        };
        let steps = self.steps.len();
        (1..=usize::from(u16::MAX)).contains(&steps)
            && self.steps.iter().enumerate().all(earlier)
            && self.repeat.is_none_or(|repeat| repeat.count > 0)
    }

    /// Number of rounds.
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }
}

/// What the store holds under a job's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub spec: JobSpec,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// A stored record that is not read.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The record was written by another version.
    #[snafu(display("record has version {version}, this program reads {RECORD_VERSION}"))]
    Version {
        /// Version of the record.
        version: u8,
    },
    /// The record has no bytes.
    #[snafu(display("record is empty"))]
    Empty,
    /// The bytes do not form a record.
    #[snafu(display("record is malformed: {source}"))]
    Malformed {
        /// What the decoder reported.
        source: postcard::Error,
    },
}

/// Writes a record behind the version that this code writes.
pub(super) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    let versioned = (RECORD_VERSION, record);
    // Writing to memory fails only for types that postcard does not know.
    postcard::to_stdvec(&versioned).expect("records consist of plain data")
}

/// Reads a record that [`encode`] wrote.
pub(super) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, RecordError> {
    let (version, rest) = bytes.split_first().ok_or(RecordError::Empty)?;
    if *version != RECORD_VERSION {
        return VersionSnafu { version: *version }.fail();
    }
    postcard::from_bytes(rest).context(MalformedSnafu)
}

impl JobRecord {
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
