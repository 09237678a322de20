//! Newest changes, kept for holders that lack them.

use std::collections::VecDeque;

use super::RecordChange;
use crate::types::Revision;

/// Changes kept; a holder that lacks older ones needs a full update.
const MAX_CHANGES: usize = 4_096;
/// Bytes of texts kept.
const MAX_BYTES: usize = 4 << 20;

/// Changes in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct History {
    changes: VecDeque<RecordChange>,
    bytes: usize,
    /// Revision from which on the changes are complete; none before the first state.
    floor: Option<Revision>,
}

impl History {
    /// Begins a history that is complete from `revision` on.
    pub(super) fn start(&mut self, revision: Revision) {
        *self = Self {
            floor: Some(revision),
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
            self.floor = self.floor.max(Some(oldest.revision()));
        }
    }

    /// Changes above `revision`, or none where some of them are no longer kept.
    pub(super) fn above(&self, revision: Revision) -> Option<impl Iterator<Item = &RecordChange>> {
        let complete = self.floor.is_some_and(|floor| revision >= floor);
        let newer = move |change: &&RecordChange| change.revision() > revision;
        complete.then(|| self.changes.iter().filter(newer))
    }
}
