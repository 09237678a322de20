//! Tests of journal batches and segments.

use std::time::Duration;

use super::{node, task};
use crate::leases::TaskRecord;
use crate::ownership::{Journal, JournaledTask, Segment, SegmentId, segment_of};
use crate::types::{RunNumber, Time};

const FLUSH: Duration = Duration::from_millis(500);

fn encode(id: SegmentId) -> Vec<u8> {
    vec![u8::try_from(id.0).unwrap()]
}

#[test]
fn writes_are_batched_and_rate_limited() {
    let mut journal = Journal::new(FLUSH);
    let mut writes = 0;
    for milli in 0..10_000 {
        let now = Time::from_millis(milli);
        journal.mark_dirty(SegmentId(u16::try_from(milli % 16).unwrap()));
        if let Some(batch) = journal.next_batch(now, encode) {
            writes += 1;
            journal.finish_write(batch.seq, true);
        }
    }
    assert_eq!(writes, 20);
}

#[test]
fn an_unanswered_batch_is_resent_unchanged() {
    let mut journal = Journal::new(FLUSH);
    let early = journal.mark_dirty(SegmentId(1));
    let first = journal.next_batch(Time::from_secs(1), encode).unwrap();
    let late = journal.mark_dirty(SegmentId(2));
    assert_eq!(journal.next_batch(Time::from_secs(2), encode), None);
    journal.finish_write(first.seq, false);
    let resent = journal.next_batch(Time::from_secs(3), encode).unwrap();
    assert_eq!(resent, first);
    assert!(!journal.is_durable(early));
    journal.finish_write(first.seq, true);
    journal.finish_write(first.seq, true);
    assert!(journal.is_durable(early) && !journal.is_durable(late));
    let second = journal.next_batch(Time::from_secs(4), encode).unwrap();
    assert_eq!(second.segments, [(SegmentId(2), encode(SegmentId(2)))]);
    journal.finish_write(first.seq, true);
    assert!(!journal.is_durable(late));
    journal.finish_write(second.seq, true);
    assert!(journal.is_flushed());
}

#[test]
fn a_change_during_a_write_needs_another_write() {
    let mut journal = Journal::new(FLUSH);
    journal.mark_dirty(SegmentId(1));
    let first = journal.next_batch(Time::from_secs(1), encode).unwrap();
    let late = journal.mark_dirty(SegmentId(1));
    journal.finish_write(first.seq, true);
    assert!(!journal.is_durable(late));
    assert!(journal.next_batch(Time::from_secs(2), encode).is_some());
}

#[test]
fn a_full_segment_accepts_no_further_tasks() {
    let mut journal = Journal::new(FLUSH);
    assert!(journal.has_capacity(SegmentId(0)));
    journal.set_size(SegmentId(0), crate::ownership::MAX_SEGMENT_BYTES);
    assert!(!journal.has_capacity(SegmentId(0)));
}

#[test]
fn a_segment_round_trips_and_truncation_is_detected() {
    let mut record = TaskRecord::new(RunNumber(4));
    record
        .start(RunNumber(4), RunNumber(0), &node("w1"))
        .unwrap();
    let segment = Segment {
        base_run: RunNumber(4),
        tasks: vec![JournaledTask {
            task: task("count"),
            record,
        }],
    };
    let id = segment_of(&task("count"));
    let bytes = segment.encode();
    assert_eq!(Segment::decode(id, &bytes).unwrap(), segment);
    for length in 0..bytes.len() {
        assert!(Segment::decode(id, &bytes[..length]).is_err(), "{length}");
    }
}
