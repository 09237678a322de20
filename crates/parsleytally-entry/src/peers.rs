//! Links to the other entries, over which settings are requested.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, dial};
use rand::Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::settings::SettingsHandle;

/// Pause after the first failed dial; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause between two dials.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// State shared by the links to all other entries.
pub(crate) struct PeerContext {
    pub(crate) hello: Hello,
    pub(crate) config: LinkConfig,
    pub(crate) settings: SettingsHandle,
}

/// The links to other entries.
#[derive(Debug)]
pub(crate) struct Peers {
    stop: CancellationToken,
    links: JoinSet<()>,
}

impl Peers {
    /// Starts dialling the entries at `addresses`.
    pub(crate) fn start(addresses: &[SocketAddr], shared: PeerContext) -> Self {
        let stop = CancellationToken::new();
        let shared = Arc::new(shared);
        let mut links = JoinSet::new();
        for address in addresses {
            let task = maintain_link(*address, shared.clone());
            let stopped = stop.clone();
            links.spawn(async move {
                stopped.run_until_cancelled(task).await;
            });
        }
        Self { stop, links }
    }

    /// Closes all links.
    pub(crate) async fn close(mut self) {
        self.stop.cancel();
        while self.links.join_next().await.is_some() {}
    }
}

async fn maintain_link(address: SocketAddr, shared: Arc<PeerContext>) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match dial(address, &shared.hello, &shared.config).await {
            Ok((link, _)) if link.peer().node == shared.hello.node => {
                log::debug!("address {address} is this entry itself");
                return;
            }
            Ok((link, incoming)) => {
                backoff = INITIAL_BACKOFF;
                serve(&link, incoming, &shared).await;
                link.close();
            }
            Err(error) => log::debug!("failed to dial entry at {address}: {error}"),
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn serve(link: &Link, mut incoming: Incoming, shared: &PeerContext) {
    shared.settings.peer_up(link.clone());
    while let Some(frame) = incoming.next().await {
        match frame {
            Frame::Settings(part) => shared.settings.part(link.clone(), part),
            Frame::SettingsNotice(notice) => {
                shared.settings.peer_revision(link.clone(), notice.revision);
            }
            other => log::debug!("entry ignores unexpected frame: {other:?}"),
        }
    }
    shared.settings.peer_down(link.peer().node.clone());
}
