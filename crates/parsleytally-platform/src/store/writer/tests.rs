//! Tests of writes whose answers are lost, on every crossing.

use std::collections::VecDeque;
use std::sync::Mutex;

use super::*;
use crate::store::{HookedStore, Item, MemoryStore, Snapshot, StoreFuture, StoreHooks};

const GUARD: &str = "/writes/demo/log";
const KEY: &str = "/teams/demo/quota";
const PATIENCE: Duration = Duration::from_secs(10);

/// What happens to one commit on its way.
#[derive(Debug, Clone, Copy)]
enum Fate {
    /// It arrives and is answered.
    Pass,
    /// It is lost before the store.
    Lost,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is held back and arrives before the next commit.
    Late,
    /// It is held back and arrives after the next commit.
    Later,
}

/// Way to a store on which commits are lost or held back, and others write.
struct Crossing {
    fates: Mutex<VecDeque<Fate>>,
    /// Other writers' commits before the first read after a failed commit.
    rivals: Mutex<u32>,
    held: Mutex<Option<(Commit, Fate)>>,
    reads_fail: bool,
}

impl Crossing {
    fn store(fates: &[Fate], rivals: u32) -> HookedStore<Self> {
        let hooks = Self {
            fates: Mutex::new(fates.iter().copied().collect()),
            rivals: Mutex::new(rivals),
            held: Mutex::default(),
            reads_fail: false,
        };
        let memory = MemoryStore::new();
        HookedStore { memory, hooks }
    }

    fn lost() -> StoreError {
        StoreError::Timeout { call: "commit" }
    }

    async fn arrive(&self, store: &MemoryStore, commit: Commit) -> Result<Outcome, StoreError> {
        let held = self.held.lock().unwrap().take();
        if let Some((held, Fate::Late)) = held.clone() {
            store.commit(held).await?;
        }
        let outcome = store.commit(commit).await;
        if let Some((held, Fate::Later)) = held {
            store.commit(held).await?;
        }
        outcome
    }

    async fn send(&self, store: &MemoryStore, commit: Commit) -> Result<Outcome, StoreError> {
        let fate = self.fates.lock().unwrap().pop_front();
        match fate.unwrap_or(Fate::Pass) {
            Fate::Pass => self.arrive(store, commit).await,
            Fate::Lost => Err(Self::lost()),
            Fate::AnswerLost => {
                self.arrive(store, commit).await?;
                Err(Self::lost())
            }
            fate @ (Fate::Late | Fate::Later) => {
                *self.held.lock().unwrap() = Some((commit, fate));
                Err(Self::lost())
            }
        }
    }

    async fn rival(&self, store: &MemoryStore) {
        let rivals = std::mem::take(&mut *self.rivals.lock().unwrap());
        let writer = Writer::new(Arc::new(store.clone()), 2, PATIENCE);
        for _ in 0..rivals {
            let base = writer.guard(GUARD).await.unwrap();
            writer.commit(GUARD, &base, put("rival")).await;
        }
    }
}

impl StoreHooks for Crossing {
    fn range<'a>(&'a self, store: &'a MemoryStore, prefix: &'a str) -> StoreFuture<'a, Snapshot> {
        Box::pin(async move {
            if self.reads_fail {
                return Err(Self::lost());
            }
            self.rival(store).await;
            store.range(prefix).await
        })
    }

    fn commit<'a>(&'a self, store: &'a MemoryStore, commit: Commit) -> StoreFuture<'a, Outcome> {
        Box::pin(self.send(store, commit))
    }
}

fn put(value: &str) -> Commit {
    Commit {
        compares: Vec::new(),
        writes: vec![Write::Put {
            key: KEY.to_owned(),
            value: value.as_bytes().to_vec(),
            lease: None,
        }],
    }
}

struct CrossingCase {
    name: &'static str,
    fates: &'static [Fate],
    rivals: u32,
    verdict: &'static str,
    /// Times that the write is in the store's history.
    effects: usize,
}

fn name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted(_) => "accepted",
        Verdict::Refused => "refused",
        Verdict::NotAccepted(_) => "not accepted",
        Verdict::Unknown(_) => "unknown",
    }
}

async fn effects(memory: &MemoryStore) -> usize {
    let mut watch = memory.watch(KEY, Revision(0)).await.unwrap();
    let history = tokio::time::timeout(Duration::from_secs(1), watch.next()).await;
    let Ok(Ok(history)) = history else {
        return 0;
    };
    let own = |item: &Item| item.value == b"own";
    history
        .changes
        .iter()
        .filter(|change| matches!(change, crate::store::Change::Put(item) if own(item)))
        .count()
}

#[tokio::test(start_paused = true)]
async fn a_lost_write_settles_and_takes_effect_at_most_once() {
    use Fate::{AnswerLost, Late, Later, Lost, Pass};
    let cases = [
        CrossingCase {
            name: "answered",
            fates: &[Pass],
            rivals: 0,
            verdict: "accepted",
            effects: 1,
        },
        CrossingCase {
            name: "answer lost",
            fates: &[AnswerLost],
            rivals: 0,
            verdict: "accepted",
            effects: 1,
        },
        CrossingCase {
            name: "answer lost, then overwritten",
            fates: &[AnswerLost],
            rivals: 3,
            verdict: "accepted",
            effects: 1,
        },
        CrossingCase {
            name: "answer lost, then overwritten beyond the log",
            fates: &[AnswerLost],
            rivals: 100,
            verdict: "unknown",
            effects: 1,
        },
        CrossingCase {
            name: "write lost once",
            fates: &[Lost],
            rivals: 0,
            verdict: "accepted",
            effects: 1,
        },
        CrossingCase {
            name: "write lost and another went first",
            fates: &[Lost],
            rivals: 1,
            verdict: "refused",
            effects: 0,
        },
        CrossingCase {
            name: "write lost twice, then its answer",
            fates: &[Lost, Lost, AnswerLost],
            rivals: 0,
            verdict: "accepted",
            effects: 1,
        },
        CrossingCase {
            name: "write arrives before its repetition",
            fates: &[Late],
            rivals: 0,
            verdict: "accepted",
            effects: 1,
        },
        CrossingCase {
            name: "write arrives after its repetition",
            fates: &[Later],
            rivals: 0,
            verdict: "accepted",
            effects: 1,
        },
        CrossingCase {
            name: "every answer lost",
            fates: &[AnswerLost; 60],
            rivals: 0,
            verdict: "accepted",
            effects: 1,
        },
        CrossingCase {
            name: "every write lost",
            fates: &[Lost; 200],
            rivals: 0,
            verdict: "unknown",
            effects: 0,
        },
    ];
    for case in cases {
        let store = Arc::new(Crossing::store(case.fates, case.rivals));
        let writer = Writer::new(store.clone(), 1, PATIENCE);
        let base = VersionedLog::default();
        let verdict = writer.commit(GUARD, &base, put("own")).await;
        assert_eq!(name(&verdict), case.verdict, "{}", case.name);
        let effects = effects(&store.memory).await;
        assert_eq!(effects, case.effects, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_refused_write_never_takes_effect_when_it_arrives_late() {
    let store = Arc::new(Crossing::store(&[Fate::Later], 1));
    let writer = Writer::new(store.clone(), 1, PATIENCE);
    let verdict = writer
        .commit(GUARD, &VersionedLog::default(), put("own"))
        .await;
    assert_eq!(verdict, Verdict::Refused);
    let base = writer.guard(GUARD).await.unwrap();
    let next = writer.commit(GUARD, &base, put("next")).await;
    assert_eq!(name(&next), "accepted");
    assert!(store.hooks.held.lock().unwrap().is_none());
    assert_eq!(effects(&store.memory).await, 0);
}

#[tokio::test(start_paused = true)]
async fn a_write_that_cannot_be_read_back_is_unknown_after_the_patience() {
    let mut store = Crossing::store(&[Fate::AnswerLost], 0);
    store.hooks.reads_fail = true;
    let start = Instant::now();
    let writer = Writer::new(Arc::new(store), 1, PATIENCE);
    let verdict = writer
        .commit(GUARD, &VersionedLog::default(), put("own"))
        .await;
    assert_eq!(name(&verdict), "unknown");
    assert_eq!(start.elapsed().as_secs(), PATIENCE.as_secs());
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_down_accepts_nothing_and_says_so_at_once() {
    let memory = MemoryStore::new();
    memory.set_down(true);
    let start = Instant::now();
    let writer = Writer::new(Arc::new(memory), 1, PATIENCE);
    let verdict = writer
        .commit(GUARD, &VersionedLog::default(), put("own"))
        .await;
    assert_eq!(name(&verdict), "not accepted");
    assert_eq!(start.elapsed(), Duration::ZERO);
}
