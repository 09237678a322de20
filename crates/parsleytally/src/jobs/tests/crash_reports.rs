//! What an agent reports of crashes of its worker.

use std::time::Duration;

use super::agent::TestAgent;
use super::*;

const TOKEN: u64 = 1 << 32;
/// Longest time until all leases of a silent worker have expired, in milliseconds.
const EXPIRY_MS: u64 = 6_000;

/// Crashes that the agent tells its owner of, each with its runs and for how long they were seen.
fn crashes(out: &[AgentOutput]) -> Vec<Vec<(RunRef, Option<u64>)>> {
    let crash = |output: &AgentOutput| match output {
        AgentOutput::Send(AgentMessage::Crashed(crash)) => {
            let runs = crash.runs.iter().map(|lost| (lost.run, lost.seen_ms));
            Some(runs.collect())
        }
        _ => None,
    };
    out.iter().filter_map(crash).collect()
}

/// An agent whose worker runs a task, seen for a second, and has not answered the start of
/// another one.
fn agent_with_runs() -> TestAgent {
    let mut agent = TestAgent::ready();
    let seen = run(1, 0, 0, 1);
    agent.start(seen);
    agent.step(AgentInput::StartAnswered {
        run: seen,
        fencing_token: TOKEN,
        answer: Ok(()),
    });
    agent.confirm_owner(Duration::ZERO);
    agent.advance(1_000);
    agent.list(vec![seen], vec![]);
    agent.start(run(2, 0, 0, 1));
    agent
}

/// The worker answers as the incarnation that started at `born`, until the agent uses it.
fn answer_as(agent: &mut TestAgent, born: u64) -> Vec<AgentOutput> {
    agent.step(reported(report(0, born)));
    let mut out = Vec::new();
    // A lease that was meant for the earlier incarnation has to end first.
    for _ in 0..20 {
        agent.confirm_owner(Duration::ZERO);
        out.extend(agent.advance(500));
        let call = agent.next_poll();
        out.extend(agent.answer_poll_as(born, call));
    }
    out
}

/// Guards against a crash that nobody learns of, and against runs that are blamed though the worker
/// had announced its end, or was only silent.
#[test]
fn an_agent_reports_the_runs_of_a_worker_that_crashed() {
    struct Case {
        what: &'static str,
        before: fn(&mut TestAgent),
        born: u64,
        runs: Option<Vec<(RunRef, Option<u64>)>>,
    }
    let lost = || {
        Some(vec![
            (run(1, 0, 0, 1), Some(1_000)),
            (run(2, 0, 0, 1), None),
        ])
    };
    let go_silent = |agent: &mut TestAgent| {
        for _ in 0..EXPIRY_MS / 50 {
            agent.confirm_owner(Duration::ZERO);
            agent.advance(50);
            if let Some(call) = agent.polls.pop() {
                agent.fail_poll(call);
            }
        }
    };
    let cases = [
        Case {
            what: "it starts again",
            before: |_| {},
            born: 8,
            runs: lost(),
        },
        Case {
            what: "it starts again after its leases have expired",
            before: go_silent,
            born: 8,
            runs: lost(),
        },
        Case {
            what: "it was only silent",
            before: go_silent,
            born: 7,
            runs: None,
        },
        Case {
            what: "it drained",
            before: |agent| {
                let mut draining = report(0, 7);
                draining.state = WorkerState::Draining { remaining_ms: 100 };
                agent.step(reported(draining));
            },
            born: 8,
            runs: None,
        },
        Case {
            what: "it gave notice",
            before: |agent| {
                agent.step(AgentInput::ShutdownNotice("i-0".into()));
            },
            born: 8,
            runs: None,
        },
    ];
    for case in cases {
        let mut agent = agent_with_runs();
        (case.before)(&mut agent);
        let out = answer_as(&mut agent, case.born);
        let expected: Vec<_> = case.runs.into_iter().collect();
        assert_eq!(crashes(&out), expected, "{}", case.what);
    }
}

/// Guards against a crash that is forgotten with the owner that was told of it.
#[test]
fn a_crash_is_repeated_to_each_owner_until_it_is_stored() {
    let mut agent = agent_with_runs();
    assert_eq!(crashes(&answer_as(&mut agent, 8)).len(), 1);
    assert_eq!(crashes(&agent.connect_owner(2, 2 * TOKEN)).len(), 1);
    let stored = OrderMessage::AcknowledgeCrash {
        incarnation: incarnation(0, 7),
    };
    agent.step(AgentInput::OwnerMessage(OwnerLink(2), stored));
    assert_eq!(crashes(&agent.connect_owner(3, 3 * TOKEN)).len(), 0);
}
