//! Follows the queue settings of operators in the store.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::QueueTable;
use parsleytally::types::Revision;
use parsleytally_platform::jobs::QueueSource;
use parsleytally_platform::store::{Change, Store, StoreError};
use tokio::sync::watch;
use tokio::time::sleep;

/// Pause before the settings are read and watched again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Publishes new versions of the queue settings; ignores versions that are not newer.
pub(super) struct QueueFollower {
    pub(super) store: Arc<dyn Store>,
    pub(super) source: Arc<dyn QueueSource>,
    pub(super) queues: watch::Sender<Option<Arc<QueueTable>>>,
}

impl QueueFollower {
    pub(super) async fn run(self) {
        loop {
            if let Err(error) = self.follow().await {
                log::warn!(error:% = error; "watching the queue settings failed");
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn follow(&self) -> Result<(), StoreError> {
        let key = self.source.key();
        let read = self.store.range(key).await?;
        if let Some(item) = read.item(key) {
            self.apply(&item.value, item.revision);
        }
        let mut watch = self.store.watch(key, read.revision).await?;
        loop {
            for change in watch.next().await?.changes {
                if let Change::Put(item) = change
                    && item.key == key
                {
                    self.apply(&item.value, item.revision);
                }
            }
        }
    }

    fn apply(&self, value: &[u8], revision: Revision) {
        let table = match self.source.parse(value) {
            Ok(table) => table,
            Err(reason) => {
                log::error!(revision:% = revision, reason = reason.as_str();
                    "invalid queue settings, keeping the previous ones");
                return;
            }
        };
        let version = table.version;
        let replaced = self.queues.send_if_modified(|queues| {
            let newer = queues.as_ref().is_none_or(|old| old.version < version);
            if newer {
                *queues = Some(Arc::new(table));
            }
            newer
        });
        if replaced {
            log::info!(version, revision:% = revision; "queue settings applied");
        }
    }
}
