//! Requests of other entries: to the owner, if this entry is it, and calls to the store.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{JobReply, JobRequest};
use parsleytally::types::RequestId;
use parsleytally_link::{Frame, Handshakes, Hello, Incoming, Link, LinkConfig};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use super::job_call::JobCall;
use super::job_service::EntryJobService;
use super::messages::OwnerLocation;
use super::owner_client::request_local;

/// Pause before the next attempt to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(150);

/// Accepts links of other entries and answers their requests.
pub(super) async fn serve_peers(
    listener: TcpListener,
    hello: Hello,
    config: LinkConfig,
    location: watch::Receiver<OwnerLocation>,
    job_service: Arc<EntryJobService>,
) {
    let handshakes = Handshakes::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accepting a link of another entry failed");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (handshakes, hello, config) = (handshakes.clone(), hello.clone(), config.clone());
        let (location, job_service) = (location.clone(), job_service.clone());
        tokio::spawn(async move {
            if let Ok((link, incoming)) = handshakes.accept(stream, &hello, &config).await {
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
        // Each runs in a task of its own, so that a slow store or owner does not delay others.
        match JobCall::from_request(request) {
            Ok(call) => tokio::spawn(answer_relayed(link.clone(), id, job_service.clone(), call)),
            Err(request) => {
                let owner = location.borrow().clone();
                tokio::spawn(answer_as_owner(link.clone(), id, owner, request))
            }
        };
    }
}

/// Replies as the owner, if this entry is it.
async fn answer_as_owner(link: Link, id: RequestId, owner: OwnerLocation, request: JobRequest) {
    let reply = match owner {
        OwnerLocation::Local(owner) => request_local(&owner, request).await,
        _ => None,
    };
    let reply = reply.unwrap_or(JobReply::NotOwner);
    // If the link is closed, the other entry has no owner to ask.
    let _ = link.deliver(Frame::JobReply(id, reply)).await;
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
