//! An entry for batch jobs: accepts jobs from clients, and schedules all jobs while it is
//! their owner.
//!
//! An entry has a tenth of a core on its VM, so its actors are async tasks in one thread,
//! connected by bounded channels, instead of one thread each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parsleytally::types::Revision;
use parsleytally_link::{Hello, Role};
use parsleytally_platform::jobs::{EvacuationSource, JobService, QueueSource};
use parsleytally_platform::process::http::Handler;
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::process::{BootTime, Clock};
use parsleytally_platform::store::Store;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

mod admission;
mod agents;
mod config;
mod confirmation;
mod election;
mod entries;
mod evacuations;
mod failures;
mod follow;
mod job_call;
mod job_service;
mod keys;
mod known_agents;
mod messages;
mod metrics;
mod owner;
mod owner_client;
mod owner_log;
mod peers;
mod queues;
mod rate_limit;
mod relays;
mod runs_page;
mod saver;
mod sent_log;
mod store_health;
mod stored_state;
mod timer;
mod tombstone_writer;
mod tombstones;

pub use config::SiteConfig;

use admission::{Admission, AdmissionMetrics};
use election::{Candidate, Owner, OwnerView};
use entries::EntryRegistry;
use evacuations::EvacuationFollower;
use job_service::EntryJobService;
use messages::OwnerLocation;
use metrics::{OwnerMetrics, RelayMetrics};
use owner::{OwnerContext, Ownership};
use owner_client::OwnerClient;
use peers::serve_peers;
use queues::QueueFollower;
use relays::Relays;
use runs_page::OperatorPages;
use sent_log::SentLog;
use store_health::{ObservedStore, StoreHealth};
use tombstones::Tombstones;

/// Time without an answer from the store after which an entry is not ready.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before the next check of the ownership while the store does not answer.
const CHECK_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest time to end the ownership when the entry closes.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an entry did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Binding the address for links failed.
    #[snafu(display("cannot bind address {address} for links: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Registering the metrics failed.
    #[snafu(display("cannot register metrics: {source}"))]
    Metrics {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
}

/// A running entry for batch jobs.
pub struct Site {
    job_service: Arc<EntryJobService>,
    owner_location: watch::Receiver<OwnerLocation>,
    draining: Arc<AtomicBool>,
    /// Time from the start of draining until open requests are dropped.
    time_to_close: Duration,
    /// Cancelled when the entry drains: hands the ownership over to another entry.
    hand_over_requested: CancellationToken,
    /// Cancelled when the entry closes: ends the ownership and the election.
    resign: CancellationToken,
    election: tokio::task::JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Site {
    /// Starts the entry's actors on the platform's `store`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address for links can't be bound or a metric's name is
    /// already registered.
    pub async fn start(
        config: &SiteConfig,
        store: Arc<dyn Store>,
        source: Arc<dyn QueueSource>,
        evacuations: Arc<dyn EvacuationSource>,
        set: &MetricSet,
    ) -> Result<Self, StartError> {
        let metrics = OwnerMetrics::new(set).context(MetricsSnafu)?;
        let relay_metrics = RelayMetrics::new(set).context(MetricsSnafu)?;
        let health = Arc::new(StoreHealth::new(relay_metrics.store_answers.clone()));
        let store: Arc<dyn Store> = Arc::new(ObservedStore::new(store, health.clone()));
        let admission_metrics = AdmissionMetrics::new(set).context(MetricsSnafu)?;
        let address = config.base.links;
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(BindSnafu { address })?;
        let hello = hello(config);
        let (queues, queues_receiver) = watch::channel(None);
        let (location, owner_location) = watch::channel(OwnerLocation::Unknown);
        let store_reachable = Arc::new(AtomicBool::new(false));
        let registry = EntryRegistry::new(store.clone(), hello.node.clone(), config.base.links);
        let draining = Arc::new(AtomicBool::new(false));
        let resign = CancellationToken::new();
        let hand_over_requested = CancellationToken::new();
        let operators_location = owner_location.clone();
        let owner_client = OwnerClient::new(owner_location.clone());
        let admission = Admission::new(&config.admission, admission_metrics);
        let sent = Arc::new(SentLog::new());
        let job_service = Arc::new(EntryJobService {
            store: store.clone(),
            queues: queues_receiver.clone(),
            owner: owner_client.clone(),
            relays: Relays::new(
                owner_client.clone(),
                registry.addresses.clone(),
                hello.clone(),
                config.link.clone(),
                relay_metrics,
            ),
            draining: draining.clone(),
            store_reachable: store_reachable.clone(),
            health: health.clone(),
            tombstones: Tombstones::start(store.clone(), sent.clone()),
            sent,
            answer_by: OnceLock::new(),
            admission: admission.clone(),
        });
        let mut tasks = JoinSet::new();
        if let Some(admission) = admission {
            tasks.spawn(admission.poll(owner_client.clone()));
        }
        let follower = QueueFollower {
            store: store.clone(),
            source,
            queues,
        };
        tasks.spawn(follower.run());
        let zone_reads = config.base.evacuation.map(|_| {
            let (follower, reads) = EvacuationFollower::new(store.clone(), evacuations);
            tasks.spawn(follower.run());
            reads
        });
        tasks.spawn(owner_client.run(hello.clone(), config.link.clone()));
        let link = config.link.clone();
        tasks.spawn(serve_peers(
            listener,
            hello.clone(),
            link,
            owner_location,
            job_service.clone(),
        ));
        let mut candidate = Candidate::new(
            store.clone(),
            hello.node.clone(),
            config.base.links,
            hello.incarnation.0,
            config.cpu,
            config.base.jobs.owner_ttl,
        );
        candidate.entries = Some(registry);
        let election = ElectionActor {
            candidate,
            context: OwnerContext {
                hello,
                link: config.link.clone(),
                jobs: config.base.jobs.clone(),
                workers: config.workers,
                shares: config.shares.clone(),
                store,
                queues: queues_receiver,
                evacuation: config.base.evacuation,
                zone_reads,
                metrics,
            },
            location,
            store_reachable,
            health,
            ownership: None,
            last_view: None,
            last_answer: BootTime::now(),
        };
        let election = tokio::spawn(election.run(hand_over_requested.clone(), resign.clone()));
        Ok(Self {
            job_service,
            owner_location: operators_location,
            draining,
            time_to_close: config.grace + config.drain,
            hand_over_requested,
            resign,
            election,
            tasks,
        })
    }

    /// The job operations that this entry offers to clients.
    pub fn job_service(&self) -> Arc<dyn JobService> {
        self.job_service.clone()
    }

    /// Pages for operators: the metrics of `set`, and the runs that the owner counts.
    pub fn operator_pages(&self, set: MetricSet) -> Arc<dyn Handler> {
        Arc::new(OperatorPages {
            metrics: set,
            location: self.owner_location.clone(),
        })
    }

    /// Reports "not ready" to the load balancer and hands the ownership over.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let close = Instant::now() + self.time_to_close;
        // Draining a second time does not move the end.
        let _ = self.job_service.answer_by.set(close);
        self.hand_over_requested.cancel();
    }

    /// Ends the ownership and stops all actors.
    pub async fn close(mut self) {
        self.resign.cancel();
        if tokio::time::timeout(RESIGN_TIMEOUT, &mut self.election)
            .await
            .is_err()
        {
            self.election.abort();
        }
        self.tasks.shutdown().await;
    }
}

fn hello(config: &SiteConfig) -> Hello {
    let (node, zone) = (config.base.name.clone(), config.base.zone.clone());
    Hello::new(Role::Entry, node, zone, Clock::incarnation())
}

/// Waits for `pause`, which the start of draining ends early.
async fn pause_until_drain(
    pause: impl Future<Output = ()>,
    hand_over_requested: &CancellationToken,
    drains: bool,
) {
    if drains {
        pause.await;
    } else {
        let _ = hand_over_requested.run_until_cancelled(pause).await;
    }
}

/// Checks the ownership at intervals, and runs the [`Ownership`] while this entry is the
/// owner.
struct ElectionActor {
    candidate: Candidate,
    context: OwnerContext,
    location: watch::Sender<OwnerLocation>,
    store_reachable: Arc<AtomicBool>,
    health: Arc<StoreHealth>,
    ownership: Option<Ownership>,
    /// Result of the last answered check.
    last_view: Option<OwnerView>,
    /// When the last answered check was sent.
    last_answer: BootTime,
}

impl ElectionActor {
    async fn run(mut self, hand_over_requested: CancellationToken, resign: CancellationToken) {
        while !resign.is_cancelled() {
            if hand_over_requested.is_cancelled() && !self.candidate.yielding {
                self.hand_over().await;
            }
            let checked = resign.run_until_cancelled(self.check()).await;
            if checked.is_some() {
                let pause = sleep(if self.health.answers() {
                    self.context.jobs.owner_renew
                } else {
                    CHECK_RETRY_PAUSE
                });
                let pause = pause_until_drain(pause, &hand_over_requested, self.candidate.yielding);
                let _ = resign.run_until_cancelled(pause).await;
            }
        }
        if let Some(since) = self.step_down().await {
            self.candidate.resign(since).await;
        }
    }

    /// Ends the ownership; this entry acquires it again if no other entry does so in time.
    async fn hand_over(&mut self) {
        self.candidate.yielding = true;
        if let Some(since) = self.step_down().await {
            self.candidate.mark_ended(since);
            self.candidate.resign(since).await;
        }
    }

    async fn check(&mut self) {
        match self.candidate.check().await {
            Ok((view, sent)) => {
                self.last_answer = sent;
                self.store_reachable.store(true, Ordering::Relaxed);
                self.apply(view, sent).await;
            }
            Err(error) => {
                log::warn!(error:% = error; "checking the ownership failed");
                self.end_if_replaced().await;
                let fresh = self.last_answer.elapsed() < STORE_TIMEOUT;
                self.store_reachable.store(fresh, Ordering::Relaxed);
            }
        }
    }

    async fn apply(&mut self, view: OwnerView, sent: BootTime) {
        self.log_view_change(&view, sent);
        match view {
            OwnerView::Own(owner, since) => self.ensure_ownership(owner, since, sent).await,
            OwnerView::Other(owner) => {
                self.step_down().await;
                self.publish_location(OwnerLocation::Remote(owner.links));
            }
            OwnerView::Unknown => {
                self.step_down().await;
            }
        }
    }

    /// Logs the view if it differs from the previous one.
    fn log_view_change(&mut self, view: &OwnerView, sent: BootTime) {
        if self.last_view.as_ref() == Some(view) {
            return;
        }
        let age_ms = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        let drains = self.candidate.yielding;
        match view {
            OwnerView::Own(owner, since) => log::info!(epoch:% = owner.epoch, revision:% = since,
                age_ms, drains; "this entry owns the jobs"),
            OwnerView::Other(owner) => log::info!(owner:% = owner.node,
                epoch:% = owner.epoch, age_ms, drains; "another entry owns the jobs"),
            OwnerView::Unknown => log::info!(age_ms, drains; "owner of the jobs is unknown"),
        }
        self.last_view = Some(view.clone());
    }

    async fn ensure_ownership(&mut self, owner: Owner, since: Revision, sent: BootTime) {
        if let Some(ownership) = &self.ownership
            && ownership.since == since
        {
            ownership.confirmation.renew(sent);
            ownership.fleet_changed(self.candidate.changed);
            self.end_if_replaced().await;
            return;
        }
        self.step_down().await;
        let ownership = Ownership::start(self.context.clone(), owner, since, sent);
        self.publish_location(OwnerLocation::Local(ownership.sender()));
        self.ownership = Some(ownership);
    }

    /// Ends an ownership whose actor has found that another entry owns the jobs.
    async fn end_if_replaced(&mut self) {
        if !self.ownership.as_ref().is_some_and(Ownership::is_finished) {
            return;
        }
        if let Some(since) = self.step_down().await {
            self.candidate.mark_ended(since);
        }
    }

    /// Ends the running ownership, if any, and returns the revision at which it began.
    async fn step_down(&mut self) -> Option<Revision> {
        let ownership = self.ownership.take()?;
        let since = ownership.since;
        log::info!(revision:% = since; "ending the ownership");
        self.publish_location(OwnerLocation::Unknown);
        ownership.close().await;
        Some(since)
    }

    fn publish_location(&self, location: OwnerLocation) {
        let same = match (&*self.location.borrow(), &location) {
            (OwnerLocation::Remote(old), OwnerLocation::Remote(new)) => old == new,
            (OwnerLocation::Unknown, OwnerLocation::Unknown) => true,
            _ => false,
        };
        if !same {
            self.location.send_replace(location);
        }
    }
}

#[cfg(test)]
mod tests;
