//! Workers whose lists have entries in which no run can be read: those of other writers, which
//! stay, and damaged ones of runs, for some time.

use super::*;

/// Longest time for which the entry of a run is damaged, in milliseconds.
const LONGEST_DAMAGE_MS: u64 = 12_000;
/// Time by which the effects of a damaged entry have ended: doubt, and the end of all leases.
const RECOVERY: Duration = Duration::from_secs(10);
/// Share of the workers with an entry of another writer.
const FOREIGN: f64 = 0.5;

/// Odd entries of the lists of one worker.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct OddEntries {
    /// From when there is an entry of another writer.
    foreign_from: Option<Time>,
    /// From and until when the first entry of a run is damaged.
    damaged: Option<(Time, Time)>,
}

impl Simulation {
    /// A simulation with odd entries.
    pub(super) fn with_odd_entries(seed: u64) -> Self {
        let mut simulation = Self::new(seed, InjectedBug::Nothing);
        let period = FAULT_PERIOD.as_millis() as u64;
        for _ in 0..WORKERS {
            let rng = &mut simulation.rng;
            let foreign = rng
                .random_bool(FOREIGN)
                .then(|| rng.random_range(0..period));
            let from = rng.random_range(0..period);
            let until = from + rng.random_range(100..LONGEST_DAMAGE_MS);
            let at = |millis| simulation.now.after(Duration::from_millis(millis));
            let damaged = (at(from), at(until));
            simulation.disturbed = simulation.disturbed.max(damaged.1.after(RECOVERY));
            simulation.odd.push(OddEntries {
                foreign_from: foreign.map(at),
                damaged: Some(damaged),
            });
        }
        simulation
    }

    /// Adds the odd entries to a listing.
    pub(super) fn add_odd_entries(&self, at: usize, listing: &mut Listing) {
        let Some(odd) = self.odd.get(at) else {
            return;
        };
        let is_foreign = odd.foreign_from.is_some_and(|from| from <= self.now);
        listing.unnamed += usize::from(is_foreign);
        let in_time = |(from, until)| from <= self.now && self.now < until;
        if odd.damaged.is_some_and(in_time) && !listing.running.is_empty() {
            listing.running.remove(0);
            listing.unnamed += 1;
        }
    }
}

/// Guards against a damaged entry of a run that is taken for its end, and against a worker that
/// stays unused beside an entry of another writer.
#[test]
fn invariants_hold_with_odd_entries() {
    let results = (0..seed_count()).map(|seed| (seed, Simulation::with_odd_entries(seed).run()));
    assert_none_fails(results);
}
