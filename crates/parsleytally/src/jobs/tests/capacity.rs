//! Workers whose capacity shrinks and grows while they run.

use super::agent::{TestAgent, start_order};
use super::scheduler::{Bench, starts, stops};
use super::*;

/// Processors of a worker, in thousandths.
const WHOLE: u64 = 4_000;

fn report_with(at: usize, cpu: u64) -> WorkerReport {
    WorkerReport {
        capacity: need(cpu, 8_000),
        ..report(at, 7)
    }
}

/// Guards against a start that brings a worker over its capacity after that has shrunk: what runs,
/// and what is being stopped, still counts.
#[test]
fn a_worker_gets_no_start_over_its_present_capacity() {
    struct Case {
        what: &'static str,
        /// Capacities that the worker reports after it runs four tasks, in thousandths of processors.
        reports: &'static [u64],
        /// Number of runs that end, of those that run.
        ended: usize,
        starts: usize,
    }
    let cases = [
        Case {
            what: "whole",
            reports: &[WHOLE],
            ended: 2,
            starts: 2,
        },
        Case {
            what: "shrunk below what runs",
            reports: &[2_000],
            ended: 2,
            starts: 0,
        },
        Case {
            what: "shrunk, three ended",
            reports: &[2_000],
            ended: 3,
            starts: 1,
        },
        Case {
            what: "shrunk and grown again",
            reports: &[1_000, WHOLE],
            ended: 2,
            starts: 2,
        },
        Case {
            what: "shrunk to nothing",
            reports: &[0],
            ended: 4,
            starts: 0,
        },
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        bench.submit(1, job(vec![step(8, &[])]), 11);
        for cpu in case.reports {
            let out = bench.agent(0, AgentMessage::Report(report_with(0, *cpu)));
            assert_eq!(starts(&out), [], "{}", case.what);
        }
        let mut started = 0;
        for at in 0..case.ended {
            let ended = run(1, 0, at as u32, 1);
            let out = bench.end(0, at as u64 + 1, ended, EndReason::Done);
            started += starts(&out).len();
        }
        started += starts(&bench.wait(1_000)).len();
        assert_eq!(started, case.starts, "{}", case.what);
    }
}

/// Guards against the use of room before what is being stopped there has ended.
#[test]
fn a_run_that_is_being_stopped_counts_until_its_end_is_listed() {
    let mut bench = Bench::with_workers(1);
    bench.submit(1, job(vec![step(4, &[])]), 11);
    bench.agent(0, AgentMessage::Report(report_with(0, 3_000)));
    let mut cancelled = job(vec![step(4, &[])]);
    cancelled.cancelled = true;
    let out = bench.submit(1, cancelled, 12);
    assert_eq!(stops(&out).len(), 4);
    let out = bench.submit(2, job(vec![step(1, &[])]), 13);
    assert_eq!(starts(&out), []);
    let out = bench.end(0, 1, run(1, 0, 0, 1), EndReason::Stopped);
    assert_eq!(starts(&out), [], "three are still being stopped");
    let out = bench.end(0, 2, run(1, 0, 1, 1), EndReason::Stopped);
    assert_eq!(starts(&out).len(), 1);
}

/// Guards against an order from before the worker's capacity shrank: its owner was paused, or it
/// was delayed on its way.
#[test]
fn an_agent_refuses_a_start_that_counts_on_more_than_the_worker_has() {
    struct Case {
        what: &'static str,
        reported: u64,
        assumed: u64,
        refused: bool,
    }
    let cases = [
        Case {
            what: "the same",
            reported: WHOLE,
            assumed: WHOLE,
            refused: false,
        },
        Case {
            what: "it has shrunk",
            reported: 2_000,
            assumed: WHOLE,
            refused: true,
        },
        Case {
            what: "it has grown",
            reported: WHOLE,
            assumed: 2_000,
            refused: false,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::ready();
        agent.step(reported(report_with(0, case.reported)));
        let out = agent.order_start(StartOrder {
            capacity: need(case.assumed, 8_000),
            ..start_order(run(1, 0, 0, 1))
        });
        let refused = out.contains(&AgentOutput::Send(AgentMessage::Refused {
            run: run(1, 0, 0, 1),
            reason: RefusalReason::Room,
        }));
        let called = out.iter().any(|out| matches!(out, AgentOutput::Start(_)));
        assert_eq!(refused, case.refused, "{}", case.what);
        assert_eq!(called, !case.refused, "{}", case.what);
    }
}
