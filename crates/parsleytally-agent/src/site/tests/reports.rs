//! Sizes of reports to the owner.

use parsleytally::jobs::{
    AgentMessage, EndReason, EndedRun, JobId, RunRef, RunStatus, TaskId, WorkerIncarnation,
};
use parsleytally_link::{FRAME_LIMIT_BYTES, Frame, encoded_bytes};

use super::super::reports::frames;

fn run(index: u32) -> RunRef {
    let task = TaskId {
        job: JobId(u64::MAX),
        round: u32::MAX,
        step: u16::MAX,
        index,
    };
    RunRef {
        task,
        run: u32::MAX,
    }
}

fn running(count: u32, checkpoint: usize) -> Vec<RunStatus> {
    let status = |index| RunStatus {
        run: run(index),
        checkpoint: "c".repeat(checkpoint),
        percent: 100,
        measurement: u64::MAX,
    };
    (0..count).map(status).collect()
}

fn ended(count: u32, checkpoint: usize) -> Vec<EndedRun> {
    let ended = |index| EndedRun {
        sequence: u64::MAX - u64::from(index),
        run: run(index),
        reason: EndReason::Stopped,
        checkpoint: "c".repeat(checkpoint),
    };
    (0..count).map(ended).collect()
}

/// Runs that messages tell of, and how many of them with a checkpoint.
fn told(messages: &[AgentMessage]) -> (Vec<RunRef>, usize) {
    let mut runs = Vec::new();
    let mut checkpoints = 0;
    for message in messages {
        let (running, ended): (&[RunStatus], &[EndedRun]) = match message {
            AgentMessage::Listed { running, ended, .. } => (running, ended),
            AgentMessage::Ended { ended, .. } => (&[], ended),
            AgentMessage::Measurements(running) => (running, &[]),
            other => panic!("unexpected message: {other:?}"),
        };
        let rows = running.iter().map(|row| (row.run, &row.checkpoint));
        let rows = rows.chain(ended.iter().map(|row| (row.run, &row.checkpoint)));
        for (run, checkpoint) in rows {
            runs.push(run);
            checkpoints += usize::from(!checkpoint.is_empty());
        }
    }
    (runs, checkpoints)
}

/// Guards against a listing that no frame can carry: each link closes, and the owner learns of
/// no run and no end of that worker any more.
#[test]
fn all_runs_of_a_listing_reach_the_owner() {
    struct Case {
        name: &'static str,
        message: AgentMessage,
        /// Runs whose checkpoints arrive.
        checkpoints: usize,
    }
    let incarnation = || WorkerIncarnation {
        id: "i-7f3a91c2".into(),
        started_ms: u64::MAX,
    };
    let listed = |running, ended| AgentMessage::Listed {
        incarnation: incarnation(),
        running,
        ended,
    };
    let ends = |ended| AgentMessage::Ended {
        incarnation: incarnation(),
        ended,
    };
    let cases = [
        Case {
            name: "500 ends with checkpoints beside 2,000 runs",
            message: listed(running(2_000, 16), ended(500, 16)),
            checkpoints: 2_500,
        },
        Case {
            name: "500 ends with checkpoints of 2,000 bytes",
            message: listed(running(0, 0), ended(500, 2_000)),
            checkpoints: 500,
        },
        Case {
            name: "a listing with long checkpoints of running tasks",
            message: listed(running(500, 2_000), ended(500, 500)),
            checkpoints: 500,
        },
        Case {
            name: "a listing with longer checkpoints",
            message: listed(running(10, 16 << 10), ended(500, 16 << 10)),
            checkpoints: 0,
        },
        Case {
            name: "ends with long checkpoints",
            message: ends(ended(500, 3_000)),
            checkpoints: 500,
        },
        Case {
            name: "ends with one that is longer than a frame",
            message: ends([ended(3, 9), ended(1, FRAME_LIMIT_BYTES), ended(3, 9)].concat()),
            checkpoints: 6,
        },
        Case {
            name: "ends that exceed the channel",
            message: ends(ended(500, 16 << 10)),
            checkpoints: 0,
        },
        Case {
            name: "measurements with long checkpoints",
            message: AgentMessage::Measurements(running(500, 3_000)),
            checkpoints: 500,
        },
    ];
    for case in cases {
        let (runs, _) = told(std::slice::from_ref(&case.message));
        let sent = frames(vec![case.message]);
        for frame in &sent {
            let size = encoded_bytes(&Frame::JobReports(frame.clone()));
            assert!(size <= FRAME_LIMIT_BYTES, "{}: {size}", case.name);
        }
        let (told_runs, checkpoints) = told(&sent.concat());
        assert_eq!(told_runs, runs, "{}", case.name);
        assert_eq!(checkpoints, case.checkpoints, "{}", case.name);
    }
}
