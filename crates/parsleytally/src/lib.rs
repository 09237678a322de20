//! Coordination parts of a scheduler for colocated latency-critical and batch work.
//!
//! Each module is one duty. A duty is a state machine without I/O, clocks or
//! threads: the caller passes the current [`Time`](types::Time) and an input to
//! `step`, and the machine appends its outputs to a buffer that the caller owns.
//! The same code therefore runs in the daemons, under a replayed trace and in
//! another program, with the same result for the same inputs.
//!
//! [`types`] holds what several duties share: names, numbers, resources and time.
//! [`configs`] holds the settings of operators, one file per kind.

pub mod configs;
pub mod estimates;
pub mod grants;
pub mod health;
pub mod interference;
pub mod leases;
pub mod limits;
pub mod membership;
pub mod once;
pub mod ownership;
pub mod placement;
pub mod reaction;
pub mod recovery;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod types;
pub mod writes;
