//! Which entries are alive, judged by counters that they raise in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::types::{NodeName, Time};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sight {
    count: u64,
    changed: Time,
}

/// Entries and when their counters were last seen to change.
///
/// A wrong verdict moves shards in vain and breaks no promise. After a time
/// without reads every entry has the whole grace again.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LivenessTracker {
    grace: Duration,
    last: Option<Time>,
    sights: BTreeMap<NodeName, Sight>,
}

impl LivenessTracker {
    /// Entries are taken for dead when their counter stood still for `grace`.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            last: None,
            sights: BTreeMap::new(),
        }
    }

    /// Notes the counters of a read and returns the entries that are alive.
    pub fn observe(
        &mut self,
        now: Time,
        counters: impl IntoIterator<Item = (NodeName, u64)>,
    ) -> BTreeSet<NodeName> {
        let gap = self.last.is_some_and(|last| now.since(last) >= self.grace);
        self.last = Some(now);
        let counters: BTreeMap<_, _> = counters.into_iter().collect();
        self.sights.retain(|name, _| counters.contains_key(name));
        for (name, count) in counters {
            let changed = now;
            let sight = self.sights.entry(name).or_insert(Sight { count, changed });
            if gap || sight.count != count {
                *sight = Sight { count, changed };
            }
        }
        let alive = |sight: &Sight| now.since(sight.changed) < self.grace;
        let names = self.sights.iter().filter(|(_, sight)| alive(sight));
        names.map(|(name, _)| name.clone()).collect()
    }
}
