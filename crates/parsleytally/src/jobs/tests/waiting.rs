//! Explanations of waits, and work that waits although a worker could run it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::scheduler::{Bench, options, starts};
use super::*;
use crate::configs::BestEffortConfig;
use crate::types::Revision;

/// Time within which a job that could run has something running, by the platform's page.
const START_BOUND_MS: u64 = 3_000;
/// Target of the tail latency of services, in milliseconds.
const TARGET_MS: u64 = 150;
/// Tail latency of a service that leaves almost no headroom, in milliseconds.
const BUSY_MS: u64 = 118;
/// Time after which the runs of a lost agent have ended, in milliseconds.
const LOST_MS: u64 = 5_100;
/// Id of the first job with a service.
const FIRST_SERVICE: u64 = 10_000;

fn explained(out: &[Output]) -> Vec<WaitReason> {
    let waiting = |output: &Output| match output {
        Output::Waiting(evidence) => Some(evidence.reason),
        _ => None,
    };
    out.iter().filter_map(waiting).collect()
}

/// Guards against a job that waits without a line that says why.
#[test]
fn a_step_that_waits_for_a_second_is_explained_once_a_reason() {
    struct Case {
        name: &'static str,
        step: StepSpec,
        /// Whether an agent of the predecessor has yet to report.
        unreported: bool,
        reason: WaitReason,
    }
    let best_effort = StepSpec {
        best_effort: true,
        image: Some("rebuild".into()),
        ..step(9, &[])
    };
    let base = Case {
        name: "no room",
        step: step(9, &[]),
        unreported: false,
        reason: WaitReason::Room,
    };
    let cases = [
        Case {
            name: "limit of best-effort processors",
            step: best_effort,
            reason: WaitReason::CpuLimit,
            ..base
        },
        Case {
            name: "a label that no worker has",
            step: StepSpec {
                required_label: Some("other".into()),
                ..step(1, &[])
            },
            reason: WaitReason::Label,
            ..base
        },
        Case {
            name: "at most one on a worker",
            step: StepSpec {
                max_per_worker: 1,
                ..step(2, &[])
            },
            reason: WaitReason::PerWorker,
            ..base
        },
        Case {
            name: "an agent of the predecessor has not reported",
            step: step(1, &[]),
            unreported: true,
            reason: WaitReason::Unreported,
        },
        base,
    ];
    for case in cases {
        let mut bench = Bench::with_options(SchedulerOptions {
            best_effort: BestEffortConfig {
                cpu_limit: Some(100),
                ..BestEffortConfig::default()
            },
            start_revision: Revision(20),
            ..options()
        });
        if case.unreported {
            bench.feed(Input::Expected(node(7)));
        }
        bench.join(0, report(0, 7));
        bench.submit(1, job(vec![case.step]), 11);
        let begun = bench.wait(100);
        assert!(explained(&begun).is_empty(), "{}: too early", case.name);
        let out = bench.wait(1_100);
        assert_eq!(explained(&out), [case.reason], "{}", case.name);
        let again = bench.wait(1_100);
        assert!(explained(&again).is_empty(), "{}: again", case.name);
    }
}

/// Guards against a wait whose line does not tell a pool that is full from one whose workers are not linked.
#[test]
fn an_explanation_tells_what_counts_as_used_and_what_is_left_out() {
    struct Case {
        name: &'static str,
        /// Processors that a step reserves on worker 0, in thousandths.
        reserved: u64,
        /// Whether the link to worker 1 is lost.
        lost: bool,
        used_percent: u64,
        full: bool,
    }
    let cases = [
        Case {
            name: "most is free",
            reserved: 1_000,
            lost: false,
            used_percent: 12,
            full: false,
        },
        Case {
            name: "full",
            reserved: 4_000,
            lost: true,
            used_percent: 100,
            full: true,
        },
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        let holding = StepSpec {
            need: need(case.reserved, 10),
            ..step(1, &[])
        };
        assert_eq!(starts(&bench.submit(1, job(vec![holding]), 11)).len(), 1);
        bench.join(1, report(1, 7));
        if case.lost {
            bench.feed(Input::Unlinked(node(1)));
            bench.wait(LOST_MS);
        }
        let label = Some("other".into());
        let waiting = StepSpec {
            required_label: label,
            ..step(1, &[])
        };
        bench.submit(2, job(vec![waiting]), 12);
        bench.wait(100);
        let out = bench.wait(1_100);
        let pool_use = out.iter().find_map(|output| match output {
            Output::Waiting(evidence) => Some(evidence.pool_use),
            _ => None,
        });
        let pool_use = pool_use.expect("an explanation");
        assert_eq!(pool_use.used_percent(), case.used_percent, "{}", case.name);
        assert_eq!(pool_use.is_full(), case.full, "{}", case.name);
        assert_eq!(pool_use.unlinked(), usize::from(case.lost), "{}", case.name);
    }
}

fn service_step() -> StepSpec {
    StepSpec {
        long_running: true,
        target_ms: TARGET_MS,
        image: Some("service".into()),
        ..step(1, &[])
    }
}

fn best_effort_step(count: u32) -> StepSpec {
    StepSpec {
        best_effort: true,
        need: need(2_250, 100),
        image: Some("rebuild".into()),
        ..step(count, &[])
    }
}

/// The service task on worker `at`.
fn service_run(at: usize) -> RunRef {
    run(FIRST_SERVICE + at as u64, 0, 0, 1)
}

/// A scheduler whose ownership begins beside a backlog of a predecessor and services on all
/// workers.
fn owner_beside(workers: usize, backlog: &[StepSpec]) -> Bench {
    let mut bench = Bench::with_options(SchedulerOptions {
        best_effort: BestEffortConfig {
            cpu_limit: Some(130),
            ..BestEffortConfig::default()
        },
        ..options()
    });
    for at in 0..workers {
        bench.feed(Input::Expected(node(at)));
        let id = FIRST_SERVICE + at as u64;
        bench.submit(id, job(vec![service_step()]), 5);
    }
    for (id, step) in backlog.iter().enumerate() {
        bench.submit(id as u64, job(vec![step.clone()]), 6);
    }
    for at in 0..workers {
        bench.feed(Input::Linked(node(at)));
        bench.agent(at, AgentMessage::Report(report(at, 7)));
        let out = bench.list(at, vec![service_run(at)]);
        bench.begin(&out);
    }
    bench
}

fn gauge(run: RunRef, measurement: u64) -> RunStatus {
    RunStatus {
        run,
        checkpoint: String::new(),
        percent: 100,
        measurement,
    }
}

/// Milliseconds after which each job of the backlog has had a run; none within 20 s.
fn time_to_run_all(bench: &mut Bench, workers: usize, backlog: usize) -> Option<u64> {
    const TICK_MS: u64 = 150;
    let mut running: BTreeMap<NodeName, Vec<RunRef>> = BTreeMap::new();
    for tick in 0..20_000 / TICK_MS {
        let mut out = bench.wait(TICK_MS);
        if tick % 3 == 0 {
            for at in 0..workers {
                let best_effort = running.get(&node(at)).into_iter().flatten();
                let mut gauges = vec![gauge(service_run(at), BUSY_MS)];
                gauges.extend(best_effort.map(|run| gauge(*run, 0)));
                out.extend(bench.agent(at, AgentMessage::Measurements(gauges)));
            }
        }
        bench.begin(&out);
        for (node, run) in starts(&out) {
            running.entry(node).or_default().push(run);
        }
        let mut ids = (0..backlog as u64).map(JobId);
        if ids.all(|id| bench.scheduler.state(id) == Some(JobState::Running)) {
            return Some((tick + 1) * TICK_MS);
        }
    }
    None
}

/// Guards against best-effort jobs that wait for ever with most of the room free, since no
/// worker has the headroom beside its services for one more task at full speed.
#[test]
fn an_owner_that_takes_over_beside_a_backlog_runs_each_job_within_the_bound() {
    struct Case {
        name: &'static str,
        workers: usize,
        jobs: usize,
        step: StepSpec,
    }
    let gang = StepSpec {
        gang: true,
        ..best_effort_step(2)
    };
    let cases = [
        Case {
            name: "restart of all beside 900 jobs",
            workers: 59,
            jobs: 900,
            step: best_effort_step(4),
        },
        Case {
            name: "a change of owner beside a few jobs",
            workers: 10,
            jobs: 3,
            step: best_effort_step(9),
        },
        Case {
            name: "gangs",
            workers: 10,
            jobs: 4,
            step: gang,
        },
    ];
    for case in cases {
        let backlog = vec![case.step; case.jobs];
        let mut bench = owner_beside(case.workers, &backlog);
        let time = time_to_run_all(&mut bench, case.workers, case.jobs);
        let within = time.is_some_and(|time| time <= START_BOUND_MS);
        assert!(within, "{}: after {time:?} ms", case.name);
    }
}

/// Guards against a fleet that starts nothing, since jobs that always fail have put all its
/// workers into quarantine.
#[test]
fn tasks_start_within_the_bound_though_all_workers_are_quarantined() {
    struct Case {
        name: &'static str,
        step: StepSpec,
    }
    let cases = [
        Case {
            name: "a task",
            step: step(1, &[]),
        },
        Case {
            name: "a service task",
            step: service_step(),
        },
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        let mut ended = 0;
        for id in 1..=6 {
            let mut out = bench.submit(id, job(vec![step(1, &[])]), 10 + id);
            for _ in 0..80 {
                for (_, run) in starts(&std::mem::take(&mut out)) {
                    ended += 1;
                    out.extend(bench.end(0, ended, run, EndReason::Failed));
                }
                if ended == 2 * id {
                    break;
                }
                bench.now = bench.now.after(Duration::from_millis(500));
                out.extend(bench.feed(Input::Tick));
            }
            assert_eq!(ended, 2 * id, "{}: runs that failed", case.name);
        }
        bench.submit(100, job(vec![case.step]), 50);
        let mut waited_ms = 0;
        let job = JobId(100);
        while bench.scheduler.state(job) == Some(JobState::Queued) && waited_ms < 20_000 {
            let out = bench.wait(150);
            bench.begin(&out);
            waited_ms += 150;
        }
        assert!(waited_ms <= START_BOUND_MS, "{}: {waited_ms} ms", case.name);
    }
}

/// Guards against jobs that fail since their tasks start on a worker that fails them all, instead
/// of waiting for one of the others, which are full.
#[test]
fn starving_tasks_avoid_quarantined_workers_beside_others() {
    let mut bench = Bench::with_workers(1);
    for id in 1..=3 {
        let out = bench.submit(id, job(vec![step(1, &[])]), 10 + id);
        for (_, run) in starts(&out) {
            bench.end(0, id, run, EndReason::Failed);
        }
    }
    bench.join(1, report(1, 7));
    bench.submit(4, job(vec![step(4, &[])]), 20);
    bench.submit(5, job(vec![step(1, &[])]), 21);
    bench.feed(Input::Tick);
    bench.now = bench.now.after(Duration::from_millis(1_550));
    let out = bench.feed(Input::Tick);
    let on_failing = starts(&out).into_iter().find(|(at, _)| *at == node(0));
    assert_eq!(on_failing, None);
}
