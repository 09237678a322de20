//! Tests of the expected durations of tasks.

use std::time::Duration;

use super::super::durations::Durations;
use super::super::job::{RunTimes, StepRun};
use super::super::losses::StepTimes;
use super::*;
use crate::types::Time;

/// Clients' estimates can be ten times too low or too high. Without correction, jobs with
/// low estimates count as unable to meet their objective, and those with high estimates
/// are placed last.
#[test]
fn expected_durations_follow_measured_ones() {
    struct Case {
        what: &'static str,
        /// Estimates and durations of earlier tasks of the queue, repeated in turn, in
        /// milliseconds.
        earlier: &'static [(u64, u64)],
        /// Durations of finished tasks of the same step, in milliseconds.
        of_step: &'static [u64],
        estimate_ms: u64,
        expected_ms: u64,
    }
    let cases = [
        Case {
            what: "no task has finished",
            earlier: &[],
            of_step: &[],
            estimate_ms: 400,
            expected_ms: 400,
        },
        Case {
            what: "estimates do not correlate with durations",
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
            what: "other tasks of the step are done",
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
        for (estimate_ms, duration_ms) in earlier {
            let step = StepSpec {
                estimate_ms: *estimate_ms,
                ..step(1, &[])
            };
            durations.record(
                Time::ZERO,
                &queue,
                &step,
                Duration::from_millis(*duration_ms),
            );
        }
        let mut worked = RunTimes::default();
        for duration_ms in case.of_step {
            worked.add(Duration::from_millis(*duration_ms));
        }
        let run = StepRun {
            tasks: Vec::new(),
            remaining: 1,
            run_times: worked,
            blocked: false,
            wait: None,
            times: StepTimes::default(),
        };
        let step = StepSpec {
            estimate_ms: case.estimate_ms,
            ..step(1, &[])
        };
        let expected = durations.expected_ms(&queue, &step, &run);
        assert_eq!(expected, case.expected_ms, "{}", case.what);
    }
}
