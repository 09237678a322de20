//! Watches of the store in memory.

use std::sync::Arc;

use parsleytally::types::Revision;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Shared;
use crate::store::calls::OpenWatch;
use crate::store::faults::WatchId;
use crate::store::{Changes, StoreError, StoreFuture, Watch};

#[derive(Debug)]
pub(super) struct MemoryWatch {
    pub(super) id: WatchId,
    pub(super) shared: Arc<Shared>,
    pub(super) newest: watch::Receiver<Revision>,
    pub(super) prefix: String,
    pub(super) from: Revision,
    pub(super) _open: OpenWatch,
}

impl MemoryWatch {
    /// Changes since the last report, and when the next lease may end.
    fn poll(&mut self) -> Result<(Option<Changes>, Option<Instant>), StoreError> {
        let state = self.shared.lock();
        self.newest.mark_unchanged();
        let changes = state.changes(&self.prefix, self.from)?;
        let revision = self.from.max(state.revision);
        self.from = revision;
        let changes = (!changes.is_empty()).then_some(Changes { revision, changes });
        Ok((changes, state.next_end()))
    }
}

impl Watch for MemoryWatch {
    fn next(&mut self) -> StoreFuture<'_, Changes> {
        Box::pin(async move {
            loop {
                if self.shared.faults().is_cut(self.id) {
                    let reason = "connection was closed".to_owned();
                    return Err(StoreError::WatchEnded { reason });
                }
                if self.shared.faults().is_silent(self.id) {
                    std::future::pending::<()>().await;
                }
                let (changes, lease_end) = self.poll()?;
                if let Some(changes) = changes {
                    return Ok(changes);
                }
                let lease = async {
                    match lease_end {
                        Some(end) => tokio::time::sleep_until(end).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    _ = self.newest.changed() => {}
                    () = lease => {}
                }
            }
        })
    }
}
