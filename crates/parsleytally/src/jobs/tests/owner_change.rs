//! What a new owner concludes of agents whose runs it does not know yet.

use std::time::Duration;

use super::agent::TestAgent;
use super::held_back::default_times;
use super::scheduler::{Bench, options, starts};
use super::*;

/// Time after which runs of the predecessor have ended on an agent that is not linked.
const PREDECESSOR_HOLD_MS: u64 = 12_500;

/// Guards against tasks that run twice: a new owner waited for the hold of its predecessor only, though its
/// own answers had extended the hold of an agent that had not listed its runs.
#[test]
fn tasks_wait_until_runs_of_an_unlisted_agent_have_ended() {
    struct Case {
        what: &'static str,
        /// What happens to the link just before the predecessor's hold has passed.
        link: Vec<Input>,
    }
    let linked = || Input::Linked(node(1));
    let cases = [
        Case {
            what: "never linked",
            link: vec![],
        },
        Case {
            what: "linked, and not listed yet",
            link: vec![linked()],
        },
        Case {
            what: "linked and lost again",
            link: vec![linked(), Input::Unlinked(node(1))],
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.join(0, report(0, 7));
        bench.feed(Input::Expected(node(1)));
        let hold_end = bench.now.after(options().owner_hold);
        bench.submit(1, job(vec![step(1, &[])]), 5);
        let own_hold_end = bench.scheduler.support_end().after(options().agent_hold);
        assert!(
            own_hold_end <= hold_end,
            "answers keep runs alive for longer"
        );
        let before = bench.wait(PREDECESSOR_HOLD_MS - 1_500);
        assert_eq!(starts(&before), [], "{}", case.what);
        for input in case.link {
            bench.feed(input);
        }
        let after = bench.wait(2_000);
        assert!(!starts(&after).is_empty(), "{}", case.what);
    }
}

/// Guards against the same for an agent whose runs an earlier link of this owner has kept alive: a link
/// in the first part of the ownership extends their hold again.
#[test]
fn links_in_the_first_part_of_an_ownership_extend_the_hold_of_known_runs() {
    let mut bench = Bench::new();
    bench.feed(Input::Expected(node(1)));
    bench.join(0, report(0, 7));
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert_eq!(starts(&out).len(), 1, "{out:?}");
    bench.join(1, report(1, 7));
    bench.feed(Input::Unlinked(node(0)));
    bench.feed(Input::Linked(node(0)));
    let end = bench.scheduler.support_end().after(options().agent_hold);
    let left_ms = end.since(bench.now).as_micros() as u64 / 1_000;
    assert_eq!(starts(&bench.wait(left_ms - 500)), []);
    assert_eq!(starts(&bench.wait(1_000)).len(), 1);
}

/// Guards against the same at the agent: the answers of an owner that does not know its runs keep them alive
/// only if they say so.
#[test]
fn answers_of_an_owner_without_the_listing_extend_no_leases() {
    struct Case {
        what: &'static str,
        supports: bool,
        knows_listing: bool,
        extends: bool,
    }
    let cases = [
        Case {
            what: "the owner does not know the listing",
            supports: false,
            knows_listing: false,
            extends: false,
        },
        Case {
            what: "the first part of an ownership",
            supports: true,
            knows_listing: false,
            extends: true,
        },
        Case {
            what: "the listing is known after the answer",
            supports: false,
            knows_listing: true,
            extends: true,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::ready();
        agent.advance(4_000);
        let link = OwnerLink(2);
        agent.connect_owner(2, 1 << 40);
        let pong = OrderMessage::Pong {
            sent: agent.now.as_micros(),
            confirmation_age: 0,
            owner_clock: 0,
            supports: case.supports,
        };
        agent.step(AgentInput::OwnerMessage(link, pong));
        if case.knows_listing {
            agent.step(AgentInput::OwnerMessage(link, OrderMessage::ListingKnown));
        }
        agent.now = agent.now.after(Duration::from_millis(2_000));
        assert_eq!(
            agent.agent.is_held(agent.now),
            case.extends,
            "{}",
            case.what
        );
    }
}

/// Guards against a worker that stays unused: its agent could not tell the owner that it answers again, since
/// the owner was to take the listing anew.
#[test]
fn a_worker_whose_runs_are_listed_responds() {
    let mut bench = Bench::with_workers(1);
    bench.agent(0, AgentMessage::Unresponsive(true));
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert_eq!(starts(&out), []);
    let mut out = bench.agent(0, AgentMessage::Report(report(0, 7)));
    out.extend(bench.list(0, vec![]));
    out.extend(bench.wait(100));
    assert_eq!(starts(&out).len(), 1, "{out:?}");
}

/// Guards against work that is done again: the checkpoint of a run that no task needs replaced that of the
/// present run.
#[test]
fn a_checkpoint_of_a_run_that_no_task_needs_is_not_used() {
    let mut bench = Bench::with_workers(2);
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    let (name, present) = starts(&out)[0].clone();
    let at = usize::from(name == node(1));
    let status = |run, checkpoint: &str| RunStatus {
        run,
        checkpoint: checkpoint.to_owned(),
        percent: 50,
        measurement: 0,
    };
    bench.agent(at, AgentMessage::Measurements(vec![status(present, "new")]));
    let orphan = RunRef {
        run: present.run + 1,
        ..present
    };
    bench.agent(
        1 - at,
        AgentMessage::Measurements(vec![status(orphan, "old")]),
    );
    let mut out = bench.agent(at, AgentMessage::Missing(present));
    out.extend(bench.wait(100));
    let checkpoint = out.iter().find_map(|output| match output {
        Output::Order(_, OrderMessage::Start(order)) => Some(order.checkpoint.clone()),
        _ => None,
    });
    assert_eq!(checkpoint.as_deref(), Some("new"), "{out:?}");
}

/// Whether an end of worker `at` is acknowledged.
fn acknowledged(out: &[Output], at: usize) -> bool {
    let is_ack = |output: &Output| matches!(output, Output::Order(to, OrderMessage::AcknowledgeEnds { .. }) if *to == node(at));
    out.iter().any(is_ack)
}

/// Guards against a task that starts after its end is acknowledged: its worker was back with the end, on one link
/// or again on the next, and the start of the next run was still on its way to another worker.
#[test]
fn an_end_is_acknowledged_once_no_further_run_of_its_task_can_start() {
    struct Case {
        what: &'static str,
        /// What the agent of the next run tells.
        settled: fn(RunRef) -> AgentMessage,
    }
    let cases = [
        Case {
            what: "the start was refused",
            settled: |run| AgentMessage::Refused {
                run,
                reason: RefusalReason::Old,
            },
        },
        Case {
            what: "the run has stopped",
            settled: |run| AgentMessage::Ended {
                incarnation: incarnation(1, 7),
                ended: vec![EndedRun {
                    sequence: 1,
                    run,
                    reason: EndReason::Stopped,
                    checkpoint: String::new(),
                }],
            },
        },
        Case {
            what: "all runs of its worker have ended",
            settled: |_| AgentMessage::LeasesExpired,
        },
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        let first = starts(&bench.submit(1, job(vec![step(1, &[])]), 11))[0].1;
        bench.feed(Input::Unlinked(node(0)));
        bench.join(1, report(1, 7));
        let next = starts(&bench.wait(6_000))[0].1;
        assert_ne!(first, next, "the hold of the lost agent has passed");
        let end = EndedRun {
            sequence: 1,
            run: first,
            reason: EndReason::Done,
            checkpoint: String::new(),
        };
        for link in ["first", "second"] {
            bench.feed(Input::Linked(node(0)));
            bench.agent(0, AgentMessage::Report(report(0, 7)));
            let listing = AgentMessage::Listed {
                incarnation: incarnation(0, 7),
                running: vec![],
                ended: vec![end.clone()],
            };
            let mut out = bench.agent(0, listing);
            let (job, version) = (JobId(1), u64::MAX);
            out.extend(bench.feed(Input::Saved { job, version }));
            assert!(!acknowledged(&out, 0), "{}, {link}: {out:?}", case.what);
        }
        // A measurement shows that the start has reached the agent.
        bench.list(1, vec![next]);
        let out = bench.agent(1, (case.settled)(next));
        assert!(acknowledged(&out, 0), "{}: {out:?}", case.what);
    }
}

/// How long before `end` a task starts on another worker; none if it does not.
fn starts_before(bench: &mut Bench, end: crate::types::Time) -> Option<Duration> {
    while bench.now.after(Duration::from_millis(400)) < end {
        if !starts(&bench.wait(150)).is_empty() {
            return Some(end.since(bench.now));
        }
    }
    None
}

/// Guards against tasks that run twice: an owner that was busy took up a link of the first part only after it, and
/// did not extend the hold that its answers had extended.
#[test]
fn a_link_of_the_first_part_that_is_taken_up_late_extends_the_hold() {
    let mut bench = Bench::with_options(default_times());
    bench.feed(Input::Expected(node(1)));
    bench.join(0, report(0, 7));
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert_eq!(starts(&out).len(), 1, "{out:?}");
    bench.join(1, report(1, 7));
    bench.feed(Input::Unlinked(node(0)));
    let support_end = bench.scheduler.support_end();
    bench.now = support_end.after(Duration::from_millis(100));
    bench.feed(Input::Linked(node(0)));
    bench.feed(Input::Unlinked(node(0)));
    let end = support_end.after(default_times().agent_hold);
    assert_eq!(starts_before(&mut bench, end), None);
}

/// Guards against tasks that run twice: the hold counted from the order to replace a link, though that link answers pings
/// until it is closed.
#[test]
fn the_hold_of_a_replaced_link_counts_from_its_close() {
    let mut bench = Bench::new();
    bench.join(0, report(0, 7));
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert_eq!(starts(&out).len(), 1, "{out:?}");
    let out = bench.agent(0, AgentMessage::LeasesExpired);
    let is_replaced = |output: &Output| matches!(output, Output::Relink(_));
    assert!(out.iter().any(is_replaced), "{out:?}");
    bench.join(1, report(1, 7));
    bench.now = bench.now.after(Duration::from_secs(3));
    bench.feed(Input::Unlinked(node(0)));
    let end = bench.now.after(options().agent_hold);
    assert_eq!(starts_before(&mut bench, end), None);
}
