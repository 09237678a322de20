//! Garbage, oversized and incomplete requests on every port of a running system.

use std::net::SocketAddr;

use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::system::{Builder, System};

/// Connections per port that stay open with an incomplete request.
const SLOW_CONNECTIONS: usize = 64;
/// Size above any accepted HTTP head or link hello.
const HUGE_BYTES: usize = 1 << 20;

struct GarbageCase {
    name: &'static str,
    bytes: fn() -> Vec<u8>,
}

const CASES: [GarbageCase; 7] = [
    GarbageCase {
        name: "nothing",
        bytes: Vec::new,
    },
    GarbageCase {
        name: "high bytes",
        bytes: || vec![0xff; 4_096],
    },
    GarbageCase {
        name: "zeros",
        bytes: || vec![0; 4_096],
    },
    GarbageCase {
        name: "half a request line",
        bytes: || b"GET /demo/echo/".to_vec(),
    },
    GarbageCase {
        name: "oversized head",
        bytes: || {
            let value = "x".repeat(HUGE_BYTES);
            format!("GET /demo/echo/x HTTP/1.1\r\nhost: a\r\nx: {value}\r\n\r\n").into_bytes()
        },
    },
    GarbageCase {
        name: "oversized body",
        bytes: || {
            let head = "POST /demo/echo/book/huge HTTP/1.1\r\nhost: a\r\n";
            let body = "x".repeat(HUGE_BYTES + 1);
            format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
        },
    },
    GarbageCase {
        name: "body shorter than its length",
        bytes: || {
            let head = "POST /demo/echo/book/huge HTTP/1.1\r\nhost: a\r\n";
            format!("{head}content-length: 100\r\n\r\nshort").into_bytes()
        },
    },
];

fn ports(system: &System) -> [SocketAddr; 4] {
    let entry = &system.entries[0];
    let agent = &system.agents[0];
    [
        entry.callers(),
        entry.operators(),
        entry.links(),
        agent.operators(),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_every_port_runs_no_request_and_blocks_none() {
    let system = Builder::default().start().await;
    for port in ports(&system) {
        for case in &CASES {
            send_and_shut_down(port, (case.bytes)()).await;
            assert_served(&system, case.name).await;
        }
    }
    assert_eq!(system.sample.booked("huge"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_requests_do_not_block_other_callers() {
    let system = Builder::default().start().await;
    let mut open = Vec::new();
    for port in ports(&system) {
        for n in 0..SLOW_CONNECTIONS {
            let mut stream = TcpStream::connect(port).await.unwrap();
            let bytes = (CASES[n % CASES.len()].bytes)();
            let prefix = &bytes[..bytes.len().min(64) / 2];
            stream.write_all(prefix).await.unwrap();
            open.push(stream);
        }
    }
    assert_served(&system, "slow connections").await;
    assert_eq!(open.len(), 4 * SLOW_CONNECTIONS);
}

/// Sends `bytes`, shuts down the sending side and reads until the peer closes too.
async fn send_and_shut_down(port: SocketAddr, bytes: Vec<u8>) {
    let mut stream = TcpStream::connect(port).await.unwrap();
    // The peer may close before everything is written.
    let _ = stream.write_all(&bytes).await;
    let _ = stream.shutdown().await;
    let _ = stream.read_to_end(&mut Vec::new()).await;
}

async fn assert_served(system: &System, name: &str) {
    let token = "still-here";
    let reply = system.call(0, Method::GET, "/demo/echo/x", &[], token);
    let reply = reply.await;
    assert_eq!(reply.status, 200, "{name}: {}", reply.body);
    assert!(reply.body.contains(token), "{name}");
}
