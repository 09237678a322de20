//! Starts and stops an entry: its actors, links and HTTP servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parsleytally::configs::HttpConfig;
use parsleytally::types::Revision;
use parsleytally_link::{Handshakes, Hello, Role};
use parsleytally_platform::process::http::{BindError, HttpServer};
use parsleytally_platform::process::{Clock, drain};
use parsleytally_platform::store::{Store, Writer};
use snafu::{ResultExt, Snafu};
use tokio::time::sleep;

use crate::callers::Callers;
use crate::config::EntryConfig;
use crate::directory::Directory;
use crate::links::{LinkContext, LinkListener};
use crate::metrics::Metrics;
use crate::operators::{Access, OUTCOME_TIMEOUT, Operators, SettingsApi};
use crate::peers::{self, Peers};
use crate::scheduler::{Scheduler, SchedulerParams};
use crate::settings::Settings;

/// Why an entry could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address for HTTP is not available.
    #[snafu(display("{server}: {source}"))]
    Bind {
        /// Name of the server.
        server: &'static str,
        /// The address and the error.
        source: BindError,
    },
    /// The address for links is not available.
    #[snafu(display("links: address {address} is not available: {source}"))]
    Links {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics could not be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
    /// The thread of an actor could not start.
    #[snafu(display("thread of an actor did not start: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// A running entry.
pub struct Entry {
    config: EntryConfig,
    draining: Arc<AtomicBool>,
    callers: Arc<Callers>,
    caller_server: HttpServer,
    operator_server: HttpServer,
    links: LinkListener,
    peers: Peers,
    settings: Settings,
    scheduler: Scheduler,
    directory: Directory,
}

impl Entry {
    /// Starts the actors, links and servers; settings and ownership are kept in `store`.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address is not available, or if metrics or a thread
    /// cannot be set up.
    pub async fn start(config: EntryConfig, store: Arc<dyn Store>) -> Result<Self, StartError> {
        let metrics = Metrics::new().context(MetricsSnafu)?;
        if let Some(calls) = store.metrics() {
            metrics.register_store_calls(calls).context(MetricsSnafu)?;
        }
        let hello = hello(&config);
        let directory = Directory::start(&hello, config.once.ttl, metrics.clone());
        let directory = directory.context(ThreadSnafu)?;
        let params = SchedulerParams {
            node: hello.node.clone(),
            incarnation: hello.incarnation,
            config: config.ownership.clone(),
            store: store.clone(),
            metrics: metrics.clone(),
        };
        let scheduler = Scheduler::start(params).context(ThreadSnafu)?;
        let settings = Settings::start(
            store.clone(),
            directory.handle(),
            scheduler.handle(),
            metrics.clone(),
        );
        let settings = settings.context(ThreadSnafu)?;
        let shared = LinkContext {
            hello: hello.clone(),
            handshakes: Handshakes::default(),
            config: config.link.clone(),
            metrics: metrics.clone(),
            directory: directory.handle(),
            scheduler: scheduler.handle(),
            settings: settings.handle(),
        };
        let address = config.links;
        let links = LinkListener::start(address, shared)
            .await
            .context(LinksSnafu { address })?;
        let peers = peers::PeerContext {
            hello,
            config: config.link.clone(),
            settings: settings.handle(),
        };
        let peers = Peers::start(&config.peers, peers);
        let draining = Arc::new(AtomicBool::new(false));
        let writer = Writer::new(store.clone(), rand::random(), OUTCOME_TIMEOUT);
        let pages = SettingsApi {
            store,
            writer,
            in_force: settings.in_force(),
            access: Access {
                admin: config.admin,
            },
        };
        if pages.access.is_open() {
            log::warn!("anyone may read and change settings: [operators] token-hash is not set");
        }
        let operators = Arc::new(Operators {
            settings: pages,
            directory: directory.handle(),
            scheduler: scheduler.handle(),
            in_force: settings.in_force(),
            metrics: metrics.clone(),
            draining: draining.clone(),
        });
        let listener = metrics
            .http
            .listener("operators", HttpConfig::of_pages(&config.vm));
        let operator_server =
            HttpServer::start_limited(config.operators, operators, &listener).await;
        let operator_server = operator_server.context(BindSnafu {
            server: "operators",
        })?;
        let listener = metrics.http.listener("callers", config.limits);
        let callers = Arc::new(Callers::new(
            directory.handle(),
            config.retry.clone(),
            metrics,
            draining.clone(),
        ));
        let caller_server =
            HttpServer::start_limited(config.callers, callers.clone(), &listener).await;
        let caller_server = caller_server.context(BindSnafu { server: "callers" })?;
        Ok(Self {
            config,
            draining,
            callers,
            caller_server,
            operator_server,
            links,
            peers,
            settings,
            scheduler,
            directory,
        })
    }

    /// Address of the HTTP server for callers.
    pub fn callers(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// Address of the HTTP server for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operator_server.address()
    }

    /// Address of the listener for links.
    pub fn links(&self) -> SocketAddr {
        self.links.address()
    }

    /// Revision of the settings in force at this entry.
    pub fn settings_revision(&self) -> Revision {
        self.settings.in_force().state().revision
    }

    /// Reports not ready, waits for requests in flight up to the drain limit, and stops.
    pub async fn close(self) {
        self.draining.store(true, Ordering::SeqCst);
        sleep(self.config.grace).await;
        self.caller_server.stop_accepting();
        drain(|| self.callers.in_flight(), self.config.drain).await;
        self.caller_server.close().await;
        self.peers.close().await;
        self.links.close().await;
        self.settings.close();
        self.scheduler.close().await;
        self.directory.close();
        self.operator_server.close().await;
    }
}

fn hello(config: &EntryConfig) -> Hello {
    let (node, zone) = (config.name.clone(), config.zone.clone());
    Hello::new(Role::Entry, node, zone, Clock::incarnation())
}
