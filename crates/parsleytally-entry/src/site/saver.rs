//! Writes what became of jobs, many at a time, under the condition that the owner
//! has not changed.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{JobId, JobProgress};
use parsleytally::types::Revision;
use parsleytally_platform::store::{Commit, Compare, Outcome, Snapshot, Store, StoreError, Write};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::keys;
use super::owner::OwnerInput;

/// Jobs in one commit: one condition for the owner, a condition and a write for each.
const JOBS_A_COMMIT: usize = 15;
/// Pause after a commit that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// A record to write.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) job: JobId,
    pub(super) version: u64,
    pub(super) progress: JobProgress,
}

/// The writer of one ownership.
pub(super) struct Saver {
    pub(super) store: Arc<dyn Store>,
    /// Revision of the epoch, which must not change.
    pub(super) since: Revision,
    /// Revision of each record in the store.
    pub(super) revisions: HashMap<JobId, Revision>,
    pub(super) records: mpsc::UnboundedReceiver<Record>,
    pub(super) owner: mpsc::Sender<OwnerInput>,
    pub(super) stop: CancellationToken,
}

impl Saver {
    /// Writes until the ownership ends.
    pub(super) async fn run(mut self) {
        let stop = self.stop.clone();
        let _ = stop.run_until_cancelled(self.write_all()).await;
    }

    async fn write_all(&mut self) {
        let mut waiting: BTreeMap<JobId, Record> = BTreeMap::new();
        loop {
            if waiting.is_empty() {
                let Some(record) = self.records.recv().await else {
                    return;
                };
                waiting.insert(record.job, record);
            }
            while let Ok(record) = self.records.try_recv() {
                waiting.insert(record.job, record);
            }
            let batch: Vec<JobId> = waiting.keys().copied().take(JOBS_A_COMMIT).collect();
            match self.store.commit(self.commit(&batch, &waiting)).await {
                Ok(Outcome::Committed(revision)) => {
                    self.committed(&batch, revision, &mut waiting).await;
                }
                Ok(Outcome::Conflict(_)) => {
                    if !self.reread().await {
                        return;
                    }
                }
                Err(error) => self.failed(&error, waiting.len()).await,
            }
        }
    }

    fn commit(&self, batch: &[JobId], waiting: &BTreeMap<JobId, Record>) -> Commit {
        let mut commit = Commit::default();
        commit.compares.push(Compare::Unchanged {
            key: keys::EPOCH.to_owned(),
            revision: self.since,
        });
        for job in batch {
            let key = keys::progress(*job);
            // A late copy of an earlier write must not undo a later one.
            commit.compares.push(match self.revisions.get(job) {
                Some(revision) => Compare::Unchanged {
                    key: key.clone(),
                    revision: *revision,
                },
                None => Compare::Absent { key: key.clone() },
            });
            commit.writes.push(Write::Put {
                key,
                value: waiting[job].progress.encode(),
                lease: None,
            });
        }
        commit
    }

    async fn committed(
        &mut self,
        batch: &[JobId],
        revision: Revision,
        waiting: &mut BTreeMap<JobId, Record>,
    ) {
        let mut saved = Vec::new();
        for job in batch {
            self.revisions.insert(*job, revision);
            if let Some(record) = waiting.remove(job) {
                saved.push((record.job, record.version));
            }
        }
        let _ = self.owner.send(OwnerInput::Saved(saved)).await;
    }

    async fn failed(&self, error: &StoreError, waiting: usize) {
        log::warn!(error:% = error, waiting; "records of jobs are not written yet");
        sleep(RETRY_PAUSE).await;
    }

    /// Reads the revisions again; false once another process is the owner.
    async fn reread(&mut self) -> bool {
        loop {
            match self.read_revisions().await {
                Ok(still) => return still,
                Err(error) => self.failed(&error, 0).await,
            }
        }
    }

    async fn read_revisions(&mut self) -> Result<bool, StoreError> {
        let lead = self.store.range(keys::LEAD).await?;
        if lead.item(keys::EPOCH).map(|item| item.revision) != Some(self.since) {
            log::warn!("another entry owns the jobs: writes stop");
            let _ = self.owner.send(OwnerInput::Replaced).await;
            return Ok(false);
        }
        let records = self.store.range(keys::PROGRESS).await?;
        self.revisions = revisions(&records);
        Ok(true)
    }
}

/// Revision of each record of a job.
pub(super) fn revisions(progress: &Snapshot) -> HashMap<JobId, Revision> {
    let known = progress.items.iter().filter_map(|item| {
        let id = keys::job_of(keys::PROGRESS, &item.key)?;
        Some((id, item.revision))
    });
    known.collect()
}
