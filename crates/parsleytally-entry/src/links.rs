//! Accepts the links of agents and passes their frames to the duties.

use std::net::SocketAddr;
use std::sync::Arc;

use parsleytally::types::{Incarnation, NodeName};
use parsleytally_link::{Calls, Frame, Hello, Incoming, LinkConfig, LinkError, Role, accept};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::directory::{DirectoryRing, Input as DirectoryInput};
use crate::metrics::Metrics;
use crate::scheduler::{Input as SchedulerInput, SchedulerRing};
use crate::settings::SettingsRing;

/// Links that are open at once; more are closed at once.
const MAX_LINKS: usize = 8_192;

/// What every link of an entry works with.
pub(crate) struct Shared {
    pub(crate) hello: Hello,
    pub(crate) config: LinkConfig,
    pub(crate) metrics: Metrics,
    pub(crate) directory: DirectoryRing,
    pub(crate) scheduler: SchedulerRing,
    pub(crate) settings: SettingsRing,
}

/// The listener for links.
#[derive(Debug)]
pub(crate) struct Links {
    address: SocketAddr,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Links {
    pub(crate) async fn start(address: SocketAddr, shared: Shared) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(listen(listener, Arc::new(shared), stop.clone()));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all links.
    pub(crate) async fn close(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

async fn listen(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    let mut links = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        while links.try_join_next().is_some() {}
        match stream {
            Ok((stream, _)) if links.len() < MAX_LINKS => {
                links.spawn(serve(stream, shared.clone(), stop.clone()));
            }
            Ok(_) => log::warn!("link is refused: {MAX_LINKS} are open"),
            Err(error) => log::warn!("link was not accepted: {error}"),
        }
    }
    while links.join_next().await.is_some() {}
}

async fn serve(stream: TcpStream, shared: Arc<Shared>, stop: CancellationToken) {
    if let Err(error) = serve_link(stream, &shared, &stop).await {
        shared.metrics.refused_links.inc();
        log::debug!("link is refused: {error}");
    }
}

async fn serve_link(
    stream: TcpStream,
    shared: &Shared,
    stop: &CancellationToken,
) -> Result<(), LinkError> {
    let (link, incoming) = accept(stream, &shared.hello, &shared.config).await?;
    let calls = Arc::new(Calls::new(link.clone()));
    pass_frames(&calls, incoming, shared, stop).await;
    link.close();
    calls.lost();
    shared
        .scheduler
        .send(SchedulerInput::Down(calls.link().peer().node.clone()));
    shared.directory.send(DirectoryInput::Down(calls));
    Ok(())
}

async fn pass_frames(
    calls: &Arc<Calls>,
    mut incoming: Incoming,
    shared: &Shared,
    stop: &CancellationToken,
) {
    loop {
        tokio::select! {
            frame = incoming.next() => match frame {
                Some(frame) => take(frame, calls, shared),
                None => return,
            },
            () = stop.cancelled() => return,
        }
    }
}

/// Whether a message speaks of the peer itself.
fn is_own(calls: &Calls, worker: &NodeName, incarnation: Incarnation) -> bool {
    let peer = calls.link().peer();
    *worker == peer.node && incarnation == peer.incarnation
}

fn take(frame: Frame, calls: &Arc<Calls>, shared: &Shared) {
    match frame {
        Frame::Answer(answer) => calls.answered(answer),
        Frame::Refused(refusal) => calls.refused(refusal),
        Frame::Failed(failure) => calls.failed(failure),
        Frame::Announce(offer) if is_own(calls, &offer.worker, offer.incarnation) => {
            let link = calls.link().clone();
            shared
                .scheduler
                .send(SchedulerInput::Up(link, offer.capacity));
            shared
                .directory
                .send(DirectoryInput::Up(calls.clone(), offer));
        }
        Frame::Heartbeat(beat) if is_own(calls, &beat.worker, beat.incarnation) => {
            shared.directory.send(DirectoryInput::Beat(beat));
        }
        Frame::Report(report) if is_own(calls, &report.agent, report.incarnation) => {
            shared.scheduler.send(SchedulerInput::Report(report));
        }
        Frame::RunHeartbeat(beat) => {
            let node = calls.link().peer().node.clone();
            shared.scheduler.send(SchedulerInput::Beat(node, beat));
        }
        Frame::SettingsRequest(ask) => shared.settings.ask(calls.link().clone(), ask),
        Frame::SettingsNotice(notice) if calls.link().peer().role == Role::Entry => {
            let link = calls.link().clone();
            shared.settings.peer_at(link, notice.revision);
        }
        Frame::SettingsNotice(notice) => {
            shared
                .directory
                .send(DirectoryInput::InForce(calls.clone(), notice.revision));
        }
        other => log::debug!("frame is not for an entry: {other:?}"),
    }
}
