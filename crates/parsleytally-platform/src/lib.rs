//! Borders to the platform that the scheduler runs on.
//!
//! Each border is a trait, so that the daemons can be run and tested against a
//! stand-in. [`store`] is the platform's key-value service; [`worker`] is the control
//! of one worker; [`process`] is what
//! surrounds the duties of a process; the other stand-ins of tests and of the
//! standalone mode are in [`stand_in`].

pub mod jobs;
pub mod measured;
pub mod process;
#[cfg(feature = "stand-in")]
pub mod stand_in;
pub mod store;
pub mod worker;
