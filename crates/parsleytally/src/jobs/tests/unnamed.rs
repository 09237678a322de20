//! Listings with entries in which no run can be read.

use std::ops::Range;

use super::agent::{TestAgent, sent};
use super::*;

fn answer(
    agent: &mut TestAgent,
    born: u64,
    running: &[RunRef],
    unnamed: usize,
) -> Vec<AgentOutput> {
    let call = agent.next_poll();
    let status = |run: &RunRef| RunStatus {
        run: *run,
        checkpoint: String::new(),
        percent: 10,
        measurement: 0,
    };
    let answer = Ok(Listing {
        born,
        clock_ms: agent.now.as_micros() / 1_000,
        running: running.iter().map(status).collect(),
        ended: vec![],
        complete: true,
        unnamed,
    });
    agent.step(AgentInput::Polled { call, answer })
}

/// Answers polls alike until the agent sends a message; returns the seconds until then.
fn time_until(
    agent: &mut TestAgent,
    (born, unnamed): (u64, usize),
    is_meant: impl Fn(&AgentMessage) -> bool,
) -> f64 {
    let began = agent.now;
    for polls in 0..200 {
        let out = answer(agent, born, &[], unnamed);
        let seconds = agent.now.since(began).as_secs_f64();
        assert!(
            f64::from(polls) <= 20.0 * seconds + 5.0,
            "{polls} polls in {seconds} s"
        );
        let mut messages = out.iter().filter_map(|output| match output {
            AgentOutput::Send(message) => Some(message),
            _ => None,
        });
        if messages.any(&is_meant) {
            return seconds;
        }
        agent.confirm_owner(std::time::Duration::ZERO);
        agent.advance(50);
    }
    f64::INFINITY
}

/// Guards against tasks that run twice or never again: an entry that names no run made each
/// listing useless, and may hide the run that is absent.
#[test]
fn a_run_is_missing_beside_an_unnamed_entry_only_if_that_is_another() {
    struct Case {
        what: &'static str,
        /// Entries without a run before the start, with the run, and without it.
        unnamed: [usize; 3],
        /// Seconds until the run counts as missing.
        wait: Range<f64>,
    }
    let cases = [
        Case {
            what: "no such entry",
            unnamed: [0, 0, 0],
            wait: 0.0..1.0,
        },
        Case {
            what: "an entry from before the start",
            unnamed: [1, 1, 1],
            wait: 0.0..1.0,
        },
        Case {
            what: "an entry that appeared beside the run",
            unnamed: [0, 1, 1],
            wait: 0.0..1.0,
        },
        Case {
            what: "an entry in place of the run",
            unnamed: [0, 0, 1],
            wait: 4.0..9.0,
        },
        Case {
            what: "a second entry in place of the run",
            unnamed: [1, 1, 2],
            wait: 4.0..9.0,
        },
    ];
    for case in cases {
        let mut agent = TestAgent::ready();
        answer(&mut agent, 7, &[], case.unnamed[0]);
        let order = run(1, 0, 0, 1);
        agent.start(order);
        for _ in 0..3 {
            answer(&mut agent, 7, &[order], case.unnamed[1]);
            agent.advance(200);
        }
        let missing = |message: &AgentMessage| *message == AgentMessage::Missing(order);
        let wait = time_until(&mut agent, (7, case.unnamed[2]), missing);
        assert!(case.wait.contains(&wait), "{}: {wait} s", case.what);
    }
}

/// Guards against a worker that gets no starts for ever, and against an owner that takes a hidden
/// run for absent: the agent knows no runs yet.
#[test]
fn the_first_listing_with_an_unnamed_entry_waits_for_the_end_of_the_leases() {
    let mut agent = TestAgent::new();
    agent.step(reported(report(0, 7)));
    agent.connect_owner(1, 1 << 32);
    agent.confirm_owner(std::time::Duration::ZERO);
    let listed = |message: &AgentMessage| matches!(message, AgentMessage::Listed { .. });
    let wait = time_until(&mut agent, (7, 1), listed);
    assert!((4.0..9.0).contains(&wait), "{wait} s");
    let next = run(2, 0, 0, 1);
    let started = |output: &AgentOutput| matches!(output, AgentOutput::Start(_));
    assert!(agent.start(next).iter().any(started));
}

/// Guards against tasks that run twice: an entry of a new incarnation may be a run that was
/// ordered from the earlier one.
#[test]
fn a_new_incarnation_with_an_unnamed_entry_is_used_after_the_longest_lease() {
    for (unnamed, wait) in [(0, 0.0..2.0), (1, 10.0..14.0)] {
        let order = run(1, 0, 0, 1);
        let mut agent = TestAgent::ready();
        agent.start(order);
        answer(&mut agent, 7, &[order], 0);
        agent.step(reported(report(0, 8)));
        let missing = |message: &AgentMessage| *message == AgentMessage::Missing(order);
        let found = time_until(&mut agent, (8, unnamed), missing);
        assert!(wait.contains(&found), "{unnamed} entries: {found} s");
    }
}

/// Guards against a number of the worker that ends the agent.
#[test]
fn extreme_numbers_of_a_listing_are_harmless() {
    for number in [0, 1 << 40, u64::MAX] {
        let mut agent = TestAgent::ready();
        let order = run(u64::MAX, u16::MAX, u32::MAX, u32::MAX);
        for _ in 0..5 {
            let call = agent.next_poll();
            let answer = Ok(Listing {
                born: 7,
                clock_ms: number,
                running: vec![RunStatus {
                    run: order,
                    checkpoint: String::new(),
                    percent: u32::MAX,
                    measurement: number,
                }],
                ended: vec![],
                complete: true,
                unnamed: usize::MAX,
            });
            agent.step(AgentInput::Polled { call, answer });
            agent.advance(1_000);
        }
        assert!(!sent(&agent.advance(10), &AgentMessage::Missing(order)));
    }
}
