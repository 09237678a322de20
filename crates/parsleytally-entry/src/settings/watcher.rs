//! Watches the settings in the platform's store.
//!
//! All settings are read once, then a watch reports the changes. Since a watch can
//! stop reporting without an error, the newest revision of the settings is read every
//! [`CONFIRM_INTERVAL`]; if the watch has missed it, a new watch is opened, and all
//! settings are read again if the new watch misses a change too. Failures are retried
//! with exponential backoff and jitter, so that entries do not all return at once.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::settings::{
    Input as SettingsInput, Record, RecordChange, SETTINGS_PREFIX, Source, Update,
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
/// Age at which a confirmation by the store expires.
pub(super) const CONFIRM_EXPIRY: Duration = Duration::from_secs(12);
/// Time for the watch to report a change that the store already has.
const WATCH_GRACE: Duration = Duration::from_millis(500);
/// Backoff after the first failure, doubled by each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// What to read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextRead {
    /// All settings.
    All,
    /// Changes above the last revision sent to the actor.
    Changes,
}

/// Reads the settings and sends updates to the actor.
pub(super) struct SettingsWatcher {
    store: Arc<dyn Store>,
    inputs: mpsc::Sender<Input>,
    metrics: Metrics,
    next_read: NextRead,
    /// Revision up to which the store's changes were sent to the actor.
    sent_revision: Revision,
    /// Number of consecutive watches that missed a change.
    missed_watches: u32,
    /// Number of consecutive failures.
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
            next_read: NextRead::All,
            sent_revision: Revision(0),
            missed_watches: 0,
            failures: 0,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let Err(error) = self.watch().await else {
                continue;
            };
            if self.failures == 0 {
                log::warn!("watching the settings failed: {error}");
            }
            if matches!(error, StoreError::Compacted { .. }) {
                self.next_read = NextRead::All;
            }
            self.failures = self.failures.saturating_add(1);
            sleep(self.backoff()).await;
        }
    }

    fn backoff(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        let backoff = MIN_BACKOFF.saturating_mul(1 << doublings);
        let jitter = rand::rng().random_range(0.5..1.0);
        backoff.min(MAX_BACKOFF).mul_f64(jitter)
    }

    /// Reads all settings if necessary, then watches until the watch fails or has missed
    /// a change.
    async fn watch(&mut self) -> Result<(), StoreError> {
        if self.next_read == NextRead::All {
            self.read_all().await?;
        }
        let mut watch = self
            .store
            .watch(SETTINGS_PREFIX, self.sent_revision)
            .await?;
        if self.failures > 0 {
            log::info!("watching the settings again");
            self.failures = 0;
        }
        let mut confirm = interval(CONFIRM_INTERVAL);
        confirm.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changes = watch.next() => self.send_changes(changes?).await,
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
        let update = Update::Full {
            revision: snapshot.revision,
            records: records.collect(),
        };
        self.sent_revision = snapshot.revision;
        self.next_read = NextRead::Changes;
        self.send(SettingsInput::Update(update, Source::Store))
            .await;
        Ok(())
    }

    async fn send_changes(&mut self, changes: store::Changes) {
        let from = self.sent_revision;
        self.sent_revision = from.max(changes.revision);
        let update = Update::Delta {
            from,
            revision: self.sent_revision,
            changes: changes.changes.into_iter().map(change).collect(),
        };
        self.send(SettingsInput::Update(update, Source::Store))
            .await;
    }

    /// Sends an update to the actor; returns whether changes were missed.
    async fn send(&self, update: SettingsInput) -> bool {
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

    /// Compares the settings with the store's newest revision; returns whether the watch
    /// has reported all changes.
    async fn confirm(&mut self, watch: &mut dyn Watch) -> Result<bool, StoreError> {
        let newest = self.store.newest(SETTINGS_PREFIX).await?;
        while self.send(newest_input(newest)).await {
            let Ok(changes) = timeout(WATCH_GRACE, watch.next()).await else {
                self.record_missed_change();
                return Ok(false);
            };
            self.send_changes(changes?).await;
        }
        self.missed_watches = 0;
        Ok(true)
    }

    fn record_missed_change(&mut self) {
        self.metrics.silent_watches.inc();
        log::warn!("watch of the settings missed a change and is replaced");
        self.missed_watches += 1;
        if self.missed_watches > 1 {
            self.next_read = NextRead::All;
        }
    }
}

fn newest_input(newest: Newest) -> SettingsInput {
    SettingsInput::StoreSummary {
        revision: newest.revision,
        last_change: newest.changed,
        count: newest.count,
    }
}

fn record(item: Item) -> Record {
    Record {
        key: item.key,
        revision: item.revision,
        created: item.created,
        text: item.value,
        last_valid: None,
    }
}

fn change(change: Change) -> RecordChange {
    match change {
        Change::Put(item) => RecordChange::Put(record(item)),
        Change::Delete { key, revision } => RecordChange::Delete { key, revision },
    }
}
