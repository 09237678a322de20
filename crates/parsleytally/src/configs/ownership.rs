//! Settings of ownership, leases and journal: section `[ownership]`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ConfigError, Section};

/// Fewest confirmation intervals in a hold time.
const MIN_INTERVALS: u32 = 4;

/// How shards are owned and how long runs outlive a confirmation by the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipConfig {
    /// How long a run may outlive a confirmation of its owner: key `hold`.
    pub hold: Duration,
    /// Whether runs may be started before they are journaled: key `ahead`.
    pub ahead: bool,
    /// Time between two confirmations: key `interval`.
    pub interval: Duration,
    /// Time without a sign of life after which an entry is replaced: key `grace`.
    pub grace: Duration,
    /// Shortest time between two journal writes of a shard: key `flush`.
    pub flush: Duration,
    /// Faulty runs after which a task is given up: key `faults`.
    pub faults: u16,
}

impl Default for OwnershipConfig {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(120),
            ahead: false,
            interval: Duration::from_secs(2),
            grace: Duration::from_secs(6),
            flush: Duration::from_millis(500),
            faults: 5,
        }
    }
}

impl OwnershipConfig {
    /// Takes the keys out of `section`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first value that is not accepted.
    pub fn take(section: &mut Section) -> Result<Self, ConfigError> {
        let base = Self::default();
        let config = Self {
            hold: section.take_with("hold", base.hold, humantime::parse_duration)?,
            ahead: section.take_or("ahead", base.ahead)?,
            interval: section.take_with("interval", base.interval, humantime::parse_duration)?,
            grace: section.take_with("grace", base.grace, humantime::parse_duration)?,
            flush: section.take_with("flush", base.flush, humantime::parse_duration)?,
            faults: section.take_or("faults", base.faults)?,
        };
        config.check()?;
        Ok(config)
    }

    /// Refuses a hold time that one lost confirmation would use up.
    fn check(&self) -> Result<(), ConfigError> {
        if self.hold >= self.interval * MIN_INTERVALS {
            return Ok(());
        }
        Err(ConfigError::BadValue {
            section: "ownership".to_owned(),
            key: "hold".to_owned(),
            value: humantime::format_duration(self.hold).to_string(),
            reason: format!("it is shorter than {MIN_INTERVALS} times the interval"),
        })
    }
}
