//! Tests of the owner's known agents.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::{NodeName, Revision};
use parsleytally_platform::store::{Commit, Item, MemoryStore, Outcome, Store, Write};
use tokio_util::sync::CancellationToken;

use super::super::keys;
use super::super::known_agents::{KnownAgents, delete_address};

fn node() -> NodeName {
    NodeName::new("side-a-1").expect("a valid name")
}

async fn put(store: &MemoryStore, key: &str) -> Revision {
    let write = Write::Put {
        key: key.to_owned(),
        value: b"127.0.0.1:7720".to_vec(),
        lease: None,
    };
    let commit = Commit {
        compares: Vec::new(),
        writes: vec![write],
    };
    match store.commit(commit).await {
        Ok(Outcome::Committed(revision)) => revision,
        other => panic!("{key} was not written: {other:?}"),
    }
}

/// Guards against tasks that run twice: a deletion that is carried out late removed the
/// address of an agent that had registered again, and a successor did not wait for it.
#[tokio::test(start_paused = true)]
async fn only_the_address_that_was_forgotten_is_deleted() {
    struct Case {
        what: &'static str,
        registers_again: bool,
        replaced: bool,
        store_away: bool,
        kept: bool,
    }
    let cases = [
        Case {
            what: "nothing happens meanwhile",
            registers_again: false,
            replaced: false,
            store_away: false,
            kept: false,
        },
        Case {
            what: "the store is away at first",
            registers_again: false,
            replaced: false,
            store_away: true,
            kept: false,
        },
        Case {
            what: "the agent registers again",
            registers_again: true,
            replaced: false,
            store_away: false,
            kept: true,
        },
        Case {
            what: "another entry takes over",
            registers_again: false,
            replaced: true,
            store_away: false,
            kept: true,
        },
    ];
    for case in cases {
        let store = Arc::new(MemoryStore::new());
        let since = put(&store, keys::EPOCH).await;
        let key = keys::agent(&node());
        let revision = put(&store, &key).await;
        if case.registers_again {
            put(&store, &key).await;
        }
        if case.replaced {
            put(&store, keys::EPOCH).await;
        }
        store.set_down(case.store_away);
        let deletion = tokio::spawn(delete_address(store.clone(), since, node(), revision));
        tokio::time::sleep(Duration::from_secs(5)).await;
        store.set_down(false);
        deletion.await.expect("the deletion ends");
        let fleet = store.range(keys::FLEET).await.expect("the store answers");
        assert_eq!(fleet.item(&key).is_some(), case.kept, "{}", case.what);
    }
}

/// Guards against a stale link that counts as open: only inputs of the task that links the
/// owner to the present address are used.
#[test]
fn inputs_of_replaced_and_forgotten_links_are_late() {
    struct Case {
        what: &'static str,
        address: &'static str,
        dials: bool,
        first_is_current: bool,
    }
    let cases = [
        Case {
            what: "the same address again",
            address: "127.0.0.1:7720",
            dials: false,
            first_is_current: true,
        },
        Case {
            what: "another address",
            address: "127.0.0.2:7720",
            dials: true,
            first_is_current: false,
        },
        Case {
            what: "an invalid address",
            address: "side-a-1",
            dials: false,
            first_is_current: true,
        },
    ];
    for case in cases {
        let mut agents = KnownAgents::new(CancellationToken::new());
        let item = |address: &str, revision| Item {
            key: keys::agent(&node()),
            value: address.as_bytes().to_vec(),
            revision: Revision(revision),
            created: Revision(1),
        };
        let first = agents.update(&node(), &item("127.0.0.1:7720", 1));
        let first = first.expect("a new agent").agent;
        let second = agents.update(&node(), &item(case.address, 2));
        assert_eq!(second.is_some(), case.dials, "{}", case.what);
        assert_eq!(
            agents.is_current(&first),
            case.first_is_current,
            "{}",
            case.what
        );
        assert!(agents.remove(&node()).is_some());
        assert!(!agents.is_current(&first), "{}", case.what);
        let late = agents.update(&node(), &item(case.address, 2));
        assert!(late.is_none(), "{}: read before its deletion", case.what);
        let again = agents.update(&node(), &item("127.0.0.1:7720", 3));
        assert!(again.is_some(), "{}: registered again", case.what);
    }
}

/// Guards against a link that is replaced by one to a former address: a page of a read can be
/// newer than the changes that the watch reports after it.
#[test]
fn a_change_from_before_the_known_address_is_not_used() {
    let mut agents = KnownAgents::new(CancellationToken::new());
    let item = |address: &str, revision| Item {
        key: keys::agent(&node()),
        value: address.as_bytes().to_vec(),
        revision: Revision(revision),
        created: Revision(1),
    };
    let present = agents.update(&node(), &item("127.0.0.2:7720", 5));
    let present = present.expect("a new agent").agent;
    let earlier = agents.update(&node(), &item("127.0.0.1:7720", 3));
    assert!(earlier.is_none(), "a change from before");
    assert!(agents.is_current(&present));
    let later = agents.update(&node(), &item("127.0.0.3:7720", 6));
    assert!(later.is_some(), "a later change");
}

/// Guards against an owner that loses a sound agent, or waits for one that is none with each
/// change of the owner: another writer left an address that can't be used.
#[test]
fn an_odd_address_replaces_none_and_is_deleted_once_the_agent_is_forgotten() {
    let deep = "[".repeat(100_000);
    for odd in [
        "",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "1e999",
        &deep,
    ] {
        let item = |address: &str, revision| Item {
            key: keys::agent(&node()),
            value: address.as_bytes().to_vec(),
            revision: Revision(revision),
            created: Revision(1),
        };
        let shown = &odd[..odd.len().min(20)];
        let mut agents = KnownAgents::new(CancellationToken::new());
        let dial = agents.update(&node(), &item("127.0.0.1:7720", 5));
        let agent = dial.expect("a new agent").agent;
        assert!(agents.update(&node(), &item(odd, 6)).is_none(), "{shown}");
        assert!(agents.is_current(&agent), "{shown}");

        let mut agents = KnownAgents::new(CancellationToken::new());
        assert!(agents.update(&node(), &item(odd, 6)).is_none(), "{shown}");
        assert_eq!(agents.remove(&node()), Some(Revision(6)), "{shown}");
        let dial = agents.update(&node(), &item("127.0.0.1:7720", 7));
        assert!(dial.is_some(), "{shown}");
    }
}
