//! Malformed records and jobs: they are refused or ignored, and never end the process or take
//! its memory.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::scheduler::Bench;
use super::*;
use crate::types::Revision;

/// A runner with a fixed seed; some seconds for all properties.
fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Bytes of a record in which some are replaced, and that may be cut.
fn damaged(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let length = valid.len();
    let replaced = prop::collection::vec((0..length, any::<u8>()), 0..6);
    (replaced, 0..=length).prop_map(move |(replaced, cut)| {
        let mut bytes = valid.clone();
        for (at, byte) in replaced {
            bytes[at] = byte;
        }
        // Most damages keep the length, so that more of them are decoded.
        if cut % 4 == 0 {
            bytes.truncate(cut);
        }
        bytes
    })
}

/// Has an owner with two workers read a job's records.
fn take_over(record: JobRecord, progress: Option<JobProgress>) {
    let mut bench = Bench::with_workers(2);
    // All rounds of the job are due.
    bench.wait(5_000);
    bench.feed(Input::Job {
        id: JobId(1),
        record,
        accepted: Revision(11),
        progress,
    });
    bench.feed(Input::Tick);
}

fn record() -> JobRecord {
    let mut record = job(vec![step(3, &[]), step(2, &[0])]);
    record.spec.repeat = Some(Repeat {
        count: 3,
        start_ms: 1_000,
        interval_ms: 500,
    });
    record
}

/// Guards against a record in the store that ends each owner in turn.
#[test]
fn damaged_job_records_are_refused_or_harmless() {
    let outcome = runner(1_000).run(&damaged(record().encode()), |bytes| {
        if let Ok(record) = JobRecord::decode(&bytes) {
            take_over(record, None);
        }
        Ok(())
    });
    outcome.expect("no damage ends the owner");
}

fn crash_mark(run: u32) -> CrashMark {
    CrashMark {
        run,
        node: node(1),
        seen_ms: Some(u64::MAX),
        suspect: true,
        sole: true,
    }
}

#[test]
fn damaged_progress_records_are_refused_or_harmless() {
    let progress = JobProgress {
        state: JobState::Running,
        steps: vec![StepProgress {
            round: 1,
            step: 0,
            done_ranges: vec![(0, 1)],
            tasks: vec![TaskProgress {
                index: 2,
                failed_runs: vec![1],
                checkpoint: "c".to_owned(),
                crashes: vec![crash_mark(2)],
            }],
        }],
    };
    let outcome = runner(1_000).run(&damaged(progress.encode()), |bytes| {
        if let Ok(progress) = JobProgress::decode(&bytes) {
            take_over(record(), Some(progress));
        }
        Ok(())
    });
    outcome.expect("no damage ends the owner");
}

#[test]
fn random_bytes_are_no_records() {
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    let outcome = runner(1_000).run(&bytes, |mut bytes| {
        if let Some(version) = bytes.first_mut() {
            *version = 1;
        }
        let _ = ContentionRecord::decode(&bytes).map(|record| {
            let mut bench = Bench::with_workers(2);
            bench.feed(Input::Learned(record));
            bench.feed(Input::Tick);
        });
        if let Ok(progress) = JobProgress::decode(&bytes) {
            take_over(record(), Some(progress));
        }
        if let Ok(record) = JobRecord::decode(&bytes) {
            take_over(record, None);
        }
        Ok(())
    });
    outcome.expect("no bytes end the owner");
}

/// Guards against a client's body of some bytes that takes the memory of every owner in turn,
/// and against sums that overflow.
#[test]
fn jobs_that_no_owner_can_hold_are_invalid() {
    struct Case {
        what: &'static str,
        change: fn(&mut JobSpec),
        valid: bool,
    }
    let cases = [
        Case {
            what: "a large job",
            change: |spec| spec.steps[0].count = 10_000,
            valid: true,
        },
        Case {
            what: "too many tasks",
            change: |spec| spec.steps[0].count = u32::MAX,
            valid: false,
        },
        Case {
            what: "too many rounds",
            change: |spec| spec.repeat.as_mut().expect("rounds").count = u32::MAX,
            valid: false,
        },
        Case {
            what: "an interval beyond all times",
            change: |spec| spec.repeat.as_mut().expect("rounds").interval_ms = u64::MAX,
            valid: false,
        },
        Case {
            what: "a start beyond all times",
            change: |spec| spec.repeat.as_mut().expect("rounds").start_ms = u64::MAX,
            valid: false,
        },
        Case {
            what: "an estimate beyond all times",
            change: |spec| spec.steps[1].estimate_ms = u64::MAX,
            valid: false,
        },
        Case {
            what: "more processors than any worker",
            change: |spec| spec.steps[0].need = Resources::new(u64::MAX, 1, 0),
            valid: false,
        },
        Case {
            what: "more memory than any worker",
            change: |spec| spec.steps[0].need = Resources::new(1, u64::MAX, 0),
            valid: false,
        },
    ];
    for case in cases {
        let mut record = record();
        (case.change)(&mut record.spec);
        assert_eq!(record.spec.is_valid(), case.valid, "{}", case.what);
        let decoded = JobRecord::decode(&record.encode());
        assert_eq!(decoded.is_ok(), case.valid, "{}", case.what);
    }
}

/// Guards against progress of another job, or of an earlier version of it, that an owner
/// reads under a job's key.
#[test]
fn progress_beyond_the_job_is_ignored() {
    let beyond = StepProgress {
        round: u32::MAX,
        step: 9,
        done_ranges: vec![(0, u32::MAX), (7, 3)],
        tasks: vec![TaskProgress {
            index: u32::MAX,
            failed_runs: vec![u32::MAX],
            checkpoint: String::new(),
            crashes: vec![crash_mark(u32::MAX)],
        }],
    };
    let mut within = beyond.clone();
    (within.round, within.step) = (2, 1);
    let progress = JobProgress {
        state: JobState::Running,
        steps: vec![beyond, within],
    };
    take_over(record(), Some(progress));
}
