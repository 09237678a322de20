//! Requests to the owner of the jobs, in this process or on another entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::jobs::{JobReply, JobRequest};
use parsleytally::types::RequestId;
use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, dial};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout_at};

use super::messages::{OwnerInput, OwnerLocation, RemoteReply};

/// Pause before the next attempt to connect to the owner.
const DIAL_PAUSE: Duration = Duration::from_millis(150);

/// The link to the owner and the requests that await a reply on it.
#[derive(Debug, Default)]
struct OwnerConnection {
    link: Option<Link>,
    last_request_id: u64,
    pending: HashMap<RequestId, oneshot::Sender<JobReply>>,
}

/// Sends requests to the owner of the jobs, wherever it runs.
#[derive(Debug)]
pub(super) struct OwnerClient {
    location: watch::Receiver<OwnerLocation>,
    connection: Mutex<OwnerConnection>,
}

impl OwnerClient {
    pub(super) fn new(location: watch::Receiver<OwnerLocation>) -> Arc<Self> {
        Arc::new(Self {
            location,
            connection: Mutex::default(),
        })
    }

    /// Returns the owner's reply, or `None` if the owner is not reached.
    pub(super) async fn request(&self, request: JobRequest) -> Option<JobReply> {
        let location = self.location.borrow().clone();
        if let OwnerLocation::Local(owner) = location {
            return request_local(&owner, request).await;
        }
        let reply = self.send(request)?.await.ok()?;
        (reply != JobReply::NotOwner).then_some(reply)
    }

    /// Address of the owner if it is another entry to which a link is open.
    pub(super) fn linked_address(&self) -> Option<SocketAddr> {
        let OwnerLocation::Remote(address) = *self.location.borrow() else {
            return None;
        };
        let connection = self.connection();
        let is_open = connection
            .link
            .as_ref()
            .is_some_and(|link| !link.is_closed());
        is_open.then_some(address)
    }

    /// Sends a request to the owner on another entry and reports whether it was sent.
    pub(super) async fn request_remote(
        &self,
        request: JobRequest,
        deadline: Instant,
    ) -> RemoteReply {
        let Some(receiver) = self.send(request) else {
            return RemoteReply::NotSent;
        };
        match timeout_at(deadline, receiver).await {
            Ok(Ok(reply)) => RemoteReply::Answered(reply),
            _ => RemoteReply::Unanswered,
        }
    }

    /// Sends a request on the link to the owner; returns `None` if there is no open link.
    fn send(&self, request: JobRequest) -> Option<oneshot::Receiver<JobReply>> {
        let (sender, receiver) = oneshot::channel();
        let mut connection = self.connection();
        connection.last_request_id += 1;
        let id = RequestId(connection.last_request_id);
        let link = connection.link.as_ref()?;
        link.send(Frame::JobRequest(id, request)).ok()?;
        connection.pending.insert(id, sender);
        Some(receiver)
    }

    /// Connects to the owner while it is another entry, and again after the link is lost.
    pub(super) async fn run(self: Arc<Self>, hello: Hello, config: LinkConfig) {
        let mut location = self.location.clone();
        loop {
            let current = location.borrow_and_update().clone();
            let OwnerLocation::Remote(address) = current else {
                if location.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if let Ok((link, incoming)) = dial(address, &hello, &config).await {
                self.connection().link = Some(link.clone());
                self.serve(incoming, &mut location).await;
                link.close();
                *self.connection() = OwnerConnection::default();
            }
            sleep(DIAL_PAUSE).await;
        }
    }

    async fn serve(&self, mut incoming: Incoming, location: &mut watch::Receiver<OwnerLocation>) {
        loop {
            tokio::select! {
                frame = incoming.next() => match frame {
                    Some(Frame::JobReply(id, reply)) => {
                        if let Some(pending) = self.connection().pending.remove(&id) {
                            // The receiver is closed if the client no longer waits.
                            let _ = pending.send(reply);
                        }
                    }
                    Some(_) => log::warn!("unexpected frame type from the owner"),
                    None => return,
                },
                _ = location.changed() => return,
            }
        }
    }

    fn connection(&self) -> MutexGuard<'_, OwnerConnection> {
        self.connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests a reply of the owner in this process.
pub(super) async fn request_local(
    owner: &mpsc::Sender<OwnerInput>,
    request: JobRequest,
) -> Option<JobReply> {
    let (sender, receiver) = oneshot::channel();
    let input = OwnerInput::Request(request, sender);
    owner.send(input).await.ok()?;
    receiver.await.ok()
}
