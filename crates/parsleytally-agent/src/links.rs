//! One link to each entry: dialled, announced on, kept alive and dialled again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parsleytally::types::Revision;
use parsleytally_link::{
    Announcement, Frame, HEARTBEAT_INTERVAL, Hello, Incoming, Link, SettingsNotice, dial,
};
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::metrics::Metrics;
use crate::requests::Requests;
use crate::runs::RunCommands;

/// Wait after the first failed dial.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest wait between two dials.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// What every link of an agent works with.
pub(crate) struct Shared {
    pub(crate) hello: Hello,
    pub(crate) announcement: Announcement,
    pub(crate) requests: Arc<Requests>,
    pub(crate) runs: RunCommands,
    pub(crate) revision: AtomicU64,
    pub(crate) metrics: Metrics,
    pub(crate) stop: CancellationToken,
}

/// Keeps a link to `entry` until the agent stops.
pub(crate) async fn keep(entry: SocketAddr, shared: Arc<Shared>) {
    let mut wait = FIRST_WAIT;
    while !shared.stop.is_cancelled() {
        shared.metrics.dials.inc();
        match dial(entry, &shared.hello).await {
            Ok((link, incoming)) => {
                wait = FIRST_WAIT;
                log::info!("link to entry {} is open", link.peer().node);
                shared.metrics.links.inc();
                serve(&link, incoming, &shared).await;
                shared.metrics.links.dec();
                log::info!("link to entry {} is closed", link.peer().node);
                link.close();
            }
            Err(error) => log::debug!("entry at {entry} was not reached: {error}"),
        }
        tokio::select! {
            () = sleep(wait) => {}
            () = shared.stop.cancelled() => return,
        }
        wait = (wait * 2).min(LONGEST_WAIT);
    }
}

async fn serve(link: &Link, mut incoming: Incoming, shared: &Arc<Shared>) {
    if link
        .send(Frame::Announce(shared.announcement.clone()))
        .is_err()
    {
        return;
    }
    let mut beat = interval(HEARTBEAT_INTERVAL);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            frame = incoming.next() => match frame {
                Some(frame) => take(frame, link, shared),
                None => return,
            },
            _ = beat.tick() => {
                if link.send(Frame::Heartbeat(shared.requests.load())).is_err() {
                    return;
                }
            }
            () = shared.stop.cancelled() => return,
        }
    }
}

fn take(frame: Frame, link: &Link, shared: &Arc<Shared>) {
    match frame {
        Frame::Request(request) => {
            let shared = shared.clone();
            let link = link.clone();
            tokio::spawn(async move { shared.requests.serve(request, &link).await });
        }
        Frame::Fence(fence) => {
            let shared = shared.clone();
            let link = link.clone();
            tokio::spawn(async move { shared.requests.fence(fence, &link).await });
        }
        Frame::Command(command) => shared.runs.send(command, link),
        Frame::Settings(notice) => {
            let Revision(new) = notice.revision;
            let old = shared.revision.fetch_max(new, Ordering::SeqCst);
            let revision = Revision(new.max(old));
            let _ = link.send(Frame::InForce(SettingsNotice { revision }));
        }
        other => log::debug!("frame is not for an agent: {other:?}"),
    }
}
