//! Measures the latency of small frames with and without large frames on the same link.
//!
//! `cargo run --release -p parsleytally-link --example blocking`

use std::time::{Duration, Instant};

use bytes::Bytes;
use parsleytally::types::{Incarnation, RequestId};
use parsleytally_link::{
    Answer, Frame, Hello, Incoming, Key, Keys, Link, LinkConfig, PROTOCOL_VERSION, Role, accept,
    dial,
};
use tokio::net::TcpListener;

const SMALL_FRAMES: u64 = 2_000;
const SEND_INTERVAL: Duration = Duration::from_millis(1);
const LARGE_BYTES: usize = 1 << 20;
/// Id of large frames; the id of a small frame is its time of sending.
const LARGE_FRAME_ID: RequestId = RequestId(u64::MAX);

fn hello(role: Role, node: &str) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role,
        node: node.parse().expect("a valid name"),
        zone: "a".parse().expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn answer(id: RequestId, body: &Bytes) -> Frame {
    Frame::Answer(Answer {
        id,
        status: 200,
        headers: Vec::new(),
        body: body.clone(),
    })
}

#[tokio::main]
async fn main() {
    for large in [false, true] {
        let mut latencies = measure(large).await;
        latencies.sort_unstable();
        let percentile = |share: f64| latencies[((latencies.len() - 1) as f64 * share) as usize];
        println!(
            "large frames {large:>5}: p50 {} us, p99 {} us, highest {} us",
            percentile(0.5),
            percentile(0.99),
            percentile(1.0)
        );
    }
}

async fn measure(large: bool) -> Vec<u64> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let config = LinkConfig::new(Keys::single(Key::random()));
    let entry = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        accept(stream, &hello(Role::Entry, "entry"), &config).await
    };
    let agent = hello(Role::Agent, "agent");
    let (entry, agent) = tokio::join!(entry, dial(address, &agent, &config));
    let (_entry, mut answers) = entry.expect("an accepted link");
    let (agent, _requests) = agent.expect("a dialled link");
    let origin = Instant::now();
    if large {
        tokio::spawn(send_large_frames(agent.clone()));
    }
    tokio::spawn(send_small_frames(agent, origin));
    receive(&mut answers, origin).await
}

/// Sends a large frame every twenty milliseconds; skips it if the channel is full.
async fn send_large_frames(link: Link) {
    let body = Bytes::from(vec![7; LARGE_BYTES]);
    while !link.is_closed() {
        let _ = link.send(answer(LARGE_FRAME_ID, &body));
        tokio::time::sleep(SEND_INTERVAL * 20).await;
    }
}

async fn send_small_frames(link: Link, origin: Instant) {
    let mut interval = tokio::time::interval(SEND_INTERVAL);
    for _ in 0..SMALL_FRAMES {
        interval.tick().await;
        let sent = RequestId(micros(origin));
        if link.send(answer(sent, &Bytes::new())).is_err() {
            continue;
        }
    }
    tokio::time::sleep(SEND_INTERVAL * 100).await;
    link.close();
}

async fn receive(answers: &mut Incoming, origin: Instant) -> Vec<u64> {
    let mut latencies = Vec::new();
    while let Some(frame) = answers.next().await {
        let Frame::Answer(answer) = frame else {
            continue;
        };
        if answer.id != LARGE_FRAME_ID {
            latencies.push(micros(origin).saturating_sub(answer.id.0));
        }
    }
    latencies
}

fn micros(origin: Instant) -> u64 {
    u64::try_from(origin.elapsed().as_micros()).unwrap_or(u64::MAX)
}
