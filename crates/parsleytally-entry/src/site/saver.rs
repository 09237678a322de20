//! Writes progress records of jobs in batches, on condition that the owner has not changed.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{JobId, JobProgress};
use parsleytally::types::Revision;
use parsleytally_platform::store::{
    Commit, Compare, MAX_VALUE_BYTES, Outcome, Snapshot, Store, StoreError, Write,
};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::election::epoch_unchanged;
use super::keys;
use super::messages::OwnerInput;

/// Most jobs in one commit, which has one condition for the owner, and a condition and a
/// write for each job.
const MAX_JOBS_PER_COMMIT: usize = 15;
/// Most bytes of the records in one commit, unless it has only one.
const MAX_COMMIT_BYTES: usize = MAX_VALUE_BYTES;
/// Pause after a commit that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// A progress record to write.
#[derive(Debug)]
pub(super) struct ProgressRecord {
    pub(super) job: JobId,
    pub(super) version: u64,
    pub(super) progress: JobProgress,
}

/// A job and its record, encoded.
type EncodedRecord = (JobId, Vec<u8>);

/// Writes the progress records of one ownership.
pub(super) struct Saver {
    pub(super) store: Arc<dyn Store>,
    /// Revision of the epoch key at which the ownership began; commits fail if it has changed.
    pub(super) since: Revision,
    /// Store revision of each job's progress record.
    pub(super) revisions: HashMap<JobId, Revision>,
    pub(super) records: mpsc::UnboundedReceiver<ProgressRecord>,
    pub(super) owner: mpsc::Sender<OwnerInput>,
    pub(super) stop: CancellationToken,
}

impl Saver {
    /// Writes records until the ownership ends.
    pub(super) async fn run(mut self) {
        let stop = self.stop.clone();
        let _ = stop.run_until_cancelled(self.write_all()).await;
    }

    async fn write_all(&mut self) {
        let mut pending: BTreeMap<JobId, ProgressRecord> = BTreeMap::new();
        loop {
            if pending.is_empty() {
                let Some(record) = self.records.recv().await else {
                    return;
                };
                pending.insert(record.job, record);
            }
            while let Ok(record) = self.records.try_recv() {
                pending.insert(record.job, record);
            }
            let batch = next_batch(&mut pending);
            if batch.is_empty() {
                continue;
            }
            match self.store.commit(self.commit(&batch)).await {
                Ok(Outcome::Committed(revision)) => {
                    self.handle_committed(&batch, revision, &mut pending).await;
                }
                Ok(Outcome::Conflict(_)) => {
                    if !self.reload_revisions().await {
                        return;
                    }
                }
                Err(error) => self.log_and_pause(&error, pending.len()).await,
            }
        }
    }

    fn commit(&self, batch: &[EncodedRecord]) -> Commit {
        let mut commit = Commit::default();
        commit.compares.push(epoch_unchanged(self.since));
        for (job, value) in batch {
            let key = keys::progress(*job);
            let saved = self.revisions.get(job).copied();
            // A delayed duplicate of an earlier write must not overwrite a later one.
            commit.compares.push(Compare::unchanged(&key, saved));
            commit.writes.push(Write::Put {
                key,
                value: value.clone(),
                lease: None,
            });
        }
        commit
    }

    async fn handle_committed(
        &mut self,
        batch: &[EncodedRecord],
        revision: Revision,
        pending: &mut BTreeMap<JobId, ProgressRecord>,
    ) {
        let mut saved = Vec::new();
        for (job, _) in batch {
            self.revisions.insert(*job, revision);
            if let Some(record) = pending.remove(job) {
                saved.push((record.job, record.version));
            }
        }
        let _ = self.owner.send(OwnerInput::Saved(saved)).await;
    }

    async fn log_and_pause(&self, error: &StoreError, pending: usize) {
        log::warn!(error:% = error, waiting = pending; "progress records are not written yet, retrying");
        sleep(RETRY_PAUSE).await;
    }

    /// Reads the revisions of the records again; returns false once another process is the
    /// owner.
    async fn reload_revisions(&mut self) -> bool {
        loop {
            match self.read_revisions().await {
                Ok(is_owner) => return is_owner,
                Err(error) => self.log_and_pause(&error, 0).await,
            }
        }
    }

    async fn read_revisions(&mut self) -> Result<bool, StoreError> {
        let ownership = self.store.range(keys::OWNERSHIP).await?;
        if ownership.item(keys::EPOCH).map(|item| item.revision) != Some(self.since) {
            log::warn!("another entry owns the jobs, no further records are written");
            let _ = self.owner.send(OwnerInput::Replaced).await;
            return Ok(false);
        }
        let records = self.store.range(keys::PROGRESS).await?;
        self.revisions = revisions(&records);
        Ok(true)
    }
}

/// The next records to write, without those that the store can't hold.
fn next_batch(pending: &mut BTreeMap<JobId, ProgressRecord>) -> Vec<EncodedRecord> {
    let mut batch = Vec::new();
    let mut too_large = Vec::new();
    let mut bytes = 0;
    for record in pending.values() {
        let Some(value) = encode(record) else {
            too_large.push(record.job);
            continue;
        };
        bytes += value.len();
        let is_full = batch.len() == MAX_JOBS_PER_COMMIT || bytes > MAX_COMMIT_BYTES;
        if is_full && !batch.is_empty() {
            break;
        }
        batch.push((record.job, value));
    }
    for job in too_large {
        pending.remove(&job);
    }
    batch
}

/// Encodes a record; none if the store can't hold it even without checkpoints.
fn encode(record: &ProgressRecord) -> Option<Vec<u8>> {
    let job = record.job;
    let value = record.progress.encode();
    if value.len() <= MAX_VALUE_BYTES {
        return Some(value);
    }
    let reduced = record.progress.without_checkpoints().encode();
    let (bytes, without) = (value.len(), reduced.len());
    if without <= MAX_VALUE_BYTES {
        log::warn!(job:%, bytes, without; "progress is saved without checkpoints, it is too large");
        return Some(reduced);
    }
    log::error!(job:%, bytes, without; "progress is not saved, it is too large");
    None
}

/// Store revision of each job's progress record.
pub(super) fn revisions(progress: &Snapshot) -> HashMap<JobId, Revision> {
    let pairs = progress.items.iter().filter_map(|item| {
        let id = keys::parse_job(keys::PROGRESS, &item.key)?;
        Some((id, item.revision))
    });
    pairs.collect()
}
