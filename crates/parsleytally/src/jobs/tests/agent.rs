//! An agent's leases, fences and proofs.

use std::time::Duration;

use super::*;
use crate::types::Time;

/// An agent beside worker 0, driven by hand.
struct Bench {
    agent: JobAgent,
    now: Time,
    /// Looks that have no answer yet.
    looks: Vec<PollCall>,
}

const FENCE: u64 = 1 << 32;

impl Bench {
    /// An agent that has just begun.
    fn new() -> Self {
        let times = AgentTimes {
            lease: Duration::from_secs(4),
            agent_hold: Duration::from_secs(5),
            owner_hold: Duration::from_secs(12),
        };
        Self {
            agent: JobAgent::new(times, Time::from_secs(1)),
            now: Time::from_secs(1),
            looks: Vec::new(),
        }
    }

    /// An agent whose owner has vouched for it and knows what is on the worker.
    fn ready() -> Self {
        let mut bench = Self::new();
        bench.feed(AgentInput::Report(report(0, 7)));
        bench.begin(1, FENCE);
        bench.vouch(Duration::ZERO);
        let call = bench.last_look();
        bench.looked(call, vec![], vec![]);
        bench
    }

    fn feed(&mut self, input: AgentInput) -> Vec<AgentOutput> {
        let mut out = Vec::new();
        self.agent.step(self.now, input, &mut out);
        let looks = out.iter().filter_map(|output| match output {
            AgentOutput::Poll(call) => Some(*call),
            _ => None,
        });
        self.looks.extend(looks);
        out
    }

    fn begin(&mut self, link: u64, fence: u64) -> Vec<AgentOutput> {
        let begin = OrderMessage::Begin {
            fencing_token: fence,
        };
        self.feed(AgentInput::OwnerMessage(OwnerLink(link), begin))
    }

    fn vouch(&mut self, age: Duration) -> Vec<AgentOutput> {
        let pong = OrderMessage::Pong {
            sent: self.now.as_micros(),
            confirmation_age: age.as_micros() as u64,
        };
        self.feed(AgentInput::OwnerMessage(OwnerLink(1), pong))
    }

    fn wait(&mut self, millis: u64) -> Vec<AgentOutput> {
        self.now = self.now.after(Duration::from_millis(millis));
        self.feed(AgentInput::Tick)
    }

    /// The latest look without an answer, sent within a second.
    fn last_look(&mut self) -> PollCall {
        for _ in 0..20 {
            if let Some(call) = self.looks.pop() {
                return call;
            }
            self.wait(50);
        }
        panic!("no look was sent");
    }

    fn looked(
        &mut self,
        call: PollCall,
        running: Vec<RunRef>,
        ended: Vec<EndedRun>,
    ) -> Vec<AgentOutput> {
        let running: Vec<_> = running.into_iter().map(|run| (run, 10, 0)).collect();
        self.listed(call, &running, ended)
    }

    /// Answers a look with runs, each with its progress in percent and its figure.
    fn listed(
        &mut self,
        call: PollCall,
        running: &[(RunRef, u32, u64)],
        ended: Vec<EndedRun>,
    ) -> Vec<AgentOutput> {
        let running = running.iter().map(|(run, percent, figure)| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: *percent,
            measurement: *figure,
        });
        let answer = Ok(Listing {
            born: 7,
            clock_ms: self.now.as_micros() / 1_000,
            running: running.collect(),
            ended,
        });
        self.feed(AgentInput::Polled { call, answer })
    }

    fn unanswered(&mut self, call: PollCall) -> Vec<AgentOutput> {
        let answer = Err(CallError::Unanswered);
        self.feed(AgentInput::Polled { call, answer })
    }

    fn start(&mut self, run: RunRef) -> Vec<AgentOutput> {
        self.start_kind(run, 0, false)
    }

    fn start_kind(&mut self, run: RunRef, target_ms: u64, filler: bool) -> Vec<AgentOutput> {
        let order = StartOrder {
            incarnation: life(0, 7),
            run,
            payload: "do".into(),
            checkpoint: String::new(),
            target_ms,
            best_effort: filler,
        };
        let start = OrderMessage::Start(order);
        self.feed(AgentInput::OwnerMessage(OwnerLink(1), start))
    }
}

fn sent(out: &[AgentOutput], wanted: &AgentMessage) -> bool {
    let message = |output: &AgentOutput| matches!(output, AgentOutput::Send(m) if m == wanted);
    out.iter().any(message)
}

fn start_fence(out: &[AgentOutput]) -> Option<u64> {
    out.iter().find_map(|output| match output {
        AgentOutput::Start(call) => Some(call.fencing_token),
        _ => None,
    })
}

/// A worker was gone, and each look that it did not answer moved the end of its lease.
#[test]
fn the_lease_of_a_silent_worker_runs_out() {
    let mut bench = Bench::ready();
    bench.start(run(1, 0, 0, 1));
    let mut lapsed_after = None;
    for tick in 0..200 {
        bench.vouch(Duration::ZERO);
        if sent(&bench.wait(50), &AgentMessage::LeasesExpired) {
            lapsed_after = Some(tick * 50);
        }
        if let Some(call) = bench.looks.pop() {
            bench.unanswered(call);
        }
    }
    let after = lapsed_after.expect("the owner is told");
    assert!((3_900..5_000).contains(&after), "{after} ms");
}

/// An agent restarted beside a worker that was gone for good, and each new owner waited
/// for the runs that might be hidden there until its hold was over.
#[test]
fn an_agent_that_never_met_its_worker_tells_when_all_leases_have_run_out() {
    struct Case {
        what: &'static str,
        reported: bool,
    }
    let cases = [
        Case {
            what: "the worker says nothing",
            reported: false,
        },
        Case {
            what: "the worker has reported, and answers no look",
            reported: true,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        if case.reported {
            bench.feed(AgentInput::Report(report(0, 7)));
        }
        bench.begin(1, FENCE);
        let mut lapsed = Vec::new();
        for tick in 0..160 {
            bench.vouch(Duration::ZERO);
            if sent(&bench.wait(50), &AgentMessage::LeasesExpired) {
                lapsed.push(tick * 50);
            }
            if let Some(call) = bench.looks.pop() {
                bench.unanswered(call);
            }
        }
        assert_eq!(lapsed.len(), 1, "{}: {lapsed:?}", case.what);
        assert!(
            (4_000..5_000).contains(&lapsed[0]),
            "{}: {lapsed:?}",
            case.what
        );
    }
}

/// Pattern: a tail latency just over the target. Single measurements fell below it, and
/// each began the count anew, so the fillers worked on for more than four seconds.
#[test]
fn fillers_are_held_though_single_measurements_fall_below_the_target() {
    const TAILS_MS: [u64; 8] = [154, 158, 147, 155, 149, 156, 153, 157];
    let mut bench = Bench::ready();
    let serving = run(1, 0, 0, 1);
    let filler = run(2, 0, 0, 1);
    for (run, target_ms) in [(serving, 150), (filler, 0)] {
        bench.start_kind(run, target_ms, target_ms == 0);
    }
    let mut paces = Vec::new();
    for tail in TAILS_MS {
        bench.vouch(Duration::ZERO);
        bench.wait(500);
        let call = bench.last_look();
        let out = bench.listed(call, &[(serving, 100, tail), (filler, 50, 1_000)], vec![]);
        let pace = |output: &AgentOutput| match output {
            AgentOutput::Throttle(call) => Some((call.run, call.cpu_share)),
            _ => None,
        };
        paces.extend(out.iter().filter_map(pace));
    }
    assert_eq!(paces, [(filler, 0)]);
}

#[test]
fn a_silent_worker_is_told_of_and_starts_nothing() {
    let mut bench = Bench::ready();
    let call = bench.last_look();
    assert!(sent(
        &bench.unanswered(call),
        &AgentMessage::Unresponsive(true)
    ));
    let refused = AgentMessage::Refused {
        run: run(1, 0, 0, 1),
        reason: RefusalReason::Unwell,
    };
    assert!(sent(&bench.start(run(1, 0, 0, 1)), &refused));
    let call = bench.last_look();
    assert_eq!(call.lease_end, None);
    assert!(sent(
        &bench.looked(call, vec![], vec![]),
        &AgentMessage::Unresponsive(false)
    ));
}

#[test]
fn an_order_without_answer_is_settled_by_a_look_under_a_higher_fence() {
    struct Case {
        what: &'static str,
        raised: bool,
        running: bool,
        refused: bool,
    }
    let cases = [
        Case {
            what: "seen running",
            raised: true,
            running: true,
            refused: false,
        },
        Case {
            what: "proved not to start",
            raised: true,
            running: false,
            refused: true,
        },
        Case {
            what: "not proved by an older look",
            raised: false,
            running: false,
            refused: false,
        },
    ];
    for case in cases {
        let mut bench = Bench::ready();
        let old = bench.last_look();
        let order = run(1, 0, 0, 1);
        let out = bench.start(order);
        let fence = start_fence(&out).expect("the order goes out");
        bench.feed(AgentInput::StartAnswered {
            run: order,
            fencing_token: fence,
            answer: Err(CallError::Unanswered),
        });
        let call = if case.raised { bench.last_look() } else { old };
        assert_eq!(call.fencing_token > fence, case.raised, "{}", case.what);
        let running = if case.running { vec![order] } else { vec![] };
        let out = bench.looked(call, running, vec![]);
        let reason = RefusalReason::Unanswered;
        let refused = AgentMessage::Refused { run: order, reason };
        assert_eq!(sent(&out, &refused), case.refused, "{}", case.what);
    }
}

#[test]
fn orders_of_an_earlier_owner_are_not_sent_again() {
    let mut bench = Bench::ready();
    let order = run(1, 0, 0, 1);
    let out = bench.start(order);
    let fence = start_fence(&out).expect("the order goes out");
    bench.begin(2, FENCE << 1);
    let out = bench.feed(AgentInput::StartAnswered {
        run: order,
        fencing_token: fence,
        answer: Err(CallError::Refused(RefusalReason::Fenced)),
    });
    assert_eq!(start_fence(&out), None);
}

/// An agent that restarted took orders of a deposed owner, whose look the worker did
/// not honour.
#[test]
fn an_agent_that_restarted_waits_for_an_owner_that_the_store_confirmed_since() {
    struct Case {
        what: &'static str,
        age_ms: u64,
        listed: bool,
    }
    let cases = [
        Case {
            what: "confirmed before",
            age_ms: 600,
            listed: false,
        },
        Case {
            what: "confirmed since",
            age_ms: 400,
            listed: true,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.feed(AgentInput::Report(report(0, 7)));
        bench.begin(1, FENCE);
        bench.wait(500);
        bench.vouch(Duration::from_millis(case.age_ms));
        let call = bench.last_look();
        let out = bench.looked(call, vec![], vec![]);
        let listed = AgentMessage::Listed {
            incarnation: life(0, 7),
            running: vec![],
            ended: vec![],
        };
        assert_eq!(sent(&out, &listed), case.listed, "{}", case.what);
    }
}

#[test]
fn an_owner_with_a_lower_fence_is_turned_away() {
    let mut bench = Bench::ready();
    let out = bench.begin(2, FENCE - 1);
    assert_eq!(out, [AgentOutput::Close(OwnerLink(2))]);
    assert!(start_fence(&bench.start(run(1, 0, 0, 1))).is_some());
}

/// No lease may reach past what the next owner counts with.
#[test]
fn leases_end_with_the_time_that_the_owner_vouched_for() {
    struct Case {
        what: &'static str,
        age_ms: u64,
        silent_ms: u64,
        most_ms: u64,
    }
    let cases = [
        Case {
            what: "fresh",
            age_ms: 0,
            silent_ms: 0,
            most_ms: 4_000,
        },
        Case {
            what: "owner silent for 3 s",
            age_ms: 0,
            silent_ms: 3_000,
            most_ms: 2_000,
        },
        Case {
            what: "owner without store for 10 s",
            age_ms: 10_000,
            silent_ms: 0,
            most_ms: 2_000,
        },
        Case {
            what: "owner without store for 13 s",
            age_ms: 13_000,
            silent_ms: 0,
            most_ms: 0,
        },
    ];
    for case in cases {
        let mut bench = Bench::ready();
        // What was vouched for before is used up.
        bench.wait(6_000);
        bench.vouch(Duration::from_millis(case.age_ms));
        bench.wait(case.silent_ms);
        let call = bench.last_look();
        bench.looked(call, vec![], vec![]);
        let call = bench.last_look();
        let now_ms = bench.now.as_micros() / 1_000;
        let length = call.lease_end.map_or(0, |end| end.saturating_sub(now_ms));
        assert!(length <= case.most_ms, "{}: {length} ms", case.what);
        assert_eq!(length > 0, case.most_ms > 0, "{}", case.what);
    }
}

#[test]
fn looks_pause_while_ends_wait_to_be_stored() {
    let mut bench = Bench::ready();
    let end = EndedRun {
        sequence: 1,
        run: run(1, 0, 0, 1),
        reason: EndReason::Done,
        checkpoint: String::new(),
    };
    let call = bench.last_look();
    let first = bench.looked(call, vec![], vec![end.clone()]);
    let ended = AgentMessage::Ended {
        incarnation: life(0, 7),
        ended: vec![end.clone()],
    };
    assert!(sent(&first, &ended), "a new end is told at once");
    let call = bench.last_look();
    let again = bench.looked(call, vec![], vec![end]);
    let looks = |out: &[AgentOutput]| out.iter().any(|o| matches!(o, AgentOutput::Poll(_)));
    assert!(!looks(&again), "the worker would answer at once again");
    let stored = OrderMessage::AcknowledgeEnds {
        incarnation: life(0, 7),
        sequence: 1,
    };
    let out = bench.feed(AgentInput::OwnerMessage(OwnerLink(1), stored));
    assert!(looks(&out), "the end can be forgotten now");
}

#[test]
fn a_late_report_of_an_earlier_life_changes_nothing() {
    let mut bench = Bench::ready();
    assert_eq!(bench.feed(AgentInput::Report(report(0, 6))), []);
    assert!(start_fence(&bench.start(run(1, 0, 0, 1))).is_some());
}
