//! Tests of the agent's address in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::NodeName;
use parsleytally_platform::jobs::AGENTS;
use parsleytally_platform::store::{
    Commit, HookedStore, MemoryStore, Outcome, Store, StoreError, StoreFuture, StoreHooks,
};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use super::super::registration::Registration;

/// Longest time until an address is stored.
const STORE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks at the store.
const CHECK_PAUSE: Duration = Duration::from_millis(5);

/// Answers no commit and hands each out to be carried out late.
struct LateCommits(mpsc::UnboundedSender<Commit>);

impl StoreHooks for LateCommits {
    fn commit<'a>(&'a self, _: &'a MemoryStore, commit: Commit) -> StoreFuture<'a, Outcome> {
        self.0.send(commit).expect("the test waits");
        Box::pin(async { Err(StoreError::Timeout { call: "commit" }) })
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Registers a process of the agent that listens at `port`.
fn start(store: Arc<dyn Store>, port: u16) -> tokio::task::JoinHandle<()> {
    let (_, held) = watch::channel(false);
    let registration = Registration {
        store,
        node: NodeName::new("agent").expect("a valid name"),
        links: address(port),
        held,
    };
    tokio::spawn(registration.maintain())
}

async fn stored(store: &MemoryStore) -> Option<String> {
    let found = store.range(AGENTS).await.expect("the store answers");
    let item = found.items.first()?;
    Some(String::from_utf8_lossy(&item.value).into_owned())
}

/// Waits until the store has this address.
async fn wait_for(store: &MemoryStore, address: SocketAddr) {
    let wanted = Some(address.to_string());
    let found = async {
        while stored(store).await != wanted {
            sleep(CHECK_PAUSE).await;
        }
    };
    timeout(STORE_TIMEOUT, found)
        .await
        .expect("the address is stored");
}

/// Guards against an owner that loses its link to an agent: the address that an earlier process of
/// the agent wrote is stored late, in place of the present one.
#[tokio::test]
async fn an_address_that_is_stored_late_replaces_no_later_one() {
    for stored_before in [false, true] {
        let memory = MemoryStore::new();
        let store = Arc::new(memory.clone());
        if stored_before {
            let first = start(store.clone(), 1);
            wait_for(&store, address(1)).await;
            first.abort();
        }
        let (commits, mut late) = mpsc::unbounded_channel();
        let hooks = LateCommits(commits);
        let late_store = HookedStore { memory, hooks };
        let second = start(Arc::new(late_store), 2);
        let commit = late.recv().await.expect("a write");
        second.abort();
        let third = start(store.clone(), 3);
        wait_for(&store, address(3)).await;
        store.commit(commit).await.expect("the store answers");
        let present = Some(address(3).to_string());
        assert_eq!(stored(&store).await, present, "{stored_before}");
        third.abort();
    }
}
