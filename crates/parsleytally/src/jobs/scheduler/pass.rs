//! State of one placement pass: which workers a step has to consider, and which loads no
//! worker can take.
//!
//! A blocked step, for which no worker was found when all were considered, only considers
//! the workers that have changed since. A long backlog then costs little on a large fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::super::fleet::{Load, Worker};
use super::super::locality::RackQueues;
use crate::types::{NodeName, Resources, Time};

/// One placement pass over all ready steps.
#[derive(Debug)]
pub(in crate::jobs) struct Pass {
    pub(super) now: Time,
    /// Workers that have changed since the last pass; none if all must be considered.
    changed: Option<BTreeSet<NodeName>>,
    /// Loads that no worker can take.
    unplaceable: Unplaceable,
    /// Loads that no changed worker can take.
    unplaceable_on_changed: Unplaceable,
    /// Racks and the tasks that wait for them; none before the first of these tasks.
    racks: Option<RackQueues>,
}

impl Pass {
    /// Begins a pass; `changed` is `None` if all workers must be considered for each step.
    pub(in crate::jobs) fn new(now: Time, changed: Option<BTreeSet<NodeName>>) -> Self {
        Self {
            now,
            changed,
            unplaceable: Unplaceable::default(),
            unplaceable_on_changed: Unplaceable::default(),
            racks: None,
        }
    }

    /// Whether no worker of `pool` can take `load`, of a step that is `blocked` or not.
    pub(super) fn covers(&self, load: &Load, pool: &str, blocked: bool) -> bool {
        let on_changed = || self.unplaceable_on_changed.covers(load, pool);
        self.unplaceable.covers(load, pool) || (blocked && on_changed())
    }

    pub(super) fn add_unplaceable(&mut self, load: &Load, pool: &Arc<str>, blocked: bool) {
        if blocked && self.changed.is_some() {
            self.unplaceable_on_changed.add(load, pool);
        } else {
            self.unplaceable.add(load, pool);
        }
    }

    /// Racks and the tasks that wait for them in this pass.
    pub(super) fn racks(
        &mut self,
        workers: &BTreeMap<NodeName, Worker>,
        remote_percent: u32,
    ) -> &mut RackQueues {
        let now = self.now;
        self.racks
            .get_or_insert_with(|| RackQueues::new(now, workers, remote_percent))
    }

    /// Workers that a step has to consider.
    pub(in crate::jobs) fn workers<'a>(
        &'a self,
        all: &'a BTreeMap<NodeName, Worker>,
        blocked: bool,
    ) -> Box<dyn Iterator<Item = (&'a NodeName, &'a Worker)> + 'a> {
        match &self.changed {
            Some(changed) if blocked => {
                Box::new(changed.iter().filter_map(|name| all.get_key_value(name)))
            }
            _ => Box::new(all.iter()),
        }
    }
}

/// Loads that no worker could take in this pass. Loads of the same kind that need at least
/// as much are skipped.
#[derive(Debug, Default)]
struct Unplaceable {
    loads: Vec<UnplaceableLoad>,
}

#[derive(Debug)]
struct UnplaceableLoad {
    need: Resources,
    pool: Arc<str>,
    /// Image of a best-effort load, as their effects on services differ.
    image: Option<Arc<str>>,
}

impl Unplaceable {
    fn covers(&self, load: &Load, pool: &str) -> bool {
        let image = best_effort_image(load);
        self.loads.iter().any(|known| {
            *known.pool == *pool && known.image == image && known.need.fits(&load.need)
        })
    }

    fn add(&mut self, load: &Load, pool: &Arc<str>) {
        self.loads.push(UnplaceableLoad {
            need: load.need,
            pool: pool.clone(),
            image: best_effort_image(load),
        });
    }
}

fn best_effort_image(load: &Load) -> Option<Arc<str>> {
    load.best_effort.then(|| load.image.clone())
}
