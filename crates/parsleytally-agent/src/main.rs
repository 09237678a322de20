//! The agent binary.

use std::process::ExitCode;
use std::sync::Arc;

use parsleytally::configs::{ConfigError, HttpConfig, is_site};
use parsleytally_adapter::{KvStore, WorkerClient, WorkerReportApi};
use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;
use parsleytally_agent::site::{Site, SiteConfig};
use parsleytally_platform::measured::{MeasuredHost, MeasuredStore};
use parsleytally_platform::process::command;
use parsleytally_platform::process::http::{HttpMetrics, HttpServer, start_optional};
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::process::{logs, spans};

const USAGE: &str = "parsleytally-agent --config FILE [--check]";

fn main() -> ExitCode {
    let exit = start();
    logs::flush();
    exit
}

fn start() -> ExitCode {
    let command = match command::parse(USAGE, env!("CARGO_PKG_VERSION"), &[]) {
        Ok(command) => command,
        Err(exit) => return exit,
    };
    match command.load(Config::parse) {
        Ok(Config::Site(config)) => run_site(&config),
        Ok(Config::Plain(config)) => run(config),
        Err(exit) => exit,
    }
}

/// Configuration of one of the two modes.
enum Config {
    /// Batch jobs on the users' platform.
    Site(SiteConfig),
    /// Requests and batch tasks with the project's own entries.
    Plain(AgentConfig),
}

impl Config {
    fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        if is_site(text) {
            return SiteConfig::parse(text).map(Self::Site);
        }
        AgentConfig::parse(text).map(Self::Plain)
    }
}

/// Runs the agent for batch jobs on the users' platform, on a single thread.
#[tokio::main(flavor = "current_thread")]
async fn run_site(config: &SiteConfig) -> ExitCode {
    logs::start();
    match serve_site(config).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve_site(config: &SiteConfig) -> Result<(), Box<dyn std::error::Error>> {
    let stop = command::terminated();
    tokio::spawn(command::note_reloads());
    let base = &config.base;
    let metrics = MetricSet::of_process()?;
    let store = MeasuredStore::new(Arc::new(KvStore::new(base.store)), metrics.registry())?;
    let worker = MeasuredHost::new(
        Arc::new(WorkerClient::new(config.worker)),
        metrics.registry(),
    )?;
    let site = Site::start(config, Arc::new(store), Arc::new(worker)).await?;
    let reports = Arc::new(WorkerReportApi::new(site.reports()));
    let http = HttpMetrics::new(&metrics)?;
    let limits = http.listener("reports", HttpConfig::of_clients(&base.vm));
    let reports = HttpServer::start_limited(config.reports, reports, &limits).await?;
    let pages = http.listener("pages", HttpConfig::of_pages(&base.vm));
    let metrics_page = start_optional(base.metrics, Arc::new(metrics), &pages).await;
    log::info!(node:% = base.name; "agent started");
    stop.await;
    log::info!("agent is stopping");
    reports.close().await;
    site.close().await;
    if let Some(metrics_page) = metrics_page {
        metrics_page.close().await;
    }
    Ok(())
}

fn run(config: AgentConfig) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.threads.get())
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(config)),
        Err(error) => {
            eprintln!("could not start the runtime threads: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(config: AgentConfig) -> ExitCode {
    logs::start();
    spans::start();
    let stop = command::terminated();
    tokio::spawn(command::note_reloads());
    let agent = match Agent::start(config).await {
        Ok(agent) => agent,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    println!("operators {}", agent.operators());
    stop.await;
    log::info!("agent is draining");
    agent.close().await;
    ExitCode::SUCCESS
}
