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
mod path;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use self::history::History;
pub use accept::{AcceptError, MAX_TEAM_SETTINGS, check_change};
pub use messages::{Input, Output, Record, RecordChange, Source, Update};
pub use path::{DEPLOYMENT, InvalidPath, SETTINGS_PREFIX, SettingPath, WRITES_PREFIX};
pub use view::{Config, View};

use crate::types::{Revision, Time};

/// The settings in force, with the texts they come from.
#[derive(Debug, Default)]
pub struct Settings {
    revision: Revision,
    held: BTreeMap<String, Held>,
    view: View,
    /// Time of the store's last confirmation that the settings are complete.
    confirmed: Option<Time>,
    history: History,
    bad: usize,
}

/// The text of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Held {
    revision: Revision,
    text: Arc<[u8]>,
    /// Why the text is not valid.
    bad: Option<String>,
    /// Last valid text; the same as `text` where that is valid.
    good: Option<Arc<[u8]>>,
}

impl Held {
    fn record(&self, key: &str) -> Record {
        let last_good = self.bad.as_ref().and(self.good.as_ref());
        Record {
            key: key.to_owned(),
            revision: self.revision,
            text: self.text.to_vec(),
            last_good: last_good.map(|text| text.to_vec()),
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
    pub fn bad_count(&self) -> usize {
        self.bad
    }

    /// Keys whose text is kept out of force, with the reason.
    pub fn bad(&self) -> impl Iterator<Item = (&str, &str)> {
        let held = self.held.iter();
        held.filter_map(|(key, held)| Some((key.as_str(), held.bad.as_deref()?)))
    }

    /// Time of the store's last confirmation; none since this process has started.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Applies one input at `now`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Update(update, source) => self.update(now, update, source, out),
            Input::Newest {
                revision,
                changed,
                count,
            } => self.compare(now, revision, changed, count, out),
        }
    }

    /// What a holder at revision `held` lacks, of the paths that `wanted` names.
    pub fn since(&self, held: Revision, wanted: impl Fn(&SettingPath) -> bool) -> Update {
        let wanted = |key: &str| SettingPath::from_key(key).is_ok_and(|path| wanted(&path));
        if let Some(changes) = self.history.above(held) {
            return Update::Delta {
                from: held,
                revision: self.revision,
                changes: changes.filter(|c| wanted(c.key())).cloned().collect(),
            };
        }
        let held = self.held.iter().filter(|(key, _)| wanted(key));
        Update::Full {
            revision: self.revision,
            records: held.map(|(key, held)| held.record(key)).collect(),
        }
    }

    fn update(&mut self, now: Time, update: Update, source: Source, out: &mut Vec<Output>) {
        let revision = update.revision();
        let held = self.revision;
        let paths = match update {
            Update::Full { records, .. } if revision < held => {
                if source == Source::Store {
                    let store = revision;
                    out.push(Output::StoreBehind { store, held });
                }
                self.adopt(&records)
            }
            Update::Delta { .. } if revision < held => return,
            Update::Delta { from, .. } if from > held => {
                out.push(Output::Missed { held });
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
        let mut paths = Vec::new();
        for record in records {
            let Some(held) = self.held.get_mut(&record.key) else {
                continue;
            };
            if held.good.is_some() {
                continue;
            }
            let path = SettingPath::from_key(&record.key);
            let texts = [Some(&record.text), record.last_good.as_ref()];
            let valid = |text: &&Vec<u8>| checked(&path, text).is_ok();
            let Some(text) = texts.into_iter().flatten().find(valid) else {
                continue;
            };
            held.good = Some(text.as_slice().into());
            if let Ok(path) = path
                && let Ok(config) = Config::parse(&path, text)
            {
                self.view.set(&path, config);
                paths.push(path);
            }
        }
        paths
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
        let old = self.held.get(&record.key);
        let old_good = old.and_then(|old| old.good.clone());
        let was_bad = old.is_some_and(|old| old.bad.is_some());
        let path = SettingPath::from_key(&record.key);
        let (bad, good) = match checked(&path, &record.text) {
            Ok(_) => (None, Some(record.text.as_slice().into())),
            Err(reason) => {
                let offered = record.last_good.filter(|text| checked(&path, text).is_ok());
                let good = old_good.clone().or(offered.map(Into::into));
                (Some(reason), good)
            }
        };
        if let Some(reason) = bad.clone() {
            let key = record.key.clone();
            out.push(Output::Bad { key, reason });
        }
        self.bad += usize::from(bad.is_some());
        self.bad -= usize::from(was_bad);
        let held = Held {
            revision: record.revision,
            text: record.text.into(),
            bad,
            good: good.clone(),
        };
        self.held.insert(record.key, held);
        let path = path.ok()?;
        let good = good.filter(|good| old_good.as_ref() != Some(good))?;
        let config = Config::parse(&path, &good).ok()?;
        self.view.set(&path, config);
        Some(path)
    }

    fn delete(&mut self, key: &str) -> Option<SettingPath> {
        let held = self.held.remove(key)?;
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
            out.push(Output::StoreBehind { store, held });
            return;
        }
        if changed > held || count != self.held.len() as u64 {
            out.push(Output::Missed { held });
            return;
        }
        self.confirmed = Some(now);
    }
}

fn checked(path: &Result<SettingPath, InvalidPath>, text: &[u8]) -> Result<Config, String> {
    let path = path.as_ref().map_err(ToString::to_string)?;
    Config::parse(path, text).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests;
