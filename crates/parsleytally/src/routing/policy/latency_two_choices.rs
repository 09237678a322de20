//! Two random endpoints weighed by load and latency.

use rand::RngCore;

use super::{Candidates, Policy};

/// Takes the one of two random open endpoints with the lower expected wait.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyTwoChoices;

impl Policy for LatencyTwoChoices {
    fn name(&self) -> &'static str {
        "latency-two-choices"
    }

    fn choose(&self, view: &Candidates<'_>, rng: &mut dyn RngCore) -> Option<usize> {
        view.cheaper_of_two(rng, |position| {
            view.latency(position) * (f64::from(view.load(position)) + 1.0)
        })
    }
}
