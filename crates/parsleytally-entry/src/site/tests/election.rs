//! Tests of the election of the owner, with candidates on one in-memory store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::{Epoch, MilliCpu, NodeName};
use parsleytally_platform::store::{Commit, MemoryStore, Store, Write};

use super::super::election::{Candidate, Owner, OwnerView};
use super::super::keys;

const TTL: Duration = Duration::from_secs(2);

fn candidate(store: &Arc<MemoryStore>, name: &str) -> Candidate {
    candidate_with(store, name, MilliCpu(1_000))
}

fn candidate_with(store: &Arc<MemoryStore>, name: &str, cpu: MilliCpu) -> Candidate {
    let store: Arc<dyn Store> = store.clone();
    let node = NodeName::new(name).expect("a valid name");
    let links = "127.0.0.1:7000".parse().expect("an address");
    Candidate::new(store, node, links, 1, cpu, TTL)
}

async fn check(candidate: &mut Candidate) -> OwnerView {
    candidate.check().await.expect("the store answers").0
}

fn epoch(view: &OwnerView) -> Option<Epoch> {
    match view {
        OwnerView::Own(owner, _) => Some(owner.epoch),
        _ => None,
    }
}

#[tokio::test]
async fn one_candidate_owns_the_jobs_until_it_resigns() {
    let store = Arc::new(MemoryStore::new());
    let (mut a, mut b) = (candidate(&store, "a"), candidate(&store, "b"));
    let OwnerView::Own(owner, since) = check(&mut a).await else {
        panic!("the only candidate did not acquire the ownership");
    };
    assert_eq!(owner.epoch, Epoch(0));
    assert_eq!(check(&mut b).await, OwnerView::Other(owner));
    assert_eq!(epoch(&check(&mut a).await), Some(Epoch(0)));
    a.mark_ended(since);
    a.yielding = true;
    a.resign(since).await;
    assert_eq!(
        check(&mut a).await,
        OwnerView::Unknown,
        "a draining entry must yield to other candidates"
    );
    assert_eq!(epoch(&check(&mut b).await), Some(Epoch(1)));
    assert!(matches!(check(&mut a).await, OwnerView::Other(_)));
}

/// Guards against a yield time that is counted from the entry's start instead of from the
/// end of its ownership: a long-standing owner would acquire the jobs again at once.
#[tokio::test(start_paused = true)]
async fn a_long_standing_owner_yields_when_it_drains() {
    let store = Arc::new(MemoryStore::new());
    let (mut a, mut b) = (candidate(&store, "a"), candidate(&store, "b"));
    let OwnerView::Own(_, since) = check(&mut a).await else {
        panic!("the only candidate did not acquire the ownership");
    };
    for _ in 0..20 {
        tokio::time::advance(TTL / 2).await;
        assert_eq!(epoch(&check(&mut a).await), Some(Epoch(0)));
    }
    a.yielding = true;
    a.mark_ended(since);
    a.resign(since).await;
    assert_eq!(
        check(&mut a).await,
        OwnerView::Unknown,
        "a draining entry must yield to other candidates"
    );
    assert_eq!(epoch(&check(&mut b).await), Some(Epoch(1)));
}

#[tokio::test]
async fn an_ended_ownership_is_followed_by_the_next_epoch() {
    let store = Arc::new(MemoryStore::new());
    let mut a = candidate(&store, "a");
    let OwnerView::Own(_, since) = check(&mut a).await else {
        panic!("the only candidate did not acquire the ownership");
    };
    a.mark_ended(since);
    assert_eq!(epoch(&check(&mut a).await), Some(Epoch(1)));
}

/// Guards against an owner that stays on one of the smallest entries of a large fleet, whose
/// processors its work exceeds, while others are idle.
#[tokio::test(start_paused = true)]
async fn an_entry_with_far_more_processors_replaces_the_owner() {
    struct Case {
        owner: u64,
        other: u64,
        replaced: bool,
    }
    let cases = [
        Case {
            owner: 69,
            other: 500,
            replaced: true,
        },
        Case {
            owner: 250,
            other: 499,
            replaced: false,
        },
        Case {
            owner: 100,
            other: 100,
            replaced: false,
        },
        Case {
            owner: 500,
            other: 69,
            replaced: false,
        },
    ];
    for case in cases {
        let store = Arc::new(MemoryStore::new());
        let mut owner = candidate_with(&store, "owner", MilliCpu(case.owner));
        let mut other = candidate_with(&store, "other", MilliCpu(case.other));
        assert_eq!(epoch(&check(&mut owner).await), Some(Epoch(0)));
        let mut replaced = false;
        for _ in 0..10 {
            tokio::time::advance(TTL / 4).await;
            check(&mut owner).await;
            replaced |= epoch(&check(&mut other).await) == Some(Epoch(1));
        }
        assert_eq!(
            replaced, case.replaced,
            "owner {} and other {}",
            case.owner, case.other
        );
        let left = matches!(check(&mut owner).await, OwnerView::Other(_));
        assert_eq!(left, case.replaced, "the owner must notice it");
    }
}

/// Guards against a killed owner whose work passes to one of the smallest entries because
/// these are many, and against a fleet without an owner if only these are left.
#[tokio::test(start_paused = true)]
async fn an_entry_with_far_fewer_processors_acquires_a_vacant_ownership_last() {
    let store = Arc::new(MemoryStore::new());
    let mut killed = candidate_with(&store, "killed", MilliCpu(500));
    let mut weak = candidate_with(&store, "weak", MilliCpu(69));
    let OwnerView::Own(_, since) = check(&mut killed).await else {
        panic!("the only candidate did not acquire the ownership");
    };
    killed.resign(since).await;
    assert_eq!(check(&mut weak).await, OwnerView::Unknown);
    tokio::time::advance(TTL / 2).await;
    assert_eq!(epoch(&check(&mut weak).await), Some(Epoch(1)));
}

/// Guards against a rolling upgrade in which new entries can't read the owner's record.
#[tokio::test]
async fn the_record_of_an_owner_of_an_earlier_version_is_read() {
    let store = Arc::new(MemoryStore::new());
    let links: SocketAddr = "127.0.0.1:7000".parse().expect("an address");
    let old = (
        Epoch(4),
        NodeName::new("old").expect("a valid name"),
        links,
        1_u64,
    );
    let value = postcard::to_stdvec(&old).expect("plain data");
    let put = |key: &str, value: Vec<u8>| Write::Put {
        key: key.to_owned(),
        value,
        lease: None,
    };
    let commit = Commit {
        compares: vec![],
        writes: vec![put(keys::EPOCH, value), put(keys::ALIVE, b"old".to_vec())],
    };
    store.commit(commit).await.expect("the store answers");
    let mut new = candidate(&store, "new");
    let OwnerView::Other(owner) = check(&mut new).await else {
        panic!("the owner's record was not read");
    };
    assert_eq!((owner.epoch, owner.cpu), (Epoch(4), MilliCpu(0)));
}

/// Guards against jobs that have no owner any more: another writer left a record that can't be
/// read, or an epoch beyond all, and no entry replaced it.
#[tokio::test]
async fn an_odd_owner_record_is_replaced_with_a_later_epoch() {
    struct Case {
        what: &'static str,
        value: Vec<u8>,
    }
    let beyond = Owner {
        epoch: Epoch(u64::MAX),
        node: NodeName::new("c").expect("a valid name"),
        links: "127.0.0.1:7000".parse().expect("an address"),
        incarnation: 1,
        cpu: MilliCpu(1),
    };
    let cases = [
        Case {
            what: "no bytes",
            value: vec![],
        },
        Case {
            what: "a text",
            value: "[".repeat(100_000).into_bytes(),
        },
        Case {
            what: "an epoch beyond all",
            value: postcard::to_stdvec(&beyond).expect("plain data"),
        },
    ];
    for case in cases {
        let store = Arc::new(MemoryStore::new());
        let (mut a, mut b) = (candidate(&store, "a"), candidate(&store, "b"));
        check(&mut a).await;
        check(&mut b).await;
        let write = Write::Put {
            key: keys::EPOCH.to_owned(),
            value: case.value,
            lease: None,
        };
        let commit = Commit {
            compares: Vec::new(),
            writes: vec![write],
        };
        store.commit(commit).await.expect("the store answers");
        let found = check(&mut a).await;
        let epoch = epoch(&found);
        assert!(epoch > Some(Epoch(0)), "{}: {found:?}", case.what);
        assert!(epoch < Some(Epoch(1_000)), "{}: {found:?}", case.what);
        assert!(
            matches!(check(&mut b).await, OwnerView::Other(_)),
            "{}",
            case.what
        );
    }
}
