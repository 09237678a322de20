//! Prints what membership costs by size: bytes of messages and time of steps.
//!
//! `cargo run --release -p parsleytally --example membership_cost`

use std::time::{Duration, Instant};

use parsleytally::configs::MembershipConfig;
use parsleytally::membership::{
    Announcement, Heartbeat, Input, Load, Membership, Output, Peer, Phase,
};
use parsleytally::types::{Incarnation, NodeName, Resources, ServiceKey, Time};

const SIZES: [usize; 4] = [11, 100, 300, 3_000];
const ROUNDS: u64 = 20;
const HEARTBEAT_MILLIS: u64 = 500;
const WORKERS_PER_SERVICE: usize = 3;

fn worker(index: usize) -> NodeName {
    format!("worker-{index:04}").parse().expect("a valid name")
}

fn offer(index: usize) -> Announcement {
    let service = index / WORKERS_PER_SERVICE;
    Announcement {
        worker: worker(index),
        incarnation: Incarnation(1_700_000_000_000),
        sequence: 1,
        zone: "zone-a".parse().expect("a valid name"),
        rack: format!("rack-{}", index / 3).parse().expect("a valid name"),
        service: ServiceKey {
            team: "demo".parse().expect("a valid name"),
            service: format!("s{service}").parse().expect("a valid name"),
        },
        slots: 8,
        connections: 64,
        capacity: Resources::new(16_000, 60 << 30, 0),
        uptime_us: 0,
    }
}

fn beat(index: usize, sequence: u64) -> Heartbeat {
    Heartbeat {
        worker: worker(index),
        incarnation: Incarnation(1_700_000_000_000),
        sequence,
        phase: Phase::Ready,
        load: Load {
            outstanding: 8,
            from_receiver: 3,
        },
    }
}

fn peer(zone: &str, name: &str) -> Peer {
    Peer {
        zone: zone.parse().expect("a valid name"),
        name: name.parse().expect("a valid name"),
    }
}

fn size_of<T: serde::Serialize>(message: &T) -> usize {
    let bytes = postcard::to_allocvec(message).expect("messages can be encoded");
    bytes.len()
}

fn main() {
    println!("announcement {} B", size_of(&offer(1)));
    println!("heartbeat {} B", size_of(&beat(1, 1_000_000)));
    println!(
        "{:>8} {:>9} {:>14} {:>12} {:>10}",
        "workers", "services", "ns/heartbeat", "us/tick", "digest B"
    );
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: usize) {
    let own = peer("zone-a", "entry-1");
    let mut membership = Membership::new(MembershipConfig::default(), own, Incarnation(1));
    let mut out = Vec::new();
    let mut now = Time::from_secs(1);
    membership.step(now, Input::PeerUp(peer("zone-b", "entry-2")), &mut out);
    for index in 0..size {
        membership.step(now, Input::Announced(offer(index)), &mut out);
    }
    let (mut beats, mut ticks) = (Duration::ZERO, Duration::ZERO);
    let mut digest = 0;
    for round in 0..ROUNDS {
        now = now.after(Duration::from_millis(HEARTBEAT_MILLIS));
        let started = Instant::now();
        for index in 0..size {
            membership.step(now, Input::Heartbeat(beat(index, round + 2)), &mut out);
        }
        beats += started.elapsed();
        out.clear();
        let started = Instant::now();
        membership.step(now, Input::Tick, &mut out);
        ticks += started.elapsed();
        for output in out.drain(..) {
            if let Output::SendDigest { digest: sent, .. } = output {
                digest = digest.max(size_of(&sent));
            }
        }
    }
    println!(
        "{size:>8} {:>9} {:>14.0} {:>12.1} {digest:>10}",
        size.div_ceil(WORKERS_PER_SERVICE),
        beats.as_nanos() as f64 / (size as u64 * ROUNDS) as f64,
        ticks.as_micros() as f64 / ROUNDS as f64,
    );
}
