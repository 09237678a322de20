//! Ledger of a worker's capacity and the resources granted to its runs.
//!
//! Only the agent grants its worker's processors, memory and accelerators. After a restart
//! it starts with an [`UnrecoveredLedger`], which has no method to grant;
//! [`UnrecoveredLedger::recover`] turns it into a [`Ledger`] with the runs that the worker
//! reports. A [`Ledger`] keeps the sum of its grants within the capacity. Reported runs
//! beyond the capacity are kept separately as excess, and nothing is granted until they
//! have been released.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::types::{Resources, RunId};

#[cfg(test)]
mod tests;

/// A kind of resource.
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
    /// A resource has too little free capacity.
    #[snafu(display("{resource} is short: {requested} needed, {free} free"))]
    Insufficient {
        /// The first insufficient resource.
        resource: Resource,
        /// Requested resources.
        requested: Resources,
        /// Free resources.
        free: Resources,
    },
    /// The run already holds a grant of another size.
    #[snafu(display("run {run} already holds a grant of {held}"))]
    SizeMismatch {
        /// The run.
        run: RunId,
        /// Size of the grant that it holds.
        held: Resources,
    },
}

/// Ledger of a restarted agent before the worker has reported its runs.
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
            ledger.add_reported(run, need);
        }
        ledger
    }
}

/// Grants of one worker; their sum never exceeds its capacity.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    capacity: Resources,
    used: Resources,
    grants: BTreeMap<RunId, Resources>,
    /// Reported runs that did not fit into the capacity.
    excess: BTreeMap<RunId, Resources>,
}

impl Ledger {
    /// Grants `need` to `run`; repeating the same grant has no effect.
    ///
    /// # Errors
    ///
    /// Returns [`GrantError`] if a resource is insufficient or `run` holds a grant of
    /// another size.
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
        let free = self.free();
        if let Some(resource) = first_insufficient(&need, &free) {
            return InsufficientSnafu {
                resource,
                requested: need,
                free,
            }
            .fail();
        }
        self.insert(run.clone(), need);
        Ok(())
    }

    /// Releases the grant of `run` and returns its size.
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

    /// Resources that can still be granted; none while there is excess.
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

    /// Resources of the worker for batch tasks.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Reported runs beyond the worker's capacity, which must be stopped.
    pub fn excess(&self) -> impl Iterator<Item = &RunId> {
        self.excess.keys()
    }

    fn held(&self, run: &RunId) -> Option<&Resources> {
        self.grants.get(run).or_else(|| self.excess.get(run))
    }

    fn add_reported(&mut self, run: RunId, need: Resources) {
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

/// First resource of which `need` exceeds `free`.
fn first_insufficient(need: &Resources, free: &Resources) -> Option<Resource> {
    if need.cpu > free.cpu {
        return Some(Resource::Cpu);
    }
    if need.memory > free.memory {
        return Some(Resource::Memory);
    }
    (need.accelerators > free.accelerators).then_some(Resource::Accelerators)
}
