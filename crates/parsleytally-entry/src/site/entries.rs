//! Addresses of the other entries, from the store.
//!
//! Each entry publishes its address once. The key has the prefix of the ownership keys, which
//! every entry reads at each check of the ownership, so following the addresses needs no
//! further call to the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use parsleytally::types::{NodeName, Revision};
use parsleytally_platform::store::{Commit, Compare, Item, Outcome, Snapshot, Store, Write};
use tokio::task::JoinHandle;

use super::keys;

/// Addresses that are kept in the store. An entry that starts deletes the oldest beyond, so
/// that addresses of replaced VMs don't pile up.
const MAX_ADDRESSES: usize = 64;

/// Addresses of the other entries; clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct EntryAddresses(Arc<Mutex<Arc<BTreeMap<NodeName, SocketAddr>>>>);

impl EntryAddresses {
    /// The addresses as of the last read of the store.
    pub(super) fn get(&self) -> Arc<BTreeMap<NodeName, SocketAddr>> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(super) fn set(&self, addresses: BTreeMap<NodeName, SocketAddr>) {
        let mut current = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if **current != addresses {
            *current = Arc::new(addresses);
        }
    }
}

/// An address in the store.
#[derive(Debug, Clone)]
struct Published {
    node: NodeName,
    key: String,
    address: SocketAddr,
    revision: Revision,
}

/// Publishes this entry's address and follows those of the others.
pub(super) struct EntryRegistry {
    pub(super) store: Arc<dyn Store>,
    pub(super) node: NodeName,
    pub(super) links: SocketAddr,
    pub(super) addresses: EntryAddresses,
    /// Write in progress.
    write: Option<JoinHandle<()>>,
    /// Whether the store has had this process's address; then it deletes no others, so
    /// that entries beyond [`MAX_ADDRESSES`] don't delete each other's in turn.
    published: Arc<AtomicBool>,
    /// Highest revision of an address of which a warning was written.
    warned: Revision,
}

impl EntryRegistry {
    pub(super) fn new(store: Arc<dyn Store>, node: NodeName, links: SocketAddr) -> Self {
        Self {
            store,
            node,
            links,
            addresses: EntryAddresses::default(),
            write: None,
            published: Arc::default(),
            warned: Revision(0),
        }
    }

    /// Takes the addresses from a read of the ownership keys. Publishes this entry's address
    /// if it is missing, in a task of its own, so that a silent store does not delay the check
    /// of the ownership.
    pub(super) fn update(&mut self, ownership: &Snapshot) {
        let published = self.parse_all(&ownership.items);
        // Found also if its address can't be used.
        let own = ownership.item(&keys::entry(&self.node));
        let is_current = own.is_some_and(|own| keys::parse_address(&own.value) == Some(self.links));
        let others = published.iter().filter(|entry| entry.node != self.node);
        let others = others.map(|entry| (entry.node.clone(), entry.address));
        self.addresses.set(others.collect());
        if is_current {
            self.published.store(true, Ordering::Relaxed);
        } else if self.write.as_ref().is_none_or(JoinHandle::is_finished) {
            let commit = self.publication(own, &published);
            let store = self.store.clone();
            let published = self.published.clone();
            self.write = Some(tokio::spawn(publish(store, commit, published)));
        }
    }

    /// Waits until the last write has ended.
    #[cfg(test)]
    pub(super) async fn written(&mut self) {
        if let Some(write) = self.write.take() {
            let _ = write.await;
        }
    }

    /// The addresses that can be used; warns once of each other one.
    fn parse_all(&mut self, items: &[Item]) -> Vec<Published> {
        let mut published = Vec::new();
        let warned = self.warned;
        for item in items {
            let Some(node) = keys::parse_entry(&item.key) else {
                continue;
            };
            if let Some(address) = keys::parse_address(&item.value) {
                published.push(Published {
                    node,
                    key: item.key.clone(),
                    address,
                    revision: item.revision,
                });
            } else if item.revision > warned {
                let address = keys::excerpt(&item.value);
                log::warn!(entry:% = node, address, revision:% = item.revision;
                    "entry's address is invalid");
                self.warned = self.warned.max(item.revision);
            }
        }
        published
    }

    fn publication(&self, own: Option<&Item>, all: &[Published]) -> Commit {
        let key = keys::entry(&self.node);
        let compare = Compare::unchanged(&key, own.map(|own| own.revision));
        let put = Write::Put {
            key,
            value: self.links.to_string().into_bytes(),
            lease: None,
        };
        let mut writes = vec![put];
        if !self.published.load(Ordering::Relaxed) {
            let deleted = self.outdated(all).into_iter();
            writes.extend(deleted.map(|key| Write::Delete { key }));
        }
        Commit {
            compares: vec![compare],
            writes,
        }
    }

    /// Keys to delete: other nodes with this entry's address, and the oldest beyond the limit.
    fn outdated(&self, all: &[Published]) -> Vec<String> {
        let (same, mut others): (Vec<_>, Vec<_>) = all
            .iter()
            .filter(|entry| entry.node != self.node)
            .partition(|entry| entry.address == self.links);
        others.sort_by_key(|entry| std::cmp::Reverse(entry.revision));
        let old = others.into_iter().skip(MAX_ADDRESSES - 1);
        same.into_iter()
            .chain(old)
            .map(|entry| entry.key.clone())
            .collect()
    }
}

/// Writes this entry's address. The next check of the ownership shows whether it is missing.
async fn publish(store: Arc<dyn Store>, commit: Commit, published: Arc<AtomicBool>) {
    match store.commit(commit).await {
        Ok(Outcome::Committed(_)) => {
            published.store(true, Ordering::Relaxed);
            log::info!("entry's address published");
        }
        // An earlier write that had no answer, or another process of this node.
        Ok(Outcome::Conflict(_)) => {}
        Err(error) => {
            log::warn!(error:% = error; "publishing the entry's address failed, retrying");
        }
    }
}
