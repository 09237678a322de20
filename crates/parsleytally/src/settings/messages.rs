//! What goes into and comes out of a holder of settings.

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
    /// Revision at which the key came to be.
    pub created: Revision,
    /// The text as it is in the store.
    pub text: Vec<u8>,
    /// Last valid text, where a holder knows it and `text` is not valid.
    pub last_valid: Option<ValidText>,
}

/// A valid text that came before one that is not valid.
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

    /// Bytes of its key and texts.
    pub(super) fn size(&self) -> usize {
        match self {
            Self::Put(record) => {
                let last_good = record.last_valid.as_ref().map_or(0, |good| good.text.len());
                record.key.len() + record.text.len() + last_good
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

/// Settings on their way from one holder, or the store, to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// All settings at a revision.
    Full {
        /// The revision.
        revision: Revision,
        /// All settings at it.
        records: Vec<Record>,
    },
    /// All changes between two revisions.
    Delta {
        /// Revision above which the changes are.
        from: Revision,
        /// Revision up to which they are.
        revision: Revision,
        /// The changes, in the order of their revisions.
        changes: Vec<RecordChange>,
    },
}

impl Update {
    /// Revision that a holder has after the update.
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
    /// Another holder.
    Peer,
}

/// An input of [`Settings::step`](super::Settings::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Settings have come.
    Update(Update, Source),
    /// The store has told the newest change under the settings' prefix.
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
    /// Settings at these paths have changed and are in force at the revision.
    Applied {
        /// Revision in force now.
        revision: Revision,
        /// Paths whose settings in force are new, changed or gone.
        paths: Vec<SettingPath>,
    },
    /// A text in the store is not valid and is kept out of force.
    Invalid {
        /// Key in the store.
        key: String,
        /// Why it is not valid.
        reason: String,
    },
    /// Changes above this revision were missed; all settings are needed.
    Missed {
        /// Revision up to which the settings are complete.
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
