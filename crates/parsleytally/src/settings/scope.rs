//! Which settings a kind of holder needs, and digests of what one holds.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::SettingPath;
use crate::types::Revision;

/// Settings that a kind of holder needs.
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

/// What a holder tells of its settings to learn what it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Revision that the holder has; 0 before its first settings.
    pub revision: Revision,
    /// Digest of its keys and their revisions.
    pub digest: u64,
    /// Whether a text is not valid and no last valid one is known.
    pub incomplete: bool,
}

/// Digests of a holder's keys and revisions, kept as they change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Digests {
    all: u64,
    agents: u64,
}

impl Digests {
    /// Adds a key at a revision, or takes it out again.
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
