//! What a new owner reads from the store.

use std::collections::HashMap;
use std::time::Duration;

use parsleytally::jobs::{ContentionRecord, JobId, JobProgress};
use parsleytally_platform::store::{Snapshot, Store, StoreError};
use tokio::time::sleep;

use super::keys;

/// Pause after a failed read of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// The store's records at the beginning of an ownership.
pub(super) struct StoredState {
    /// Agents and jobs.
    pub(super) fleet: Snapshot,
    /// Progress records of jobs.
    pub(super) progress: Snapshot,
    learned: Snapshot,
}

impl StoredState {
    /// Reads all records; repeats failed reads.
    pub(super) async fn read(store: &dyn Store) -> Self {
        loop {
            match Self::try_read(store).await {
                Ok(state) => return state,
                Err(error) => {
                    log::warn!(error:% = error; "reading the jobs failed, retrying");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn try_read(store: &dyn Store) -> Result<Self, StoreError> {
        Ok(Self {
            fleet: store.range(keys::FLEET).await?,
            progress: store.range(keys::PROGRESS).await?,
            learned: store.range(keys::LEARNED).await?,
        })
    }

    /// Progress of each job that has a record; none if that can't be read.
    pub(super) fn progress(&self) -> HashMap<JobId, Option<JobProgress>> {
        let mut progress = HashMap::new();
        for item in &self.progress.items {
            let Some(id) = keys::parse_job(keys::PROGRESS, &item.key) else {
                continue;
            };
            let record = JobProgress::decode(&item.value);
            let record = record.inspect_err(|error| {
                log::error!(job:% = id, error:% = error;
                    "progress record of a job is invalid, the job is not run");
            });
            progress.insert(id, record.ok());
        }
        progress
    }

    /// What the previous owner learned; none without a valid record.
    pub(super) fn learned(&self) -> Option<ContentionRecord> {
        let item = self.learned.item(keys::LEARNED)?;
        let record = ContentionRecord::decode(&item.value);
        let record = record.inspect_err(|error| {
            log::warn!(error:% = error; "record of learned effects is invalid, learning anew");
        });
        record.ok()
    }
}
