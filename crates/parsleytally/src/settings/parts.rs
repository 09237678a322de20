//! Updates cut into parts that fit a frame of a link.

use serde::{Deserialize, Serialize};

use super::{Record, RecordChange, Update};
use crate::types::Revision;

/// Bytes of keys and texts after which a part is closed.
const MAX_PART_BYTES: usize = 256 << 10;
/// Parts of one update; more are not assembled.
const MAX_PARTS: u32 = 4_096;

/// One part of an update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Revision above which the changes are; none for all settings.
    pub from: Option<Revision>,
    /// Revision that the whole update leads to.
    pub revision: Revision,
    /// Number of the part, from 0.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Its changes; only puts where all settings are sent.
    pub changes: Vec<RecordChange>,
}

impl Update {
    /// Cuts the update into at least one part.
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
        let groups = cut(changes);
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

fn cut(changes: Vec<RecordChange>) -> Vec<Vec<RecordChange>> {
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

/// Puts the parts of updates from one sender together.
#[derive(Debug, Default)]
pub struct Assembler {
    parts: Vec<Part>,
}

impl Assembler {
    /// Takes one part; the update once its last part has come.
    ///
    /// A part out of order drops what was collected.
    pub fn push(&mut self, part: Part) -> Option<Update> {
        let fits = match self.parts.last() {
            Some(last) => follows(last, &part),
            None => part.index == 0,
        };
        if !fits {
            self.parts.clear();
        }
        if part.index as usize != self.parts.len() || part.count > MAX_PARTS {
            return None;
        }
        let complete = part.index + 1 == part.count;
        self.parts.push(part);
        complete.then(|| whole(std::mem::take(&mut self.parts)))?
    }
}

fn follows(last: &Part, next: &Part) -> bool {
    let head = |part: &Part| (part.from, part.revision, part.count);
    head(last) == head(next) && next.index == last.index + 1
}

fn whole(parts: Vec<Part>) -> Option<Update> {
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
