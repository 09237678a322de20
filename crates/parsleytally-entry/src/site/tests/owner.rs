//! Tests of the owner's actor.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::configs::{JobsConfig, WorkersConfig};
use parsleytally::jobs::{JobProgress, JobReply, JobRequest, JobState};
use parsleytally::types::{Epoch, MilliCpu, NodeName, Revision};
use parsleytally_link::Role;
use parsleytally_platform::jobs::{JobAnswer, JobService, SubmitAnswer};
use parsleytally_platform::process::BootTime;
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::store::{Commit, MemoryStore, Outcome, Store, Write};
use tokio::sync::{oneshot, watch};

use super::super::election::Owner;
use super::super::keys;
use super::super::messages::OwnerInput;
use super::super::metrics::OwnerMetrics;
use super::super::owner::{OwnerContext, Ownership};
use super::{JOB, hello, job_service, link_config, soon, spec};

pub(super) fn context(store: Arc<dyn Store>) -> OwnerContext {
    let set = MetricSet::of_process().expect("names are free");
    let (_, queues) = watch::channel(None);
    OwnerContext {
        hello: hello(Role::Entry, "owner"),
        link: link_config(),
        jobs: JobsConfig::default(),
        workers: WorkersConfig::default(),
        shares: None,
        store,
        queues,
        evacuation: None,
        zone_reads: None,
        metrics: OwnerMetrics::new(&set).expect("names are free"),
    }
}

pub(super) fn owner() -> Owner {
    Owner {
        epoch: Epoch(3),
        node: NodeName::new("owner").expect("a valid name"),
        links: "127.0.0.1:7720".parse().expect("an address"),
        incarnation: 1,
        cpu: MilliCpu(100),
    }
}

pub(super) async fn write_epoch(store: &MemoryStore) -> Revision {
    let write = Write::Put {
        key: keys::EPOCH.to_owned(),
        value: Vec::new(),
        lease: None,
    };
    let commit = Commit {
        compares: Vec::new(),
        writes: vec![write],
    };
    match store.commit(commit).await {
        Ok(Outcome::Committed(revision)) => revision,
        other => panic!("the epoch was not written: {other:?}"),
    }
}

/// Guards against tasks that run twice: an owner that was replaced before it read the store
/// started jobs that its successor had accepted since.
#[tokio::test]
async fn an_owner_that_reads_a_later_epoch_ends() {
    struct Case {
        what: &'static str,
        replaced: bool,
    }
    let cases = [
        Case {
            what: "present owner",
            replaced: false,
        },
        Case {
            what: "replaced owner",
            replaced: true,
        },
    ];
    for case in cases {
        let store = Arc::new(MemoryStore::new());
        let since = write_epoch(&store).await;
        if case.replaced {
            write_epoch(&store).await;
        }
        let ownership = Ownership::start(context(store), owner(), since, BootTime::now());
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(ownership.is_finished(), case.replaced, "{}", case.what);
        ownership.close().await;
    }
}

/// Guards against tasks that run twice: the progress of a job could not be read, and the job began
/// anew.
#[tokio::test(start_paused = true)]
async fn a_job_whose_progress_can_not_be_read_is_not_run() {
    struct Case {
        what: &'static str,
        progress: Option<Vec<u8>>,
        /// State that clients are told; none if it is not known.
        state: Option<JobState>,
    }
    let completed = JobProgress {
        state: JobState::Completed,
        steps: Vec::new(),
    };
    let cases = [
        Case {
            what: "no record",
            progress: None,
            state: Some(JobState::Queued),
        },
        Case {
            what: "a sound record",
            progress: Some(completed.encode()),
            state: Some(JobState::Completed),
        },
        Case {
            what: "an empty record",
            progress: Some(vec![]),
            state: None,
        },
        Case {
            what: "a deeply nested text",
            progress: Some([&[1], &b"[".repeat(100_000)[..]].concat()),
            state: None,
        },
    ];
    for case in cases {
        let store = Arc::new(MemoryStore::new());
        let since = write_epoch(&store).await;
        let jobs = job_service(&store);
        assert_eq!(
            jobs.submit(JOB, spec(), soon()).await,
            SubmitAnswer::Accepted
        );
        if let Some(value) = case.progress {
            let key = keys::progress(JOB);
            let lease = None;
            let commit = Commit {
                compares: Vec::new(),
                writes: vec![Write::Put { key, value, lease }],
            };
            store.commit(commit).await.expect("the store answers");
        }
        let ownership = Ownership::start(context(store), owner(), since, BootTime::now());
        let (reply, state) = oneshot::channel();
        let request = OwnerInput::Request(JobRequest::State(JOB), reply);
        let sent = ownership.sender().send(request).await;
        sent.expect("the owner waits");
        let state = state.await.expect("a reply");
        assert_eq!(state, JobReply::State(case.state), "{}", case.what);
        ownership.close().await;
        let told = case.state.map_or(JobAnswer::Unknown, JobAnswer::Known);
        assert_eq!(jobs.state(JOB, soon()).await, told, "{}", case.what);
    }
}
