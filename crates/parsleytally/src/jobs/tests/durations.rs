//! How long tasks are expected to take.

use std::time::Duration;

use super::super::durations::Durations;
use super::super::job::{RunTimes, StepRun};
use super::*;
use crate::types::Time;

/// Pattern: clients' estimates that are off by factors of ten either way. Jobs with low
/// ones were given up for hopeless, and those with high ones left for last.
#[test]
fn run_times_follow_what_was_seen() {
    struct Case {
        what: &'static str,
        /// Estimates and times of earlier tasks of the queue, in turn, in milliseconds.
        earlier: &'static [(u64, u64)],
        /// Times of tasks of the same step, in milliseconds.
        of_step: &'static [u64],
        estimate_ms: u64,
        expected_ms: u64,
    }
    let cases = [
        Case {
            what: "nothing was seen",
            earlier: &[],
            of_step: &[],
            estimate_ms: 400,
            expected_ms: 400,
        },
        Case {
            what: "estimates tell nothing",
            earlier: &[(260, 2_600), (26_000, 2_600), (900, 2_600)],
            of_step: &[],
            estimate_ms: 400,
            expected_ms: 2_600,
        },
        Case {
            what: "estimates are too low by a factor",
            earlier: &[(100, 200), (400, 800), (1_000, 2_000)],
            of_step: &[],
            estimate_ms: 600,
            expected_ms: 1_200,
        },
        Case {
            what: "others of the step are done",
            earlier: &[(100, 200), (400, 800), (1_000, 2_000)],
            of_step: &[3_000, 3_400],
            estimate_ms: 600,
            expected_ms: 3_200,
        },
    ];
    for case in cases {
        let mut durations = Durations::default();
        let queue = QueueName("q".into());
        let earlier = case
            .earlier
            .iter()
            .cycle()
            .take(24 * case.earlier.len().min(1));
        for (estimate_ms, taken) in earlier {
            let step = StepSpec {
                estimate_ms: *estimate_ms,
                ..step(1, &[])
            };
            durations.done(Time::ZERO, &queue, &step, Duration::from_millis(*taken));
        }
        let mut worked = RunTimes::default();
        for taken in case.of_step {
            worked.add(Duration::from_millis(*taken));
        }
        let run = StepRun {
            tasks: Vec::new(),
            remaining: 1,
            run_times: worked,
        };
        let step = StepSpec {
            estimate_ms: case.estimate_ms,
            ..step(1, &[])
        };
        let expected = durations.expected_ms(&queue, &step, &run);
        assert_eq!(expected, case.expected_ms, "{}", case.what);
    }
}
