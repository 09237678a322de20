//! Shares of the queues of batch jobs: section `[shares]` of entries.

use std::collections::BTreeMap;

use super::check::at_least_one;
use super::{ConfigError, Document};

/// Quota of a queue without one, in percent of its pool.
const FULL_PERCENT: u32 = 100;

/// Share of one queue: value `WEIGHT` or `WEIGHT, QUOTA%` of a key that names the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueShare {
    /// Weight against the other queues of the pool.
    pub weight: u32,
    /// Most that its tasks may take of each resource of the pool, in percent.
    pub quota_percent: Option<u32>,
}

impl Default for QueueShare {
    fn default() -> Self {
        Self {
            weight: 1,
            quota_percent: None,
        }
    }
}

/// How scarce capacity is divided among queues.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharesConfig {
    /// Whether queues of higher priority may preempt runs of lower priority: key `preempt`.
    pub preempt: bool,
    queues: BTreeMap<String, QueueShare>,
}

impl SharesConfig {
    /// Creates the settings from the shares of `queues`.
    pub fn new(preempt: bool, queues: BTreeMap<String, QueueShare>) -> Self {
        Self { preempt, queues }
    }

    /// Takes the settings from the section `[shares]`; none if it is absent.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem.
    pub fn take(document: &mut Document) -> Result<Option<Self>, ConfigError> {
        if !document.contains("shares") {
            return Ok(None);
        }
        let mut section = document.take("shares");
        let preempt = section.take_or("preempt", false)?;
        let queues = section.take_rest(parse_share)?;
        Ok(Some(Self { preempt, queues }))
    }

    /// Share of the queue `name`; the default if it has no key.
    pub fn share(&self, name: &str) -> QueueShare {
        self.queues.get(name).copied().unwrap_or_default()
    }
}

fn parse_share(text: &str) -> Result<QueueShare, String> {
    let (weight, quota) = match text.split_once(',') {
        Some((weight, quota)) => (weight, Some(quota)),
        None => (text, None),
    };
    let weight = at_least_one(weight.trim())?;
    let quota_percent = quota.map(parse_percent).transpose()?;
    Ok(QueueShare {
        weight,
        quota_percent,
    })
}

fn parse_percent(text: &str) -> Result<u32, String> {
    let number = text.trim().strip_suffix('%').and_then(|n| n.parse().ok());
    let percent = number.filter(|percent| (1..=FULL_PERCENT).contains(percent));
    percent.ok_or_else(|| "expected a weight, or a weight and a quota of 1% to 100%".to_owned())
}
