//! Tests of the admission control of an entry, with a real owner and with faults.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::configs::AdmissionConfig;
use parsleytally::jobs::{
    BacklogGroup, Forecast, JobId, JobSpec, JobState, PoolForecast, QueueName, QueuePolicy,
    StepSpec, Work,
};
use parsleytally::types::{Resources, Time};
use parsleytally_link::Role;
use parsleytally_platform::jobs::{JobAnswer, JobService, SubmitAnswer};
use parsleytally_platform::process::BootTime;
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::store::MemoryStore;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::super::admission::{Admission, AdmissionMetrics};
use super::super::config::SiteConfig;
use super::super::job_service::EntryJobService;
use super::super::messages::OwnerLocation;
use super::super::owner::Ownership;
use super::super::owner_client::OwnerClient;
use super::super::peers::serve_peers;
use super::owner::{context, owner, write_epoch};
use super::{JOB, hello, job_service, link_config, soon, spec};

/// Work of the jobs in the tests' backlog, beyond any objective.
const BACKLOG: Work = Work(1_000_000_000);

fn admission(max_age: Duration) -> Arc<Admission> {
    let config = AdmissionConfig {
        refuse: true,
        max_age,
    };
    let set = MetricSet::of_process().expect("names are free");
    let metrics = AdmissionMetrics::new(&set).expect("names are free");
    Admission::new(&config, metrics).expect("refusals are enabled")
}

/// Job service whose entry has a forecast of a saturated fleet.
fn saturated(store: &Arc<MemoryStore>) -> EntryJobService {
    let admission = admission(Duration::from_secs(10));
    admission.update(Time::ZERO, forecast());
    EntryJobService {
        admission: Some(admission),
        ..job_service(store)
    }
}

fn forecast() -> Forecast {
    Forecast {
        pools: vec![PoolForecast {
            pool: "pool".into(),
            rate: 4_000,
            other_rate: 0,
            waiting: Resources::new(1_000, 0, 0),
            backlog: vec![BacklogGroup {
                late: false,
                priority: 2,
                size: Work(2_000_000),
                work: BACKLOG,
            }],
        }],
        ..Forecast::default()
    }
}

/// A best-effort job with `count` tasks of a second.
fn best_effort(count: u32) -> JobSpec {
    JobSpec {
        queue: Arc::new(QueuePolicy {
            name: QueueName("batch".into()),
            priority: 2,
            ..(*spec().queue).clone()
        }),
        steps: vec![StepSpec {
            count,
            need: Resources::new(1_000, 0, 0),
            estimate_ms: 1_000,
            best_effort: true,
            ..StepSpec::default()
        }],
        ..spec()
    }
}

/// Guards against a refusal of a job that is stored: its client would take it for not
/// accepted while it runs.
#[tokio::test]
async fn a_hopeless_job_is_refused_unless_it_is_stored() {
    struct Case {
        what: &'static str,
        /// Whether the job was stored before, through another entry.
        stored: bool,
        spec: JobSpec,
        accepted: bool,
    }
    let cases = [
        Case {
            what: "hopeless job",
            stored: false,
            spec: best_effort(10),
            accepted: false,
        },
        Case {
            what: "late copy of an accepted submission",
            stored: true,
            spec: best_effort(10),
            accepted: true,
        },
        Case {
            what: "small job",
            stored: false,
            spec: best_effort(1),
            accepted: true,
        },
        Case {
            what: "job of the highest priority",
            stored: false,
            spec: spec(),
            accepted: true,
        },
    ];
    for case in cases {
        let store = Arc::new(MemoryStore::new());
        if case.stored {
            let other = job_service(&store);
            let answer = other.submit(JOB, case.spec.clone(), soon()).await;
            assert_eq!(answer, SubmitAnswer::Accepted);
        }
        let jobs = saturated(&store);
        let answer = jobs.submit(JOB, case.spec, soon()).await;
        let accepted = answer == SubmitAnswer::Accepted;
        assert_eq!(accepted, case.accepted, "{}: {answer:?}", case.what);
        let refused = matches!(answer, SubmitAnswer::Refused { .. });
        assert_eq!(refused, !case.accepted, "{}: {answer:?}", case.what);
        let stored = jobs.state(JOB, soon()).await == JobAnswer::Known(JobState::Queued);
        assert_eq!(stored, case.accepted, "{}", case.what);
    }
}

/// Guards against a refusal on a guess: with a store that does not say whether the job is
/// stored, it is submitted like any other, and nothing is refused for some seconds.
#[tokio::test]
async fn a_job_is_not_refused_while_the_store_does_not_tell() {
    let store = Arc::new(MemoryStore::new());
    let jobs = saturated(&store);
    store.set_delay(Duration::from_millis(600));
    let answer = jobs.submit(JOB, best_effort(10), soon()).await;
    assert_eq!(answer, SubmitAnswer::Accepted);
    store.set_delay(Duration::ZERO);
    assert_eq!(
        jobs.state(JOB, soon()).await,
        JobAnswer::Known(JobState::Queued)
    );
    let answer = jobs.submit(JobId(8), best_effort(10), soon()).await;
    assert_eq!(answer, SubmitAnswer::Accepted, "within the uncertain time");
}

/// Guards against a refusal while an earlier copy of the submission may still reach the store:
/// a check that finds nothing proves nothing then.
#[tokio::test]
async fn nothing_is_refused_after_a_submission_with_unknown_outcome() {
    let store = Arc::new(MemoryStore::new());
    let jobs = saturated(&store);
    store.lose_answers(9);
    let answer = jobs.submit(JOB, spec(), soon()).await;
    assert_eq!(answer, SubmitAnswer::Unknown);
    store.lose_answers(0);
    // A success of any call shows that the store answers again.
    jobs.store.range("/").await.expect("the store answers");
    assert!(jobs.health.answers());
    let answer = jobs.submit(JobId(8), best_effort(10), soon()).await;
    assert_eq!(answer, SubmitAnswer::Accepted);
}

/// As above, for a client that disconnects while the store has not answered yet.
#[tokio::test]
async fn nothing_is_refused_after_a_submission_was_abandoned() {
    let store = Arc::new(MemoryStore::new());
    let jobs = saturated(&store);
    store.set_delay(Duration::from_secs(1));
    let submission = jobs.submit(JOB, spec(), soon());
    let abandoned = timeout(Duration::from_millis(20), submission).await;
    assert!(abandoned.is_err());
    store.set_delay(Duration::ZERO);
    let answer = jobs.submit(JobId(8), best_effort(10), soon()).await;
    assert_eq!(answer, SubmitAnswer::Accepted);
}

/// Guards against decisions by the forecast of an owner that is gone, in this process or on
/// another entry.
#[tokio::test]
async fn the_forecast_of_a_lost_owner_is_not_used() {
    for remote in [false, true] {
        let store = Arc::new(MemoryStore::new());
        let since = write_epoch(&store).await;
        let ownership = Ownership::start(context(store.clone()), owner(), since, BootTime::now());
        let local = OwnerLocation::Local(ownership.sender());
        let (_owner, own_location) = watch::channel(local);
        let mut tasks = JoinSet::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (_remote, location) = watch::channel(OwnerLocation::Remote(address));
        let client = if remote {
            let (hello_owner, link) = (hello(Role::Entry, "owner"), link_config());
            let jobs = Arc::new(job_service(&store));
            tasks.spawn(serve_peers(listener, hello_owner, link, own_location, jobs));
            let client = OwnerClient::new(location);
            tasks.spawn(
                client
                    .clone()
                    .run(hello(Role::Entry, "entry"), link_config()),
            );
            client
        } else {
            OwnerClient::new(own_location)
        };
        let admission = admission(Duration::from_secs(1));
        tasks.spawn(admission.clone().poll(client));
        for _ in 0..80 {
            sleep(Duration::from_millis(25)).await;
            if admission.has_forecast() {
                break;
            }
        }
        assert!(admission.has_forecast(), "owner is remote: {remote}");
        ownership.close().await;
        sleep(Duration::from_millis(1_100)).await;
        assert!(!admission.has_forecast(), "owner is remote: {remote}");
        tasks.shutdown().await;
    }
}

/// Guards against polls and refusals in deployments that don't enable them.
#[test]
fn refusals_are_off_by_default() {
    struct Case {
        section: &'static str,
        refuse: Option<bool>,
    }
    let cases = [
        Case {
            section: "",
            refuse: Some(false),
        },
        Case {
            section: "[admission]\nmax-age = 1s\n",
            refuse: Some(false),
        },
        Case {
            section: "[admission]\nrefuse = true\n",
            refuse: Some(true),
        },
        Case {
            section: "[admission]\nmax-age = 1h\n",
            refuse: None,
        },
        Case {
            section: "[admission]\nrefuse-all = true\n",
            refuse: None,
        },
    ];
    let set = MetricSet::of_process().expect("names are free");
    let metrics = AdmissionMetrics::new(&set).expect("names are free");
    for case in cases {
        let text = format!("{SITE}{}", case.section);
        let config = SiteConfig::parse(text.as_bytes()).ok();
        let refuse = config.map(|config| {
            let admission = Admission::new(&config.admission, metrics.clone());
            assert_eq!(admission.is_some(), config.admission.refuse);
            config.admission.refuse
        });
        assert_eq!(refuse, case.refuse, "{:?}", case.section);
    }
}

const SITE: &str = "[site]
name = edge-a-1
zone = a
clients = 127.0.0.1:8161
ready = 127.0.0.1:8167
links = 127.0.0.1:7720
store = 127.0.0.1:8169
[link]
key = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
";
