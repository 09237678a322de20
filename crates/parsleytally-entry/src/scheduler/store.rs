//! StoreClient of the scheduler to the platform's store, each on its own task.
//!
//! Keys:
//!
//! - `/parsleytally/ownership/shards/NN`: a shard's owner record;
//! - `/parsleytally/ownership/entries/NAME`: an entry's liveness counter;
//! - `/parsleytally/journals/NN/head`: epoch and number of a journal's last batch;
//! - `/parsleytally/journals/NN/SEGMENT`: a segment of the journal.

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

const OWNERSHIP_PREFIX: &str = "/parsleytally/ownership/";
const SHARDS_PREFIX: &str = "/parsleytally/ownership/shards/";
const ENTRIES_PREFIX: &str = "/parsleytally/ownership/entries/";
/// Time after which a call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The last batch written to a journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    epoch: Epoch,
    seq: u64,
}

/// All owner records and liveness counters, as one read returned them.
#[derive(Debug)]
pub(crate) struct OwnershipSnapshot {
    pub(crate) sent_at: Time,
    pub(crate) records: Vec<(ShardId, OwnerRecord, Revision)>,
    pub(crate) counters: Vec<(NodeName, u64)>,
}

/// A journal as read after its shard was acquired.
#[derive(Debug)]
pub(crate) struct LoadedJournal {
    pub(crate) ownership: Ownership,
    pub(crate) owner_revision: Revision,
    pub(crate) head_revision: Option<Revision>,
    pub(crate) segments: Vec<(SegmentId, Vec<u8>)>,
}

/// A journal write.
#[derive(Debug, Clone)]
pub(crate) struct JournalWrite {
    pub(crate) shard: ShardId,
    pub(crate) epoch: Epoch,
    /// Revision of the owner record by which the writer owns the shard.
    pub(crate) owner_revision: Revision,
    pub(crate) head_revision: Option<Revision>,
    pub(crate) batch: Batch,
    pub(crate) sent_at: Time,
}

/// Results of the scheduler's calls.
#[derive(Debug)]
pub(crate) enum StoreAnswer {
    Ownership(OwnershipSnapshot),
    Swapped {
        shard: ShardId,
        result: SwapResult,
        sent_at: Time,
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
        head_revision: Option<Revision>,
    },
}

/// Starts calls to the store; the answers arrive on the scheduler's channel.
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

    /// Writes this entry's counter, then reads all owner records and counters.
    pub(crate) fn read_ownership(&self, node: &NodeName, counter: u64, sent_at: Time) {
        let this = self.clone();
        let key = format!("{ENTRIES_PREFIX}{node}");
        self.runtime.spawn(async move {
            let writes = vec![put(key, counter.to_string().into_bytes())];
            let commit = Commit {
                compares: Vec::new(),
                writes,
            };
            // Ignored: a counter that is not raised only makes other entries consider
            // this one dead.
            let _ = with_timeout(this.store.commit(commit)).await;
            if let Ok(items) = with_timeout(this.store.range(OWNERSHIP_PREFIX)).await {
                this.answer(StoreAnswer::Ownership(parse_ownership(
                    sent_at,
                    &items.items,
                )));
            }
        });
    }

    /// Deletes this entry's counter, so that other entries see at once that it has left.
    pub(crate) async fn delete_counter(&self, node: &NodeName) {
        let key = format!("{ENTRIES_PREFIX}{node}");
        let commit = Commit {
            compares: Vec::new(),
            writes: vec![Write::Delete { key }],
        };
        let _ = with_timeout(self.store.commit(commit)).await;
    }

    /// Writes a shard's owner record if it is still at `expected_revision`.
    pub(crate) fn swap_owner(
        &self,
        shard: ShardId,
        expected_revision: Option<Revision>,
        record: &OwnerRecord,
        sent_at: Time,
    ) {
        let this = self.clone();
        let key = owner_key(shard);
        let value = serde_json::to_vec(record).expect("plain data always encodes");
        let commit = Commit {
            compares: vec![Compare::unchanged(&key, expected_revision)],
            writes: vec![put(key, value)],
        };
        self.runtime.spawn(async move {
            let result = match with_timeout(this.store.commit(commit)).await {
                Ok(Outcome::Committed(revision)) => SwapResult::Succeeded(revision),
                Ok(Outcome::Conflict(_)) => SwapResult::Conflict,
                Err(_) => SwapResult::Unknown,
            };
            this.answer(StoreAnswer::Swapped {
                shard,
                result,
                sent_at,
            });
        });
    }

    /// Reads the journal of an acquired shard.
    pub(crate) fn load_journal(&self, ownership: Ownership, owner_revision: Revision) {
        let this = self.clone();
        let shard = ownership.shard;
        self.runtime.spawn(async move {
            let prefix = journal_prefix(shard);
            let answer = match with_timeout(this.store.range(&prefix)).await {
                Ok(found) => StoreAnswer::Loaded(parse_journal(
                    ownership,
                    owner_revision,
                    &prefix,
                    found.items,
                )),
                Err(_) => StoreAnswer::LoadFailed { shard },
            };
            this.answer(answer);
        });
    }

    /// Writes a batch if the owner record and the journal's head are unchanged.
    pub(crate) fn write_journal(&self, write: JournalWrite) {
        let this = self.clone();
        self.runtime.spawn(async move {
            let (result, head_revision) =
                match with_timeout(this.store.commit(journal_commit(&write))).await {
                    Ok(Outcome::Committed(revision)) => {
                        let sent_at = write.sent_at;
                        (WriteResult::Accepted { sent_at }, Some(revision))
                    }
                    Ok(Outcome::Conflict(_)) => this.resolve_conflict(&write).await,
                    Err(_) => (WriteResult::Unknown, write.head_revision),
                };
            this.answer(StoreAnswer::Written {
                shard: write.shard,
                epoch: write.epoch,
                seq: write.batch.seq,
                result,
                head_revision,
            });
        });
    }

    /// Checks whether a write that met a conflict was committed by an earlier attempt.
    async fn resolve_conflict(&self, write: &JournalWrite) -> (WriteResult, Option<Revision>) {
        let unknown = (WriteResult::Unknown, write.head_revision);
        let owner = with_timeout(self.store.range(&owner_key(write.shard))).await;
        let key = head_key(write.shard);
        let head = with_timeout(self.store.range(&key)).await;
        let (Ok(owner), Ok(head)) = (owner, head) else {
            return unknown;
        };
        let expected = Head {
            epoch: write.epoch,
            seq: write.batch.seq,
        };
        let head = head.item(&key);
        let found = head.and_then(|item| serde_json::from_slice::<Head>(&item.value).ok());
        let owner = owner.item(&owner_key(write.shard));
        let is_current = owner.is_some_and(|item| item.revision == write.owner_revision);
        if !is_current {
            return (WriteResult::Fenced, None);
        }
        // An earlier attempt may have been committed before `sent_at`; the unchanged
        // owner record shows that the epoch was still current after `sent_at`.
        match head {
            Some(item) if found == Some(expected) => {
                let sent_at = write.sent_at;
                (WriteResult::Accepted { sent_at }, Some(item.revision))
            }
            head => (WriteResult::Unknown, head.map(|item| item.revision)),
        }
    }

    fn answer(&self, answer: StoreAnswer) {
        // Blocking is harmless: the receiving thread never waits for the store.
        let _ = self.answers.send(Input::Store(answer));
    }
}

async fn with_timeout<T>(
    call: impl std::future::Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let timed_out = StoreError::Timeout { call: "scheduler" };
    timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(timed_out))
}

fn parse_ownership(sent_at: Time, items: &[Item]) -> OwnershipSnapshot {
    let mut snapshot = OwnershipSnapshot {
        sent_at,
        records: Vec::new(),
        counters: Vec::new(),
    };
    for item in items {
        if let Some(shard) = item.key.strip_prefix(SHARDS_PREFIX) {
            let record = serde_json::from_slice(&item.value);
            match (shard.parse().map(ShardId), record) {
                (Ok(shard), Ok(record)) => snapshot.records.push((shard, record, item.revision)),
                _ => log::error!("owner record at {} is malformed", item.key),
            }
        } else if let Some(name) = item.key.strip_prefix(ENTRIES_PREFIX) {
            let count = std::str::from_utf8(&item.value).ok();
            let count = count.and_then(|text| text.parse().ok());
            if let (Ok(name), Some(count)) = (NodeName::new(name), count) {
                snapshot.counters.push((name, count));
            }
        }
    }
    snapshot
}

fn parse_journal(
    ownership: Ownership,
    owner_revision: Revision,
    prefix: &str,
    items: Vec<Item>,
) -> LoadedJournal {
    let mut head_revision = None;
    let mut segments = Vec::new();
    for item in items {
        match item.key.strip_prefix(prefix).map(str::parse) {
            Some(Ok(segment)) => segments.push((SegmentId(segment), item.value)),
            _ => head_revision = Some(item.revision),
        }
    }
    LoadedJournal {
        ownership,
        owner_revision,
        head_revision,
        segments,
    }
}

fn journal_commit(write: &JournalWrite) -> Commit {
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
        Compare::unchanged(owner_key(write.shard), Some(write.owner_revision)),
        Compare::unchanged(head_key(write.shard), write.head_revision),
    ];
    Commit { compares, writes }
}

fn put(key: String, value: Vec<u8>) -> Write {
    let lease = None;
    Write::Put { key, value, lease }
}

fn owner_key(shard: ShardId) -> String {
    format!("{SHARDS_PREFIX}{:02}", shard.0)
}

fn journal_prefix(shard: ShardId) -> String {
    format!("/parsleytally/journals/{:02}/", shard.0)
}

fn head_key(shard: ShardId) -> String {
    format!("{}head", journal_prefix(shard))
}
