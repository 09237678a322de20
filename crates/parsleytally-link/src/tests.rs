//! Tests of links over loopback sockets.

use std::time::Duration;

use bytes::Bytes;
use parsleytally::types::{
    Incarnation, NodeName, RequestId, ServiceKey, ServiceName, TeamName, ZoneName,
};
use tokio::net::{TcpListener, TcpStream};

use crate::*;

/// Far longer than any step of a test takes.
const AMPLE: Duration = Duration::from_secs(30);

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

async fn pair() -> ((Link, Incoming), (Link, Incoming)) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let agent_hello = hello(Role::Agent, "agent");
    let agent = tokio::spawn(async move { dial(address, &agent_hello).await.unwrap() });
    let (stream, _) = listener.accept().await.unwrap();
    let entry = accept(stream, &hello(Role::Entry, "entry")).await.unwrap();
    (entry, agent.await.unwrap())
}

#[tokio::test]
async fn crossed_answers_reach_their_own_callers() {
    let ((entry, mut answers), (agent, mut requests)) = pair().await;
    let calls = std::sync::Arc::new(Calls::new(entry));
    let first = calls.call(request(1), AMPLE);
    let second = calls.call(request(2), AMPLE);
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
    let ((entry, mut answers), (agent, mut requests)) = pair().await;
    let calls = Calls::new(entry);
    let call = calls.call(request(1), AMPLE);
    let cut = async {
        requests.next().await.unwrap();
        agent.close();
        assert!(answers.next().await.is_none());
        calls.lost();
    };
    let (verdict, ()) = tokio::join!(call, cut);
    let reason = "link was lost".to_owned();
    assert_eq!(
        verdict,
        Err(CallError::Unknown {
            reason,
            late: false
        })
    );
    let after = calls.call(request(2), AMPLE).await;
    assert!(matches!(after, Err(CallError::NotRun { .. })), "{after:?}");
}

#[tokio::test]
async fn another_version_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut other = hello(Role::Agent, "agent");
    other.version = PROTOCOL_VERSION + 1;
    let dialled = tokio::spawn(async move { dial(address, &other).await });
    let (stream, _) = listener.accept().await.unwrap();
    let refused = accept(stream, &hello(Role::Entry, "entry")).await;
    assert!(
        matches!(refused, Err(LinkError::Version { .. })),
        "{refused:?}"
    );
    drop(dialled.await);
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
            bytes: &[0, 0, 0, 0],
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut peer = TcpStream::connect(address).await.unwrap();
        tokio::io::AsyncWriteExt::write_all(&mut peer, case.bytes)
            .await
            .unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let refused = accept(stream, &hello(Role::Entry, "entry")).await;
        assert!(refused.is_err(), "{:?}", case.bytes);
    }
}
