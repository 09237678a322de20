//! Follows the operators' requests to evacuate availability zones in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::EvacuatedZones;
use parsleytally::types::{Revision, Time, ZoneName};
use parsleytally_platform::jobs::EvacuationSource;
use parsleytally_platform::process::{BootTime, Clock};
use parsleytally_platform::store::{Change, Snapshot, Store, StoreError};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

/// Time between two reads; the watch alone can be silent.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Pause before the requests are read or watched again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The zones to evacuate, as far as the store has shown them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ZoneRead {
    zones: Arc<BTreeSet<ZoneName>>,
    /// Revision of the last read or of the last change applied since.
    revision: Revision,
    /// When the last read was sent.
    read_at: BootTime,
}

impl ZoneRead {
    /// The read on the clock of an owner; none if it was sent before that clock started.
    pub(super) fn on_clock(&self, clock: Clock) -> Option<EvacuatedZones> {
        let age = u64::try_from(self.read_at.elapsed().as_micros()).ok()?;
        let read_at = clock.now().as_micros().checked_sub(age)?;
        Some(EvacuatedZones {
            zones: self.zones.clone(),
            revision: self.revision,
            read_at: Time::from_micros(read_at),
        })
    }
}

/// What an owner uses of the [`EvacuationFollower`].
#[derive(Debug, Clone)]
pub(crate) struct ZoneReads {
    reads: watch::Receiver<Option<ZoneRead>>,
    read_now: Arc<Notify>,
}

impl ZoneReads {
    /// Requests a read without waiting for the next regular one.
    pub(super) fn request(&self) {
        self.read_now.notify_one();
    }

    /// Waits for the next read or change.
    pub(super) async fn next(&mut self) -> Option<ZoneRead> {
        loop {
            self.reads.changed().await.ok()?;
            let read = self.reads.borrow_and_update().clone();
            if read.is_some() {
                return read;
            }
        }
    }
}

/// Waits for the next read; never returns if no requests are followed.
pub(super) async fn next_read(reads: &mut Option<ZoneReads>) -> ZoneRead {
    if let Some(reads) = reads
        && let Some(read) = reads.next().await
    {
        return read;
    }
    std::future::pending().await
}

/// Publishes the zones to evacuate after each read and each change that a watch reports.
pub(super) struct EvacuationFollower {
    store: Arc<dyn Store>,
    source: Arc<dyn EvacuationSource>,
    reads: watch::Sender<Option<ZoneRead>>,
    read_now: Arc<Notify>,
}

impl EvacuationFollower {
    pub(super) fn new(
        store: Arc<dyn Store>,
        source: Arc<dyn EvacuationSource>,
    ) -> (Self, ZoneReads) {
        let (reads, receiver) = watch::channel(None);
        let read_now = Arc::new(Notify::new());
        let follower = Self {
            store,
            source,
            reads,
            read_now: read_now.clone(),
        };
        let reads = receiver;
        (follower, ZoneReads { reads, read_now })
    }

    pub(super) async fn run(self) {
        tokio::join!(self.read_regularly(), self.watch());
    }

    async fn read_regularly(&self) {
        loop {
            let pause = match self.read().await {
                Ok(()) => READ_INTERVAL,
                Err(error) => {
                    log::warn!(error:% = error; "reading the evacuation requests failed");
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            // Ends early when a read is requested.
            let _ = timeout(pause, self.read_now.notified()).await;
        }
    }

    async fn read(&self) -> Result<(), StoreError> {
        let sent = BootTime::now();
        let snapshot = self.store.range(self.source.prefix()).await?;
        self.apply_read(&snapshot, sent);
        Ok(())
    }

    /// Watches for changes, so that a request takes effect before the next regular read.
    async fn watch(&self) {
        loop {
            if let Err(error) = self.follow().await {
                log::warn!(error:% = error; "watching the evacuation requests failed");
                if matches!(error, StoreError::Compacted { .. }) {
                    self.read_now.notify_one();
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn follow(&self) -> Result<(), StoreError> {
        let mut reads = self.reads.subscribe();
        // The sender is held by `self`, so a first read is always awaited.
        let from = match reads.wait_for(Option::is_some).await {
            Ok(read) => read.as_ref().map_or(Revision(0), |read| read.revision),
            Err(_) => return Ok(()),
        };
        let mut watch = self.store.watch(self.source.prefix(), from).await?;
        loop {
            for change in watch.next().await?.changes {
                self.apply_change(&change);
            }
        }
    }

    /// Replaces the zones by those of a read, unless the store has shown a later state.
    fn apply_read(&self, snapshot: &Snapshot, sent: BootTime) {
        let keys = snapshot.items.iter().map(|item| item.key.as_str());
        let zones: BTreeSet<ZoneName> = keys.filter_map(|key| self.zone(key)).collect();
        self.reads.send_if_modified(|read| {
            let known = read.as_ref();
            if known.is_some_and(|known| known.revision > snapshot.revision) {
                return false;
            }
            let same = known.filter(|known| *known.zones == zones);
            let zones = same.map_or_else(|| Arc::new(zones), |known| known.zones.clone());
            *read = Some(ZoneRead {
                zones,
                revision: snapshot.revision,
                read_at: sent,
            });
            true
        });
    }

    /// Applies a change that is later than the known state. It does not make the read newer:
    /// the watch may leave out others.
    fn apply_change(&self, change: &Change) {
        let Some(zone) = self.zone(change.key()) else {
            return;
        };
        self.reads.send_if_modified(|read| {
            let Some(read) = read else {
                return false;
            };
            if change.revision() <= read.revision {
                return false;
            }
            read.revision = change.revision();
            let zones = Arc::make_mut(&mut read.zones);
            match change {
                Change::Put(_) => zones.insert(zone),
                Change::Delete { .. } => zones.remove(&zone),
            }
        });
    }

    fn zone(&self, key: &str) -> Option<ZoneName> {
        let zone = self.source.zone(key);
        let zone = zone.inspect_err(
            |reason| log::warn!(key, reason = reason.as_str(); "evacuation request names no zone"),
        );
        zone.ok()
    }
}
