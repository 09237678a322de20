//! Inputs and outputs of a settings replica, and the updates between replicas.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::SettingPath;
use crate::types::Revision;

/// A settings text with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key in the store.
    pub key: String,
    /// Revision of the key's last change.
    pub revision: Revision,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Current text in the store, valid or not.
    pub text: Vec<u8>,
    /// Last valid text, if `text` is invalid and the sender knows one.
    pub last_valid: Option<ValidText>,
}

/// A valid text of a key, which stays in force while later texts are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidText {
    /// Revision of the text.
    pub revision: Revision,
    /// The text.
    pub text: Arc<[u8]>,
}

/// A change of one settings text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordChange {
    /// The text was set.
    Put(Record),
    /// The text was deleted.
    Delete {
        /// Key in the store.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

impl RecordChange {
    /// Key in the store.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(record) => &record.key,
            Self::Delete { key, .. } => key,
        }
    }

    /// Size of the key and texts in bytes.
    pub(super) fn size(&self) -> usize {
        match self {
            Self::Put(record) => {
                let last_valid = record
                    .last_valid
                    .as_ref()
                    .map_or(0, |valid| valid.text.len());
                record.key.len() + record.text.len() + last_valid
            }
            Self::Delete { key, .. } => key.len(),
        }
    }

    /// Revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(record) => record.revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// An update of a replica, from the store or from another replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// All settings in the requested scope at one revision.
    Full {
        /// Revision of the settings.
        revision: Revision,
        /// The settings at that revision.
        records: Vec<Record>,
    },
    /// All changes in the requested scope between two revisions.
    Delta {
        /// Revision after which the changes start.
        from: Revision,
        /// Revision up to which the changes are complete.
        revision: Revision,
        /// The changes, in the order of their revisions.
        changes: Vec<RecordChange>,
    },
}

impl Update {
    /// Revision of the replica after the update.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Full { revision, .. } | Self::Delta { revision, .. } => *revision,
        }
    }
}

/// Where an update comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// The platform's store itself.
    Store,
    /// Another replica.
    Peer,
}

/// An input of [`Settings::step`](super::Settings::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// An update was received.
    Update(Update, Source),
    /// The store reported its revision and a summary of the settings keys.
    StoreSummary {
        /// Revision of the store.
        revision: Revision,
        /// Highest revision of a settings key; 0 without any.
        last_change: Revision,
        /// Number of settings keys.
        count: u64,
    },
}

/// An output of [`Settings::step`](super::Settings::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// The revision or settings in force changed.
    Applied {
        /// Revision in force now.
        revision: Revision,
        /// Paths whose settings in force were added, changed or removed.
        paths: Vec<SettingPath>,
    },
    /// A text in the store is invalid and was not applied.
    Invalid {
        /// Key in the store.
        key: String,
        /// Why the text is invalid.
        reason: String,
    },
    /// Changes were missed; the caller must fetch them from the store or a peer.
    Missed {
        /// Revision of the replica.
        local: Revision,
    },
    /// The store is at a lower revision than the settings in force, which stay.
    StoreBehind {
        /// Revision of the store.
        store: Revision,
        /// Revision in force.
        local: Revision,
    },
}
