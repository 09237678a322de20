//! Tests of idempotency keys at the agent and at the entry.

use std::time::Duration;

use super::*;
use crate::configs::OnceConfig;
use crate::types::{Bytes, Incarnation, NodeName, ServiceName, TeamName, Time};

const TTL: Duration = Duration::from_secs(60);
const NODES: [&str; 5] = ["w1", "w2", "w3", "w4", "w5"];

fn key(text: &str) -> KeyHash {
    let service = ServiceKey {
        team: TeamName::new("demo").unwrap(),
        service: ServiceName::new("echo").unwrap(),
    };
    KeyHash::new(&service, text.as_bytes())
}

fn request_hash(text: &str) -> RequestHash {
    RequestHash::new("POST", "/echo/book/pew-7", text.as_bytes())
}

/// One agent's key table, with its clock and its next ticket.
struct Agent {
    table: KeyTable<&'static str>,
    now: Time,
    next_ticket: u64,
}

impl Agent {
    fn new() -> Self {
        let config = OnceConfig {
            ttl: TTL,
            keys: 3,
            memory: Bytes(100),
            max_answer: Bytes(60),
        };
        Self {
            table: KeyTable::new(config),
            now: Time::from_secs(1),
            next_ticket: 0,
        }
    }

    fn step(&mut self, input: Input<&'static str>) -> Vec<Output<&'static str>> {
        let mut out = Vec::new();
        self.table.step(self.now, input, &mut out);
        out
    }

    fn arrive(&mut self, text: &str, body: &str) -> Vec<Output<&'static str>> {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.step(Input::Arrive {
            ticket,
            key: key(text),
            request: request_hash(body),
        })
    }

    fn complete(
        &mut self,
        text: &str,
        outcome: Outcome<&'static str>,
    ) -> Vec<Output<&'static str>> {
        let key = key(text);
        self.step(Input::Complete { key, outcome })
    }

    fn fence(&mut self, text: &str) -> Vec<Output<&'static str>> {
        let ticket = Ticket(99);
        let key = key(text);
        self.step(Input::Fence { ticket, key })
    }
}

fn answered(size: u64) -> Outcome<&'static str> {
    let answer = "booked";
    Outcome::Answered { answer, size }
}

fn refused(ticket: u64, conflict: Conflict) -> Output<&'static str> {
    let ticket = Ticket(ticket);
    Output::Refuse { ticket, conflict }
}

fn replayed(ticket: u64) -> Output<&'static str> {
    Output::Replay {
        ticket: Ticket(ticket),
        answer: "booked",
    }
}

fn run(ticket: u64) -> Output<&'static str> {
    Output::Run {
        ticket: Ticket(ticket),
    }
}

struct RepeatCase {
    name: &'static str,
    outcome: Outcome<&'static str>,
    waiting: Output<&'static str>,
    later: Option<Output<&'static str>>,
}

#[test]
fn a_repeated_key_runs_once() {
    let cases = [
        RepeatCase {
            name: "answered",
            outcome: answered(10),
            waiting: replayed(1),
            later: Some(replayed(2)),
        },
        RepeatCase {
            name: "answer too large to keep",
            outcome: answered(61),
            waiting: replayed(1),
            later: Some(refused(2, Conflict::AnswerNotKept)),
        },
        RepeatCase {
            name: "outcome unknown",
            outcome: Outcome::Unknown,
            waiting: refused(1, Conflict::Unknown),
            later: Some(refused(2, Conflict::Unknown)),
        },
        RepeatCase {
            name: "not run, so the waiting request runs",
            outcome: Outcome::NotRun,
            waiting: run(1),
            later: None,
        },
    ];
    for case in cases {
        let mut agent = Agent::new();
        assert_eq!(agent.arrive("k", "a"), [run(0)], "{}", case.name);
        assert_eq!(agent.arrive("k", "a"), [], "{}", case.name);
        assert_eq!(agent.complete("k", case.outcome), [case.waiting]);
        let later: Vec<_> = case.later.into_iter().collect();
        assert_eq!(agent.arrive("k", "a"), later, "{}", case.name);
        let reused = [refused(3, Conflict::Reused)];
        assert_eq!(agent.arrive("k", "b"), reused, "{}", case.name);
    }
}

#[test]
fn a_key_is_forgotten_only_after_its_ttl() {
    let mut agent = Agent::new();
    agent.arrive("k", "a");
    agent.now = agent.now.after(TTL * 5);
    assert_eq!(agent.arrive("k", "a"), [], "a running key does not expire");
    agent.complete("k", answered(10));
    agent.now = agent.now.after(TTL - Duration::from_micros(1));
    assert_eq!(agent.arrive("k", "a"), [replayed(2)]);
    agent.now = agent.now.after(Duration::from_micros(1));
    assert_eq!(agent.arrive("k", "a"), [run(3)]);
    assert_eq!(agent.table.answer_bytes(), 0);
}

#[test]
fn a_full_table_refuses_new_keys_and_remembers_the_old() {
    let mut agent = Agent::new();
    for text in ["a", "b", "c"] {
        agent.arrive(text, "x");
        agent.complete(text, answered(40));
    }
    assert_eq!(
        agent.table.answer_bytes(),
        80,
        "the third answer does not fit"
    );
    assert_eq!(
        agent.arrive("d", "x"),
        [Output::NotRun {
            ticket: Ticket(3),
            retry_after: TTL
        }]
    );
    assert_eq!(agent.arrive("a", "x"), [replayed(4)]);
    assert_eq!(
        agent.arrive("c", "x"),
        [refused(5, Conflict::AnswerNotKept)]
    );
}

#[test]
fn a_fenced_key_never_runs_and_a_known_key_is_not_fenced() {
    let mut agent = Agent::new();
    let fenced = [Output::Fenced { ticket: Ticket(99) }];
    assert_eq!(agent.fence("k"), fenced);
    assert_eq!(agent.fence("k"), fenced);
    assert_eq!(agent.arrive("k", "a"), [refused(0, Conflict::Moved)]);
    agent.arrive("l", "a");
    assert_eq!(
        agent.fence("l"),
        [Output::FenceRefused { ticket: Ticket(99) }]
    );
}

#[test]
fn hashes_depend_on_where_the_parts_are_split() {
    let other = ServiceKey {
        team: TeamName::new("dem").unwrap(),
        service: ServiceName::new("oecho").unwrap(),
    };
    assert_ne!(key("k"), KeyHash::new(&other, b"k"));
    assert_ne!(
        RequestHash::new("POST", "/a", b"b"),
        RequestHash::new("POST", "/ab", b"")
    );
}

fn node(name: &str) -> NodeName {
    NodeName::new(name).unwrap()
}

fn joined(name: &str, incarnation: u64, age: Duration) -> AgentChange {
    AgentChange::Joined {
        node: node(name),
        incarnation: Incarnation(incarnation),
        age,
    }
}

/// An entry that has known all nodes for longer than `TTL`.
fn stable_view() -> KeyOwners {
    let mut owners = KeyOwners::new(TTL);
    for name in NODES {
        owners.step(Time::from_secs(1_000), joined(name, 1, TTL * 2));
    }
    owners
}

/// A key that `name` owns in a stable view.
fn key_of(name: &str) -> KeyHash {
    let mut owners = stable_view();
    let owned = |k: &KeyHash| owners.route(NOW, *k).unwrap().owner == node(name);
    (0..1_000).map(|n| key(&n.to_string())).find(owned).unwrap()
}

const NOW: Time = Time::from_secs(1_001);

#[test]
fn a_stable_view_spreads_keys_and_fences_no_agent() {
    let mut counts = std::collections::BTreeMap::<NodeName, u32>::new();
    for n in 0..1_000 {
        let key = key(&n.to_string());
        let route = stable_view().route(NOW, key).unwrap();
        assert_eq!(route.to_fence, []);
        *counts.entry(route.owner).or_default() += 1;
    }
    assert_eq!(counts.len(), NODES.len());
    assert!(counts.values().all(|count| *count > 120), "{counts:?}");
}

#[test]
fn a_joining_agent_owns_a_key_only_after_its_former_owner_is_fenced() {
    let mut owners = stable_view();
    owners.route(NOW, key("any")).unwrap();
    let mut fenced = 0;
    owners.step(NOW, joined("w6", 1, TTL * 2));
    for n in 0..200 {
        let key = key(&n.to_string());
        let former = stable_view().route(NOW, key).unwrap().owner;
        let route = owners.route(NOW, key).unwrap();
        if route.owner == node("w6") {
            assert_eq!(route.to_fence, [former]);
            fenced += 1;
        } else {
            assert_eq!((route.owner, route.to_fence), (former, Vec::new()));
        }
    }
    assert!(fenced > 10);
    let later = NOW.after(TTL * 2);
    for n in 0..200 {
        let route = owners.route(later, key(&n.to_string())).unwrap();
        assert_eq!(route.to_fence, []);
    }
}

#[test]
fn an_agent_that_joined_later_is_not_fenced_for_keys_of_earlier_agents() {
    let mut owners = KeyOwners::new(TTL);
    let join = |owners: &mut KeyOwners, name, second| {
        let at = Time::from_secs(second);
        owners.step(at, joined(name, 1, Duration::ZERO));
    };
    join(&mut owners, "w1", 1_000);
    join(&mut owners, "w2", 1_005);
    let now = Time::from_secs(1_006);
    let owned = |owners: &mut KeyOwners, name, k: &KeyHash| {
        let route = owners.route(now, *k).unwrap();
        (route.owner == node(name)).then_some(route.to_fence)
    };
    let keys: Vec<_> = (0..100).map(|n| key(&n.to_string())).collect();
    let mut first = 0;
    for key in &keys {
        match owned(&mut owners, "w1", key) {
            Some(fences) => {
                assert_eq!(fences, []);
                first += 1;
            }
            None => assert_eq!(owned(&mut owners, "w2", key), Some(vec![node("w1")])),
        }
    }
    assert!((10..90).contains(&first));
}

struct LostCase {
    name: &'static str,
    changes: Vec<AgentChange>,
}

#[test]
fn keys_of_a_lost_incarnation_are_refused_until_their_ttl_is_over() {
    let lost = AgentChange::Lost { node: node("w2") };
    let rejoined = joined("w2", 2, Duration::ZERO);
    let cases = [
        LostCase {
            name: "lost",
            changes: vec![lost.clone()],
        },
        LostCase {
            name: "restarted",
            changes: vec![rejoined.clone()],
        },
        LostCase {
            name: "lost, then restarted",
            changes: vec![lost, rejoined],
        },
    ];
    let key = key_of("w2");
    for case in cases {
        let mut owners = stable_view();
        for change in case.changes {
            owners.step(NOW, change);
        }
        let expected = Err(RouteError::AgentLost { retry_after: TTL });
        assert_eq!(owners.route(NOW, key), expected, "{}", case.name);
        let other = key_of("w4");
        assert_eq!(owners.route(NOW, other).unwrap().owner, node("w4"));
        assert!(owners.route(NOW.after(TTL), key).is_ok(), "{}", case.name);
    }
}

#[test]
fn a_leaving_agent_is_fenced_and_fences_its_substitute_when_it_rejoins() {
    let key = key_of("w2");
    let mut owners = stable_view();
    owners.step(NOW, AgentChange::Leaving { node: node("w2") });
    let substitute = owners.route(NOW, key).unwrap();
    assert_ne!(substitute.owner, node("w2"));
    assert_eq!(substitute.to_fence, [node("w2")]);
    owners.step(NOW, joined("w2", 1, TTL * 9));
    let rejoined = owners.route(NOW, key).unwrap();
    assert_eq!(
        (rejoined.owner, rejoined.to_fence),
        (node("w2"), vec![substitute.owner])
    );
}

#[test]
fn a_late_update_of_an_old_incarnation_is_ignored() {
    let mut owners = stable_view();
    owners.step(NOW, joined("w2", 2, Duration::ZERO));
    let later = NOW.after(TTL);
    owners.step(later, joined("w2", 1, TTL * 2));
    assert!(owners.route(later, key_of("w2")).is_ok());
    assert_eq!(
        KeyOwners::new(TTL).route(NOW, key("k")),
        Err(RouteError::NoAgent)
    );
}
