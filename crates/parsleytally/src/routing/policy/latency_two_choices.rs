//! Power of two choices by estimated latency and load.

use rand::RngCore;

use super::{Candidates, Policy};

/// Chooses the one of two random eligible endpoints with the lower expected wait.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyTwoChoices;

impl Policy for LatencyTwoChoices {
    fn name(&self) -> &'static str {
        "latency-two-choices"
    }

    fn choose(&self, candidates: &Candidates<'_>, rng: &mut dyn RngCore) -> Option<usize> {
        candidates.cheaper_of_two(rng, |position| {
            candidates.latency(position) * (f64::from(candidates.load(position)) + 1.0)
        })
    }
}
