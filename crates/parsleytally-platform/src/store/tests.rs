//! Tests of the store in memory.

use std::time::Duration;

use parsleytally::types::Revision;

use super::*;

fn put(key: &str, value: &str) -> Write {
    Write::Put {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
        lease: None,
    }
}

async fn write(store: &MemoryStore, write: Write) -> Revision {
    let commit = Commit {
        compares: Vec::new(),
        writes: vec![write],
    };
    match store.commit(commit).await.unwrap() {
        Outcome::Committed(revision) => revision,
        Outcome::Conflict(revision) => panic!("conflict at {revision}"),
    }
}

struct CommitCase {
    name: &'static str,
    compares: Vec<Compare>,
    committed: bool,
}

#[tokio::test]
async fn a_commit_takes_effect_only_when_every_condition_holds() {
    let absent = |key: &str| Compare::Absent {
        key: key.to_owned(),
    };
    let unchanged = |key: &str, revision| Compare::Unchanged {
        key: key.to_owned(),
        revision: Revision(revision),
    };
    let cases = [
        CommitCase {
            name: "no condition",
            compares: vec![],
            committed: true,
        },
        CommitCase {
            name: "absent key is absent",
            compares: vec![absent("/b")],
            committed: true,
        },
        CommitCase {
            name: "present key is not absent",
            compares: vec![absent("/a")],
            committed: false,
        },
        CommitCase {
            name: "present key is unchanged",
            compares: vec![unchanged("/a", 2)],
            committed: true,
        },
        CommitCase {
            name: "other revision",
            compares: vec![unchanged("/a", 1)],
            committed: false,
        },
        CommitCase {
            name: "absent key is not unchanged",
            compares: vec![unchanged("/b", 0)],
            committed: false,
        },
        CommitCase {
            name: "one of two fails",
            compares: vec![absent("/b"), unchanged("/a", 9)],
            committed: false,
        },
    ];
    for case in cases {
        let store = MemoryStore::new();
        write(&store, put("/a", "1")).await;
        let commit = Commit {
            compares: case.compares,
            writes: vec![put("/c", "3"), put("/d", "4")],
        };
        let outcome = store.commit(commit).await.unwrap();
        let written = store.range("/").await.unwrap().items.len() == 3;
        assert_eq!(written, case.committed, "{}", case.name);
        let expected = if case.committed {
            Outcome::Committed(Revision(3))
        } else {
            Outcome::Conflict(Revision(2))
        };
        assert_eq!(outcome, expected, "{}", case.name);
    }
}

#[tokio::test]
async fn a_watch_reports_every_change_above_its_revision_in_order() {
    let store = MemoryStore::new();
    write(&store, put("/x/a", "1")).await;
    let from = write(&store, put("/x/b", "2")).await;
    let mut watch = store.watch("/x/", from).await.unwrap();
    write(&store, put("/y/other", "0")).await;
    write(&store, put("/x/a", "3")).await;
    let key = "/x/b".to_owned();
    write(&store, Write::Delete { key }).await;
    let changes = watch.next().await.unwrap();
    let seen: Vec<_> = changes
        .changes
        .iter()
        .map(|c| (c.key(), c.revision()))
        .collect();
    assert_eq!(seen, [("/x/a", Revision(5)), ("/x/b", Revision(6))]);
    assert_eq!(changes.revision, Revision(6));
}

#[tokio::test(start_paused = true)]
async fn a_lease_deletes_its_keys_unless_it_is_renewed() {
    let store = MemoryStore::new();
    let lease = store.grant(Duration::from_secs(5)).await.unwrap();
    let write_leased = Write::Put {
        key: "/l".to_owned(),
        value: Vec::new(),
        lease: Some(lease),
    };
    let from = write(&store, write_leased).await;
    let mut watch = store.watch("/", from).await.unwrap();
    tokio::time::advance(Duration::from_secs(4)).await;
    assert_eq!(store.renew(lease).await, Ok(Duration::from_secs(5)));
    tokio::time::advance(Duration::from_secs(4)).await;
    assert_eq!(store.range("/l").await.unwrap().items.len(), 1);
    let changes = watch.next().await.unwrap();
    assert!(matches!(&changes.changes[..], [Change::Delete { key, .. }] if key == "/l"));
    let gone = Err(StoreError::LeaseGone { lease });
    assert_eq!(store.renew(lease).await, gone);
}

#[tokio::test]
async fn a_watch_from_before_a_compaction_is_refused() {
    let store = MemoryStore::new();
    let first = write(&store, put("/a", "1")).await;
    let second = write(&store, put("/a", "2")).await;
    store.compact(second);
    assert!(matches!(
        store.watch("/", first).await.err(),
        Some(StoreError::Compacted { oldest }) if oldest == second
    ));
    assert!(store.watch("/", second).await.is_ok());
}
