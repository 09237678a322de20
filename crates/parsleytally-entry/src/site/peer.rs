//! Questions to the owner of the jobs, here or on another entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::jobs::{JobId, JobReply, JobRequest, JobSpec};
use parsleytally::types::RequestId;
use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, accept, dial};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout_at};

use super::desk::Desk;
use super::owner::OwnerInput;

/// Pause between two attempts to link.
const DIAL_PAUSE: Duration = Duration::from_millis(150);

/// Who owns the jobs, as far as this entry knows.
#[derive(Debug, Clone)]
pub(super) enum Whereabouts {
    /// Nobody is known.
    Unknown,
    /// This process.
    Here(mpsc::Sender<OwnerInput>),
    /// The entry that accepts links there.
    At(SocketAddr),
}

/// What became of a question to another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Asked {
    /// The answer.
    Answered(JobReply),
    /// It was not sent.
    NotSent,
    /// It was sent and has no answer.
    Unanswered,
}

/// The link to the owner and the questions that wait on it.
#[derive(Debug, Default)]
struct Asking {
    link: Option<Link>,
    next: u64,
    waiting: HashMap<RequestId, oneshot::Sender<JobReply>>,
}

/// The way to the owner.
#[derive(Debug)]
pub(super) struct Peer {
    whereabouts: watch::Receiver<Whereabouts>,
    asking: Mutex<Asking>,
}

impl Peer {
    pub(super) fn new(whereabouts: watch::Receiver<Whereabouts>) -> Arc<Self> {
        Arc::new(Self {
            whereabouts,
            asking: Mutex::default(),
        })
    }

    /// The owner's answer; none where it is not reached.
    pub(super) async fn ask(&self, question: JobRequest) -> Option<JobReply> {
        let whereabouts = self.whereabouts.borrow().clone();
        if let Whereabouts::Here(owner) = whereabouts {
            return ask_here(&owner, question).await;
        }
        let reply = self.send(question)?.await.ok()?;
        (reply != JobReply::NotOwner).then_some(reply)
    }

    /// Asks the owner on another entry, and says whether the question was sent.
    pub(super) async fn ask_elsewhere(&self, question: JobRequest, deadline: Instant) -> Asked {
        let Some(receiver) = self.send(question) else {
            return Asked::NotSent;
        };
        match timeout_at(deadline, receiver).await {
            Ok(Ok(reply)) => Asked::Answered(reply),
            _ => Asked::Unanswered,
        }
    }

    /// Sends a question on the link, where there is one.
    fn send(&self, question: JobRequest) -> Option<oneshot::Receiver<JobReply>> {
        let (sender, receiver) = oneshot::channel();
        let mut asking = self.asking();
        asking.next += 1;
        let id = RequestId(asking.next);
        let link = asking.link.as_ref()?;
        link.send(Frame::JobRequest(id, question)).ok()?;
        asking.waiting.insert(id, sender);
        Some(receiver)
    }

    /// Keeps a link to the owner while it is another entry.
    pub(super) async fn keep(self: Arc<Self>, hello: Hello, config: LinkConfig) {
        let mut whereabouts = self.whereabouts.clone();
        loop {
            let current = whereabouts.borrow_and_update().clone();
            let Whereabouts::At(address) = current else {
                if whereabouts.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if let Ok((link, incoming)) = dial(address, &hello, &config).await {
                self.asking().link = Some(link.clone());
                self.serve(incoming, &mut whereabouts).await;
                link.close();
                *self.asking() = Asking::default();
            }
            sleep(DIAL_PAUSE).await;
        }
    }

    async fn serve(&self, mut incoming: Incoming, moved: &mut watch::Receiver<Whereabouts>) {
        loop {
            tokio::select! {
                frame = incoming.next() => match frame {
                    Some(Frame::JobReply(id, reply)) => {
                        if let Some(waiting) = self.asking().waiting.remove(&id) {
                            // A client that no longer waits has dropped its end.
                            let _ = waiting.send(reply);
                        }
                    }
                    Some(_) => log::warn!("owner sent a frame that owners do not send"),
                    None => return,
                },
                _ = moved.changed() => return,
            }
        }
    }

    fn asking(&self) -> MutexGuard<'_, Asking> {
        self.asking.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn ask_here(owner: &mpsc::Sender<OwnerInput>, question: JobRequest) -> Option<JobReply> {
    let (sender, receiver) = oneshot::channel();
    let ask = OwnerInput::Ask(question, sender);
    owner.send(ask).await.ok()?;
    receiver.await.ok()
}

/// Answers the questions of other entries.
pub(super) async fn serve_peers(
    listener: TcpListener,
    hello: Hello,
    config: LinkConfig,
    whereabouts: watch::Receiver<Whereabouts>,
    desk: Arc<Desk>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "link of an entry is not accepted");
                sleep(DIAL_PAUSE).await;
                continue;
            }
        };
        let (hello, config) = (hello.clone(), config.clone());
        let (whereabouts, desk) = (whereabouts.clone(), desk.clone());
        tokio::spawn(async move {
            if let Ok((link, incoming)) = accept(stream, &hello, &config).await {
                answer(link, incoming, whereabouts, desk).await;
            }
        });
    }
}

async fn answer(
    link: Link,
    mut incoming: Incoming,
    whereabouts: watch::Receiver<Whereabouts>,
    desk: Arc<Desk>,
) {
    while let Some(frame) = incoming.next().await {
        let Frame::JobRequest(id, question) = frame else {
            log::warn!("entry sent a frame that entries do not send");
            continue;
        };
        if let JobRequest::Submit(job, spec) = question {
            // Storing takes a while; other questions do not wait for it.
            tokio::spawn(store_for(link.clone(), id, desk.clone(), job, spec));
            continue;
        }
        let owner = whereabouts.borrow().clone();
        let reply = match owner {
            Whereabouts::Here(owner) => ask_here(&owner, question).await,
            _ => None,
        };
        let reply = Frame::JobReply(id, reply.unwrap_or(JobReply::NotOwner));
        if link.deliver(reply).await.is_err() {
            return;
        }
    }
}

/// Stores a job for another entry and answers it.
async fn store_for(link: Link, id: RequestId, desk: Arc<Desk>, job: JobId, spec: JobSpec) {
    let stored = desk.store_for(job, spec).await;
    log::info!(job:% = job, entry:% = link.peer().node, outcome:? = stored; "job relayed");
    // A link that has ended leaves the outcome unknown to the other entry.
    let _ = link
        .deliver(Frame::JobReply(id, JobReply::Submitted(stored)))
        .await;
}
