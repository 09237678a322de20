//! Who may change a team's settings: `/parsleytally/teams/{team}/token`.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{ConfigError, Document};

/// BLAKE3 hash of a bearer token.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenHash(pub [u8; 32]);

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenHash(..)")
    }
}

impl std::str::FromStr for TokenHash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut hash = [0; 32];
        let digits = text.as_bytes();
        if digits.len() != 2 * hash.len() || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err("expected 64 hexadecimal digits".to_owned());
        }
        for (byte, pair) in hash.iter_mut().zip(digits.chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|e| e.to_string())?;
            *byte = u8::from_str_radix(pair, 16).map_err(|e| e.to_string())?;
        }
        Ok(Self(hash))
    }
}

/// Hashes of a team's bearer tokens; the tokens themselves are stored nowhere.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenConfig {
    /// Hash of the token in use: key `hash`.
    pub hash: Option<TokenHash>,
    /// Hash of a second token that is accepted while tokens are changed: key `previous`.
    pub previous: Option<TokenHash>,
}

impl TokenConfig {
    /// Parses a settings text with the one section `[token]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem; nothing is accepted in part.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let mut document = Document::parse(text)?;
        let mut token = document.take("token");
        let config = Self {
            hash: Some(token.require("hash")?),
            previous: token.take_with("previous", None, |text| text.parse().map(Some))?,
        };
        token.finish()?;
        document.finish()?;
        Ok(config)
    }

    /// Hashes of the tokens that are accepted.
    pub fn hashes(&self) -> impl Iterator<Item = &TokenHash> {
        self.hash.iter().chain(&self.previous)
    }
}
