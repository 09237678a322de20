//! Power of two choices by outstanding requests.

use rand::RngCore;

use super::{Candidates, Policy};

/// Chooses the less loaded of two random eligible endpoints.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Policy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn choose(&self, candidates: &Candidates<'_>, rng: &mut dyn RngCore) -> Option<usize> {
        candidates.cheaper_of_two(rng, |position| f64::from(candidates.load(position)))
    }
}
