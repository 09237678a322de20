//! Follows the settings in the platform's store.
//!
//! All settings are read once, then a watch reports the changes. Since a watch can
//! be silent for good, the newest revision of the settings is read every
//! [`CONFIRM_INTERVAL`]; if the watch has missed it, a new watch is opened, and
//! all settings are read again if that does not help. After a failure the next try
//! comes after a pause with jitter, so that entries do not all return at once.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::settings::{
    Input as Update, Record, RecordChange, SETTINGS_PREFIX, Source, Update as Changes,
};
use parsleytally::types::Revision;
use parsleytally_platform::store::{self, Change, Item, Newest, Store, StoreError, Watch};
use rand::Rng;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::Input;
use crate::metrics::Metrics;

/// Time between two reads of the newest revision.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(4);
/// Age past which a confirmation by the store no longer counts.
pub(super) const CONFIRM_EXPIRY: Duration = Duration::from_secs(12);
/// Time for the watch to report what the store already has.
const WATCH_LAG: Duration = Duration::from_millis(500);
/// Pause after the first failure, doubled by each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// What to read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// All settings.
    All,
    /// Changes above the revision reached.
    Changes,
}

pub(super) struct SettingsWatcher {
    store: Arc<dyn Store>,
    inputs: mpsc::Sender<Input>,
    metrics: Metrics,
    need: Need,
    /// Revision up to which the store's changes were passed on.
    reached: Revision,
    /// Watches in a row that missed a change.
    silent: u32,
    failures: u32,
}

impl SettingsWatcher {
    pub(super) fn new(
        store: Arc<dyn Store>,
        inputs: mpsc::Sender<Input>,
        metrics: Metrics,
    ) -> Self {
        Self {
            store,
            inputs,
            metrics,
            need: Need::All,
            reached: Revision(0),
            silent: 0,
            failures: 0,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let Err(error) = self.follow().await else {
                continue;
            };
            if self.failures == 0 {
                log::warn!("settings are not followed: {error}");
            }
            if matches!(error, StoreError::Compacted { .. }) {
                self.need = Need::All;
            }
            self.failures = self.failures.saturating_add(1);
            sleep(self.pause()).await;
        }
    }

    fn pause(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        let longest = FIRST_PAUSE.saturating_mul(1 << doublings);
        let share = rand::rng().random_range(0.5..1.0);
        longest.min(LONGEST_PAUSE).mul_f64(share)
    }

    /// Reads what is needed, then watches until the watch fails or was silent.
    async fn follow(&mut self) -> Result<(), StoreError> {
        if self.need == Need::All {
            self.read_all().await?;
        }
        let mut watch = self.store.watch(SETTINGS_PREFIX, self.reached).await?;
        if self.failures > 0 {
            log::info!("settings are followed again");
            self.failures = 0;
        }
        let mut confirm = interval(CONFIRM_INTERVAL);
        confirm.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changes = watch.next() => self.pass_changes(changes?).await,
                _ = confirm.tick() => {
                    if !self.confirm(watch.as_mut()).await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    async fn read_all(&mut self) -> Result<(), StoreError> {
        let snapshot = self.store.range(SETTINGS_PREFIX).await?;
        let records = snapshot.items.into_iter().map(record);
        let update = Changes::Full {
            revision: snapshot.revision,
            records: records.collect(),
        };
        self.reached = snapshot.revision;
        self.need = Need::Changes;
        self.pass(Update::Update(update, Source::Store)).await;
        Ok(())
    }

    async fn pass_changes(&mut self, changes: store::Changes) {
        let from = self.reached;
        self.reached = from.max(changes.revision);
        let update = Changes::Delta {
            from,
            revision: self.reached,
            changes: changes.changes.into_iter().map(change).collect(),
        };
        self.pass(Update::Update(update, Source::Store)).await;
    }

    /// Passes news on; whether changes were missed.
    async fn pass(&self, update: Update) -> bool {
        let (reply, missed) = oneshot::channel();
        if self
            .inputs
            .send(Input::Update(update, reply))
            .await
            .is_err()
        {
            return false;
        }
        missed.await.unwrap_or(false)
    }

    /// Compares the settings with the newest revision; whether the watch is trusted.
    async fn confirm(&mut self, watch: &mut dyn Watch) -> Result<bool, StoreError> {
        let newest = self.store.newest(SETTINGS_PREFIX).await?;
        while self.pass(news(newest)).await {
            let Ok(changes) = timeout(WATCH_LAG, watch.next()).await else {
                self.note_silent();
                return Ok(false);
            };
            self.pass_changes(changes?).await;
        }
        self.silent = 0;
        Ok(true)
    }

    fn note_silent(&mut self) {
        self.metrics.silent_watches.inc();
        log::warn!("watch of the settings was silent and is replaced");
        self.silent += 1;
        if self.silent > 1 {
            self.need = Need::All;
        }
    }
}

fn news(newest: Newest) -> Update {
    Update::Newest {
        revision: newest.revision,
        changed: newest.changed,
        count: newest.count,
    }
}

fn record(item: Item) -> Record {
    Record {
        key: item.key,
        revision: item.revision,
        created: item.created,
        text: item.value,
        last_good: None,
    }
}

fn change(change: Change) -> RecordChange {
    match change {
        Change::Put(item) => RecordChange::Put(record(item)),
        Change::Delete { key, revision } => RecordChange::Delete { key, revision },
    }
}
