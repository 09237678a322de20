//! Policy and bounds of routing to endpoints.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How endpoints are chosen and when they are set aside.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Time over which a new endpoint's share of slots grows to the whole.
    pub slow_start: Duration,
    /// Time after which half of a latency estimate's weight has decayed.
    pub latency_decay: Duration,
    /// Failures in a row after which an endpoint is ejected.
    pub max_failures: u32,
    /// Time of a first ejection; each further one in a row takes as much longer.
    pub ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Share of a service's endpoints that may be ejected at once, in percent.
    pub ejected_percent: u32,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            slow_start: Duration::from_secs(10),
            latency_decay: Duration::from_secs(5),
            max_failures: 5,
            ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(60),
            ejected_percent: 30,
        }
    }
}
