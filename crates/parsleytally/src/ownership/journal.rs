//! The lasting state of a shard's tasks, written in batches.
//!
//! A shard's tasks hash to segments, one value each in the store. Only segments
//! with changes are written, all of them in one call, and never more often than
//! the flush interval. One batch is in flight at a time; a batch whose answer was
//! lost is sent again unchanged until the store tells what became of it.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use xxhash_rust::xxh3::xxh3_64;

use crate::leases::TaskRecord;
use crate::types::{RunNumber, TaskKey, Time};

/// Segments of a shard's journal; part of the stored format.
pub const JOURNAL_SEGMENTS: u16 = 16;

/// Size at which a segment takes no further tasks, in bytes.
pub const MAX_SEGMENT_BYTES: usize = 256 * 1024;

/// Size at which a batch takes no further segments, in bytes.
const MAX_BATCH_BYTES: usize = 768 * 1024;

/// Number of a segment within its shard.
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

/// A task in a segment.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct JournaledTask {
    /// The task.
    pub task: TaskKey,
    /// Its record.
    pub record: TaskRecord,
}

/// Value of one segment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Highest run number of any task that was removed.
    pub base_run: RunNumber,
    /// Tasks that have been started or ended.
    pub tasks: Vec<JournaledTask>,
}

/// A journal value that does not decode.
#[derive(Debug, Snafu)]
#[snafu(display("journal segment {segment} does not decode: {source}"))]
pub struct JournalError {
    segment: SegmentId,
    source: postcard::Error,
}

impl Segment {
    /// The segment as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always encodes")
    }

    /// Reads the bytes of `segment`.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError`] when `bytes` are not a segment.
    pub fn decode(segment: SegmentId, bytes: &[u8]) -> Result<Self, JournalError> {
        postcard::from_bytes(bytes).context(JournalSnafu { segment })
    }
}

/// Segments to be written in one call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Batch {
    /// Number of the batch within its epoch, from 1.
    pub seq: u64,
    /// New values.
    pub segments: Vec<(SegmentId, Vec<u8>)>,
}

/// A change that has to reach the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Change {
    segment: SegmentId,
    change: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Progress {
    marked: u64,
    durable: u64,
    flight: Option<u64>,
    size: usize,
}

/// What has been changed, sent and confirmed of a shard's segments.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Journal {
    flush: Duration,
    segments: Vec<Progress>,
    seq: u64,
    flight: Option<Batch>,
    waiting: bool,
    last: Option<Time>,
}

impl Journal {
    /// A journal that is written at most once in `flush`.
    pub fn new(flush: Duration) -> Self {
        Self {
            flush,
            segments: vec![Progress::default(); usize::from(JOURNAL_SEGMENTS)],
            seq: 0,
            flight: None,
            waiting: false,
            last: None,
        }
    }

    /// Notes a change in `segment`.
    pub fn mark_dirty(&mut self, segment: SegmentId) -> Change {
        let progress = &mut self.segments[usize::from(segment.0)];
        progress.marked += 1;
        let change = progress.marked;
        Change { segment, change }
    }

    /// Whether the change of `gate` is in the store.
    pub fn is_durable(&self, gate: Change) -> bool {
        self.segments[usize::from(gate.segment.0)].durable >= gate.change
    }

    /// Whether every change is in the store.
    pub fn is_flushed(&self) -> bool {
        self.segments.iter().all(|s| s.durable == s.marked)
    }

    /// Whether `segment` takes further tasks.
    pub fn has_capacity(&self, segment: SegmentId) -> bool {
        self.segments[usize::from(segment.0)].size < MAX_SEGMENT_BYTES
    }

    /// Notes the size of `segment` as it was read.
    pub fn set_size(&mut self, segment: SegmentId, size: usize) {
        if let Some(progress) = self.segments.get_mut(usize::from(segment.0)) {
            progress.size = size;
        }
    }

    /// The next batch to send, if it is time; `encode` gives a segment's value.
    pub fn next_batch(
        &mut self,
        now: Time,
        encode: impl Fn(SegmentId) -> Vec<u8>,
    ) -> Option<Batch> {
        let early = self.last.is_some_and(|last| now.since(last) < self.flush);
        if early || self.waiting {
            return None;
        }
        if self.flight.is_none() {
            self.flight = self.collect(encode);
        }
        let batch = self.flight.clone()?;
        self.waiting = true;
        self.last = Some(now);
        Some(batch)
    }

    /// Settles batch `seq`: accepted, or to be sent again unchanged.
    pub fn finish_write(&mut self, seq: u64, accepted: bool) {
        if self.flight.as_ref().is_none_or(|batch| batch.seq != seq) {
            return;
        }
        self.waiting = false;
        if !accepted {
            return;
        }
        self.flight = None;
        for progress in &mut self.segments {
            if let Some(change) = progress.flight.take() {
                progress.durable = change;
            }
        }
    }

    fn collect(&mut self, encode: impl Fn(SegmentId) -> Vec<u8>) -> Option<Batch> {
        let mut segments = Vec::new();
        let mut size = 0;
        for (id, progress) in (0..).map(SegmentId).zip(&mut self.segments) {
            if progress.durable == progress.marked || size >= MAX_BATCH_BYTES {
                continue;
            }
            let bytes = encode(id);
            progress.size = bytes.len();
            progress.flight = Some(progress.marked);
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
