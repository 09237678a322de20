//! What clients are told of jobs before and after a worker has begun a task of theirs.

use super::agent::{TestAgent, sent, start_token};
use super::scheduler::{Bench, starts};
use super::*;

const RUN: RunRef = RunRef {
    task: TaskId {
        job: JobId(1),
        round: 0,
        step: 0,
        index: 0,
    },
    run: 1,
};

fn refused(reason: RefusalReason) -> Vec<AgentMessage> {
    vec![AgentMessage::Refused { run: RUN, reason }]
}

fn ended(reason: EndReason) -> Vec<AgentMessage> {
    let end = EndedRun {
        sequence: 1,
        run: RUN,
        reason,
        checkpoint: String::new(),
    };
    vec![AgentMessage::Ended {
        incarnation: incarnation(0, 7),
        ended: vec![end],
    }]
}

fn crashed(seen_ms: Option<u64>) -> Vec<AgentMessage> {
    let lost = CrashedRun { run: RUN, seen_ms };
    vec![AgentMessage::Crashed(WorkerCrash {
        incarnation: incarnation(0, 7),
        runs: vec![lost],
    })]
}

fn status() -> RunStatus {
    RunStatus {
        run: RUN,
        checkpoint: String::new(),
        percent: 0,
        measurement: 0,
    }
}

fn listed(running: Vec<RunStatus>) -> Vec<AgentMessage> {
    vec![AgentMessage::Listed {
        incarnation: incarnation(0, 7),
        running,
        ended: vec![],
    }]
}

/// Guards against jobs that are shown as running and left out of `pending`, though no worker has
/// begun a task of theirs.
#[test]
fn a_job_is_pending_until_a_worker_has_begun_a_task() {
    struct Case {
        name: &'static str,
        messages: Vec<AgentMessage>,
        begun: bool,
    }
    let case = |name, messages, begun| Case {
        name,
        messages,
        begun,
    };
    let cases = [
        case("no answer yet", vec![], false),
        case("unwell", refused(RefusalReason::Unwell), false),
        case("no room", refused(RefusalReason::Room), false),
        case("not started", refused(RefusalReason::Unanswered), false),
        case("not listed", listed(vec![]), false),
        case("crash before the answer", crashed(None), false),
        case("started", vec![AgentMessage::Started(RUN)], true),
        case("listed", listed(vec![status()]), true),
        case(
            "measured",
            vec![AgentMessage::Measurements(vec![status()])],
            true,
        ),
        case("failed", ended(EndReason::Failed), true),
        case("stopped", ended(EndReason::Stopped), true),
        case("done, not saved", ended(EndReason::Done), true),
        case("crash", crashed(Some(5)), true),
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        let out = bench.submit(1, job(vec![step(1, &[])]), 11);
        assert_eq!(starts(&out), [(node(0), RUN)], "{}", case.name);
        for message in case.messages {
            bench.agent(0, message);
        }
        let (state, pending) = if case.begun {
            (JobState::Running, 0)
        } else {
            (JobState::Queued, 1)
        };
        let scheduler = &bench.scheduler;
        assert_eq!(scheduler.state(JobId(1)), Some(state), "{}", case.name);
        let told = scheduler.pending(&QueueName("q".into()));
        assert_eq!(told, pending, "{}", case.name);
    }
}

/// Guards against gangs that are shown as running, though not all of their members have room.
#[test]
fn a_gang_without_room_is_pending() {
    let mut bench = Bench::with_workers(1);
    let gang = StepSpec {
        gang: true,
        ..step(9, &[])
    };
    assert_eq!(starts(&bench.submit(1, job(vec![gang]), 11)), []);
    assert_eq!(bench.scheduler.state(JobId(1)), Some(JobState::Queued));
    assert_eq!(bench.scheduler.pending(&QueueName("q".into())), 1);
}

/// Guards against jobs that are shown as queued for as long as the worker's next poll takes, and
/// against starts that are reported before the worker has answered them.
#[test]
fn an_agent_reports_a_start_once_the_worker_has_answered_it() {
    let refused = Err(CallError::Refused(RefusalReason::Unwell));
    let answers = [Ok(()), refused, Err(CallError::Unanswered)];
    for answer in answers {
        let mut agent = TestAgent::ready();
        let started = AgentMessage::Started(RUN);
        let out = agent.start(RUN);
        assert!(!sent(&out, &started));
        let fencing_token = start_token(&out).expect("a start call");
        let out = agent.step(AgentInput::StartAnswered {
            run: RUN,
            fencing_token,
            answer,
        });
        assert_eq!(sent(&out, &started), answer.is_ok(), "{answer:?}");
    }
}
