//! Recent changes, from which deltas for other replicas are built.

use std::collections::VecDeque;

use super::RecordChange;
use crate::types::Revision;

/// Maximum number of changes kept; a replica that lacks older ones needs a full update.
const MAX_CHANGES: usize = 4_096;
/// Maximum size of the keys and texts kept, in bytes.
const MAX_BYTES: usize = 4 << 20;

/// Recent changes in the order in which they were applied.
#[derive(Debug, Default)]
pub(super) struct History {
    changes: VecDeque<RecordChange>,
    bytes: usize,
    /// Revision after which every change is kept; `None` before the first full update.
    complete_after: Option<Revision>,
}

impl History {
    /// Drops all changes; the history is complete after `revision`.
    pub(super) fn reset(&mut self, revision: Revision) {
        *self = Self {
            complete_after: Some(revision),
            ..Self::default()
        };
    }

    pub(super) fn push(&mut self, change: RecordChange) {
        self.bytes += change.size();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= oldest.size();
            self.complete_after = self.complete_after.max(Some(oldest.revision()));
        }
    }

    /// Changes after `revision`; `None` if some of them are no longer kept.
    pub(super) fn after(&self, revision: Revision) -> Option<impl Iterator<Item = &RecordChange>> {
        let complete = self.complete_after.is_some_and(|start| revision >= start);
        let newer = move |change: &&RecordChange| change.revision() > revision;
        complete.then(|| self.changes.iter().filter(newer))
    }
}
