//! Tests of the settling of writes.

use super::*;

const OWN: WriteId = WriteId {
    writer: 0xa,
    sequence: 7,
};

fn other(sequence: u64) -> WriteId {
    WriteId {
        writer: 0xb,
        sequence,
    }
}

fn guard(writes: impl IntoIterator<Item = WriteId>, revision: u64) -> VersionedLog {
    let log = writes
        .into_iter()
        .fold(WriteLog::default(), |log, write| log.with(write));
    VersionedLog {
        log,
        revision: (revision > 0).then_some(Revision(revision)),
    }
}

struct SettleCase {
    name: &'static str,
    base: VersionedLog,
    now: VersionedLog,
    expected: WriteOutcome,
}

#[test]
fn a_write_settles_by_what_is_read_back() {
    let cases = [
        SettleCase {
            name: "took effect",
            base: guard([other(1)], 5),
            now: guard([other(1), OWN], 9),
            expected: WriteOutcome::Accepted(Some(Revision(9))),
        },
        SettleCase {
            name: "took effect as the first write",
            base: guard([], 0),
            now: guard([OWN], 9),
            expected: WriteOutcome::Accepted(Some(Revision(9))),
        },
        SettleCase {
            name: "took effect, others wrote since",
            base: guard([other(1)], 5),
            now: guard([other(1), OWN, other(2)], 12),
            expected: WriteOutcome::Accepted(None),
        },
        SettleCase {
            name: "nothing has changed: it may still arrive",
            base: guard([other(1)], 5),
            now: guard([other(1)], 5),
            expected: WriteOutcome::Pending,
        },
        SettleCase {
            name: "nothing is there yet",
            base: guard([], 0),
            now: guard([], 0),
            expected: WriteOutcome::Pending,
        },
        SettleCase {
            name: "another write went first",
            base: guard([other(1)], 5),
            now: guard([other(1), other(2)], 8),
            expected: WriteOutcome::Refused,
        },
        SettleCase {
            name: "another first write went first",
            base: guard([], 0),
            now: guard([other(1)], 8),
            expected: WriteOutcome::Refused,
        },
        SettleCase {
            name: "the log no longer reaches back",
            base: guard([other(1)], 5),
            now: guard((2..200).map(other), 300),
            expected: WriteOutcome::Unknown,
        },
        SettleCase {
            name: "the log may have lost the first writes",
            base: guard([], 0),
            now: guard((2..200).map(other), 300),
            expected: WriteOutcome::Unknown,
        },
        SettleCase {
            name: "the store went back to an older state",
            base: guard([other(1), other(2)], 5),
            now: guard([other(1)], 3),
            expected: WriteOutcome::Unknown,
        },
    ];
    for case in cases {
        let settled = resolve(OWN, &case.base, &case.now);
        assert_eq!(settled, case.expected, "{}", case.name);
    }
}

#[test]
fn a_log_is_read_as_it_was_written() {
    let log = guard((1..200).map(other), 1).log;
    assert_eq!(log.writes.len(), MAX_LOG_WRITES);
    assert_eq!(WriteLog::parse(&log.to_value()), Ok(log));
    assert_eq!(WriteLog::parse(b""), Ok(WriteLog::default()));
    for bad in [
        &b"x 1\n"[..],
        b"1\n",
        b"a -1\n",
        b"\xff 1\n",
        b"a 1\n\nb 1\n",
    ] {
        assert!(WriteLog::parse(bad).is_err(), "{bad:?}");
    }
}
