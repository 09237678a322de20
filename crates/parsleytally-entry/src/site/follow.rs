//! Follows the store keys of the ownership, agents and jobs for the owner.
//!
//! A watch alone can leave changes out. Each change of a job or an agent's address is therefore
//! marked under one more key, which the regular checks of the ownership read as well; if the watch
//! does not report the marked revision that such a check has read, all keys are read again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::types::Revision;
use parsleytally_platform::store::{Changes, Snapshot, Store, StoreError};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use super::keys;
use super::timer::wait_for;

/// Pause before a failed watch is started again.
const RETRY_PAUSE: Duration = Duration::from_millis(80);
/// Longest time from the read of a change to its report by the watch.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Least time between two reads of all keys for a change that was not reported; a fleet can have
/// many pages of them.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// An update of the fleet's keys.
#[derive(Debug)]
pub(super) enum FleetUpdate {
    /// All keys; sent when the watch may have left changes out.
    Snapshot(Snapshot),
    /// Changes since the last update.
    Changes(Changes),
}

/// Why the following of a watch ended.
enum End {
    /// The receiver of updates is closed.
    Closed,
    /// The watch failed.
    Failed(StoreError),
    /// The watch has not reported the change at this revision.
    Unreported(Revision),
}

/// Sends updates of the fleet's keys.
pub(super) struct FleetFollower {
    store: Arc<dyn Store>,
    /// Revision up to which the watch has reported changes.
    revision: Revision,
    updates: mpsc::Sender<FleetUpdate>,
    /// Revision of the last change that a check of the ownership has read.
    changed: watch::Receiver<Revision>,
    marks: Marks,
    /// When all keys were read last.
    read_at: Option<Instant>,
}

impl FleetFollower {
    /// A follower of the changes after `revision`.
    pub(super) fn new(
        store: Arc<dyn Store>,
        revision: Revision,
        updates: mpsc::Sender<FleetUpdate>,
        changed: watch::Receiver<Revision>,
    ) -> Self {
        Self {
            store,
            revision,
            updates,
            changed,
            marks: Marks::read(revision),
            read_at: None,
        }
    }

    /// Follows until the receiver of updates is closed.
    pub(super) async fn run(mut self) {
        loop {
            let is_read = match self.follow().await {
                End::Closed => return,
                End::Failed(error) => {
                    log::warn!(error:% = error, revision:% = self.revision; "watch of the fleet ended");
                    sleep(RETRY_PAUSE).await;
                    matches!(error, StoreError::Compacted { .. })
                }
                End::Unreported(change) => {
                    log::warn!(change:% = change, revision:% = self.revision;
                        "watch of the fleet left a change out, reading all keys");
                    true
                }
            };
            if is_read && !self.read().await {
                return;
            }
        }
    }

    /// Reads all keys; returns false once the receiver of updates is closed.
    async fn read(&mut self) -> bool {
        self.read_at = Some(Instant::now());
        let fleet = match self.store.range(keys::FLEET).await {
            Ok(fleet) => fleet,
            Err(error) => {
                log::warn!(error:% = error; "reading the fleet failed, retrying");
                return true;
            }
        };
        self.revision = fleet.revision;
        self.marks = Marks::read(fleet.revision);
        let update = FleetUpdate::Snapshot(fleet);
        self.updates.send(update).await.is_ok()
    }

    /// Follows one watch.
    async fn follow(&mut self) -> End {
        let mut watch = match self.store.watch(keys::FLEET, self.revision).await {
            Ok(watch) => watch,
            Err(error) => return End::Failed(error),
        };
        loop {
            let mut next = watch.next();
            let changes = loop {
                let overdue = self.marks.overdue(self.read_at);
                tokio::select! {
                    changes = &mut next => break changes,
                    Ok(()) = self.changed.changed() => {
                        let change = *self.changed.borrow_and_update();
                        self.marks.expect(change, Instant::now());
                    }
                    change = wait_for(overdue) => return End::Unreported(change),
                }
            };
            let changes = match changes {
                Ok(changes) => changes,
                Err(error) => return End::Failed(error),
            };
            self.revision = changes.revision.max(self.revision);
            self.marks.report(&changes);
            if changes.changes.is_empty() {
                continue;
            }
            let update = FleetUpdate::Changes(changes);
            if self.updates.send(update).await.is_err() {
                return End::Closed;
            }
        }
    }
}

/// The marked changes that the watch has reported, and those that it has yet to report.
#[derive(Debug, Default)]
struct Marks {
    /// Revision up to which all changes are known.
    known: Revision,
    /// Marked revisions above it: none once reported, otherwise when they were read.
    later: BTreeMap<Revision, Option<Instant>>,
}

impl Marks {
    /// Marks after a read of all keys at this revision.
    fn read(known: Revision) -> Self {
        let later = BTreeMap::new();
        Self { known, later }
    }

    /// Notes a change that a check of the ownership has read. The next one is later, so that
    /// reported ones before it need not be kept.
    fn expect(&mut self, change: Revision, now: Instant) {
        if change <= self.known {
            return;
        }
        self.later.entry(change).or_insert(Some(now));
        self.later
            .retain(|at, read| *at >= change || read.is_some());
    }

    /// Notes the changes that the watch has reported.
    fn report(&mut self, changes: &Changes) {
        let marks = changes.changes.iter();
        for mark in marks.filter(|change| change.key() == keys::FLEET_CHANGED) {
            self.later.insert(mark.revision(), None);
        }
    }

    /// The oldest change that was not reported, and when all keys are read for it.
    fn overdue(&self, read_at: Option<Instant>) -> Option<(Instant, Revision)> {
        let mut unreported = self.later.iter();
        let (change, read) = unreported.find_map(|(at, read)| Some((*at, (*read)?)))?;
        let at = read + REPORT_TIMEOUT;
        Some((
            read_at.map_or(at, |last| at.max(last + READ_INTERVAL)),
            change,
        ))
    }
}
