//! StoreClient of the scheduler to the platform's store, each on its own task.
//!
//! Keys: `/parsleytally/ownership/shards/NN` has a shard's owner record,
//! `/parsleytally/ownership/entries/NAME` an entry's counter,
//! `/parsleytally/journals/NN/head` the last batch and
//! `/parsleytally/journals/NN/SEGMENT` the segments.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use parsleytally::ownership::{Batch, OwnerRecord, Ownership, SegmentId, SwapResult, WriteResult};
use parsleytally::types::{Epoch, NodeName, Revision, ShardId, Time};
use parsleytally_platform::store::{Commit, Compare, Item, Outcome, Store, StoreError, Write};
use serde::{Deserialize, Serialize};
use tokio::runtime::Handle;
use tokio::time::timeout;

use super::Input;

const OWNERSHIP: &str = "/parsleytally/ownership/";
const SHARDS: &str = "/parsleytally/ownership/shards/";
const ENTRIES: &str = "/parsleytally/ownership/entries/";
/// Time after which a call counts as unanswered.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// The last batch that a journal took.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    epoch: Epoch,
    seq: u64,
}

/// What a read of all owner records found.
#[derive(Debug)]
pub(crate) struct OwnershipSnapshot {
    pub(crate) asked: Time,
    pub(crate) records: Vec<(ShardId, OwnerRecord, Revision)>,
    pub(crate) counters: Vec<(NodeName, u64)>,
}

/// A journal as it was read after its shard was won.
#[derive(Debug)]
pub(crate) struct LoadedJournal {
    pub(crate) term: Ownership,
    pub(crate) revision: Revision,
    pub(crate) head: Option<Revision>,
    pub(crate) segments: Vec<(SegmentId, Vec<u8>)>,
}

/// A journal write.
#[derive(Debug, Clone)]
pub(crate) struct JournalWrite {
    pub(crate) shard: ShardId,
    pub(crate) epoch: Epoch,
    /// Revision of the owner record that the writer won.
    pub(crate) owner: Revision,
    pub(crate) head: Option<Revision>,
    pub(crate) batch: Batch,
    pub(crate) asked: Time,
}

/// Answers to the scheduler's calls.
#[derive(Debug)]
pub(crate) enum StoreAnswer {
    Ownership(OwnershipSnapshot),
    Swapped {
        shard: ShardId,
        result: SwapResult,
        asked: Time,
    },
    Loaded(LoadedJournal),
    LoadFailed {
        shard: ShardId,
    },
    Written {
        shard: ShardId,
        epoch: Epoch,
        seq: u64,
        result: WriteResult,
        head: Option<Revision>,
    },
}

/// Starts calls; answers come through the scheduler's ring.
#[derive(Clone)]
pub(crate) struct StoreClient {
    store: Arc<dyn Store>,
    runtime: Handle,
    answers: Sender<Input>,
}

impl StoreClient {
    pub(crate) fn new(store: Arc<dyn Store>, runtime: Handle, answers: Sender<Input>) -> Self {
        Self {
            store,
            runtime,
            answers,
        }
    }

    /// Raises this entry's counter and reads all owner records.
    pub(crate) fn read_ownership(&self, node: &NodeName, count: u64, asked: Time) {
        let this = self.clone();
        let key = format!("{ENTRIES}{node}");
        self.runtime.spawn(async move {
            let writes = vec![put(key, count.to_string().into_bytes())];
            let commit = Commit {
                compares: Vec::new(),
                writes,
            };
            // A counter that is not raised is taken for a dead entry, nothing worse.
            let _ = limited(this.store.commit(commit)).await;
            if let Ok(items) = limited(this.store.range(OWNERSHIP)).await {
                this.answer(StoreAnswer::Ownership(owners(asked, &items.items)));
            }
        });
    }

    /// Deletes this entry's counter.
    pub(crate) async fn delete_counter(&self, node: &NodeName) {
        let key = format!("{ENTRIES}{node}");
        let commit = Commit {
            compares: Vec::new(),
            writes: vec![Write::Delete { key }],
        };
        let _ = limited(self.store.commit(commit)).await;
    }

    pub(crate) fn swap_owner(
        &self,
        shard: ShardId,
        expect: Option<Revision>,
        record: &OwnerRecord,
        asked: Time,
    ) {
        let this = self.clone();
        let key = owner_key(shard);
        let value = serde_json::to_vec(record).expect("plain data always encodes");
        let commit = Commit {
            compares: vec![unchanged(key.clone(), expect)],
            writes: vec![put(key, value)],
        };
        self.runtime.spawn(async move {
            let result = match limited(this.store.commit(commit)).await {
                Ok(Outcome::Committed(revision)) => SwapResult::Succeeded(revision),
                Ok(Outcome::Conflict(_)) => SwapResult::Conflict,
                Err(_) => SwapResult::Unknown,
            };
            this.answer(StoreAnswer::Swapped {
                shard,
                result,
                asked,
            });
        });
    }

    pub(crate) fn load_journal(&self, term: Ownership, revision: Revision) {
        let this = self.clone();
        let shard = term.shard;
        self.runtime.spawn(async move {
            let prefix = journal_prefix(shard);
            let answer = match limited(this.store.range(&prefix)).await {
                Ok(found) => StoreAnswer::Loaded(loaded(term, revision, &prefix, found.items)),
                Err(_) => StoreAnswer::LoadFailed { shard },
            };
            this.answer(answer);
        });
    }

    pub(crate) fn write_journal(&self, write: JournalWrite) {
        let this = self.clone();
        self.runtime.spawn(async move {
            let (result, head) = match limited(this.store.commit(commit_of(&write))).await {
                Ok(Outcome::Committed(revision)) => {
                    let asked = write.asked;
                    (WriteResult::Accepted { sent_at: asked }, Some(revision))
                }
                Ok(Outcome::Conflict(_)) => this.look(&write).await,
                Err(_) => (WriteResult::Unknown, write.head),
            };
            this.answer(StoreAnswer::Written {
                shard: write.shard,
                epoch: write.epoch,
                seq: write.batch.seq,
                result,
                head,
            });
        });
    }

    /// Tells whether a write that met a conflict had taken effect before.
    async fn look(&self, write: &JournalWrite) -> (WriteResult, Option<Revision>) {
        let unknown = (WriteResult::Unknown, write.head);
        let owner = limited(self.store.range(&owner_key(write.shard))).await;
        let key = head_key(write.shard);
        let head = limited(self.store.range(&key)).await;
        let (Ok(owner), Ok(head)) = (owner, head) else {
            return unknown;
        };
        let wanted = Head {
            epoch: write.epoch,
            seq: write.batch.seq,
        };
        let head = head.item(&key);
        let found = head.and_then(|item| serde_json::from_slice::<Head>(&item.value).ok());
        let owner = owner.item(&owner_key(write.shard));
        let same = owner.is_some_and(|item| item.revision == write.owner);
        if !same {
            return (WriteResult::Fenced, None);
        }
        // An earlier try may have taken effect before `asked`; that the epoch was
        // current after `asked` is shown by the unchanged owner record.
        match head {
            Some(item) if found == Some(wanted) => {
                let asked = write.asked;
                (
                    WriteResult::Accepted { sent_at: asked },
                    Some(item.revision),
                )
            }
            head => (WriteResult::Unknown, head.map(|item| item.revision)),
        }
    }

    fn answer(&self, answer: StoreAnswer) {
        // The ring is drained by a thread that never waits for the store.
        let _ = self.answers.send(Input::Store(answer));
    }
}

async fn limited<T>(
    call: impl std::future::Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let late = StoreError::Timeout { call: "scheduler" };
    timeout(CALL_LIMIT, call).await.unwrap_or(Err(late))
}

fn owners(asked: Time, items: &[Item]) -> OwnershipSnapshot {
    let mut owners = OwnershipSnapshot {
        asked,
        records: Vec::new(),
        counters: Vec::new(),
    };
    for item in items {
        if let Some(shard) = item.key.strip_prefix(SHARDS) {
            let record = serde_json::from_slice(&item.value);
            match (shard.parse().map(ShardId), record) {
                (Ok(shard), Ok(record)) => owners.records.push((shard, record, item.revision)),
                _ => log::error!("owner record at {} is malformed", item.key),
            }
        } else if let Some(name) = item.key.strip_prefix(ENTRIES) {
            let count = std::str::from_utf8(&item.value).ok();
            let count = count.and_then(|text| text.parse().ok());
            if let (Ok(name), Some(count)) = (NodeName::new(name), count) {
                owners.counters.push((name, count));
            }
        }
    }
    owners
}

fn loaded(term: Ownership, revision: Revision, prefix: &str, items: Vec<Item>) -> LoadedJournal {
    let mut head = None;
    let mut segments = Vec::new();
    for item in items {
        match item.key.strip_prefix(prefix).map(str::parse) {
            Some(Ok(segment)) => segments.push((SegmentId(segment), item.value)),
            _ => head = Some(item.revision),
        }
    }
    LoadedJournal {
        term,
        revision,
        head,
        segments,
    }
}

fn commit_of(write: &JournalWrite) -> Commit {
    let head = Head {
        epoch: write.epoch,
        seq: write.batch.seq,
    };
    let head = serde_json::to_vec(&head).expect("plain data always encodes");
    let prefix = journal_prefix(write.shard);
    let mut writes = vec![put(head_key(write.shard), head)];
    let segments = write.batch.segments.iter();
    writes.extend(segments.map(|(id, bytes)| put(format!("{prefix}{id}"), bytes.clone())));
    let compares = vec![
        unchanged(owner_key(write.shard), Some(write.owner)),
        unchanged(head_key(write.shard), write.head),
    ];
    Commit { compares, writes }
}

fn unchanged(key: String, revision: Option<Revision>) -> Compare {
    match revision {
        Some(revision) => Compare::Unchanged { key, revision },
        None => Compare::Absent { key },
    }
}

fn put(key: String, value: Vec<u8>) -> Write {
    let lease = None;
    Write::Put { key, value, lease }
}

fn owner_key(shard: ShardId) -> String {
    format!("{SHARDS}{:02}", shard.0)
}

fn journal_prefix(shard: ShardId) -> String {
    format!("/parsleytally/journals/{:02}/", shard.0)
}

fn head_key(shard: ShardId) -> String {
    format!("{}head", journal_prefix(shard))
}
