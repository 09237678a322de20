//! An entry for batch jobs: accepts them, and decides about all of them while it is
//! their owner.
//!
//! The machines give an entry a tenth of a core, so its duties are tasks of one
//! thread, joined by bounded rings, instead of a thread each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parsleytally::types::Revision;
use parsleytally_link::{Hello, Role};
use parsleytally_platform::jobs::{JobService, QueueSource};
use parsleytally_platform::process::Clock;
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::store::Store;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

mod agents;
mod config;
mod desk;
mod follow;
mod keys;
mod lead;
mod metrics;
mod owner;
mod peer;
mod queues;
mod saver;

pub use config::SiteConfig;

use desk::Desk;
use lead::{Candidate, Owner, View};
use metrics::OwnerMetrics;
use owner::{Ownership, Parts};
use peer::{Peer, Whereabouts, serve_peers};
use queues::QueueFollower;

/// Time without an answer of the store after which an entry is not ready.
const STORE_PATIENCE: Duration = Duration::from_secs(2);

/// Time after a look at the store that failed until the next.
const LOOK_AGAIN: Duration = Duration::from_millis(150);
/// Time for the store to take the end of an ownership.
const RESIGN_LIMIT: Duration = Duration::from_millis(500);

/// Why an entry did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address for links is not available.
    #[snafu(display("address {address} for links is not available: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A name of a metric is taken.
    #[snafu(display("metrics are not registered: {source}"))]
    Metrics {
        /// What the library reported.
        source: prometheus::Error,
    },
}

/// A running entry for batch jobs.
pub struct Site {
    desk: Arc<Desk>,
    draining: Arc<AtomicBool>,
    /// Hands the ownership over, where another entry takes it.
    yields: CancellationToken,
    resign: CancellationToken,
    leader: tokio::task::JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Site {
    /// Starts the duties over the platform's `store`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address for links is not available, or the names of
    /// metrics are taken.
    pub async fn start(
        config: &SiteConfig,
        store: Arc<dyn Store>,
        source: Arc<dyn QueueSource>,
        set: &MetricSet,
    ) -> Result<Self, StartError> {
        let metrics = OwnerMetrics::new(set).context(MetricsSnafu)?;
        let address = config.base.links;
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(BindSnafu { address })?;
        let hello = hello(config);
        let (queues, queues_seen) = watch::channel(None);
        let (whereabouts, owner_seen) = watch::channel(Whereabouts::Unknown);
        let reaches_store = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicBool::new(true));
        let draining = Arc::new(AtomicBool::new(false));
        let resign = CancellationToken::new();
        let yields = CancellationToken::new();
        let peer = Peer::new(owner_seen.clone());
        let desk = Arc::new(Desk {
            store: store.clone(),
            queues: queues_seen.clone(),
            owner: peer.clone(),
            draining: draining.clone(),
            reaches_store: reaches_store.clone(),
            answered: answered.clone(),
        });
        let mut tasks = JoinSet::new();
        let follower = QueueFollower {
            store: store.clone(),
            source,
            queues,
        };
        tasks.spawn(follower.run());
        tasks.spawn(peer.keep(hello.clone(), config.link.clone()));
        let link = config.link.clone();
        tasks.spawn(serve_peers(
            listener,
            hello.clone(),
            link,
            owner_seen,
            desk.clone(),
        ));
        let leader = Leader {
            candidate: Candidate::new(
                store.clone(),
                hello.node.clone(),
                config.base.links,
                hello.incarnation.0,
                config.base.jobs.owner_ttl,
            ),
            parts: Parts {
                hello,
                link: config.link.clone(),
                jobs: config.base.jobs.clone(),
                store,
                queues: queues_seen,
                metrics,
            },
            whereabouts,
            reaches_store,
            answers: answered,
            ownership: None,
            seen: None,
            answered: Instant::now(),
        };
        let leader = tokio::spawn(leader.run(yields.clone(), resign.clone()));
        Ok(Self {
            desk,
            draining,
            yields,
            resign,
            leader,
            tasks,
        })
    }

    /// The job operations that this entry offers to clients.
    pub fn job_service(&self) -> Arc<dyn JobService> {
        self.desk.clone()
    }

    /// Tells the balancer to send no further connections, and hands over what this
    /// entry owns.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.yields.cancel();
    }

    /// Ends the duties.
    pub async fn close(mut self) {
        self.resign.cancel();
        if tokio::time::timeout(RESIGN_LIMIT, &mut self.leader)
            .await
            .is_err()
        {
            self.leader.abort();
        }
        self.tasks.shutdown().await;
    }
}

fn hello(config: &SiteConfig) -> Hello {
    let (node, zone) = (config.base.name.clone(), config.base.zone.clone());
    Hello::new(Role::Entry, node, zone, Clock::incarnation())
}

/// Waits for `pause`, or until the entry begins to drain.
async fn yields_first(pause: impl Future<Output = ()>, yields: &CancellationToken, drains: bool) {
    if drains {
        pause.await;
    } else {
        let _ = yields.run_until_cancelled(pause).await;
    }
}

/// Follows the ownership, and exercises it while it is this entry's.
struct Leader {
    candidate: Candidate,
    parts: Parts,
    whereabouts: watch::Sender<Whereabouts>,
    reaches_store: Arc<AtomicBool>,
    /// Whether the last call to the store was answered.
    answers: Arc<AtomicBool>,
    ownership: Option<Ownership>,
    /// What the last look that was answered found.
    seen: Option<View>,
    /// When the store last answered.
    answered: Instant,
}

impl Leader {
    async fn run(mut self, yields: CancellationToken, resign: CancellationToken) {
        while !resign.is_cancelled() {
            if yields.is_cancelled() && !self.candidate.reluctant {
                self.hand_over().await;
            }
            let looked = resign.run_until_cancelled(self.look()).await;
            if looked.is_some() {
                let answers = self.answers.load(Ordering::Relaxed);
                let pause = sleep(if answers {
                    self.parts.jobs.owner_renew
                } else {
                    LOOK_AGAIN
                });
                let pause = yields_first(pause, &yields, self.candidate.reluctant);
                let _ = resign.run_until_cancelled(pause).await;
            }
        }
        if let Some(since) = self.step_down().await {
            self.candidate.resign(since).await;
        }
    }

    /// Ends the ownership; it is taken again where no other entry does so.
    async fn hand_over(&mut self) {
        self.candidate.reluctant = true;
        if let Some(since) = self.step_down().await {
            self.candidate.retire(since);
            self.candidate.resign(since).await;
        }
    }

    async fn look(&mut self) {
        match self.candidate.look().await {
            Ok((view, sent)) => {
                self.answered = sent;
                self.reaches_store.store(true, Ordering::Relaxed);
                self.answers.store(true, Ordering::Relaxed);
                self.take(view, sent).await;
            }
            Err(error) => {
                log::warn!(error:% = error; "ownership is not confirmed");
                self.answers.store(false, Ordering::Relaxed);
                let fresh = self.answered.elapsed() < STORE_PATIENCE;
                self.reaches_store.store(fresh, Ordering::Relaxed);
            }
        }
    }

    async fn take(&mut self, view: View, sent: Instant) {
        self.note_view(&view, sent);
        match view {
            View::Mine(owner, since) => self.own(owner, since, sent).await,
            View::Other(owner) => {
                self.step_down().await;
                self.tell(Whereabouts::At(owner.links));
            }
            View::Nobody => {
                self.step_down().await;
            }
        }
    }

    /// Tells of a look that found something else than the one before.
    fn note_view(&mut self, view: &View, sent: Instant) {
        if self.seen.as_ref() == Some(view) {
            return;
        }
        let age_ms = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        let drains = self.candidate.reluctant;
        match view {
            View::Mine(owner, since) => log::info!(epoch:% = owner.epoch, revision:% = since,
                age_ms, drains; "ownership is this entry's"),
            View::Other(owner) => log::info!(owner:% = owner.node, epoch:% = owner.epoch, age_ms,
                drains; "ownership is another entry's"),
            View::Nobody => log::info!(age_ms, drains; "ownership is left to others"),
        }
        self.seen = Some(view.clone());
    }

    async fn own(&mut self, owner: Owner, since: Revision, sent: Instant) {
        if let Some(ownership) = &self.ownership
            && ownership.since == since
        {
            if ownership.is_over() {
                self.step_down().await;
                self.candidate.retire(since);
            } else {
                ownership.confirmed.renew(sent);
            }
            return;
        }
        self.step_down().await;
        let ownership = Ownership::start(self.parts.clone(), owner, since, sent);
        self.tell(Whereabouts::Here(ownership.ring()));
        self.ownership = Some(ownership);
    }

    /// Ends an ownership; returns the revision at which it began.
    async fn step_down(&mut self) -> Option<Revision> {
        let ownership = self.ownership.take()?;
        let since = ownership.since;
        log::info!(revision:% = since; "ownership ends");
        self.tell(Whereabouts::Unknown);
        ownership.close().await;
        Some(since)
    }

    fn tell(&self, whereabouts: Whereabouts) {
        let same = match (&*self.whereabouts.borrow(), &whereabouts) {
            (Whereabouts::At(old), Whereabouts::At(new)) => old == new,
            (Whereabouts::Unknown, Whereabouts::Unknown) => true,
            _ => false,
        };
        if !same {
            self.whereabouts.send_replace(whereabouts);
        }
    }
}

#[cfg(test)]
mod tests;
