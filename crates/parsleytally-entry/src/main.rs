//! The `parsleytally-entry` binary.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use parsleytally::configs::{ConfigError, HttpConfig, is_site};
use parsleytally_adapter::{ClientApi, EvacuationKeys, KvStore, QueueConfigReader, Readiness};
use parsleytally_entry::Entry;
use parsleytally_entry::config::EntryConfig;
use parsleytally_entry::site::{Site, SiteConfig};
use parsleytally_entry::standalone::{Addresses, Standalone};
use parsleytally_platform::measured::{MeasuredDesk, MeasuredStore};
use parsleytally_platform::process::command::{self, Command, ExtraOption};
use parsleytally_platform::process::http::{HttpMetrics, HttpServer, start_optional};
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::process::{drain, logs, spans};
use parsleytally_platform::store::{EtcdStore, MemoryStore, Store, StoreError};

const USAGE: &str = "parsleytally-entry --config FILE [--check] | --standalone \
                     [--callers ADDR] [--operators ADDR]";

const OPTIONS: [ExtraOption; 3] = [
    ExtraOption {
        name: "standalone",
        description: "run entry, agent, store and sample endpoint in one process",
        value: None,
    },
    ExtraOption {
        name: "callers",
        description: "address for callers in standalone (127.0.0.1:8080)",
        value: Some("ADDR"),
    },
    ExtraOption {
        name: "operators",
        description: "address for operators in standalone (127.0.0.1:8081)",
        value: Some("ADDR"),
    },
];

fn main() -> ExitCode {
    let result = start();
    logs::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(exit) => exit,
    }
}

fn start() -> Result<(), ExitCode> {
    let command = command::parse(USAGE, env!("CARGO_PKG_VERSION"), &OPTIONS)?;
    if command.has("standalone") {
        let addresses = Addresses {
            callers: address(&command, "callers")?,
            operators: address(&command, "operators")?,
        };
        return run_standalone(addresses);
    }
    match command.load(Config::parse)? {
        Config::Site(config) => run_site(&config),
        Config::Plain(config) => run(config),
    }
}

/// Settings of the entry, for one of its two modes.
enum Config {
    /// For batch jobs on the users' platform.
    Site(SiteConfig),
    /// For callers' requests and batch tasks, over links to agents.
    Plain(EntryConfig),
}

impl Config {
    fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        if is_site(text) {
            return SiteConfig::parse(text).map(Self::Site);
        }
        EntryConfig::parse(text).map(Self::Plain)
    }
}

/// Runs the entry for batch jobs on the users' platform, on a single-threaded runtime.
#[tokio::main(flavor = "current_thread")]
async fn run_site(config: &SiteConfig) -> Result<(), ExitCode> {
    logs::start();
    serve_site(config)
        .await
        .map_err(|error| report_failure(&*error))
}

async fn serve_site(config: &SiteConfig) -> Result<(), Box<dyn Error>> {
    let stop = command::terminated();
    tokio::spawn(command::note_reloads());
    let base = &config.base;
    let metrics = MetricSet::of_process()?;
    let store = MeasuredStore::new(Arc::new(KvStore::new(base.store)), metrics.registry())?;
    let site = Site::start(
        config,
        Arc::new(store),
        Arc::new(QueueConfigReader),
        Arc::new(EvacuationKeys),
        &metrics,
    )
    .await?;
    let job_service = MeasuredDesk::new(site.job_service(), metrics.registry())?;
    let client_api = Arc::new(ClientApi::new(Arc::new(job_service)));
    let http = HttpMetrics::new(&metrics)?;
    let clients = http.listener("clients", config.limits);
    let clients = HttpServer::start_limited(config.clients, client_api.clone(), &clients).await?;
    let probe = http.listener("ready", HttpConfig::of_probe(&base.vm));
    let readiness = Arc::new(Readiness::new(site.job_service()));
    let ready = HttpServer::start_limited(config.ready, readiness, &probe).await?;
    let pages = http.listener("pages", HttpConfig::of_pages(&base.vm));
    let page = start_optional(base.metrics, site.operator_pages(metrics), &pages).await;
    log::info!(node:% = base.name; "entry started");
    stop.await;
    log::info!("entry draining");
    site.drain();
    client_api.close_connections();
    tokio::time::sleep(config.grace).await;
    clients.stop_accepting();
    drain(|| client_api.in_flight(), config.drain).await;
    clients.close().await;
    ready.close().await;
    site.close().await;
    if let Some(page) = page {
        page.close().await;
    }
    log::info!("entry stopped");
    Ok(())
}

fn address(command: &Command, name: &str) -> Result<Option<SocketAddr>, ExitCode> {
    let Some(value) = command.value(name) else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| {
        eprintln!("option --{name}: {value:?} is not an address and port");
        ExitCode::from(2)
    })
}

#[tokio::main]
async fn run_standalone(addresses: Addresses) -> Result<(), ExitCode> {
    logs::start();
    spans::start();
    let stop = command::terminated();
    tokio::spawn(command::note_reloads());
    let standalone = Standalone::start(addresses)
        .await
        .map_err(|error| report_failure(&error))?;
    print_addresses(standalone.entry());
    stop.await;
    log::info!("standalone draining");
    standalone.close().await;
    Ok(())
}

fn run(config: EntryConfig) -> Result<(), ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.threads.get())
        .enable_all()
        .build()
        .map_err(|error| report_failure(&error))?;
    runtime.block_on(serve(config))
}

async fn serve(config: EntryConfig) -> Result<(), ExitCode> {
    logs::start();
    spans::start();
    let stop = command::terminated();
    tokio::spawn(command::note_reloads());
    let store = store(&config).map_err(|error| report_failure(&error))?;
    let entry = Entry::start(config, store)
        .await
        .map_err(|error| report_failure(&error))?;
    print_addresses(&entry);
    stop.await;
    log::info!("entry draining");
    entry.close().await;
    Ok(())
}

/// The platform's store, or a store in memory if no endpoint of it is set.
fn store(config: &EntryConfig) -> Result<Arc<dyn Store>, StoreError> {
    if config.store.endpoints.is_empty() {
        log::warn!("settings are lost when this process ends: [store] endpoints is not set");
        return Ok(Arc::new(MemoryStore::new()));
    }
    Ok(Arc::new(EtcdStore::new(
        config.store.clone(),
        rand::random(),
    )?))
}

fn print_addresses(entry: &Entry) {
    println!("callers {}", entry.callers());
    println!("operators {}", entry.operators());
    println!("links {}", entry.links());
}

fn report_failure(error: &dyn Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}
