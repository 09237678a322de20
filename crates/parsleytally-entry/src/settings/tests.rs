//! Tests of the actor and the watcher over an in-memory store with injected faults.

use std::time::Duration;

use parsleytally::settings::{SETTINGS_PREFIX, SettingPath};
use parsleytally_platform::store::{CallKind, Commit, MemoryStore, Outcome, Write};

use super::*;

/// Paused-clock time within which a change must come into force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

/// An actor and its watcher on a paused clock.
struct Setup {
    store: MemoryStore,
    state: InForce,
    metrics: Metrics,
    tasks: tokio::task::JoinSet<()>,
}

impl Setup {
    fn start(store: MemoryStore) -> Self {
        let metrics = Metrics::new().unwrap();
        let (inputs, receiver) = mpsc::channel(INPUT_CAPACITY);
        let state = InForce {
            state: Arc::default(),
            clock: Clock::start(),
        };
        let directory = DirectoryHandle::detached();
        let scheduler = SchedulerHandle::detached();
        let actor = SettingsActor::new(state.clone(), directory, scheduler, metrics.clone());
        let watcher = SettingsWatcher::new(Arc::new(store.clone()), inputs, metrics.clone());
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(actor.run(receiver));
        tasks.spawn(watcher.run());
        Self {
            store,
            state,
            metrics,
            tasks,
        }
    }

    /// Writes or deletes a task's settings in the store.
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

    /// Advances the paused clock until `condition` holds; returns the time taken, or
    /// `None` after `limit`.
    async fn until(&self, limit: Duration, condition: impl Fn(&State) -> bool) -> Option<Duration> {
        let start = tokio::time::Instant::now();
        while !condition(&self.state.state()) {
            if start.elapsed() > limit {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Some(start.elapsed())
    }

    async fn wait_until_in_force(&self, revision: Revision) -> bool {
        let condition = |state: &State| state.revision >= revision;
        self.until(IN_FORCE_LIMIT, condition).await.is_some()
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
    /// Fault injected before the change.
    before: fn(&MemoryStore),
    /// Fault injected after the change.
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
        assert!(setup.wait_until_in_force(first).await, "{}", case.name);
        (case.before)(&setup.store);
        let put = setup.write("b", Some("[task]\n")).await;
        let deleted = setup.write("a", None).await;
        assert!(put < deleted);
        (case.after)(&setup.store);
        let elapsed = setup.until(IN_FORCE_LIMIT, |_| !setup.has("a")).await;
        assert!(elapsed.is_some() && setup.has("b"), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn settings_stay_in_force_during_an_hour_of_outage_and_update_after_it() {
    let setup = Setup::start(MemoryStore::new());
    let first = setup.write("a", Some("[task]\n")).await;
    assert!(setup.wait_until_in_force(first).await);
    setup.store.set_down(true);
    let calls = setup.store.metrics().total();
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    assert!(setup.has("a"));
    let calls = setup.store.metrics().total() - calls;
    assert!(calls <= 3_600, "{calls} calls in an hour of outage");
    setup.store.set_down(false);
    let second = setup.write("b", Some("[task]\n")).await;
    assert!(setup.wait_until_in_force(second).await);
    assert_eq!(setup.store.metrics().calls(CallKind::Range), 1);
}

#[tokio::test(start_paused = true)]
async fn a_start_during_an_outage_gets_all_settings_after_it() {
    let store = MemoryStore::new();
    store.set_down(true);
    let setup = Setup::start(store);
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    assert_eq!(setup.state.state().revision, Revision(0));
    assert_eq!(setup.state.state().confirmed, None);
    setup.store.set_down(false);
    let first = setup.write("a", Some("[task]\n")).await;
    assert!(setup.wait_until_in_force(first).await);
    assert!(setup.state.state().confirmed.is_some());
}

#[tokio::test(start_paused = true)]
async fn an_invalid_value_is_reported_and_the_last_valid_one_stays_in_force() {
    let setup = Setup::start(MemoryStore::new());
    let good = setup.write("a", Some("[task]\n")).await;
    assert!(setup.wait_until_in_force(good).await);
    let bad = setup.write("a", Some("[task]\ncpu = many\n")).await;
    assert!(setup.wait_until_in_force(bad).await);
    assert!(setup.has("a"));
    assert_eq!(setup.state.state().bad.len(), 1);
    assert_eq!(setup.metrics.current_bad_settings.get(), 1);
    let good = setup.write("a", Some("[task]\ncpu = 1\n")).await;
    assert!(setup.wait_until_in_force(good).await);
    assert!(setup.state.state().bad.is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_hour_without_changes_costs_the_store_one_watch_and_few_reads() {
    let mut setup = Setup::start(MemoryStore::new());
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    let metrics = setup.store.metrics().clone();
    assert_eq!(metrics.watches(), 1);
    assert_eq!(metrics.calls(CallKind::Range), 1);
    assert!(metrics.calls(CallKind::Newest) <= 3_600 / 4 + 1);
    setup.tasks.shutdown().await;
    assert_eq!(metrics.watches(), 0);
}
