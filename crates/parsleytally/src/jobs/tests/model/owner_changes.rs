//! Owners that change in series, each beside agents that are gone or have just restarted, and agents
//! that live beside silent workers.

use super::stalls::Process;
use super::*;

/// Number of changes, and the time from one to the next in milliseconds.
const CHANGES: u64 = 6;
const CHANGE_PAUSE_MS: u64 = 4_000;
/// Time around a change in which workers and agents are disturbed, in milliseconds.
const AROUND_MS: u64 = 1_600;
/// Length of the stall of a worker at a change, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 500..3_000;
/// Further short jobs, so that runs start and end at the changes.
const BUSY_JOBS: u64 = 40;
/// Number of the first of these jobs; they are odd, so none of them is lasting.
const FIRST_BUSY_JOB: u64 = 2_001;

impl Simulation {
    /// A simulation whose owners change in series.
    pub(super) fn with_owner_changes(seed: u64, bug: InjectedBug) -> Self {
        let mut simulation = Self::new(seed, bug);
        for change in 0..CHANGES {
            let late = simulation.rng.random_range(0..AROUND_MS);
            simulation.push(change * CHANGE_PAUSE_MS + late, Event::ChangeOwner);
        }
        let period = FAULT_PERIOD.as_millis() as u64;
        for number in 0..BUSY_JOBS {
            let at = simulation.rng.random_range(100..period);
            simulation.push(at, Event::Submit(FIRST_BUSY_JOB + 2 * number));
        }
        simulation
    }

    /// Kills the owner, and disturbs some workers and agents until its successor has begun.
    pub(super) fn change_owner(&mut self) {
        if self.owners.is_empty() {
            return;
        }
        self.kill_owner();
        for at in 0..WORKERS {
            let delay = self.rng.random_range(0..AROUND_MS);
            let silence = self.rng.random_range(SILENCE_MS);
            self.disturb(delay + silence + 2_000);
            match self.rng.random_range(0..8) {
                0 | 1 => self.push(delay, Event::Stall(Process::Worker(at), silence)),
                2 => self.push(delay, Event::AgentDown(at)),
                3 => self.push(delay, Event::AgentUp(at)),
                4 => {
                    self.push(delay, Event::Stall(Process::Worker(at), silence));
                    self.push(delay, Event::AgentUp(at));
                }
                _ => {}
            }
        }
    }
}

/// Guards against tasks that run twice, or never again, after a change of owner for which agents told what
/// may run.
#[test]
fn invariants_hold_while_owners_change_in_series() {
    let bug = InjectedBug::Nothing;
    let results = (0..seed_count() / 3).map(|seed| {
        let simulation = Simulation::with_owner_changes(seed, bug);
        (seed, simulation.run())
    });
    assert_none_fails(results);
}

/// Guards against a simulation that can't see what a wrong answer of an agent leads to.
#[test]
fn wrong_answers_of_agents_to_a_new_owner_are_detected() {
    let cases = [
        BugCase {
            bug: InjectedBug::UntoldEnds,
            violation: "started again after an end that is acknowledged",
        },
        BugCase {
            bug: InjectedBug::UntoldStarts,
            violation: "runs twice",
        },
        BugCase {
            bug: InjectedBug::GuessedRuns,
            violation: "runs twice",
        },
    ];
    for BugCase { bug, violation } in cases {
        let days = (0..BUG_SEEDS).map(|seed| Simulation::with_owner_changes(seed, bug).run());
        let found = days.enumerate().find(|(_, found)| {
            let mut found = found.iter();
            found.any(|text| text.contains(violation))
        });
        let Some((seed, _)) = found else {
            panic!("{bug:?} was not detected by {violation:?}");
        };
        println!("{bug:?}: first in seed {seed}");
    }
}
