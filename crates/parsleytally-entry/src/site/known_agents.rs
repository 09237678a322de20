//! The agents whose addresses the owner has read from the store, each with a task that links
//! the owner to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use parsleytally::types::{NodeName, Revision};
use parsleytally_platform::store::{Commit, Compare, Item, Outcome, Store, Write};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::election::epoch_unchanged;
use super::keys;
use super::messages::AgentId;

/// Pause after a failed deletion of an address.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An agent whose address the owner has read.
struct KnownAgent {
    address: SocketAddr,
    /// Revision of the address in the store.
    revision: Revision,
    /// Number of the task that links the owner to it.
    dialer: u64,
    /// Whether another agent answered at the address when it was dialed last; then that task pauses.
    other_answered: bool,
    stop: CancellationToken,
}

/// A task to start, which links the owner to an agent.
pub(super) struct Dial {
    pub(super) agent: AgentId,
    pub(super) address: SocketAddr,
    /// Whether the task replaces an earlier one.
    pub(super) replaces: bool,
    /// Stops the task.
    pub(super) stop: CancellationToken,
}

/// The agents of one ownership.
pub(super) struct KnownAgents {
    agents: BTreeMap<NodeName, KnownAgent>,
    /// Revisions of the addresses that were forgotten and may still be read.
    forgotten: BTreeMap<NodeName, Revision>,
    /// Revisions of addresses that can't be used, of agents without a known one.
    unusable: BTreeMap<NodeName, Revision>,
    dialers: u64,
    /// Number of links that were opened, counted over all agents, so that the links to one
    /// agent never repeat a number.
    pub(super) link_counter: Arc<AtomicU64>,
    /// Stops all tasks.
    stop: CancellationToken,
}

impl KnownAgents {
    pub(super) fn new(stop: CancellationToken) -> Self {
        Self {
            agents: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            unusable: BTreeMap::new(),
            dialers: 0,
            link_counter: Arc::default(),
            stop,
        }
    }

    /// Notes the address of an agent; returns the task to start if it is new.
    pub(super) fn update(&mut self, node: &NodeName, item: &Item) -> Option<Dial> {
        let forgotten = self.forgotten.get(node);
        let known = self.agents.get(node).map(|known| &known.revision);
        if known
            .max(forgotten)
            .is_some_and(|seen| item.revision <= *seen)
        {
            // It is from before the known address, or before its deletion, which may still be on
            // its way.
            return None;
        }
        self.forgotten.remove(node);
        let Some(address) = keys::parse_address(&item.value) else {
            let address = keys::excerpt(&item.value);
            log::warn!(agent:% = node, address, revision:% = item.revision;
                "agent's address is invalid");
            if !self.agents.contains_key(node) {
                self.unusable.insert(node.clone(), item.revision);
            }
            return None;
        };
        self.unusable.remove(node);
        let known = self.agents.get_mut(node);
        let replaces = known.is_some();
        if let Some(known) = known {
            known.revision = item.revision;
            if known.address == address && !known.other_answered {
                return None;
            }
            known.stop.cancel();
        }
        self.dialers += 1;
        let dialer = self.dialers;
        let stop = self.stop.child_token();
        let agent = KnownAgent {
            address,
            revision: item.revision,
            dialer,
            other_answered: false,
            stop: stop.clone(),
        };
        self.agents.insert(node.clone(), agent);
        let node = node.clone();
        Some(Dial {
            agent: AgentId { node, dialer },
            address,
            replaces,
            stop,
        })
    }

    /// Whether `agent` is linked by the present task; inputs of an earlier one are late.
    pub(super) fn is_current(&self, agent: &AgentId) -> bool {
        let known = self.agents.get(&agent.node);
        known.is_some_and(|known| known.dialer == agent.dialer)
    }

    /// Notes whether another agent has answered at the address of `node`.
    pub(super) fn set_answered_by_other(&mut self, node: &NodeName, other_answered: bool) {
        if let Some(known) = self.agents.get_mut(node) {
            known.other_answered = other_answered;
        }
    }

    /// Stops the task of an agent; returns the revision of the agent's address, which may be one
    /// that can't be used.
    pub(super) fn remove(&mut self, node: &NodeName) -> Option<Revision> {
        let unusable = self.unusable.remove(node);
        let known = self.agents.remove(node);
        let revision = known.as_ref().map(|known| known.revision).or(unusable)?;
        if let Some(known) = known {
            known.stop.cancel();
        }
        self.forgotten.insert(node.clone(), revision);
        Some(revision)
    }
}

/// Deletes the address of a forgotten agent, unless the agent has registered again or the
/// ownership from revision `since` was replaced.
///
/// A deletion that is carried out late must not remove a later address: a successor would not
/// wait for that agent.
pub(super) async fn delete_address(
    store: Arc<dyn Store>,
    since: Revision,
    node: NodeName,
    revision: Revision,
) {
    let key = keys::agent(&node);
    let unchanged = Compare::Unchanged {
        key: key.clone(),
        revision,
    };
    let commit = Commit {
        compares: vec![epoch_unchanged(since), unchanged],
        writes: vec![Write::Delete { key }],
    };
    loop {
        match store.commit(commit.clone()).await {
            Ok(Outcome::Committed(_)) => return,
            Ok(Outcome::Conflict(_)) => {
                log::info!(agent:% = node; "address of a forgotten agent has changed, keeping it");
                return;
            }
            Err(error) => {
                log::warn!(agent:% = node, error:% = error; "deleting the address of an agent failed, retrying");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
