//! Runs that the owner counts as active, for comparisons with the workers.

use super::{RunRef, Scheduler};
use crate::types::NodeName;

impl Scheduler {
    /// Runs that occupy room by the owner's count, each with its worker.
    pub fn counted_runs(&self) -> impl Iterator<Item = (&NodeName, RunRef)> {
        let workers = self.workers.iter();
        workers.flat_map(|(node, worker)| worker.runs.keys().map(move |run| (node, *run)))
    }
}
