//! Addresses of the agents in the store: their registration, and their deletion by owners
//! that forget an agent.

use super::*;

/// Time between two checks of an agent without an owner, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 2_000;
/// Pause before a failed deletion is tried again, in milliseconds.
const DELETE_RETRY_MS: u64 = 200;
/// Share of deletions that reach the store seconds late.
const LATE_DELETIONS: f64 = 0.3;

impl Simulation {
    /// Writes the address of an agent that has no owner to the store if it is missing there,
    /// and checks again later; a new process writes it at once.
    pub(super) fn check_registration(&mut self, at: usize, incarnation: u64) {
        let agent = &mut self.agents[at];
        if agent.incarnation != incarnation || !agent.up {
            return;
        }
        let again = self.bug != InjectedBug::NoRegistration;
        let missing = !self.registered.contains_key(&at);
        let restores = again && missing && !agent.state.is_held(self.now);
        if (restores || !agent.registered) && !self.store_down {
            self.agents[at].registered = true;
            self.revision += 1;
            self.registered.insert(at, self.revision);
            self.publish_address(at);
        }
        self.push(CHECK_INTERVAL_MS, Event::Register(at, incarnation));
    }

    /// The newest owner reads the address of an agent.
    fn publish_address(&mut self, at: usize) {
        let Some(owner) = self.owners.len().checked_sub(1) else {
            return;
        };
        let reads = self.owners[owner].up && self.owners[owner].reaches_store;
        if reads && self.owners[owner].known.insert(at) {
            self.push(5, Event::Dial(owner, at));
        }
    }

    /// An owner stops dialing an agent and deletes its address, at once or late.
    pub(super) fn forget(&mut self, owner: usize, at: usize) {
        self.owners[owner].known.remove(&at);
        let Some(revision) = self.registered.get(&at).copied() else {
            return;
        };
        let late = self.rng.random_bool(LATE_DELETIONS);
        let delay = if late {
            self.rng.random_range(500..6_000)
        } else {
            5
        };
        self.push(delay, Event::Delete(owner, at, revision));
    }

    /// Deletes the address of an agent, on condition that neither the owner nor the address
    /// has changed; tries again while the store is away.
    pub(super) fn delete_address(&mut self, owner: usize, at: usize, revision: u64) {
        if !self.owners[owner].up || !self.is_current(owner) {
            return;
        }
        if self.store_down || !self.owners[owner].reaches_store {
            self.push(DELETE_RETRY_MS, Event::Delete(owner, at, revision));
        } else if self.registered.get(&at) == Some(&revision) {
            self.registered.remove(&at);
        }
    }
}
