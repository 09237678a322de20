//! Configuration of an agent's process, in INI.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::Duration;

use parsleytally::configs::{ConfigError, Document, LimitsConfig, OnceConfig, VmConfig};
use parsleytally::types::{
    Bytes, MilliCpu, NodeName, RackName, Resources, ServiceKey, ServiceName, TeamName, ZoneName,
};
use parsleytally_link::LinkConfig;

/// Configuration of an agent's process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentConfig {
    /// Name of the worker: `[agent] name`.
    pub name: NodeName,
    /// Availability zone of the worker: `[agent] zone`.
    pub zone: ZoneName,
    /// Rack of the worker: `[agent] rack`.
    pub rack: RackName,
    /// Link addresses of the entries, separated by commas: `[agent] entries`.
    pub entries: Vec<SocketAddr>,
    /// Address of the operators' pages: `[agent] operators`.
    pub operators: SocketAddr,
    /// Longest wait for requests in flight at shutdown: `[agent] drain`.
    pub drain: Duration,
    /// Threads for links and requests: `[agent] threads`.
    pub threads: NonZeroUsize,
    /// The endpoint beside the agent: section `[endpoint]`.
    pub endpoint: EndpointConfig,
    /// Memory and descriptors of the VM: section `[vm]`.
    pub vm: VmConfig,
    /// Idempotency keys: section `[once]`.
    pub once: OnceConfig,
    /// Shared key and timeouts of links: section `[link]`.
    pub link: LinkConfig,
    /// Capacity of the worker: `[worker] cpu` (thousandths of a core), `memory` and
    /// `accelerators`.
    pub capacity: Resources,
    /// Time before its lease deadline at which a run must save its state and stop:
    /// `[worker] margin`.
    pub margin: Duration,
}

/// The endpoint beside an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointConfig {
    /// Service that the endpoint provides: `team` and `service`.
    pub service: ServiceKey,
    /// Address of the endpoint: `address`.
    pub address: SocketAddr,
    /// Admission limits: `slots`, `connections` and the other keys of limits.
    pub limits: LimitsConfig,
}

/// Default of [`AgentConfig::threads`].
const DEFAULT_THREADS: NonZeroUsize = NonZeroUsize::MIN;
/// Default of [`AgentConfig::drain`].
const DEFAULT_DRAIN: Duration = Duration::from_secs(30);

/// Default of [`AgentConfig::margin`].
const DEFAULT_MARGIN: Duration = Duration::from_secs(5);

impl AgentConfig {
    /// Parses the text of a configuration file.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem; a configuration with any problem is
    /// refused as a whole.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let mut document = Document::parse(text)?;
        let mut agent = document.take("agent");
        let mut endpoint = document.take("endpoint");
        let mut worker = document.take("worker");
        let mut once = document.take("once");
        let mut vm = document.take("vm");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let config = Self {
            name: agent.require("name")?,
            zone: agent.require("zone")?,
            rack: agent.require("rack")?,
            entries: agent.take_with("entries", Vec::new(), parse_addresses)?,
            operators: agent.take_or("operators", any_port)?,
            threads: agent.take_or("threads", DEFAULT_THREADS)?,
            drain: agent.take_with("drain", DEFAULT_DRAIN, humantime::parse_duration)?,
            endpoint: EndpointConfig {
                service: ServiceKey {
                    team: endpoint.require::<TeamName>("team")?,
                    service: endpoint.require::<ServiceName>("service")?,
                },
                address: endpoint.require("address")?,
                limits: LimitsConfig::take(&mut endpoint)?,
            },
            vm: VmConfig::take(&mut vm)?,
            once: OnceConfig::take(&mut once)?,
            link: LinkConfig::take(document.take("link"))?,
            capacity: Resources {
                cpu: MilliCpu(worker.require("cpu")?),
                memory: worker.require::<Bytes>("memory")?,
                accelerators: worker.take_or("accelerators", 0)?,
            },
            margin: worker.take_with("margin", DEFAULT_MARGIN, humantime::parse_duration)?,
        };
        agent.finish()?;
        endpoint.finish()?;
        worker.finish()?;
        once.finish()?;
        vm.finish()?;
        document.finish()?;
        Ok(config)
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, std::net::AddrParseError> {
    text.split(',').map(|part| part.trim().parse()).collect()
}

#[cfg(test)]
mod tests;
