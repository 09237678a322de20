//! Tests of the throttling of best-effort tasks beside service tasks by the scheduler.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use super::scheduler::{Bench, starts};
use super::*;

/// Tail latency far above the target of [`service_step`], in milliseconds.
const SLOWED_MS: u64 = 5_000;

fn cpu_shares(out: &[Output]) -> Vec<(RunRef, u32)> {
    let cpu_share = |output: &Output| match output {
        Output::Order(
            _,
            OrderMessage::Throttle {
                run,
                cpu_share: percent,
            },
        ) => Some((*run, *percent)),
        _ => None,
    };
    out.iter().filter_map(cpu_share).collect()
}

fn best_effort_step() -> StepSpec {
    StepSpec {
        best_effort: true,
        image: Some("filler".into()),
        ..step(1, &[])
    }
}

fn service_step() -> StepSpec {
    StepSpec {
        long_running: true,
        target_ms: 150,
        image: Some("service".into()),
        ..step(1, &[])
    }
}

/// Measurement of a run: its progress in percent, and its tail latency or CPU usage.
fn gauge(run: RunRef, percent: u32, figure: u64) -> RunStatus {
    RunStatus {
        run,
        checkpoint: String::new(),
        percent,
        measurement: figure,
    }
}

/// Guards against a successor that assumes a full CPU share for best-effort runs that its
/// predecessor throttled to zero: it would never raise their share.
#[test]
fn a_successor_sets_the_cpu_share_of_adopted_best_effort_runs() {
    struct Case {
        what: &'static str,
        running: Vec<RunStatus>,
    }
    let best_effort = run(1, 0, 0, 1);
    let cases = [
        Case {
            what: "beside a service task",
            running: vec![gauge(best_effort, 5, 0), gauge(run(2, 0, 0, 1), 100, 30)],
        },
        Case {
            what: "alone",
            running: vec![gauge(best_effort, 5, 0)],
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.submit(1, job(vec![best_effort_step()]), 9);
        bench.submit(2, job(vec![service_step()]), 9);
        bench.feed(Input::Linked(node(0)));
        bench.agent(0, AgentMessage::Report(report(0, 7)));
        let listed = AgentMessage::Listed {
            incarnation: incarnation(0, 7),
            running: case.running.clone(),
            ended: vec![],
        };
        bench.agent(0, listed);
        let out = bench.agent(0, AgentMessage::Measurements(case.running));
        assert_eq!(cpu_shares(&out), [(best_effort, 100)], "{}", case.what);
    }
}

/// Guards against best-effort runs that stay throttled after the service task beside them
/// has ended.
#[test]
fn best_effort_runs_get_the_full_cpu_share_once_the_service_task_has_ended() {
    let mut bench = Bench::with_workers(1);
    let service = starts(&bench.submit(1, job(vec![service_step()]), 11))[0].1;
    let best_effort = starts(&bench.submit(2, job(vec![best_effort_step()]), 12))[0].1;
    let mut last = None;
    for _ in 0..6 {
        let gauges = vec![gauge(service, 100, SLOWED_MS), gauge(best_effort, 5, 0)];
        let out = bench.agent(0, AgentMessage::Measurements(gauges));
        last = cpu_shares(&out).last().copied().or(last);
        bench.wait(500);
    }
    assert!(last.is_some_and(|(_, percent)| percent < 100), "{last:?}");
    let mut cancelled = job(vec![service_step()]);
    cancelled.cancelled = true;
    bench.submit(1, cancelled, 11);
    bench.end(0, 1, service, EndReason::Stopped);
    let out = bench.agent(
        0,
        AgentMessage::Measurements(vec![gauge(best_effort, 5, 0)]),
    );
    assert_eq!(cpu_shares(&out), [(best_effort, 100)]);
}

/// Guards against headroom that is kept for the runs of a worker's earlier incarnation: an
/// empty worker measures nothing, so no best-effort task would start there any more.
#[test]
fn a_restarted_worker_takes_best_effort_tasks_again() {
    let mut bench = Bench::with_workers(1);
    let service = starts(&bench.submit(1, job(vec![service_step()]), 11))[0].1;
    let best_effort = starts(&bench.submit(2, job(vec![best_effort_step()]), 12))[0].1;
    for _ in 0..6 {
        let gauges = vec![gauge(service, 100, SLOWED_MS), gauge(best_effort, 5, 0)];
        bench.agent(0, AgentMessage::Measurements(gauges));
        bench.wait(500);
    }
    let mut cancelled = job(vec![service_step()]);
    cancelled.cancelled = true;
    bench.submit(1, cancelled, 11);
    bench.agent(0, AgentMessage::LeasesExpired);
    let started = starts(&bench.join(0, report(0, 8)));
    assert_eq!(started.len(), 1, "the best-effort task starts again");
}

/// Guards against services of several images that spread over all workers of a fleet with
/// spare capacity, so that no worker without a service is left for best-effort tasks.
#[test]
fn service_tasks_leave_workers_free_for_best_effort_tasks() {
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
        let service = StepSpec {
            image: Some(case.image.into()),
            ..service_step()
        };
        let out = bench.submit(id as u64, job(vec![service]), 11);
        assert_eq!(
            starts(&out)[0].0,
            node(case.worker),
            "job {id}: {}",
            case.image
        );
    }
}

/// Guards against a best-effort run that stays at 0% for ever, as no other worker can take it while the
/// service beside it is over its target by itself; and against several that slow it at a time.
#[test]
fn a_run_that_no_other_worker_can_take_gets_a_least_cpu_share() {
    struct Case {
        what: &'static str,
        /// Processors of a step that fills the worker, in thousandths; 0 is none.
        reserved: u64,
        /// Measurements after which a run gets a least CPU share.
        idle: RangeInclusive<u32>,
    }
    let cases = [
        Case {
            what: "room is free",
            reserved: 0,
            idle: 0..=9,
        },
        Case {
            what: "most of the pool is reserved",
            reserved: 2_000,
            idle: 10..=14,
        },
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        let mut cpu_shares_of = BTreeMap::new();
        let service = starts(&bench.submit(1, job(vec![service_step()]), 11))[0].1;
        for id in [2, 3] {
            let out = bench.submit(id, job(vec![best_effort_step()]), 12);
            cpu_shares_of.insert(starts(&out)[0].1, 100);
        }
        if case.reserved > 0 {
            let filling = StepSpec {
                long_running: true,
                need: need(case.reserved, 100),
                ..step(1, &[])
            };
            assert_eq!(starts(&bench.submit(4, job(vec![filling]), 11)).len(), 1);
        }
        let (mut idle, mut longest_idle) = (0, 0);
        for _ in 0..40 {
            let mut gauges = vec![gauge(service, 100, SLOWED_MS)];
            gauges.extend(cpu_shares_of.keys().map(|run| gauge(*run, 5, 0)));
            let out = bench.agent(0, AgentMessage::Measurements(gauges));
            cpu_shares_of.extend(cpu_shares(&out));
            let working: Vec<u32> = cpu_shares_of
                .values()
                .copied()
                .filter(|share| *share > 0)
                .collect();
            idle = if working.is_empty() { idle + 1 } else { 0 };
            longest_idle = longest_idle.max(idle);
            if longest_idle > 0 {
                assert!(
                    matches!(working[..], [] | [20]),
                    "{}: {working:?}",
                    case.what
                );
            }
            bench.wait(500);
        }
        assert!(
            case.idle.contains(&longest_idle),
            "{}: {longest_idle} measurements",
            case.what
        );
    }
}
