//! Tests of the duty over a store in memory with faults.

use std::time::Duration;

use parsleytally::settings::{SETTINGS_PREFIX, SettingPath};
use parsleytally_platform::store::{CallKind, Commit, MemoryStore, Outcome, Write};

use super::*;

/// Fake time after which an accepted change must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

/// A duty whose outputs are kept, on paused time.
struct Setup {
    store: MemoryStore,
    state: InForce,
    metrics: Metrics,
    tasks: tokio::task::JoinSet<()>,
}

impl Setup {
    fn start(store: MemoryStore) -> Self {
        let metrics = Metrics::new().unwrap();
        let (inputs, receiver) = mpsc::channel(INPUT_RING);
        let state = InForce {
            state: Arc::default(),
            clock: Clock::start(),
        };
        let directory = DirectoryRing::detached();
        let scheduler = SchedulerRing::detached();
        let duty = Duty::new(state.clone(), directory, scheduler, metrics.clone());
        let follower = Follower::new(Arc::new(store.clone()), inputs, metrics.clone());
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(duty.run(receiver));
        tasks.spawn(follower.run());
        Self {
            store,
            state,
            metrics,
            tasks,
        }
    }

    /// Changes a task's settings past the faults of the store.
    async fn write(&self, name: &str, text: Option<&str>) -> Revision {
        let key = format!("{SETTINGS_PREFIX}demo/batch/{name}");
        let write = match text {
            Some(text) => Write::Put {
                key,
                value: text.as_bytes().to_vec(),
                lease: None,
            },
            None => Write::Delete { key },
        };
        let commit = Commit {
            compares: vec![],
            writes: vec![write],
        };
        match self.store.commit(commit).await.unwrap() {
            Outcome::Committed(revision) | Outcome::Conflict(revision) => revision,
        }
    }

    /// Lets fake time pass until `reached` or the limit; the time it took.
    async fn until(&self, limit: Duration, reached: impl Fn(&State) -> bool) -> Option<Duration> {
        let start = tokio::time::Instant::now();
        while !reached(&self.state.state()) {
            if start.elapsed() > limit {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Some(start.elapsed())
    }

    async fn comes_into_force(&self, revision: Revision) -> bool {
        let reached = |state: &State| state.revision >= revision;
        self.until(IN_FORCE_LIMIT, reached).await.is_some()
    }

    fn has(&self, name: &str) -> bool {
        let path = SettingPath::parse(&format!("demo/batch/{name}")).unwrap();
        let SettingPath::Batch(task) = path else {
            return false;
        };
        self.state.state().view.tasks.contains_key(&task)
    }
}

struct FaultCase {
    name: &'static str,
    /// Fault before the change.
    before: fn(&MemoryStore),
    /// Fault after the change.
    after: fn(&MemoryStore),
}

#[tokio::test(start_paused = true)]
async fn a_change_comes_into_force_within_the_limit_after_each_fault() {
    let none: fn(&MemoryStore) = |_| {};
    let compact: fn(&MemoryStore) = |store| {
        store.compact(Revision(u64::MAX));
        store.cut_watches();
    };
    let cases = [
        FaultCase {
            name: "none",
            before: none,
            after: none,
        },
        FaultCase {
            name: "watch cut before",
            before: |store| store.cut_watches(),
            after: none,
        },
        FaultCase {
            name: "watch cut after",
            before: none,
            after: |store| store.cut_watches(),
        },
        FaultCase {
            name: "watch silent for good",
            before: |store| store.silence_watches(),
            after: none,
        },
        FaultCase {
            name: "watch silent, its successor cut",
            before: |store| store.silence_watches(),
            after: |store| store.cut_watches(),
        },
        FaultCase {
            name: "changes compacted",
            before: none,
            after: compact,
        },
        FaultCase {
            name: "watch silent and changes compacted",
            before: |store| store.silence_watches(),
            after: |store| store.compact(Revision(u64::MAX)),
        },
        FaultCase {
            name: "slow store",
            before: |store| store.set_delay(Duration::from_secs(5)),
            after: none,
        },
    ];
    for case in cases {
        let setup = Setup::start(MemoryStore::new());
        let first = setup.write("a", Some("[task]\n")).await;
        assert!(setup.comes_into_force(first).await, "{}", case.name);
        (case.before)(&setup.store);
        let put = setup.write("b", Some("[task]\n")).await;
        let deleted = setup.write("a", None).await;
        assert!(put < deleted);
        (case.after)(&setup.store);
        let reached = setup.until(IN_FORCE_LIMIT, |_| !setup.has("a")).await;
        assert!(reached.is_some() && setup.has("b"), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn an_hour_without_the_store_changes_nothing_and_ends_at_once() {
    let setup = Setup::start(MemoryStore::new());
    let first = setup.write("a", Some("[task]\n")).await;
    assert!(setup.comes_into_force(first).await);
    setup.store.set_down(true);
    let calls = setup.store.metrics().total();
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    assert!(setup.has("a"));
    let calls = setup.store.metrics().total() - calls;
    assert!(calls <= 3_600, "{calls} calls in an hour of outage");
    setup.store.set_down(false);
    let second = setup.write("b", Some("[task]\n")).await;
    assert!(setup.comes_into_force(second).await);
    assert_eq!(setup.store.metrics().calls(CallKind::Range), 1);
}

#[tokio::test(start_paused = true)]
async fn a_start_during_an_outage_ends_with_all_settings() {
    let store = MemoryStore::new();
    store.set_down(true);
    let setup = Setup::start(store);
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    assert_eq!(setup.state.state().revision, Revision(0));
    assert_eq!(setup.state.state().confirmed, None);
    setup.store.set_down(false);
    let first = setup.write("a", Some("[task]\n")).await;
    assert!(setup.comes_into_force(first).await);
    assert!(setup.state.state().confirmed.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_bad_value_in_the_store_is_shown_and_the_last_good_one_stays() {
    let setup = Setup::start(MemoryStore::new());
    let good = setup.write("a", Some("[task]\n")).await;
    assert!(setup.comes_into_force(good).await);
    let bad = setup.write("a", Some("[task]\ncpu = many\n")).await;
    assert!(setup.comes_into_force(bad).await);
    assert!(setup.has("a"));
    assert_eq!(setup.state.state().bad.len(), 1);
    assert_eq!(setup.metrics.current_bad_settings.get(), 1);
    let good = setup.write("a", Some("[task]\ncpu = 1\n")).await;
    assert!(setup.comes_into_force(good).await);
    assert!(setup.state.state().bad.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_quiet_day_costs_the_store_one_watch_and_few_reads() {
    let mut setup = Setup::start(MemoryStore::new());
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    let metrics = setup.store.metrics().clone();
    assert_eq!(metrics.watches(), 1);
    assert_eq!(metrics.calls(CallKind::Range), 1);
    assert!(metrics.calls(CallKind::Newest) <= 3_600 / 4 + 1);
    setup.tasks.shutdown().await;
    assert_eq!(metrics.watches(), 0);
}
