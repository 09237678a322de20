//! Ledger of what a worker has and what its runs were given.
//!
//! The agent alone grants its worker's processors, memory and accelerators. After
//! a restart it holds an [`UnrecoveredLedger`] ledger, which cannot grant: the type has no
//! method for it. Only [`UnrecoveredLedger::recover`], with what the worker reports as
//! running, turns it into a [`Ledger`]. A [`Ledger`] keeps the sum of its grants
//! at or below the capacity; what a worker reports beyond its capacity is kept
//! apart as excess, and nothing is granted until that has been released.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::types::{Resources, RunId};

#[cfg(test)]
mod tests;

/// A kind of resource that can run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Resource {
    /// Processors.
    #[display("cpu")]
    Cpu,
    /// Memory.
    #[display("memory")]
    Memory,
    /// Accelerators.
    #[display("accelerators")]
    Accelerators,
}

/// Why a grant was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum GrantError {
    /// Too little of one resource is free.
    #[snafu(display("{resource} is short: {requested} needed, {free} free"))]
    Insufficient {
        /// The first resource that is short.
        resource: Resource,
        /// What was asked for.
        requested: Resources,
        /// What is free.
        free: Resources,
    },
    /// The run holds a grant of another size.
    #[snafu(display("run {run} already holds a grant of {held}"))]
    SizeMismatch {
        /// The run.
        run: RunId,
        /// What it holds.
        held: Resources,
    },
}

/// A ledger of a restarted agent, before the worker has reported its runs.
#[derive(Debug, Clone)]
pub struct UnrecoveredLedger {
    capacity: Resources,
}

impl UnrecoveredLedger {
    /// Creates the ledger of a worker with `capacity` for batch tasks.
    pub fn new(capacity: Resources) -> Self {
        Self { capacity }
    }

    /// Builds the ledger from every run that the worker reports.
    pub fn recover(self, running: impl IntoIterator<Item = (RunId, Resources)>) -> Ledger {
        let mut ledger = Ledger {
            capacity: self.capacity,
            used: Resources::NONE,
            grants: BTreeMap::new(),
            excess: BTreeMap::new(),
        };
        for (run, need) in running {
            ledger.adopt(run, need);
        }
        ledger
    }
}

/// Grants of one worker; their sum never passes its capacity.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    capacity: Resources,
    used: Resources,
    grants: BTreeMap<RunId, Resources>,
    excess: BTreeMap<RunId, Resources>,
}

impl Ledger {
    /// Grants `need` to `run`; repeating the same grant changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`GrantError`] with the missing resource, or when `run` holds a
    /// grant of another size.
    pub fn grant(&mut self, run: &RunId, need: Resources) -> Result<(), GrantError> {
        if let Some(&held) = self.held(run) {
            return match held == need {
                true => Ok(()),
                false => SizeMismatchSnafu {
                    run: run.clone(),
                    held,
                }
                .fail(),
            };
        }
        let room = self.free();
        if let Some(resource) = missing(&need, &room) {
            return InsufficientSnafu {
                resource,
                requested: need,
                free: room,
            }
            .fail();
        }
        self.insert(run.clone(), need);
        Ok(())
    }

    /// Takes the grant of `run` back and returns it.
    pub fn release(&mut self, run: &RunId) -> Option<Resources> {
        if let Some(need) = self.excess.remove(run) {
            return Some(need);
        }
        let need = self.grants.remove(run)?;
        self.used = self
            .used
            .checked_sub(&need)
            .expect("a grant is part of the sum of grants");
        Some(need)
    }

    /// What can still be granted; nothing while there is excess.
    pub fn free(&self) -> Resources {
        if !self.excess.is_empty() {
            return Resources::NONE;
        }
        self.capacity
            .checked_sub(&self.used)
            .expect("grants stay within the capacity")
    }

    /// Sum of the grants.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// What the worker has for batch tasks.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Runs found on the worker that its capacity does not cover; they must be stopped.
    pub fn excess(&self) -> impl Iterator<Item = &RunId> {
        self.excess.keys()
    }

    fn held(&self, run: &RunId) -> Option<&Resources> {
        self.grants.get(run).or_else(|| self.excess.get(run))
    }

    fn adopt(&mut self, run: RunId, need: Resources) {
        if self.held(&run).is_some() {
            return;
        }
        let sum = self.used.checked_add(&need);
        if sum.is_some_and(|sum| sum.fits(&self.capacity)) {
            self.insert(run, need);
            return;
        }
        self.excess.insert(run, need);
    }

    fn insert(&mut self, run: RunId, need: Resources) {
        self.used = self
            .used
            .checked_add(&need)
            .expect("the sum was checked against the capacity");
        self.grants.insert(run, need);
    }
}

fn missing(need: &Resources, room: &Resources) -> Option<Resource> {
    if need.cpu > room.cpu {
        return Some(Resource::Cpu);
    }
    if need.memory > room.memory {
        return Some(Resource::Memory);
    }
    (need.accelerators > room.accelerators).then_some(Resource::Accelerators)
}
