//! Settings of an agent's admission: part of section `[endpoint]`.

use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::{ConfigError, Section};

/// How the number of requests in service is adapted below the hard bound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
pub enum AdaptKind {
    /// Always the hard bound.
    Fixed,
    /// Hill climbing on the number of answers per second.
    #[default]
    Climb,
}

/// Bounds of one agent's endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitsConfig {
    /// Requests in service at once, never exceeded: key `slots`.
    pub slots: u32,
    /// Open connections to the endpoint, never exceeded: key `connections`.
    pub connections: u32,
    /// Requests that may wait for a slot: key `queue`.
    pub queue: u32,
    /// Lowest adapted number of requests in service: key `floor`.
    pub floor: u32,
    /// How the number in service is adapted, `fixed` or `climb`: key `adapt`.
    pub adapt: AdaptKind,
    /// How long an abandoned request counts as an open connection: key `linger`.
    pub linger: Duration,
    /// How long waiting requests may still start after the endpoint leaves: key `leave-grace`.
    pub leave_grace: Duration,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 64,
            queue: 56,
            floor: 2,
            adapt: AdaptKind::default(),
            linger: Duration::from_secs(10),
            leave_grace: Duration::from_secs(1),
        }
    }
}

impl LimitsConfig {
    /// Takes the keys out of `section`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first value that is not accepted.
    pub fn take(section: &mut Section) -> Result<Self, ConfigError> {
        let base = Self::default();
        let slots = section.take_with("slots", base.slots, positive)?;
        let at_least_slots = |text: &str| match positive(text)? {
            n if n < slots => Err(format!("must not be less than slots, {slots}")),
            n => Ok(n),
        };
        let at_most_slots = |text: &str| match positive(text)? {
            n if n > slots => Err(format!("must not be more than slots, {slots}")),
            n => Ok(n),
        };
        Ok(Self {
            slots,
            connections: section.take_with(
                "connections",
                base.connections.max(slots),
                at_least_slots,
            )?,
            queue: section.take_or("queue", base.queue)?,
            floor: section.take_with("floor", base.floor.min(slots), at_most_slots)?,
            adapt: section.take_or("adapt", base.adapt)?,
            linger: section.take_with("linger", base.linger, humantime::parse_duration)?,
            leave_grace: section.take_with(
                "leave-grace",
                base.leave_grace,
                humantime::parse_duration,
            )?,
        })
    }
}

fn positive(text: &str) -> Result<u32, String> {
    match text.parse::<u32>() {
        Ok(0) => Err("must be at least 1".to_owned()),
        Ok(n) => Ok(n),
        Err(error) => Err(error.to_string()),
    }
}
