//! Settings of size and run-time estimates.

use serde::{Deserialize, Serialize};

/// How observed usage corrects what tasks declare.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EstimatesConfig {
    /// Latest runs of a class that count.
    pub samples: usize,
    /// Runs below which a size is never lowered.
    pub few: usize,
    /// Share of runs whose processor use is to be covered.
    pub cpu: f64,
    /// Share of runs whose memory use is to be covered.
    pub memory: f64,
    /// Factor on the covered amount.
    pub margin: f64,
    /// Lowest share of the declared size that is granted.
    pub floor: f64,
    /// Classes kept; the least recently seen goes first.
    pub classes: usize,
}

impl Default for EstimatesConfig {
    fn default() -> Self {
        Self {
            samples: 64,
            few: 8,
            cpu: 0.5,
            memory: 0.7,
            margin: 1.1,
            floor: 0.1,
            classes: 4_096,
        }
    }
}
