//! Settings (INI) of an entry for batch jobs on the users' platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::configs::{
    AdmissionConfig, ConfigError, Document, HttpConfig, SharesConfig, SiteBase, WorkersConfig,
};
use parsleytally::types::MilliCpu;
use parsleytally_link::LinkConfig;

/// Default time from reporting "not ready" to closing the listener for clients.
const DEFAULT_GRACE: Duration = Duration::from_millis(2_300);
/// Default longest wait for requests in flight at shutdown.
const DEFAULT_DRAIN: Duration = Duration::from_millis(2_000);

/// Factor from processors to thousandths of them.
const MILLI: f64 = 1_000.0;
/// Most processors that a VM may be said to have.
const MAX_PROCESSORS: f64 = 1_024.0;

/// Settings of an entry for batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// Settings that entries and agents share.
    pub base: SiteBase,
    /// Address for clients: `[site] clients`.
    pub clients: SocketAddr,
    /// What clients may make the process hold: section `[clients]`.
    pub limits: HttpConfig,
    /// Address for the load balancer's readiness check: `[site] ready`.
    pub ready: SocketAddr,
    /// Time from reporting "not ready" to closing the listener for clients: `[site] grace`.
    pub grace: Duration,
    /// Longest wait for requests in flight at shutdown: `[site] drain`.
    pub drain: Duration,
    /// Processors that this process may use, such as 0.5: `[site] processors`. An entry with
    /// more of them is preferred as the owner of the jobs.
    pub cpu: MilliCpu,
    /// Handling of uneven workers: section `[workers]` and `[site] remote-factor`.
    pub workers: WorkersConfig,
    /// How queues share scarce capacity: section `[shares]`; none without it.
    pub shares: Option<Arc<SharesConfig>>,
    /// Key and timeouts of links: section `[link]`.
    pub link: LinkConfig,
    /// Whether and how hopeless jobs are refused: section `[admission]`.
    pub admission: AdmissionConfig,
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
        let mut workers = document.take("workers");
        let mut admission = document.take("admission");
        let mut clients = document.take("clients");
        let base = SiteBase::take(&mut document, &mut site)?;
        let config = Self {
            limits: HttpConfig::take(&mut clients, &base.vm)?,
            base,
            clients: site.require("clients")?,
            ready: site.require("ready")?,
            grace: site.take_with("grace", DEFAULT_GRACE, humantime::parse_duration)?,
            drain: site.take_with("drain", DEFAULT_DRAIN, humantime::parse_duration)?,
            cpu: site.take_with("processors", MilliCpu(1_000), parse_processors)?,
            workers: WorkersConfig::take(&mut workers, &mut site)?,
            shares: SharesConfig::take(&mut document)?.map(Arc::new),
            link: LinkConfig::take(document.take("link"))?,
            admission: AdmissionConfig::take(&mut admission)?,
        };
        workers.finish()?;
        admission.finish()?;
        clients.finish()?;
        site.finish()?;
        document.finish()?;
        Ok(config)
    }
}

/// Parses a number of processors, such as `0.5`.
pub(super) fn parse_processors(text: &str) -> Result<MilliCpu, String> {
    let processors: f64 = text.parse().map_err(|_| "not a number".to_owned())?;
    if processors > 0.0 && processors <= MAX_PROCESSORS {
        return Ok(MilliCpu((processors * MILLI).ceil() as u64));
    }
    Err(format!("not above 0 and at most {MAX_PROCESSORS}"))
}
