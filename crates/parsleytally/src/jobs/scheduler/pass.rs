//! State of one placement pass: which workers a step has to consider, and which loads no
//! worker can take.
//!
//! A blocked step, for which no worker was found when all were considered, only considers
//! the workers that have changed since. A long backlog then costs little on a large fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::super::fleet::{Load, Worker};
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
}

impl Pass {
    /// Begins a pass; `changed` is `None` if all workers must be considered for each step.
    pub(in crate::jobs) fn new(now: Time, changed: Option<BTreeSet<NodeName>>) -> Self {
        Self {
            now,
            changed,
            unplaceable: Unplaceable::default(),
            unplaceable_on_changed: Unplaceable::default(),
        }
    }

    /// Whether no worker can take `load`, of a step that is `blocked` or not.
    pub(super) fn covers(&self, load: &Load, blocked: bool) -> bool {
        self.unplaceable.covers(load) || (blocked && self.unplaceable_on_changed.covers(load))
    }

    pub(super) fn add_unplaceable(&mut self, load: &Load, blocked: bool) {
        if blocked && self.changed.is_some() {
            self.unplaceable_on_changed.add(load);
        } else {
            self.unplaceable.add(load);
        }
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

/// Loads that no worker could take in this pass. Loads that need at least as much are
/// skipped.
#[derive(Debug, Default)]
struct Unplaceable {
    /// Needs, each with the image for best-effort loads, as their interference differs.
    loads: Vec<(Resources, Option<Arc<str>>)>,
}

impl Unplaceable {
    fn covers(&self, load: &Load) -> bool {
        let image = best_effort_image(load);
        let covered = |(need, other): &(Resources, Option<Arc<str>>)| {
            *other == image && need.fits(&load.need)
        };

        self.loads.iter().any(covered)
    }

    fn add(&mut self, load: &Load) {
        self.loads.push((load.need, best_effort_image(load)));
    }
}

fn best_effort_image(load: &Load) -> Option<Arc<str>> {
    load.best_effort.then(|| load.image.clone())
}
