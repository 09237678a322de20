//! Availability zones that operators have requested to evacuate, as of the last read.
//!
//! A request binds a bounded time after it was stored. A process can't know whether it was
//! stored since its last read, so a read permits starts only up to an age limit; past that,
//! nothing is started in any zone.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::types::{NodeName, Revision, Time, ZoneName};

use super::RunRef;

/// Zones to evacuate, as of one read of the operators' requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// The zones.
    pub zones: Arc<BTreeSet<ZoneName>>,
    /// Revision of the store that the read shows.
    pub revision: Revision,
    /// When the read was sent.
    pub read_at: Time,
}

/// A decision about evacuations; only logged and counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationEvent {
    /// The operators' request for a zone was set or removed.
    Zone {
        /// The zone.
        zone: ZoneName,
        /// Whether the zone is evacuated from now on.
        evacuated: bool,
        /// Number of workers that report this zone.
        workers: usize,
        /// Whether agents of the previous owner have yet to report, so that `workers` may be
        /// too small.
        incomplete: bool,
        /// Revision of the store that the read shows.
        revision: Revision,
        /// Age of the read.
        read_age: Duration,
    },
    /// Nothing is started any more, since the last read is too old.
    Paused {
        /// Age of the last read; none if this owner has no read yet.
        read_age: Option<Duration>,
    },
    /// Tasks are started again, after a new read.
    Resumed {
        /// Revision of the store that the read shows.
        revision: Revision,
        /// Age of the read.
        read_age: Duration,
    },
    /// A run is stopped, so that its task starts again in another zone.
    Moved {
        /// The run.
        run: RunRef,
        /// Agent of the worker that has the run.
        node: NodeName,
        /// Work time that is lost, in milliseconds.
        lost_ms: u64,
        /// Age of the read that shows the request.
        read_age: Duration,
    },
}

/// Whether and where starts are permitted, by the last read.
#[derive(Debug)]
pub(super) struct Evacuation {
    /// Age past which a read permits no starts; none if evacuations are not enabled.
    limit: Option<Duration>,
    last: Option<EvacuatedZones>,
    /// Whether starts are paused because of an old read, as was last told.
    paused: bool,
}

impl Evacuation {
    pub(super) fn new(limit: Option<Duration>) -> Self {
        Self {
            limit,
            last: None,
            paused: limit.is_some(),
        }
    }

    /// Applies a read unless a newer one is known; returns the zones whose request was set or
    /// removed since.
    pub(super) fn apply(&mut self, read: &EvacuatedZones) -> Vec<(ZoneName, bool)> {
        if self.limit.is_none() || self.last.as_ref().is_some_and(|last| is_older(read, last)) {
            return Vec::new();
        }
        let before = self.last.replace(read.clone());
        let before = before.map(|last| last.zones).unwrap_or_default();
        let added = read.zones.difference(&before).map(|zone| (zone, true));
        let removed = before.difference(&read.zones).map(|zone| (zone, false));
        added
            .chain(removed)
            .map(|(zone, evacuated)| (zone.clone(), evacuated))
            .collect()
    }

    pub(super) fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.last
            .as_ref()
            .is_some_and(|last| last.zones.contains(zone))
    }

    /// Number of evacuated zones.
    pub(super) fn zones(&self) -> usize {
        self.last.as_ref().map_or(0, |last| last.zones.len())
    }

    /// Age of the last read.
    pub(super) fn read_age(&self, now: Time) -> Option<Duration> {
        self.last.as_ref().map(|last| now.since(last.read_at))
    }

    /// When the last read was sent, for start orders; none if evacuations are not enabled.
    pub(super) fn read_at(&self) -> Option<Time> {
        self.last.as_ref().map(|last| last.read_at)
    }

    /// Whether the last read is young enough for starts.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        let age = self.read_age(now);
        self.limit
            .is_none_or(|limit| age.is_some_and(|age| age <= limit))
    }

    /// Whether tasks may be started in zones that are not evacuated, and the event if that has
    /// changed.
    pub(super) fn permits_starts(&mut self, now: Time) -> (bool, Option<EvacuationEvent>) {
        let Some(limit) = self.limit else {
            return (true, None);
        };
        let fresh = self
            .last
            .as_ref()
            .filter(|last| now.since(last.read_at) <= limit);
        let changed = std::mem::replace(&mut self.paused, fresh.is_none()) != fresh.is_none();
        let event = match fresh {
            Some(last) => EvacuationEvent::Resumed {
                revision: last.revision,
                read_age: now.since(last.read_at),
            },
            None => EvacuationEvent::Paused {
                read_age: self.read_age(now),
            },
        };
        (fresh.is_some(), changed.then_some(event))
    }
}

/// Whether a read shows an older state than `last`, or the same state earlier.
fn is_older(read: &EvacuatedZones, last: &EvacuatedZones) -> bool {
    (read.revision, read.read_at) < (last.revision, last.read_at)
}
