//! One link to each entry: opened, kept alive with heartbeats and reopened after a loss.

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
use crate::runs::RunsSender;
use crate::settings::SettingsSender;

/// Initial pause before a redial. It doubles with every failed dial and is reset when a
/// link opens.
const MIN_REDIAL_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two dials.
const MAX_REDIAL_PAUSE: Duration = Duration::from_secs(2);

/// State shared by all links of an agent.
pub(crate) struct LinkContext {
    pub(crate) hello: Hello,
    pub(crate) config: LinkConfig,
    pub(crate) announcement: Announcement,
    /// Measures the uptime of the agent.
    pub(crate) clock: Clock,
    pub(crate) requests: Arc<Requests>,
    pub(crate) settings: SettingsSender,
    pub(crate) runs: RunsSender,
    /// Sequence number of the last announcement or heartbeat of this incarnation.
    pub(crate) sequence: AtomicU64,
    pub(crate) metrics: Metrics,
    /// Cancelled when the endpoint stops accepting new requests.
    pub(crate) leave: CancellationToken,
    /// Cancelled when the agent stops.
    pub(crate) stop: CancellationToken,
}

impl LinkContext {
    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    fn announcement(&self) -> Frame {
        let mut announcement = self.announcement.clone();
        announcement.sequence = self.next_sequence();
        announcement.uptime_us = self.clock.now().as_micros();
        Frame::Announce(announcement)
    }

    /// Heartbeat to an entry with `in_flight` of its requests at this agent.
    fn heartbeat(&self, in_flight: u32) -> Frame {
        let load = self.requests.load();
        let phase = if load.leaving {
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
                outstanding: load.outstanding,
                from_receiver: in_flight,
            },
        })
    }
}

/// Maintains a link to `entry` until the agent stops.
pub(crate) async fn maintain(entry: SocketAddr, context: Arc<LinkContext>) {
    let mut pause = MIN_REDIAL_PAUSE;
    while !context.stop.is_cancelled() {
        context.metrics.dials.inc();
        match dial(entry, &context.hello, &context.config).await {
            Ok((link, incoming)) => {
                pause = MIN_REDIAL_PAUSE;
                log::info!("opened link to entry {}", link.peer().node);
                context.metrics.links.inc();
                serve(&link, incoming, &context).await;
                context.metrics.links.dec();
                let node = link.peer().node.clone();
                log::info!("closed link to entry {node}");
                link.close();
                context.runs.link_closed(&node);
            }
            Err(error) => log::debug!("could not connect to entry at {entry}: {error}"),
        }
        // Jitter spreads the dials of many agents after an entry's restart.
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::select! {
            () = sleep(pause.mul_f64(jitter)) => {}
            () = context.stop.cancelled() => return,
        }
        pause = (pause * 2).min(MAX_REDIAL_PAUSE);
    }
}

async fn serve(link: &Link, mut incoming: Incoming, context: &Arc<LinkContext>) {
    let in_flight = Arc::new(AtomicU32::new(0));
    if link.send(context.announcement()).is_err() {
        return;
    }
    context.settings.link_opened(link);
    context.runs.link_opened(link);
    let mut heartbeat_timer = interval(context.config.heartbeat);
    heartbeat_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leave_announced = false;
    loop {
        tokio::select! {
            frame = incoming.next() => {
                let Some(frame) = frame else { return };
                handle_frame(frame, link, &in_flight, context);
                continue;
            }
            _ = heartbeat_timer.tick() => {}
            () = context.leave.cancelled(), if !leave_announced => leave_announced = true,
            () = context.stop.cancelled() => return,
        }
        let count = in_flight.load(Ordering::SeqCst);
        if link.send(context.heartbeat(count)).is_err() {
            return;
        }
    }
}

fn handle_frame(frame: Frame, link: &Link, in_flight: &Arc<AtomicU32>, context: &Arc<LinkContext>) {
    match frame {
        Frame::Request(request) => {
            let context = context.clone();
            let link = link.clone();
            let in_flight = in_flight.clone();
            in_flight.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                context.requests.serve(request, &link).await;
                in_flight.fetch_sub(1, Ordering::SeqCst);
            });
        }
        Frame::Fence(fence) => {
            let context = context.clone();
            let link = link.clone();
            tokio::spawn(async move { context.requests.fence(fence, &link).await });
        }
        Frame::Settings(part) => context.settings.part(link, part),
        Frame::Order(order) => context.runs.order(order, link),
        other => log::debug!("ignoring a frame that agents do not handle: {other:?}"),
    }
}
