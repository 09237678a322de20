//! Settings of the interference model.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How effects between tasks and services are learned and used.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InterferenceConfig {
    /// How far back a late measurement is matched to a worker's tasks.
    pub window: Duration,
    /// Time after which an effect that was not seen again is as doubtful as a new one.
    pub forget: Duration,
    /// Expected effect of an unknown pair: log growth of latency per processor.
    pub prior: f64,
    /// Standard deviation of that expectation.
    pub doubt: f64,
    /// Standard deviation of one measurement, in log latency.
    pub noise: f64,
    /// Standard deviations added to an effect near a service's target.
    pub caution: f64,
    /// Strain below which an effect is taken as expected, so that it gets explored.
    pub explore: f64,
}

impl Default for InterferenceConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(300),
            forget: Duration::from_secs(24 * 3_600),
            prior: 0.03,
            doubt: 0.08,
            noise: 0.15,
            caution: 1.0,
            explore: 0.5,
        }
    }
}
