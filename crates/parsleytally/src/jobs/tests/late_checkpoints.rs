//! Checkpoints of runs that their task no longer counts.

use super::scheduler::{Bench, starts};
use super::*;

/// How the checkpoint of an earlier run arrives.
#[derive(Debug, Clone, Copy)]
enum Late {
    Ended,
    Measured,
}

/// Guards against work that is done twice: an agent that was lost reports its run after a later
/// one has saved more, and the task resumed from the earlier checkpoint.
#[test]
fn a_task_resumes_from_the_checkpoint_of_its_latest_run() {
    for late in [Late::Ended, Late::Measured] {
        let mut bench = Bench::with_workers(1);
        let first = starts(&bench.submit(1, job(vec![step(1, &[])]), 11))[0].1;
        bench.feed(Input::Unlinked(node(0)));
        bench.join(1, report(1, 7));
        let second = starts(&bench.wait(6_000))[0].1;
        assert_ne!(first, second, "the hold of the lost agent has passed");
        bench.agent(1, measured(second, "later"));
        bench.join(0, report(0, 7));
        match late {
            Late::Ended => drop(bench.agent(0, ended(first, "earlier"))),
            Late::Measured => drop(bench.agent(0, measured(first, "earlier"))),
        }
        let out = bench.agent(1, AgentMessage::LeasesExpired);
        assert_eq!(checkpoints(&out), ["later"], "{late:?}: {out:?}");
    }
}

/// Guards against an end that is listed late and is the only one with a checkpoint.
#[test]
fn the_checkpoint_of_a_run_without_a_successor_is_kept() {
    let mut bench = Bench::with_workers(1);
    let first = starts(&bench.submit(1, job(vec![step(1, &[])]), 11))[0].1;
    bench.feed(Input::Unlinked(node(0)));
    bench.wait(6_000);
    bench.feed(Input::Linked(node(0)));
    bench.agent(0, AgentMessage::Report(report(0, 7)));
    let listed = AgentMessage::Listed {
        incarnation: incarnation(0, 7),
        running: vec![],
        ended: vec![end(first, "saved")],
    };
    let out = bench.agent(0, listed);
    assert_eq!(checkpoints(&out), ["saved"], "{out:?}");
}

fn measured(run: RunRef, checkpoint: &str) -> AgentMessage {
    AgentMessage::Measurements(vec![RunStatus {
        run,
        checkpoint: checkpoint.to_owned(),
        percent: 10,
        measurement: 0,
    }])
}

fn end(run: RunRef, checkpoint: &str) -> EndedRun {
    EndedRun {
        sequence: 1,
        run,
        reason: EndReason::Stopped,
        checkpoint: checkpoint.to_owned(),
    }
}

fn ended(run: RunRef, checkpoint: &str) -> AgentMessage {
    AgentMessage::Ended {
        incarnation: incarnation(0, 7),
        ended: vec![end(run, checkpoint)],
    }
}

/// Checkpoints of the start orders.
fn checkpoints(out: &[Output]) -> Vec<&str> {
    let checkpoint = |output| match output {
        &Output::Order(_, OrderMessage::Start(ref order)) => Some(order.checkpoint.as_str()),
        _ => None,
    };
    out.iter().filter_map(checkpoint).collect()
}
