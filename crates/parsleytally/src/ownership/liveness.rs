//! Detects live entries by the counters that they raise in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::types::{NodeName, Time};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CounterReading {
    count: u64,
    changed: Time,
}

/// Tracks when the counter of each entry last changed.
///
/// A wrong result only moves shards needlessly; it does not affect correctness.
/// After a gap of `timeout` or more without reads, the timeout of every entry
/// starts anew.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LivenessTracker {
    timeout: Duration,
    last_read: Option<Time>,
    readings: BTreeMap<NodeName, CounterReading>,
}

impl LivenessTracker {
    /// Creates a tracker that considers an entry dead once its counter has not
    /// changed for `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            last_read: None,
            readings: BTreeMap::new(),
        }
    }

    /// Records the counters of one read and returns the live entries.
    pub fn observe(
        &mut self,
        now: Time,
        counters: impl IntoIterator<Item = (NodeName, u64)>,
    ) -> BTreeSet<NodeName> {
        let gap = self
            .last_read
            .is_some_and(|last| now.since(last) >= self.timeout);
        self.last_read = Some(now);
        let counters: BTreeMap<_, _> = counters.into_iter().collect();
        self.readings.retain(|name, _| counters.contains_key(name));
        for (name, count) in counters {
            let changed = now;
            let reading = self
                .readings
                .entry(name)
                .or_insert(CounterReading { count, changed });
            if gap || reading.count != count {
                *reading = CounterReading { count, changed };
            }
        }
        let alive = |reading: &CounterReading| now.since(reading.changed) < self.timeout;
        let names = self.readings.iter().filter(|(_, reading)| alive(reading));
        names.map(|(name, _)| name.clone()).collect()
    }
}
