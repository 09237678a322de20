//! Store keys of batch jobs.

use std::net::SocketAddr;

use parsleytally::jobs::JobId;
use parsleytally::types::NodeName;

/// Prefix of the keys that the owner watches: the ownership, agents and jobs.
pub(crate) const FLEET: &str = "/parsleytally/fleet/";
/// Prefix of the two ownership keys and of the entries' addresses.
pub(crate) const OWNERSHIP: &str = "/parsleytally/fleet/lead-";
/// Key of the owner's record; written only when an entry becomes the owner.
pub(crate) const EPOCH: &str = "/parsleytally/fleet/lead-epoch";
/// Key that exists only while the owner's lease is renewed.
pub(crate) const ALIVE: &str = "/parsleytally/fleet/lead-alive";
/// Prefix of the keys of the entries' addresses; has the prefix [`OWNERSHIP`], so that one
/// read returns both.
pub(crate) const ENTRIES: &str = "/parsleytally/fleet/lead-entry-";
/// Prefix of the keys of job records.
pub(crate) const JOBS: &str = "/parsleytally/fleet/jobs/";
/// Prefix of the keys of progress records of jobs.
pub(crate) const PROGRESS: &str = "/parsleytally/progress/";

/// Prefix of the keys of tombstones: jobs that were cancelled before the store had them.
pub(crate) const TOMBSTONES: &str = "/parsleytally/tombstones/";

/// Key of what owners have learned about the contention between images.
pub(crate) const LEARNED: &str = "/parsleytally/learned/contention";

pub(crate) use parsleytally_platform::jobs::{AGENTS, FLEET_CHANGED, fleet_changed};

/// Key of a job's record.
pub(crate) fn job(id: JobId) -> String {
    format!("{JOBS}{id}")
}

/// Key of a job's progress record.
pub(crate) fn progress(id: JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// Key of a job's tombstone.
pub(crate) fn tombstone(id: JobId) -> String {
    format!("{TOMBSTONES}{id}")
}

/// Job ID in a key below `prefix`; `None` if the key holds no valid one.
pub(crate) fn parse_job(prefix: &str, key: &str) -> Option<JobId> {
    key.strip_prefix(prefix)?.parse().ok()
}

/// Key of an agent's address.
pub(crate) fn agent(node: &NodeName) -> String {
    format!("{AGENTS}{node}")
}

/// Name of the agent in an address key; `None` if the key holds no valid one.
pub(crate) fn parse_agent(key: &str) -> Option<NodeName> {
    NodeName::new(key.strip_prefix(AGENTS)?).ok()
}

/// Key of an entry's address.
pub(crate) fn entry(node: &NodeName) -> String {
    format!("{ENTRIES}{node}")
}

/// Name of the entry in an address key; `None` if the key holds no valid one.
pub(crate) fn parse_entry(key: &str) -> Option<NodeName> {
    NodeName::new(key.strip_prefix(ENTRIES)?).ok()
}

/// Most characters of a stored value in a log line.
const MAX_EXCERPT: usize = 80;

/// Address in the value of an address key; `None` if none can be reached at it.
pub(crate) fn parse_address(value: &[u8]) -> Option<SocketAddr> {
    let address: SocketAddr = std::str::from_utf8(value).ok()?.parse().ok()?;
    (address.port() != 0).then_some(address)
}

/// The beginning of a stored value, for a log line.
pub(crate) fn excerpt(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value);
    text.chars().take(MAX_EXCERPT).collect()
}
