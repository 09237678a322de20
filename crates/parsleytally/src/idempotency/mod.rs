//! Idempotency keys: a keyed request runs at most once, whichever entry receives it.
//!
//! [`KeyOwners`] at the entry picks the one agent that owns a key, by rendezvous
//! hashing over the service's agents, and lists the agents that may have owned it
//! while keys are remembered. The key is fenced on those that are still reachable;
//! if one was lost, whether the key has run is unknown, and the request is refused.
//! [`KeyTable`] at the agent runs the request of a key once, answers repeated
//! requests from memory and refuses a key that is reused for another request.
//!
//! `docs/design/once.md` states the guarantee and its limits.

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
    /// Hashes `key` of `service`; equal in every process.
    pub fn new(service: &ServiceKey, key: &[u8]) -> Self {
        Self(hash_parts(&[
            service.team.as_str().as_bytes(),
            service.service.as_str().as_bytes(),
            key,
        ]))
    }
}

/// Hash of the method, path and body of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestHash(u128);

impl RequestHash {
    /// Hashes a request; equal in every process.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(hash_parts(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Hashes `parts` with their lengths. The hash is cryptographic, so that a team can't
/// produce a collision with another team's key.
fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(prefix)
}

#[cfg(test)]
mod tests;
