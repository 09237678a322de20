//! How a process reaches the platform's store: section `[store]` of its settings.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::check::{at_least_one, duration};
use super::{ConfigError, Document};

/// Longest deadline and longest pause.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Addresses of the store and the bounds of a process's calls to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreConfig {
    /// Addresses of the store's HTTP gateway, tried in turn: key `endpoints`, split by commas.
    pub endpoints: Vec<SocketAddr>,
    /// Time within which a call is answered or given up: key `deadline`.
    pub deadline: Duration,
    /// Time after which a read is also sent over a new connection: key `hedge-after`.
    pub hedge_after: Duration,
    /// Calls a second that the process sends at most on average: key `rate`.
    pub rate: u32,
    /// Calls that it may send at once: key `burst`.
    pub burst: u32,
    /// First pause after a failed call, doubled by each further one: key `backoff-min`.
    pub backoff_min: Duration,
    /// Longest pause after failed calls: key `backoff-max`.
    pub backoff_max: Duration,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            deadline: Duration::from_secs(6),
            hedge_after: Duration::from_millis(1_500),
            rate: 50,
            burst: 100,
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
        }
    }
}

impl StoreConfig {
    /// Takes the section `[store]` out of a process's settings.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem.
    pub fn take(document: &mut Document) -> Result<Self, ConfigError> {
        let base = Self::default();
        let mut store = document.take("store");
        let wait = duration(MAX_WAIT);
        let config = Self {
            endpoints: store.take_with("endpoints", base.endpoints, parse_addresses)?,
            deadline: store.take_with("deadline", base.deadline, &wait)?,
            hedge_after: store.take_with("hedge-after", base.hedge_after, &wait)?,
            rate: store.take_with("rate", base.rate, at_least_one)?,
            burst: store.take_with("burst", base.burst, at_least_one)?,
            backoff_min: store.take_with("backoff-min", base.backoff_min, &wait)?,
            backoff_max: store.take_with("backoff-max", base.backoff_max, &wait)?,
        };
        store.finish()?;
        Ok(config)
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, std::net::AddrParseError> {
    text.split(',').map(|part| part.trim().parse()).collect()
}
