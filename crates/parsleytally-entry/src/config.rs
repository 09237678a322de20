//! Settings of an entry process, in INI.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::Duration;

use parsleytally::configs::{
    ConfigError, Document, HttpConfig, OnceConfig, OwnershipConfig, RetryConfig, StoreConfig,
    TokenHash, VmConfig,
};
use parsleytally::types::{NodeName, ZoneName};
use parsleytally_link::LinkConfig;

/// Settings of an entry process.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryConfig {
    /// Name of the entry: `[entry] name`.
    pub name: NodeName,
    /// Availability zone of the entry: `[entry] zone`.
    pub zone: ZoneName,
    /// Address for callers: `[entry] callers`.
    pub callers: SocketAddr,
    /// Address for operators: `[entry] operators`.
    pub operators: SocketAddr,
    /// Address for the links of agents: `[entry] links`.
    pub links: SocketAddr,
    /// Link addresses of the other entries, separated by commas; this entry's own address
    /// may be among them and is not used: `[entry] peers`.
    pub peers: Vec<SocketAddr>,
    /// Time between reporting "not ready" and closing the listener for callers, so that
    /// the load balancer notices: `[entry] grace`.
    pub grace: Duration,
    /// Longest wait for requests in flight at shutdown: `[entry] drain`.
    pub drain: Duration,
    /// Threads for callers, links and operators: `[entry] threads`.
    pub threads: NonZeroUsize,
    /// Retries of failed requests: section `[retry]`.
    pub retry: RetryConfig,
    /// Idempotency keys, of which an entry uses only `ttl`: section `[once]`.
    pub once: OnceConfig,
    /// Keys, heartbeat and timeouts of links: section `[link]`.
    pub link: LinkConfig,
    /// Connection to the platform's store: section `[store]`.
    pub store: StoreConfig,
    /// BLAKE3 hash of the token that grants access to all settings; without it no token
    /// is required: `[operators] token-hash`.
    pub admin: Option<TokenHash>,
    /// Memory and descriptors of the VM: section `[vm]`.
    pub vm: VmConfig,
    /// What callers may make the process hold: section `[clients]`.
    pub limits: HttpConfig,
    /// Ownership of shards, their leases and journals: section `[ownership]`.
    pub ownership: OwnershipConfig,
}

/// Default time for the load balancer to notice a shutdown.
const DEFAULT_GRACE: Duration = Duration::from_secs(5);
/// Default number of threads for callers, links and operators.
const DEFAULT_THREADS: NonZeroUsize = NonZeroUsize::MIN.saturating_add(1);
/// Default longest wait for requests in flight at shutdown.
const DEFAULT_DRAIN: Duration = Duration::from_secs(30);
/// Default port for callers.
const CALLERS_PORT: u16 = 8080;
/// Default port for operators.
const OPERATORS_PORT: u16 = 8081;
/// Default port for links.
const LINKS_PORT: u16 = 8082;

impl EntryConfig {
    /// Default settings of the entry `name` in `zone`, with all addresses on loopback.
    pub fn new(name: NodeName, zone: ZoneName, link: LinkConfig) -> Self {
        Self {
            name,
            zone,
            callers: loopback(CALLERS_PORT),
            operators: loopback(OPERATORS_PORT),
            links: loopback(LINKS_PORT),
            peers: Vec::new(),
            grace: DEFAULT_GRACE,
            drain: DEFAULT_DRAIN,
            threads: DEFAULT_THREADS,
            retry: RetryConfig::default(),
            once: OnceConfig::default(),
            ownership: OwnershipConfig::default(),
            link,
            store: StoreConfig::default(),
            admin: None,
            vm: VmConfig::default(),
            limits: HttpConfig::default(),
        }
    }

    /// Parses settings in INI.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first invalid, missing or unknown key or section.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let mut document = Document::parse(text)?;
        let mut entry = document.take("entry");
        let mut retry = document.take("retry");
        let mut once = document.take("once");
        let mut operators = document.take("operators");
        let mut ownership = document.take("ownership");
        let (mut vm, mut clients) = (document.take("vm"), document.take("clients"));
        let base = Self::new(
            entry.require("name")?,
            entry.require("zone")?,
            LinkConfig::take(document.take("link"))?,
        );
        let vm_config = VmConfig::take(&mut vm)?;
        let config = Self {
            limits: HttpConfig::take(&mut clients, &vm_config)?,
            vm: vm_config,
            callers: entry.take_or("callers", base.callers)?,
            operators: entry.take_or("operators", base.operators)?,
            links: entry.take_or("links", base.links)?,
            peers: entry.take_with("peers", base.peers, parse_addresses)?,
            grace: entry.take_with("grace", base.grace, humantime::parse_duration)?,
            threads: entry.take_or("threads", base.threads)?,
            drain: entry.take_with("drain", base.drain, humantime::parse_duration)?,
            retry: RetryConfig::take(&mut retry)?,
            once: OnceConfig::take(&mut once)?,
            store: StoreConfig::take(&mut document)?,
            admin: operators.take_with("token-hash", None, |text| text.parse().map(Some))?,
            ownership: OwnershipConfig::take(&mut ownership)?,
            ..base
        };
        entry.finish()?;
        retry.finish()?;
        once.finish()?;
        operators.finish()?;
        ownership.finish()?;
        vm.finish()?;
        clients.finish()?;
        document.finish()?;
        Ok(config)
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, std::net::AddrParseError> {
    text.split(',').map(|part| part.trim().parse()).collect()
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[cfg(test)]
mod tests;
