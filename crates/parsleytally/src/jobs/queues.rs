//! Queues: where jobs are submitted, and how they are treated.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Name of a queue.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
pub struct QueueName(pub Arc<str>);

/// How the jobs of one queue are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub name: QueueName,
    /// Host that clients address.
    pub host: String,
    /// Beginning of the paths that clients address.
    pub prefix: String,
    /// Pool of workers that run the tasks.
    pub service: Arc<str>,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Runs of one task that may fail before the job has failed.
    pub max_attempts: u32,
    /// Time that the objective allows, in percent of the longest chain of work.
    pub stretch_percent: u64,
    /// Time beside the work that the objective allows, in milliseconds.
    pub slack_ms: u64,
    /// Longest time for the answer to a client, in milliseconds.
    pub timeout_ms: u64,
}

/// The queues of one version of the settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueTable {
    /// Version of the settings.
    pub version: u64,
    /// Largest body of a client's request, in bytes.
    pub body_limit: usize,
    by_host: HashMap<String, Vec<Arc<QueuePolicy>>>,
    by_name: HashMap<QueueName, Arc<QueuePolicy>>,
}

impl QueueTable {
    /// Builds the table of `queues`.
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
            // The longest prefix wins, so it is tried first.
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        }
        table
    }

    /// The queue that `host` and `path` address, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<QueuePolicy>, &'a str)> {
        let queues = self.by_host.get(host)?;
        queues.iter().find_map(|queue| {
            let rest = path.strip_prefix(queue.prefix.as_str())?;
            Some((queue, rest))
        })
    }

    /// The queue called `name`.
    pub fn get(&self, name: &QueueName) -> Option<&Arc<QueuePolicy>> {
        self.by_name.get(name)
    }

    /// All queues.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<QueuePolicy>> {
        self.by_name.values()
    }
}
