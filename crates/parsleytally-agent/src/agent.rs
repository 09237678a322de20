//! A running agent: its actors, links and operators' pages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use parsleytally::configs::HttpConfig;
use parsleytally::leases::AgentConfig as LeaseConfig;
use parsleytally::membership::Announcement;
use parsleytally::types::Revision;
use parsleytally_link::{HEARTBEAT_INTERVAL, Hello, Role};
use parsleytally_platform::process::http::{BindError, HttpServer};
use parsleytally_platform::process::{Clock, drain};
use parsleytally_platform::worker::{StandInWorker, WorkerControl};
use snafu::{ResultExt, Snafu};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::config::AgentConfig;
use crate::endpoint::EndpointError;
use crate::links::{LinkContext, maintain};
use crate::metrics::Metrics;
use crate::operators::OperatorPages;
use crate::requests::Requests;
use crate::runs::RunsHandle;
use crate::settings::SettingsHandle;

/// Reason why an agent could not start.
#[derive(Debug, Snafu)]
#[snafu(module(error))]
pub enum StartError {
    /// The address of the operators' pages is not available.
    #[snafu(display("operators' pages: {source}"))]
    Bind {
        /// The address and the cause.
        source: BindError,
    },
    /// A metric could not be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
    /// The thread of an actor could not start.
    #[snafu(display("could not start the thread of an actor: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP client of the endpoint could not be built.
    #[snafu(display("could not build the HTTP client of the endpoint: {reason}"))]
    Endpoint {
        /// Error of the HTTP library.
        reason: String,
    },
}

impl From<EndpointError> for StartError {
    fn from(error: EndpointError) -> Self {
        Self::Endpoint {
            reason: error.to_string(),
        }
    }
}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    drain: Duration,
    requests: Arc<Requests>,
    links: JoinSet<()>,
    leave: CancellationToken,
    stop: CancellationToken,
    pages: HttpServer,
    runs: RunsHandle,
    settings: SettingsHandle,
}

impl std::fmt::Debug for Requests {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Requests").finish_non_exhaustive()
    }
}

impl Agent {
    /// Starts an agent that controls a [`StandInWorker`] and connects to the entries in the
    /// background.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when an address is not available, or a thread, the metrics or the
    /// HTTP client can't be created.
    pub async fn start(config: AgentConfig) -> Result<Self, StartError> {
        Self::start_with_worker(config, Arc::new(StandInWorker::default())).await
    }

    /// Starts an agent that controls `worker` and connects to the entries in the background.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when an address is not available, or a thread, the metrics or the
    /// HTTP client can't be created.
    pub async fn start_with_worker(
        config: AgentConfig,
        worker: Arc<dyn WorkerControl>,
    ) -> Result<Self, StartError> {
        let metrics = Metrics::new().context(error::MetricsSnafu)?;
        let requests = Arc::new(Requests::new(&config, metrics.clone())?);
        let settings = SettingsHandle::start().context(error::ThreadSnafu)?;
        let hello = hello(&config);
        let runs = RunsHandle::start(
            lease_config(&config),
            hello.incarnation,
            worker,
            metrics.clone(),
        );
        let runs = runs.context(error::ThreadSnafu)?;
        let operators = OperatorPages {
            revision: settings.shared_revision(),
            metrics: metrics.clone(),
            requests: requests.clone(),
        };
        let limits = HttpConfig::of_pages(&config.vm);
        let listener = metrics.http.listener("operators", limits);
        let pages = HttpServer::start_limited(config.operators, Arc::new(operators), &listener);
        let pages = pages.await.context(error::BindSnafu)?;
        let stop = CancellationToken::new();
        let leave = CancellationToken::new();
        let context = Arc::new(LinkContext {
            announcement: announcement(&config, &hello),
            hello,
            config: config.link.clone(),
            clock: Clock::start(),
            requests: requests.clone(),
            settings: settings.sender(),
            runs: runs.sender(),
            sequence: AtomicU64::new(0),
            metrics,
            leave: leave.clone(),
            stop: stop.clone(),
        });
        let mut links = JoinSet::new();
        for entry in &config.entries {
            links.spawn(maintain(*entry, context.clone()));
        }
        Ok(Self {
            drain: config.drain,
            requests,
            links,
            leave,
            stop,
            pages,
            runs,
            settings,
        })
    }

    /// Address of the operators' pages.
    pub fn operators(&self) -> SocketAddr {
        self.pages.address()
    }

    /// Revision of the settings that the agent applies.
    pub fn settings_revision(&self) -> Revision {
        self.settings.revision()
    }

    /// Stops the agent gracefully.
    ///
    /// Refuses new requests, announces to the entries that the endpoint leaves, waits
    /// for the requests in flight for at most the configured `drain`, and stops.
    pub async fn close(mut self) {
        self.requests.leave();
        self.leave.cancel();
        // Connected entries receive the announcement at once. The pause also covers an
        // entry whose link is still being opened.
        sleep(HEARTBEAT_INTERVAL * 2).await;
        drain(|| self.requests.in_flight(), self.drain).await;
        self.stop.cancel();
        while self.links.join_next().await.is_some() {}
        self.runs.close();
        self.settings.close();
        self.pages.close().await;
    }
}

fn lease_config(config: &AgentConfig) -> LeaseConfig {
    LeaseConfig {
        name: config.name.clone(),
        capacity: config.capacity,
        margin: config.margin,
    }
}

fn hello(config: &AgentConfig) -> Hello {
    let (node, zone) = (config.name.clone(), config.zone.clone());
    Hello::new(Role::Agent, node, zone, Clock::incarnation())
}

fn announcement(config: &AgentConfig, hello: &Hello) -> Announcement {
    Announcement {
        worker: hello.node.clone(),
        incarnation: hello.incarnation,
        sequence: 0,
        zone: hello.zone.clone(),
        rack: config.rack.clone(),
        service: config.endpoint.service.clone(),
        slots: config.endpoint.limits.slots,
        connections: config.endpoint.limits.connections,
        capacity: config.capacity,
        uptime_us: 0,
    }
}
