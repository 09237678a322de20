//! Settings of an entry for batch jobs on the users' platform, in INI.

use std::net::SocketAddr;
use std::time::Duration;

use parsleytally::configs::{ConfigError, Document, JobsConfig};
use parsleytally::types::{NodeName, ZoneName};
use parsleytally_link::LinkConfig;

/// Default time between "not ready" and the end of accepting.
const DEFAULT_GRACE: Duration = Duration::from_millis(2_300);
/// Default longest wait for requests in flight at shutdown.
const DEFAULT_DRAIN: Duration = Duration::from_millis(2_000);

/// Settings of an entry for batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// Name of the entry: `[site] name`.
    pub name: NodeName,
    /// Availability zone of the entry: `[site] zone`.
    pub zone: ZoneName,
    /// Address for clients: `[site] clients`.
    pub clients: SocketAddr,
    /// Address for the balancer's question: `[site] ready`.
    pub ready: SocketAddr,
    /// Address for links of other entries: `[site] links`.
    pub links: SocketAddr,
    /// Address of the platform's store: `[site] store`.
    pub store: SocketAddr,
    /// Address of the metrics page: `[site] metrics`; none is served without it.
    pub metrics: Option<SocketAddr>,
    /// Time between "not ready" and the end of accepting: `[site] grace`.
    pub grace: Duration,
    /// Longest wait for requests in flight at shutdown: `[site] drain`.
    pub drain: Duration,
    /// Times of ownership and leases: section `[jobs]`.
    pub jobs: JobsConfig,
    /// Key and times of links: section `[link]`.
    pub link: LinkConfig,
}

impl SiteConfig {
    /// Parses a settings text.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem; nothing is accepted in part.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let mut document = Document::parse(text)?;
        let mut site = document.take("site");
        let mut jobs = document.take("jobs");
        let config = Self {
            name: site.require("name")?,
            zone: site.require("zone")?,
            clients: site.require("clients")?,
            ready: site.require("ready")?,
            links: site.require("links")?,
            store: site.require("store")?,
            metrics: site.take_with("metrics", None, |text| text.parse().map(Some))?,
            grace: site.take_with("grace", DEFAULT_GRACE, humantime::parse_duration)?,
            drain: site.take_with("drain", DEFAULT_DRAIN, humantime::parse_duration)?,
            jobs: JobsConfig::take(&mut jobs)?,
            link: LinkConfig::take(document.take("link"))?,
        };
        site.finish()?;
        jobs.finish()?;
        document.finish()?;
        Ok(config)
    }
}
