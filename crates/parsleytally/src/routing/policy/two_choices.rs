//! Least outstanding of two random endpoints.

use rand::RngCore;

use super::{Candidates, Policy};

/// Takes the less loaded of two random open endpoints.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Policy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn choose(&self, view: &Candidates<'_>, rng: &mut dyn RngCore) -> Option<usize> {
        view.cheaper_of_two(rng, |position| f64::from(view.load(position)))
    }
}
