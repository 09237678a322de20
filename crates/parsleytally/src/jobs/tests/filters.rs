//! Longest waits that each filter of workers causes; the table is in `docs/design/filters.md`.

use std::time::Duration;

use super::failures::Failures;
use super::scheduler::{Bench, options, starts};
use super::*;
use crate::configs::{BestEffortConfig, WorkersConfig};
use crate::types::Revision;

/// Time within which a task that could run has to run, by the platform's page.
const BOUND_MS: u64 = 3_000;
/// Time after which a wait counts as endless.
const ENDLESS_MS: u64 = 20_000;
const TICK_MS: u64 = 150;
/// Jobs whose waits are measured: one that lasts, one with nothing running.
const MEASURED: [u64; 2] = [500, 501];
/// Label that the usable worker has.
const LABEL: &str = "only";

struct Case {
    name: &'static str,
    settings: WorkersConfig,
    step: StepSpec,
    /// Brings the filter into force on worker 0, the only one that can take the step.
    prepare: fn(&mut Bench),
}

fn small() -> StepSpec {
    StepSpec {
        need: need(50, 10),
        required_label: Some(LABEL.into()),
        ..step(1, &[])
    }
}

fn labelled(at: usize, born: u64) -> WorkerReport {
    let mut report = report(at, born);
    report.labels.push(LABEL.into());
    report
}

/// Jobs that always fail, each on worker 0; the failures of `count` jobs arrive together.
fn fail_jobs(bench: &mut Bench, count: u64) {
    let mut runs = Vec::new();
    for id in 100..100 + count {
        let out = bench.submit(id, job(vec![small()]), 20);
        runs.extend(starts(&out));
    }
    for (number, (_, run)) in (1..).zip(runs) {
        bench.end(0, number, run, EndReason::Failed);
    }
}

/// Worker 1 has the label too, but no room.
fn fill_other(bench: &mut Bench) {
    let mut report = labelled(1, 7);
    report.labels.push("full".into());
    bench.agent(1, AgentMessage::Report(report));
    let whole = StepSpec {
        need: need(4_000, 10),
        required_label: Some("full".into()),
        ..step(1, &[])
    };
    let out = bench.submit(90, job(vec![whole]), 19);
    assert_eq!(starts(&out)[0].0, node(1));
}

/// Jobs with a mark of a crash, as after a loss of power, which are isolated.
fn isolate_jobs(bench: &mut Bench) {
    for id in 100..130 {
        let mark = CrashMark {
            run: 1,
            node: node(2),
            seen_ms: Some(0),
            suspect: true,
            sole: false,
        };
        let task = TaskProgress {
            crashes: vec![mark],
            ..TaskProgress::default()
        };
        let steps = vec![StepProgress {
            tasks: vec![task],
            ..StepProgress::default()
        }];
        bench.feed(Input::Job {
            id: JobId(id),
            record: job(vec![small()]),
            accepted: Revision(20),
            progress: Some(JobProgress {
                state: JobState::Running,
                steps,
            }),
        });
    }
}

/// Worker 0 restarts three times.
fn flap(bench: &mut Bench) {
    for born in 8..11 {
        bench.agent(0, AgentMessage::Report(labelled(0, born)));
        let listed = AgentMessage::Listed {
            incarnation: incarnation(0, born),
            running: vec![],
            ended: vec![],
        };
        bench.agent(0, listed);
        bench.wait(2_000);
    }
}

/// Best-effort tasks request all processors of worker 0 that they may.
fn reach_limit(bench: &mut Bench) {
    let others = StepSpec {
        need: need(1_000, 10),
        best_effort: true,
        ..small()
    };
    bench.submit(100, job(vec![StepSpec { count: 9, ..others }]), 20);
}

/// The workers of rack `r1` are full.
fn fill_rack(bench: &mut Bench) {
    let whole = StepSpec {
        need: need(4_000, 10),
        required_label: Some("r1".into()),
        ..step(1, &[])
    };
    bench.submit(100, job(vec![whole]), 20);
}

/// Time until each measured job has run, in milliseconds.
fn longest_wait(case: &Case) -> u64 {
    let mut bench = Bench::with_options(SchedulerOptions {
        best_effort: BestEffortConfig {
            cpu_limit: Some(100),
            ..BestEffortConfig::default()
        },
        workers: case.settings,
        ..options()
    });
    bench.join(0, labelled(0, 7));
    for at in 1..4 {
        bench.join(at, report(at, 7));
    }
    (case.prepare)(&mut bench);
    let lasts = StepSpec {
        long_running: true,
        ..case.step.clone()
    };
    let begun = bench.now;
    let mut out = bench.submit(MEASURED[0], job(vec![lasts]), 30);
    out.extend(bench.submit(MEASURED[1], job(vec![case.step.clone()]), 31));
    let mut waiting = MEASURED.to_vec();
    loop {
        for (_, run) in starts(&out) {
            waiting.retain(|id| *id != run.task.job.0);
        }
        let waited_ms = bench.now.since(begun).as_millis() as u64;
        if waiting.is_empty() || waited_ms >= ENDLESS_MS {
            return waited_ms;
        }
        out = bench.wait(TICK_MS);
    }
}

/// Guards against work that waits without a bound for the only worker that can take it, since a
/// filter protects other work from it, or it from the worker.
#[test]
fn no_filter_holds_work_back_beyond_the_bound() {
    let plain = WorkersConfig::default();
    let cases = [
        Case {
            name: "quarantine of the only worker with the label",
            settings: plain,
            step: small(),
            prepare: |bench| fail_jobs(bench, 9),
        },
        Case {
            name: "quarantine, and the others are full",
            settings: plain,
            step: small(),
            prepare: |bench| {
                fill_other(bench);
                fail_jobs(bench, 9);
            },
        },
        Case {
            name: "isolation of many tasks",
            settings: plain,
            step: small(),
            prepare: isolate_jobs,
        },
        Case {
            name: "standing",
            settings: WorkersConfig {
                health: true,
                ..plain
            },
            step: StepSpec {
                need: need(1_000, 10),
                estimate_ms: 60_000,
                ..small()
            },
            prepare: flap,
        },
        Case {
            name: "limit of best-effort processors",
            settings: plain,
            step: StepSpec {
                best_effort: true,
                need: need(1_000, 10),
                ..small()
            },
            prepare: reach_limit,
        },
        Case {
            name: "rack",
            settings: WorkersConfig {
                rack_wait: true,
                remote_percent: 200,
                ..plain
            },
            step: StepSpec {
                preferred_rack: Some("r1".into()),
                required_label: None,
                estimate_ms: 60_000,
                ..step(1, &[])
            },
            prepare: fill_rack,
        },
    ];
    for case in cases {
        let waited_ms = longest_wait(&case);
        assert!(waited_ms <= BOUND_MS, "{}: {waited_ms} ms", case.name);
    }
}

/// Guards against failures of one moment that double the quarantine each, and against a
/// quarantine that goes on although a later run works.
#[test]
fn failures_of_one_moment_are_one_event() {
    let at = |millis: u64| Bench::START.after(Duration::from_millis(millis));
    let mut failures = Failures::default();
    for job in 0..9 {
        failures.record_failure(at(1_000), JobId(job), Some(at(job)));
    }
    assert!(failures.is_quarantined(at(2_990)));
    assert!(!failures.is_quarantined(at(3_010)), "one event");
    failures.record_failure(at(4_000), JobId(20), Some(at(3_020)));
    assert!(failures.is_quarantined(at(7_990)), "a later one doubles it");
    failures.record_work(Some(at(3_990)), 10_000);
    assert!(failures.is_quarantined(at(7_990)), "an earlier run");
    failures.record_work(Some(at(4_010)), 2_000);
    assert!(!failures.is_quarantined(at(7_990)), "a sound start");
    failures.record_failure(at(8_000), JobId(21), Some(at(7_000)));
    assert!(failures.is_quarantined(at(9_990)));
    assert!(!failures.is_quarantined(at(10_010)), "no doubling");
}
