//! Answers of a worker that overtake each other: an older one must not be taken for the newest.

use std::time::Duration;

use super::agent::{TestAgent, sent, start_token};
use super::*;
use crate::types::Time;

/// A run that the worker has in all listings.
fn first() -> RunRef {
    run(1, 0, 0, 1)
}

/// A run that starts between two listings.
fn second() -> RunRef {
    run(2, 0, 0, 1)
}

fn status(run: RunRef) -> RunStatus {
    RunStatus {
        run,
        checkpoint: String::new(),
        percent: 10,
        measurement: 0,
    }
}

/// Answers a call to start a run.
fn answer_start(
    agent: &mut TestAgent,
    run: RunRef,
    fencing_token: u64,
    answer: Result<(), CallError>,
) -> Vec<AgentOutput> {
    agent.step(AgentInput::StartAnswered {
        run,
        fencing_token,
        answer,
    })
}

/// Orders a start; returns the token of the call.
fn order_start(agent: &mut TestAgent, run: RunRef) -> u64 {
    let out = agent.start(run);
    start_token(&out).expect("a start call")
}

/// Two polls in flight: the start of the first run had no answer, and the start of the second was
/// sent after both polls. Returns the agent, both polls and the token of the second start.
fn two_polls_in_flight() -> (TestAgent, [PollCall; 2], u64) {
    let mut agent = TestAgent::ready();
    let older = agent.next_poll();
    let token = order_start(&mut agent, first());
    agent.advance(10);
    answer_start(&mut agent, first(), token, Err(CallError::Unanswered));
    let newer = agent.polls.pop().expect("a poll with a higher token");
    assert!(newer.fencing_token > older.fencing_token);
    agent.advance(5);
    let token = order_start(&mut agent, second());
    agent.advance(5);
    (agent, [older, newer], token)
}

/// Guards against a task that runs twice at once: a run was taken for missing by a listing from
/// before its start, which arrived after one that has the run.
#[test]
fn a_listing_from_before_a_start_does_not_make_a_known_run_missing() {
    struct Case {
        what: &'static str,
        /// When the answer to the start is received, relative to those to the polls.
        start_answered: usize,
    }
    let cases = [
        Case {
            what: "start answered before both listings",
            start_answered: 0,
        },
        Case {
            what: "start answered between the listings",
            start_answered: 1,
        },
        Case {
            what: "start answered after both listings",
            start_answered: 2,
        },
    ];
    for case in cases {
        let (mut agent, [older, newer], token) = two_polls_in_flight();
        let listings = [(older, vec![first(), second()]), (newer, vec![first()])];
        let mut out = Vec::new();
        for (at, (call, running)) in listings.into_iter().enumerate() {
            if case.start_answered == at {
                out.extend(answer_start(&mut agent, second(), token, Ok(())));
            }
            out.extend(agent.answer_poll(call, running, vec![]));
            agent.advance(1);
        }
        if case.start_answered == 2 {
            out.extend(answer_start(&mut agent, second(), token, Ok(())));
        }
        let missing = AgentMessage::Missing(second());
        assert!(!sent(&out, &missing), "{}: {out:?}", case.what);
    }
}

/// Guards against a task that runs twice at once: after the worker's id was corrected, the owner was
/// told of all runs by a listing that lacks a start which may still take effect.
#[test]
fn a_new_first_listing_waits_until_starts_on_their_way_are_settled() {
    struct Case {
        what: &'static str,
        /// Whether the poll was in flight before the id was corrected.
        in_flight: bool,
    }
    let cases = [
        Case {
            what: "poll sent before the id was corrected",
            in_flight: true,
        },
        Case {
            what: "poll sent afterwards",
            in_flight: false,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::new();
        agent.step(reported(report(5, 7)));
        agent.connect_owner(1, 1 << 32);
        agent.confirm_owner(Duration::ZERO);
        agent.list(vec![], vec![]);
        agent.step(reported(report(0, 7)));
        let in_flight = agent.next_poll();
        let tokens = [first(), second()].map(|run| {
            let token = agent.start_as(incarnation(5, 7), run);
            token.expect("a start call")
        });
        let other = Err(CallError::OtherLife);
        answer_start(&mut agent, second(), tokens[1], other);
        let call = if case.in_flight {
            in_flight
        } else {
            agent.next_poll()
        };
        let out = agent.answer_poll(call, vec![], vec![]);
        let is_listed =
            |output: &AgentOutput| matches!(output, AgentOutput::Send(AgentMessage::Listed { .. }));
        let fenced = call.fencing_token > tokens[0];
        let listed = out.iter().any(is_listed);
        assert!(fenced || !listed, "{}: {out:?}", case.what);
        assert_eq!(fenced, !case.in_flight, "{}", case.what);
    }
}

/// Guards against older answers that are taken for the newest: a worker counted as unresponsive, an
/// ended run as running again, and leases were cut short by an old reading of the worker's clock.
#[test]
fn an_answer_to_a_poll_that_was_overtaken_changes_nothing() {
    struct Case {
        what: &'static str,
        answer: Result<Listing, CallError>,
    }
    let listing = |clock_ms, running: Vec<RunRef>| Listing {
        born: 7,
        clock_ms,
        running: running.into_iter().map(status).collect(),
        ended: vec![],
        complete: true,
        unnamed: 0,
    };
    let cases = [
        Case {
            what: "no answer within the timeout",
            answer: Err(CallError::Unanswered),
        },
        Case {
            what: "a run that has ended since",
            answer: Ok(listing(1_000, vec![first(), second()])),
        },
        Case {
            what: "an old reading of the clock, and none of the runs",
            answer: Ok(listing(1_000, vec![])),
        },
    ];
    for case in cases {
        let (mut agent, [older, newer], token) = two_polls_in_flight();
        answer_start(&mut agent, second(), token, Ok(()));
        let end = EndedRun {
            sequence: 1,
            run: second(),
            reason: EndReason::Done,
            checkpoint: String::new(),
        };
        agent.answer_poll(newer, vec![first()], vec![end]);
        agent.polls.clear();
        agent.advance(300);
        let mut out = agent.step(AgentInput::Polled {
            call: older,
            answer: case.answer,
        });
        let next = agent.next_poll();
        let lease_end = next.lease_end.expect("the lease is renewed");
        let now_ms = agent.now.as_micros() / 1_000;
        assert!(lease_end >= now_ms + 3_900, "{}: {lease_end}", case.what);
        out.extend(agent.answer_poll(next, vec![first()], vec![]));
        let is_other = |output: &&AgentOutput| {
            matches!(output, AgentOutput::Send(message)
                if !matches!(message, AgentMessage::Measurements(runs) if runs.len() == 1))
        };
        let others: Vec<_> = out.iter().filter(is_other).collect();
        assert!(others.is_empty(), "{}: {others:?}", case.what);
    }
}

/// Guards against a task that runs twice at once: a start whose answer was pending when all leases had
/// expired may still take effect while the worker is listed anew.
#[test]
fn a_start_on_its_way_is_fenced_after_all_leases_have_expired() {
    let mut agent = TestAgent::ready();
    for _ in 0..48 {
        agent.advance(100);
        if let Some(call) = agent.polls.pop() {
            agent.answer_poll(call, vec![], vec![]);
        }
    }
    let token = order_start(&mut agent, first());
    let call = agent.next_poll();
    let mut out = agent.fail_poll(call);
    while !sent(&out, &AgentMessage::LeasesExpired) {
        assert!(agent.now < Time::from_secs(10), "no expiry is reported");
        agent.confirm_owner(Duration::from_secs(12));
        out = agent.advance(10);
    }
    agent.polls.clear();
    agent.confirm_owner(Duration::ZERO);
    agent.step(AgentInput::Polled {
        call,
        answer: Err(CallError::Unanswered),
    });
    let call = agent.next_poll();
    assert!(call.fencing_token > token, "{call:?}");
}

/// Guards against poison tasks that are cleared: an agent that was paused took the time at which it
/// read a listing for the time up to which the run was on the worker.
#[test]
fn a_run_is_seen_until_its_listing_was_made_not_until_that_was_read() {
    struct Case {
        what: &'static str,
        /// The worker's clock in the listing, in milliseconds after the start was answered.
        listed_ms: u64,
        /// When the listing is read, in milliseconds after the start was answered.
        read_ms: u64,
        /// For how long the run was seen, in milliseconds.
        seen_ms: std::ops::RangeInclusive<u64>,
    }
    let cases = [
        Case {
            what: "read at once",
            listed_ms: 800,
            read_ms: 800,
            seen_ms: 800..=800,
        },
        Case {
            what: "read after a pause",
            listed_ms: 30,
            read_ms: 2_000,
            seen_ms: 30..=31,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::ready();
        let call = agent.next_poll();
        let token = order_start(&mut agent, first());
        answer_start(&mut agent, first(), token, Ok(()));
        let clock_ms = agent.now.as_micros() / 1_000 + case.listed_ms;
        agent.now = agent.now.after(Duration::from_millis(case.read_ms));
        let answer = Ok(Listing {
            born: 7,
            clock_ms,
            running: vec![status(first())],
            ended: vec![],
            complete: true,
            unnamed: 0,
        });
        agent.step(AgentInput::Polled { call, answer });
        agent.step(reported(report(0, 8)));
        let mut seen = None;
        for _ in 0..20 {
            agent.confirm_owner(Duration::ZERO);
            agent.advance(500);
            let call = agent.next_poll();
            for output in agent.answer_poll_as(8, call) {
                if let AgentOutput::Send(AgentMessage::Crashed(crash)) = output {
                    seen = crash.runs[0].seen_ms;
                }
            }
        }
        let seen = seen.expect("the crash is reported");
        assert!(case.seen_ms.contains(&seen), "{}: {seen} ms", case.what);
    }
}

/// Guards against ends that are forgotten unseen, and against leases that outlast the agent's count: a poll
/// for the earlier incarnation without an answer was carried out by the next one while that was in use.
#[test]
fn a_later_incarnation_is_used_by_a_poll_that_fences_those_for_the_earlier_one() {
    struct Case {
        what: &'static str,
        /// Whether the poll for the earlier incarnation has failed before the next one answers.
        failed: bool,
    }
    let cases = [
        Case {
            what: "the earlier poll has failed",
            failed: true,
        },
        Case {
            what: "the earlier poll is answered by the next incarnation",
            failed: false,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::ready();
        let earlier = agent.next_poll();
        agent.step(reported(report(0, 8)));
        if case.failed {
            agent.fail_poll(earlier);
        } else {
            agent.answer_poll_as(8, earlier);
        }
        let mut used = None;
        for _ in 0..60 {
            agent.confirm_owner(Duration::ZERO);
            let call = agent.next_poll();
            let out = agent.answer_poll_as(8, call);
            if sent(&out, &AgentMessage::Report(report(0, 8))) {
                used = Some(call);
                break;
            }
            agent.advance(100);
        }
        let used = used.expect("the next incarnation is used");
        assert!(
            used.fencing_token > earlier.fencing_token,
            "{}: {used:?}",
            case.what
        );
        assert_eq!(
            (used.lease_end, used.acknowledged),
            (None, 0),
            "{}",
            case.what
        );
    }
}

/// Guards against a start that stays unsettled for a second more: the poll that settles it was overtaken, and
/// the next one waited for an end.
#[test]
fn a_start_without_an_answer_is_settled_by_a_poll_that_does_not_wait() {
    let (mut agent, [older, newer], _) = two_polls_in_flight();
    agent.answer_poll(older, vec![], vec![]);
    agent.polls.clear();
    agent.answer_poll(newer, vec![], vec![]);
    let next = agent.next_poll();
    assert_eq!(next.wait_ms, 0, "{next:?}");
    let reason = RefusalReason::Unanswered;
    let refused = AgentMessage::Refused {
        run: first(),
        reason,
    };
    let out = agent.answer_poll(next, vec![], vec![]);
    assert!(sent(&out, &refused), "{out:?}");
}

/// Guards against a worker that is polled without a pause: its agent has lost the owner, so that
/// nobody acknowledges the ends that the worker lists.
#[test]
fn a_worker_is_polled_with_pauses_while_its_agent_has_no_owner() {
    let mut agent = TestAgent::ready();
    let token = order_start(&mut agent, first());
    answer_start(&mut agent, first(), token, Ok(()));
    agent.confirm_owner(Duration::ZERO);
    agent.step(AgentInput::OwnerLost(OwnerLink(1)));
    let end = EndedRun {
        sequence: 1,
        run: second(),
        reason: EndReason::Done,
        checkpoint: String::new(),
    };
    let mut polls = 0;
    for _ in 0..500 {
        agent.advance(2);
        if let Some(call) = agent.polls.pop() {
            polls += 1;
            agent.answer_poll(call, vec![first()], vec![end.clone()]);
        }
    }
    assert!(polls <= 10, "{polls} polls in a second");
}

/// Guards against a start after its task's end is known: the worker refused it by its token, and the agent
/// sent it again though the owner had ordered it to stop.
#[test]
fn a_fenced_start_that_was_ordered_to_stop_is_not_sent_again() {
    let (mut agent, _, token) = two_polls_in_flight();
    let stop = OrderMessage::Stop(second());
    agent.step(AgentInput::OwnerMessage(OwnerLink(1), stop));
    let earlier = order_start(&mut agent, run(3, 0, 0, 1));
    assert_eq!(earlier, token);
    let unanswered = Err(CallError::Unanswered);
    answer_start(&mut agent, run(3, 0, 0, 1), token, unanswered);
    let fenced = Err(CallError::Refused(RefusalReason::Fenced));
    let out = answer_start(&mut agent, second(), token, fenced);
    assert_eq!(start_token(&out), None, "{out:?}");
    let refused = AgentMessage::Refused {
        run: second(),
        reason: RefusalReason::Fenced,
    };
    assert!(sent(&out, &refused), "{out:?}");
}
