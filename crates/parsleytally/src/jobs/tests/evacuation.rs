//! Tests of the evacuation of availability zones.

use std::collections::BTreeSet;
use std::time::Duration;

use super::agent::{TestAgent, sent, start_order};
use super::scheduler::{Bench, starts, stops};
use super::*;
use crate::types::{Revision, Time};

const LIMIT: Duration = Duration::from_secs(3);

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a valid name")
}

/// A report of worker `at`, in zone `a` for even numbers and `b` for odd ones.
fn report_in_zone(at: usize) -> WorkerReport {
    let mut report = report(at, 7);
    report.zone = zone(if at.is_multiple_of(2) { "a" } else { "b" });
    report
}

fn read(zones: &[&str], revision: u64, read_at: Time) -> Input {
    Input::Zones(EvacuatedZones {
        zones: Arc::new(zones.iter().copied().map(zone).collect::<BTreeSet<_>>()),
        revision: Revision(revision),
        read_at,
    })
}

impl Bench {
    /// A scheduler that follows evacuations, with workers in zones `a` and `b`.
    fn with_zones(workers: usize) -> Self {
        let mut bench = Self::with_limit(Some(LIMIT));
        for at in 0..workers {
            bench.join(at, report_in_zone(at));
        }
        bench
    }

    /// Reports that service tasks on worker `at` are in service.
    fn serve(&mut self, at: usize, runs: &[RunRef]) {
        let status = |run: &RunRef| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            measurement: 0,
        };
        let runs = runs.iter().map(status).collect();
        self.agent(at, AgentMessage::Measurements(runs));
    }

    fn read_zones(&mut self, zones: &[&str], revision: u64) -> Vec<Output> {
        let now = self.now;
        self.feed(read(zones, revision, now))
    }
}

fn nodes(out: &[Output]) -> BTreeSet<NodeName> {
    starts(out).into_iter().map(|(node, _)| node).collect()
}

fn events(out: &[Output]) -> Vec<&EvacuationEvent> {
    let mut events = Vec::new();
    for output in out {
        if let Output::Evacuation(event) = output {
            events.push(event);
        }
    }
    events
}

/// Guards against starts in a zone that operators have taken out of use, and against a zone
/// that stays out of use after its key was removed.
#[test]
fn nothing_starts_in_an_evacuated_zone_until_its_key_is_removed() {
    let mut bench = Bench::with_zones(2);
    bench.read_zones(&["a"], 20);
    let out = bench.submit(1, job(vec![step(6, &[])]), 11);
    assert_eq!(starts(&out).len(), 4, "zone b has room for four tasks");
    assert_eq!(nodes(&out), BTreeSet::from([node(1)]));
    let out = bench.read_zones(&[], 21);
    assert_eq!(nodes(&out), BTreeSet::from([node(0)]));
    assert!(matches!(
        events(&out)[..],
        [EvacuationEvent::Zone {
            evacuated: false,
            workers: 1,
            ..
        }]
    ));
}

/// Guards against a late answer that puts a zone back in use, or takes it out of use again.
#[test]
fn an_older_read_changes_nothing() {
    let mut bench = Bench::with_zones(1);
    bench.read_zones(&["a"], 20);
    bench.read_zones(&[], 19);
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert!(starts(&out).is_empty());
    bench.read_zones(&[], 21);
    bench.read_zones(&["a"], 20);
    let out = bench.submit(2, job(vec![step(1, &[])]), 12);
    assert_eq!(starts(&out).len(), 1);
}

/// Guards against starts by an owner that was paused, or is cut off from the store, and so has
/// not seen a request.
#[test]
fn an_owner_starts_nothing_without_a_recent_read() {
    let mut bench = Bench::with_zones(2);
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert!(
        starts(&out).is_empty(),
        "nothing starts before the first read"
    );
    let out = bench.read_zones(&[], 20);
    assert_eq!(starts(&out).len(), 1);
    let out = bench.wait(LIMIT.as_millis() as u64);
    assert!(matches!(events(&out)[..], [EvacuationEvent::Paused { .. }]));
    let out = bench.submit(2, job(vec![step(1, &[])]), 12);
    assert!(starts(&out).is_empty(), "the read is too old");
    let out = bench.read_zones(&[], 20);
    assert_eq!(starts(&out).len(), 1);
    assert!(matches!(
        events(&out)[..],
        [EvacuationEvent::Resumed { .. }]
    ));
}

/// Guards against a change where evacuations are not enabled.
#[test]
fn without_evacuations_no_read_is_needed_or_used() {
    let mut bench = Bench::with_workers(1);
    bench.read_zones(&["a"], 20);
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert_eq!(starts(&out).len(), 1);
}

/// Guards against a worker that joins, or changes its zone, after the request was read.
#[test]
fn a_worker_that_reports_an_evacuated_zone_later_gets_no_task() {
    let mut bench = Bench::with_zones(0);
    let out = bench.read_zones(&["a", "b", "nowhere"], 20);
    let unused =
        |event: &&EvacuationEvent| matches!(event, EvacuationEvent::Zone { workers: 0, .. });
    assert_eq!(events(&out).into_iter().filter(unused).count(), 3);
    bench.join(0, report_in_zone(0));
    let mut moved = report_in_zone(1);
    moved.zone = zone("c");
    bench.join(1, moved);
    bench.agent(1, AgentMessage::Report(report_in_zone(1)));
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert!(
        starts(&out).is_empty(),
        "jobs wait while all zones are evacuated"
    );
    assert_eq!(bench.scheduler.waiting_tasks(), 1);
}

fn moved(out: &[Output]) -> Vec<RunRef> {
    let mut moved = Vec::new();
    for event in events(out) {
        if let EvacuationEvent::Moved { run, .. } = event {
            moved.push(*run);
        }
    }
    moved
}

/// Guards against runs that lose most of their work by a move, or that are stopped although
/// no worker in another zone can take them.
#[test]
fn runs_that_would_lose_little_move_while_there_is_room_elsewhere() {
    struct Case {
        what: &'static str,
        checkpoints: bool,
        gang: bool,
        /// Time that the run has worked when the zone is evacuated, in milliseconds.
        worked_ms: u64,
        /// Whether another zone has room.
        room: bool,
        moves: bool,
    }
    let young = Case {
        what: "young",
        checkpoints: false,
        gang: false,
        worked_ms: 1_000,
        room: true,
        moves: true,
    };
    let cases = [
        Case {
            what: "half done",
            worked_ms: 5_000,
            moves: false,
            ..young
        },
        Case {
            what: "half done, with checkpoints",
            checkpoints: true,
            worked_ms: 5_000,
            ..young
        },
        Case {
            what: "almost done, with checkpoints",
            checkpoints: true,
            worked_ms: 9_500,
            moves: false,
            ..young
        },
        Case {
            what: "no room elsewhere",
            room: false,
            moves: false,
            ..young
        },
        Case {
            what: "member of a gang",
            gang: true,
            moves: false,
            ..young
        },
        young,
    ];
    for case in cases {
        let mut bench = Bench::with_zones(1);
        bench.read_zones(&[], 20);
        let spec = StepSpec {
            checkpoints: case.checkpoints,
            gang: case.gang,
            estimate_ms: 10_000,
            ..step(1, &[])
        };
        let out = bench.submit(1, job(vec![spec]), 11);
        assert_eq!(nodes(&out), BTreeSet::from([node(0)]), "{}", case.what);
        if case.room {
            bench.join(1, report_in_zone(1));
        }
        bench.wait(case.worked_ms);
        let mut out = bench.read_zones(&["a"], 21);
        out.extend(bench.wait(20));
        assert_eq!(moved(&out).len(), usize::from(case.moves), "{}", case.what);
        assert_eq!(stops(&out), moved(&out), "{}", case.what);
        if case.moves {
            let out = bench.end(0, 1, moved(&out)[0], EndReason::Stopped);
            assert_eq!(nodes(&out), BTreeSet::from([node(1)]), "{}", case.what);
        }
    }
}

/// Guards against an evacuation that takes more tasks of a service out of service than its
/// limit allows, also while others are unavailable for another cause.
#[test]
fn service_tasks_move_one_after_the_other_within_their_limit() {
    struct Case {
        max_unavailable: u32,
        /// Tasks that are not in service when the zone is evacuated.
        starting: usize,
        moves: usize,
    }
    let cases = [
        Case {
            max_unavailable: 0,
            starting: 0,
            moves: 0,
        },
        Case {
            max_unavailable: 1,
            starting: 0,
            moves: 1,
        },
        Case {
            // The task that is not in service moves, which interrupts no other.
            max_unavailable: 1,
            starting: 1,
            moves: 1,
        },
        Case {
            max_unavailable: 1,
            starting: 2,
            moves: 0,
        },
        Case {
            max_unavailable: 3,
            starting: 1,
            moves: 1,
        },
    ];
    for case in cases {
        let mut bench = Bench::with_zones(1);
        bench.read_zones(&[], 20);
        let spec = StepSpec {
            long_running: true,
            max_unavailable: case.max_unavailable,
            ..step(3, &[])
        };
        let out = bench.submit(1, job(vec![spec]), 11);
        let runs: Vec<RunRef> = starts(&out).into_iter().map(|(_, run)| run).collect();
        assert_eq!(runs.len(), 3);
        bench.join(1, report_in_zone(1));
        bench.serve(0, &runs[case.starting..]);
        let mut out = bench.read_zones(&["a"], 21);
        out.extend(bench.wait(1_000));
        let limit = case.max_unavailable;
        assert_eq!(moved(&out).len(), case.moves, "limit {limit}");
        let Some(first) = moved(&out).first().copied() else {
            continue;
        };
        let out = bench.end(0, 1, first, EndReason::Stopped);
        let (_, again) = starts(&out)[0];
        let out = bench.wait(1_000);
        let next = usize::from(case.max_unavailable > 1 + case.starting as u32);
        assert_eq!(
            moved(&out).len(),
            next,
            "before the first is in service again"
        );
        bench.serve(1, &[again]);
        let mut out = bench.read_zones(&["a"], 21);
        out.extend(bench.wait(500));
        assert_eq!(
            moved(&out).len(),
            1 - next,
            "once the first is in service again"
        );
    }
}

/// Guards against start orders that arrive after the bound, from an owner that was paused or
/// over a link that was delayed.
#[test]
fn an_agent_refuses_a_start_whose_read_is_too_old() {
    struct Case {
        what: &'static str,
        enabled: bool,
        /// The owner's clock in its last answer to a ping, in milliseconds; none without one.
        owner_clock: Option<u64>,
        /// When the owner sent the read, on its clock, in milliseconds.
        read: Option<u64>,
        /// Time from the ping to the arrival of the order, in milliseconds.
        after: u64,
        starts: bool,
    }
    let case = Case {
        what: "a recent read",
        enabled: true,
        owner_clock: Some(50_000),
        read: Some(49_000),
        after: 1_900,
        starts: true,
    };
    let cases = [
        Case {
            what: "a read that was old when the order was sent",
            read: Some(46_900),
            after: 0,
            starts: false,
            ..case
        },
        Case {
            what: "an order that arrives late",
            after: 2_100,
            starts: false,
            ..case
        },
        Case {
            what: "a read after the last answer to a ping",
            read: Some(52_000),
            after: 4_900,
            ..case
        },
        Case {
            what: "an order before the first answer to a ping",
            owner_clock: None,
            starts: false,
            ..case
        },
        Case {
            what: "an order of an owner without reads",
            read: None,
            starts: false,
            ..case
        },
        Case {
            what: "evacuations are not enabled",
            enabled: false,
            read: None,
            after: 4_500,
            ..case
        },
        case,
    ];
    for case in cases {
        let mut agent = TestAgent::with_limit(case.enabled.then_some(LIMIT)).made_ready();
        agent.connect_owner(1, 2 << 32);
        if let Some(clock) = case.owner_clock {
            agent.answer_ping(clock * 1_000);
        }
        agent.list(vec![], vec![]);
        agent.now = agent.now.after(Duration::from_millis(case.after));
        let run = run(1, 0, 0, 1);
        let out = agent.order_start(StartOrder {
            zones_read: case.read.map(|millis| millis * 1_000),
            ..start_order(run)
        });
        let started = out
            .iter()
            .any(|output| matches!(output, AgentOutput::Start(_)));
        assert_eq!(started, case.starts, "{}", case.what);
        let reason = RefusalReason::OldRead;
        let refused = sent(&out, &AgentMessage::Refused { run, reason });
        assert_eq!(refused, !case.starts, "{}", case.what);
    }
}

/// Guards against an order that is sent to the worker a second time, past the limit, after
/// the worker refused the first for its fencing token.
#[test]
fn an_agent_checks_the_age_before_each_call_to_the_worker() {
    let mut agent = TestAgent::with_limit(Some(LIMIT)).made_ready();
    agent.answer_ping(50_000_000);
    let run = run(1, 0, 0, 1);
    let order = |run| StartOrder {
        zones_read: Some(49_000_000),
        ..start_order(run)
    };
    agent.order_start(order(run));
    let other = super::run(1, 0, 1, 1);
    agent.order_start(order(other));
    let answer = |run, answer| AgentInput::StartAnswered {
        run,
        fencing_token: 1 << 32,
        answer,
    };
    // An unanswered order raises the fencing token.
    agent.step(answer(other, Err(CallError::Unanswered)));
    agent.now = agent.now.after(LIMIT);
    let out = agent.step(answer(run, Err(CallError::Refused(RefusalReason::Fenced))));
    assert!(
        !out.iter()
            .any(|output| matches!(output, AgentOutput::Start(_)))
    );
    let reason = RefusalReason::OldRead;
    assert!(sent(&out, &AgentMessage::Refused { run, reason }));
}
