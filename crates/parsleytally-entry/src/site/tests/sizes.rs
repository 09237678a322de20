//! Sizes of what valid input produces, against the limits of frames and of the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{
    JobId, JobProgress, JobRecord, JobRequest, JobSpec, JobState, StepProgress, StepSpec,
    TaskProgress,
};
use parsleytally::types::RequestId;
use parsleytally_link::{FRAME_LIMIT_BYTES, Frame, encoded_bytes};
use parsleytally_platform::store::{MAX_VALUE_BYTES, MemoryStore};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::super::messages::OwnerInput;
use super::super::saver::{ProgressRecord, Saver};
use super::owner::write_epoch;
use super::{JOB, spec};

/// Longest wait for the store.
const WAIT: Duration = Duration::from_secs(30);
/// Most bytes of a job's description, by the pages.
const PAYLOAD_BYTES: usize = 4_000;
/// Most tasks of a job.
const MAX_TASKS: u32 = 200_000;

fn large_spec(steps: u16, after: u16, payload: usize) -> JobSpec {
    let step = |number: u16| StepSpec {
        count: 3,
        after: (0..number.min(after)).collect(),
        required_label: Some("x".repeat(63).into()),
        image: Some("x".repeat(63).into()),
        ..StepSpec::default()
    };
    JobSpec {
        payload: "x".repeat(payload).into(),
        steps: (0..steps).map(step).collect(),
        ..spec()
    }
}

/// Guards against a job that is accepted and that a relayed request or the store can't carry.
#[test]
fn a_job_that_is_not_too_large_fits_its_record_and_its_request() {
    struct Case {
        name: &'static str,
        spec: JobSpec,
        too_large: bool,
    }
    let cases = [
        Case {
            name: "a description of 4,000 bytes and 36 steps",
            spec: large_spec(36, 36, PAYLOAD_BYTES),
            too_large: false,
        },
        Case {
            name: "3,000 steps",
            spec: large_spec(3_000, 1, PAYLOAD_BYTES),
            too_large: false,
        },
        Case {
            name: "3,000 steps that depend on up to 400 others",
            spec: large_spec(3_000, 400, PAYLOAD_BYTES),
            too_large: true,
        },
        Case {
            name: "a description of 1 MiB",
            spec: large_spec(1, 0, 1 << 20),
            too_large: true,
        },
    ];
    for Case {
        name,
        spec,
        too_large,
    } in cases
    {
        assert!(spec.is_valid(), "{name}");
        assert_eq!(spec.is_too_large(), too_large, "{name}");
        if too_large {
            continue;
        }
        let request = JobRequest::Submit(JOB, spec.clone());
        let frame = Frame::JobRequest(RequestId(u64::MAX), request);
        assert!(encoded_bytes(&frame) <= FRAME_LIMIT_BYTES, "{name}");
        let record = JobRecord {
            spec,
            cancelled: true,
        };
        assert!(record.encode().len() <= MAX_VALUE_BYTES, "{name}");
    }
}

fn progress(step: StepProgress) -> JobProgress {
    JobProgress {
        state: JobState::Running,
        steps: vec![step],
    }
}

fn unfinished(tasks: u32, failed_runs: &[u32], checkpoint: usize) -> JobProgress {
    let task = |index| TaskProgress {
        index,
        failed_runs: failed_runs.to_vec(),
        checkpoint: "c".repeat(checkpoint),
        crashes: Vec::new(),
    };
    progress(StepProgress {
        tasks: (0..tasks).map(task).collect(),
        ..StepProgress::default()
    })
}

/// Guards against one record that the store can't hold and that keeps the records of all
/// other jobs from being written, so that no end is acknowledged any more.
#[tokio::test]
async fn a_record_that_is_too_large_holds_back_no_other() {
    struct Case {
        name: &'static str,
        progress: JobProgress,
        saved: bool,
    }
    let every_other = (0..MAX_TASKS).step_by(2).map(|index| (index, index));
    let cases = [
        Case {
            name: "every other task of the widest job done",
            progress: progress(StepProgress {
                done_ranges: every_other.collect(),
                ..StepProgress::default()
            }),
            saved: true,
        },
        Case {
            name: "20,000 unfinished tasks with checkpoints and failed runs",
            progress: unfinished(20_000, &[3_001, 3_002], 16),
            saved: true,
        },
        Case {
            name: "36 tasks with checkpoints of 64 KiB",
            progress: unfinished(36, &[3_001], 64 << 10),
            saved: true,
        },
        Case {
            name: "the widest job, each task unfinished with two failed runs",
            progress: unfinished(MAX_TASKS, &[3_001, 3_002], 0),
            saved: false,
        },
        Case {
            name: "a small one",
            progress: unfinished(1, &[], 16),
            saved: true,
        },
    ];
    let store = Arc::new(MemoryStore::new());
    let since = write_epoch(&store).await;
    let (sender, records) = mpsc::unbounded_channel();
    let (owner, mut inputs) = mpsc::channel(16);
    for (job, case) in (0..).zip(&cases) {
        let record = ProgressRecord {
            job: JobId(job),
            version: 1,
            progress: case.progress.clone(),
        };
        sender.send(record).expect("the channel is open");
    }
    let stop = CancellationToken::new();
    let saver = Saver {
        store,
        since,
        revisions: HashMap::new(),
        records,
        owner,
        stop: stop.clone(),
    };
    let task = tokio::spawn(saver.run());
    let expected = cases.iter().filter(|case| case.saved).count();
    let mut saved = Vec::new();
    while saved.len() < expected {
        let input = timeout(WAIT, inputs.recv()).await;
        let Ok(Some(OwnerInput::Saved(jobs))) = input else {
            panic!("not saved: {input:?}, {saved:?}");
        };
        saved.extend(jobs.into_iter().map(|(job, _)| job));
    }
    for (job, case) in (0..).zip(&cases) {
        assert_eq!(saved.contains(&JobId(job)), case.saved, "{}", case.name);
    }
    stop.cancel();
    task.await.expect("the saver ends");
}
