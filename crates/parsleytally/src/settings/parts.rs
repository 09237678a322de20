//! Splits updates into parts that fit into a frame of a link, and assembles them.

use serde::{Deserialize, Serialize};

use super::{Record, RecordChange, Update};
use crate::types::Revision;

/// Size of keys and texts, in bytes, at which the next part begins.
const MAX_PART_BYTES: usize = 256 << 10;
/// Maximum parts of one update; updates with more parts are not assembled.
const MAX_PARTS: u32 = 4_096;

/// One part of an update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Revision after which the changes start; `None` for a full update.
    pub from: Option<Revision>,
    /// Revision of the replica after the whole update.
    pub revision: Revision,
    /// Index of the part, from 0.
    pub index: u32,
    /// Number of parts of the update.
    pub count: u32,
    /// Changes in this part; only puts in a full update.
    pub changes: Vec<RecordChange>,
}

impl Update {
    /// Splits the update into at least one part.
    pub fn into_parts(self) -> Vec<Part> {
        let (from, revision, changes) = match self {
            Self::Full { revision, records } => {
                let puts = records.into_iter().map(RecordChange::Put);
                (None, revision, puts.collect())
            }
            Self::Delta {
                from,
                revision,
                changes,
            } => (Some(from), revision, changes),
        };
        let groups = split(changes);
        let count = u32::try_from(groups.len()).unwrap_or(u32::MAX);
        let parts = (0..count).zip(groups).map(|(index, changes)| Part {
            from,
            revision,
            index,
            count,
            changes,
        });
        parts.collect()
    }
}

fn split(changes: Vec<RecordChange>) -> Vec<Vec<RecordChange>> {
    let mut groups = vec![Vec::new()];
    let mut bytes = 0;
    for change in changes {
        bytes += change.size();
        if let Some(group) = groups.last_mut() {
            group.push(change);
        }
        if bytes >= MAX_PART_BYTES {
            groups.push(Vec::new());
            bytes = 0;
        }
    }
    groups
}

/// Assembles updates from the parts that one sender transmits.
#[derive(Debug, Default)]
pub struct Assembler {
    parts: Vec<Part>,
}

impl Assembler {
    /// Adds one part and returns the update once it is complete.
    ///
    /// A part out of order discards the parts collected so far.
    pub fn push(&mut self, part: Part) -> Option<Update> {
        let in_order = match self.parts.last() {
            Some(last) => follows(last, &part),
            None => part.index == 0,
        };
        if !in_order {
            self.parts.clear();
        }
        if part.index as usize != self.parts.len() || part.count > MAX_PARTS {
            return None;
        }
        let complete = part.index + 1 == part.count;
        self.parts.push(part);
        complete.then(|| join(std::mem::take(&mut self.parts)))?
    }
}

fn follows(last: &Part, next: &Part) -> bool {
    let header = |part: &Part| (part.from, part.revision, part.count);
    header(last) == header(next) && next.index == last.index + 1
}

fn join(parts: Vec<Part>) -> Option<Update> {
    let first = parts.first()?;
    let (from, revision) = (first.from, first.revision);
    let changes = parts.into_iter().flat_map(|part| part.changes);
    let Some(from) = from else {
        let records = changes.map(into_record).collect::<Option<_>>()?;
        return Some(Update::Full { revision, records });
    };
    Some(Update::Delta {
        from,
        revision,
        changes: changes.collect(),
    })
}

fn into_record(change: RecordChange) -> Option<Record> {
    match change {
        RecordChange::Put(record) => Some(record),
        RecordChange::Delete { .. } => None,
    }
}
