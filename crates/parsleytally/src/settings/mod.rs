//! Holder of the settings in force.
//!
//! Entries learn the settings from the platform's store and pass them on; agents
//! and entries that cannot reach the store learn them from entries. Every holder
//! applies the same rules:
//!
//! - A lower revision never replaces a higher one, whoever sends it.
//! - A delta applies only where it meets the held revision; otherwise changes
//!   were missed, and the holder asks for what is above its revision.
//! - A text that is not valid stays out of force. The last valid text of its key
//!   stays in force until a valid one or a deletion comes.
//!
//! A watch of the store can be silent for good. A holder therefore compares the
//! number and newest revision of the settings keys with its own from time to time
//! ([`Input::Newest`]).

mod accept;
mod history;
mod messages;
mod parts;
mod path;
mod scope;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use accept::{AcceptError, MAX_TEAM_SETTINGS, check_change};
pub use messages::{Input, Output, Record, RecordChange, Source, Update, ValidText};
pub use parts::{Assembler, Part};
pub use path::{DEPLOYMENT, InvalidPath, SETTINGS_PREFIX, SettingPath, WRITES_PREFIX};
pub use scope::{Scope, UpdateRequest};
pub use view::{Config, View};

use self::history::History;
use self::scope::Digests;
use crate::types::{Revision, Time};

/// The settings in force, with the texts they come from.
#[derive(Debug, Default)]
pub struct Settings {
    revision: Revision,
    held: BTreeMap<String, Held>,
    view: View,
    /// Time of the store's last confirmation that the settings are complete.
    confirmed: Option<Time>,
    digests: Digests,
    history: History,
    bad: usize,
}

/// The text of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Held {
    revision: Revision,
    created: Revision,
    text: Arc<[u8]>,
    /// Why the text is not valid.
    bad: Option<String>,
    /// Last valid text since the key came to be; the same as `text` where that is valid.
    good: Option<ValidText>,
}

impl Held {
    fn record(&self, key: &str) -> Record {
        let last_good = self.bad.as_ref().and(self.good.as_ref());
        Record {
            key: key.to_owned(),
            revision: self.revision,
            created: self.created,
            text: self.text.to_vec(),
            last_valid: last_good.cloned(),
        }
    }
}

impl Settings {
    /// Creates a holder without settings, below any revision.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Settings in force.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Number of texts that are kept out of force.
    pub fn invalid_count(&self) -> usize {
        self.bad
    }

    /// Keys whose text is kept out of force, with the reason.
    pub fn invalid_texts(&self) -> impl Iterator<Item = (&str, &str)> {
        let held = self.held.iter();
        held.filter_map(|(key, held)| Some((key.as_str(), held.bad.as_deref()?)))
    }

    /// Time of the store's last confirmation; none since this process has started.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed
    }

    /// Applies one input at `now`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Update(update, source) => self.update(now, update, source, out),
            Input::StoreSummary {
                revision,
                last_change: changed,
                count,
            } => self.compare(now, revision, changed, count, out),
        }
    }

    /// What this holder tells of itself to learn what it lacks.
    pub fn update_request(&self) -> UpdateRequest {
        let lost = |held: &Held| held.bad.is_some() && held.good.is_none();
        UpdateRequest {
            revision: self.revision,
            digest: self.digests.of(Scope::All),
            incomplete: self.bad > 0 && self.held.values().any(lost),
        }
    }

    /// What another holder lacks of the settings in `scope`.
    ///
    /// Nothing but the revision is sent to one that is ahead, or whose digest shows
    /// that it lacks nothing.
    pub fn update_for(&self, ask: UpdateRequest, scope: Scope) -> Update {
        let (from, revision) = (ask.revision, self.revision);
        if from > revision && !ask.incomplete {
            return Update::Delta {
                from: revision,
                revision,
                changes: Vec::new(),
            };
        }
        let complete = from > Revision(0) && !ask.incomplete;
        if complete && ask.digest == self.digests.of(scope) {
            return Update::Delta {
                from,
                revision,
                changes: Vec::new(),
            };
        }
        if complete && let Some(changes) = self.history.above(from) {
            let changes = changes.filter(|c| scope.covers(c.key())).cloned();
            return Update::Delta {
                from,
                revision,
                changes: changes.collect(),
            };
        }
        let held = self.held.iter().filter(|(key, _)| scope.covers(key));
        Update::Full {
            revision,
            records: held.map(|(key, held)| held.record(key)).collect(),
        }
    }

    /// The changes above `from` in `scope`, where they are still kept.
    pub fn delta_since(&self, from: Revision, scope: Scope) -> Option<Update> {
        let changes = self.history.above(from)?;
        let changes = changes.filter(|c| scope.covers(c.key())).cloned();
        Some(Update::Delta {
            from,
            revision: self.revision,
            changes: changes.collect(),
        })
    }

    fn update(&mut self, now: Time, update: Update, source: Source, out: &mut Vec<Output>) {
        let revision = update.revision();
        let held = self.revision;
        let paths = match update {
            Update::Full { records, .. } if revision < held => {
                if source == Source::Store {
                    let store = revision;
                    out.push(Output::StoreBehind { store, local: held });
                }
                self.adopt(&records)
            }
            Update::Delta { .. } if revision < held => return,
            Update::Delta { from, .. } if from > held => {
                out.push(Output::Missed { local: held });
                return;
            }
            Update::Full { records, .. } => self.replace(revision, records, out),
            Update::Delta { changes, .. } => self.apply(changes, out),
        };
        self.revision = revision.max(held);
        if source == Source::Store && revision >= held {
            self.confirmed = Some(now);
        }
        if self.revision > held || !paths.is_empty() {
            let revision = self.revision;
            out.push(Output::Applied { revision, paths });
        }
    }

    /// Takes valid texts of an older state for keys that have none.
    fn adopt(&mut self, records: &[Record]) -> Vec<SettingPath> {
        records
            .iter()
            .filter_map(|record| self.adopt_one(record))
            .collect()
    }

    fn adopt_one(&mut self, record: &Record) -> Option<SettingPath> {
        let held = self.held.get_mut(&record.key)?;
        if held.bad.is_none() || held.created != record.created {
            return None;
        }
        let path = SettingPath::from_key(&record.key).ok()?;
        let (good, config) = offered(&path, record)?;
        let known = held.good.as_ref().map(|good| good.revision);
        if known >= Some(good.revision) {
            return None;
        }
        held.good = Some(good);
        self.view.set(&path, config);
        Some(path)
    }

    /// Replaces all settings by `records`.
    fn replace(
        &mut self,
        revision: Revision,
        records: Vec<Record>,
        out: &mut Vec<Output>,
    ) -> Vec<SettingPath> {
        let mut paths = self.adopt(&records);
        let mut changes = self.missing_from(&records, revision);
        let unchanged = |record: &Record| self.held.get(&record.key).map(|held| held.revision);
        let changed = records
            .into_iter()
            .filter(|record| unchanged(record) != Some(record.revision));
        changes.extend(changed.map(RecordChange::Put));
        changes.sort_by_key(RecordChange::revision);
        if self.revision == Revision(0) {
            self.history.start(revision);
        }
        for change in changes {
            paths.extend(self.apply_one(change, out));
        }
        paths
    }

    /// Deletions that lead from the held keys to those of `records`.
    fn missing_from(&self, records: &[Record], revision: Revision) -> Vec<RecordChange> {
        let kept: BTreeSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
        let gone = self.held.keys().filter(|key| !kept.contains(key.as_str()));
        gone.map(|key| RecordChange::Delete {
            key: key.clone(),
            revision,
        })
        .collect()
    }

    fn apply(&mut self, changes: Vec<RecordChange>, out: &mut Vec<Output>) -> Vec<SettingPath> {
        let held = self.revision;
        let new = changes.into_iter().filter(|c| c.revision() > held);
        new.filter_map(|change| self.apply_one(change, out))
            .collect()
    }

    fn apply_one(&mut self, change: RecordChange, out: &mut Vec<Output>) -> Option<SettingPath> {
        self.history.push(change.clone());
        match change {
            RecordChange::Put(record) => self.put(record, out),
            RecordChange::Delete { key, .. } => self.delete(&key),
        }
    }

    /// Sets one text; the path whose settings in force have changed by it.
    fn put(&mut self, record: Record, out: &mut Vec<Output>) -> Option<SettingPath> {
        let old = self.held.remove(&record.key);
        if let Some(old) = &old {
            self.digests.toggle(&record.key, old.revision);
            self.bad -= usize::from(old.bad.is_some());
        }
        self.digests.toggle(&record.key, record.revision);
        let path = SettingPath::from_key(&record.key);
        let bad = checked(&path, &record.text).err();
        if let Some(reason) = bad.clone() {
            let key = record.key.clone();
            out.push(Output::Invalid { key, reason });
        }
        self.bad += usize::from(bad.is_some());
        let in_force = old.as_ref().and_then(|old| old.good.clone());
        let kept = old.filter(|old| old.created == record.created);
        let kept = kept.and_then(|old| old.good);
        let new = path.as_ref().ok().and_then(|path| offered(path, &record));
        let new = new.map(|(good, _)| good);
        let good = match (kept, new) {
            (Some(kept), Some(new)) if kept.revision > new.revision => Some(kept),
            (kept, new) => new.or(kept),
        };
        let held = Held {
            revision: record.revision,
            created: record.created,
            text: record.text.into(),
            bad,
            good: good.clone(),
        };
        self.held.insert(record.key, held);
        let path = path.ok()?;
        if good == in_force {
            return None;
        }
        match good.and_then(|good| Config::parse(&path, &good.text).ok()) {
            Some(config) => self.view.set(&path, config),
            None => self.view.remove(&path),
        }
        Some(path)
    }

    fn delete(&mut self, key: &str) -> Option<SettingPath> {
        let held = self.held.remove(key)?;
        self.digests.toggle(key, held.revision);
        self.bad -= usize::from(held.bad.is_some());
        held.good?;
        let path = SettingPath::from_key(key).ok()?;
        self.view.remove(&path);
        Some(path)
    }

    /// Compares the settings with what the store has told about them.
    fn compare(
        &mut self,
        now: Time,
        revision: Revision,
        changed: Revision,
        count: u64,
        out: &mut Vec<Output>,
    ) {
        let held = self.revision;
        if revision < held {
            let store = revision;
            out.push(Output::StoreBehind { store, local: held });
            return;
        }
        if changed > held || count != self.held.len() as u64 {
            out.push(Output::Missed { local: held });
            return;
        }
        self.confirmed = Some(now);
    }
}

/// The valid text that a record holds: its own, or the last one before it.
fn offered(path: &SettingPath, record: &Record) -> Option<(ValidText, Config)> {
    if let Ok(config) = Config::parse(path, &record.text) {
        let revision = record.revision;
        let text = record.text.as_slice().into();
        return Some((ValidText { revision, text }, config));
    }
    let good = record.last_valid.clone()?;
    let config = Config::parse(path, &good.text).ok()?;
    Some((good, config))
}

fn checked(path: &Result<SettingPath, InvalidPath>, text: &[u8]) -> Result<Config, String> {
    let path = path.as_ref().map_err(ToString::to_string)?;
    Config::parse(path, text).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests;
