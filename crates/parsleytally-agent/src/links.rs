//! One link to each entry: dialled, announced on, kept alive and dialled again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parsleytally::membership::{Announcement, Heartbeat, Load, Phase};
use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, dial};
use parsleytally_platform::process::Clock;
use rand::Rng;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::metrics::Metrics;
use crate::requests::Requests;
use crate::runs::RunsRing;
use crate::settings::SettingsRing;

/// Wait after the first failed dial.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest wait between two dials.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// What every link of an agent works with.
pub(crate) struct Shared {
    pub(crate) hello: Hello,
    pub(crate) config: LinkConfig,
    pub(crate) announcement: Announcement,
    /// Runs since the agent started.
    pub(crate) clock: Clock,
    pub(crate) requests: Arc<Requests>,
    pub(crate) settings: SettingsRing,
    pub(crate) runs: RunsRing,
    /// Number of the last announcement or heartbeat of this life.
    pub(crate) sequence: AtomicU64,
    pub(crate) metrics: Metrics,
    /// The endpoint takes nothing new from now on.
    pub(crate) leave: CancellationToken,
    pub(crate) stop: CancellationToken,
}

impl Shared {
    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    fn announcement(&self) -> Frame {
        let mut announcement = self.announcement.clone();
        announcement.sequence = self.next_sequence();
        announcement.uptime_us = self.clock.now().as_micros();
        Frame::Announce(announcement)
    }

    /// Sign of life for an entry that has `yours` requests in flight here.
    fn heartbeat(&self, yours: u32) -> Frame {
        let current = self.requests.load();
        let phase = if current.leaving {
            Phase::Leaving
        } else {
            Phase::Ready
        };
        Frame::Heartbeat(Heartbeat {
            worker: self.hello.node.clone(),
            incarnation: self.hello.incarnation,
            sequence: self.next_sequence(),
            phase,
            load: Load {
                outstanding: current.outstanding,
                from_receiver: yours,
            },
        })
    }
}

/// Keeps a link to `entry` until the agent stops.
pub(crate) async fn keep(entry: SocketAddr, shared: Arc<Shared>) {
    let mut wait = FIRST_WAIT;
    while !shared.stop.is_cancelled() {
        shared.metrics.dials.inc();
        match dial(entry, &shared.hello, &shared.config).await {
            Ok((link, incoming)) => {
                wait = FIRST_WAIT;
                log::info!("link to entry {} is open", link.peer().node);
                shared.metrics.links.inc();
                serve(&link, incoming, &shared).await;
                shared.metrics.links.dec();
                let node = link.peer().node.clone();
                log::info!("link to entry {node} is closed");
                link.close();
                shared.runs.down(&node);
            }
            Err(error) => log::debug!("entry at {entry} was not reached: {error}"),
        }
        // Spreads the dials of many agents after an entry's restart.
        let share = rand::rng().random_range(0.5..1.0);
        tokio::select! {
            () = sleep(wait.mul_f64(share)) => {}
            () = shared.stop.cancelled() => return,
        }
        wait = (wait * 2).min(LONGEST_WAIT);
    }
}

async fn serve(link: &Link, mut incoming: Incoming, shared: &Arc<Shared>) {
    let mine = Arc::new(AtomicU32::new(0));
    if link.send(shared.announcement()).is_err() {
        return;
    }
    shared.settings.up(link);
    shared.runs.up(link);
    let mut beat = interval(shared.config.heartbeat);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut told = false;
    loop {
        tokio::select! {
            frame = incoming.next() => {
                let Some(frame) = frame else { return };
                take(frame, link, &mine, shared);
                continue;
            }
            _ = beat.tick() => {}
            () = shared.leave.cancelled(), if !told => told = true,
            () = shared.stop.cancelled() => return,
        }
        let yours = mine.load(Ordering::SeqCst);
        if link.send(shared.heartbeat(yours)).is_err() {
            return;
        }
    }
}

fn take(frame: Frame, link: &Link, mine: &Arc<AtomicU32>, shared: &Arc<Shared>) {
    match frame {
        Frame::Request(request) => {
            let shared = shared.clone();
            let link = link.clone();
            let mine = mine.clone();
            mine.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                shared.requests.serve(request, &link).await;
                mine.fetch_sub(1, Ordering::SeqCst);
            });
        }
        Frame::Fence(fence) => {
            let shared = shared.clone();
            let link = link.clone();
            tokio::spawn(async move { shared.requests.fence(fence, &link).await });
        }
        Frame::Settings(part) => shared.settings.part(link, part),
        Frame::Order(order) => shared.runs.order(order, link),
        other => log::debug!("frame is not for an agent: {other:?}"),
    }
}
