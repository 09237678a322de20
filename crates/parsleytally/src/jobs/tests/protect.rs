//! Fillers beside tasks that serve users, as the owner paces and moves them.

use super::scheduler::{Bench, starts};
use super::*;

/// Tail latency, in milliseconds, of a task that is held up for certain.
const HELD_UP_MS: u64 = 5_000;

fn paces(out: &[Output]) -> Vec<(RunRef, u32)> {
    let pace = |output: &Output| match output {
        Output::Order(
            _,
            OrderMessage::Throttle {
                run,
                cpu_share: percent,
            },
        ) => Some((*run, *percent)),
        _ => None,
    };
    out.iter().filter_map(pace).collect()
}

fn filler_step() -> StepSpec {
    StepSpec {
        best_effort: true,
        image: Some("filler".into()),
        ..step(1, &[])
    }
}

fn serving_step() -> StepSpec {
    StepSpec {
        long_running: true,
        target_ms: 150,
        image: Some("service".into()),
        ..step(1, &[])
    }
}

/// What a worker shows of a run: its progress in percent, and its tail latency or use.
fn gauge(run: RunRef, percent: u32, figure: u64) -> RunStatus {
    RunStatus {
        run,
        checkpoint: String::new(),
        percent,
        measurement: figure,
    }
}

/// Pattern: a change of the owner while fillers stand. The successor took them to be at
/// full pace already, so they stood for good.
#[test]
fn a_successor_sets_the_pace_of_the_fillers_that_it_finds() {
    struct Case {
        what: &'static str,
        running: Vec<RunStatus>,
    }
    let filler = run(1, 0, 0, 1);
    let cases = [
        Case {
            what: "beside a task that serves",
            running: vec![gauge(filler, 5, 0), gauge(run(2, 0, 0, 1), 100, 30)],
        },
        Case {
            what: "alone",
            running: vec![gauge(filler, 5, 0)],
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.submit(1, job(vec![filler_step()]), 9);
        bench.submit(2, job(vec![serving_step()]), 9);
        bench.feed(Input::Linked(node(0)));
        bench.agent(0, AgentMessage::Report(report(0, 7)));
        let listed = AgentMessage::Listed {
            incarnation: incarnation(0, 7),
            running: case.running.clone(),
            ended: vec![],
        };
        bench.agent(0, listed);
        let out = bench.agent(0, AgentMessage::Measurements(case.running));
        assert_eq!(paces(&out), [(filler, 100)], "{}", case.what);
    }
}

/// Fillers kept the pace that they had been given beside a task that was gone since.
#[test]
fn fillers_go_on_at_full_pace_once_the_task_beside_them_has_ended() {
    let mut bench = Bench::with_workers(1);
    let serving = starts(&bench.submit(1, job(vec![serving_step()]), 11))[0].1;
    let filler = starts(&bench.submit(2, job(vec![filler_step()]), 12))[0].1;
    let mut last = None;
    for _ in 0..6 {
        let gauges = vec![gauge(serving, 100, HELD_UP_MS), gauge(filler, 5, 0)];
        let out = bench.agent(0, AgentMessage::Measurements(gauges));
        last = paces(&out).last().copied().or(last);
        bench.wait(500);
    }
    assert!(last.is_some_and(|(_, percent)| percent < 100), "{last:?}");
    let mut cancelled = job(vec![serving_step()]);
    cancelled.cancelled = true;
    bench.submit(1, cancelled, 11);
    bench.end(0, 1, serving, EndReason::Stopped);
    let out = bench.agent(0, AgentMessage::Measurements(vec![gauge(filler, 5, 0)]));
    assert_eq!(paces(&out), [(filler, 100)]);
}

/// Pattern: services of several images on a fleet with room to spare. Each went to a
/// worker of its own, and fillers found none without a service to hold up.
#[test]
fn tasks_that_serve_leave_workers_free_for_fillers() {
    struct Case {
        image: &'static str,
        worker: usize,
    }
    let cases = [
        Case {
            image: "first",
            worker: 2,
        },
        Case {
            image: "second",
            worker: 2,
        },
        Case {
            image: "first",
            worker: 2,
        },
        Case {
            image: "third",
            worker: 2,
        },
        Case {
            image: "third",
            worker: 1,
        },
    ];
    let mut bench = Bench::with_workers(3);
    for (id, case) in cases.iter().enumerate() {
        let serving = StepSpec {
            image: Some(case.image.into()),
            ..serving_step()
        };
        let out = bench.submit(id as u64, job(vec![serving]), 11);
        assert_eq!(
            starts(&out)[0].0,
            node(case.worker),
            "job {id}: {}",
            case.image
        );
    }
}
