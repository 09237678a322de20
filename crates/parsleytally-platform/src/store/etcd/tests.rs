//! Tests of the client against the stand-in's gateway over loopback.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use super::*;
use crate::store::{Change, Compare, Item, MemoryStore, gateway};

/// A gateway in this process and a client for it.
struct Setup {
    memory: MemoryStore,
    store: EtcdStore,
}

impl Setup {
    async fn new() -> Self {
        Self::with(|_| {}).await
    }

    async fn with(change: impl FnOnce(&mut StoreConfig)) -> Self {
        let memory = MemoryStore::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut config = config(listener.local_addr().unwrap());
        change(&mut config);
        tokio::spawn(gateway::serve(memory.clone(), listener));
        let store = EtcdStore::new(config, 1).unwrap();
        Self { memory, store }
    }
}

fn config(endpoint: SocketAddr) -> StoreConfig {
    StoreConfig {
        endpoints: vec![endpoint],
        deadline: Duration::from_secs(20),
        backoff_min: Duration::from_millis(1),
        backoff_max: Duration::from_millis(1),
        ..StoreConfig::default()
    }
}

fn put(key: &str, value: &str) -> Commit {
    put_leased(key, value, None)
}

fn put_leased(key: &str, value: &str, lease: Option<LeaseId>) -> Commit {
    let write = Write::Put {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
        lease,
    };
    Commit {
        compares: Vec::new(),
        writes: vec![write],
    }
}

#[tokio::test]
async fn values_come_back_as_they_were_written() {
    let Setup { memory, store } = Setup::new().await;
    let value = vec![0, 255, b'\n', b'"'];
    let mut commit = put("/t/a", "");
    commit.writes = vec![
        Write::Put {
            key: "/t/a".to_owned(),
            value: value.clone(),
            lease: None,
        },
        Write::Put {
            key: "/t/ü".to_owned(),
            value: Vec::new(),
            lease: None,
        },
    ];
    let outcome = store.commit(commit).await.unwrap();
    assert_eq!(outcome, Outcome::Committed(Revision(2)));
    store.commit(put("/other", "x")).await.unwrap();
    let snapshot = store.range("/t/").await.unwrap();
    assert_eq!(snapshot, memory.range("/t/").await.unwrap());
    assert_eq!(snapshot.items[0].value, value);
    assert_eq!(snapshot.revision, Revision(3));
    assert_eq!(store.range("").await.unwrap().items.len(), 3);
    let newest = store.newest("/t/").await.unwrap();
    assert_eq!((newest.changed, newest.count), (Revision(2), 2));
}

#[tokio::test]
async fn conditions_hold_over_the_wire() {
    let Setup { store, .. } = Setup::new().await;
    let mut commit = put("/a", "1");
    commit.compares = vec![Compare::Absent {
        key: "/a".to_owned(),
    }];
    let first = store.commit(commit.clone()).await.unwrap();
    assert_eq!(first, Outcome::Committed(Revision(2)));
    let second = store.commit(commit).await.unwrap();
    assert_eq!(second, Outcome::Conflict(Revision(2)));
    let mut commit = put("/a", "2");
    commit.compares = vec![Compare::Unchanged {
        key: "/a".to_owned(),
        revision: Revision(2),
    }];
    let third = store.commit(commit).await.unwrap();
    assert_eq!(third, Outcome::Committed(Revision(3)));
}

#[tokio::test]
async fn a_lapsed_lease_is_reported_to_its_holder() {
    let Setup { memory, store } = Setup::new().await;
    let lease = store.grant(Duration::from_secs(60)).await.unwrap();
    assert_eq!(store.renew(lease).await, Ok(Duration::from_secs(60)));
    store
        .commit(put_leased("/l", "1", Some(lease)))
        .await
        .unwrap();
    memory.lapse(lease);
    assert!(store.range("/l").await.unwrap().items.is_empty());
    let gone = StoreError::LeaseGone { lease };
    assert_eq!(store.renew(lease).await, Err(gone.clone()));
    let late = store.commit(put_leased("/l", "2", Some(lease))).await;
    assert_eq!(late, Err(gone));
}

struct FaultCase {
    name: &'static str,
    switch: fn(&MemoryStore),
    error: &'static str,
    unknown: bool,
    written: bool,
}

#[tokio::test]
async fn a_failed_write_says_whether_it_may_have_taken_effect() {
    let cases = [
        FaultCase {
            name: "answer lost after the write",
            switch: |memory| memory.lose_answers(1),
            error: "unknown",
            unknown: true,
            written: true,
        },
        FaultCase {
            name: "answer later than the deadline",
            switch: |memory| memory.set_delay(Duration::from_secs(3600)),
            error: "timeout",
            unknown: true,
            written: true,
        },
        FaultCase {
            name: "gateway without a store behind it",
            switch: |memory| memory.set_down(true),
            error: "unknown",
            unknown: true,
            written: false,
        },
    ];
    for case in cases {
        let setup = Setup::with(|config| config.deadline = Duration::from_secs(3)).await;
        (case.switch)(&setup.memory);
        let error = setup.store.commit(put("/a", "1")).await.unwrap_err();
        assert_eq!(error.name(), case.error, "{}", case.name);
        assert_eq!(error.is_unknown(), case.unknown, "{}", case.name);
        setup.memory.set_down(false);
        setup.memory.set_delay(Duration::ZERO);
        let written = !setup.memory.range("/a").await.unwrap().items.is_empty();
        assert_eq!(written, case.written, "{}", case.name);
        assert_eq!(setup.store.metrics().calls(CallKind::Commit), 1);
    }
}

#[tokio::test]
async fn a_store_that_is_not_there_is_down_and_left_alone_for_a_while() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut config = config(listener.local_addr().unwrap());
    drop(listener);
    config.backoff_min = Duration::from_secs(3600);
    config.backoff_max = Duration::from_secs(3600);
    let store = EtcdStore::new(config, 1).unwrap();
    let first = store.commit(put("/a", "1")).await.unwrap_err();
    assert_eq!((first.name(), first.is_unknown()), ("down", false));
    let second = store.range("/").await.unwrap_err();
    assert!(second.to_string().contains("backing off"), "{second}");
    assert_eq!(store.metrics().total(), 1);
}

#[tokio::test(start_paused = true)]
async fn calls_above_the_rate_wait_or_are_refused() {
    let config = StoreConfig {
        rate: 1,
        burst: 2,
        ..StoreConfig::default()
    };
    let budget = Budget::new(&config, 1);
    let start = tokio::time::Instant::now();
    let patience = Duration::from_millis(1_500);
    for _ in 0..3 {
        budget.acquire("commit", patience).await.unwrap();
    }
    assert_eq!(start.elapsed().as_secs(), 1);
    assert!(!budget.try_acquire("range"));
    let refused = budget.acquire("commit", Duration::from_millis(500)).await;
    assert_eq!(refused, Err(StoreError::RateLimited { call: "commit" }));
}

#[tokio::test(start_paused = true)]
async fn pauses_after_failures_grow_to_their_maximum_and_end_with_a_success() {
    let budget = Budget::new(&StoreConfig::default(), 1);
    let second = Duration::from_secs(1);
    for _ in 0..10 {
        budget.failed();
        assert!(budget.acquire("commit", second).await.is_err());
    }
    tokio::time::advance(StoreConfig::default().backoff_max / 2).await;
    assert!(budget.acquire("commit", second).await.is_err());
    tokio::time::advance(StoreConfig::default().backoff_max / 2).await;
    budget.acquire("commit", second).await.unwrap();
    budget.failed();
    budget.succeeded();
    budget.acquire("commit", second).await.unwrap();
}

/// A listener whose first connection is never answered; later ones are passed on.
async fn silent_first(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (silent, _) = listener.accept().await.unwrap();
        loop {
            let (mut inner, _) = listener.accept().await.unwrap();
            let mut outer = tokio::net::TcpStream::connect(target).await.unwrap();
            tokio::spawn(async move {
                let _ = tokio::io::copy_bidirectional(&mut inner, &mut outer).await;
            });
            assert!(silent.peer_addr().is_ok());
        }
    });
    address
}

#[tokio::test]
async fn a_read_on_a_silent_connection_is_answered_over_another() {
    let memory = MemoryStore::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent_first(listener.local_addr().unwrap()).await;
    tokio::spawn(gateway::serve(memory, listener));
    let mut config = config(address);
    config.hedge_after = Duration::from_millis(20);
    let store = EtcdStore::new(config, 1).unwrap();
    assert!(store.range("/").await.is_ok());
    assert!(store.metrics().calls(CallKind::Range) >= 2);
}

#[tokio::test]
async fn a_watch_reports_puts_deletions_and_its_end() {
    let Setup { memory, store } = Setup::new().await;
    store.commit(put("/t/a", "0")).await.unwrap();
    let mut watch = store.watch("/t/", Revision(2)).await.unwrap();
    assert_eq!(store.metrics().watches(), 1);
    store.commit(put("/other", "x")).await.unwrap();
    store.commit(put("/t/a", "1")).await.unwrap();
    let changes = watch.next().await.unwrap();
    let item = Item {
        key: "/t/a".to_owned(),
        value: b"1".to_vec(),
        revision: Revision(4),
        created: Revision(2),
    };
    assert_eq!(changes.changes, [Change::Put(item)]);
    let mut commit = put("", "");
    let key = "/t/a".to_owned();
    commit.writes = vec![Write::Delete { key: key.clone() }];
    store.commit(commit).await.unwrap();
    let changes = watch.next().await.unwrap();
    let revision = Revision(5);
    assert_eq!(changes.changes, [Change::Delete { key, revision }]);
    memory.cut_watches();
    let error = watch.next().await.unwrap_err();
    assert_eq!(error.name(), "watch-ended");
    drop(watch);
    assert_eq!(store.metrics().watches(), 0);
}

#[tokio::test]
async fn a_watch_from_before_a_compaction_fails() {
    let Setup { memory, store } = Setup::new().await;
    store.commit(put("/a", "1")).await.unwrap();
    store.commit(put("/a", "2")).await.unwrap();
    memory.compact(Revision(3));
    let error = match store.watch("/", Revision(1)).await {
        Ok(mut watch) => watch.next().await.unwrap_err(),
        Err(error) => error,
    };
    assert_eq!(
        error,
        StoreError::Compacted {
            oldest: Revision(3)
        }
    );
}

struct MalformedCase {
    answer: &'static str,
    error: &'static str,
}

/// A server that gives the same HTTP answer to every request.
async fn fixed_answer(answer: &'static str) -> SocketAddr {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut connection, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4096];
            let _ = connection.read(&mut buffer).await;
            let _ = connection.write_all(answer.as_bytes()).await;
        }
    });
    address
}

#[tokio::test]
async fn a_malformed_or_broken_answer_leaves_a_write_unknown() {
    let cases = [
        MalformedCase {
            answer: "",
            error: "unknown",
        },
        MalformedCase {
            answer: "garbage\r\n\r\n",
            error: "unknown",
        },
        MalformedCase {
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"succeeded\":true",
            error: "unknown",
        },
        MalformedCase {
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"succeed",
            error: "protocol",
        },
        MalformedCase {
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 18\r\n\r\n{\"succeeded\":true}",
            error: "protocol",
        },
        MalformedCase {
            answer: "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 2\r\n\r\nno",
            error: "unknown",
        },
    ];
    for case in cases {
        let store = EtcdStore::new(config(fixed_answer(case.answer).await), 1).unwrap();
        let error = store.commit(put("/a", "1")).await.unwrap_err();
        assert_eq!(error.name(), case.error, "{}: {error}", case.answer);
        assert!(error.is_unknown());
    }
}

#[test]
fn a_prefix_ends_before_the_next_key_that_does_not_have_it() {
    assert_eq!(prefix_range("/a/"), (b"/a/".to_vec(), b"/a0".to_vec()));
    assert_eq!(prefix_range(""), (vec![0], vec![0]));
}
