//! Requests to other entries while the store does not answer this one.
//!
//! The link to the owner is open anyway and is used first. Links to other entries are opened
//! when a request needs one and closed when they are idle, so there are none while the store
//! answers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::jobs::{JobReply, JobRequest};
use parsleytally::types::{NodeName, RequestId};
use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, dial};
use tokio::sync::oneshot;
use tokio::time::{Instant, interval, timeout_at};

use super::entries::EntryAddresses;
use super::messages::RemoteReply;
use super::metrics::RelayMetrics;
use super::owner_client::OwnerClient;

/// Longest time to connect to another entry, with the handshake.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the answer of one entry while others can be asked. An entry that reaches
/// the store answers within tens of milliseconds, and a job may be stored twice without harm.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which an entry is not asked again after it could not help; bounds the messages
/// while the store answers no entry.
const SKIP_TIME: Duration = Duration::from_millis(400);
/// Time after which an unused link is closed.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Interval at which links are checked for use.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// An entry that can be asked.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum RelayTarget {
    /// The owner, over the link that is open anyway.
    Owner(SocketAddr),
    /// Another entry.
    Entry(NodeName, SocketAddr),
}

impl RelayTarget {
    pub(super) fn address(&self) -> SocketAddr {
        match self {
            Self::Owner(address) | Self::Entry(_, address) => *address,
        }
    }
}

/// Addresses that one request has asked.
pub(super) type Asked = HashSet<SocketAddr>;

/// Sends requests to other entries.
pub(super) struct Relays {
    owner: Arc<OwnerClient>,
    entries: EntryAddresses,
    hello: Hello,
    config: LinkConfig,
    links: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Option<PeerLink>>>>>,
    /// Entries that could not help, with the time until which they are not asked.
    skipped: Mutex<HashMap<SocketAddr, Instant>>,
    metrics: RelayMetrics,
}

impl Relays {
    pub(super) fn new(
        owner: Arc<OwnerClient>,
        entries: EntryAddresses,
        hello: Hello,
        config: LinkConfig,
        metrics: RelayMetrics,
    ) -> Self {
        Self {
            owner,
            entries,
            hello,
            config,
            links: Mutex::default(),
            skipped: Mutex::default(),
            metrics,
        }
    }

    #[cfg(test)]
    pub(super) fn metrics(&self) -> &RelayMetrics {
        &self.metrics
    }

    /// The next entry to ask: the owner first, then the entries after this one in the order
    /// of names, so that the requests of several entries spread.
    pub(super) fn next(&self, asked: &Asked) -> Option<RelayTarget> {
        let now = Instant::now();
        let owner = self.owner.linked_address().map(RelayTarget::Owner);
        let entries = self.entries.get();
        let own = &self.hello.node;
        let after = entries
            .range::<NodeName, _>((std::ops::Bound::Excluded(own), std::ops::Bound::Unbounded));
        let before = entries.range::<NodeName, _>(..own);
        let others = after.chain(before);
        let others = others.map(|(node, address)| RelayTarget::Entry(node.clone(), *address));
        let skipped = lock(&self.skipped);
        owner.into_iter().chain(others).find(|target| {
            let address = target.address();
            let skip = skipped.get(&address).is_some_and(|until| *until > now);
            !asked.contains(&address) && !skip
        })
    }

    /// Sends a request to `target`; waits for the answer until `deadline` at the latest.
    pub(super) async fn request(
        &self,
        target: &RelayTarget,
        request: JobRequest,
        deadline: Instant,
    ) -> RemoteReply {
        let deadline = deadline.min(Instant::now() + ANSWER_TIMEOUT);
        let reply = match target {
            RelayTarget::Owner(_) => self.owner.request_remote(request, deadline).await,
            RelayTarget::Entry(node, address) => {
                self.request_entry(node, *address, request, deadline).await
            }
        };
        self.metrics.count_request(&reply);
        if !matches!(reply, RemoteReply::Answered(_)) {
            self.skip(target);
        }
        reply
    }

    /// Asks no further request of `target` for a while.
    pub(super) fn skip(&self, target: &RelayTarget) {
        let until = Instant::now() + SKIP_TIME;
        lock(&self.skipped).insert(target.address(), until);
    }

    async fn request_entry(
        &self,
        node: &NodeName,
        address: SocketAddr,
        request: JobRequest,
        deadline: Instant,
    ) -> RemoteReply {
        let slot = lock(&self.links).entry(address).or_default().clone();
        let dial_by = deadline.min(Instant::now() + DIAL_TIMEOUT);
        // Requests that find no link wait for the same attempt to open one.
        let Ok(mut slot) = timeout_at(dial_by, slot.lock()).await else {
            return RemoteReply::NotSent;
        };
        if slot.as_ref().is_none_or(|peer| peer.link.is_closed()) {
            *slot = None;
            let opened = timeout_at(dial_by, dial(address, &self.hello, &self.config)).await;
            match opened {
                Ok(Ok((link, incoming))) if link.peer().node == *node => {
                    *slot = Some(PeerLink::start(link, incoming));
                }
                Ok(Ok((link, _))) => {
                    log::warn!(entry:% = node, found:% = link.peer().node;
                        "another entry answers at this address");
                    link.close();
                }
                Ok(Err(error)) => {
                    log::warn!(entry:% = node, error:% = error; "connecting to an entry failed");
                }
                Err(_) => log::warn!(entry:% = node; "connecting to an entry took too long"),
            }
        }
        let Some(receiver) = slot.as_ref().and_then(|peer| peer.send(request)) else {
            return RemoteReply::NotSent;
        };
        drop(slot);
        match timeout_at(deadline, receiver).await {
            Ok(Ok(reply)) => RemoteReply::Answered(reply),
            _ => RemoteReply::Unanswered,
        }
    }
}

/// Requests on a link that await a reply.
#[derive(Debug, Default)]
struct PendingReplies {
    last_request_id: u64,
    pending: BTreeMap<RequestId, oneshot::Sender<JobReply>>,
    used: bool,
}

/// An open link to another entry.
struct PeerLink {
    link: Link,
    replies: Arc<Mutex<PendingReplies>>,
}

impl PeerLink {
    fn start(link: Link, incoming: Incoming) -> Self {
        let replies = Arc::new(Mutex::new(PendingReplies::default()));
        tokio::spawn(receive(link.clone(), incoming, replies.clone()));
        Self { link, replies }
    }

    /// Sends a request; returns `None` if it was not sent.
    fn send(&self, request: JobRequest) -> Option<oneshot::Receiver<JobReply>> {
        let (sender, receiver) = oneshot::channel();
        let mut replies = lock(&self.replies);
        replies.used = true;
        replies.last_request_id += 1;
        let id = RequestId(replies.last_request_id);
        self.link.send(Frame::JobRequest(id, request)).ok()?;
        replies.pending.insert(id, sender);
        Some(receiver)
    }
}

/// Hands replies to their requests until the link is closed or idle.
async fn receive(link: Link, mut incoming: Incoming, replies: Arc<Mutex<PendingReplies>>) {
    let mut check = interval(IDLE_CHECK);
    let mut last_use = Instant::now();
    loop {
        tokio::select! {
            frame = incoming.next() => match frame {
                Some(Frame::JobReply(id, reply)) => {
                    if let Some(pending) = lock(&replies).pending.remove(&id) {
                        // The receiver is closed if the request no longer waits.
                        let _ = pending.send(reply);
                    }
                }
                Some(_) => log::warn!("unexpected frame type from another entry"),
                None => break,
            },
            _ = check.tick() => {
                let mut replies = lock(&replies);
                replies.pending.retain(|_, pending| !pending.is_closed());
                if std::mem::take(&mut replies.used) || !replies.pending.is_empty() {
                    last_use = Instant::now();
                } else if last_use.elapsed() >= IDLE_TIME {
                    break;
                }
            }
        }
    }
    link.close();
    // Ends the waits of requests that get no reply any more.
    lock(&replies).pending.clear();
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
