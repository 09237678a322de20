//! Tests of the ownership, job service, settings and metrics of an entry, over an in-memory
//! store with injected faults.

mod admission;
mod agents;
mod election;
mod evacuations;
mod follow;
mod known_agents;
mod late_calls;
mod owner;
mod refusals;
mod runs_page;
mod sizes;
mod tombstones;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parsleytally::configs::{HttpConfig, WorkersConfig};
use parsleytally::jobs::{
    AgentMessage, CallError, CrashDecision, EndReason, EndedRun, EvacuationEvent, HealthEvidence,
    JobAccount, JobId, JobOutcome, JobSpec, JobState, Listing, OrderMessage, PollCall, PoolUse,
    QueueName, QueuePolicy, QueueUsage, RefusalReason, RunRef, StartCall, StepSpec, StopCall,
    TaskId, TaskTimes, ThrottleCall, UnreportedWaits, WaitCounts, WaitReason, WorkerIncarnation,
    WorkerStanding, WorkersDecision,
};
use parsleytally::types::{Epoch, Incarnation, MilliCpu, NodeName, Time, ZoneName};
use parsleytally_link::{Frame, Hello, Keys, LinkConfig, Role, accept};
use parsleytally_platform::jobs::{
    CancelAnswer, JobAnswer, JobFuture, JobService, SubmitAnswer, TaskHost,
};
use parsleytally_platform::measured::{MeasuredDesk, MeasuredHost, MeasuredStore};
use parsleytally_platform::process::http::{HttpMetrics, HttpServer};
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::process::{BootTime, Clock};
use parsleytally_platform::store::{MemoryStore, Store};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};

use super::admission::AdmissionMetrics;
use super::agents::AgentLink;
use super::config::{SiteConfig, parse_processors};
use super::confirmation::LastConfirmation;
use super::entries::EntryAddresses;
use super::job_service::EntryJobService;
use super::messages::{AgentId, OwnerInput, OwnerLocation, RemoteReply};
use super::metrics::{OwnerMetrics, RelayMetrics};
use super::owner_client::OwnerClient;
use super::relays::Relays;
use super::sent_log::SentLog;
use super::store_health::{ObservedStore, StoreHealth};
use super::tombstones::Tombstones;

#[test]
fn processors_of_an_entry_are_parsed() {
    struct Case {
        text: &'static str,
        cpu: Option<u64>,
    }
    let cases = [
        Case {
            text: "0.069",
            cpu: Some(69),
        },
        Case {
            text: "2",
            cpu: Some(2_000),
        },
        Case {
            text: "0",
            cpu: None,
        },
        Case {
            text: "NaN",
            cpu: None,
        },
        Case {
            text: "many",
            cpu: None,
        },
    ];
    for case in cases {
        let cpu = parse_processors(case.text).ok();
        assert_eq!(cpu, case.cpu.map(MilliCpu), "{}", case.text);
    }
}

fn hello(role: Role, name: &str) -> Hello {
    let node = NodeName::new(name).expect("a valid name");
    let zone = ZoneName::new("a").expect("a valid name");
    Hello::new(role, node, zone, Incarnation(1))
}

fn link_config() -> LinkConfig {
    let key = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
    LinkConfig::new(Keys {
        current: key.parse().expect("a key"),
        other: None,
    })
}

/// Guards against an owner that the store turns away and that connects to all agents again
/// and again after another entry has taken over: on a large fleet, thousands of handshakes.
#[tokio::test]
async fn an_owner_ends_once_an_agent_has_a_later_owner() {
    struct Case {
        agent_epoch: u64,
        ends: bool,
    }
    let cases = [
        Case {
            agent_epoch: 4,
            ends: true,
        },
        Case {
            agent_epoch: 3,
            ends: false,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let (sender, mut inputs) = mpsc::channel(16);
        let link = agent_link(&listener, sender);
        let owner = tokio::spawn(link.run());
        let (stream, _) = listener.accept().await.expect("a connection");
        let accepted = accept(stream, &hello(Role::Agent, "agent"), &link_config()).await;
        let (agent, _incoming) = accepted.expect("a link");
        let message = AgentMessage::Superseded {
            fencing_token: (case.agent_epoch + 1) << 32,
        };
        let sent = agent.send(Frame::JobReports(vec![message]));
        sent.expect("the link is open");
        // Dropping it closes the link.
        let linked = inputs.recv().await;
        assert!(matches!(linked, Some(OwnerInput::Linked(..))));
        let input = inputs.recv().await;
        let ended = matches!(input, Some(OwnerInput::Replaced));
        assert_eq!(ended, case.ends, "{input:?} for epoch {}", case.agent_epoch);
        owner.abort();
    }
}

/// Last link number of an ownership.
const LAST_LINK: u64 = (1 << 20) - 1;
/// Longest time for a link to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against an order that is carried out on a link that the owner has given up: it must
/// close before the next one opens.
#[tokio::test]
async fn a_link_closes_once_the_owner_drops_the_sender_of_its_orders() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let (sender, mut inputs) = mpsc::channel(16);
    let link = agent_link(&listener, sender);
    let owner = tokio::spawn(link.run());
    let mut tokens = Vec::new();
    for _ in 0..2 {
        let (stream, _) = listener.accept().await.expect("a connection");
        let accepted = accept(stream, &hello(Role::Agent, "agent"), &link_config()).await;
        let (_agent, mut incoming) = accepted.expect("a link");
        tokens.push(begin_token(incoming.next().await));
        let linked = inputs.recv().await;
        assert!(matches!(linked, Some(OwnerInput::Linked(..))), "{linked:?}");
        drop(linked);
        let closed = timeout(CLOSE_TIMEOUT, incoming.next()).await;
        assert!(matches!(closed, Ok(None)), "not closed: {closed:?}");
        let unlinked = inputs.recv().await;
        assert!(
            matches!(unlinked, Some(OwnerInput::Unlinked(_))),
            "{unlinked:?}"
        );
    }
    assert!(tokens[0] < tokens[1], "{tokens:?}");
    owner.abort();
}

/// Guards against link numbers that reach the bits of the epoch: an agent then takes the token
/// for that of a later epoch and refuses the next owner.
#[tokio::test]
async fn an_owner_ends_after_its_last_link_number() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let (sender, mut inputs) = mpsc::channel(16);
    let link = agent_link(&listener, sender);
    link.link_counter.store(LAST_LINK, Ordering::Relaxed);
    let owner = tokio::spawn(link.run());
    let (stream, _) = listener.accept().await.expect("a connection");
    let accepted = accept(stream, &hello(Role::Agent, "agent"), &link_config()).await;
    let (_agent, _incoming) = accepted.expect("a link");
    let input = inputs.recv().await;
    assert!(matches!(input, Some(OwnerInput::Replaced)), "{input:?}");
    owner.abort();
}

/// Fencing token of the first message on a link.
fn begin_token(frame: Option<Frame>) -> u64 {
    let Some(Frame::JobOrders(orders)) = frame else {
        panic!("no orders: {frame:?}");
    };
    let [OrderMessage::Begin { fencing_token }] = orders[..] else {
        panic!("not the begin of a link: {orders:?}");
    };
    fencing_token
}

/// Link of the owner of epoch 3 to the agent that listens there.
fn agent_link(listener: &TcpListener, owner: mpsc::Sender<OwnerInput>) -> AgentLink {
    AgentLink {
        agent: AgentId {
            node: NodeName::new("agent").expect("a valid name"),
            dialer: 1,
        },
        address: listener.local_addr().expect("an address"),
        epoch: Epoch(3),
        hello: hello(Role::Entry, "owner"),
        config: link_config(),
        confirmation: LastConfirmation::at(BootTime::now()),
        clock: Clock::start(),
        support_end: Time::ZERO,
        owner,
        link_counter: Arc::default(),
    }
}

/// Job service of an entry that reaches the store but knows no owner.
fn job_service(store: &Arc<MemoryStore>) -> EntryJobService {
    job_service_on(store.clone())
}

fn job_service_on(store: Arc<dyn Store>) -> EntryJobService {
    job_service_with(store, "entry", EntryAddresses::default(), &metric_set())
}

fn metric_set() -> MetricSet {
    MetricSet::of_process().expect("names are free")
}

/// Job service of entry `name` that knows no owner and these other entries.
fn job_service_with(
    store: Arc<dyn Store>,
    name: &str,
    entries: EntryAddresses,
    set: &MetricSet,
) -> EntryJobService {
    let (_, queues) = watch::channel(None);
    let (_, location) = watch::channel(OwnerLocation::Unknown);
    let metrics = RelayMetrics::new(set).expect("names are free");
    let health = Arc::new(StoreHealth::new(metrics.store_answers.clone()));
    let owner = OwnerClient::new(location);
    let hello = hello(Role::Entry, name);
    let store = Arc::new(ObservedStore::new(store, health.clone()));
    let sent = Arc::new(SentLog::new());
    EntryJobService {
        store: store.clone(),
        queues,
        owner: owner.clone(),
        relays: Relays::new(owner, entries, hello, link_config(), metrics),
        draining: Arc::new(AtomicBool::new(false)),
        store_reachable: Arc::new(AtomicBool::new(true)),
        health,
        tombstones: Tombstones::start(store, sent.clone()),
        sent,
        answer_by: OnceLock::new(),
        admission: None,
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
    let jobs = job_service(&store);
    assert_eq!(jobs.state(JOB, soon()).await, JobAnswer::Absent);
    let unknown = jobs.cancel(JobId(8), soon()).await;
    assert_eq!(unknown, CancelAnswer::NoJob);
    assert_eq!(
        jobs.submit(JOB, spec(), soon()).await,
        SubmitAnswer::Accepted
    );
    assert_eq!(
        jobs.state(JOB, soon()).await,
        JobAnswer::Known(JobState::Queued)
    );
    assert_eq!(jobs.cancel(JOB, soon()).await, CancelAnswer::Accepted);
    let duplicate = jobs.submit(JOB, spec(), soon()).await;
    assert_eq!(
        duplicate,
        SubmitAnswer::Accepted,
        "a duplicate of an accepted job is accepted"
    );
    let state = jobs.state(JOB, soon()).await;
    assert_eq!(state, JobAnswer::Known(JobState::Cancelled));
}

/// A job that may be stored must never be reported as refused.
#[tokio::test(start_paused = true)]
async fn submit_answers_match_the_store() {
    struct Case {
        name: &'static str,
        store_down: bool,
        lost_answers: u32,
        answer: SubmitAnswer,
        stored: bool,
    }
    let retry_after = Duration::from_secs(1);
    let cases = [
        Case {
            name: "the store is down",
            store_down: true,
            lost_answers: 0,
            answer: SubmitAnswer::Refused { retry_after },
            stored: false,
        },
        Case {
            name: "one answer is lost",
            store_down: false,
            lost_answers: 1,
            answer: SubmitAnswer::Accepted,
            stored: true,
        },
        Case {
            name: "all answers are lost",
            store_down: false,
            lost_answers: 9,
            answer: SubmitAnswer::Unknown,
            stored: true,
        },
    ];
    for case in cases {
        let store = Arc::new(MemoryStore::new());
        let jobs = job_service(&store);
        store.set_down(case.store_down);
        store.lose_answers(case.lost_answers);
        let answer = jobs.submit(JOB, spec(), soon()).await;
        assert_eq!(answer, case.answer, "{}", case.name);
        store.set_down(false);
        store.lose_answers(0);
        let stored = jobs.state(JOB, soon()).await != JobAnswer::Absent;
        assert_eq!(stored, case.stored, "{}", case.name);
    }
}

/// Guards against waiting for two store timeouts on a submission when the store is already
/// known not to answer.
#[tokio::test(start_paused = true)]
async fn a_job_is_refused_unsent_while_the_store_does_not_answer() {
    let store = Arc::new(MemoryStore::new());
    let jobs = job_service(&store);
    store.set_down(true);
    jobs.submit(JOB, spec(), soon()).await;
    store.set_down(false);
    let began = Instant::now();
    let answer = jobs.submit(JOB, spec(), soon()).await;
    assert!(matches!(answer, SubmitAnswer::Refused { .. }));
    assert_eq!(began.elapsed(), Duration::ZERO);
    assert_eq!(jobs.state(JOB, soon()).await, JobAnswer::Absent);
}

#[test]
fn the_deployment_template_parses_and_unknown_keys_are_rejected() {
    let template = include_str!("../../../../../deploy/entry.ini");
    let evacuations = ("{{#bounds.evacuate_ms}}\n", "{{/bounds.evacuate_ms}}\n");
    let text = template
        .replace(evacuations.0, "")
        .replace(evacuations.1, "")
        .replace("{{bounds.evacuate_ms}}", "5000")
        .replace("{{node}}", "edge-a-1")
        .replace("{{zone}}", "a")
        .replace("{{listen.front}}", "127.0.0.1:8161")
        .replace("{{listen.ready}}", "127.0.0.1:8167")
        .replace("{{ip}}", "127.0.0.1")
        .replace("{{internal_ports.0}}", "7720")
        .replace("{{limits.cpu_share}}", "0.069")
        .replace("{{limits.memory_mb}}", "160")
        .replace("{{limits.max_fds}}", "4100")
        .replace("{{platform.address}}", "127.0.0.1:8169");
    let config = SiteConfig::parse(text.as_bytes()).expect("the template is valid");
    assert_eq!(config.clients.port(), 8_161);
    assert_eq!(config.cpu, MilliCpu(69));
    assert_eq!(config.limits.memory, 40_000_000);
    assert_eq!(config.limits.connections, 1_950);
    assert!(parsleytally::configs::is_site(text.as_bytes()));
    let bound = config.base.evacuation.map(|evacuation| evacuation.bound);
    assert_eq!(bound, Some(Duration::from_secs(5)));
    let (before, rest) = text.split_once("[evacuation]").expect("the section");
    let (_, after) = rest.split_once("\n\n").expect("the end of the section");
    let without = SiteConfig::parse(format!("{before}{after}").as_bytes());
    assert_eq!(without.map(|config| config.base.evacuation), Ok(None));
    let misspelled = text.replace("ready =", "readi =");
    let error = SiteConfig::parse(misspelled.as_bytes()).expect_err("an unknown key");
    assert!(error.to_string().contains("read"), "{error}");
}

/// Guards against parts that take effect in deployments whose settings don't name them.
#[test]
fn each_part_for_uneven_workers_is_enabled_alone() {
    let text = "[site]\nname = e\nzone = a\nclients = 127.0.0.1:1\nready = 127.0.0.1:2\n\
                links = 127.0.0.1:3\nstore = 127.0.0.1:4\nremote-factor = 1.5\n";
    let link = "[link]\nkey = 706172736c657974616c6c79706172736c657974616c6c79706172736c657974\n";
    let parse = |workers: &str| SiteConfig::parse(format!("{text}{workers}{link}").as_bytes());
    let off = WorkersConfig {
        remote_percent: 150,
        ..WorkersConfig::default()
    };
    assert_eq!(parse("").expect("valid").workers, off);
    let health = WorkersConfig {
        health: true,
        ..off
    };
    let parsed = parse("[workers]\nhealth = true\n").expect("valid");
    assert_eq!(parsed.workers, health);
    let rack_wait = WorkersConfig {
        rack_wait: true,
        ..off
    };
    let parsed = parse("[workers]\nrack-wait = true\n").expect("valid");
    assert_eq!(parsed.workers, rack_wait);
    let speculation = WorkersConfig {
        speculation: true,
        ..off
    };
    let parsed = parse("[workers]\nspeculation = true\n").expect("valid");
    assert_eq!(parsed.workers, speculation);
    let stalls = WorkersConfig {
        stalls: true,
        ..off
    };
    let parsed = parse("[workers]\nstalls = true\n").expect("valid");
    assert_eq!(parsed.workers, stalls);
    for invalid in ["[workers]\nhealth = 2\n", "[workers]\nhealthy = true\n"] {
        assert!(parse(invalid).is_err(), "{invalid}");
    }
    let error = SiteConfig::parse(text.replace("1.5", "0.5").as_bytes());
    let error = error.expect_err("a factor below 1").to_string();
    assert!(error.contains("expected 1 to 100"), "{error}");
}

const METRICS_PAGE: &str = include_str!("../../../../../docs/operators/jobs-metrics.md");

/// A worker that never answers.
struct UnansweringWorker;

impl TaskHost for UnansweringWorker {
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
async fn metrics_match_the_documentation_page() {
    let set = MetricSet::of_process().expect("names are free");
    let owner = OwnerMetrics::new(&set).expect("names are free");
    let admission = AdmissionMetrics::new(&set).expect("names are free");
    admission.count_refused("q");
    let store = MeasuredStore::new(Arc::new(MemoryStore::new()), set.registry());
    let store: Arc<dyn Store> = Arc::new(store.expect("names are free"));
    let jobs = job_service_with(store, "entry", EntryAddresses::default(), &set);
    let relays = RelayMetrics::clone(jobs.relays.metrics());
    relays.count_request(&RemoteReply::NotSent);
    let jobs = MeasuredDesk::new(Arc::new(jobs), set.registry()).expect("names are free");
    let host =
        MeasuredHost::new(Arc::new(UnansweringWorker), set.registry()).expect("names are free");
    // Metrics with labels are exported only once they have a value.
    let run = RunRef {
        task: TaskId {
            job: JobId(1),
            round: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    };
    owner.count_order(&OrderMessage::Stop(run));
    let queue = QueueName("q".into());
    owner.count_preempted(&queue);
    owner.update_queues(&[QueueUsage {
        queue,
        share: 0.5,
        waiting: 1,
    }]);
    owner.update_unreported(UnreportedWaits::default());
    let ended_run = EndedRun {
        sequence: 1,
        run,
        reason: EndReason::Done,
        checkpoint: String::new(),
    };
    owner.count_message(&AgentMessage::Ended {
        incarnation: WorkerIncarnation {
            id: "i-1".into(),
            started_ms: 1,
        },
        ended: vec![ended_run],
    });
    owner.count_message(&AgentMessage::Refused {
        run,
        reason: RefusalReason::Room,
    });
    owner.count_evacuation(&EvacuationEvent::Paused { read_age: None });
    owner.count_decision(&WorkersDecision::Standing {
        node: NodeName::new("worker").expect("a valid name"),
        standing: WorkerStanding::Degraded,
        evidence: HealthEvidence::default(),
    });
    owner.count_job(&JobAccount {
        job: run.task.job,
        queue: QueueName("q".into()),
        outcome: JobOutcome::InTime,
        tasks: 1,
        took_ms: 1,
        allowed_ms: 1,
        task_ms: TaskTimes::default(),
        straggled_ms: 0,
    });
    owner.update_pools(&BTreeMap::from([("pool".into(), PoolUse::default())]));
    owner.update_waiting(&WaitCounts::from([(WaitReason::Room, 1)]));
    owner.count_crash(&CrashDecision::GivenUp {
        task: run.task,
        workers: vec![],
    });
    jobs.state(JobId(1), Instant::now() + Duration::from_secs(1))
        .await;
    let stop = StopCall {
        run,
        fencing_token: 1,
    };
    assert_eq!(host.stop(stop).await, Err(CallError::Unanswered));
    reach_head_limit(&set).await;
    let text = set.text();
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported: BTreeSet<&str> = names.filter_map(|rest| rest.split(' ').next()).collect();
    let rows = METRICS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<&str> = rows
        .filter_map(|row| row.split('`').next())
        .filter(|name| name.starts_with("parsleytally_"))
        .collect();
    assert_eq!(exported, documented);
}

/// Serves a listener, and sends it a head that is too large, so that its metrics have values.
async fn reach_head_limit(set: &MetricSet) {
    let listener = HttpMetrics::new(set).expect("names that are not taken");
    let listener = listener.listener("clients", HttpConfig::default());
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::start_limited(any, Arc::new(set.clone()), &listener).await;
    let server = server.expect("a free port");
    let stream = TcpStream::connect(server.address()).await;
    let mut stream = stream.expect("a connection");
    let head = format!("GET / HTTP/1.1\r\nA: {}", "a".repeat(listener.limits.head));
    let _ = stream.write_all(head.as_bytes()).await;
    while !set.text().contains("parsleytally_http_limited_total{") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    server.close().await;
}
