//! CPU shares that an agent sets on its worker, beside starts and listings in any order.

use std::time::Duration;

use super::agent::{TestAgent, start_token};
use super::*;

fn status(run: RunRef, measurement: u64) -> RunStatus {
    RunStatus {
        run,
        checkpoint: String::new(),
        percent: 10,
        measurement,
    }
}

/// CPU shares that are sent to the worker, in percent.
fn changes(out: &[AgentOutput]) -> Vec<(RunRef, u32)> {
    let change = |output: &AgentOutput| match output {
        AgentOutput::Throttle(call) => Some((call.run, call.cpu_share)),
        _ => None,
    };
    out.iter().filter_map(change).collect()
}

fn throttle_call(out: &[AgentOutput]) -> Option<ThrottleCall> {
    out.iter().find_map(|output| match output {
        AgentOutput::Throttle(call) => Some(*call),
        _ => None,
    })
}

fn list(agent: &mut TestAgent, running: Vec<RunStatus>) -> Vec<AgentOutput> {
    agent.confirm_owner(Duration::ZERO);
    agent.advance(500);
    let call = agent.next_poll();
    let answer = Ok(Listing {
        born: 7,
        clock_ms: agent.now.as_micros() / 1_000,
        running,
        ended: vec![],
        complete: true,
        unnamed: 0,
    });
    agent.step(AgentInput::Polled { call, answer })
}

/// Answers the calls that change CPU shares.
fn answer_changes(agent: &mut TestAgent, out: &[AgentOutput]) {
    for output in out {
        if let AgentOutput::Throttle(call) = output {
            let call = *call;
            agent.step(AgentInput::ThrottleAnswered {
                call,
                answer: Ok(()),
            });
        }
    }
}

fn start(agent: &mut TestAgent, run: RunRef, target_ms: u64) -> u64 {
    let out = agent.order_start(StartOrder {
        target_ms,
        best_effort: target_ms == 0,
        ..super::agent::start_order(run)
    });
    start_token(&out).expect("a start call")
}

/// Guards against best-effort runs at full speed beside a service: the order of a CPU share overtook
/// the start at the worker, or was forgotten with a listing from before the start.
#[test]
fn a_cpu_share_is_sent_once_the_run_is_on_the_worker() {
    struct Case {
        what: &'static str,
        /// Whether a listing without the run arrives before the start is answered.
        listed_before: bool,
        /// Whether the answer to the start arrives, or only a listing with the run.
        answered: bool,
    }
    let cases = [
        Case {
            what: "the start is answered",
            listed_before: false,
            answered: true,
        },
        Case {
            what: "a listing without the run, then the answer",
            listed_before: true,
            answered: true,
        },
        Case {
            what: "a listing with the run",
            listed_before: false,
            answered: false,
        },
    ];
    let (service, best_effort) = (run(1, 0, 0, 1), run(2, 0, 0, 1));
    for case in cases {
        let mut agent = TestAgent::ready();
        start(&mut agent, service, 150);
        list(&mut agent, vec![status(service, 10)]);
        let fencing_token = start(&mut agent, best_effort, 0);
        let order = OrderMessage::Throttle {
            run: best_effort,
            cpu_share: 40,
        };
        let mut out = agent.step(AgentInput::OwnerMessage(OwnerLink(1), order));
        if case.listed_before {
            out.extend(list(&mut agent, vec![status(service, 10)]));
        }
        assert_eq!(changes(&out), [], "{}", case.what);
        let out = if case.answered {
            agent.step(AgentInput::StartAnswered {
                run: best_effort,
                fencing_token,
                answer: Ok(()),
            })
        } else {
            let running = vec![status(service, 10), status(best_effort, 0)];
            list(&mut agent, running)
        };
        assert_eq!(changes(&out), [(best_effort, 40)], "{}", case.what);
    }
}

/// Guards against best-effort runs that stay paused for ever: the service that they had slowed
/// ended, and nothing was measured any more.
#[test]
fn paused_runs_resume_once_no_service_is_left() {
    let (service, best_effort) = (run(1, 0, 0, 1), run(2, 0, 0, 1));
    let mut agent = TestAgent::ready();
    start(&mut agent, service, 150);
    start(&mut agent, best_effort, 0);
    let mut out = Vec::new();
    for _ in 0..6 {
        let running = vec![status(service, 900), status(best_effort, 0)];
        out.extend(list(&mut agent, running));
    }
    assert_eq!(changes(&out), [(best_effort, 0)]);
    // The pause may not be answered before the service has ended.
    let mut resumed = list(&mut agent, vec![status(best_effort, 0)]);
    answer_changes(&mut agent, &out);
    for _ in 0..4 {
        let listed = list(&mut agent, vec![status(best_effort, 0)]);
        answer_changes(&mut agent, &listed);
        resumed.extend(listed);
    }
    assert_eq!(changes(&resumed), [(best_effort, 100)]);
}

/// Guards against best-effort runs that stay paused for ever beside a service that is over its target
/// by itself, and against harm: a longest time at work while a service is over its target.
#[test]
fn pauses_and_the_work_between_them_are_bounded() {
    struct Case {
        what: &'static str,
        /// Tail latencies that are measured in turn, in milliseconds.
        latencies: [u64; 2],
    }
    let cases = [
        Case {
            what: "over its target",
            latencies: [900, 900],
        },
        Case {
            what: "near its target",
            latencies: [155, 145],
        },
        Case {
            what: "over its target at times",
            latencies: [160, 100],
        },
    ];
    let (service, best_effort) = (run(1, 0, 0, 1), run(2, 0, 0, 1));
    for case in cases {
        let mut agent = TestAgent::ready();
        start(&mut agent, service, 150);
        start(&mut agent, best_effort, 0);
        let latencies = case.latencies.into_iter().cycle();
        let mut cpu_share = 100;
        // Listings in which the run was paused, and in which it worked, on end.
        let (mut paused, mut at_work) = (0, 0);
        for latency in latencies.take(100) {
            let running = vec![status(service, latency), status(best_effort, 0)];
            let out = list(&mut agent, running);
            answer_changes(&mut agent, &out);
            cpu_share = changes(&out).last().map_or(cpu_share, |(_, share)| *share);
            paused = if cpu_share == 0 { paused + 1 } else { 0 };
            let slowed = cpu_share > 0 && case.latencies.iter().all(|latency| *latency > 150);
            at_work = if slowed { at_work + 1 } else { 0 };
            assert!(paused <= 8, "{}: paused for over 4 s", case.what);
            assert!(at_work < 7, "{}: at work for 3.5 s", case.what);
        }
    }
}

/// Guards against runs that stay paused: of two CPU shares sent shortly after one another, the older one
/// was carried out last.
#[test]
fn a_cpu_share_is_sent_after_the_one_before_is_settled() {
    struct Case {
        what: &'static str,
        answer: Result<(), CallError>,
        /// Whether the next call has a higher fencing token.
        fenced: bool,
    }
    let cases = [
        Case {
            what: "answered",
            answer: Ok(()),
            fenced: false,
        },
        Case {
            what: "not answered: it may be carried out later",
            answer: Err(CallError::Unanswered),
            fenced: true,
        },
        Case {
            what: "not sent",
            answer: Err(CallError::Unreachable),
            fenced: false,
        },
    ];
    let best_effort = run(2, 0, 0, 1);
    let order = |cpu_share| {
        let order = OrderMessage::Throttle {
            run: best_effort,
            cpu_share,
        };
        AgentInput::OwnerMessage(OwnerLink(1), order)
    };
    for case in cases {
        let mut agent = TestAgent::ready();
        start(&mut agent, best_effort, 0);
        list(&mut agent, vec![status(best_effort, 0)]);
        let out = agent.step(order(0));
        let first = throttle_call(&out).expect("a call");
        let out = agent.step(order(100));
        assert_eq!(changes(&out), [], "{}", case.what);
        let mut out = agent.step(AgentInput::ThrottleAnswered {
            call: first,
            answer: case.answer,
        });
        out.extend(list(&mut agent, vec![status(best_effort, 0)]));
        assert_eq!(changes(&out), [(best_effort, 100)], "{}", case.what);
        let next = throttle_call(&out).expect("a call");
        let fenced = next.fencing_token > first.fencing_token;
        assert_eq!(fenced, case.fenced, "{}", case.what);
    }
}
