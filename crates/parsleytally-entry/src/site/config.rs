//! Settings (INI) of an entry for batch jobs on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use parsleytally::configs::{ConfigError, Document, SiteBase};
use parsleytally_link::LinkConfig;

/// Default time from reporting "not ready" to closing the listener for clients.
const DEFAULT_GRACE: Duration = Duration::from_millis(2_300);
/// Default longest wait for requests in flight at shutdown.
const DEFAULT_DRAIN: Duration = Duration::from_millis(2_000);

/// Settings of an entry for batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// Settings that entries and agents share.
    pub base: SiteBase,
    /// Address for clients: `[site] clients`.
    pub clients: SocketAddr,
    /// Address for the load balancer's readiness check: `[site] ready`.
    pub ready: SocketAddr,
    /// Time from reporting "not ready" to closing the listener for clients: `[site] grace`.
    pub grace: Duration,
    /// Longest wait for requests in flight at shutdown: `[site] drain`.
    pub drain: Duration,
    /// Key and timeouts of links: section `[link]`.
    pub link: LinkConfig,
}

impl SiteConfig {
    /// Parses the settings.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first invalid, missing or unknown setting.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let mut document = Document::parse(text)?;
        let mut site = document.take("site");
        let config = Self {
            base: SiteBase::take(&mut document, &mut site)?,
            clients: site.require("clients")?,
            ready: site.require("ready")?,
            grace: site.take_with("grace", DEFAULT_GRACE, humantime::parse_duration)?,
            drain: site.take_with("drain", DEFAULT_DRAIN, humantime::parse_duration)?,
            link: LinkConfig::take(document.take("link"))?,
        };
        site.finish()?;
        document.finish()?;
        Ok(config)
    }
}
