//! Registers the agent's link address in the store, where owners of the jobs read it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::NodeName;
use parsleytally_platform::jobs::{AGENTS, fleet_changed};
use parsleytally_platform::store::{Commit, Compare, Outcome, Store, StoreError, Write};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time without an owner after which the key is checked again.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Registration of the agent under its key in the store.
pub(super) struct Registration {
    pub(super) store: Arc<dyn Store>,
    pub(super) node: NodeName,
    /// Address at which the agent accepts links of owners.
    pub(super) links: SocketAddr,
    /// Whether an owner holds the agent.
    pub(super) held: watch::Receiver<bool>,
}

impl Registration {
    /// Writes the key, and restores it while no owner is linked.
    pub(super) async fn maintain(mut self) {
        let mut registered = false;
        loop {
            if !self.try_register(registered).await {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            registered = true;
            let held = self.held.wait_for(|held| *held);
            if timeout(CHECK_INTERVAL, held).await.is_ok() {
                // The next owner reads the key, so check it once this one is lost.
                if self.held.wait_for(|held| !*held).await.is_err() {
                    return;
                }
                sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Registers like [`Self::register`], and logs the result; returns whether the address is stored.
    async fn try_register(&self, check_first: bool) -> bool {
        match self.register(check_first).await {
            Ok(None) => true,
            Ok(Some(Outcome::Committed(revision))) => {
                log::info!(address:% = self.links, revision:% = revision;
                    "wrote the address to the store");
                true
            }
            Ok(Some(Outcome::Conflict(_))) => {
                log::info!("the address in the store has changed meanwhile");
                false
            }
            Err(error) => {
                log::warn!(error:% = error; "could not write the address to the store");
                false
            }
        }
    }

    /// Writes the address to the store; with `check_first`, only if the key differs. A write that is
    /// carried out late, by an earlier process of this agent too, replaces no later address.
    async fn register(&self, check_first: bool) -> Result<Option<Outcome>, StoreError> {
        let key = format!("{AGENTS}{}", self.node);
        let value = self.links.to_string().into_bytes();
        let found = self.store.range(&key).await?;
        let known = found.item(&key);
        if check_first && known.is_some_and(|item| item.value == value) {
            return Ok(None);
        }
        let unchanged = Compare::unchanged(&key, known.map(|item| item.revision));
        let changed = fleet_changed(&key);
        let lease = None;
        let commit = Commit {
            compares: vec![unchanged],
            writes: vec![Write::Put { key, value, lease }, changed],
        };
        self.store.commit(commit).await.map(Some)
    }
}
