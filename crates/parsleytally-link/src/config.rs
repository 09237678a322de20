//! Settings of links.

use std::time::Duration;

use parsleytally::configs::{ConfigError, Section};

use crate::{HEARTBEAT_INTERVAL, Key, Keys, SILENCE_LIMIT};

/// Time limit for connecting and the handshake.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);

/// Settings of links, section `[link]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkConfig {
    /// Keys in force: `key`, and `other-key` while keys are rotated.
    pub keys: Keys,
    /// Time without an outgoing frame after which a keep-alive is sent.
    pub heartbeat: Duration,
    /// Time limit for receiving the next chunk and for writing one; then the link closes.
    pub silence: Duration,
    /// Time limit for connecting and the handshake.
    pub handshake: Duration,
}

impl LinkConfig {
    /// Settings with the default durations.
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            heartbeat: HEARTBEAT_INTERVAL,
            silence: SILENCE_LIMIT,
            handshake: HANDSHAKE_LIMIT,
        }
    }

    /// Reads the settings from the section `[link]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] when a key is missing or invalid; the error does not
    /// contain the key.
    pub fn take(mut section: Section) -> Result<Self, ConfigError> {
        let current = section.require::<String>("key")?;
        let other = section.take_or("other-key", String::new())?;
        section.finish()?;
        let other = Some(other).filter(|text| !text.is_empty());
        let keys = Keys {
            current: parse_key("key", &current)?,
            other: other
                .map(|text| parse_key("other-key", &text))
                .transpose()?,
        };
        Ok(Self::new(keys))
    }
}

fn parse_key(name: &str, text: &str) -> Result<Key, ConfigError> {
    text.parse::<Key>().map_err(|error| ConfigError::BadValue {
        section: "link".to_owned(),
        key: name.to_owned(),
        value: "(hidden)".to_owned(),
        reason: error.to_string(),
    })
}
