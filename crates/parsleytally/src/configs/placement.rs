//! Settings of placement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How waiting tasks are ordered and workers chosen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementConfig {
    /// Age past which a worker's report no longer allows a start.
    pub stale: Duration,
    /// Time for which an unanswered start is held against its worker.
    pub assume: Duration,
    /// Workers scored for one decision.
    pub candidates: usize,
    /// Workers looked at in search of those candidates.
    pub scan: usize,
    /// Decisions of one round.
    pub attempts: usize,
    /// Decisions for one team at a turn.
    pub depth: usize,
    /// Waiting tasks of one team looked at in search of those decisions.
    pub look: usize,
    /// Urgent starts after which one task that is not urgent is tried.
    pub burst: u32,
    /// Longest time by which a shorter task overtakes a longer one.
    pub overtake: Duration,
    /// Waiting time after which a worker is reserved for a task.
    pub patience: Duration,
    /// The same for an urgent task.
    pub urgent_patience: Duration,
    /// Longest time for which a worker stays reserved.
    pub reserve: Duration,
    /// Processors, in thousandths, left free beside each free accelerator.
    pub accelerator_cpu: u64,
    /// Memory, in bytes, left free beside each free accelerator.
    pub accelerator_memory: u64,
    /// Strain past which no start may be expected to take a service, unless it is urgent.
    pub strain: f64,
    /// Weights of the score.
    pub weights: ScoreWeights,
}

/// Weights of a candidate's penalties; the lowest sum wins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScoreWeights {
    /// Room left over after the start, as a share of the worker.
    pub leftover: f64,
    /// Imbalance of the room left over between processors and memory.
    pub imbalance: f64,
    /// Expected strain on the worker's services.
    pub strain: f64,
    /// Members of the same group in the zone, rack and worker.
    pub spread: f64,
    /// A free accelerator that the task does not need.
    pub accelerator: f64,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            stale: Duration::from_secs(15),
            assume: Duration::from_secs(10),
            candidates: 24,
            scan: 192,
            attempts: 128,
            depth: 16,
            look: 128,
            burst: 8,
            overtake: Duration::from_secs(1_800),
            patience: Duration::from_secs(1_800),
            urgent_patience: Duration::from_secs(2),
            reserve: Duration::from_secs(1_800),
            accelerator_cpu: 1_000,
            accelerator_memory: 2 << 30,
            strain: 0.9,
            weights: ScoreWeights::default(),
        }
    }
}

impl Default for ScoreWeights {
    fn default() -> Self {
        Self {
            leftover: 0.3,
            imbalance: 0.5,
            strain: 2.0,
            spread: 0.5,
            accelerator: 1.0,
        }
    }
}
