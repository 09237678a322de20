//! What agents tell a new owner without asking their workers, and what waits for it.

use std::time::Duration;

use super::agent::TestAgent;
use super::held_back::default_times;
use super::scheduler::{Bench, starts};
use super::*;
use crate::types::Revision;

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 150;
/// Time within which a job with nothing running starts, by the platform's page.
const IDLE_BOUND_MS: u64 = 3_000;
/// Time after which the last lease of a worker has certainly expired, in milliseconds.
const LEASES_MS: u64 = 20_000;
/// The hold of agents that never list their runs, in milliseconds.
const HOLD_MS: u64 = 8_400;

/// A new owner that expects the agents of `workers` workers.
fn successor(workers: usize) -> Bench {
    let mut bench = Bench::with_options(SchedulerOptions {
        epoch: 1,
        ..default_times()
    });
    for at in 0..workers {
        inform(&mut bench, Input::Expected(node(at)));
    }
    bench
}

/// An input that takes no time; nothing is decided.
fn inform(bench: &mut Bench, input: Input) {
    bench.scheduler.step(bench.now, 0, input, &mut Vec::new());
}

/// Links the agent of worker `at`, which reports its worker.
fn link(bench: &mut Bench, at: usize) {
    inform(bench, Input::Linked(node(at)));
    let report = AgentMessage::Report(report(at, 7));
    inform(bench, Input::Agent(node(at), report));
}

/// Links the agent of worker `at`, which tells that it may run `runs`.
fn link_knowing(bench: &mut Bench, at: usize, runs: Vec<RunRef>) {
    link(bench, at);
    inform(bench, Input::Agent(node(at), AgentMessage::MayRun(runs)));
}

/// Links the agent of worker `at`, which lists no runs.
fn link_listed(bench: &mut Bench, at: usize) {
    link(bench, at);
    inform(bench, Input::Agent(node(at), listed(at, vec![], vec![])));
}

fn listed(at: usize, running: Vec<RunRef>, ended: Vec<EndedRun>) -> AgentMessage {
    let status = |run| RunStatus {
        run,
        checkpoint: String::new(),
        percent: 10,
        measurement: 0,
    };
    AgentMessage::Listed {
        incarnation: incarnation(at, 7),
        running: running.into_iter().map(status).collect(),
        ended,
    }
}

fn ended(run: RunRef, reason: EndReason) -> EndedRun {
    EndedRun {
        sequence: 1,
        run,
        reason,
        checkpoint: String::new(),
    }
}

/// Ticks once; returns the runs that are started.
fn tick(bench: &mut Bench) -> Vec<RunRef> {
    bench.now = bench.now.after(Duration::from_millis(TICK_MS));
    let mut out = bench.feed(Input::Confirmed(bench.now));
    out.extend(bench.feed(Input::Tick));
    bench.begin(&out);
    starts(&out).into_iter().map(|(_, run)| run).collect()
}

/// Tasks that start within `millis`, each with the time in milliseconds.
fn started_within(bench: &mut Bench, millis: u64) -> Vec<(u64, TaskId)> {
    let begin = bench.now;
    let mut found = Vec::new();
    loop {
        let runs = tick(bench);
        let time = bench.now.since(begin).as_millis() as u64;
        found.extend(runs.into_iter().map(|run| (time, run.task)));
        if time >= millis {
            return found;
        }
    }
}

/// Guards against LOST: agents that live beside dead workers held back the old jobs of all other workers until the leases there had
/// expired, or for the whole hold.
#[test]
fn agents_beside_dead_workers_hold_back_only_what_they_may_run() {
    const SOUND: usize = 60;
    const DEAD: usize = 9;
    let mut bench = successor(SOUND + DEAD);
    bench.submit(1, job(vec![step(SOUND as u32, &[])]), 5);
    bench.submit(2, job(vec![step(DEAD as u32, &[])]), 6);
    for at in 0..SOUND {
        link_listed(&mut bench, at);
    }
    for at in 0..DEAD {
        link_knowing(&mut bench, SOUND + at, vec![run(2, 0, at as u32, 1)]);
    }
    let started = started_within(&mut bench, HOLD_MS - 4 * TICK_MS);
    let tasks_of = |job| {
        started
            .iter()
            .filter(move |(_, task)| task.job == JobId(job))
    };
    assert_eq!(tasks_of(1).count(), SOUND, "tasks that nobody named");
    let last = tasks_of(1).map(|(time, _)| *time).max();
    assert!(last <= Some(IDLE_BOUND_MS), "{last:?} ms");
    assert_eq!(tasks_of(2).count(), 0, "named tasks: {started:?}");
    inform(
        &mut bench,
        Input::Agent(node(SOUND), AgentMessage::LeasesExpired),
    );
    let started = started_within(&mut bench, 2 * TICK_MS);
    assert_eq!(
        started.len(),
        1,
        "the leases of one worker have expired: {started:?}"
    );
    let started = started_within(&mut bench, 10 * TICK_MS);
    assert_eq!(started.len(), DEAD - 1, "the hold has passed: {started:?}");
}

/// Guards against tasks that run twice, or never: a named task must wait until its run is settled, and no longer.
#[test]
fn a_named_task_waits_until_its_run_is_settled() {
    struct Case {
        what: &'static str,
        message: fn(RunRef) -> AgentMessage,
        starts: bool,
        state: JobState,
    }
    let cases = [
        Case {
            what: "it runs",
            message: |run| listed(0, vec![run], vec![]),
            starts: false,
            state: JobState::Running,
        },
        Case {
            what: "it has ended, unacknowledged",
            message: |run| listed(0, vec![], vec![ended(run, EndReason::Done)]),
            starts: false,
            state: JobState::Running,
        },
        Case {
            what: "it has failed, unacknowledged",
            message: |run| listed(0, vec![], vec![ended(run, EndReason::Failed)]),
            starts: true,
            state: JobState::Running,
        },
        Case {
            what: "it never started",
            message: |_| listed(0, vec![], vec![]),
            starts: true,
            state: JobState::Running,
        },
        Case {
            what: "its leases have expired",
            message: |_| AgentMessage::LeasesExpired,
            starts: true,
            state: JobState::Running,
        },
        Case {
            what: "an end that another may follow",
            message: |run| AgentMessage::Ended {
                incarnation: incarnation(0, 7),
                ended: vec![ended(run, EndReason::Failed)],
            },
            starts: false,
            state: JobState::Running,
        },
    ];
    for case in cases {
        let mut bench = successor(2);
        bench.submit(1, job(vec![step(1, &[])]), 5);
        let named = run(1, 0, 0, 1);
        link_knowing(&mut bench, 0, vec![named]);
        link_listed(&mut bench, 1);
        assert_eq!(started_within(&mut bench, 1_500), [], "{}", case.what);
        inform(&mut bench, Input::Agent(node(0), (case.message)(named)));
        let started = tick(&mut bench);
        assert_eq!(!started.is_empty(), case.starts, "{}", case.what);
        assert_eq!(
            bench.scheduler.state(JobId(1)),
            Some(case.state),
            "{}",
            case.what
        );
    }
}

/// Guards against tasks that run twice: a task that several agents may run waits for all of them, and what an
/// agent named on an earlier link counts until it tells otherwise.
#[test]
fn a_task_waits_for_each_agent_that_may_run_it() {
    let mut bench = successor(3);
    bench.submit(1, job(vec![step(2, &[])]), 5);
    link_listed(&mut bench, 2);
    link_knowing(&mut bench, 0, vec![run(1, 0, 0, 1)]);
    link_knowing(&mut bench, 1, vec![run(1, 0, 0, 2), run(1, 0, 1, 1)]);
    assert_eq!(started_within(&mut bench, 300), []);
    inform(&mut bench, Input::Agent(node(0), listed(0, vec![], vec![])));
    inform(&mut bench, Input::Unlinked(node(1)));
    link(&mut bench, 1);
    assert_eq!(
        started_within(&mut bench, 300),
        [],
        "named on the earlier link"
    );
    inform(
        &mut bench,
        Input::Agent(node(1), AgentMessage::MayRun(vec![run(1, 0, 0, 2)])),
    );
    let started = started_within(&mut bench, 300);
    let tasks: Vec<TaskId> = started.iter().map(|(_, task)| *task).collect();
    assert_eq!(tasks, [run(1, 0, 1, 1).task]);
}

/// Guards against a gang that runs twice: one member of it may still run.
#[test]
fn a_gang_waits_for_the_run_of_one_member() {
    let mut bench = successor(3);
    let gang = StepSpec {
        gang: true,
        ..step(2, &[])
    };
    bench.submit(1, job(vec![gang]), 5);
    link_knowing(&mut bench, 0, vec![run(1, 0, 1, 1)]);
    link_listed(&mut bench, 1);
    link_listed(&mut bench, 2);
    assert_eq!(started_within(&mut bench, 1_500), []);
    inform(
        &mut bench,
        Input::Agent(node(0), AgentMessage::LeasesExpired),
    );
    assert_eq!(started_within(&mut bench, 300).len(), 2);
}

/// Guards against tasks that run twice: names of agents that have listed their runs, or that were never expected, change
/// nothing, and an agent that names none holds back all old jobs.
#[test]
fn all_old_jobs_wait_for_an_agent_that_names_no_runs() {
    let mut bench = successor(3);
    bench.submit(1, job(vec![step(1, &[])]), 5);
    link(&mut bench, 0);
    link_listed(&mut bench, 1);
    link_knowing(&mut bench, 2, vec![]);
    inform(
        &mut bench,
        Input::Agent(node(1), AgentMessage::MayRun(vec![])),
    );
    assert_eq!(started_within(&mut bench, 3_000), []);
    inform(
        &mut bench,
        Input::Agent(node(0), AgentMessage::MayRun(vec![])),
    );
    assert_eq!(started_within(&mut bench, 300).len(), 1);
}

/// Guards against a search in the wrong place: a wait named the agent that was expected for longest, whatever it might run.
#[test]
fn a_wait_names_the_agent_that_may_run_the_task() {
    let mut bench = successor(3);
    bench.submit(1, job(vec![step(1, &[])]), 5);
    link_listed(&mut bench, 2);
    link_knowing(&mut bench, 0, vec![run(9, 0, 0, 1)]);
    link_knowing(&mut bench, 1, vec![run(1, 0, 0, 1)]);
    let mut evidence = Vec::new();
    for _ in 0..10 {
        let out = bench.wait(TICK_MS);
        evidence.extend(out.into_iter().filter_map(|output| match output {
            Output::Waiting(evidence) => Some(evidence),
            _ => None,
        }));
    }
    let [found] = evidence.as_slice() else {
        panic!("one wait: {evidence:?}");
    };
    assert_eq!(found.reason, WaitReason::Unreported);
    let Some(WaitHolder::Agent {
        node: named,
        agents,
        lacks,
        ..
    }) = &found.holder
    else {
        panic!("an agent: {found:?}");
    };
    assert_eq!(
        (named, *agents, *lacks),
        (&node(1), 1, MissingStep::Listing)
    );
}

/// Guards against a task that starts after its end is acknowledged: the start of its next run, which the predecessor had
/// ordered, was still on its way to another worker.
#[test]
fn an_end_is_not_acknowledged_while_another_agent_may_run_its_task() {
    let mut bench = successor(2);
    let done = JobProgress {
        state: JobState::Running,
        steps: vec![StepProgress {
            done_ranges: vec![(0, 0)],
            ..StepProgress::default()
        }],
    };
    inform(
        &mut bench,
        Input::Job {
            id: JobId(1),
            record: job(vec![step(2, &[])]),
            accepted: Revision(5),
            progress: Some(done),
        },
    );
    link_knowing(&mut bench, 0, vec![run(1, 0, 0, 1)]);
    link_knowing(&mut bench, 1, vec![run(1, 0, 0, 2)]);
    let is_acknowledged = |out: &[Output]| {
        let is_ack = |order: &Output| {
            matches!(
                order,
                Output::Order(_, OrderMessage::AcknowledgeEnds { .. })
            )
        };
        out.iter().any(is_ack)
    };
    let ended = vec![ended(run(1, 0, 0, 1), EndReason::Done)];
    let saved = Input::Saved {
        job: JobId(1),
        version: u64::MAX,
    };
    let mut out = bench.agent(0, listed(0, vec![], ended));
    out.extend(bench.feed(saved));
    out.extend(bench.wait(1_500));
    assert!(!is_acknowledged(&out), "{out:?}");
    let out = bench.agent(1, listed(1, vec![], vec![]));
    assert!(is_acknowledged(&out), "{out:?}");
}

/// What an agent tells the next owner at once; none if it tells nothing.
fn told(agent: &mut TestAgent) -> Option<Vec<RunRef>> {
    let out = agent.connect_owner(2, 1 << 40);
    out.into_iter().find_map(|output| match output {
        AgentOutput::Send(AgentMessage::MayRun(runs)) => Some(runs),
        _ => None,
    })
}

const FIRST: RunRef = RunRef {
    task: TaskId {
        job: JobId(1),
        round: 0,
        step: 0,
        index: 0,
    },
    run: 1,
};

/// An agent whose run was ordered and whose call was answered.
fn running() -> TestAgent {
    let mut agent = TestAgent::ready();
    agent.start(FIRST);
    agent.list(vec![FIRST], vec![]);
    agent
}

fn with_end() -> TestAgent {
    let mut agent = running();
    agent.list(vec![], vec![ended(FIRST, EndReason::Done)]);
    agent
}

/// An empty listing by the incarnation that started at `born`, with entries that name no run.
fn empty_listing(agent: &TestAgent, born: u64, unnamed: usize) -> Listing {
    Listing {
        born,
        clock_ms: agent.now.as_micros() / 1_000,
        running: vec![],
        ended: vec![],
        complete: true,
        unnamed,
    }
}

/// Answers a poll as the incarnation that started at `born`, with entries that name no run.
fn odd_answer(agent: &mut TestAgent, born: u64, unnamed: usize) {
    let call = agent.next_poll();
    let answer = Ok(empty_listing(agent, born, unnamed));
    agent.step(AgentInput::Polled { call, answer });
}

/// Answers a poll with a part of the runs that lacks all.
fn incomplete_answer(agent: &mut TestAgent) {
    let call = agent.next_poll();
    let complete = false;
    let answer = Ok(Listing {
        complete,
        ..empty_listing(agent, 7, 0)
    });
    agent.step(AgentInput::Polled { call, answer });
}

/// Guards against tasks that run twice: an agent that left out a run, or that told of runs without knowing them all.
#[test]
fn an_agent_tells_a_new_owner_all_that_may_run_or_nothing() {
    struct Case {
        what: &'static str,
        agent: fn() -> TestAgent,
        told: Option<Vec<RunRef>>,
    }
    let cases = [
        Case {
            what: "it has just started",
            agent: || {
                let mut agent = TestAgent::new();
                agent.step(reported(report(0, 7)));
                agent
            },
            told: None,
        },
        Case {
            what: "it has an owner, and no listing yet",
            agent: || {
                let mut agent = TestAgent::new();
                agent.step(reported(report(0, 7)));
                agent.connect_owner(1, 1 << 32);
                agent.confirm_owner(Duration::ZERO);
                agent
            },
            told: None,
        },
        Case {
            what: "no runs",
            agent: TestAgent::ready,
            told: Some(vec![]),
        },
        Case {
            what: "a start is on its way",
            agent: || {
                let mut agent = TestAgent::ready();
                agent.start(FIRST);
                agent
            },
            told: Some(vec![FIRST]),
        },
        Case {
            what: "a run goes on while the worker answers no more",
            agent: || {
                let mut agent = running();
                let call = agent.next_poll();
                agent.fail_poll(call);
                agent
            },
            told: Some(vec![FIRST]),
        },
        Case {
            what: "a run that an earlier process ordered",
            agent: || {
                let mut agent = TestAgent::new();
                agent.step(reported(report(0, 7)));
                agent.connect_owner(1, 1 << 32);
                agent.confirm_owner(Duration::ZERO);
                agent.list(vec![FIRST], vec![]);
                agent
            },
            told: Some(vec![FIRST]),
        },
        Case {
            what: "a run has ended, unacknowledged",
            agent: with_end,
            told: Some(vec![FIRST]),
        },
        Case {
            what: "the same, and the owner is lost for a while",
            agent: || {
                let mut agent = with_end();
                agent.step(AgentInput::OwnerLost(OwnerLink(1)));
                agent.advance(2_000);
                agent
            },
            told: Some(vec![FIRST]),
        },
        Case {
            what: "the same, and an incomplete listing lacks the end",
            agent: || {
                let mut agent = with_end();
                incomplete_answer(&mut agent);
                agent
            },
            told: Some(vec![FIRST]),
        },
        Case {
            what: "no owner and no runs, for longer than the leases",
            agent: || {
                let mut agent = TestAgent::ready();
                agent.step(AgentInput::OwnerLost(OwnerLink(1)));
                agent.advance(LEASES_MS);
                agent
            },
            told: None,
        },
        Case {
            what: "the end is acknowledged, and the worker has dropped it",
            agent: || {
                let mut agent = with_end();
                let acknowledgement = OrderMessage::AcknowledgeEnds {
                    incarnation: incarnation(0, 7),
                    sequence: 1,
                };
                agent.step(AgentInput::OwnerMessage(OwnerLink(1), acknowledgement));
                agent.list(vec![], vec![]);
                agent
            },
            told: Some(vec![]),
        },
        Case {
            what: "entries are in doubt",
            agent: || {
                let mut agent = running();
                odd_answer(&mut agent, 7, 1);
                agent
            },
            told: None,
        },
        Case {
            what: "another incarnation answers",
            agent: || {
                let mut agent = running();
                odd_answer(&mut agent, 8, 0);
                agent
            },
            told: None,
        },
        Case {
            what: "someone else has given the worker orders",
            agent: || {
                let mut agent = running();
                let call = agent.next_poll();
                let answer = Err(CallError::Refused(RefusalReason::Fenced));
                agent.step(AgentInput::Polled { call, answer });
                agent
            },
            told: None,
        },
    ];
    for case in cases {
        let mut agent = (case.agent)();
        assert_eq!(told(&mut agent), case.told, "{}", case.what);
    }
}

/// Guards against tasks that run twice: an order of the owner before, still on its way, was carried out after the agent had
/// told the next owner what may run.
#[test]
fn an_order_of_the_owner_before_is_not_carried_out_once_another_was_told() {
    let mut agent = TestAgent::ready();
    assert_eq!(told(&mut agent), Some(vec![]));
    let out = agent.start(FIRST);
    let starts = |output: &AgentOutput| matches!(output, AgentOutput::Start(_));
    assert!(!out.iter().any(starts), "{out:?}");
}
