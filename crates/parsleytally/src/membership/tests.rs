//! Tests of membership.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::configs::MembershipConfig;
use crate::types::{Incarnation, NodeName, Resources, ServiceKey, Time, ZoneName};

const WORKER: &str = "w1";

fn name(text: &str) -> NodeName {
    text.parse().unwrap()
}

fn service(text: &str) -> ServiceKey {
    ServiceKey {
        team: "demo".parse().unwrap(),
        service: text.parse().unwrap(),
    }
}

fn peer(zone: &str, entry: &str) -> Peer {
    Peer {
        zone: zone.parse().unwrap(),
        name: name(entry),
    }
}

fn announcement(worker: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        worker: name(worker),
        incarnation: Incarnation(incarnation),
        sequence,
        zone: "a".parse().unwrap(),
        rack: "r1".parse().unwrap(),
        service: service("echo"),
        slots: 8,
        connections: 64,
        capacity: Resources::new(16_000, 60 << 30, 0),
        uptime_us: 0,
    }
}

fn heartbeat(worker: &str, incarnation: u64, sequence: u64, phase: Phase) -> Heartbeat {
    Heartbeat {
        worker: name(worker),
        incarnation: Incarnation(incarnation),
        sequence,
        phase,
        load: Load {
            outstanding: u32::try_from(sequence % 8).unwrap(),
            from_receiver: 0,
        },
    }
}

/// A membership with its clock and its collected outputs.
struct TestEntry {
    membership: Membership,
    now: Time,
    out: Vec<Output>,
}

impl TestEntry {
    fn new(zone: &str, entry: &str) -> Self {
        Self::with_config(zone, entry, MembershipConfig::default())
    }

    fn with_config(zone: &str, entry: &str, config: MembershipConfig) -> Self {
        Self {
            membership: Membership::new(config, peer(zone, entry), Incarnation(1)),
            now: Time::from_secs(1),
            out: Vec::new(),
        }
    }

    fn with_ready(worker: &str) -> Self {
        let mut node = Self::new("a", "e1");
        node.step(Input::Announced(announcement(worker, 1, 1)));
        node.step(Input::Heartbeat(heartbeat(worker, 1, 2, Phase::Ready)));
        node
    }

    fn step(&mut self, input: Input) {
        self.membership.step(self.now, input, &mut self.out);
    }

    fn tick_at(&mut self, now: Time) {
        self.now = now;
        self.step(Input::Tick);
    }

    fn state(&self) -> State {
        self.membership.member(&name(WORKER)).unwrap().state()
    }

    fn digests(&mut self) -> Vec<(NodeName, Digest)> {
        let out = self.out.drain(..);
        out.filter_map(|output| match output {
            Output::SendDigest { peer, digest } => Some((peer, digest)),
            _ => None,
        })
        .collect()
    }
}

struct StateCase {
    name: &'static str,
    inputs: Vec<Input>,
    millis: u64,
    state: State,
}

#[test]
fn state_follows_from_messages_and_silence() {
    let link_lost = |incarnation| Input::LinkLost {
        worker: name(WORKER),
        incarnation: Incarnation(incarnation),
    };
    let heartbeat = |incarnation, sequence, phase| {
        Input::Heartbeat(heartbeat(WORKER, incarnation, sequence, phase))
    };
    let cases = [
        StateCase {
            name: "ready",
            inputs: vec![],
            millis: 0,
            state: State::Ready,
        },
        StateCase {
            name: "silent for suspect_after",
            inputs: vec![],
            millis: 1_750,
            state: State::Suspected,
        },
        StateCase {
            name: "silent for gone_after",
            inputs: vec![],
            millis: 10_000,
            state: State::Down,
        },
        StateCase {
            name: "link lost",
            inputs: vec![link_lost(1)],
            millis: 0,
            state: State::Suspected,
        },
        StateCase {
            name: "link lost, then a new heartbeat",
            inputs: vec![link_lost(1), heartbeat(1, 3, Phase::Ready)],
            millis: 0,
            state: State::Ready,
        },
        StateCase {
            name: "link lost, then an old heartbeat",
            inputs: vec![link_lost(1), heartbeat(1, 2, Phase::Ready)],
            millis: 0,
            state: State::Suspected,
        },
        StateCase {
            name: "link of an earlier incarnation lost",
            inputs: vec![link_lost(0)],
            millis: 0,
            state: State::Ready,
        },
        StateCase {
            name: "leaving at the first such heartbeat",
            inputs: vec![heartbeat(1, 3, Phase::Leaving)],
            millis: 0,
            state: State::Leaving,
        },
        StateCase {
            name: "leaving, then a late ready",
            inputs: vec![
                heartbeat(1, 4, Phase::Leaving),
                heartbeat(1, 3, Phase::Ready),
            ],
            millis: 0,
            state: State::Leaving,
        },
        StateCase {
            name: "leaving and silent",
            inputs: vec![heartbeat(1, 3, Phase::Leaving)],
            millis: 1_750,
            state: State::Leaving,
        },
        StateCase {
            name: "stopped",
            inputs: vec![heartbeat(1, 3, Phase::Stopped)],
            millis: 0,
            state: State::Down,
        },
        StateCase {
            name: "new incarnation without announcement",
            inputs: vec![heartbeat(2, 1, Phase::Ready)],
            millis: 0,
            state: State::Joining,
        },
        StateCase {
            name: "new incarnation, then messages of the old one",
            inputs: vec![
                Input::Announced(announcement(WORKER, 2, 1)),
                heartbeat(2, 2, Phase::Ready),
                heartbeat(1, 99, Phase::Stopped),
                link_lost(1),
            ],
            millis: 0,
            state: State::Ready,
        },
        StateCase {
            name: "leaving, then a new incarnation whose heartbeat arrives before its announcement",
            inputs: vec![
                heartbeat(1, 3, Phase::Leaving),
                link_lost(1),
                heartbeat(2, 2, Phase::Ready),
                Input::Announced(announcement(WORKER, 2, 1)),
            ],
            millis: 0,
            state: State::Ready,
        },
    ];
    for case in cases {
        let mut node = TestEntry::with_ready(WORKER);
        for input in case.inputs {
            node.step(input);
        }
        node.tick_at(Time::from_millis(1_000 + case.millis));
        assert_eq!(node.state(), case.state, "{}", case.name);
    }
}

#[test]
fn repeated_heartbeat_does_not_restart_the_timeout() {
    let mut node = TestEntry::with_ready(WORKER);
    node.now = Time::from_millis(2_500);
    node.step(Input::Heartbeat(heartbeat(WORKER, 1, 2, Phase::Ready)));
    node.tick_at(Time::from_millis(2_750));
    assert_eq!(node.state(), State::Suspected);
    assert_eq!(node.membership.counters().stale, 1);
}

#[test]
fn heartbeat_without_announcement_requests_it() {
    let mut node = TestEntry::new("a", "e1");
    node.step(Input::Heartbeat(heartbeat(WORKER, 1, 1, Phase::Ready)));
    let worker = name(WORKER);
    assert_eq!(node.out, [Output::RequestAnnouncement { worker }]);
    assert_eq!(node.state(), State::Joining);
}

#[test]
fn changed_announcement_of_a_ready_worker_is_reported() {
    let mut node = TestEntry::with_ready(WORKER);
    node.out.clear();
    let mut changed = announcement(WORKER, 1, 3);
    changed.slots = 4;
    node.step(Input::Announced(changed));
    node.step(Input::Announced(announcement(WORKER, 1, 1)));
    let worker = name(WORKER);
    assert_eq!(node.out, [Output::OfferChanged { worker }]);
    let member = node.membership.member(&name(WORKER)).unwrap();
    assert_eq!(member.offer().unwrap().slots, 4);
}

#[test]
fn down_worker_is_kept_until_the_forget_timeout() {
    let mut node = TestEntry::with_ready(WORKER);
    node.tick_at(Time::from_secs(600));
    assert_eq!(node.state(), State::Down);
    node.tick_at(Time::from_secs(601));
    assert!(node.membership.member(&name(WORKER)).is_none());
}

#[test]
fn workers_beyond_the_limit_are_refused() {
    let mut node = TestEntry::new("a", "e1");
    let limit = MembershipConfig::default().max_members;
    for i in 0..=limit {
        node.step(Input::Announced(announcement(&format!("w{i}"), 1, 1)));
    }
    assert_eq!(node.membership.members().count(), limit);
    let refusal = Refusal::TooManyMembers { limit };
    assert!(node.out.contains(&Output::Refused(refusal)));
}

/// Runs `check` on values of `strategy`, generated from a fixed seed.
fn check_all<S: Strategy>(strategy: &S, check: impl Fn(S::Value)) {
    const SEED: [u8; 32] = [7; 32];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(RunnerConfig::with_cases(512), rng);
    let outcome = runner.run(strategy, |value| {
        check(value);
        Ok(())
    });
    outcome.unwrap();
}

/// Two announcements and heartbeats of every phase, numbered in sequence.
fn messages_of(incarnation: u64) -> Vec<Input> {
    let phases = [
        Phase::Joining,
        Phase::Ready,
        Phase::Ready,
        Phase::Leaving,
        Phase::Stopped,
    ];
    let heartbeats = phases.iter().zip(2..);
    let heartbeats =
        heartbeats.map(|(phase, n)| Input::Heartbeat(heartbeat(WORKER, incarnation, n, *phase)));
    let announcements = [1, 7].map(|n| Input::Announced(announcement(WORKER, incarnation, n)));
    announcements.into_iter().chain(heartbeats).collect()
}

#[test]
fn any_order_of_the_same_messages_gives_the_same_record() {
    let messages = prop::sample::subsequence(messages_of(1), 0..=7)
        .prop_flat_map(|old| (Just(old), prop::sample::subsequence(messages_of(2), 1..=7)))
        .prop_map(|(old, new)| [old, new].concat())
        .prop_flat_map(|all| {
            let duplicated = [all.clone(), all.clone()].concat();
            (Just(all), Just(duplicated).prop_shuffle())
        });
    check_all(&messages, |(ordered, reordered)| {
        let run = |inputs: Vec<Input>| {
            let mut node = TestEntry::new("a", "e1");
            inputs.into_iter().for_each(|input| node.step(input));
            node.membership.member(&name(WORKER)).unwrap().clone()
        };
        let (ordered, reordered) = (run(ordered), run(reordered));
        assert_eq!(ordered, reordered);
        assert_eq!(reordered.incarnation(), Incarnation(2));
    });
}

/// Entry `e1` of zone `a` with `services` ready workers and one peer each in zones `a` to `d`.
fn digest_sender(services: usize) -> TestEntry {
    let config = MembershipConfig {
        suspect_after: Duration::from_secs(60),
        gone_after: Duration::from_secs(60),
        ..MembershipConfig::default()
    };
    let mut node = TestEntry::with_config("a", "e1", config);
    for i in 0..services {
        let worker = format!("w{i}");
        let mut offer = announcement(&worker, 1, 1);
        offer.service = service(&format!("s{i}"));
        node.step(Input::Announced(offer));
        node.step(Input::Heartbeat(heartbeat(&worker, 1, 2, Phase::Ready)));
    }
    for (zone, entry) in [("a", "e2"), ("b", "e3"), ("c", "e4"), ("d", "e5")] {
        node.step(Input::PeerUp(peer(zone, entry)));
    }
    node.out.clear();
    node
}

#[test]
fn one_entry_sends_digests_to_all_zones_in_turn() {
    let mut node = digest_sender(1);
    let mut reached = Vec::new();
    for second in 2..5 {
        node.tick_at(Time::from_secs(second));
        let digests = node.digests();
        assert_eq!(digests.len(), MembershipConfig::default().fanout);
        reached.extend(digests.into_iter().map(|(peer, _)| peer));
    }
    let zones = ["e3", "e4", "e5"].map(name);
    assert_eq!(reached, [zones.clone(), zones].concat());
    node.step(Input::PeerUp(peer("a", "e0")));
    node.tick_at(Time::from_secs(5));
    assert!(node.digests().is_empty());
    node.step(Input::PeerLost(peer("a", "e0")));
    node.tick_at(Time::from_secs(6));
    assert_eq!(node.digests().len(), 2);
}

#[test]
fn large_zone_is_sent_in_pages_and_a_removed_service_disappears() {
    let services = MAX_DIGEST_ROWS + 100;
    let mut sender = digest_sender(services);
    let mut receiver = TestEntry::new("b", "e3");
    let known_services = |sender: &mut TestEntry, from: u64, receiver: &mut TestEntry| {
        for second in from..from + 4 {
            sender.tick_at(Time::from_secs(second));
            receiver.now = sender.now;
            for (peer, digest) in sender.digests() {
                assert!(digest.rows.len() <= MAX_DIGEST_ROWS);
                if peer == name("e3") {
                    receiver.step(Input::Digest(digest));
                }
            }
        }
        let keys = (0..services).map(|i| service(&format!("s{i}")));
        keys.filter(|key| {
            receiver
                .membership
                .remote_with_most_free_slots(key)
                .is_some()
        })
        .count()
    };
    assert_eq!(known_services(&mut sender, 2, &mut receiver), services);
    sender.step(Input::Heartbeat(heartbeat("w0", 1, 3, Phase::Leaving)));
    assert_eq!(known_services(&mut sender, 6, &mut receiver), services - 1);
}

struct DigestCase {
    name: &'static str,
    change: fn(&mut Digest),
    known: bool,
    relays: usize,
}

#[test]
fn only_newer_valid_digests_are_applied() {
    let cases = [
        DigestCase {
            name: "newer",
            change: |d| {
                d.version = 6;
                d.rows.clear();
            },
            known: false,
            relays: 1,
        },
        DigestCase {
            name: "same version",
            change: |d| d.rows.clear(),
            known: true,
            relays: 0,
        },
        DigestCase {
            name: "earlier incarnation",
            change: |d| {
                d.incarnation = Incarnation(0);
                d.version = 9;
                d.rows.clear();
            },
            known: true,
            relays: 0,
        },
        DigestCase {
            name: "newer and relayed",
            change: |d| {
                d.version = 6;
                d.relayed_in_zone = true;
            },
            known: true,
            relays: 0,
        },
        DigestCase {
            name: "row outside its range",
            change: |d| {
                d.version = 6;
                d.hash_range = (0, 0);
            },
            known: true,
            relays: 0,
        },
        DigestCase {
            name: "too many rows",
            change: |d| {
                d.version = 6;
                d.rows = vec![d.rows[0]; MAX_DIGEST_ROWS + 1];
            },
            known: true,
            relays: 0,
        },
    ];
    let first = Digest {
        origin: peer("b", "e9"),
        incarnation: Incarnation(1),
        version: 5,
        relayed_in_zone: false,
        hash_range: (0, u64::MAX),
        rows: vec![Row {
            service_hash: service_hash(&service("echo")),
            capacity: ServiceCapacity {
                ready_endpoints: 1,
                free_slots: 8,
            },
        }],
    };
    for case in cases {
        let mut node = TestEntry::new("a", "e1");
        node.step(Input::PeerUp(peer("a", "e2")));
        node.step(Input::PeerUp(peer("b", "e9")));
        node.step(Input::Digest(first.clone()));
        node.out.clear();
        let mut second = first.clone();
        (case.change)(&mut second);
        node.step(Input::Digest(second));
        let known = node
            .membership
            .remote_with_most_free_slots(&service("echo"))
            .is_some();
        assert_eq!(known, case.known, "{}", case.name);
        assert_eq!(node.digests().len(), case.relays, "{}", case.name);
    }
}

#[test]
fn expired_digest_is_not_used() {
    let mut sender = digest_sender(1);
    sender.tick_at(Time::from_secs(2));
    let (_, digest) = sender.digests().remove(0);
    let mut node = TestEntry::new("b", "e3");
    node.step(Input::Digest(digest));
    let zone: ZoneName = "a".parse().unwrap();
    let known = node.membership.remote_with_most_free_slots(&service("s0"));
    assert_eq!(
        known.map(|(_, z, room)| (z, room.ready_endpoints)),
        Some((&zone, 1))
    );
    node.tick_at(Time::from_secs(61));
    assert!(
        node.membership
            .remote_with_most_free_slots(&service("s0"))
            .is_none()
    );
}
