//! Tells owners of the jobs, by the store, where this agent is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::NodeName;
use parsleytally_platform::jobs::AGENTS;
use parsleytally_platform::store::{Commit, Store, StoreError, Write};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time without an owner after which the key is looked at again.
const LOOK_AGAIN: Duration = Duration::from_secs(2);

/// The agent's key in the store.
pub(super) struct Presence {
    pub(super) store: Arc<dyn Store>,
    pub(super) node: NodeName,
    pub(super) links: SocketAddr,
    /// Whether an owner is linked.
    pub(super) has_owner: watch::Receiver<bool>,
}

impl Presence {
    /// Keeps the key while no owner is linked.
    pub(super) async fn keep(mut self) {
        let mut told = false;
        loop {
            if let Err(error) = self.tell(told).await {
                log::warn!(error:% = error; "address is not in the store yet");
                sleep(RETRY_PAUSE).await;
                continue;
            }
            told = true;
            let owned = self.has_owner.wait_for(|has| *has);
            if timeout(LOOK_AGAIN, owned).await.is_ok() {
                // The key matters again once the owner is lost.
                if self.has_owner.wait_for(|has| !*has).await.is_err() {
                    return;
                }
                sleep(LOOK_AGAIN).await;
            }
        }
    }

    async fn tell(&self, look_first: bool) -> Result<(), StoreError> {
        let key = format!("{AGENTS}{}", self.node);
        let value = self.links.to_string().into_bytes();
        if look_first {
            let found = self.store.range(&key).await?;
            if found.item(&key).is_some_and(|item| item.value == value) {
                return Ok(());
            }
        }
        let commit = Commit {
            compares: Vec::new(),
            writes: vec![Write::Put {
                key,
                value,
                lease: None,
            }],
        };
        self.store.commit(commit).await?;
        log::info!(address:% = self.links; "address is in the store");
        Ok(())
    }
}
