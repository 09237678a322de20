//! Which settings entries and agents need, and digests that compare two replicas.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::SettingPath;
use crate::types::Revision;

/// The part of the settings that a kind of replica needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All settings, for entries.
    All,
    /// Settings of the deployment and of services, for agents.
    Agents,
}

impl Scope {
    pub(super) fn covers(self, key: &str) -> bool {
        match self {
            Self::All => true,
            Self::Agents => matches!(
                SettingPath::from_key(key),
                Ok(SettingPath::Deployment | SettingPath::Service(_))
            ),
        }
    }
}

/// State of a replica, sent to another one to request the changes it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Revision of the replica; 0 before its first update.
    pub revision: Revision,
    /// Digest of the replica's keys and their revisions.
    pub digest: u64,
    /// Whether any key has an invalid text and no known valid one.
    pub incomplete: bool,
}

/// Digests of a replica's keys and revisions for each scope, updated incrementally.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Digests {
    all: u64,
    agents: u64,
}

impl Digests {
    /// Adds a key at a revision, or removes it if it was added before.
    pub(super) fn toggle(&mut self, key: &str, revision: Revision) {
        let mut bytes = key.as_bytes().to_vec();
        bytes.extend(revision.0.to_le_bytes());
        let digest = xxh3_64(&bytes);
        self.all ^= digest;
        if Scope::Agents.covers(key) {
            self.agents ^= digest;
        }
    }

    pub(super) fn of(&self, scope: Scope) -> u64 {
        match scope {
            Scope::All => self.all,
            Scope::Agents => self.agents,
        }
    }
}
