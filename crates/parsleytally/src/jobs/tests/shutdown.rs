//! Agents of workers that shut down: when their runs count as ended.

use super::agent::{TestAgent, sent};
use super::scheduler::{Bench, starts};
use super::*;

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 50;

/// An agent whose worker lists one run.
fn agent_with_run(order: RunRef) -> TestAgent {
    let mut agent = TestAgent::ready();
    agent.start(order);
    agent.list(vec![order], vec![]);
    agent
}

fn notice(id: &str) -> AgentInput {
    AgentInput::ShutdownNotice(id.into())
}

/// Reports that worker 0 drains.
fn draining() -> AgentInput {
    let mut report = report(0, 7);
    report.state = WorkerState::Draining { remaining_ms: 500 };
    reported(report)
}

/// Milliseconds from now until the owner is told that the runs have ended; the worker lists
/// `running` until then, or does not answer.
fn expiry_ms(agent: &mut TestAgent, running: Option<RunRef>) -> Vec<u64> {
    let mut expiries = Vec::new();
    for tick in 0..120 {
        agent.confirm_owner(std::time::Duration::ZERO);
        let mut out = agent.advance(TICK_MS);
        if let Some(call) = agent.polls.pop() {
            let answer = match running {
                Some(run) => agent.answer_poll(call, vec![run], vec![]),
                None => agent.fail_poll(call),
            };
            out.extend(answer);
        }
        if sent(&out, &AgentMessage::LeasesExpired) {
            expiries.push(tick * TICK_MS);
        }
    }
    expiries
}

/// Guards against tasks that run twice: a worker that gives notice of its shutdown runs its
/// tasks on until it ends, so its notice does not free them.
#[test]
fn a_notice_of_shutdown_frees_no_run_that_is_still_listed() {
    let order = run(1, 0, 0, 1);
    let mut agent = agent_with_run(order);
    let mut out = agent.step(notice("i-0"));
    out.extend(agent.list(vec![order], vec![]));
    assert!(!sent(&out, &AgentMessage::LeasesExpired), "{out:?}");
    assert!(!sent(&out, &AgentMessage::Missing(order)), "{out:?}");
}

#[test]
fn runs_of_a_leaving_worker_end_with_its_leases() {
    struct Case {
        what: &'static str,
        drains: bool,
        answers: bool,
        expected_ms: std::ops::Range<u64>,
    }
    let cases = [
        Case {
            what: "it drains first, and ends with its notice",
            drains: true,
            answers: false,
            expected_ms: 550..950,
        },
        Case {
            what: "it drains first, and goes on after its notice",
            drains: true,
            answers: true,
            expected_ms: 550..950,
        },
        Case {
            what: "it does not drain first",
            drains: false,
            answers: false,
            expected_ms: 3_900..4_400,
        },
    ];
    for case in cases {
        let order = run(1, 0, 0, 1);
        let mut agent = agent_with_run(order);
        if case.drains {
            agent.step(draining());
            // The last long lease expires, and short ones follow.
            for _ in 0..100 {
                agent.confirm_owner(std::time::Duration::ZERO);
                agent.advance(TICK_MS);
                if !agent.polls.is_empty() {
                    agent.list(vec![order], vec![]);
                }
            }
        }
        agent.step(notice("i-0"));
        let expiries = expiry_ms(&mut agent, case.answers.then_some(order));
        assert_eq!(expiries.len(), 1, "{}: {expiries:?}", case.what);
        assert!(
            case.expected_ms.contains(&expiries[0]),
            "{}: {expiries:?}",
            case.what
        );
    }
}

#[test]
fn a_leaving_worker_gets_stops_but_no_starts_and_no_leases() {
    let order = run(1, 0, 0, 1);
    let mut agent = agent_with_run(order);
    agent.step(draining());
    let out = agent.step(notice("i-0"));
    let stops = |out: &[AgentOutput]| {
        let stop =
            |output: &AgentOutput| matches!(output, AgentOutput::Stop(call) if call.run == order);
        out.iter().any(stop)
    };
    assert!(stops(&out), "{out:?}");
    // The poll of before the notice.
    agent.list(vec![order], vec![]);
    assert_eq!(agent.next_poll().lease_end, None);
    let refused = AgentMessage::Refused {
        run: run(2, 0, 0, 1),
        reason: RefusalReason::Unwell,
    };
    assert!(sent(&agent.start(run(2, 0, 0, 1)), &refused));
}

/// Guards against notices and reports that are late, or not from the worker beside the agent.
#[test]
fn only_the_present_worker_can_leave_and_it_does_not_return() {
    struct Case {
        what: &'static str,
        inputs: Vec<AgentInput>,
        leaves: bool,
    }
    let cases = [
        Case {
            what: "notice of an earlier worker",
            inputs: vec![notice("i-9")],
            leaves: false,
        },
        Case {
            what: "notice, then a report that was sent before it",
            inputs: vec![notice("i-0"), reported(report(0, 7))],
            leaves: true,
        },
    ];
    for case in cases {
        let order = run(1, 0, 0, 1);
        let mut agent = agent_with_run(order);
        for input in case.inputs {
            agent.step(input);
        }
        // The poll of before the inputs.
        agent.list(vec![order], vec![]);
        assert_eq!(
            agent.next_poll().lease_end.is_none(),
            case.leaves,
            "{}",
            case.what
        );
    }
}

/// Guards against stops of service tasks on a sound worker: a notice of an earlier incarnation
/// may arrive late, with an id that the worker has kept.
#[test]
fn a_notice_without_draining_stops_no_run_and_a_later_report_ends_it() {
    let order = run(1, 0, 0, 1);
    let mut agent = agent_with_run(order);
    let out = agent.step(notice("i-0"));
    assert!(
        !out.iter()
            .any(|output| matches!(output, AgentOutput::Stop(_))),
        "{out:?}"
    );
    // The owner would evacuate a worker that it takes for draining.
    let reports = |out: &[AgentOutput]| {
        let report =
            |output: &AgentOutput| matches!(output, AgentOutput::Send(AgentMessage::Report(_)));
        out.iter().any(report)
    };
    assert!(!reports(&out), "{out:?}");
    agent.list(vec![order], vec![]);
    assert_eq!(agent.next_poll().lease_end, None);
    let refused = AgentMessage::Refused {
        run: run(3, 0, 0, 1),
        reason: RefusalReason::Unwell,
    };
    assert!(sent(&agent.start(run(3, 0, 0, 1)), &refused));
    let later = AgentInput::Report {
        report: report(0, 7),
        sequence: 1,
    };
    agent.step(later);
    agent.confirm_owner(std::time::Duration::ZERO);
    agent.advance(200);
    agent.polls.clear();
    let order = run(2, 0, 0, 1);
    assert!(
        agent
            .start(order)
            .iter()
            .any(|output| matches!(output, AgentOutput::Start(_)))
    );
}

/// Guards against calls without a pause to a worker that has ended or that goes on after its
/// notice.
#[test]
fn calls_to_a_leaving_worker_are_paced() {
    let order = run(1, 0, 0, 1);
    let mut agent = agent_with_run(order);
    agent.step(draining());
    agent.step(notice("i-0"));
    let failed = AgentInput::StopAnswered {
        run: order,
        answer: Err(CallError::Unreachable),
    };
    let out = agent.step(failed);
    assert!(
        !out.iter()
            .any(|output| matches!(output, AgentOutput::Stop(_))),
        "{out:?}"
    );
    // Its leases expire, and it goes on.
    expiry_ms(&mut agent, Some(order));
    let mut polls = 0;
    for _ in 0..20 {
        agent.advance(TICK_MS);
        while let Some(call) = agent.polls.pop() {
            polls += 1;
            agent.answer_poll(call, vec![], vec![]);
            assert!(polls <= 10, "polls within a second");
        }
    }
}

/// Guards against runs that lapse on a worker that goes on for seconds: its leases were short
/// from the start of draining, and one poll was not answered.
#[test]
fn a_lease_of_a_draining_worker_lasts_until_its_shutdown() {
    struct Case {
        what: &'static str,
        remaining_ms: u64,
        expected_ms: std::ops::RangeInclusive<u64>,
    }
    let cases = [
        Case {
            what: "the shutdown is far away",
            remaining_ms: 30_000,
            expected_ms: 3_900..=4_000,
        },
        Case {
            what: "the shutdown is near",
            remaining_ms: 1_500,
            expected_ms: 1_600..=2_100,
        },
        Case {
            what: "the shutdown is due",
            remaining_ms: 0,
            expected_ms: 500..=600,
        },
    ];
    for case in cases {
        let order = run(1, 0, 0, 1);
        let mut agent = agent_with_run(order);
        let mut report = report(0, 7);
        report.state = WorkerState::Draining {
            remaining_ms: case.remaining_ms,
        };
        // The poll of before the report.
        let before = agent.next_poll();
        agent.step(reported(report));
        agent.confirm_owner(std::time::Duration::ZERO);
        agent.answer_poll(before, vec![order], vec![]);
        let call = agent.next_poll();
        let lease_end = call.lease_end.expect("a lease");
        let length = lease_end - agent.now.as_micros() / 1_000;
        assert!(
            case.expected_ms.contains(&length),
            "{}: {length} ms",
            case.what
        );
    }
}

/// Guards against tasks that run twice: the owner starts them again once the last lease has
/// expired that the agent told it of.
#[test]
fn a_leaving_worker_gets_no_lease_beyond_the_one_that_the_owner_is_told_of() {
    let order = run(1, 0, 0, 1);
    let mut agent = agent_with_run(order);
    // A start on its way, that the worker refuses once it has a higher fencing token.
    let token = agent.start_as(incarnation(0, 7), run(2, 0, 0, 1));
    agent.step(draining());
    let out = agent.step(notice("i-0"));
    let expires_within = out.iter().find_map(|output| match output {
        AgentOutput::Send(AgentMessage::LastLease { expires_within }) => Some(*expires_within),
        _ => None,
    });
    let expires_within = expires_within.expect("the owner is told");
    assert!((3_900_000..4_400_000).contains(&expires_within));
    agent.connect_owner(1, 9 << 32);
    let out = agent.step(AgentInput::StartAnswered {
        run: run(2, 0, 0, 1),
        fencing_token: token.expect("a start"),
        answer: Err(CallError::Refused(RefusalReason::Fenced)),
    });
    let starts = |output: &AgentOutput| matches!(output, AgentOutput::Start(_));
    assert!(!out.iter().any(starts), "{out:?}");
    for expiry in expiry_ms(&mut agent, Some(order)) {
        assert!(expiry * 1_000 <= expires_within + 100_000, "{expiry}");
    }
}

/// Guards against tasks that wait for the hold of an agent that went together with its worker,
/// and against tasks that run twice because leases were granted again meanwhile.
#[test]
fn tasks_of_a_worker_that_left_with_its_agent_start_again_after_its_last_lease() {
    struct Case {
        what: &'static str,
        told: bool,
        /// What happens after that.
        inputs: Vec<Input>,
        expected_ms: std::ops::Range<u64>,
    }
    let name = || node(0);
    let ready = || Input::Agent(name(), AgentMessage::Report(report(0, 7)));
    let (short, hold) = (700..1_100, 5_000..5_400);
    let cases = [
        Case {
            what: "its link is lost",
            told: true,
            inputs: vec![Input::Unlinked(name())],
            expected_ms: short.clone(),
        },
        Case {
            what: "the loss of its link is not noticed yet",
            told: true,
            inputs: vec![],
            expected_ms: short,
        },
        Case {
            what: "its agent has not told of a last lease",
            told: false,
            inputs: vec![Input::Unlinked(name())],
            expected_ms: hold.clone(),
        },
        Case {
            what: "it accepts tasks again",
            told: true,
            inputs: vec![ready(), Input::Unlinked(name())],
            expected_ms: hold.clone(),
        },
        Case {
            what: "another agent process served it",
            told: true,
            inputs: vec![Input::Linked(name()), Input::Unlinked(name())],
            expected_ms: hold,
        },
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        let out = bench.submit(1, job(vec![step(1, &[])]), 11);
        assert_eq!(starts(&out).len(), 1);
        bench.join(1, report(1, 7));
        let mut drains = report(0, 7);
        // Too long to stop the run for it.
        drains.state = WorkerState::Draining {
            remaining_ms: 60_000,
        };
        bench.agent(0, AgentMessage::Report(drains));
        if case.told {
            let expires_within = 700_000;
            bench.agent(0, AgentMessage::LastLease { expires_within });
        }
        for input in case.inputs {
            bench.feed(input);
        }
        let began = bench.now;
        let mut restarted = Vec::new();
        while restarted.is_empty() {
            restarted = starts(&bench.wait(50));
            assert!(bench.now.since(began).as_secs() < 20, "{}", case.what);
        }
        assert_eq!(restarted[0].0, node(1), "{}", case.what);
        let waited = bench.now.since(began).as_millis() as u64;
        assert!(
            case.expected_ms.contains(&waited),
            "{}: {waited}",
            case.what
        );
    }
}
