//! Tests of resolving writes and of the log format.

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

fn versioned_log(writes: impl IntoIterator<Item = WriteId>, revision: u64) -> VersionedLog {
    let log = writes
        .into_iter()
        .fold(WriteLog::default(), |log, write| log.with(write));
    VersionedLog {
        log,
        revision: (revision > 0).then_some(Revision(revision)),
    }
}

struct ResolveCase {
    name: &'static str,
    base: VersionedLog,
    current: VersionedLog,
    expected: WriteOutcome,
}

#[test]
fn a_write_is_resolved_from_the_log_read_back() {
    let cases = [
        ResolveCase {
            name: "took effect",
            base: versioned_log([other(1)], 5),
            current: versioned_log([other(1), OWN], 9),
            expected: WriteOutcome::Accepted(Some(Revision(9))),
        },
        ResolveCase {
            name: "took effect as the first write",
            base: versioned_log([], 0),
            current: versioned_log([OWN], 9),
            expected: WriteOutcome::Accepted(Some(Revision(9))),
        },
        ResolveCase {
            name: "took effect, others wrote since",
            base: versioned_log([other(1)], 5),
            current: versioned_log([other(1), OWN, other(2)], 12),
            expected: WriteOutcome::Accepted(None),
        },
        ResolveCase {
            name: "unchanged: it may still arrive",
            base: versioned_log([other(1)], 5),
            current: versioned_log([other(1)], 5),
            expected: WriteOutcome::Pending,
        },
        ResolveCase {
            name: "no log exists yet",
            base: versioned_log([], 0),
            current: versioned_log([], 0),
            expected: WriteOutcome::Pending,
        },
        ResolveCase {
            name: "another write was first",
            base: versioned_log([other(1)], 5),
            current: versioned_log([other(1), other(2)], 8),
            expected: WriteOutcome::Refused,
        },
        ResolveCase {
            name: "another write created the log",
            base: versioned_log([], 0),
            current: versioned_log([other(1)], 8),
            expected: WriteOutcome::Refused,
        },
        ResolveCase {
            name: "the log no longer reaches back",
            base: versioned_log([other(1)], 5),
            current: versioned_log((2..200).map(other), 300),
            expected: WriteOutcome::Unknown,
        },
        ResolveCase {
            name: "the log may have dropped the first writes",
            base: versioned_log([], 0),
            current: versioned_log((2..200).map(other), 300),
            expected: WriteOutcome::Unknown,
        },
        ResolveCase {
            name: "the store returned to an older state",
            base: versioned_log([other(1), other(2)], 5),
            current: versioned_log([other(1)], 3),
            expected: WriteOutcome::Unknown,
        },
    ];
    for case in cases {
        let outcome = resolve(OWN, &case.base, &case.current);
        assert_eq!(outcome, case.expected, "{}", case.name);
    }
}

#[test]
fn a_log_round_trips_and_malformed_logs_are_rejected() {
    let log = versioned_log((1..200).map(other), 1).log;
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
