//! Settings of one service: `/parsleytally/teams/{team}/services/{name}`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::check::{class, duration};
use super::{ConfigError, Document};

/// Longest target and longest timeout.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A latency-critical service as its team declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Latency that answers should keep at the 99th percentile: key `target`.
    pub target: Duration,
    /// Time after which a caller gets an error: key `timeout`.
    pub timeout: Duration,
    /// Class that services of the same behaviour share: key `class`.
    pub class: String,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            target: Duration::from_millis(100),
            timeout: Duration::from_secs(10),
            class: "default".to_owned(),
        }
    }
}

impl ServiceConfig {
    /// Parses a settings text with the one section `[service]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem; nothing is accepted in part.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let base = Self::default();
        let mut document = Document::parse(text)?;
        let mut service = document.take("service");
        let config = Self {
            target: service.take_with("target", base.target, duration(MAX_TIMEOUT))?,
            timeout: service.take_with("timeout", base.timeout, duration(MAX_TIMEOUT))?,
            class: service.take_with("class", base.class, class)?,
        };
        service.finish()?;
        document.finish()?;
        Ok(config)
    }
}
