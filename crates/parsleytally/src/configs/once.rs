//! Settings of idempotency keys: section `[once]`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ConfigError, Section};
use crate::types::Bytes;

/// How long and how many idempotency keys are remembered.
///
/// `ttl` must be the same at all entries and agents of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceConfig {
    /// How long a key is remembered after its request has settled: key `ttl`.
    pub ttl: Duration,
    /// Keys that one agent remembers: key `keys`.
    pub keys: usize,
    /// Memory for remembered answers of one agent: key `memory`.
    pub memory: Bytes,
    /// Largest answer that is remembered whole: key `max-answer`.
    pub max_answer: Bytes,
}

impl Default for OnceConfig {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(120),
            keys: 16_384,
            memory: Bytes(8 << 20),
            max_answer: Bytes(64 << 10),
        }
    }
}

impl OnceConfig {
    /// Takes the keys out of `section`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first value that is not accepted.
    pub fn take(section: &mut Section) -> Result<Self, ConfigError> {
        let base = Self::default();
        Ok(Self {
            ttl: section.take_with("ttl", base.ttl, humantime::parse_duration)?,
            keys: section.take_or("keys", base.keys)?,
            memory: section.take_or("memory", base.memory)?,
            max_answer: section.take_or("max-answer", base.max_answer)?,
        })
    }
}
