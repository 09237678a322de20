//! Follows the store keys of the ownership, agents and jobs for the owner.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::Revision;
use parsleytally_platform::store::{Changes, Snapshot, Store, StoreError};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::keys;

/// Pause before a failed watch is started again.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// An update of the fleet's keys.
#[derive(Debug)]
pub(super) enum FleetUpdate {
    /// All keys; sent when the store has compacted the revisions to resume from.
    Snapshot(Snapshot),
    /// Changes since the last update.
    Changes(Changes),
}

/// Sends updates of the fleet's keys after `revision`; returns once the receiver is closed.
pub(super) async fn follow_fleet(
    store: Arc<dyn Store>,
    mut revision: Revision,
    updates: mpsc::Sender<FleetUpdate>,
) {
    loop {
        if let Err(error) = follow_watch(&store, &mut revision, &updates).await {
            log::warn!(error:% = error, revision:% = revision; "watch of the fleet ended");
            sleep(RETRY_PAUSE).await;
            if !matches!(error, StoreError::Compacted { .. }) {
                continue;
            }
            if let Ok(fleet) = store.range(keys::FLEET).await {
                revision = fleet.revision;
                if updates.send(FleetUpdate::Snapshot(fleet)).await.is_err() {
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
    updates: &mpsc::Sender<FleetUpdate>,
) -> Result<(), StoreError> {
    let mut watch = store.watch(keys::FLEET, *revision).await?;
    loop {
        let changes = watch.next().await?;
        *revision = changes.revision.max(*revision);
        if !changes.changes.is_empty() && updates.send(FleetUpdate::Changes(changes)).await.is_err()
        {
            return Ok(());
        }
    }
}
