//! Least outstanding of two random endpoints.

use rand::RngCore;

use super::{Policy, View};

/// Takes the less loaded of two random open endpoints.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Policy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn choose(&self, view: &View<'_>, rng: &mut dyn RngCore) -> Option<usize> {
        view.cheaper_of_two(rng, |position| f64::from(view.load(position)))
    }
}
