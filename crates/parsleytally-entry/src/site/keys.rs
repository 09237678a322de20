//! Keys of the store.

use parsleytally::jobs::JobId;
use parsleytally::types::NodeName;

/// Prefix of what the owner watches: the ownership, agents and jobs.
pub(crate) const FLEET: &str = "/parsleytally/fleet/";
/// Prefix of the two keys of the ownership.
pub(crate) const LEAD: &str = "/parsleytally/fleet/lead-";
/// Who owns the jobs; changes only with the owner.
pub(crate) const EPOCH: &str = "/parsleytally/fleet/lead-epoch";
/// Exists while the owner renews its lease.
pub(crate) const ALIVE: &str = "/parsleytally/fleet/lead-alive";
/// Prefix of the records of jobs.
pub(crate) const JOBS: &str = "/parsleytally/fleet/jobs/";
/// Prefix of the records of what became of jobs.
pub(crate) const PROGRESS: &str = "/parsleytally/progress/";

pub(crate) use parsleytally_platform::jobs::AGENTS;

/// Key of a job.
pub(crate) fn job(id: JobId) -> String {
    format!("{JOBS}{id}")
}

/// Key of what became of a job.
pub(crate) fn progress(id: JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// The job that a key below `prefix` belongs to.
pub(crate) fn job_of(prefix: &str, key: &str) -> Option<JobId> {
    key.strip_prefix(prefix)?.parse().ok()
}

/// Key of an agent's address.
pub(crate) fn agent(node: &NodeName) -> String {
    format!("{AGENTS}{node}")
}

/// The agent that a key belongs to.
pub(crate) fn agent_of(key: &str) -> Option<NodeName> {
    NodeName::new(key.strip_prefix(AGENTS)?).ok()
}
