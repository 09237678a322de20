//! A running agent: its duties, links and pages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

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
use crate::links::{Shared, keep};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::requests::Requests;
use crate::runs::Runs;
use crate::settings::SettingsDuty;

/// Why an agent could not start.
#[derive(Debug, Snafu)]
#[snafu(module(error))]
pub enum StartError {
    /// An address is not available.
    #[snafu(display("operators' pages: {source}"))]
    Bind {
        /// Which one and why.
        source: BindError,
    },
    /// The metrics are contradictory.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// What the library reported.
        source: prometheus::Error,
    },
    /// A thread could not start.
    #[snafu(display("thread of a duty did not start: {source}"))]
    Thread {
        /// What the system reported.
        source: std::io::Error,
    },
    /// The client of the endpoint could not be built.
    #[snafu(display("client of the endpoint: {reason}"))]
    Endpoint {
        /// What the library reported.
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
    runs: Runs,
    settings: SettingsDuty,
}

impl std::fmt::Debug for Requests {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Requests").finish_non_exhaustive()
    }
}

impl Agent {
    /// Starts the duties and dials the entries.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when an address, a thread or a client is not to be had.
    pub async fn start(config: AgentConfig) -> Result<Self, StartError> {
        Self::start_with_worker(config, Arc::new(StandInWorker::default())).await
    }

    /// Starts over the control of its `worker`.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when an address, a thread or a client is not to be had.
    pub async fn start_with_worker(
        config: AgentConfig,
        worker: Arc<dyn WorkerControl>,
    ) -> Result<Self, StartError> {
        let metrics = Metrics::new().context(error::MetricsSnafu)?;
        let requests = Arc::new(Requests::new(&config, metrics.clone())?);
        let settings = SettingsDuty::start().context(error::ThreadSnafu)?;
        let hello = hello(&config);
        let runs = Runs::start(leases(&config), hello.incarnation, worker, metrics.clone());
        let runs = runs.context(error::ThreadSnafu)?;
        let operators = Operators {
            in_force: settings.in_force(),
            metrics: metrics.clone(),
            requests: requests.clone(),
        };
        let pages = HttpServer::start(config.operators, Arc::new(operators));
        let pages = pages.await.context(error::BindSnafu)?;
        let stop = CancellationToken::new();
        let leave = CancellationToken::new();
        let shared = Arc::new(Shared {
            announcement: announcement(&config, &hello),
            hello,
            config: config.link.clone(),
            clock: Clock::start(),
            requests: requests.clone(),
            settings: settings.ring(),
            runs: runs.ring(),
            sequence: AtomicU64::new(0),
            metrics,
            leave: leave.clone(),
            stop: stop.clone(),
        });
        let mut links = JoinSet::new();
        for entry in &config.entries {
            links.spawn(keep(*entry, shared.clone()));
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

    /// Revision of the settings in force here.
    pub fn settings_revision(&self) -> Revision {
        self.settings.revision()
    }

    /// Announces that the endpoint leaves, finishes what is in flight and stops.
    pub async fn close(mut self) {
        self.requests.leave();
        self.leave.cancel();
        // Entries hear of it at once; one whose link is just being dialled, a little later.
        sleep(HEARTBEAT_INTERVAL * 2).await;
        drain(|| self.requests.in_flight(), self.drain).await;
        self.stop.cancel();
        while self.links.join_next().await.is_some() {}
        self.runs.close();
        self.settings.close();
        self.pages.close().await;
    }
}

fn leases(config: &AgentConfig) -> LeaseConfig {
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
