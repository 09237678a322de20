//! Tests of links over loopback sockets.

mod batches;
mod malformed;
mod proxy;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use parsleytally::types::{
    Incarnation, NodeName, RequestId, ServiceKey, ServiceName, TeamName, ZoneName,
};
use tokio::net::{TcpListener, TcpStream};

use crate::*;
use proxy::{Action, Direction, Script};

/// Time limit that no test reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

fn hello(role: Role, node: &str) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role,
        node: NodeName::new(node).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        incarnation: Incarnation(1),
    }
}

fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        service: ServiceKey {
            team: TeamName::new("demo").unwrap(),
            service: ServiceName::new("echo").unwrap(),
        },
        method: "GET".to_owned(),
        path: "/echo".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        timeout: 1_000_000,
        trace: String::new(),
    }
}

fn answer(id: u64, body: &str) -> Answer {
    Answer {
        id: RequestId(id),
        status: 200,
        headers: Vec::new(),
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

fn keys(byte: u8) -> Keys {
    Keys::single(Key::new([byte; KEY_BYTES]))
}

fn config() -> LinkConfig {
    LinkConfig::new(keys(1))
}

type Ends = (Link, Incoming);

/// Binds an entry's listener and returns it with its address.
async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Opens a link from an agent to an entry; returns the entry's end, then the agent's.
async fn open(
    address: SocketAddr,
    listener: &TcpListener,
    agent: LinkConfig,
    entry: LinkConfig,
) -> (Result<Ends, LinkError>, Result<Ends, LinkError>) {
    let agent = async move { dial(address, &hello(Role::Agent, "agent"), &agent).await };
    let entry = async move {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, &hello(Role::Entry, "entry"), &entry).await
    };
    let (agent, entry) = tokio::join!(agent, entry);
    (entry, agent)
}

async fn link_pair() -> (Ends, Ends) {
    let (listener, address) = listen().await;
    let (entry, agent) = open(address, &listener, config(), config()).await;
    (entry.unwrap(), agent.unwrap())
}

/// Opens a link through a proxy that runs `script`.
async fn link_pair_through_proxy(script: Script) -> (Ends, Ends) {
    let (listener, address) = listen().await;
    let address = proxy::start(address, script).await;
    let (entry, agent) = open(address, &listener, config(), config()).await;
    (entry.unwrap(), agent.unwrap())
}

#[tokio::test]
async fn out_of_order_answers_reach_their_own_callers() {
    let ((entry, mut answers), (agent, mut requests)) = link_pair().await;
    let calls = Arc::new(Calls::new(entry));
    let first = calls.call(request(1), LONG_TIMEOUT);
    let second = calls.call(request(2), LONG_TIMEOUT);
    let serve = async {
        for _ in 0..2 {
            assert!(matches!(requests.next().await, Some(Frame::Request(_))));
        }
        agent.send(Frame::Answer(answer(2, "second"))).unwrap();
        agent.send(Frame::Answer(answer(7, "nobody's"))).unwrap();
        agent.send(Frame::Answer(answer(1, "first"))).unwrap();
        for _ in 0..3 {
            let Some(Frame::Answer(answer)) = answers.next().await else {
                panic!("expected an answer");
            };
            calls.answered(answer);
        }
    };
    let (first, second, ()) = tokio::join!(first, second, serve);
    assert_eq!(first.unwrap().body, "first");
    assert_eq!(second.unwrap().body, "second");
    assert_eq!(calls.strays(), 1);
    assert_eq!(calls.in_flight(), 0);
}

#[tokio::test]
async fn a_lost_link_settles_requests_as_unknown() {
    let ((entry, mut answers), (agent, mut requests)) = link_pair().await;
    let calls = Calls::new(entry);
    let call = calls.call(request(1), LONG_TIMEOUT);
    let close = async {
        requests.next().await.unwrap();
        agent.close();
        assert!(answers.next().await.is_none());
        calls.lost();
    };
    let (result, ()) = tokio::join!(call, close);
    let reason = "link was lost".to_owned();
    assert_eq!(
        result,
        Err(CallError::Unknown {
            reason,
            timed_out: false,
            endpoint_lost: false,
        })
    );
    let after = calls.call(request(2), LONG_TIMEOUT).await;
    assert!(matches!(after, Err(CallError::NotRun { .. })), "{after:?}");
}

struct RefusedCase {
    name: &'static str,
    agent: Hello,
    /// Role of the accepting side.
    acceptor_role: Role,
    agent_keys: Keys,
    entry_keys: Keys,
    is_expected: fn(&LinkError) -> bool,
}

#[tokio::test]
async fn a_peer_of_another_version_role_or_key_is_refused() {
    let mut other = hello(Role::Agent, "agent");
    other.version = PROTOCOL_VERSION + 1;
    let cases = [
        RefusedCase {
            name: "version",
            agent: other,
            acceptor_role: Role::Entry,
            agent_keys: keys(1),
            entry_keys: keys(1),
            is_expected: |error| matches!(error, LinkError::Version { .. }),
        },
        RefusedCase {
            name: "role",
            agent: hello(Role::Agent, "agent"),
            acceptor_role: Role::Agent,
            agent_keys: keys(1),
            entry_keys: keys(1),
            is_expected: |error| matches!(error, LinkError::Role { .. }),
        },
        RefusedCase {
            name: "key",
            agent: hello(Role::Agent, "agent"),
            acceptor_role: Role::Entry,
            agent_keys: keys(2),
            entry_keys: keys(1),
            is_expected: |error| matches!(error, LinkError::Unauthenticated { .. }),
        },
        RefusedCase {
            name: "key that only the agent still accepts",
            agent: hello(Role::Agent, "agent"),
            acceptor_role: Role::Entry,
            agent_keys: Keys {
                other: Some(keys(1).current),
                ..keys(2)
            },
            entry_keys: keys(1),
            is_expected: |error| matches!(error, LinkError::Unauthenticated { .. }),
        },
    ];
    for case in cases {
        let (listener, address) = listen().await;
        let config = LinkConfig::new(case.agent_keys);
        let dialled = tokio::spawn(async move { dial(address, &case.agent, &config).await });
        let (stream, _) = listener.accept().await.unwrap();
        let config = LinkConfig::new(case.entry_keys);
        let accepted = accept(stream, &hello(case.acceptor_role, "entry"), &config).await;
        let error = accepted.expect_err(case.name);
        assert!((case.is_expected)(&error), "{}: {error}", case.name);
        drop(dialled.await);
    }
}

#[tokio::test]
async fn entries_open_links_to_each_other() {
    let (listener, address) = listen().await;
    let dialled = tokio::spawn(async move {
        let config = LinkConfig::new(keys(1));
        dial(address, &hello(Role::Entry, "one"), &config).await
    });
    let (stream, _) = listener.accept().await.unwrap();
    let config = LinkConfig::new(keys(1));
    let accepted = accept(stream, &hello(Role::Entry, "two"), &config).await;
    let (link, _incoming) = accepted.unwrap();
    assert_eq!(link.peer().node.as_str(), "one");
    assert!(dialled.await.unwrap().is_ok());
}

#[tokio::test]
async fn peers_with_different_current_keys_connect_during_rotation() {
    let (listener, address) = listen().await;
    let rotating = LinkConfig::new(Keys {
        other: Some(keys(1).current),
        ..keys(2)
    });
    let accepting = LinkConfig::new(Keys {
        other: Some(keys(2).current),
        ..keys(1)
    });
    let (entry, agent) = open(address, &listener, rotating, accepting).await;
    let ((entry, _answers), (_agent, mut frames)) = (entry.unwrap(), agent.unwrap());
    entry.send(Frame::Cancel(RequestId(1))).unwrap();
    assert_eq!(frames.next().await, Some(Frame::Cancel(RequestId(1))));
}

struct GarbageCase {
    bytes: &'static [u8],
}

#[tokio::test]
async fn garbage_instead_of_a_hello_is_refused() {
    let cases = [
        GarbageCase {
            bytes: b"GET / HTTP/1.1\r\n\r\n",
        },
        GarbageCase { bytes: &[0xff; 64] },
        GarbageCase {
            bytes: &[0, 0, 0, 2, 9, 9],
        },
        GarbageCase {
            bytes: &[0, 0, 0, 2, 2, 9],
        },
        GarbageCase {
            bytes: &[0, 0, 0, 0],
        },
        GarbageCase {
            bytes: &[0, 0, 8, 0],
        },
    ];
    for case in cases {
        let (listener, address) = listen().await;
        let mut peer = TcpStream::connect(address).await.unwrap();
        tokio::io::AsyncWriteExt::write_all(&mut peer, case.bytes)
            .await
            .unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let refused = accept(stream, &hello(Role::Entry, "entry"), &config()).await;
        let error = refused.expect_err("garbage was accepted");
        let timed_out = matches!(error, LinkError::NoHello { .. });
        assert!(!timed_out, "{:?}: {error}", case.bytes);
    }
}

/// Proxy's index of the first frame after the handshake.
const FIRST_FRAME: usize = 2;

struct TamperCase {
    name: &'static str,
    script: fn(Direction, usize) -> Action,
    /// Answers that reach the entry before the link closes.
    received: &'static [u64],
}

#[tokio::test]
async fn tampered_frames_close_the_link_and_are_not_delivered() {
    let cases = [
        TamperCase {
            name: "changed",
            script: |direction, index| match (direction, index) {
                (Direction::ToEntry, FIRST_FRAME) => Action::Change,
                _ => Action::Pass,
            },
            received: &[],
        },
        TamperCase {
            name: "duplicated",
            script: |direction, index| match (direction, index) {
                (Direction::ToEntry, FIRST_FRAME) => Action::Duplicate,
                _ => Action::Pass,
            },
            received: &[1],
        },
        TamperCase {
            name: "dropped",
            script: |direction, index| match (direction, index) {
                (Direction::ToEntry, FIRST_FRAME) => Action::Drop,
                _ => Action::Pass,
            },
            received: &[],
        },
        TamperCase {
            name: "huge length",
            script: |direction, index| match (direction, index) {
                (Direction::ToEntry, FIRST_FRAME) => Action::OversizedLength,
                _ => Action::Pass,
            },
            received: &[],
        },
        TamperCase {
            name: "truncated",
            script: |direction, index| match (direction, index) {
                (Direction::ToEntry, 3) => Action::Truncate,
                _ => Action::Pass,
            },
            received: &[1],
        },
    ];
    for case in cases {
        let ((_entry, mut answers), (agent, _requests)) =
            link_pair_through_proxy(Arc::new(case.script)).await;
        agent.send(Frame::Answer(answer(1, "first"))).unwrap();
        agent.send(Frame::Answer(answer(2, "second"))).unwrap();
        let mut received = Vec::new();
        while let Some(frame) = answers.next().await {
            let Frame::Answer(answer) = frame else {
                panic!("{}: unexpected frame {frame:?}", case.name);
            };
            received.push(answer.id.0);
        }
        assert_eq!(received, case.received, "{}", case.name);
    }
}

#[tokio::test]
async fn an_oversized_frame_is_refused_and_the_link_stays_open() {
    let ((_entry, mut answers), (agent, _requests)) = link_pair().await;
    let body = "x".repeat(FRAME_LIMIT_BYTES);
    let refused = agent.send(Frame::Answer(answer(1, &body)));
    assert!(matches!(refused, Err(LinkError::Oversized { .. })));
    let refused = agent.deliver(Frame::Answer(answer(1, &body))).await;
    assert!(matches!(refused, Err(LinkError::Oversized { .. })));
    agent.send(Frame::Answer(answer(2, "small"))).unwrap();
    let small = answer(2, "small");
    assert_eq!(answers.next().await, Some(Frame::Answer(small)));
}

/// Size of a body that is split into many chunks.
const LARGE_BYTES: usize = 1 << 20;

#[tokio::test]
async fn large_frames_arrive_complete_and_do_not_block_small_ones() {
    let ((_entry, mut answers), (agent, _requests)) = link_pair().await;
    let fill = |id: u64| char::from(b'a' + u8::try_from(id).unwrap()).to_string();
    for id in 0..3 {
        let body = fill(id).repeat(LARGE_BYTES);
        agent.send(Frame::Answer(answer(id, &body))).unwrap();
    }
    agent.send(Frame::Answer(answer(3, "small"))).unwrap();
    let mut order = Vec::new();
    for _ in 0..4 {
        let Some(Frame::Answer(answer)) = answers.next().await else {
            panic!("expected an answer");
        };
        if answer.id.0 < 3 {
            let expected = fill(answer.id.0).repeat(LARGE_BYTES);
            assert!(answer.body == expected, "answer {}", answer.id);
        }
        order.push(answer.id.0);
    }
    assert_eq!(order[0], 3, "the small frame passes the large ones");
    assert_eq!(order.len(), 4);
}

#[tokio::test]
async fn a_slow_network_does_not_exceed_the_silence_limit() {
    let mut short_silence = config();
    short_silence.silence = Duration::from_secs(1);
    let (listener, entry) = listen().await;
    let address = proxy::start_slow(entry).await;
    let (entry, agent) = open(address, &listener, short_silence.clone(), short_silence).await;
    let ((_entry, mut answers), (agent, _requests)) = (entry.unwrap(), agent.unwrap());
    let body = "x".repeat(LARGE_BYTES);
    agent.send(Frame::Answer(answer(1, &body))).unwrap();
    let Some(Frame::Answer(answer)) = answers.next().await else {
        panic!("the link was closed");
    };
    assert!(answer.body == body);
}

#[tokio::test]
async fn a_slow_receiver_applies_backpressure_within_the_limits() {
    let ((_entry, mut answers), (agent, _requests)) = link_pair().await;
    let body = "x".repeat(LARGE_BYTES);
    let mut sent = 0;
    let full = loop {
        match agent.send(Frame::Answer(answer(sent, &body))) {
            Ok(()) => sent += 1,
            Err(error) => break error,
        }
    };
    assert!(matches!(full, LinkError::Full), "{full}");
    assert!(sent <= (OUT_CHANNEL_BYTES / LARGE_BYTES) as u64);
    let more = 16;
    let deliver = async {
        for id in sent..sent + more {
            agent
                .deliver(Frame::Answer(answer(id, &body)))
                .await
                .unwrap();
        }
    };
    let receive = async {
        let mut ids = Vec::new();
        for _ in 0..sent + more {
            let Some(Frame::Answer(answer)) = answers.next().await else {
                panic!("expected an answer");
            };
            assert_eq!(answer.body.len(), LARGE_BYTES);
            ids.push(answer.id.0);
        }
        ids.sort_unstable();
        assert_eq!(ids, (0..sent + more).collect::<Vec<_>>());
    };
    tokio::join!(deliver, receive);
}

struct SilenceCase {
    name: &'static str,
    is_silent: fn(Direction) -> bool,
}

/// The proxy starts to drop all frames in one or both directions while a request is in
/// flight; new connections still work.
#[tokio::test]
async fn a_silent_link_is_closed_and_its_requests_are_settled() {
    let cases = [
        SilenceCase {
            name: "towards the entry",
            is_silent: |direction| direction == Direction::ToEntry,
        },
        SilenceCase {
            name: "towards the agent",
            is_silent: |direction| direction == Direction::ToAgent,
        },
        SilenceCase {
            name: "both directions",
            is_silent: |_| true,
        },
    ];
    let tasks = cases.map(|case| tokio::spawn(check_silent_link(case)));
    for task in tasks {
        task.await.unwrap();
    }
}

async fn check_silent_link(case: SilenceCase) {
    let dropping = Arc::new(AtomicBool::new(false));
    let is_dropping = dropping.clone();
    let script: Script = Arc::new(move |direction, _| {
        let drop_frame = is_dropping.load(Ordering::SeqCst) && (case.is_silent)(direction);
        if drop_frame {
            Action::Drop
        } else {
            Action::Pass
        }
    });
    let (listener, entry_address) = listen().await;
    let address = proxy::start(entry_address, script).await;
    let (entry, agent) = open(address, &listener, config(), config()).await;
    let ((entry, mut answers), (agent, mut requests)) = (entry.unwrap(), agent.unwrap());
    let calls = Calls::new(entry);
    let call = calls.call(request(1), LONG_TIMEOUT);
    let lose_link = async {
        requests.next().await.unwrap();
        dropping.store(true, Ordering::SeqCst);
        let _ = agent.send(Frame::Answer(answer(1, "lost or late")));
        while let Some(frame) = answers.next().await {
            let Frame::Answer(answer) = frame else {
                continue;
            };
            calls.answered(answer);
        }
        calls.lost();
        while requests.next().await.is_some() {}
    };
    let (result, ()) = tokio::join!(call, lose_link);
    let answered = !(case.is_silent)(Direction::ToEntry);
    match result {
        Ok(answer) => assert!(answered && answer.body == "lost or late", "{}", case.name),
        Err(error) => {
            let unknown = matches!(
                error,
                CallError::Unknown {
                    timed_out: false,
                    endpoint_lost: false,
                    ..
                }
            );
            assert!(!answered && unknown, "{}: {error}", case.name);
        }
    }
    let (entry, agent) = open(entry_address, &listener, config(), config()).await;
    let ((entry, mut answers), (agent, mut requests)) = (entry.unwrap(), agent.unwrap());
    let calls = Calls::new(entry);
    let call = calls.call(request(2), LONG_TIMEOUT);
    let serve = async {
        requests.next().await.unwrap();
        agent
            .send(Frame::Answer(answer(1, "of the old link")))
            .unwrap();
        agent.send(Frame::Answer(answer(2, "new"))).unwrap();
        for _ in 0..2 {
            let Some(Frame::Answer(answer)) = answers.next().await else {
                panic!("{}: expected an answer", case.name);
            };
            calls.answered(answer);
        }
    };
    let (result, ()) = tokio::join!(call, serve);
    assert_eq!(result.unwrap().body, "new", "{}", case.name);
    assert_eq!(calls.strays(), 1, "{}", case.name);
}

#[tokio::test]
async fn an_idle_link_stays_open() {
    let mut short_heartbeat = config();
    short_heartbeat.heartbeat = Duration::from_millis(20);
    let (listener, address) = listen().await;
    let (entry, agent) = open(address, &listener, short_heartbeat.clone(), short_heartbeat).await;
    let ((entry, _answers), (agent, mut requests)) = (entry.unwrap(), agent.unwrap());
    tokio::time::sleep(SILENCE_LIMIT * 3 / 2).await;
    assert!(!entry.is_closed() && !agent.is_closed());
    entry.send(Frame::Cancel(RequestId(1))).unwrap();
    assert_eq!(requests.next().await, Some(Frame::Cancel(RequestId(1))));
}

#[tokio::test]
async fn dropping_the_receiving_half_closes_the_link() {
    let ((entry, mut answers), (agent, requests)) = link_pair().await;
    drop(requests);
    assert_eq!(answers.next().await, None);
    assert!(entry.is_closed() && agent.is_closed());
}

struct ConfigCase {
    text: &'static str,
    error: &'static str,
}

#[test]
fn an_error_about_a_bad_key_names_the_setting_and_hides_the_value() {
    let cases = [
        ConfigCase {
            text: "[link]\n",
            error: "key \"key\" is missing in section [link]",
        },
        ConfigCase {
            text: "[link]\nkey = secret\n",
            error: "value \"(hidden)\" of key \"key\" in section [link]: \
                    a link key is 64 hexadecimal digits",
        },
    ];
    for case in cases {
        let mut document = parsleytally::configs::Document::parse(case.text.as_bytes()).unwrap();
        let error = LinkConfig::take(document.take("link")).unwrap_err();
        assert_eq!(error.to_string(), case.error);
    }
}
