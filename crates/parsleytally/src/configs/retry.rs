//! Settings of an entry's retries: section `[retry]`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ConfigError, Section};

/// When a failed request is sent again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RetryConfig {
    /// Retries after an unknown outcome, as a share of first attempts: key `share`.
    pub share: f64,
    /// Retries after a proven "not run", as a share of first attempts: key `reroute-share`.
    pub reroute_share: f64,
    /// Retries that may be saved up: key `burst`.
    pub burst: u32,
    /// Attempts of one request, the first included: key `attempts`.
    pub attempts: u32,
    /// Back-off before the second retry, doubled for each later one: key `backoff`.
    pub backoff: Duration,
    /// Longest back-off: key `max-backoff`.
    pub max_backoff: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            share: 0.1,
            reroute_share: 0.5,
            burst: 20,
            attempts: 4,
            backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(500),
        }
    }
}

impl RetryConfig {
    /// Takes the keys out of `section`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first value that is not accepted.
    pub fn take(section: &mut Section) -> Result<Self, ConfigError> {
        let base = Self::default();
        Ok(Self {
            share: section.take_with("share", base.share, share)?,
            reroute_share: section.take_with("reroute-share", base.reroute_share, share)?,
            burst: section.take_or("burst", base.burst)?,
            attempts: section.take_or("attempts", base.attempts)?,
            backoff: section.take_with("backoff", base.backoff, humantime::parse_duration)?,
            max_backoff: section.take_with(
                "max-backoff",
                base.max_backoff,
                humantime::parse_duration,
            )?,
        })
    }
}

fn share(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(share) if (0.0..=1.0).contains(&share) => Ok(share),
        Ok(_) => Err("must lie between 0 and 1".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}
