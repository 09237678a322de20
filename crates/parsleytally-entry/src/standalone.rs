//! Standalone mode: an entry, an agent, a store in memory and a sample endpoint (team
//! `demo`, service `echo`) in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::configs::ConfigError;
use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;
use parsleytally_platform::process::http::{BindError, HttpServer};
use parsleytally_platform::stand_in::SampleEndpoint;
use parsleytally_platform::store::MemoryStore;
use snafu::{ResultExt, Snafu};

use crate::config::EntryConfig;
use crate::{Entry, StartError};

/// Settings of the entry.
const ENTRY_SETTINGS: &str = "[entry]\nname = entry\nzone = a\nlinks = 127.0.0.1:0\n";
/// Length of the link key.
const KEY_BYTES: usize = 32;
/// Settings of the agent; addresses and the link key are added at start.
const AGENT_SETTINGS: &str = "\
[worker]
cpu = 16000
memory = 60GB
[agent]
name = worker
zone = a
rack = a1
";

/// Why the standalone mode could not start.
#[derive(Debug, Snafu)]
pub enum StandaloneError {
    /// The settings are not valid.
    #[snafu(display("settings: {source}"))]
    Config {
        /// The setting and why it is refused.
        source: ConfigError,
    },
    /// The sample endpoint could not start.
    #[snafu(display("sample endpoint: {source}"))]
    Endpoint {
        /// The address and the error.
        source: BindError,
    },
    /// The entry could not start.
    #[snafu(display("entry: {source}"))]
    Entry {
        /// Why the entry did not start.
        source: StartError,
    },
    /// The agent could not start.
    #[snafu(display("agent: {source}"))]
    Agent {
        /// Why the agent did not start.
        source: parsleytally_agent::StartError,
    },
}

/// Addresses of the HTTP servers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Addresses {
    /// Address for callers; `127.0.0.1:8080` if none.
    pub callers: Option<SocketAddr>,
    /// Address for operators; `127.0.0.1:8081` if none.
    pub operators: Option<SocketAddr>,
}

/// A running entry, agent and sample endpoint.
pub struct Standalone {
    /// The sample endpoint, for reading its bookings.
    pub sample: Arc<SampleEndpoint>,
    endpoint: HttpServer,
    agent: Agent,
    entry: Entry,
}

impl Standalone {
    /// Starts the entry, the sample endpoint and the agent.
    ///
    /// # Errors
    ///
    /// Returns [`StandaloneError`] if one of them could not start.
    pub async fn start(addresses: Addresses) -> Result<Self, StandaloneError> {
        let link = link_settings();
        let config = format!("{ENTRY_SETTINGS}{link}");
        let mut config = EntryConfig::parse(config.as_bytes()).context(ConfigSnafu)?;
        config.callers = addresses.callers.unwrap_or(config.callers);
        config.operators = addresses.operators.unwrap_or(config.operators);
        // No load balancer routes to a single process, so none has to notice the shutdown.
        config.grace = Duration::ZERO;
        let store = Arc::new(MemoryStore::new());
        let entry = Entry::start(config, store).await.context(EntrySnafu)?;
        let sample = Arc::new(SampleEndpoint::default());
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint = HttpServer::start(any_port, sample.clone()).await;
        let endpoint = endpoint.context(EndpointSnafu)?;
        let config = agent_settings(entry.links(), endpoint.address()) + &link;
        let config = AgentConfig::parse(config.as_bytes()).context(ConfigSnafu)?;
        let agent = Agent::start(config).await.context(AgentSnafu)?;
        Ok(Self {
            sample,
            endpoint,
            agent,
            entry,
        })
    }

    /// The entry.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// The agent.
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// Drains the entry, then the agent, and stops.
    pub async fn close(self) {
        self.entry.close().await;
        self.agent.close().await;
        self.endpoint.close().await;
    }
}

/// Link settings with a random key, used by this process only.
fn link_settings() -> String {
    let key: [u8; KEY_BYTES] = rand::random();
    let digits: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("[link]\nkey = {digits}\n")
}

fn agent_settings(links: SocketAddr, endpoint: SocketAddr) -> String {
    format!(
        "{AGENT_SETTINGS}entries = {links}\n\
         [endpoint]\nteam = demo\nservice = echo\naddress = {endpoint}\n"
    )
}
