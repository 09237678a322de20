//! Borders to the platform that the scheduler runs on.
//!
//! Each border is a trait, so that the daemons can be run and tested against a
//! stand-in. [`store`] is the platform's key-value service.

pub mod store;
