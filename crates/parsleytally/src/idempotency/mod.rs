//! Idempotency keys: a keyed request runs at most once, through whichever entry.
//!
//! [`Owners`] at the entry picks the one agent that owns a key, by rendezvous
//! hash over the service's agents, and tells which agents may have owned it
//! within the time that keys are remembered. Those that live are fenced first;
//! if one has gone, nobody can tell any more whether the key has run, and the
//! request is refused. [`Table`] at the agent runs a key once, answers its
//! repeats from memory and refuses a key that comes back with another body.
//!
//! `docs/design/once.md` states the guarantee and what it leaves open.

mod owners;
mod table;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::types::ServiceKey;

pub use owners::{AgentChange, KeyOwners, Route, RouteError};
pub use table::{Conflict, Input, KeyTable, Outcome, Output, Ticket};

/// Longest accepted idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Hash of a service and an idempotency key.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct KeyHash(u128);

impl KeyHash {
    /// Hashes `key` of `service`; the same in every process.
    pub fn new(service: &ServiceKey, key: &[u8]) -> Self {
        Self(hash_of(&[
            service.team.as_str().as_bytes(),
            service.service.as_str().as_bytes(),
            key,
        ]))
    }
}

/// Hash of what a keyed request asks for: method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestHash(u128);

impl RequestHash {
    /// Hashes a request; the same in every process.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(hash_of(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// A cryptographic hash, since a team must not be able to meet another team's key.
fn hash_of(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(first)
}

#[cfg(test)]
mod tests;
