//! Agents whose reports are late or come from processes that are not their worker.

use std::time::Duration;

use super::agent::{TestAgent, sent};
use super::scheduler::{Bench, starts};
use super::*;

/// Start of the incarnation of the worker beside the agent, as in [`TestAgent::ready`].
const BORN: u64 = 7;

fn numbered(report: WorkerReport, sequence: u64) -> AgentInput {
    AgentInput::Report { report, sequence }
}

fn draining() -> WorkerReport {
    WorkerReport {
        state: WorkerState::Draining { remaining_ms: 500 },
        ..report(0, BORN)
    }
}

fn reported_states(out: &[AgentOutput]) -> Vec<WorkerState> {
    let state = |output: &AgentOutput| match output {
        AgentOutput::Send(AgentMessage::Report(report)) => Some(report.state),
        _ => None,
    };
    out.iter().filter_map(state).collect()
}

/// Guards against tasks that run twice: a report of another worker, or of an incarnation that
/// does not answer, freed the runs of the worker that goes on.
#[test]
fn a_report_of_another_incarnation_frees_no_run_of_the_answering_one() {
    struct Case {
        what: &'static str,
        report: WorkerReport,
    }
    let cases = [
        Case {
            what: "another worker that started later",
            report: report(5, BORN + 1),
        },
        Case {
            what: "another worker that started earlier",
            report: report(5, BORN - 1),
        },
        Case {
            what: "another worker without a start time",
            report: report(5, 0),
        },
        Case {
            what: "an earlier incarnation of the worker",
            report: report(0, BORN - 1),
        },
    ];
    for case in cases {
        let order = run(1, 0, 0, 1);
        let mut agent = TestAgent::ready();
        agent.start(order);
        agent.list(vec![order], vec![]);
        let mut out = agent.step(reported(case.report.clone()));
        for _ in 0..3 {
            out.extend(agent.list(vec![order], vec![]));
        }
        assert!(!sent(&out, &AgentMessage::Missing(order)), "{}", case.what);
        assert!(!sent(&out, &AgentMessage::LeasesExpired), "{}", case.what);
        assert_eq!(reported_states(&out), [], "{}", case.what);
        let next = run(1, 0, 1, 1);
        let refused = AgentMessage::Refused {
            run: next,
            reason: RefusalReason::Unwell,
        };
        assert!(!sent(&agent.start(next), &refused), "{}", case.what);
    }
}

/// Guards against tasks that run twice: a restarted agent believed the first report that it
/// got, and took the worker's own answer for a restart of the worker.
#[test]
fn a_restarted_agent_believes_only_the_worker_that_answers() {
    let mut agent = TestAgent::new();
    agent.connect_owner(1, 1 << 32);
    agent.confirm_owner(Duration::ZERO);
    let mut out = agent.step(reported(report(5, 0)));
    out.extend(agent.list(vec![run(1, 0, 0, 1)], vec![]));
    out.extend(agent.step(reported(report(0, BORN))));
    out.extend(agent.list(vec![run(1, 0, 0, 1)], vec![]));
    assert!(!sent(&out, &AgentMessage::LeasesExpired), "{out:?}");
    let own = AgentMessage::Report(report(0, BORN));
    assert!(sent(&out, &own), "{out:?}");
}

#[test]
fn a_new_incarnation_is_used_once_the_worker_answers_as_it() {
    struct Case {
        what: &'static str,
        born: u64,
    }
    let cases = [
        Case {
            what: "started later",
            born: BORN + 1,
        },
        Case {
            what: "started after the wall clock was set back",
            born: BORN - 1,
        },
    ];
    for case in cases {
        let order = run(1, 0, 0, 1);
        let mut agent = TestAgent::ready();
        agent.start(order);
        agent.list(vec![order], vec![]);
        let pending = agent.next_poll();
        agent.step(reported(report(0, case.born)));
        agent.fail_poll(pending);
        agent.advance(200);
        let call = agent.next_poll();
        let out = agent.answer_poll_as(case.born, call);
        assert!(!sent(&out, &AgentMessage::Missing(order)), "{}", case.what);
        // The second poll fences what was sent to the earlier incarnation.
        let call = agent.next_poll();
        let out = agent.answer_poll_as(case.born, call);
        let new = AgentMessage::Report(report(0, case.born));
        assert!(sent(&out, &AgentMessage::Missing(order)), "{}", case.what);
        assert!(sent(&out, &new), "{}: {out:?}", case.what);
    }
}

/// Guards against tasks that run twice: a start order to an earlier incarnation reached the new
/// one, which knows no fencing token, after its run was reported missing.
#[test]
fn a_new_incarnation_is_fenced_before_it_is_used() {
    let order = run(1, 0, 0, 1);
    let mut agent = TestAgent::ready();
    let pending = agent.next_poll();
    let token = pending.fencing_token;
    agent.start(order);
    agent.step(reported(report(0, BORN + 1)));
    agent.advance(200);
    let call = PollCall {
        lease_end: None,
        sent: agent.now,
        ..pending
    };
    let out = agent.answer_poll_as(BORN + 1, call);
    assert!(!sent(&out, &AgentMessage::Missing(order)), "{out:?}");
    let call = agent.next_poll();
    assert!(call.fencing_token > token);
    let out = agent.answer_poll_as(BORN + 1, call);
    assert!(sent(&out, &AgentMessage::Missing(order)), "{out:?}");
}

/// Guards against tasks that run twice: a start order to an earlier incarnation was carried out
/// by the new one, and its run was reported missing while the listing named it.
#[test]
fn a_run_that_a_new_incarnation_lists_is_stopped_before_it_is_reported() {
    let order = run(1, 0, 0, 1);
    let mut agent = TestAgent::ready();
    agent.start(order);
    agent.list(vec![order], vec![]);
    agent.step(reported(report(0, BORN + 1)));
    let pending = agent.next_poll();
    agent.fail_poll(pending);
    let mut outcomes = Vec::new();
    for running in [vec![order], vec![]] {
        agent.advance(200);
        let call = agent.next_poll();
        let out = agent.answer_poll_with_runs_as(BORN + 1, call, running);
        let stops = out
            .iter()
            .any(|output| matches!(output, AgentOutput::Stop(_)));
        outcomes.push((stops, sent(&out, &AgentMessage::Missing(order))));
    }
    assert_eq!(outcomes, [(true, false), (false, true)]);
}

/// Guards against starts on a worker that drains: a report that was sent before it drained
/// and arrives later made it ready again.
#[test]
fn a_report_with_a_lower_number_is_late() {
    let mut agent = TestAgent::new();
    agent.connect_owner(1, 1 << 32);
    agent.step(numbered(report(0, BORN), 3));
    agent.confirm_owner(Duration::ZERO);
    agent.list(vec![], vec![]);
    let out = agent.step(numbered(draining(), 5));
    let drains = WorkerState::Draining { remaining_ms: 500 };
    assert_eq!(reported_states(&out), [drains]);
    let out = agent.step(numbered(report(0, BORN), 4));
    assert_eq!(reported_states(&out), []);
    let out = agent.step(numbered(report(0, BORN), 6));
    assert_eq!(reported_states(&out), [WorkerState::Ready]);
}

/// Guards against tasks that run twice: a poll that was meant for an earlier incarnation gave a
/// new one a lease on the earlier one's clock, longer than any hold that an owner waits for.
#[test]
fn a_new_incarnation_with_an_overlong_lease_is_used_once_it_is_as_short_as_others() {
    struct Case {
        what: &'static str,
        lease_end: Option<u64>,
        /// Seconds until it is used.
        wait: std::ops::Range<u64>,
    }
    let cases = [
        Case {
            what: "no lease was sent to it",
            lease_end: None,
            wait: 0..1,
        },
        Case {
            what: "a lease as others",
            lease_end: Some(4_000),
            wait: 0..1,
        },
        Case {
            what: "a lease on a clock that had run for long",
            lease_end: Some(500_000),
            wait: 6..7,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::ready();
        let pending = agent.next_poll();
        agent.step(reported(report(0, BORN + 1)));
        agent.fail_poll(pending);
        agent.advance(200);
        let call = PollCall {
            lease_end: case.lease_end,
            ..agent.next_poll()
        };
        let mut out = agent.answer_poll_as(BORN + 1, call);
        let began = agent.now;
        while reported_states(&out).is_empty() {
            out = agent.advance(100);
            while reported_states(&out).is_empty()
                && let Some(call) = agent.polls.pop()
            {
                assert_eq!(call.lease_end, None, "{}", case.what);
                out.extend(agent.answer_poll_as(BORN + 1, call));
            }
            assert!(agent.now.since(began).as_secs() < 20, "{}", case.what);
        }
        let wait = agent.now.since(began).as_secs();
        assert!(case.wait.contains(&wait), "{}: {wait} s", case.what);
    }
}

/// Guards against tasks that wait for runs that only the owner counts: a new incarnation without runs
/// was told of only once its lease, on the clock of the earlier one, was as short as others.
#[test]
fn runs_of_an_earlier_incarnation_end_though_the_lease_of_the_new_one_is_overlong() {
    let mut agent = TestAgent::ready();
    agent.start(run(1, 0, 0, 1));
    let pending = agent.next_poll();
    agent.step(reported(report(0, BORN + 1)));
    agent.fail_poll(pending);
    agent.advance(200);
    let call = PollCall {
        lease_end: Some(500_000),
        ..agent.next_poll()
    };
    let began = agent.now;
    let mut out = agent.answer_poll_as(BORN + 1, call);
    while !sent(&out, &AgentMessage::LeasesExpired) {
        assert_eq!(reported_states(&out), []);
        out = agent.advance(100);
        while let Some(call) = agent.polls.pop() {
            out.extend(agent.answer_poll_as(BORN + 1, call));
        }
        assert!(agent.now.since(began).as_secs() < 20, "not told");
    }
    let wait = agent.now.since(began).as_secs_f64();
    assert!(wait < 1.0, "{wait} s");
}

/// Guards against a worker whose state is not followed any more: a writer sent a report of its
/// incarnation with a very high number, and all its own later ones were taken for late.
#[test]
fn a_forged_high_number_silences_a_worker_for_seconds_only() {
    let mut agent = TestAgent::ready();
    agent.step(numbered(report(0, BORN), 5));
    agent.step(numbered(report(0, BORN), u64::MAX));
    let mut states = Vec::new();
    for sequence in 6..10 {
        agent.advance(1_000);
        states.extend(reported_states(&agent.step(numbered(draining(), sequence))));
    }
    assert_eq!(states, [WorkerState::Draining { remaining_ms: 500 }]);
}

/// Guards against starts on a worker that drains: reports that were held up on their way arrive
/// together after a later one, in order.
#[test]
fn reports_that_were_held_up_together_stay_late() {
    let mut agent = TestAgent::ready();
    agent.step(numbered(draining(), 9));
    let mut states = Vec::new();
    for sequence in 3..9 {
        agent.advance(300);
        states.extend(reported_states(
            &agent.step(numbered(report(0, BORN), sequence)),
        ));
    }
    agent.step(numbered(draining(), 10));
    agent.advance(1_500);
    states.extend(reported_states(&agent.step(numbered(report(0, BORN), 8))));
    assert_eq!(states, []);
}

/// Guards against a worker that stays unused: a report of a foreign worker with its start time
/// arrived first, and the worker refuses starts for the foreign id.
#[test]
fn a_foreign_id_with_the_same_start_time_is_replaced_once_the_worker_refuses_it() {
    let own = AgentMessage::Report(report(0, BORN));
    let refuse = |agent: &mut TestAgent, order: RunRef| {
        let token = agent.start_as(incarnation(5, BORN), order);
        agent.step(AgentInput::StartAnswered {
            run: order,
            fencing_token: token.expect("a start"),
            answer: Err(CallError::OtherLife),
        })
    };
    struct Case {
        what: &'static str,
        running: Vec<RunRef>,
        own_report: bool,
        replaced: bool,
    }
    let cases = [
        Case {
            what: "the worker's own report arrived too",
            running: vec![],
            own_report: true,
            replaced: true,
        },
        Case {
            what: "no other report",
            running: vec![],
            own_report: false,
            replaced: false,
        },
        Case {
            what: "runs of before go on",
            running: vec![run(1, 0, 0, 1)],
            own_report: true,
            replaced: true,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::new();
        agent.step(reported(report(5, BORN)));
        agent.connect_owner(1, 1 << 32);
        agent.confirm_owner(Duration::ZERO);
        agent.list(case.running.clone(), vec![]);
        if case.own_report {
            agent.step(reported(report(0, BORN)));
        }
        let out = refuse(&mut agent, run(2, 0, 0, 1));
        assert_eq!(sent(&out, &own), case.replaced, "{}", case.what);
        if case.replaced {
            let out = agent.list(case.running.clone(), vec![]);
            let listed = out.iter().find_map(|output| match output {
                AgentOutput::Send(AgentMessage::Listed {
                    incarnation,
                    running,
                    ..
                }) => Some((incarnation.clone(), running.len())),
                _ => None,
            });
            let expected = (incarnation(0, BORN), case.running.len());
            assert_eq!(listed, Some(expected), "{}: {out:?}", case.what);
        }
    }
}

/// Guards against tasks that run twice: an agent that restarted used a foreign id with its
/// worker's start time, and the owner took that for a restart of the worker.
#[test]
fn another_id_with_the_same_start_time_frees_no_run_at_the_owner() {
    let mut bench = Bench::with_workers(2);
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    let (name, order) = starts(&out)[0].clone();
    let at = usize::from(name == node(1));
    let mut out = bench.agent(at, AgentMessage::Report(report(5, BORN)));
    out.extend(bench.wait(150));
    assert_eq!(starts(&out), []);
    // A task that is submitted now starts elsewhere until the runs are listed again.
    let out = bench.submit(2, job(vec![step(8, &[])]), 12);
    let elsewhere = |(other, _): &(NodeName, RunRef)| *other != name;
    assert!(starts(&out).iter().all(elsewhere), "{out:?}");
    let out = bench.agent(
        at,
        AgentMessage::Listed {
            incarnation: incarnation(5, BORN),
            running: vec![],
            ended: vec![],
        },
    );
    let restarted = starts(&out);
    let is_missing = |(_, run): &(NodeName, RunRef)| run.task == order.task;
    assert!(restarted.iter().any(is_missing), "{restarted:?}");
}

/// Guards against a worker that gets no starts any more: sound values in its own name that are not
/// its own, with the greatest number or a start time far ahead.
#[test]
fn a_forged_report_in_the_own_name_blocks_a_worker_for_seconds_only() {
    let own = report(0, BORN);
    let forged = [
        WorkerReport {
            state: WorkerState::Draining {
                remaining_ms: u64::MAX,
            },
            ..own.clone()
        },
        WorkerReport {
            capacity: Resources::default(),
            service: "other".into(),
            ..own.clone()
        },
        report(0, u64::MAX),
        report(0, 0),
    ];
    for forged in forged {
        let mut agent = TestAgent::ready();
        let shown = format!("{forged:?}");
        agent.step(numbered(own.clone(), 5));
        let mut reports = agent.step(numbered(forged, u64::MAX));
        for sequence in 6..10 {
            agent.advance(1_000);
            agent.confirm_owner(Duration::ZERO);
            agent.list(vec![], vec![]);
            reports.extend(agent.step(numbered(own.clone(), sequence)));
        }
        let last = reports.iter().rev().find_map(|output| match output {
            AgentOutput::Send(AgentMessage::Report(report)) => Some(report),
            _ => None,
        });
        assert!(last.is_none_or(|last| *last == own), "{shown}: {last:?}");
        let started = |output: &AgentOutput| matches!(output, AgentOutput::Start(_));
        assert!(agent.start(run(1, 0, 0, 1)).iter().any(started), "{shown}");
    }
}
