//! Journal of a shard's task records, written to the store in batches.
//!
//! Tasks hash to segments; each segment is one value in the store. Only changed
//! segments are written, in one call up to a size limit, at most once per flush
//! interval. One batch is in flight at a time; a batch whose answer was lost is
//! sent again unchanged until its result is known.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use xxhash_rust::xxh3::xxh3_64;

use crate::leases::TaskRecord;
use crate::types::{RunNumber, TaskKey, Time};

/// Number of segments in a shard's journal; part of the stored format.
pub const JOURNAL_SEGMENTS: u16 = 16;

/// Size in bytes from which a segment accepts no further tasks.
pub const MAX_SEGMENT_BYTES: usize = 256 * 1024;

/// Size in bytes from which a batch takes no further segments.
const MAX_BATCH_BYTES: usize = 768 * 1024;

/// Index of a segment within its shard.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct SegmentId(pub u16);

/// Segment of `task`; the same in every process.
pub fn segment_of(task: &TaskKey) -> SegmentId {
    let hash = xxh3_64(task.task.as_str().as_bytes());
    let index = hash % u64::from(JOURNAL_SEGMENTS);
    SegmentId(u16::try_from(index).expect("the index is below a 16-bit count"))
}

/// A task and its record, as stored in a segment.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct JournaledTask {
    /// The task.
    pub task: TaskKey,
    /// Its state.
    pub record: TaskRecord,
}

/// Stored value of one segment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Highest run number of all removed tasks; a task added later is numbered above it.
    pub base_run: RunNumber,
    /// Tasks that have been started or have ended.
    pub tasks: Vec<JournaledTask>,
}

/// Error for a stored segment that cannot be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("journal segment {segment} does not decode: {source}"))]
pub struct JournalError {
    segment: SegmentId,
    source: postcard::Error,
}

impl Segment {
    /// Encodes the segment for the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding to a vector does not fail")
    }

    /// Decodes the stored bytes of `segment`.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError`] when `bytes` are not a valid segment.
    pub fn decode(segment: SegmentId, bytes: &[u8]) -> Result<Self, JournalError> {
        postcard::from_bytes(bytes).context(JournalSnafu { segment })
    }
}

/// Segments to write in one call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Batch {
    /// Number of the batch within its epoch, from 1.
    pub seq: u64,
    /// New values of the changed segments.
    pub segments: Vec<(SegmentId, Vec<u8>)>,
}

/// Identifies one change of a segment, to check later whether it is durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Change {
    segment: SegmentId,
    number: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct SegmentState {
    latest: u64,
    durable: u64,
    in_flight: Option<u64>,
    size: usize,
}

/// Tracks which changes of a shard's segments are pending, in flight and durable.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Journal {
    flush_interval: Duration,
    segments: Vec<SegmentState>,
    seq: u64,
    in_flight: Option<Batch>,
    awaiting_answer: bool,
    last_sent: Option<Time>,
}

impl Journal {
    /// Creates a journal that is written at most once per `flush_interval`.
    pub fn new(flush_interval: Duration) -> Self {
        Self {
            flush_interval,
            segments: vec![SegmentState::default(); usize::from(JOURNAL_SEGMENTS)],
            seq: 0,
            in_flight: None,
            awaiting_answer: false,
            last_sent: None,
        }
    }

    /// Records a change in `segment`.
    pub fn mark_dirty(&mut self, segment: SegmentId) -> Change {
        let state = &mut self.segments[usize::from(segment.0)];
        state.latest += 1;
        let number = state.latest;
        Change { segment, number }
    }

    /// Whether `change` is in the store.
    pub fn is_durable(&self, change: Change) -> bool {
        self.segments[usize::from(change.segment.0)].durable >= change.number
    }

    /// Whether every change is in the store.
    pub fn is_flushed(&self) -> bool {
        self.segments.iter().all(|s| s.durable == s.latest)
    }

    /// Whether `segment` accepts further tasks.
    pub fn has_capacity(&self, segment: SegmentId) -> bool {
        self.segments[usize::from(segment.0)].size < MAX_SEGMENT_BYTES
    }

    /// Sets the size in bytes of `segment` as read from the store.
    pub fn set_size(&mut self, segment: SegmentId, size: usize) {
        if let Some(state) = self.segments.get_mut(usize::from(segment.0)) {
            state.size = size;
        }
    }

    /// Returns the next batch to send, if one is due. `encode` returns the value of
    /// a segment.
    pub fn next_batch(
        &mut self,
        now: Time,
        encode: impl Fn(SegmentId) -> Vec<u8>,
    ) -> Option<Batch> {
        let too_early = self
            .last_sent
            .is_some_and(|last| now.since(last) < self.flush_interval);
        if too_early || self.awaiting_answer {
            return None;
        }
        if self.in_flight.is_none() {
            self.in_flight = self.build_batch(encode);
        }
        let batch = self.in_flight.clone()?;
        self.awaiting_answer = true;
        self.last_sent = Some(now);
        Some(batch)
    }

    /// Records the result of batch `seq`; unless accepted, it is sent again unchanged.
    pub fn finish_write(&mut self, seq: u64, accepted: bool) {
        if self.in_flight.as_ref().is_none_or(|batch| batch.seq != seq) {
            return;
        }
        self.awaiting_answer = false;
        if !accepted {
            return;
        }
        self.in_flight = None;
        for state in &mut self.segments {
            if let Some(number) = state.in_flight.take() {
                state.durable = number;
            }
        }
    }

    fn build_batch(&mut self, encode: impl Fn(SegmentId) -> Vec<u8>) -> Option<Batch> {
        let mut segments = Vec::new();
        let mut size = 0;
        for (id, state) in (0..).map(SegmentId).zip(&mut self.segments) {
            if state.durable == state.latest || size >= MAX_BATCH_BYTES {
                continue;
            }
            let bytes = encode(id);
            state.size = bytes.len();
            state.in_flight = Some(state.latest);
            size += bytes.len();
            segments.push((id, bytes));
        }
        if segments.is_empty() {
            return None;
        }
        self.seq += 1;
        let seq = self.seq;
        Some(Batch { seq, segments })
    }
}
