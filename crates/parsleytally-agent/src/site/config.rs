//! Settings of an agent for batch jobs on the users' platform, in INI.

use std::net::SocketAddr;

use parsleytally::configs::{ConfigError, Document, SiteBase};
use parsleytally_link::LinkConfig;

/// Settings of an agent for batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// What entries and agents share.
    pub base: SiteBase,
    /// Address for what the worker says of itself: `[site] reports`.
    pub reports: SocketAddr,
    /// Address of the worker: `[site] worker`.
    pub worker: SocketAddr,
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
