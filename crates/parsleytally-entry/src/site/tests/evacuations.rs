//! Tests of the follower of the operators' evacuation requests.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use parsleytally::jobs::EvacuatedZones;
use parsleytally::types::{Revision, ZoneName};
use parsleytally_adapter::EvacuationKeys;
use parsleytally_platform::process::Clock;
use parsleytally_platform::store::{
    Changes, Commit, HookedStore, MemoryStore, Snapshot, Store, StoreFuture, StoreHooks, Watch,
    Write,
};
use tokio::time::{Instant, timeout};

use super::super::evacuations::{EvacuationFollower, ZoneReads};

/// A store whose watches can be silent and whose reads can be stale.
type FaultyStore = HookedStore<Faults>;

#[derive(Default)]
struct Faults {
    silent: bool,
    /// Answer to all reads.
    stale: Mutex<Option<Snapshot>>,
    down: AtomicBool,
}

struct SilentWatch;

impl Watch for SilentWatch {
    fn next(&mut self) -> StoreFuture<'_, Changes> {
        Box::pin(std::future::pending())
    }
}

impl StoreHooks for Faults {
    fn range<'a>(&'a self, store: &'a MemoryStore, prefix: &'a str) -> StoreFuture<'a, Snapshot> {
        if let Some(stale) = self.stale.lock().expect("not poisoned").clone() {
            return Box::pin(async { Ok(stale) });
        }
        if self.down.load(Ordering::Relaxed) {
            return Box::pin(std::future::pending());
        }
        store.range(prefix)
    }

    fn watch<'a>(
        &'a self,
        store: &'a MemoryStore,
        prefix: &'a str,
        from: Revision,
    ) -> StoreFuture<'a, Box<dyn Watch>> {
        if self.silent {
            return Box::pin(async { Ok(Box::new(SilentWatch) as Box<dyn Watch>) });
        }
        store.watch(prefix, from)
    }
}

async fn write(store: &FaultyStore, write: Write) {
    let commit = Commit {
        compares: Vec::new(),
        writes: vec![write],
    };
    store.commit(commit).await.expect("the store is up");
}

/// An operator's request whose value can't be read.
async fn request(store: &FaultyStore, zone: &str) {
    let key = format!("op/evacuate/{zone}");
    let (value, lease) = (b"\xff{".to_vec(), None);
    write(store, Write::Put { key, value, lease }).await;
}

async fn withdraw(store: &FaultyStore, zone: &str) {
    let key = format!("op/evacuate/{zone}");
    write(store, Write::Delete { key }).await;
}

fn follow(store: &Arc<FaultyStore>) -> ZoneReads {
    let (follower, reads) = EvacuationFollower::new(store.clone(), Arc::new(EvacuationKeys));
    tokio::spawn(follower.run());
    reads
}

async fn next(reads: &mut ZoneReads, clock: Clock) -> EvacuatedZones {
    let read = reads.next().await.expect("the follower runs");
    read.on_clock(clock)
        .expect("a read since the clock started")
}

/// Waits until exactly `zones` are published; returns the time that this took.
async fn wait_for(reads: &mut ZoneReads, clock: Clock, zones: &[&str]) -> Duration {
    let zones = zones
        .iter()
        .map(|zone| ZoneName::new(zone).expect("a valid name"));
    let zones: BTreeSet<ZoneName> = zones.collect();
    let began = Instant::now();
    while *next(reads, clock).await.zones != zones {}
    began.elapsed()
}

/// Guards against requests that take effect late or never, be it that a watch is silent or
/// that a value can't be read.
#[tokio::test(start_paused = true)]
async fn requests_are_followed_by_the_watch_and_by_regular_reads() {
    struct Case {
        silent: bool,
        within: Duration,
    }
    let cases = [
        Case {
            silent: false,
            within: Duration::from_millis(10),
        },
        Case {
            silent: true,
            within: Duration::from_secs(1),
        },
    ];
    for case in cases {
        let mut store = FaultyStore::default();
        store.hooks.silent = case.silent;
        let store = Arc::new(store);
        let clock = Clock::start();
        let mut reads = follow(&store);
        wait_for(&mut reads, clock, &[]).await;
        request(&store, "a").await;
        request(&store, "no zone!").await;
        let took = wait_for(&mut reads, clock, &["a"]).await;
        assert!(took <= case.within, "{took:?}, silent: {}", case.silent);
        withdraw(&store, "a").await;
        let took = wait_for(&mut reads, clock, &[]).await;
        assert!(took <= case.within, "{took:?}, silent: {}", case.silent);
    }
}

/// Guards against a stale read that puts a zone back in use or renews the permission to start.
#[tokio::test(start_paused = true)]
async fn a_stale_read_is_ignored() {
    let store = Arc::new(FaultyStore::default());
    let clock = Clock::start();
    let mut reads = follow(&store);
    wait_for(&mut reads, clock, &[]).await;
    let old = store
        .memory
        .range("op/evacuate/")
        .await
        .expect("the store is up");
    request(&store, "a").await;
    wait_for(&mut reads, clock, &["a"]).await;
    *store.hooks.stale.lock().expect("not poisoned") = Some(old);
    reads.request();
    let published = timeout(Duration::from_secs(5), reads.next()).await;
    assert!(published.is_err(), "{published:?}");
}

/// Guards against a permission to start that is renewed while the store does not answer.
#[tokio::test(start_paused = true)]
async fn reads_are_not_renewed_while_the_store_does_not_answer() {
    let store = Arc::new(FaultyStore::default());
    let clock = Clock::start();
    let mut reads = follow(&store);
    let before = next(&mut reads, clock).await;
    store.hooks.down.store(true, Ordering::Relaxed);
    request(&store, "a").await;
    let change = next(&mut reads, clock).await;
    assert_eq!(change.zones.len(), 1, "the watch still reports changes");
    assert!(change.read_at.since(before.read_at) < Duration::from_millis(1));
    let published = timeout(Duration::from_secs(9), reads.next()).await;
    assert!(published.is_err(), "{published:?}");
}

/// Guards against a new owner that starts tasks by a read from before its ownership.
#[tokio::test(start_paused = true)]
async fn a_read_from_before_the_ownership_is_not_used() {
    let store = Arc::new(FaultyStore::default());
    let mut reads = follow(&store);
    let read = reads.next().await.expect("the follower runs");
    std::thread::sleep(Duration::from_millis(1));
    let clock = Clock::start();
    assert_eq!(read.on_clock(clock), None);
    reads.request();
    next(&mut reads, clock).await;
}
