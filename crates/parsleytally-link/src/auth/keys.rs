//! Shared keys; their values never appear in errors or debug output.

use std::fmt;
use std::str::FromStr;

use rand::TryRngCore;
use rand::rngs::OsRng;
use snafu::{OptionExt, Snafu, ensure};
use subtle::ConstantTimeEq;

/// Length of a key, in bytes.
pub const KEY_BYTES: usize = 32;

/// Error for a text that is not a key; does not contain the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a link key is {} hexadecimal digits", 2 * KEY_BYTES))]
pub struct InvalidKey;

/// Secret shared by all processes of a deployment.
#[derive(Clone)]
pub struct Key([u8; KEY_BYTES]);

impl Key {
    /// Creates a key from its bytes.
    pub const fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Generates a key with the system's random generator.
    ///
    /// # Panics
    ///
    /// Panics when the system has no random generator.
    pub fn random() -> Self {
        Self(random_bytes())
    }

    pub(super) fn bytes(&self) -> &[u8; KEY_BYTES] {
        &self.0
    }
}

/// Generates bytes with the system's random generator.
pub(super) fn random_bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    let filled = OsRng.try_fill_bytes(&mut bytes);
    filled.expect("the system has a random generator");
    bytes
}

impl FromStr for Key {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        ensure!(
            text.len() == 2 * KEY_BYTES && text.is_ascii(),
            InvalidKeySnafu
        );
        let mut bytes = [0; KEY_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digit = |c: u8| char::from(c).to_digit(16).context(InvalidKeySnafu);
            let value = digit(pair[0])? * 16 + digit(pair[1])?;
            *byte = u8::try_from(value).ok().context(InvalidKeySnafu)?;
        }
        Ok(Self(bytes))
    }
}

impl PartialEq for Key {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for Key {}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(redacted)")
    }
}

/// Keys in force: one to create proofs with, and one or two to accept.
///
/// A key is rotated in three rounds of restarts: first every process accepts the
/// new key (`current` old, `other` new), then uses it for its proofs (`current` new,
/// `other` old), then drops the old key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    /// Key for the proofs of this process.
    pub current: Key,
    /// Additional key accepted from peers.
    pub other: Option<Key>,
}

impl Keys {
    /// Creates a set of one key.
    pub fn single(current: Key) -> Self {
        Self {
            current,
            other: None,
        }
    }

    pub(super) fn accepted(&self) -> impl Iterator<Item = &Key> {
        [Some(&self.current), self.other.as_ref()]
            .into_iter()
            .flatten()
    }
}
