//! Requests to the owner of the jobs, in this process or on another entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::jobs::{JobReply, JobRequest};
use parsleytally::types::RequestId;
use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, accept, dial};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout_at};

use super::job_call::JobCall;
use super::job_service::EntryJobService;
use super::owner::OwnerInput;

/// Pause before the next attempt to connect to the owner or to accept a connection.
const DIAL_PAUSE: Duration = Duration::from_millis(150);

/// Location of the owner of the jobs, as last found in the store.
#[derive(Debug, Clone)]
pub(super) enum OwnerLocation {
    /// No owner is known.
    Unknown,
    /// This process.
    Local(mpsc::Sender<OwnerInput>),
    /// Another entry, which accepts links at this address.
    Remote(SocketAddr),
}

/// Outcome of a request to the owner on another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RemoteReply {
    /// The owner's reply.
    Answered(JobReply),
    /// The request was not sent.
    NotSent,
    /// The request was sent, but no reply arrived.
    Unanswered,
}

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

async fn request_local(owner: &mpsc::Sender<OwnerInput>, request: JobRequest) -> Option<JobReply> {
    let (sender, receiver) = oneshot::channel();
    let input = OwnerInput::Request(request, sender);
    owner.send(input).await.ok()?;
    receiver.await.ok()
}

/// Accepts links of other entries and answers their requests.
pub(super) async fn serve_peers(
    listener: TcpListener,
    hello: Hello,
    config: LinkConfig,
    location: watch::Receiver<OwnerLocation>,
    job_service: Arc<EntryJobService>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accepting a link of another entry failed");
                sleep(DIAL_PAUSE).await;
                continue;
            }
        };
        let (hello, config) = (hello.clone(), config.clone());
        let (location, job_service) = (location.clone(), job_service.clone());
        tokio::spawn(async move {
            if let Ok((link, incoming)) = accept(stream, &hello, &config).await {
                answer(link, incoming, location, job_service).await;
            }
        });
    }
}

async fn answer(
    link: Link,
    mut incoming: Incoming,
    location: watch::Receiver<OwnerLocation>,
    job_service: Arc<EntryJobService>,
) {
    while let Some(frame) = incoming.next().await {
        let Frame::JobRequest(id, request) = frame else {
            log::warn!("unexpected frame type from another entry");
            continue;
        };
        let request = match JobCall::from_request(request) {
            Ok(call) => {
                // Runs in its own task so that a slow store does not delay other requests.
                tokio::spawn(answer_relayed(link.clone(), id, job_service.clone(), call));
                continue;
            }
            Err(request) => request,
        };
        let owner = location.borrow().clone();
        let reply = match owner {
            OwnerLocation::Local(owner) => request_local(&owner, request).await,
            _ => None,
        };
        let reply = Frame::JobReply(id, reply.unwrap_or(JobReply::NotOwner));
        if link.deliver(reply).await.is_err() {
            return;
        }
    }
}

/// Calls the store for another entry and replies with the outcome.
async fn answer_relayed(
    link: Link,
    id: RequestId,
    job_service: Arc<EntryJobService>,
    call: JobCall,
) {
    let job = call.job();
    let reply = job_service.relay(call).await;
    log::info!(job:% = job, entry:% = link.peer().node, outcome:? = reply; "job relayed");
    // If the link is closed, the other entry treats the outcome as unknown.
    let _ = link.deliver(Frame::JobReply(id, reply)).await;
}
