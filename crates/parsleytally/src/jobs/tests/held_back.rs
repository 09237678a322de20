//! Work that could run and that a single agent, task or mark holds back.

use std::time::Duration;

use super::scheduler::{Bench, options, starts};
use super::*;
use crate::configs::BestEffortConfig;

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 150;
/// Time within which a task that lasts starts again, by the platform's page.
const LASTING_BOUND_MS: u64 = 9_000;

/// Options with the default times of the settings, extended for drifting clocks.
fn default_times() -> SchedulerOptions {
    SchedulerOptions {
        agent_hold: Duration::from_millis(5_250),
        owner_hold: Duration::from_millis(8_400),
        best_effort: BestEffortConfig {
            cpu_limit: Some(130),
            ..BestEffortConfig::default()
        },
        ..options()
    }
}

/// Ticks until `done`; the time that it took, in milliseconds, if it was within `most`.
fn time_until(
    bench: &mut Bench,
    most: u64,
    mut done: impl FnMut(&mut Bench, &[Output]) -> bool,
) -> Option<u64> {
    for tick in 1..=most / TICK_MS {
        let out = bench.wait(TICK_MS);
        if done(bench, &out) {
            return Some(tick * TICK_MS);
        }
    }
    None
}

/// Guards against LOST: one agent that never lists its runs, or whose link comes and goes, held back
/// every job accepted before the ownership, on all workers and without a bound.
#[test]
fn one_agent_that_never_lists_does_not_hold_back_the_old_jobs_of_all() {
    struct Case {
        name: &'static str,
        workers: usize,
        /// Inputs of the agent that never lists, at each even and each odd tick.
        inputs: [fn(usize) -> Vec<Input>; 2],
    }
    let nothing = |_: usize| Vec::new();
    let linked = |at: usize| vec![Input::Linked(node(at))];
    let lost = |at: usize| vec![Input::Unlinked(node(at))];
    let relinked = |at: usize| vec![Input::Unlinked(node(at)), Input::Linked(node(at))];
    let reported = |at: usize| {
        let report = AgentMessage::Report(report(at, 7));
        vec![Input::Agent(node(at), report)]
    };
    let cases = [
        Case {
            name: "never linked",
            workers: 2,
            inputs: [nothing, nothing],
        },
        Case {
            name: "links come and go",
            workers: 2,
            inputs: [linked, lost],
        },
        Case {
            name: "links come and go beside 3,000 workers",
            workers: 3_000,
            inputs: [linked, lost],
        },
        Case {
            name: "linked again and again, reported, never listed",
            workers: 2,
            inputs: [relinked, reported],
        },
    ];
    for case in cases {
        let mut bench = Bench::with_options(default_times());
        let odd = case.workers;
        for at in 0..=odd {
            bench
                .scheduler
                .step(bench.now, 0, Input::Expected(node(at)), &mut Vec::new());
        }
        bench.submit(1, job(vec![step(1, &[])]), 5);
        bench.join(0, report(0, 7));
        for at in 1..case.workers {
            let inputs = [
                Input::Linked(node(at)),
                Input::Agent(node(at), AgentMessage::Report(report(at, 7))),
                Input::Agent(node(at), listing(at)),
            ];
            for input in inputs {
                bench.scheduler.step(bench.now, 0, input, &mut Vec::new());
            }
        }
        let mut tick = 0;
        let started = time_until(&mut bench, 2 * LASTING_BOUND_MS, |bench, out| {
            for input in case.inputs[tick % 2](odd) {
                bench.feed(input);
            }
            tick += 1;
            !starts(out).is_empty() || bench.scheduler.state(JobId(1)) == Some(JobState::Running)
        });
        let in_time = started.is_some_and(|time| time <= LASTING_BOUND_MS);
        assert!(in_time, "{}: {started:?} ms", case.name);
    }
}

/// An empty listing of worker `at`.
fn listing(at: usize) -> AgentMessage {
    AgentMessage::Listed {
        incarnation: incarnation(at, 7),
        running: vec![],
        ended: vec![],
    }
}

/// Guards against LOST: the runs of a lost agent counted as alive for as long as its link came and went
/// without a listing, so their tasks started nowhere else.
#[test]
fn links_without_a_listing_do_not_keep_the_runs_of_an_agent() {
    let mut bench = Bench::with_options(default_times());
    bench.join(0, report(0, 7));
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert_eq!(starts(&out).len(), 1, "{out:?}");
    bench.join(1, report(1, 7));
    let mut linked = true;
    let started = time_until(&mut bench, 2 * LASTING_BOUND_MS, |bench, out| {
        let link = if linked {
            Input::Unlinked(node(0))
        } else {
            Input::Linked(node(0))
        };
        linked = !linked;
        bench.feed(link);
        starts(out).iter().any(|(to, _)| *to == node(1))
    });
    let in_time = started.is_some_and(|time| time <= LASTING_BOUND_MS);
    assert!(in_time, "{started:?} ms");
}

/// Guards against a worker that is never used again: the hold of its agent passed while the owner had yet to
/// acknowledge ends that the agent reported before its listing, and they were never acknowledged.
#[test]
fn ends_are_acknowledged_though_a_hold_passes_before_the_listing() {
    let mut bench = Bench::with_options(default_times());
    bench.join(0, report(0, 7));
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    let ended = starts(&out)[0].1;
    bench.feed(Input::Unlinked(node(0)));
    bench.feed(Input::Linked(node(0)));
    bench.agent(0, AgentMessage::Report(report(0, 7)));
    bench.end(0, 1, ended, EndReason::Done);
    bench.wait(LASTING_BOUND_MS);
    let out = bench.feed(Input::Saved {
        job: JobId(1),
        version: 1,
    });
    let is_ack = |output: &Output| {
        matches!(
            output,
            Output::Order(_, OrderMessage::AcknowledgeEnds { sequence: 1, .. })
        )
    };
    assert!(out.iter().any(is_ack), "{out:?}");
}
