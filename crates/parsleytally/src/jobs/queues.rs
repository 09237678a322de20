//! Queues to which clients submit jobs, and the policy of each.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Name of a queue.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
pub struct QueueName(pub Arc<str>);

/// Settings of a queue, which apply to all its jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub name: QueueName,
    /// Host to which clients send requests.
    pub host: String,
    /// Prefix of the paths to which clients send requests.
    pub prefix: String,
    /// Pool of workers that run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task at which the job fails.
    pub max_attempts: u32,
    /// Part of the objective that grows with the job, in percent of its critical path.
    pub stretch_percent: u64,
    /// Fixed part of the objective, in milliseconds.
    pub slack_ms: u64,
    /// Timeout of a client's request, in milliseconds.
    pub timeout_ms: u64,
}

/// The queues of one version of the settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueTable {
    /// Version of the settings.
    pub version: u64,
    /// Maximum body size of a client's request, in bytes.
    pub body_limit: usize,
    by_host: HashMap<String, Vec<Arc<QueuePolicy>>>,
    by_name: HashMap<QueueName, Arc<QueuePolicy>>,
}

impl QueueTable {
    /// Creates the table from `queues`.
    pub fn new(version: u64, body_limit: usize, queues: Vec<QueuePolicy>) -> Self {
        let mut table = Self {
            version,
            body_limit,
            ..Self::default()
        };
        for queue in queues {
            let queue = Arc::new(queue);
            table.by_name.insert(queue.name.clone(), queue.clone());
            let host = table.by_host.entry(queue.host.clone()).or_default();
            host.push(queue);
        }
        for queues in table.by_host.values_mut() {
            // `find` returns the first match, so the longest prefix comes first.
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        }
        table
    }

    /// Returns the queue for a request to `host` and `path`, and the path after its prefix.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<QueuePolicy>, &'a str)> {
        let queues = self.by_host.get(host)?;
        queues.iter().find_map(|queue| {
            let rest = path.strip_prefix(queue.prefix.as_str())?;
            Some((queue, rest))
        })
    }

    /// Returns the queue `name`.
    pub fn get(&self, name: &QueueName) -> Option<&Arc<QueuePolicy>> {
        self.by_name.get(name)
    }

    /// Iterates over all queues.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<QueuePolicy>> {
        self.by_name.values()
    }
}
