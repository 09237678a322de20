//! Model of clients, entries and a store that carries out writes late, with seeded faults, in
//! simulated time.

use std::sync::Mutex;

use parsleytally::jobs::JobRecord;
use parsleytally_platform::store::{
    Commit, HookedStore, LeaseId, Outcome, StoreError, StoreFuture, StoreHooks,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::super::keys;
use super::*;

const SEEDS: u64 = 200;
const ENTRIES: usize = 3;
const JOBS: u64 = 12;
/// Time for which a call without an answer waits for it.
const SILENCE: Duration = Duration::from_secs(1);
/// Range of times after which a write is carried out late, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 1_000..6_000;
/// Pause before a cancellation is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time by which all late writes are carried out.
const SETTLE: Duration = Duration::from_secs(7);

fn millis(rng: &mut SmallRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Loses the answers to some writes, and carries out some of these late or never.
struct WriteFaults {
    rng: Mutex<SmallRng>,
}

/// What becomes of a write.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    Refused,
    Unanswered,
    Late(Duration),
    Lost,
}

impl WriteFaults {
    fn draw(&self) -> Fate {
        let mut rng = self.rng.lock().expect("not poisoned");
        match rng.random_range(0..10) {
            0 => Fate::Refused,
            1 => Fate::Unanswered,
            2 => Fate::Late(millis(&mut rng, LATE_MS)),
            3 => Fate::Lost,
            _ => Fate::Answered,
        }
    }
}

async fn no_answer<T>(call: &'static str) -> Result<T, StoreError> {
    sleep(SILENCE).await;
    Err(StoreError::Timeout { call })
}

impl StoreHooks for WriteFaults {
    fn commit<'a>(&'a self, store: &'a MemoryStore, commit: Commit) -> StoreFuture<'a, Outcome> {
        let store = store.clone();
        Box::pin(async move {
            match self.draw() {
                Fate::Answered => return store.commit(commit).await,
                Fate::Refused => {
                    let reason = "drawn".to_owned();
                    return Err(StoreError::Down { reason });
                }
                Fate::Unanswered => drop(store.commit(commit).await),
                Fate::Late(delay) => {
                    tokio::spawn(async move {
                        sleep(delay).await;
                        store.commit(commit).await
                    });
                }
                Fate::Lost => {}
            }
            no_answer("commit").await
        })
    }

    fn grant<'a>(&'a self, store: &'a MemoryStore, ttl: Duration) -> StoreFuture<'a, LeaseId> {
        Box::pin(async move {
            match self.draw() {
                Fate::Answered => store.grant(ttl).await,
                _ => no_answer("grant").await,
            }
        })
    }
}

/// What the clients of a job were told.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    accepted: bool,
    /// Whether each submission was refused.
    refused: bool,
    is_cancelled: bool,
}

/// A job's clients: one submits it at some entries in turn, the other cancels it meanwhile.
struct Clients {
    entries: Vec<Arc<EntryJobService>>,
    rng: SmallRng,
    id: JobId,
}

impl Clients {
    fn entry(&mut self) -> Arc<EntryJobService> {
        let number = self.rng.random_range(0..self.entries.len());
        self.entries[number].clone()
    }

    async fn run(mut self) -> Told {
        let mut cancelling = Self {
            entries: self.entries.clone(),
            rng: SmallRng::seed_from_u64(self.rng.random()),
            id: self.id,
        };
        let (mut told, is_cancelled) = tokio::join!(self.submit(), cancelling.cancel());
        told.is_cancelled = is_cancelled;
        told
    }

    /// Submits the job some times; the client of some submissions leaves before the answer.
    async fn submit(&mut self) -> Told {
        let mut told = Told {
            refused: true,
            ..Told::default()
        };
        for _ in 0..self.rng.random_range(1..4) {
            sleep(millis(&mut self.rng, 0..1_500)).await;
            let (entry, patience) = (self.entry(), millis(&mut self.rng, 1..4_000));
            let submitted = entry.submit(self.id, spec(), soon());
            match timeout(patience, submitted).await {
                Ok(SubmitAnswer::Accepted) => told.accepted = true,
                Ok(SubmitAnswer::Refused { .. }) => continue,
                Ok(SubmitAnswer::Unknown) | Err(_) => {}
            }
            told.refused = false;
        }
        told
    }

    /// Cancels some of the jobs until this is confirmed.
    async fn cancel(&mut self) -> bool {
        if self.rng.random_ratio(1, 5) {
            return false;
        }
        sleep(millis(&mut self.rng, 0..4_000)).await;
        loop {
            let entry = self.entry();
            match entry.cancel(self.id, soon()).await {
                CancelAnswer::Accepted | CancelAnswer::NoJob => return true,
                CancelAnswer::Refused { .. } | CancelAnswer::Unknown => sleep(RETRY_PAUSE).await,
            }
        }
    }
}

/// What is wrong with a job in the store.
fn violation(told: Told, record: Option<&JobRecord>) -> Option<&'static str> {
    let is_stored = record.is_some();
    let is_cancelled = record.is_some_and(|record| record.cancelled);
    if told.is_cancelled && is_stored && !is_cancelled {
        return Some("stored after its cancelling was confirmed");
    }
    if !told.is_cancelled && is_cancelled {
        return Some("cancelled without cause");
    }
    if told.accepted && !is_stored {
        return Some("accepted and not stored");
    }
    (told.refused && is_stored).then_some("stored though each submission was refused")
}

async fn violations(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let store = MemoryStore::new();
    let entry = |rng: &mut SmallRng| {
        let rng = Mutex::new(SmallRng::seed_from_u64(rng.random()));
        let (memory, hooks) = (store.clone(), WriteFaults { rng });
        Arc::new(job_service_on(Arc::new(HookedStore { memory, hooks })))
    };
    let entries: Vec<_> = (0..ENTRIES).map(|_| entry(&mut rng)).collect();
    let mut clients = JoinSet::new();
    for id in (0..JOBS).map(JobId) {
        let entries = entries.clone();
        let rng = SmallRng::seed_from_u64(rng.random());
        let job = Clients { entries, rng, id };
        clients.spawn(async move { (id, job.run().await) });
    }
    let told = clients.join_all().await;
    sleep(SETTLE).await;
    let mut found = Vec::new();
    for (id, told) in told {
        let key = keys::job(id);
        let items = store.range(&key).await.expect("the store answers");
        let item = items.item(&key);
        let record = item.map(|item| JobRecord::decode(&item.value).expect("a record"));
        let violation = violation(told, record.as_ref());
        found.extend(violation.map(|what| format!("seed {seed}, job {id}: {what}")));
    }
    found
}

/// Guards against jobs that are stored after their cancelling was confirmed, jobs that are
/// accepted and lost, and refused jobs that run, in any order of calls at any entry.
#[tokio::test(start_paused = true)]
async fn answers_about_a_job_hold_whatever_is_carried_out_late() {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        found.extend(violations(seed).await);
    }
    assert!(found.is_empty(), "{found:#?}");
}
