//! Shares of queues and preemption: under load, and with one failure each.

use std::collections::BTreeMap;

use super::scheduler::{Bench, starts, stops};
use super::*;
use crate::configs::{QueueShare, SharesConfig};

/// Queue of priority 0 with quick jobs, and one of priority 2 with large jobs.
const QUICK: &str = "quick";
const LARGE: &str = "large";
/// Tasks that fit on the workers of [`bench`].
const CAPACITY: usize = 16;

fn policy(name: &str, priority: u32) -> QueuePolicy {
    QueuePolicy {
        name: QueueName(name.into()),
        priority,
        ..queue()
    }
}

fn job_of(name: &str, steps: Vec<StepSpec>) -> JobRecord {
    let mut record = job(steps);
    record.spec.queue = Arc::new(policy(name, 1));
    record
}

/// Tasks that take ten seconds, of a step that nothing delays.
fn long_step(count: u32) -> StepSpec {
    StepSpec {
        estimate_ms: 10_000,
        ..step(count, &[])
    }
}

fn share(weight: u32, quota_percent: Option<u32>) -> QueueShare {
    QueueShare {
        weight,
        quota_percent,
    }
}

/// Four workers of four tasks each, without agents yet.
fn bench(preempt: bool, large: QueueShare, quick: QueueShare) -> Bench {
    let mut bench = Bench::new();
    let policies = vec![policy(QUICK, 0), policy(LARGE, 2)];
    bench.feed(Input::Queues(Arc::new(QueueTable::new(2, 1, policies))));
    let queues = [(LARGE.to_owned(), large), (QUICK.to_owned(), quick)];
    let config = SharesConfig::new(preempt, BTreeMap::from(queues));
    bench.scheduler.set_shares(Arc::new(config));
    bench
}

fn join_all(bench: &mut Bench) -> Vec<Output> {
    let joined = (0..4).flat_map(|at| bench.join(at, report(at, 7)));
    joined.collect()
}

/// A bench whose workers are full with tasks of the large job 1, and four more wait.
fn full_of_large(preempt: bool, large: StepSpec) -> (Bench, Vec<(NodeName, RunRef)>) {
    let mut bench = bench(preempt, share(1, None), share(1, None));
    join_all(&mut bench);
    let out = bench.submit(1, job_of(LARGE, vec![large]), 11);
    let started = starts(&out);
    assert_eq!(started.len(), CAPACITY);
    (bench, started)
}

fn of_job(started: &[(NodeName, RunRef)], id: u64) -> usize {
    let own = started.iter().filter(|(_, run)| run.task.job == JobId(id));
    own.count()
}

fn index_of(name: &NodeName) -> usize {
    let found = (0..4).find(|at| node(*at) == *name);
    found.expect("a worker of the bench")
}

fn preempted(out: &[Output]) -> Vec<RunRef> {
    let run = |output: &Output| match output {
        Output::Preempted { run, .. } => Some(*run),
        _ => None,
    };
    out.iter().filter_map(run).collect()
}

fn share_of(bench: &Bench, queue: &str) -> f64 {
    let usage = bench.scheduler.queue_usage();
    let own = usage.iter().find(|usage| *usage.queue.0 == *queue);
    own.expect("a queue with an open job").share
}

fn measured(bench: &mut Bench, at: usize, run: RunRef, percent: u32) -> Vec<Output> {
    let status = RunStatus {
        run,
        checkpoint: String::new(),
        percent,
        measurement: 0,
    };
    bench.agent(at, AgentMessage::Measurements(vec![status]))
}

#[test]
fn capacity_that_two_queues_want_is_divided_by_weight_and_quota() {
    struct Case {
        what: &'static str,
        large: QueueShare,
        quick: QueueShare,
        /// Starts of the large and of the quick job.
        expected: (usize, usize),
    }
    let cases = [
        Case {
            what: "equal weights",
            large: share(1, None),
            quick: share(1, None),
            expected: (8, 8),
        },
        Case {
            what: "weights of 1 to 3",
            large: share(1, None),
            quick: share(3, None),
            expected: (4, 12),
        },
        Case {
            what: "a quota below the weight's part",
            large: share(3, Some(25)),
            quick: share(1, None),
            expected: (4, 12),
        },
        Case {
            what: "quotas below the capacity",
            large: share(1, Some(25)),
            quick: share(1, Some(50)),
            expected: (4, 8),
        },
    ];
    for case in cases {
        let mut bench = bench(false, case.large, case.quick);
        bench.submit(1, job_of(LARGE, vec![long_step(40)]), 11);
        bench.submit(2, job_of(QUICK, vec![step(40, &[])]), 12);
        // All workers become free in one placement pass.
        let mut out = Vec::new();
        for at in 0..4 {
            let node = node(at);
            bench
                .scheduler
                .step(bench.now, 0, Input::Linked(node), &mut out);
        }
        for at in 0..4 {
            let (node, report) = (node(at), report(at, 7));
            let listed = AgentMessage::Listed {
                incarnation: report.incarnation.clone(),
                running: vec![],
                ended: vec![],
            };
            for message in [AgentMessage::Report(report), listed] {
                let input = Input::Agent(node.clone(), message);
                bench.scheduler.step(bench.now, 0, input, &mut out);
            }
        }
        out.extend(bench.feed(Input::Tick));
        let started = starts(&out);
        let counts = (of_job(&started, 1), of_job(&started, 2));
        assert_eq!(counts, case.expected, "{}", case.what);
    }
}

/// Guards against a burst of large jobs that keeps the capacity that it borrowed: runs that
/// end are replaced by tasks of the same burst, while another queue's quick jobs wait.
#[test]
fn borrowed_capacity_is_returned_as_runs_end() {
    let (mut bench, large) = full_of_large(false, long_step(40));
    let out = bench.submit(2, job_of(QUICK, vec![step(20, &[])]), 12);
    assert_eq!(starts(&out), [], "nothing is free");
    assert_eq!(stops(&bench.wait(150)), [], "nothing is preempted");
    let mut ended = [0; 4];
    let mut started = Vec::new();
    for (name, run) in &large[..10] {
        let at = index_of(name);
        ended[at] += 1;
        started.extend(starts(&bench.end(at, ended[at], *run, EndReason::Done)));
    }
    assert_eq!(of_job(&started, 2), 8, "up to its half of the capacity");
    assert_eq!(of_job(&started, 1), 2, "the halves are kept");
    assert!((share_of(&bench, QUICK) - 0.5).abs() < 1e-9);
}

#[test]
fn an_idle_queue_leaves_its_share_to_others() {
    let (bench, _) = full_of_large(false, long_step(40));
    assert!((share_of(&bench, LARGE) - 1.0).abs() < 1e-9);
}

#[test]
fn the_run_that_loses_least_is_preempted_once() {
    let (mut bench, large) = full_of_large(true, long_step(20));
    bench.wait(500);
    // One run is younger than all others: it replaces one that has ended.
    let (name, old) = large[5].clone();
    let young = starts(&bench.end(index_of(&name), 1, old, EndReason::Done));
    assert_eq!(young.len(), 1);
    bench.wait(200);
    bench.submit(2, job_of(QUICK, vec![step(1, &[])]), 12);
    let out = bench.wait(150);
    assert_eq!(preempted(&out), [young[0].1]);
    assert_eq!(stops(&out), [young[0].1]);
    assert_eq!(starts(&out), [], "its end is not certain yet");
    let out = bench.wait(150);
    assert_eq!(stops(&out), [], "its room is enough for the task");
    let out = bench.end(index_of(&young[0].0), 2, young[0].1, EndReason::Stopped);
    assert_eq!(starts(&out), [(young[0].0.clone(), run(2, 0, 0, 1))]);
}

#[test]
fn runs_with_checkpoints_are_preempted_before_younger_ones_without() {
    let mut bench = bench(true, share(1, None), share(1, None));
    join_all(&mut bench);
    let saving = StepSpec {
        checkpoints: true,
        ..long_step(1)
    };
    let saving = starts(&bench.submit(1, job_of(LARGE, vec![saving]), 11));
    bench.wait(500);
    bench.submit(2, job_of(LARGE, vec![long_step(15)]), 12);
    bench.submit(3, job_of(QUICK, vec![step(1, &[])]), 13);
    assert_eq!(preempted(&bench.wait(150)), [saving[0].1]);
}

/// Guards against preemption that ends services, breaks gangs, throws nearly finished work
/// away or starves the lower queue.
#[test]
fn runs_that_must_go_on_are_not_preempted() {
    struct Case {
        what: &'static str,
        preempt: bool,
        large: StepSpec,
        /// Progress that all runs report, in percent.
        percent: u32,
        /// Tasks of the quick job, and runs preempted for them.
        quick: u32,
        expected: usize,
    }
    let case = |what, large, percent, quick, expected| Case {
        what,
        preempt: true,
        large,
        percent,
        quick,
        expected,
    };
    let service = StepSpec {
        long_running: true,
        max_unavailable: 1,
        ..long_step(16)
    };
    let gang = StepSpec {
        gang: true,
        ..long_step(16)
    };
    let limited = StepSpec {
        max_unavailable: 2,
        ..long_step(16)
    };
    let cases = [
        Case {
            preempt: false,
            ..case("the settings forbid it", long_step(16), 10, 4, 0)
        },
        case("half done", long_step(16), 50, 4, 4),
        case("more than 85% done", long_step(16), 86, 4, 0),
        case("more than 85% done by now", long_step(16), 80, 4, 0),
        case("a service", service, 10, 4, 0),
        case("a gang", gang, 10, 4, 0),
        case("a step with max_unavailable", limited, 10, 4, 2),
        case(
            "more tasks than the half of the pool",
            long_step(16),
            10,
            16,
            8,
        ),
    ];
    for case in cases {
        let (mut bench, large) = full_of_large(case.preempt, case.large);
        bench.wait(500);
        for (name, run) in large {
            measured(&mut bench, index_of(&name), run, case.percent);
        }
        bench.submit(2, job_of(QUICK, vec![step(case.quick, &[])]), 12);
        let mut out = bench.wait(150);
        out.extend(bench.wait(150));
        assert_eq!(preempted(&out).len(), case.expected, "{}", case.what);
        assert_eq!(stops(&out).len(), case.expected, "{}", case.what);
    }
}

/// Guards against a queue of low priority that preempts one of higher priority.
#[test]
fn a_queue_of_lower_or_equal_priority_preempts_nothing() {
    for name in [QUICK, LARGE] {
        let mut bench = bench(true, share(9, None), share(1, None));
        join_all(&mut bench);
        bench.submit(1, job_of(name, vec![long_step(16)]), 11);
        bench.submit(2, job_of(LARGE, vec![long_step(4)]), 12);
        assert_eq!(stops(&bench.wait(150)), [], "{name}");
    }
}

/// Guards against runs that start again while they still run: the successor of an owner that
/// was replaced in the middle of a preemption doesn't know whether the stop has arrived.
#[test]
fn an_owner_replaced_in_the_middle_of_a_preemption_starts_nothing_twice() {
    let (mut before, large) = full_of_large(true, long_step(16));
    before.submit(2, job_of(QUICK, vec![step(1, &[])]), 12);
    let stopped = stops(&before.wait(150));
    assert_eq!(stopped.len(), 1);
    let mut after = bench(true, share(1, None), share(1, None));
    after.submit(1, job_of(LARGE, vec![long_step(16)]), 9);
    after.submit(2, job_of(QUICK, vec![step(1, &[])]), 9);
    for at in 0..4 {
        after.feed(Input::Expected(node(at)));
    }
    let mut out = Vec::new();
    for at in 0..4 {
        after.feed(Input::Linked(node(at)));
        after.agent(at, AgentMessage::Report(report(at, 7)));
        let on_worker = large.iter().filter(|(name, _)| *name == node(at));
        out.extend(after.list(at, on_worker.map(|(_, run)| *run).collect()));
    }
    assert_eq!(starts(&out), [], "all tasks run, and nothing is free");
    assert!((share_of(&after, LARGE) - 1.0).abs() < 1e-9);
    assert_eq!(preempted(&after.wait(150)), [], "not measured yet");
    let (name, last) = large.last().expect("sixteen runs").clone();
    measured(&mut after, index_of(&name), last, 20);
    assert_eq!(preempted(&after.wait(150)), [last]);
    // The stop of the first owner had arrived.
    let (name, _) = large
        .iter()
        .find(|(_, run)| *run == stopped[0])
        .expect("a run");
    let out = after.end(index_of(name), 1, stopped[0], EndReason::Stopped);
    assert_eq!(of_job(&starts(&out), 2), 1, "{out:?}");
    assert_eq!(starts(&out).len(), 1, "{out:?}");
}

/// Guards against a preempted run that goes on because its stop was lost with the link, while
/// its task starts elsewhere and its queue is charged for both.
#[test]
fn a_stop_that_is_lost_with_its_link_is_sent_again() {
    let (mut bench, large) = full_of_large(true, long_step(16));
    bench.submit(2, job_of(QUICK, vec![step(1, &[])]), 12);
    let stopped = stops(&bench.wait(150));
    let (name, _) = large
        .iter()
        .find(|(_, run)| *run == stopped[0])
        .expect("a run");
    let at = index_of(name);
    let mut out = bench.feed(Input::Unlinked(name.clone()));
    out.extend(bench.wait(150));
    assert_eq!(starts(&out), [], "its end is not certain");
    assert_eq!(of_job(&large, 1), CAPACITY);
    bench.feed(Input::Linked(name.clone()));
    bench.agent(at, AgentMessage::Report(report(at, 7)));
    let on_worker = large.iter().filter(|(other, _)| other == name);
    let out = bench.list(at, on_worker.map(|(_, run)| *run).collect());
    assert_eq!(stops(&out), stopped);
    assert_eq!(starts(&out), []);
    bench.wait(150);
    assert!((share_of(&bench, LARGE) - 1.0).abs() < 1e-9, "counted once");
    let out = bench.end(at, 1, stopped[0], EndReason::Stopped);
    assert_eq!(starts(&out), [(name.clone(), run(2, 0, 0, 1))]);
    let part = 15.0 / 16.0;
    assert!((share_of(&bench, LARGE) - part).abs() < 1e-9);
}
