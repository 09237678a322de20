//! Configuration of an agent for batch jobs on the users' platform, in INI.

use std::net::SocketAddr;

use parsleytally::configs::{ConfigError, Document, SiteBase};
use parsleytally_link::LinkConfig;

/// Configuration of an agent for batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// Configuration that entries and agents have in common.
    pub base: SiteBase,
    /// Listen address for the worker's reports of its state: `[site] reports`.
    pub reports: SocketAddr,
    /// Address of the worker: `[site] worker`.
    pub worker: SocketAddr,
    /// Shared key and timeouts of links: section `[link]`.
    pub link: LinkConfig,
}

impl SiteConfig {
    /// Parses the text of a configuration file.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem; a configuration with any problem is
    /// refused as a whole.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let mut document = Document::parse(text)?;
        let mut site = document.take("site");
        let config = Self {
            base: SiteBase::take(&mut document, &mut site)?,
            reports: site.require("reports")?,
            worker: site.require("worker")?,
            link: LinkConfig::take(document.take("link"))?,
        };
        site.finish()?;
        document.finish()?;
        Ok(config)
    }
}
