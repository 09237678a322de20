//! Answers of an entry to its clients while its path to the store or to other entries is
//! disturbed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use parsleytally::jobs::{CancelOutcome, JobId, JobReply, JobRequest, JobState};
use parsleytally::types::{NodeName, RequestId};
use parsleytally_link::{Frame, Incoming, Link, Role, accept, dial};
use parsleytally_platform::jobs::{CancelAnswer, JobAnswer, JobService, SubmitAnswer};
use parsleytally_platform::store::{
    CallKind, Commit, HookedStore, MemoryStore, Store, StoreError, StoreFuture, StoreHooks, Write,
};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use super::super::entries::{EntryAddresses, EntryRegistry};
use super::super::job_service::EntryJobService;
use super::super::keys;
use super::super::messages::OwnerLocation;
use super::super::peers::serve_peers;
use super::{JOB, hello, job_service, job_service_with, link_config, metric_set, soon, spec};

/// How one entry's path to the store fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    Open,
    /// Every call is refused unsent.
    Rejects,
    /// No call reaches the store or is answered.
    Silent,
    /// Calls reach the store; answers are lost.
    Deaf,
}

/// One entry's path to a store that others share.
struct StorePath(AtomicU8);

impl StorePath {
    fn store(memory: &MemoryStore, path: Path) -> Arc<HookedStore<Self>> {
        let (memory, hooks) = (memory.clone(), Self(AtomicU8::new(path as u8)));
        Arc::new(HookedStore { memory, hooks })
    }

    fn set(&self, path: Path) {
        self.0.store(path as u8, Ordering::SeqCst);
    }
}

impl StoreHooks for StorePath {
    fn pass<'a, T: Send + 'a>(
        &'a self,
        call: CallKind,
        answer: StoreFuture<'a, T>,
    ) -> StoreFuture<'a, T> {
        if call == CallKind::Watch {
            return answer;
        }
        let call = call.name();
        Box::pin(async move {
            let path = self.0.load(Ordering::SeqCst);
            if path == Path::Rejects as u8 {
                let reason = "rejected".to_owned();
                return Err(StoreError::Down { reason });
            }
            if path == Path::Silent as u8 {
                sleep(Duration::from_secs(1)).await;
                return Err(StoreError::Timeout { call });
            }
            let answer = answer.await;
            if path == Path::Deaf as u8 {
                sleep(Duration::from_secs(1)).await;
                return Err(StoreError::Timeout { call });
            }
            answer
        })
    }
}

async fn is_stored(store: &MemoryStore, id: JobId) -> bool {
    let found = store.range(keys::JOBS).await.expect("the store answers");
    found.item(&keys::job(id)).is_some()
}

/// Another entry, as the entry under test finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peer {
    /// An entry with this path to the store.
    Entry(Path),
    /// Takes requests and answers none.
    Hangs,
    /// Takes a request and closes the link.
    Closes,
    /// Refuses connections.
    Gone,
    /// Accepts connections without a handshake.
    Mute,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn start_peer(peer: Peer, name: &str, store: &Arc<MemoryStore>) -> SocketAddr {
    let (listener, address) = listen().await;
    match peer {
        Peer::Entry(path) => {
            let store = StorePath::store(store, path);
            let jobs = job_service_with(store, name, EntryAddresses::default(), &metric_set());
            // The entry's own checks have found whether the store answers.
            let _ = jobs.store.range(keys::OWNERSHIP).await;
            let (location_sender, location) = watch::channel(OwnerLocation::Unknown);
            let hello = hello(Role::Entry, name);
            tokio::spawn(async move {
                let _location = location_sender;
                serve_peers(listener, hello, link_config(), location, Arc::new(jobs)).await;
            });
        }
        Peer::Gone => {}
        Peer::Mute => {
            tokio::spawn(async move {
                let mut open = Vec::new();
                while let Ok((stream, _)) = listener.accept().await {
                    open.push(stream);
                }
            });
        }
        Peer::Hangs | Peer::Closes => {
            let name = name.to_owned();
            tokio::spawn(async move {
                let mut open: Vec<(Link, Incoming)> = Vec::new();
                while let Ok((stream, _)) = listener.accept().await {
                    let (hello, config) = (hello(Role::Entry, &name), link_config());
                    let accepted = accept(stream, &hello, &config).await;
                    let (link, mut incoming) = accepted.expect("a link");
                    let _ = incoming.next().await;
                    if peer == Peer::Hangs {
                        open.push((link, incoming));
                    } else {
                        link.close();
                    }
                }
            });
        }
    }
    address
}

/// An entry with this path to the store, and other entries.
struct Fixture {
    memory: Arc<MemoryStore>,
    path: Arc<HookedStore<StorePath>>,
    jobs: EntryJobService,
}

async fn fixture(path: Path, peers: &[Peer]) -> Fixture {
    let memory = Arc::new(MemoryStore::new());
    let addresses = EntryAddresses::default();
    let mut known = std::collections::BTreeMap::new();
    for (at, peer) in peers.iter().enumerate() {
        let name = format!("peer-{at}");
        let address = start_peer(*peer, &name, &memory).await;
        known.insert(NodeName::new(&name).expect("a valid name"), address);
    }
    addresses.set(known);
    let path = StorePath::store(&memory, path);
    let jobs = job_service_with(path.clone(), "entry", addresses, &metric_set());
    Fixture { memory, path, jobs }
}

impl Fixture {
    /// Has the entry notice the state of its path, as its check of the ownership does.
    async fn notice(&self) {
        let _ = self.jobs.store.range(keys::OWNERSHIP).await;
    }

    async fn submit(&self) -> SubmitAnswer {
        self.jobs.submit(JOB, spec(), soon()).await
    }
}

/// Name of an answer without its retry time.
fn kind(answer: SubmitAnswer) -> &'static str {
    match answer {
        SubmitAnswer::Accepted => "accepted",
        SubmitAnswer::Refused { .. } => "refused",
        SubmitAnswer::Unknown => "unknown",
    }
}

/// Guards against refusals while another entry reaches the store, "unknown" where nothing can
/// be stored, "refused" where a job may be, and answers that wait for the client's timeout.
#[tokio::test]
async fn a_submission_goes_through_any_entry_that_reaches_the_store() {
    struct Case {
        name: &'static str,
        path: Path,
        peers: &'static [Peer],
        answer: &'static str,
        stored: bool,
        within_ms: u64,
    }
    const SERVES: Peer = Peer::Entry(Path::Open);
    const REJECTED: Peer = Peer::Entry(Path::Rejects);
    let cases = [
        Case {
            name: "another entry reaches the store",
            path: Path::Rejects,
            peers: &[SERVES],
            answer: "accepted",
            stored: true,
            within_ms: 500,
        },
        Case {
            name: "the last of several reaches the store",
            path: Path::Rejects,
            peers: &[Peer::Gone, REJECTED, REJECTED, SERVES],
            answer: "accepted",
            stored: true,
            within_ms: 800,
        },
        Case {
            name: "no entry reaches the store",
            path: Path::Rejects,
            peers: &[REJECTED, REJECTED, REJECTED],
            answer: "refused",
            stored: false,
            within_ms: 500,
        },
        Case {
            name: "there is no other entry",
            path: Path::Rejects,
            peers: &[],
            answer: "refused",
            stored: false,
            within_ms: 100,
        },
        Case {
            name: "no other entry is there any more",
            path: Path::Rejects,
            peers: &[Peer::Gone, Peer::Mute],
            answer: "refused",
            stored: false,
            within_ms: 800,
        },
        Case {
            name: "an entry takes the request and does not answer",
            path: Path::Rejects,
            peers: &[Peer::Hangs],
            answer: "unknown",
            stored: false,
            within_ms: 1_000,
        },
        Case {
            name: "an entry takes the request and closes the link",
            path: Path::Rejects,
            peers: &[Peer::Closes],
            answer: "unknown",
            stored: false,
            within_ms: 500,
        },
        Case {
            name: "a second entry settles what the first left unknown",
            path: Path::Rejects,
            peers: &[Peer::Hangs, SERVES],
            answer: "accepted",
            stored: true,
            within_ms: 1_200,
        },
        Case {
            name: "the store's answers to this entry are lost",
            path: Path::Deaf,
            peers: &[SERVES],
            answer: "accepted",
            stored: true,
            within_ms: 500,
        },
    ];
    for case in cases {
        let fixture = fixture(case.path, case.peers).await;
        fixture.notice().await;
        let began = Instant::now();
        let answer = fixture.submit().await;
        let taken = began.elapsed();
        assert_eq!(kind(answer), case.answer, "{}", case.name);
        let stored = is_stored(&fixture.memory, JOB).await;
        assert_eq!(stored, case.stored, "{}", case.name);
        let limit = Duration::from_millis(case.within_ms);
        assert!(taken < limit, "{}: {taken:?}", case.name);
    }
}

/// Guards against "unknown" after a single lost answer while another entry can tell.
#[tokio::test]
async fn another_entry_settles_a_commit_without_answer() {
    let fixture = fixture(Path::Deaf, &[Peer::Entry(Path::Open)]).await;
    assert_eq!(fixture.submit().await, SubmitAnswer::Accepted);
    assert!(is_stored(&fixture.memory, JOB).await);
}

/// Guards against a relay that goes on, and against store calls or messages to other entries,
/// once the store answers.
#[tokio::test]
async fn the_first_answer_of_the_store_ends_the_relaying() {
    let fixture = fixture(Path::Rejects, &[Peer::Hangs]).await;
    fixture.notice().await;
    assert!(!fixture.jobs.health.answers());
    fixture.path.hooks.set(Path::Open);
    assert_eq!(kind(fixture.submit().await), "unknown");
    // Any call will do, such as a renewal of a lease.
    let granted = fixture.jobs.store.grant(Duration::from_secs(1)).await;
    granted.expect("the store answers");
    let calls = fixture.memory.metrics().total();
    let began = Instant::now();
    assert_eq!(fixture.submit().await, SubmitAnswer::Accepted);
    assert!(began.elapsed() < Duration::from_millis(200));
    assert_eq!(fixture.memory.metrics().total() - calls, 1);
}

/// Guards against a single lost answer that makes an entry relay although the store has
/// answered other calls since.
#[tokio::test(start_paused = true)]
async fn a_single_lost_answer_does_not_start_relaying() {
    let fixture = fixture(Path::Deaf, &[]).await;
    let lost = fixture.jobs.store.newest(keys::JOBS);
    let other = async {
        sleep(Duration::from_millis(300)).await;
        fixture.path.hooks.set(Path::Open);
        fixture.notice().await;
    };
    let (lost, ()) = tokio::join!(lost, other);
    assert!(lost.is_err());
    assert!(fixture.jobs.health.answers());
}

/// Guards against "not accepted" for a late copy whose job is stored or may be: the client
/// would give up a job that runs.
#[tokio::test(start_paused = true)]
async fn a_copy_of_a_sent_submission_is_not_refused() {
    struct Case {
        name: &'static str,
        first: Path,
        answer: &'static str,
    }
    let cases = [
        Case {
            name: "the first was accepted",
            first: Path::Open,
            answer: "accepted",
        },
        Case {
            name: "the answers to the first were lost",
            first: Path::Deaf,
            answer: "unknown",
        },
        Case {
            name: "the first was not sent",
            first: Path::Rejects,
            answer: "refused",
        },
    ];
    for case in cases {
        let fixture = fixture(case.first, &[]).await;
        fixture.submit().await;
        fixture.path.hooks.set(Path::Rejects);
        fixture.notice().await;
        let answer = fixture.submit().await;
        assert_eq!(kind(answer), case.answer, "{}", case.name);
    }
}

/// Guards against "not accepted" for a copy of a submission whose client has disconnected
/// while the store was called.
#[tokio::test(start_paused = true)]
async fn a_dropped_submission_counts_as_sent() {
    let fixture = fixture(Path::Deaf, &[]).await;
    let brief = Duration::from_millis(100);
    assert!(timeout(brief, fixture.submit()).await.is_err());
    fixture.path.hooks.set(Path::Rejects);
    fixture.notice().await;
    assert_eq!(fixture.submit().await, SubmitAnswer::Unknown);
}

/// Guards against "not accepted" from an entry whose request to another is in progress, and
/// the same at that other entry.
#[tokio::test(start_paused = true)]
async fn a_copy_is_not_refused_while_the_first_is_in_progress() {
    let fixture = fixture(Path::Deaf, &[]).await;
    let second = async {
        sleep(Duration::from_millis(100)).await;
        fixture.path.hooks.set(Path::Rejects);
        fixture.notice().await;
        fixture.submit().await
    };
    let (_, second) = tokio::join!(fixture.submit(), second);
    assert_eq!(second, SubmitAnswer::Unknown);
}

/// Guards against "unknown" for a submission that was not sent, because its time was up.
#[tokio::test]
async fn a_submission_without_time_is_refused_unsent() {
    let fixture = fixture(Path::Open, &[Peer::Entry(Path::Open)]).await;
    let calls = fixture.memory.metrics().total();
    let deadline = Instant::now() + Duration::from_millis(100);
    let answer = fixture.jobs.submit(JOB, spec(), deadline).await;
    assert_eq!(kind(answer), "refused");
    assert_eq!(fixture.memory.metrics().total(), calls);
    assert!(!is_stored(&fixture.memory, JOB).await);
}

/// Guards against cancellations and queries that fail at an entry that the store rejects,
/// and against "unknown" for a cancellation of which nothing was written.
#[tokio::test]
async fn cancellations_and_queries_go_through_other_entries() {
    struct Case {
        name: &'static str,
        peers: &'static [Peer],
        cancelled: CancelAnswer,
        state: JobAnswer<JobState>,
        unknown_job: JobAnswer<JobState>,
        within_ms: u64,
    }
    let refused = CancelAnswer::Refused {
        retry_after: Duration::from_secs(1),
    };
    let cases = [
        Case {
            name: "another entry reaches the store",
            peers: &[Peer::Gone, Peer::Entry(Path::Open)],
            cancelled: CancelAnswer::Accepted,
            state: JobAnswer::Known(JobState::Cancelled),
            unknown_job: JobAnswer::Absent,
            within_ms: 800,
        },
        Case {
            name: "no entry reaches the store",
            peers: &[Peer::Entry(Path::Rejects)],
            cancelled: refused,
            state: JobAnswer::Unknown,
            unknown_job: JobAnswer::Unknown,
            within_ms: 500,
        },
        Case {
            name: "an entry does not answer",
            peers: &[Peer::Hangs],
            cancelled: CancelAnswer::Unknown,
            state: JobAnswer::Unknown,
            unknown_job: JobAnswer::Unknown,
            within_ms: 1_800,
        },
    ];
    for case in cases {
        let fixture = fixture(Path::Open, case.peers).await;
        assert_eq!(fixture.submit().await, SubmitAnswer::Accepted);
        fixture.path.hooks.set(Path::Rejects);
        fixture.notice().await;
        let began = Instant::now();
        let cancelled = fixture.jobs.cancel(JOB, soon()).await;
        assert_eq!(cancelled, case.cancelled, "{}", case.name);
        let state = fixture.jobs.state(JOB, soon()).await;
        assert_eq!(state, case.state, "{}", case.name);
        let state = fixture.jobs.state(JobId(99), soon()).await;
        assert_eq!(state, case.unknown_job, "{}", case.name);
        let limit = Duration::from_millis(case.within_ms);
        assert!(began.elapsed() < limit, "{}", case.name);
    }
}

/// Guards against answers after the client's timeout, and against requests that are dropped
/// without an answer when the entry stops.
#[tokio::test(start_paused = true)]
async fn every_request_is_answered_by_its_time() {
    struct Case {
        name: &'static str,
        left_ms: u64,
        /// Time until the entry stops.
        stops_ms: Option<u64>,
        limit_ms: u64,
    }
    let cases = [
        Case {
            name: "a short timeout",
            left_ms: 300,
            stops_ms: None,
            limit_ms: 300,
        },
        Case {
            name: "a long timeout",
            left_ms: 1_500,
            stops_ms: None,
            limit_ms: 1_500,
        },
        Case {
            name: "an entry that stops",
            left_ms: 3_000,
            stops_ms: Some(700),
            limit_ms: 700,
        },
    ];
    for case in cases {
        let fixture = fixture(Path::Silent, &[]).await;
        if let Some(stops_ms) = case.stops_ms {
            let stops = Instant::now() + Duration::from_millis(stops_ms);
            fixture.jobs.answer_by.set(stops).expect("not set before");
        }
        let limit = Duration::from_millis(case.limit_ms);
        let deadline = || Instant::now() + Duration::from_millis(case.left_ms);
        let queue = spec().queue.name.clone();
        for at in 0..4 {
            let answered = timeout(limit, async {
                match at {
                    0 => drop(fixture.jobs.submit(JOB, spec(), deadline()).await),
                    1 => drop(fixture.jobs.cancel(JOB, deadline()).await),
                    2 => drop(fixture.jobs.state(JOB, deadline()).await),
                    _ => drop(fixture.jobs.pending(&queue, deadline()).await),
                }
            });
            assert!(answered.await.is_ok(), "{} {at}", case.name);
        }
    }
}

fn registry(store: &Arc<MemoryStore>, name: &str, port: u16) -> EntryRegistry {
    let node = NodeName::new(name).expect("a valid name");
    let links = SocketAddr::from(([127, 0, 0, 1], port));
    EntryRegistry::new(store.clone(), node, links)
}

async fn check(store: &MemoryStore, registry: &mut EntryRegistry) {
    let ownership = store.range(keys::OWNERSHIP).await;
    registry.update(&ownership.expect("the store answers"));
    registry.written().await;
}

/// Guards against store calls beyond one write for each start of an entry, since each call is
/// priced, and against addresses of replaced VMs that pile up.
#[tokio::test]
async fn entries_find_each_other_with_one_write_each() {
    let store = Arc::new(MemoryStore::new());
    let mut entries: Vec<_> = (0..3)
        .map(|at| registry(&store, &format!("e-{at}"), 7_000 + at))
        .collect();
    for _ in 0..5 {
        for entry in &mut entries {
            check(&store, entry).await;
        }
    }
    let reads = 15;
    assert_eq!(store.metrics().total(), reads + 3);
    assert_eq!(entries[0].addresses.get().len(), 2);
    // A VM that replaces another at the same address, and one that starts again.
    let mut replacement = registry(&store, "e-9", 7_001);
    check(&store, &mut replacement).await;
    let mut restarted = registry(&store, "e-0", 7_000);
    check(&store, &mut restarted).await;
    check(&store, &mut entries[2]).await;
    assert_eq!(store.metrics().total(), reads + 3 + 3 + 1);
    let known = entries[2].addresses.get();
    let known: Vec<_> = known.keys().map(NodeName::as_str).collect();
    assert_eq!(known, ["e-0", "e-9"]);
}

/// Guards against an entry that disappears from the others' view because its address was
/// deleted, and against entries that delete each other's addresses in turn.
#[tokio::test]
async fn more_entries_than_addresses_come_to_rest() {
    let store = Arc::new(MemoryStore::new());
    let mut entries: Vec<_> = (0..70)
        .map(|at| registry(&store, &format!("e-{at}"), 7_000 + at))
        .collect();
    for _ in 0..3 {
        for entry in &mut entries {
            check(&store, entry).await;
        }
    }
    let calls = store.metrics().total();
    for entry in &mut entries {
        check(&store, entry).await;
    }
    assert_eq!(store.metrics().total(), calls + 70);
    assert_eq!(entries[0].addresses.get().len(), 69);
}

/// Guards against an entry that the others never find again: another writer left an odd address in
/// its name, and its own was written on condition that there is none.
#[tokio::test]
async fn an_odd_address_of_an_entry_is_replaced_and_hides_no_other() {
    for odd in ["", "127.0.0.1:0", "127.0.0.1:65536", "[[[[", "1e999"] {
        let store = Arc::new(MemoryStore::new());
        let mut entries: Vec<_> = (0..3)
            .map(|at| registry(&store, &format!("e-{at}"), 7_000 + at))
            .collect();
        for entry in &mut entries {
            check(&store, entry).await;
        }
        let write = Write::Put {
            key: keys::entry(&entries[0].node),
            value: odd.as_bytes().to_vec(),
            lease: None,
        };
        let commit = Commit {
            compares: Vec::new(),
            writes: vec![write],
        };
        store.commit(commit).await.expect("the store answers");
        check(&store, &mut entries[1]).await;
        assert_eq!(entries[1].addresses.get().len(), 1, "{odd:?}");
        check(&store, &mut entries[0]).await;
        check(&store, &mut entries[1]).await;
        assert_eq!(entries[1].addresses.get().len(), 2, "{odd:?}");
    }
}

/// Guards against cancellations and submissions through another entry that end as unknown, since
/// its owner takes long to answer an earlier request on the same link.
#[tokio::test]
async fn a_busy_owner_delays_no_call_on_its_link() {
    let store = Arc::new(MemoryStore::new());
    let jobs = Arc::new(job_service(&store));
    let (listener, address) = listen().await;
    let (owner, _unanswered) = mpsc::channel(16);
    let (_location, location) = watch::channel(OwnerLocation::Local(owner));
    let peer = hello(Role::Entry, "peer");
    tokio::spawn(serve_peers(listener, peer, link_config(), location, jobs));
    let dialed = dial(address, &hello(Role::Entry, "entry"), &link_config()).await;
    let (link, mut incoming) = dialed.expect("a link");
    let requests = [JobRequest::State(JOB), JobRequest::Cancel(JOB)];
    for (request, id) in requests.into_iter().zip(1..) {
        let sent = link.send(Frame::JobRequest(RequestId(id), request));
        sent.expect("the link is open");
    }
    let reply = timeout(Duration::from_secs(5), incoming.next()).await;
    let reply = reply.expect("a reply in time");
    let cancelled = JobReply::Cancelled(CancelOutcome::NoJob);
    assert_eq!(reply, Some(Frame::JobReply(RequestId(2), cancelled)));
}
