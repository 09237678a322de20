//! What the store tells the owner of the fleet and of jobs.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::Revision;
use parsleytally_platform::store::{Changes, Snapshot, Store, StoreError};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::keys;

/// Time after a watch that failed until the next.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// What the store tells of the fleet.
#[derive(Debug)]
pub(super) enum News {
    /// Everything, after the history was lost.
    All(Snapshot),
    /// What has changed.
    Changes(Changes),
}

/// Follows the fleet's keys from `revision` on.
pub(super) async fn follow(
    store: Arc<dyn Store>,
    mut revision: Revision,
    news: mpsc::Sender<News>,
) {
    loop {
        if let Err(error) = follow_watch(&store, &mut revision, &news).await {
            log::warn!(error:% = error, revision:% = revision; "watch of the fleet ended");
            sleep(RETRY_PAUSE).await;
            if !matches!(error, StoreError::Compacted { .. }) {
                continue;
            }
            if let Ok(fleet) = store.range(keys::FLEET).await {
                revision = fleet.revision;
                if news.send(News::All(fleet)).await.is_err() {
                    return;
                }
            }
        } else {
            return;
        }
    }
}

async fn follow_watch(
    store: &Arc<dyn Store>,
    revision: &mut Revision,
    news: &mpsc::Sender<News>,
) -> Result<(), StoreError> {
    let mut watch = store.watch(keys::FLEET, *revision).await?;
    loop {
        let changes = watch.next().await?;
        *revision = changes.revision.max(*revision);
        if !changes.changes.is_empty() && news.send(News::Changes(changes)).await.is_err() {
            return Ok(());
        }
    }
}
