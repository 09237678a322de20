//! Accepts links from agents and other entries, and forwards their frames to the actors.

use std::net::SocketAddr;
use std::sync::Arc;

use parsleytally::types::{Incarnation, NodeName};
use parsleytally_link::{Calls, Frame, Handshakes, Hello, Incoming, LinkConfig, LinkError, Role};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::directory::{DirectoryHandle, Input as DirectoryInput};
use crate::metrics::Metrics;
use crate::scheduler::{Input as SchedulerInput, SchedulerHandle};
use crate::settings::SettingsHandle;

/// Maximum number of open links; further connections are closed immediately.
const MAX_LINKS: usize = 8_192;

/// State shared by all accepted links.
pub(crate) struct LinkContext {
    pub(crate) hello: Hello,
    pub(crate) handshakes: Handshakes,
    pub(crate) config: LinkConfig,
    pub(crate) metrics: Metrics,
    pub(crate) directory: DirectoryHandle,
    pub(crate) scheduler: SchedulerHandle,
    pub(crate) settings: SettingsHandle,
}

/// Listener for incoming links.
#[derive(Debug)]
pub(crate) struct LinkListener {
    address: SocketAddr,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl LinkListener {
    pub(crate) async fn start(address: SocketAddr, shared: LinkContext) -> std::io::Result<Self> {
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

async fn listen(listener: TcpListener, shared: Arc<LinkContext>, stop: CancellationToken) {
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
            Ok(_) => log::warn!("link refused: {MAX_LINKS} links are open"),
            Err(error) => log::warn!("failed to accept a connection for a link: {error}"),
        }
    }
    while links.join_next().await.is_some() {}
}

async fn serve(stream: TcpStream, shared: Arc<LinkContext>, stop: CancellationToken) {
    if let Err(error) = serve_link(stream, &shared, &stop).await {
        shared.metrics.refused_links.inc();
        log::debug!("link refused: {error}");
    }
}

async fn serve_link(
    stream: TcpStream,
    shared: &LinkContext,
    stop: &CancellationToken,
) -> Result<(), LinkError> {
    let accepted = shared
        .handshakes
        .accept(stream, &shared.hello, &shared.config);
    let (link, incoming) = accepted.await?;
    let calls = Arc::new(Calls::new(link.clone()));
    forward_frames(&calls, incoming, shared, stop).await;
    link.close();
    calls.lost();
    shared
        .scheduler
        .send(SchedulerInput::LinkClosed(calls.link().peer().node.clone()));
    shared.directory.send(DirectoryInput::LinkClosed(calls));
    Ok(())
}

async fn forward_frames(
    calls: &Arc<Calls>,
    mut incoming: Incoming,
    shared: &LinkContext,
    stop: &CancellationToken,
) {
    loop {
        tokio::select! {
            frame = incoming.next() => match frame {
                Some(frame) => dispatch(frame, calls, shared),
                None => return,
            },
            () = stop.cancelled() => return,
        }
    }
}

/// Whether a message about `worker` and `incarnation` describes the link's peer itself.
fn is_about_peer(calls: &Calls, worker: &NodeName, incarnation: Incarnation) -> bool {
    let peer = calls.link().peer();
    *worker == peer.node && incarnation == peer.incarnation
}

fn dispatch(frame: Frame, calls: &Arc<Calls>, shared: &LinkContext) {
    match frame {
        Frame::Answer(answer) => calls.answered(answer),
        Frame::Refused(refusal) => calls.refused(refusal),
        Frame::Failed(failure) => calls.failed(failure),
        Frame::Announce(announcement)
            if is_about_peer(calls, &announcement.worker, announcement.incarnation) =>
        {
            let link = calls.link().clone();
            shared
                .scheduler
                .send(SchedulerInput::WorkerUp(link, announcement.capacity));
            shared
                .directory
                .send(DirectoryInput::Announced(calls.clone(), announcement));
        }
        Frame::Heartbeat(heartbeat)
            if is_about_peer(calls, &heartbeat.worker, heartbeat.incarnation) =>
        {
            shared.directory.send(DirectoryInput::Heartbeat(heartbeat));
        }
        Frame::Report(report) if is_about_peer(calls, &report.agent, report.incarnation) => {
            shared.scheduler.send(SchedulerInput::Report(report));
        }
        Frame::RunHeartbeat(heartbeat) => {
            let node = calls.link().peer().node.clone();
            shared
                .scheduler
                .send(SchedulerInput::Heartbeat(node, heartbeat));
        }
        Frame::SettingsRequest(ask) => shared.settings.request(calls.link().clone(), ask),
        Frame::SettingsNotice(notice) if calls.link().peer().role == Role::Entry => {
            let link = calls.link().clone();
            shared.settings.peer_revision(link, notice.revision);
        }
        Frame::SettingsNotice(notice) => {
            shared
                .directory
                .send(DirectoryInput::InForce(calls.clone(), notice.revision));
        }
        other => log::debug!("entry ignores unexpected frame: {other:?}"),
    }
}
