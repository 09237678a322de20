//! Ownership, acceptance and settings of an entry, over a store in memory with faults.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use parsleytally::jobs::{
    AgentMessage, CallError, EndReason, EndedRun, JobId, JobSpec, JobState, Listing, OrderMessage,
    PollCall, QueueName, QueuePolicy, RunRef, StartCall, StepSpec, StopCall, TaskId, ThrottleCall,
    WorkerIncarnation,
};
use parsleytally::types::{Epoch, NodeName};
use parsleytally_platform::jobs::{
    CancelAnswer, JobAnswer, JobFuture, JobService, SubmitAnswer, TaskHost,
};
use parsleytally_platform::measured::{MeasuredDesk, MeasuredHost, MeasuredStore};
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::store::{MemoryStore, Store};
use tokio::sync::watch;
use tokio::time::Instant;

use super::config::SiteConfig;
use super::desk::Desk;
use super::lead::{Candidate, View};
use super::metrics::OwnerMetrics;
use super::peer::{Peer, Whereabouts};

const TTL: Duration = Duration::from_secs(2);

fn candidate(store: &Arc<MemoryStore>, name: &str) -> Candidate {
    let store: Arc<dyn Store> = store.clone();
    let node = NodeName::new(name).expect("a valid name");
    let links = "127.0.0.1:7000".parse().expect("an address");
    Candidate::new(store, node, links, 1, TTL)
}

async fn look(candidate: &mut Candidate) -> View {
    candidate.look().await.expect("the store answers").0
}

fn epoch(view: &View) -> Option<Epoch> {
    match view {
        View::Mine(owner, _) => Some(owner.epoch),
        _ => None,
    }
}

#[tokio::test]
async fn one_candidate_owns_the_jobs_until_it_resigns() {
    let store = Arc::new(MemoryStore::new());
    let (mut a, mut b) = (candidate(&store, "a"), candidate(&store, "b"));
    let View::Mine(owner, since) = look(&mut a).await else {
        panic!("nobody else wants it");
    };
    assert_eq!(owner.epoch, Epoch(0));
    assert_eq!(look(&mut b).await, View::Other(owner));
    assert_eq!(epoch(&look(&mut a).await), Some(Epoch(0)));
    a.retire(since);
    a.reluctant = true;
    a.resign(since).await;
    assert_eq!(look(&mut a).await, View::Nobody, "others go first");
    assert_eq!(epoch(&look(&mut b).await), Some(Epoch(1)));
    assert!(matches!(look(&mut a).await, View::Other(_)));
}

/// An entry that had owned the jobs for long took them again as soon as it drained: it
/// counted the time for which it left them to others from its start.
#[tokio::test(start_paused = true)]
async fn an_owner_of_long_standing_leaves_the_jobs_to_others() {
    let store = Arc::new(MemoryStore::new());
    let (mut a, mut b) = (candidate(&store, "a"), candidate(&store, "b"));
    let View::Mine(_, since) = look(&mut a).await else {
        panic!("nobody else wants it");
    };
    for _ in 0..20 {
        tokio::time::advance(TTL / 2).await;
        assert_eq!(epoch(&look(&mut a).await), Some(Epoch(0)));
    }
    a.reluctant = true;
    a.retire(since);
    a.resign(since).await;
    assert_eq!(look(&mut a).await, View::Nobody, "others go first");
    assert_eq!(epoch(&look(&mut b).await), Some(Epoch(1)));
}

#[tokio::test]
async fn an_ownership_that_ended_is_followed_by_one_with_the_next_epoch() {
    let store = Arc::new(MemoryStore::new());
    let mut a = candidate(&store, "a");
    let View::Mine(_, since) = look(&mut a).await else {
        panic!("nobody else wants it");
    };
    a.retire(since);
    assert_eq!(epoch(&look(&mut a).await), Some(Epoch(1)));
}

/// The desk of an entry that reaches the store but no owner.
fn desk(store: &Arc<MemoryStore>) -> Desk {
    desk_over(store.clone())
}

fn desk_over(store: Arc<dyn Store>) -> Desk {
    let (_, queues) = watch::channel(None);
    let (_, whereabouts) = watch::channel(Whereabouts::Unknown);
    Desk {
        store,
        queues,
        owner: Peer::new(whereabouts),
        draining: Arc::new(AtomicBool::new(false)),
        reaches_store: Arc::new(AtomicBool::new(true)),
        answered: Arc::new(AtomicBool::new(true)),
    }
}

fn spec() -> JobSpec {
    JobSpec {
        queue: Arc::new(QueuePolicy {
            name: QueueName("q".into()),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: "pool".into(),
            priority: 0,
            max_attempts: 2,
            stretch_percent: 200,
            slack_ms: 1_000,
            timeout_ms: 3_000,
        }),
        payload: "do".into(),
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        repeat: None,
        submitted_ms: 0,
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(3)
}

const JOB: JobId = JobId(7);

#[tokio::test]
async fn a_job_is_accepted_once_and_stays_cancelled() {
    let store = Arc::new(MemoryStore::new());
    let desk = desk(&store);
    assert_eq!(desk.state(JOB, soon()).await, JobAnswer::Absent);
    assert_eq!(desk.cancel(JOB, soon()).await, CancelAnswer::NoJob);
    assert_eq!(
        desk.submit(JOB, spec(), soon()).await,
        SubmitAnswer::Accepted
    );
    assert_eq!(
        desk.state(JOB, soon()).await,
        JobAnswer::Known(JobState::Queued)
    );
    assert_eq!(desk.cancel(JOB, soon()).await, CancelAnswer::Accepted);
    let late_copy = desk.submit(JOB, spec(), soon()).await;
    assert_eq!(late_copy, SubmitAnswer::Accepted, "it is the same job");
    let state = desk.state(JOB, soon()).await;
    assert_eq!(state, JobAnswer::Known(JobState::Cancelled));
}

/// A refusal must be true: what may have been stored is never refused.
#[tokio::test(start_paused = true)]
async fn what_the_client_is_told_is_what_the_store_has() {
    struct Case {
        what: &'static str,
        down: bool,
        lost: u32,
        told: SubmitAnswer,
        stored: bool,
    }
    let retry_after = Duration::from_secs(1);
    let cases = [
        Case {
            what: "the store is down",
            down: true,
            lost: 0,
            told: SubmitAnswer::Refused { retry_after },
            stored: false,
        },
        Case {
            what: "one answer is lost",
            down: false,
            lost: 1,
            told: SubmitAnswer::Accepted,
            stored: true,
        },
        Case {
            what: "all answers are lost",
            down: false,
            lost: 9,
            told: SubmitAnswer::Unknown,
            stored: true,
        },
    ];
    for case in cases {
        let store = Arc::new(MemoryStore::new());
        let desk = desk(&store);
        store.set_down(case.down);
        store.lose_answers(case.lost);
        let told = desk.submit(JOB, spec(), soon()).await;
        assert_eq!(told, case.told, "{}", case.what);
        store.set_down(false);
        store.lose_answers(0);
        let stored = desk.state(JOB, soon()).await != JobAnswer::Absent;
        assert_eq!(stored, case.stored, "{}", case.what);
    }
}

/// A job that came while the store was silent waited for two call limits.
#[tokio::test(start_paused = true)]
async fn a_job_is_refused_unsent_while_the_store_does_not_answer() {
    let store = Arc::new(MemoryStore::new());
    let desk = desk(&store);
    store.set_down(true);
    desk.submit(JOB, spec(), soon()).await;
    store.set_down(false);
    let began = Instant::now();
    let told = desk.submit(JOB, spec(), soon()).await;
    assert!(matches!(told, SubmitAnswer::Refused { .. }));
    assert_eq!(began.elapsed(), Duration::ZERO);
    assert_eq!(desk.state(JOB, soon()).await, JobAnswer::Absent);
}

#[test]
fn the_deployed_template_is_accepted_and_unknown_keys_are_not() {
    let template = include_str!("../../../../deploy/entry.ini");
    let text = template
        .replace("{{node}}", "edge-a-1")
        .replace("{{zone}}", "a")
        .replace("{{listen.front}}", "127.0.0.1:8161")
        .replace("{{listen.ready}}", "127.0.0.1:8167")
        .replace("{{ip}}", "127.0.0.1")
        .replace("{{internal_ports.0}}", "7720")
        .replace("{{platform.address}}", "127.0.0.1:8169");
    let config = SiteConfig::parse(text.as_bytes()).expect("the template is valid");
    assert_eq!(config.clients.port(), 8_161);
    assert!(parsleytally::configs::is_site(text.as_bytes()));
    let other = text.replace("ready =", "readi =");
    let error = SiteConfig::parse(other.as_bytes()).expect_err("an unknown key");
    assert!(error.to_string().contains("read"), "{error}");
}

const METRICS_PAGE: &str = include_str!("../../../../docs/operators/jobs-metrics.md");

/// A worker that answers nothing.
struct NoWorker;

impl TaskHost for NoWorker {
    fn poll(&self, _: PollCall) -> JobFuture<'_, Result<Listing, CallError>> {
        Box::pin(async { Err(CallError::Unanswered) })
    }

    fn start<'a>(&'a self, _: &'a StartCall) -> JobFuture<'a, Result<(), CallError>> {
        Box::pin(async { Err(CallError::Unanswered) })
    }

    fn stop(&self, _: StopCall) -> JobFuture<'_, Result<(), CallError>> {
        Box::pin(async { Err(CallError::Unanswered) })
    }

    fn throttle(&self, _: ThrottleCall) -> JobFuture<'_, Result<(), CallError>> {
        Box::pin(async { Err(CallError::Unanswered) })
    }
}

#[tokio::test]
async fn every_metric_of_batch_jobs_stands_on_the_page() {
    let set = MetricSet::of_process().expect("names are free");
    let owner = OwnerMetrics::new(&set).expect("names are free");
    let store = MeasuredStore::new(Arc::new(MemoryStore::new()), set.registry());
    let store: Arc<dyn Store> = Arc::new(store.expect("names are free"));
    let desk =
        MeasuredDesk::new(Arc::new(desk_over(store)), set.registry()).expect("names are free");
    let host = MeasuredHost::new(Arc::new(NoWorker), set.registry()).expect("names are free");
    // Metrics with labels are shown from their first value on.
    let run = RunRef {
        task: TaskId {
            job: JobId(1),
            round: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    };
    owner.ordered(&OrderMessage::Stop(run));
    let end = EndedRun {
        sequence: 1,
        run,
        reason: EndReason::Done,
        checkpoint: String::new(),
    };
    owner.heard(&AgentMessage::Ended {
        incarnation: WorkerIncarnation {
            id: "i-1".into(),
            started_ms: 1,
        },
        ended: vec![end],
    });
    desk.state(JobId(1), Instant::now() + Duration::from_secs(1))
        .await;
    let stop = StopCall {
        run,
        fencing_token: 1,
    };
    assert_eq!(host.stop(stop).await, Err(CallError::Unanswered));
    let text = set.text();
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let shown: BTreeSet<&str> = names.filter_map(|rest| rest.split(' ').next()).collect();
    let rows = METRICS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<&str> = rows
        .filter_map(|row| row.split('`').next())
        .filter(|name| name.starts_with("parsleytally_"))
        .collect();
    assert_eq!(shown, documented);
}
