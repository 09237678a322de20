//! Leases, fencing and polls of an agent.

use std::time::Duration;

use super::*;
use crate::types::Time;

/// An agent of worker 0 in simulated time.
pub(super) struct TestAgent {
    pub(super) agent: JobAgent,
    pub(super) now: Time,
    /// Polls without an answer.
    pub(super) polls: Vec<PollCall>,
}

const TOKEN: u64 = 1 << 32;

impl TestAgent {
    /// An agent that has just started.
    pub(super) fn new() -> Self {
        Self::with_limit(None)
    }

    /// An agent that has just started, with an age limit of reads of the evacuation requests.
    pub(super) fn with_limit(evacuation_limit: Option<Duration>) -> Self {
        let times = AgentTimes {
            lease: Duration::from_secs(4),
            lease_max: Duration::from_secs(10),
            agent_hold: Duration::from_secs(5),
            owner_hold: Duration::from_secs(12),
            evacuation_limit,
        };
        Self {
            agent: JobAgent::new(times, Time::from_secs(1)),
            now: Time::from_secs(1),
            polls: Vec::new(),
        }
    }

    /// An agent with a confirmed owner that has received the listing of its worker.
    pub(super) fn ready() -> Self {
        Self::new().made_ready()
    }

    pub(super) fn made_ready(mut self) -> Self {
        let agent = &mut self;
        agent.step(reported(report(0, 7)));
        agent.connect_owner(1, TOKEN);
        agent.confirm_owner(Duration::ZERO);
        agent.list(vec![], vec![]);
        self
    }

    /// Steps the agent; its owner knows a listing at once.
    pub(super) fn step(&mut self, input: AgentInput) -> Vec<AgentOutput> {
        let mut out = Vec::new();
        self.agent.step(self.now, input, &mut out);
        let is_listing =
            |output: &AgentOutput| matches!(output, AgentOutput::Send(AgentMessage::Listed { .. }));
        let owner = self.agent.owner().filter(|_| out.iter().any(is_listing));
        if let Some(link) = owner {
            let known = AgentInput::OwnerMessage(link, OrderMessage::ListingKnown);
            self.agent.step(self.now, known, &mut out);
        }
        let polls = out.iter().filter_map(|output| match output {
            AgentOutput::Poll(call) => Some(*call),
            _ => None,
        });
        self.polls.extend(polls);
        out
    }

    pub(super) fn connect_owner(&mut self, link: u64, fencing_token: u64) -> Vec<AgentOutput> {
        let begin = OrderMessage::Begin { fencing_token };
        self.step(AgentInput::OwnerMessage(OwnerLink(link), begin))
    }

    pub(super) fn confirm_owner(&mut self, age: Duration) -> Vec<AgentOutput> {
        let pong = OrderMessage::Pong {
            sent: self.now.as_micros(),
            confirmation_age: age.as_micros() as u64,
            owner_clock: 0,
            supports: false,
        };
        self.step(AgentInput::OwnerMessage(OwnerLink(1), pong))
    }

    /// Answers a ping of now, at `owner_clock` microseconds on the owner's clock.
    pub(super) fn answer_ping(&mut self, owner_clock: u64) {
        let pong = OrderMessage::Pong {
            sent: self.now.as_micros(),
            confirmation_age: 0,
            owner_clock,
            supports: false,
        };
        self.step(AgentInput::OwnerMessage(OwnerLink(1), pong));
    }

    pub(super) fn advance(&mut self, millis: u64) -> Vec<AgentOutput> {
        self.now = self.now.after(Duration::from_millis(millis));
        self.step(AgentInput::Tick)
    }

    /// The last poll without an answer; waits up to a second for one.
    pub(super) fn next_poll(&mut self) -> PollCall {
        for _ in 0..20 {
            if let Some(call) = self.polls.pop() {
                return call;
            }
            self.advance(50);
        }
        panic!("no poll was sent");
    }

    pub(super) fn answer_poll(
        &mut self,
        call: PollCall,
        running: Vec<RunRef>,
        ended: Vec<EndedRun>,
    ) -> Vec<AgentOutput> {
        let running: Vec<_> = running.into_iter().map(|run| (run, 10, 0)).collect();
        self.answer_poll_with(call, &running, ended)
    }

    /// Answers a poll with runs, each with its progress in percent and its measurement.
    fn answer_poll_with(
        &mut self,
        call: PollCall,
        running: &[(RunRef, u32, u64)],
        ended: Vec<EndedRun>,
    ) -> Vec<AgentOutput> {
        let running = running.iter().map(|(run, percent, measurement)| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: *percent,
            measurement: *measurement,
        });
        let answer = Ok(Listing {
            born: 7,
            clock_ms: self.now.as_micros() / 1_000,
            running: running.collect(),
            ended,
            complete: true,
            unnamed: 0,
        });
        self.step(AgentInput::Polled { call, answer })
    }

    /// Answers a poll without runs as the incarnation that started at `born`.
    pub(super) fn answer_poll_as(&mut self, born: u64, call: PollCall) -> Vec<AgentOutput> {
        self.answer_poll_with_runs_as(born, call, vec![])
    }

    /// Answers a poll as the incarnation that started at `born`.
    pub(super) fn answer_poll_with_runs_as(
        &mut self,
        born: u64,
        call: PollCall,
        running: Vec<RunRef>,
    ) -> Vec<AgentOutput> {
        let status = |run| RunStatus {
            run,
            checkpoint: String::new(),
            percent: 10,
            measurement: 0,
        };
        let answer = Ok(Listing {
            born,
            clock_ms: 0,
            running: running.into_iter().map(status).collect(),
            ended: vec![],
            complete: true,
            unnamed: 0,
        });
        self.step(AgentInput::Polled { call, answer })
    }

    pub(super) fn fail_poll(&mut self, call: PollCall) -> Vec<AgentOutput> {
        let answer = Err(CallError::Unanswered);
        self.step(AgentInput::Polled { call, answer })
    }

    /// Answers the next poll.
    pub(super) fn list(&mut self, running: Vec<RunRef>, ended: Vec<EndedRun>) -> Vec<AgentOutput> {
        let call = self.next_poll();
        self.answer_poll(call, running, ended)
    }

    pub(super) fn start(&mut self, run: RunRef) -> Vec<AgentOutput> {
        self.start_with(run, 0, false)
    }

    /// Starts a run on an incarnation; returns the token of the call to the worker.
    pub(super) fn start_as(&mut self, incarnation: WorkerIncarnation, run: RunRef) -> Option<u64> {
        let out = self.start_order(incarnation, run, 0, false);
        start_token(&out)
    }

    fn start_with(&mut self, run: RunRef, target_ms: u64, best_effort: bool) -> Vec<AgentOutput> {
        self.start_order(incarnation(0, 7), run, target_ms, best_effort)
    }

    fn start_order(
        &mut self,
        incarnation: WorkerIncarnation,
        run: RunRef,
        target_ms: u64,
        best_effort: bool,
    ) -> Vec<AgentOutput> {
        self.order_start(StartOrder {
            incarnation,
            target_ms,
            best_effort,
            ..start_order(run)
        })
    }

    pub(super) fn order_start(&mut self, order: StartOrder) -> Vec<AgentOutput> {
        let start = OrderMessage::Start(order);
        self.step(AgentInput::OwnerMessage(OwnerLink(1), start))
    }
}

/// An order to start a run on the whole worker 0.
pub(super) fn start_order(run: RunRef) -> StartOrder {
    StartOrder {
        incarnation: incarnation(0, 7),
        run,
        payload: "do".into(),
        checkpoint: String::new(),
        target_ms: 0,
        best_effort: false,
        capacity: report(0, 7).capacity,
        zones_read: None,
    }
}

pub(super) fn sent(out: &[AgentOutput], expected: &AgentMessage) -> bool {
    let is_expected =
        |output: &AgentOutput| matches!(output, AgentOutput::Send(m) if m == expected);
    out.iter().any(is_expected)
}

pub(super) fn start_token(out: &[AgentOutput]) -> Option<u64> {
    out.iter().find_map(|output| match output {
        AgentOutput::Start(call) => Some(call.fencing_token),
        _ => None,
    })
}

/// Guards against unanswered polls that postpone the expiry of a lost worker's leases.
#[test]
fn lease_of_unresponsive_worker_expires() {
    let mut agent = TestAgent::ready();
    agent.start(run(1, 0, 0, 1));
    let mut expired_after = None;
    for tick in 0..200 {
        agent.confirm_owner(Duration::ZERO);
        if sent(&agent.advance(50), &AgentMessage::LeasesExpired) {
            expired_after = Some(tick * 50);
        }
        if let Some(call) = agent.polls.pop() {
            agent.fail_poll(call);
        }
    }
    let after = expired_after.expect("the expiry is reported");
    assert!((3_900..5_000).contains(&after), "{after} ms");
}

/// Guards against a restarted agent that never reports the expiry of a lost worker's
/// leases: each new owner then waits for its whole hold time.
#[test]
fn restarted_agent_reports_expiry_of_inherited_leases() {
    struct Case {
        what: &'static str,
        reported: bool,
    }
    let cases = [
        Case {
            what: "worker without a report",
            reported: false,
        },
        Case {
            what: "worker with a report that answers no poll",
            reported: true,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::new();
        if case.reported {
            agent.step(reported(report(0, 7)));
        }
        agent.connect_owner(1, TOKEN);
        let mut expiries = Vec::new();
        for tick in 0..160 {
            agent.confirm_owner(Duration::ZERO);
            if sent(&agent.advance(50), &AgentMessage::LeasesExpired) {
                expiries.push(tick * 50);
            }
            if let Some(call) = agent.polls.pop() {
                agent.fail_poll(call);
            }
        }
        assert_eq!(expiries.len(), 1, "{}: {expiries:?}", case.what);
        assert!(
            (4_000..5_000).contains(&expiries[0]),
            "{}: {expiries:?}",
            case.what
        );
    }
}

/// Guards against a streak that any measurement below the target resets: with a tail
/// latency just over the target, best-effort runs then continue for more than 4 s.
#[test]
fn best_effort_runs_are_paused_despite_single_measurements_below_the_target() {
    const TAIL_LATENCIES_MS: [u64; 8] = [154, 158, 147, 155, 149, 156, 153, 157];
    let mut agent = TestAgent::ready();
    let service = run(1, 0, 0, 1);
    let best_effort = run(2, 0, 0, 1);
    for (run, target_ms) in [(service, 150), (best_effort, 0)] {
        agent.start_with(run, target_ms, target_ms == 0);
    }
    let mut changes = Vec::new();
    for tail in TAIL_LATENCIES_MS {
        agent.confirm_owner(Duration::ZERO);
        agent.advance(500);
        let call = agent.next_poll();
        let out = agent.answer_poll_with(
            call,
            &[(service, 100, tail), (best_effort, 50, 1_000)],
            vec![],
        );
        let change = |output: &AgentOutput| match output {
            AgentOutput::Throttle(call) => Some((call.run, call.cpu_share)),
            _ => None,
        };
        changes.extend(out.iter().filter_map(change));
    }
    assert_eq!(changes, [(best_effort, 0)]);
}

#[test]
fn unresponsive_worker_is_reported_and_starts_nothing() {
    let mut agent = TestAgent::ready();
    let call = agent.next_poll();
    assert!(sent(
        &agent.fail_poll(call),
        &AgentMessage::Unresponsive(true)
    ));
    let refused = AgentMessage::Refused {
        run: run(1, 0, 0, 1),
        reason: RefusalReason::Unwell,
    };
    assert!(sent(&agent.start(run(1, 0, 0, 1)), &refused));
    let call = agent.next_poll();
    assert_eq!(call.lease_end, None);
    assert!(sent(
        &agent.answer_poll(call, vec![], vec![]),
        &AgentMessage::Unresponsive(false)
    ));
}

#[test]
fn unanswered_start_is_settled_by_a_poll_with_a_higher_token() {
    struct Case {
        what: &'static str,
        raised: bool,
        running: bool,
        refused: bool,
    }
    let cases = [
        Case {
            what: "listed as running",
            raised: true,
            running: true,
            refused: false,
        },
        Case {
            what: "not listed by a poll with a higher token",
            raised: true,
            running: false,
            refused: true,
        },
        Case {
            what: "not listed by an older poll",
            raised: false,
            running: false,
            refused: false,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::ready();
        let old = agent.next_poll();
        let order = run(1, 0, 0, 1);
        let out = agent.start(order);
        let fencing_token = start_token(&out).expect("a start call");
        agent.step(AgentInput::StartAnswered {
            run: order,
            fencing_token,
            answer: Err(CallError::Unanswered),
        });
        let call = if case.raised { agent.next_poll() } else { old };
        assert_eq!(
            call.fencing_token > fencing_token,
            case.raised,
            "{}",
            case.what
        );
        let running = if case.running { vec![order] } else { vec![] };
        let out = agent.answer_poll(call, running, vec![]);
        let reason = RefusalReason::Unanswered;
        let refused = AgentMessage::Refused { run: order, reason };
        assert_eq!(sent(&out, &refused), case.refused, "{}", case.what);
    }
}

#[test]
fn orders_of_an_earlier_owner_are_not_resent() {
    let mut agent = TestAgent::ready();
    let order = run(1, 0, 0, 1);
    let out = agent.start(order);
    let fencing_token = start_token(&out).expect("a start call");
    agent.connect_owner(2, TOKEN << 1);
    let out = agent.step(AgentInput::StartAnswered {
        run: order,
        fencing_token,
        answer: Err(CallError::Refused(RefusalReason::Fenced)),
    });
    assert_eq!(start_token(&out), None);
}

/// Guards against a restarted agent that accepts orders of a superseded owner, whose polls
/// the worker ignores.
#[test]
fn restarted_agent_lists_runs_only_for_an_owner_confirmed_since() {
    struct Case {
        what: &'static str,
        age_ms: u64,
        listed: bool,
    }
    let cases = [
        Case {
            what: "confirmed before the start",
            age_ms: 600,
            listed: false,
        },
        Case {
            what: "confirmed after the start",
            age_ms: 400,
            listed: true,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::new();
        agent.step(reported(report(0, 7)));
        agent.connect_owner(1, TOKEN);
        agent.advance(500);
        agent.confirm_owner(Duration::from_millis(case.age_ms));
        let call = agent.next_poll();
        let out = agent.answer_poll(call, vec![], vec![]);
        let listed = AgentMessage::Listed {
            incarnation: incarnation(0, 7),
            running: vec![],
            ended: vec![],
        };
        assert_eq!(sent(&out, &listed), case.listed, "{}", case.what);
    }
}

#[test]
fn owner_with_a_lower_token_is_refused() {
    let mut agent = TestAgent::ready();
    let out = agent.connect_owner(2, TOKEN - 1);
    assert_eq!(out, [AgentOutput::Supersede(OwnerLink(2))]);
    assert!(start_token(&agent.start(run(1, 0, 0, 1))).is_some());
}

/// A lease must end within the hold times that the next owner waits for.
#[test]
fn leases_end_within_the_hold_times() {
    struct Case {
        what: &'static str,
        age_ms: u64,
        no_answer_ms: u64,
        max_ms: u64,
    }
    let cases = [
        Case {
            what: "owner just confirmed",
            age_ms: 0,
            no_answer_ms: 0,
            max_ms: 4_000,
        },
        Case {
            what: "no answer of the owner for 3 s",
            age_ms: 0,
            no_answer_ms: 3_000,
            max_ms: 2_000,
        },
        Case {
            what: "owner not confirmed for 10 s",
            age_ms: 10_000,
            no_answer_ms: 0,
            max_ms: 2_000,
        },
        Case {
            what: "owner not confirmed for 13 s",
            age_ms: 13_000,
            no_answer_ms: 0,
            max_ms: 0,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::ready();
        // The limit of the earlier confirmation passes.
        agent.advance(6_000);
        agent.confirm_owner(Duration::from_millis(case.age_ms));
        agent.advance(case.no_answer_ms);
        let call = agent.next_poll();
        agent.answer_poll(call, vec![], vec![]);
        let call = agent.next_poll();
        let now_ms = agent.now.as_micros() / 1_000;
        let length = call.lease_end.map_or(0, |end| end.saturating_sub(now_ms));
        assert!(length <= case.max_ms, "{}: {length} ms", case.what);
        assert_eq!(length > 0, case.max_ms > 0, "{}", case.what);
    }
}

#[test]
fn polls_pause_while_ended_runs_are_unacknowledged() {
    let mut agent = TestAgent::ready();
    let end = EndedRun {
        sequence: 1,
        run: run(1, 0, 0, 1),
        reason: EndReason::Done,
        checkpoint: String::new(),
    };
    let call = agent.next_poll();
    let first = agent.answer_poll(call, vec![], vec![end.clone()]);
    let ended = AgentMessage::Ended {
        incarnation: incarnation(0, 7),
        ended: vec![end.clone()],
    };
    assert!(sent(&first, &ended), "a new end is reported at once");
    let call = agent.next_poll();
    let again = agent.answer_poll(call, vec![], vec![end]);
    let polls = |out: &[AgentOutput]| out.iter().any(|o| matches!(o, AgentOutput::Poll(_)));
    assert!(!polls(&again), "the worker would answer at once");
    let stored = OrderMessage::AcknowledgeEnds {
        incarnation: incarnation(0, 7),
        sequence: 1,
    };
    let out = agent.step(AgentInput::OwnerMessage(OwnerLink(1), stored));
    assert!(polls(&out), "the worker can drop the acknowledged end");
}

#[test]
fn late_report_of_an_earlier_incarnation_is_ignored() {
    let mut agent = TestAgent::ready();
    assert_eq!(agent.step(reported(report(0, 6))), []);
    assert!(start_token(&agent.start(run(1, 0, 0, 1))).is_some());
}

/// Guards against ended runs that are acknowledged unseen: the number that an earlier
/// incarnation has reached says nothing about the ends of a new one.
#[test]
fn an_unresponsive_worker_gets_no_acknowledgement() {
    let mut agent = TestAgent::ready();
    let stored = OrderMessage::AcknowledgeEnds {
        incarnation: incarnation(0, 7),
        sequence: 9,
    };
    agent.step(AgentInput::OwnerMessage(OwnerLink(1), stored));
    agent.list(vec![], vec![]);
    let call = agent.next_poll();
    assert_eq!(call.acknowledged, 9);
    agent.fail_poll(call);
    assert_eq!(agent.next_poll().acknowledged, 0);
}

/// Guards against tasks that run twice: while the owner can't save ended runs, a worker lists
/// only some of them, and the others were taken for lost.
#[test]
fn a_run_absent_from_an_incomplete_listing_is_not_missing() {
    struct Case {
        what: &'static str,
        complete: bool,
        missing: bool,
    }
    let cases = [
        Case {
            what: "incomplete",
            complete: false,
            missing: false,
        },
        Case {
            what: "complete",
            complete: true,
            missing: true,
        },
    ];
    for case in cases {
        let order = run(1, 0, 0, 1);
        let mut agent = TestAgent::ready();
        agent.start(order);
        agent.list(vec![order], vec![]);
        agent.advance(200);
        agent.list(vec![order], vec![]);
        let call = agent.next_poll();
        let answer = Ok(Listing {
            born: 7,
            clock_ms: 0,
            running: vec![],
            ended: vec![],
            complete: case.complete,
            unnamed: 0,
        });
        let out = agent.step(AgentInput::Polled { call, answer });
        let missing = AgentMessage::Missing(order);
        assert_eq!(sent(&out, &missing), case.missing, "{}", case.what);
    }
}

/// A new owner acknowledges the ended runs of incomplete listings before it gets the first
/// complete one.
#[test]
fn a_new_owner_is_told_of_ended_runs_until_the_listing_is_complete() {
    let mut agent = TestAgent::ready();
    let earlier = agent.next_poll();
    agent.connect_owner(1, TOKEN << 1);
    agent.confirm_owner(Duration::ZERO);
    agent.answer_poll(earlier, vec![], vec![]);
    let end = EndedRun {
        sequence: 1,
        run: run(1, 0, 0, 1),
        reason: EndReason::Done,
        checkpoint: String::new(),
    };
    let mut messages = Vec::new();
    // The first of these polls was sent before the answer to the earlier one arrived.
    for complete in [false, false, true] {
        let call = agent.next_poll();
        let answer = Ok(Listing {
            born: 7,
            clock_ms: 0,
            running: vec![],
            ended: vec![end.clone()],
            complete,
            unnamed: 0,
        });
        let out = agent.step(AgentInput::Polled { call, answer });
        let listed =
            |output: &AgentOutput| matches!(output, AgentOutput::Send(AgentMessage::Listed { .. }));
        let ended =
            |output: &AgentOutput| matches!(output, AgentOutput::Send(AgentMessage::Ended { .. }));
        messages.push((out.iter().any(ended), out.iter().any(listed)));
        agent.advance(200);
    }
    assert_eq!(messages, [(false, false), (true, false), (false, true)]);
}
