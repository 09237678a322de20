//! Replica of the settings in each entry and agent.
//!
//! Entries read the settings from the platform's store and forward them. Agents, and
//! entries that cannot reach the store, receive them from entries. Every replica
//! applies the same rules:
//!
//! - A lower revision never replaces a higher one, whatever its source.
//! - A delta applies only if it starts at or below the local revision. Otherwise
//!   changes were missed and have to be fetched ([`Output::Missed`]).
//! - An invalid text is not applied. The last valid text of its key stays in force
//!   until a valid text or a deletion arrives.
//!
//! A watch of the store can stop delivering changes without an error. The number
//! and the newest revision of the settings keys in the store are therefore compared
//! with the replica from time to time ([`Input::StoreSummary`]).

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

/// The settings in force and the texts that they are parsed from.
#[derive(Debug, Default)]
pub struct Settings {
    revision: Revision,
    keys: BTreeMap<String, KeyState>,
    view: View,
    /// Time at which the store last confirmed that the settings are complete.
    confirmed_at: Option<Time>,
    digests: Digests,
    history: History,
    /// Number of keys whose text is invalid.
    invalid: usize,
}

/// State of one key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KeyState {
    revision: Revision,
    created: Revision,
    text: Arc<[u8]>,
    /// Why `text` is invalid.
    error: Option<String>,
    /// Last valid text since the key was created; equal to `text` if that is valid.
    valid: Option<ValidText>,
}

impl KeyState {
    fn record(&self, key: &str) -> Record {
        let last_valid = self.error.as_ref().and(self.valid.as_ref());
        Record {
            key: key.to_owned(),
            revision: self.revision,
            created: self.created,
            text: self.text.to_vec(),
            last_valid: last_valid.cloned(),
        }
    }
}

impl Settings {
    /// Creates an empty replica at revision 0.
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

    /// Number of keys whose text is invalid and not applied.
    pub fn invalid_count(&self) -> usize {
        self.invalid
    }

    /// Keys whose text is invalid and not applied, each with the reason.
    pub fn invalid_texts(&self) -> impl Iterator<Item = (&str, &str)> {
        let keys = self.keys.iter();
        keys.filter_map(|(key, state)| Some((key.as_str(), state.error.as_deref()?)))
    }

    /// Time at which the store last confirmed that the settings are complete; `None`
    /// before the first confirmation.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Applies one input at `now`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Update(update, source) => self.update(now, update, source, out),
            Input::StoreSummary {
                revision,
                last_change,
                count,
            } => self.compare_with_store(now, revision, last_change, count, out),
        }
    }

    /// Request for the changes that this replica lacks.
    pub fn update_request(&self) -> UpdateRequest {
        let lacks_valid = |state: &KeyState| state.error.is_some() && state.valid.is_none();
        UpdateRequest {
            revision: self.revision,
            digest: self.digests.of(Scope::All),
            incomplete: self.invalid > 0 && self.keys.values().any(lacks_valid),
        }
    }

    /// Answers another replica's request with the settings in `scope` that it lacks.
    ///
    /// An empty or incomplete replica receives a full update. The update has no changes
    /// if the other replica is ahead or if its digest equals the local one.
    pub fn update_for(&self, request: UpdateRequest, scope: Scope) -> Update {
        let (from, revision) = (request.revision, self.revision);
        if from > revision && !request.incomplete {
            return Update::Delta {
                from: revision,
                revision,
                changes: Vec::new(),
            };
        }
        let complete = from > Revision(0) && !request.incomplete;
        if complete && request.digest == self.digests.of(scope) {
            return Update::Delta {
                from,
                revision,
                changes: Vec::new(),
            };
        }
        if complete && let Some(changes) = self.history.after(from) {
            let changes = changes.filter(|c| scope.covers(c.key())).cloned();
            return Update::Delta {
                from,
                revision,
                changes: changes.collect(),
            };
        }
        let keys = self.keys.iter().filter(|(key, _)| scope.covers(key));
        Update::Full {
            revision,
            records: keys.map(|(key, state)| state.record(key)).collect(),
        }
    }

    /// Changes in `scope` after revision `from`; `None` if the history does not reach
    /// back that far.
    pub fn delta_since(&self, from: Revision, scope: Scope) -> Option<Update> {
        let changes = self.history.after(from)?;
        let changes = changes.filter(|c| scope.covers(c.key())).cloned();
        Some(Update::Delta {
            from,
            revision: self.revision,
            changes: changes.collect(),
        })
    }

    fn update(&mut self, now: Time, update: Update, source: Source, out: &mut Vec<Output>) {
        let revision = update.revision();
        let local = self.revision;
        let paths = match update {
            Update::Full { records, .. } if revision < local => {
                if source == Source::Store {
                    let store = revision;
                    out.push(Output::StoreBehind { store, local });
                }
                self.adopt_valid_texts(&records)
            }
            Update::Delta { .. } if revision < local => return,
            Update::Delta { from, .. } if from > local => {
                out.push(Output::Missed { local });
                return;
            }
            Update::Full { records, .. } => self.replace(revision, records, out),
            Update::Delta { changes, .. } => self.apply_changes(changes, out),
        };
        self.revision = revision.max(local);
        if source == Source::Store && revision >= local {
            self.confirmed_at = Some(now);
        }
        if self.revision > local || !paths.is_empty() {
            let revision = self.revision;
            out.push(Output::Applied { revision, paths });
        }
    }

    /// Adopts valid texts from `records` for keys whose own text is invalid, and returns
    /// the paths whose settings in force changed.
    fn adopt_valid_texts(&mut self, records: &[Record]) -> Vec<SettingPath> {
        records
            .iter()
            .filter_map(|record| self.adopt_valid_text(record))
            .collect()
    }

    fn adopt_valid_text(&mut self, record: &Record) -> Option<SettingPath> {
        let state = self.keys.get_mut(&record.key)?;
        if state.error.is_none() || state.created != record.created {
            return None;
        }
        let path = SettingPath::from_key(&record.key).ok()?;
        let (valid, config) = last_valid(&path, record)?;
        let known = state.valid.as_ref().map(|known| known.revision);
        if known >= Some(valid.revision) {
            return None;
        }
        state.valid = Some(valid);
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
        let mut paths = self.adopt_valid_texts(&records);
        let mut changes = self.deletions(&records, revision);
        let known = |record: &Record| self.keys.get(&record.key).map(|state| state.revision);
        let changed = records
            .into_iter()
            .filter(|record| known(record) != Some(record.revision));
        changes.extend(changed.map(RecordChange::Put));
        changes.sort_by_key(RecordChange::revision);
        if self.revision == Revision(0) {
            self.history.reset(revision);
        }
        for change in changes {
            paths.extend(self.apply_change(change, out));
        }
        paths
    }

    /// Deletions of the local keys that `records` lacks.
    fn deletions(&self, records: &[Record], revision: Revision) -> Vec<RecordChange> {
        let kept: BTreeSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
        let deleted = self.keys.keys().filter(|key| !kept.contains(key.as_str()));
        deleted
            .map(|key| RecordChange::Delete {
                key: key.clone(),
                revision,
            })
            .collect()
    }

    fn apply_changes(
        &mut self,
        changes: Vec<RecordChange>,
        out: &mut Vec<Output>,
    ) -> Vec<SettingPath> {
        let local = self.revision;
        let new = changes.into_iter().filter(|c| c.revision() > local);
        new.filter_map(|change| self.apply_change(change, out))
            .collect()
    }

    fn apply_change(&mut self, change: RecordChange, out: &mut Vec<Output>) -> Option<SettingPath> {
        self.history.push(change.clone());
        match change {
            RecordChange::Put(record) => self.put(record, out),
            RecordChange::Delete { key, .. } => self.delete(&key),
        }
    }

    /// Stores one text and returns its path if the settings in force changed.
    fn put(&mut self, record: Record, out: &mut Vec<Output>) -> Option<SettingPath> {
        let old = self.keys.remove(&record.key);
        if let Some(old) = &old {
            self.digests.toggle(&record.key, old.revision);
            self.invalid -= usize::from(old.error.is_some());
        }
        self.digests.toggle(&record.key, record.revision);
        let path = SettingPath::from_key(&record.key);
        let error = parse_text(&path, &record.text).err();
        if let Some(reason) = error.clone() {
            let key = record.key.clone();
            out.push(Output::Invalid { key, reason });
        }
        self.invalid += usize::from(error.is_some());
        let in_force = old.as_ref().and_then(|old| old.valid.clone());
        let kept = old.filter(|old| old.created == record.created);
        let kept = kept.and_then(|old| old.valid);
        let new = path
            .as_ref()
            .ok()
            .and_then(|path| last_valid(path, &record));
        let new = new.map(|(valid, _)| valid);
        let valid = match (kept, new) {
            (Some(kept), Some(new)) if kept.revision > new.revision => Some(kept),
            (kept, new) => new.or(kept),
        };
        let state = KeyState {
            revision: record.revision,
            created: record.created,
            text: record.text.into(),
            error,
            valid: valid.clone(),
        };
        self.keys.insert(record.key, state);
        let path = path.ok()?;
        if valid == in_force {
            return None;
        }
        match valid.and_then(|valid| Config::parse(&path, &valid.text).ok()) {
            Some(config) => self.view.set(&path, config),
            None => self.view.remove(&path),
        }
        Some(path)
    }

    fn delete(&mut self, key: &str) -> Option<SettingPath> {
        let state = self.keys.remove(key)?;
        self.digests.toggle(key, state.revision);
        self.invalid -= usize::from(state.error.is_some());
        state.valid?;
        let path = SettingPath::from_key(key).ok()?;
        self.view.remove(&path);
        Some(path)
    }

    /// Compares the replica with a summary of the settings keys in the store.
    fn compare_with_store(
        &mut self,
        now: Time,
        revision: Revision,
        last_change: Revision,
        count: u64,
        out: &mut Vec<Output>,
    ) {
        let local = self.revision;
        if revision < local {
            let store = revision;
            out.push(Output::StoreBehind { store, local });
            return;
        }
        if last_change > local || count != self.keys.len() as u64 {
            out.push(Output::Missed { local });
            return;
        }
        self.confirmed_at = Some(now);
    }
}

/// Last valid text in a record: its own text if valid, else the earlier valid one.
fn last_valid(path: &SettingPath, record: &Record) -> Option<(ValidText, Config)> {
    if let Ok(config) = Config::parse(path, &record.text) {
        let revision = record.revision;
        let text = record.text.as_slice().into();
        return Some((ValidText { revision, text }, config));
    }
    let valid = record.last_valid.clone()?;
    let config = Config::parse(path, &valid.text).ok()?;
    Some((valid, config))
}

fn parse_text(path: &Result<SettingPath, InvalidPath>, text: &[u8]) -> Result<Config, String> {
    let path = path.as_ref().map_err(ToString::to_string)?;
    Config::parse(path, text).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests;
