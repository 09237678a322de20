//! Work that could run and that a single agent, task or mark holds back.

use std::time::Duration;

use super::scheduler::{Bench, options, starts};
use super::*;
use crate::configs::BestEffortConfig;
use crate::types::{Revision, Time};

/// Time between two ticks, in milliseconds.
pub(super) const TICK_MS: u64 = 150;
/// Time within which a job with nothing running starts, by the platform's page.
pub(super) const IDLE_BOUND_MS: u64 = 3_000;
/// Time within which a task that lasts starts again, by the platform's page.
pub(super) const LASTING_BOUND_MS: u64 = 9_000;

/// Options with the default times of the settings, extended for drifting clocks.
pub(super) fn default_times() -> SchedulerOptions {
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
pub(super) fn time_until(
    bench: &mut Bench,
    most: u64,
    mut done: impl FnMut(&mut Bench, &[Output]) -> bool,
) -> Option<u64> {
    let begun = bench.now;
    while elapsed_ms(bench, begun) < most {
        let out = bench.wait(TICK_MS);
        if done(bench, &out) {
            return Some(elapsed_ms(bench, begun));
        }
    }
    None
}

/// Time on the clock of the bench, which each input advances, in milliseconds.
fn elapsed_ms(bench: &Bench, begun: Time) -> u64 {
    bench.now.since(begun).as_millis() as u64
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

/// Tail latency of a service that leaves almost no headroom, in milliseconds.
const BUSY_MS: u64 = 118;
/// Target of that service, in milliseconds.
const TARGET_MS: u64 = 150;
/// Id of the job with the services.
const SERVICE: u64 = 10_000;

/// A step of best-effort tasks that no worker with a busy service admits.
pub(super) fn harmful_step(count: u32, long_running: bool) -> StepSpec {
    StepSpec {
        best_effort: true,
        long_running,
        need: need(2_250, 100),
        image: Some("rebuild".into()),
        ..step(count, &[])
    }
}

/// Joins workers, each with a task of a service near its target; returns these.
fn join_busy(bench: &mut Bench, workers: usize) -> Vec<(NodeName, RunRef)> {
    join_reserving(bench, workers, 1_000)
}

/// Joins workers, each with a task of a service near its target that reserves `cpu` thousandths of processors;
/// returns these.
pub(super) fn join_reserving(
    bench: &mut Bench,
    workers: usize,
    cpu: u64,
) -> Vec<(NodeName, RunRef)> {
    for at in 0..workers {
        bench.join(at, report(at, 7));
    }
    let service = StepSpec {
        long_running: true,
        target_ms: TARGET_MS,
        need: need(cpu, 1_000),
        image: Some("service".into()),
        max_per_worker: 1,
        ..step(workers as u32, &[])
    };
    let placed = starts(&bench.submit(SERVICE, job(vec![service]), 11));
    assert_eq!(placed.len(), workers);
    for _ in 0..4 {
        measure(bench, &placed);
        bench.wait(TICK_MS);
    }
    placed
}

/// Reports the measurements of all busy services and of `runs`.
pub(super) fn measure(bench: &mut Bench, placed: &[(NodeName, RunRef)]) -> Vec<Output> {
    let mut out = Vec::new();
    let mut nodes: Vec<&NodeName> = placed.iter().map(|(node, _)| node).collect();
    nodes.sort_unstable();
    nodes.dedup();
    for name in nodes {
        let runs = placed.iter().filter(|(node, _)| node == name);
        let gauges = runs.map(|(_, run)| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            measurement: if run.task.job.0 == SERVICE {
                BUSY_MS
            } else {
                0
            },
        });
        let measurements = AgentMessage::Measurements(gauges.collect());
        out.extend(bench.feed(Input::Agent(name.clone(), measurements)));
    }
    out
}

/// Guards against LOST: the wait of a step began anew with each start of one of its tasks, so those of a step of
/// tasks that last started one by one, each after a wait of its own.
#[test]
fn each_task_that_lasts_has_a_wait_of_its_own() {
    const TASKS: usize = 16;
    let mut bench = Bench::with_options(default_times());
    let mut placed = join_busy(&mut bench, TASKS);
    let out = bench.submit(1, job(vec![harmful_step(TASKS as u32, true)]), 30);
    placed.extend(starts(&out));
    let time = time_until(&mut bench, 2 * LASTING_BOUND_MS, |bench, out| {
        placed.extend(starts(out));
        placed.extend(starts(&measure(bench, &placed)));
        let of_job = placed.iter().filter(|(_, run)| run.task.job == JobId(1));
        of_job.count() >= TASKS
    });
    let in_time = time.is_some_and(|time| time <= LASTING_BOUND_MS);
    assert!(in_time, "{time:?} ms");
}

/// Guards against LOST: a start that was refused ended the wait of its task, so one worker that refuses all starts
/// kept a job from the others for ever.
#[test]
fn a_worker_that_refuses_all_starts_does_not_hold_back_a_job() {
    struct Case {
        name: &'static str,
        long_running: bool,
        bound_ms: u64,
    }
    let cases = [
        Case {
            name: "a job with nothing running",
            long_running: false,
            bound_ms: IDLE_BOUND_MS,
        },
        Case {
            name: "a task that lasts",
            long_running: true,
            bound_ms: LASTING_BOUND_MS,
        },
    ];
    for case in cases {
        let mut bench = Bench::with_options(default_times());
        let services = join_busy(&mut bench, 1);
        bench.join(1, report(1, 7));
        let refuse = |bench: &mut Bench, out: &[Output]| {
            let mut sound = false;
            for (at, run) in starts(out) {
                sound |= at == node(0);
                if at == node(1) {
                    let reason = RefusalReason::Unwell;
                    bench.agent(1, AgentMessage::Refused { run, reason });
                }
            }
            sound
        };
        let out = bench.submit(1, job(vec![harmful_step(1, case.long_running)]), 30);
        refuse(&mut bench, &out);
        let time = time_until(&mut bench, 2 * LASTING_BOUND_MS, |bench, out| {
            measure(bench, &services);
            refuse(bench, out)
        });
        let in_time = time.is_some_and(|time| time <= case.bound_ms);
        assert!(in_time, "{}: {time:?} ms", case.name);
    }
}

/// What the tests below do after the starts of each tick: the outputs to carry out, or none once it is done.
type AfterStarts<'a> =
    dyn FnMut(&mut Bench, u64, &[(NodeName, RunRef)]) -> Option<Vec<Output>> + 'a;

/// Time until `after` is done while worker `refusing` refuses each start, in milliseconds.
fn time_refusing(
    bench: &mut Bench,
    refusing: usize,
    reason: RefusalReason,
    mut out: Vec<Output>,
    after: &mut AfterStarts<'_>,
) -> Option<u64> {
    let begun = bench.now;
    while elapsed_ms(bench, begun) < 2 * LASTING_BOUND_MS {
        let placed = starts(&out);
        let time = elapsed_ms(bench, begun);
        let Some(next) = after(bench, time, &placed) else {
            return Some(time);
        };
        out = next;
        for (_, run) in placed.iter().filter(|(at, _)| *at == node(refusing)) {
            let refusal = AgentMessage::Refused { run: *run, reason };
            out.extend(bench.agent(refusing, refusal));
        }
        out.extend(bench.wait(TICK_MS));
    }
    None
}

/// Guards against LOST: a worker that refused starts for want of room, or without an answer, was the best one again at
/// once, so any job waited for it for ever beside a worker with room.
#[test]
fn a_worker_that_refuses_for_any_reason_does_not_hold_back_a_job() {
    let reasons = [
        RefusalReason::Unwell,
        RefusalReason::Room,
        RefusalReason::Fenced,
        RefusalReason::Old,
        RefusalReason::Late,
        RefusalReason::Ticket,
        RefusalReason::Unanswered,
        RefusalReason::Invalid,
        RefusalReason::OldRead,
    ];
    for reason in reasons {
        let mut bench = Bench::with_workers(2);
        let first = starts(&bench.submit(1, job(vec![step(1, &[])]), 11));
        let sound = usize::from(first[0].0 == node(1));
        bench.list(sound, vec![first[0].1]);
        let out = bench.submit(2, job(vec![step(1, &[])]), 12);
        let time = time_refusing(&mut bench, 1 - sound, reason, out, &mut |_, _, placed| {
            let starts = placed.iter().any(|(at, _)| *at == node(sound));
            (!starts).then(Vec::new)
        });
        let in_time = time.is_some_and(|time| time <= IDLE_BOUND_MS);
        assert!(in_time, "{reason:?}: {time:?} ms");
    }
}

/// Guards against LOST: a gang whose members ended alone got the worker that refuses all starts again each time.
#[test]
fn a_worker_that_refuses_all_starts_does_not_hold_back_a_gang() {
    const ALONE_AFTER_MS: u64 = 3_000;
    let mut bench = Bench::with_workers(3);
    let busy = [10, 11].map(|id| starts(&bench.submit(id, job(vec![step(1, &[])]), 11))[0].clone());
    let at = |name: &NodeName| (0..3).find(|at| node(*at) == *name).expect("a worker");
    for (name, run) in &busy {
        bench.list(at(name), vec![*run]);
    }
    let refusing = 3 - at(&busy[0].0) - at(&busy[1].0);
    let gang = StepSpec {
        gang: true,
        max_per_worker: 1,
        ..step(2, &[])
    };
    let out = bench.submit(1, job(vec![gang]), 11);
    let mut alone: Option<(u64, NodeName, RunRef)> = None;
    let mut sequence = 0;
    let time = time_refusing(
        &mut bench,
        refusing,
        RefusalReason::Unwell,
        out,
        &mut |bench, time, placed| {
            let sound: Vec<_> = placed
                .iter()
                .filter(|(name, _)| *name != node(refusing))
                .collect();
            if let [(name, run)] = sound[..] {
                alone = Some((time, name.clone(), *run));
            }
            if let Some((_, name, run)) =
                alone.take_if(|(since, ..)| time - *since >= ALONE_AFTER_MS)
            {
                sequence += 1;
                return Some(bench.end(at(&name), sequence, run, EndReason::Alone));
            }
            (sound.len() < 2).then(Vec::new)
        },
    );
    let in_time = time.is_some_and(|time| time <= LASTING_BOUND_MS);
    assert!(in_time, "{time:?} ms");
}

/// Guards against LOST: each refused start ended the wait of an isolated task for a quiet worker, so it never came to a busy one.
#[test]
fn a_worker_that_refuses_all_starts_does_not_hold_back_an_isolated_task() {
    let mut bench = Bench::new();
    let labels = vec!["busy".into()];
    bench.join(
        0,
        WorkerReport {
            labels,
            ..report(0, 7)
        },
    );
    bench.join(1, report(1, 7));
    let mark = |run| CrashMark {
        run,
        node: node(7),
        seen_ms: Some(100),
        suspect: false,
        sole: false,
    };
    let marked = TaskProgress {
        index: 0,
        failed_runs: vec![],
        checkpoint: String::new(),
        crashes: vec![mark(1), mark(2)],
    };
    let marked = StepProgress {
        round: 0,
        step: 0,
        done_ranges: vec![],
        tasks: vec![marked],
    };
    let out = bench.feed(Input::Job {
        id: JobId(1),
        record: job(vec![step(1, &[])]),
        accepted: Revision(12),
        progress: Some(JobProgress {
            state: JobState::Running,
            steps: vec![marked],
        }),
    });
    let busy = StepSpec {
        required_label: Some("busy".into()),
        need: need(100, 10),
        ..step(1, &[])
    };
    let mut ended = 0;
    let time = time_refusing(
        &mut bench,
        1,
        RefusalReason::Unwell,
        out,
        &mut |bench, time, placed| {
            let sound = placed.iter().filter(|(name, _)| *name == node(0));
            let others = sound.filter(|(_, run)| run.task.job != JobId(1));
            let mut out = Vec::new();
            for (_, run) in others {
                ended += 1;
                out.extend(bench.end(0, ended, *run, EndReason::Done));
            }
            out.extend(bench.submit(1_000 + time, job(vec![busy.clone()]), 20));
            let is_started =
                |(name, run): &(NodeName, RunRef)| *name == node(0) && run.task.job == JobId(1);
            (!placed.iter().any(is_started)).then_some(out)
        },
    );
    let in_time = time.is_some_and(|time| time <= LASTING_BOUND_MS);
    assert!(in_time, "{time:?} ms");
}

/// Guards against LOST: an end that its worker lists on each new link, as the store does not have it yet, began
/// the wait of its task anew, so that the task never started again.
#[test]
fn an_end_that_is_listed_again_does_not_begin_the_wait_anew() {
    const RELINK_TICKS: u64 = 7;
    let mut bench = Bench::with_options(default_times());
    let mut placed = join_busy(&mut bench, 2);
    let services = placed.clone();
    let out = bench.submit(1, job(vec![harmful_step(1, true)]), 30);
    placed.extend(starts(&out));
    let is_of_job = |(_, run): &&(NodeName, RunRef)| run.task.job == JobId(1);
    let first = time_until(&mut bench, 2 * LASTING_BOUND_MS, |bench, out| {
        placed.extend(starts(out));
        placed.extend(starts(&measure(bench, &placed)));
        placed.iter().any(|run| is_of_job(&run))
    });
    assert!(first.is_some(), "the first run starts");
    let (host, run) = placed.iter().find(is_of_job).expect("a run").clone();
    let at = usize::from(host != node(0));
    let running = services.iter().filter(|(service, _)| *service == host);
    let running: Vec<RunStatus> = running
        .map(|(_, run)| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            measurement: BUSY_MS,
        })
        .collect();
    let listing = AgentMessage::Listed {
        incarnation: incarnation(at, 7),
        running,
        ended: vec![EndedRun {
            sequence: 1,
            run,
            reason: EndReason::Failed,
            checkpoint: String::new(),
        }],
    };
    bench.agent(at, listing.clone());
    let mut tick = 0;
    let again = time_until(&mut bench, 2 * LASTING_BOUND_MS, |bench, out| {
        let mut started = starts(out);
        if tick % RELINK_TICKS == 0 {
            started.extend(starts(&bench.feed(Input::Unlinked(host.clone()))));
            started.extend(starts(&bench.feed(Input::Linked(host.clone()))));
            let report = AgentMessage::Report(report(at, 7));
            started.extend(starts(&bench.agent(at, report)));
            started.extend(starts(&bench.agent(at, listing.clone())));
        }
        tick += 1;
        started.extend(starts(&measure(bench, &services)));
        started.iter().any(|run| is_of_job(&run))
    });
    let in_time = again.is_some_and(|time| time <= LASTING_BOUND_MS);
    assert!(in_time, "{again:?} ms");
}
