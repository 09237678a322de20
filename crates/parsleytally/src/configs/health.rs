//! Settings of the health of workers and tasks.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// When workers are set aside and tasks parked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HealthConfig {
    /// Latest outcomes of a worker that count.
    pub outcomes: usize,
    /// Distinct tasks that must have failed on a worker to set it aside.
    pub tasks: usize,
    /// Share of failures among a worker's outcomes that sets it aside.
    pub share: f64,
    /// Largest share of all workers that is set aside at once.
    pub aside: f64,
    /// Time after which a worker that was set aside is tried again; doubles.
    pub probe: Duration,
    /// Longest such time.
    pub probe_max: Duration,
    /// Distinct workers on which a task must have failed to be parked.
    pub workers: usize,
    /// Time before the next start of a task that failed; doubles.
    pub back_off: Duration,
    /// Longest such time.
    pub back_off_max: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            outcomes: 12,
            tasks: 3,
            share: 0.7,
            aside: 0.25,
            probe: Duration::from_secs(300),
            probe_max: Duration::from_secs(3_600),
            workers: 3,
            back_off: Duration::from_secs(10),
            back_off_max: Duration::from_secs(600),
        }
    }
}
