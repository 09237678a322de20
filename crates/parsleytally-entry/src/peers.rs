//! One link to each other entry, over which settings are asked for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, dial};
use rand::Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::settings::SettingsRing;

/// Wait after the first failed dial.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest wait between two dials.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// What every link to another entry works with.
pub(crate) struct Shared {
    pub(crate) hello: Hello,
    pub(crate) config: LinkConfig,
    pub(crate) settings: SettingsRing,
}

/// The links to other entries.
#[derive(Debug)]
pub(crate) struct Peers {
    stop: CancellationToken,
    links: JoinSet<()>,
}

impl Peers {
    /// Starts to dial the entries at `addresses`.
    pub(crate) fn start(addresses: &[SocketAddr], shared: Shared) -> Self {
        let stop = CancellationToken::new();
        let shared = Arc::new(shared);
        let mut links = JoinSet::new();
        for address in addresses {
            let kept = keep(*address, shared.clone());
            let stopped = stop.clone();
            links.spawn(async move {
                stopped.run_until_cancelled(kept).await;
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

async fn keep(address: SocketAddr, shared: Arc<Shared>) {
    let mut wait = FIRST_WAIT;
    loop {
        match dial(address, &shared.hello, &shared.config).await {
            Ok((link, _)) if link.peer().node == shared.hello.node => {
                log::debug!("entry at {address} is this one");
                return;
            }
            Ok((link, incoming)) => {
                wait = FIRST_WAIT;
                serve(&link, incoming, &shared).await;
                link.close();
            }
            Err(error) => log::debug!("entry at {address} was not reached: {error}"),
        }
        let share = rand::rng().random_range(0.5..1.0);
        sleep(wait.mul_f64(share)).await;
        wait = (wait * 2).min(LONGEST_WAIT);
    }
}

async fn serve(link: &Link, mut incoming: Incoming, shared: &Shared) {
    shared.settings.peer_up(link.clone());
    while let Some(frame) = incoming.next().await {
        match frame {
            Frame::Settings(part) => shared.settings.part(link.clone(), part),
            Frame::SettingsNotice(notice) => shared.settings.peer_at(link.clone(), notice.revision),
            other => log::debug!("frame is not for an entry: {other:?}"),
        }
    }
    shared.settings.peer_down(link.peer().node.clone());
}
