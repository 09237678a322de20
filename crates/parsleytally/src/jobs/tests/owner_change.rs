//! What a new owner concludes of agents whose runs it does not know yet.

use super::scheduler::{Bench, starts};
use super::*;

/// Time after which runs of the predecessor have ended on an agent that is not linked.
const PREDECESSOR_HOLD_MS: u64 = 12_500;

/// Guards against tasks that run twice: a new owner waited for the hold of its predecessor only, though its
/// own answers had extended the hold of an agent that had not listed its runs.
#[test]
fn tasks_wait_while_the_own_hold_of_an_unlisted_agent_lasts() {
    struct Case {
        what: &'static str,
        /// What happens to the link just before the predecessor's hold has passed.
        link: Vec<Input>,
        /// Whether the task may start once that hold has passed.
        starts: bool,
    }
    let linked = || Input::Linked(node(1));
    let cases = [
        Case {
            what: "never linked",
            link: vec![],
            starts: true,
        },
        Case {
            what: "linked, and not listed yet",
            link: vec![linked()],
            starts: false,
        },
        Case {
            what: "linked and lost again",
            link: vec![linked(), Input::Unlinked(node(1))],
            starts: false,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.join(0, report(0, 7));
        bench.feed(Input::Expected(node(1)));
        bench.submit(1, job(vec![step(1, &[])]), 5);
        let before = bench.wait(PREDECESSOR_HOLD_MS - 1_500);
        assert_eq!(starts(&before), [], "{}", case.what);
        for input in case.link {
            bench.feed(input);
        }
        let after = bench.wait(2_000);
        assert_eq!(!starts(&after).is_empty(), case.starts, "{}", case.what);
    }
}

/// Guards against a worker that stays unused: its agent could not tell the owner that it answers again, since
/// the owner was to take the listing anew.
#[test]
fn a_worker_whose_runs_are_listed_responds() {
    let mut bench = Bench::with_workers(1);
    bench.agent(0, AgentMessage::Unresponsive(true));
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    assert_eq!(starts(&out), []);
    let mut out = bench.agent(0, AgentMessage::Report(report(0, 7)));
    out.extend(bench.list(0, vec![]));
    out.extend(bench.wait(100));
    assert_eq!(starts(&out).len(), 1, "{out:?}");
}

/// Guards against work that is done again: the checkpoint of a run that no task needs replaced that of the
/// present run.
#[test]
fn a_checkpoint_of_a_run_that_no_task_needs_is_not_used() {
    let mut bench = Bench::with_workers(2);
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    let (name, present) = starts(&out)[0].clone();
    let at = usize::from(name == node(1));
    let status = |run, checkpoint: &str| RunStatus {
        run,
        checkpoint: checkpoint.to_owned(),
        percent: 50,
        measurement: 0,
    };
    bench.agent(at, AgentMessage::Measurements(vec![status(present, "new")]));
    let orphan = RunRef {
        run: present.run + 1,
        ..present
    };
    bench.agent(
        1 - at,
        AgentMessage::Measurements(vec![status(orphan, "old")]),
    );
    let mut out = bench.agent(at, AgentMessage::Missing(present));
    out.extend(bench.wait(100));
    let checkpoint = out.iter().find_map(|output| match output {
        Output::Order(_, OrderMessage::Start(order)) => Some(order.checkpoint.clone()),
        _ => None,
    });
    assert_eq!(checkpoint.as_deref(), Some("new"), "{out:?}");
}
