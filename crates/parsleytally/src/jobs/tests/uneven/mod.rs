//! Tests of uneven workers and demand: many jobs on fleets with slow, failing, flapping and
//! silent workers.

mod fleet;
mod health;
mod locality;
mod speculation;
mod stalls;
