//! Job specifications and their stored records.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::QueuePolicy;
use crate::types::Resources;

/// Format version of stored records.
const RECORD_VERSION: u8 = 1;
/// Most tasks of a job in all its rounds. An owner holds about 100 bytes for each, and the
/// smallest entries have 160 MB.
const MAX_TASKS: u64 = 200_000;
/// Largest encoded specification, in bytes: a frame, and a value of the store, can carry it with
/// what belongs to it.
const MAX_SPEC_BYTES: usize = 512 << 10;
/// Longest estimate and interval, in milliseconds: 34 years. Sums over all steps or rounds
/// then stay far below the limit of the number type; the same holds for the limits below.
const MAX_DURATION_MS: u64 = 1 << 40;
/// Latest start, as Unix time in milliseconds.
const MAX_UNIX_MS: u64 = 1 << 44;
/// Most resources of a task: a million processors, a pebibyte and a million accelerators.
const MAX_NEED: Resources = Resources::new(1_000_000_000, 1 << 50, 1_000_000);
/// Length of a job's id as text, in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Id of a job, chosen by its client; as text, 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// Error for a text that is not the id of a job or task.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "{text:?} is not a job or task id: a job id has {ID_DIGITS} lower-case hexadecimal digits"
)]
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

/// Id of a task; as text, `job.round.step.index`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{job}.{round}.{step}.{index}")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Round of the job, from 0.
    pub round: u32,
    /// Step of the job, from 0.
    pub step: u16,
    /// Index within the step, from 0.
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

/// Specification of a step, whose tasks are all alike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub need: Resources,
    /// Rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether the tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which runs only as a whole.
    pub gang: bool,
    /// Whether the tasks run faster when all are on the same rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// Rack of the input data; the tasks are slower elsewhere.
    pub preferred_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 is no limit.
    pub max_per_worker: u32,
    /// Whether a task may have several runs at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of the program; tasks of the same image are expected to behave alike.
    pub image: Option<Arc<str>>,
    /// Target of the tail latency of service tasks, in milliseconds; 0 is none.
    pub target_ms: u64,
    /// Whether the tasks only use processors that others leave idle.
    pub best_effort: bool,
    /// Most tasks of the step that may be unavailable due to the scheduler's own actions.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Whether the step's times and resources can be added up without overflow.
    fn is_within_limits(&self) -> bool {
        self.estimate_ms <= MAX_DURATION_MS
            && self.target_ms <= MAX_DURATION_MS
            && MAX_NEED.checked_sub(&self.need).is_some()
    }
}

/// Schedule of a repeated job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of rounds.
    pub count: u32,
    /// When the first round is due, as Unix time in milliseconds.
    pub start_ms: u64,
    /// Time from one round to the next, in milliseconds.
    pub interval_ms: u64,
}

impl Repeat {
    fn is_valid(&self) -> bool {
        self.count > 0 && self.start_ms <= MAX_UNIX_MS && self.interval_ms <= MAX_DURATION_MS
    }
}

/// Specification of a job, as submitted by its client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Policy of the job's queue at the time of submission; an owner without settings of
    /// that queue uses it.
    pub queue: Arc<QueuePolicy>,
    /// Description of the tasks' work, passed on to the workers unread.
    pub payload: Arc<str>,
    /// Steps of the job; [`StepSpec::after`] refers to them by index.
    pub steps: Vec<StepSpec>,
    /// Schedule of the rounds; without one, the job runs once, at once.
    pub repeat: Option<Repeat>,
    /// When it was submitted, as Unix time in milliseconds.
    pub submitted_ms: u64,
}

impl JobSpec {
    /// Whether there are at most 65535 steps and at least one, each with at least one task
    /// and dependencies on earlier steps only, and at least one round; and whether the owner
    /// can hold all tasks and add up all times and resources.
    pub fn is_valid(&self) -> bool {
        let earlier = |(number, step): (usize, &StepSpec)| {
            step.count > 0 && step.after.iter().all(|after| usize::from(*after) < number)
        };
        let steps = self.steps.len();
        (1..=usize::from(u16::MAX)).contains(&steps)
            && self.steps.iter().enumerate().all(earlier)
            && self.steps.iter().all(StepSpec::is_within_limits)
            && self.repeat.is_none_or(|repeat| repeat.is_valid())
            && self.submitted_ms <= MAX_UNIX_MS
            && self.tasks().saturating_mul(u64::from(self.rounds())) <= MAX_TASKS
    }

    /// Whether a record, a request to another entry or an order may not be able to carry it.
    pub fn is_too_large(&self) -> bool {
        let size = postcard::experimental::serialized_size(self);
        size.is_ok_and(|size| size > MAX_SPEC_BYTES)
    }

    /// Number of tasks of a round.
    fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Number of rounds.
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }
}

/// Record of a job in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Whether a client cancelled the job.
    pub cancelled: bool,
}

/// Error for a stored record that can't be decoded.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The record has another format version.
    #[snafu(display("record has version {version}, this program reads {RECORD_VERSION}"))]
    Version {
        /// Version of the record.
        version: u8,
    },
    /// The job contradicts itself or exceeds a limit.
    #[snafu(display("job of the record is contradictory or exceeds a limit"))]
    Invalid,
    /// The record has no bytes.
    #[snafu(display("record is empty"))]
    Empty,
    /// The bytes are not a valid record.
    #[snafu(display("record is malformed: {source}"))]
    Malformed {
        /// Error of the decoder.
        source: postcard::Error,
    },
}

/// Encodes a record, preceded by the format version.
pub(super) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    let versioned = (RECORD_VERSION, record);
    // Encoding to memory fails only for types that postcard doesn't support.
    postcard::to_stdvec(&versioned).expect("records consist of plain data")
}

/// Decodes a record that [`encode`] encoded.
pub(super) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, RecordError> {
    decode_first(bytes).map(|(record, _)| record)
}

/// Decodes a record that [`encode`] encoded; returns it and the bytes after it.
pub(super) fn decode_first<T: for<'a> Deserialize<'a>>(
    bytes: &[u8],
) -> Result<(T, &[u8]), RecordError> {
    let (version, rest) = bytes.split_first().ok_or(RecordError::Empty)?;
    if *version != RECORD_VERSION {
        return VersionSnafu { version: *version }.fail();
    }
    postcard::take_from_bytes(rest).context(MalformedSnafu)
}

impl JobRecord {
    /// Encodes the record for the store.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] for bytes of another format version or an invalid record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let record: Self = decode(bytes)?;
        if record.spec.is_valid() {
            return Ok(record);
        }
        InvalidSnafu.fail()
    }
}
