//! Settings of an agent for batch jobs on the users' platform, in INI.

use std::net::SocketAddr;

use parsleytally::configs::{ConfigError, Document, JobsConfig};
use parsleytally::types::{NodeName, ZoneName};
use parsleytally_link::LinkConfig;

/// Settings of an agent for batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// Name of the agent's VM: `[site] name`.
    pub name: NodeName,
    /// Availability zone of the agent: `[site] zone`.
    pub zone: ZoneName,
    /// Address where owners of the jobs link: `[site] links`.
    pub links: SocketAddr,
    /// Address for what the worker says of itself: `[site] reports`.
    pub reports: SocketAddr,
    /// Address of the worker: `[site] worker`.
    pub worker: SocketAddr,
    /// Address of the platform's store: `[site] store`.
    pub store: SocketAddr,
    /// Address of the metrics page: `[site] metrics`; none is served without it.
    pub metrics: Option<SocketAddr>,
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
            links: site.require("links")?,
            reports: site.require("reports")?,
            worker: site.require("worker")?,
            store: site.require("store")?,
            metrics: site.take_with("metrics", None, |text| text.parse().map(Some))?,
            jobs: JobsConfig::take(&mut jobs)?,
            link: LinkConfig::take(document.take("link"))?,
        };
        site.finish()?;
        jobs.finish()?;
        document.finish()?;
        Ok(config)
    }
}
