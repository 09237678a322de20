//! Ownership of batch jobs and leases on workers: section `[jobs]`.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, FromStr};

use super::check::duration;
use super::{ConfigError, Document, EvacuationConfig, Section, VmConfig};
use crate::types::{NodeName, ZoneName};

/// Longest time that any of these settings may have.
const MAX_TIME: Duration = Duration::from_secs(600);

/// Largest limit on the processors requested by best-effort tasks, in percent.
const MAX_CPU_LIMIT: u32 = 10_000;

/// Order of best-effort steps that yield to others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum BestEffortOrder {
    /// The step that has to start first to be on time.
    #[default]
    LatestStart,
    /// The step of the job with the least remaining work.
    RemainingWork,
}

/// Order and limit of best-effort tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BestEffortConfig {
    /// Order of steps in queues with a priority above 0: key `best-effort-order`.
    pub order: BestEffortOrder,
    /// Limit on the processors that the best-effort tasks of a worker request, in percent of
    /// its own: key `best-effort-limit`; none without the key.
    pub cpu_limit: Option<u32>,
}

impl BestEffortConfig {
    fn take(section: &mut Section) -> Result<Self, ConfigError> {
        Ok(Self {
            order: section.take_or("best-effort-order", BestEffortOrder::default())?,
            cpu_limit: section.take_with("best-effort-limit", None, parse_cpu_limit)?,
        })
    }
}

/// Parses a limit in percent, such as `130`.
fn parse_cpu_limit(text: &str) -> Result<Option<u32>, String> {
    let percent = text.parse().ok();
    let valid = percent.filter(|percent| (1..=MAX_CPU_LIMIT).contains(percent));
    match valid {
        Some(percent) => Ok(Some(percent)),
        None => Err(format!("not a whole number from 1 to {MAX_CPU_LIMIT}")),
    }
}

/// Times of the owner of jobs and of the agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobsConfig {
    /// Length of a lease on a worker: key `lease`.
    pub lease: Duration,
    /// Longest lease that a worker accepts: key `lease-max`.
    pub lease_max: Duration,
    /// Time for which an agent keeps runs alive without the owner: key `agent-hold`.
    pub agent_hold: Duration,
    /// Time for which an owner that lost the store lets runs go on: key `owner-hold`.
    pub owner_hold: Duration,
    /// Time after which an owner that says nothing to the store is replaced: key
    /// `owner-ttl`.
    pub owner_ttl: Duration,
    /// Time between two confirmations of the owner by the store: key `owner-renew`.
    pub owner_renew: Duration,
    /// Time for which the state of an ended job is told: key `keep-ended`.
    pub keep_ended: Duration,
    /// Order and limit of best-effort tasks.
    pub best_effort: BestEffortConfig,
}

impl Default for JobsConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(4),
            lease_max: Duration::from_secs(10),
            agent_hold: Duration::from_secs(5),
            owner_hold: Duration::from_secs(8),
            owner_ttl: Duration::from_millis(1_500),
            owner_renew: Duration::from_millis(400),
            keep_ended: Duration::from_secs(240),
            best_effort: BestEffortConfig::default(),
        }
    }
}

impl JobsConfig {
    /// Takes the settings from the section `[jobs]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem.
    pub fn take(section: &mut Section) -> Result<Self, ConfigError> {
        let base = Self::default();
        let time = duration(MAX_TIME);
        Ok(Self {
            lease: section.take_with("lease", base.lease, &time)?,
            lease_max: section.take_with("lease-max", base.lease_max, &time)?,
            agent_hold: section.take_with("agent-hold", base.agent_hold, &time)?,
            owner_hold: section.take_with("owner-hold", base.owner_hold, &time)?,
            owner_ttl: section.take_with("owner-ttl", base.owner_ttl, &time)?,
            owner_renew: section.take_with("owner-renew", base.owner_renew, &time)?,
            keep_ended: section.take_with("keep-ended", base.keep_ended, &time)?,
            best_effort: BestEffortConfig::take(section)?,
        })
    }
}

/// What the settings of entries and agents for batch jobs share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteBase {
    /// Name of the process's VM: `[site] name`.
    pub name: NodeName,
    /// Its availability zone: `[site] zone`.
    pub zone: ZoneName,
    /// Address for links of entries: `[site] links`.
    pub links: SocketAddr,
    /// Address of the platform's store: `[site] store`.
    pub store: SocketAddr,
    /// Address of the metrics page: `[site] metrics`; none is served without it.
    pub metrics: Option<SocketAddr>,
    /// Memory and descriptors of the VM: section `[vm]`.
    pub vm: VmConfig,
    /// Times of ownership and leases: section `[jobs]`.
    pub jobs: JobsConfig,
    /// Evacuation of availability zones: section `[evacuation]`; none if not enabled.
    pub evacuation: Option<EvacuationConfig>,
}

impl SiteBase {
    /// Takes the shared settings from the section `[site]`, and all of `[vm]` and `[jobs]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem.
    pub fn take(document: &mut Document, site: &mut Section) -> Result<Self, ConfigError> {
        let mut jobs = document.take("jobs");
        let mut vm = document.take("vm");
        let base = Self {
            name: site.require("name")?,
            zone: site.require("zone")?,
            links: site.require("links")?,
            store: site.require("store")?,
            metrics: site.take_with("metrics", None, |text| text.parse().map(Some))?,
            vm: VmConfig::take(&mut vm)?,
            jobs: JobsConfig::take(&mut jobs)?,
            evacuation: EvacuationConfig::take(document)?,
        };
        vm.finish()?;
        jobs.finish()?;
        Ok(base)
    }
}

/// Whether a process's settings are for batch jobs on the users' platform.
pub fn is_site(text: &[u8]) -> bool {
    Document::parse(text).is_ok_and(|mut document| {
        let name = document.take("site").take_or("name", String::new());
        name.is_ok_and(|name| !name.is_empty())
    })
}
