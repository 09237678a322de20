//! Each open endpoint in turn.

use rand::RngCore;

use super::{Candidates, Policy};

/// Takes the open endpoints in turn, whatever their load.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin;

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(&self, view: &Candidates<'_>, _: &mut dyn RngCore) -> Option<usize> {
        let len = u64::try_from(view.len()).ok()?;
        let start = view.pick_count().checked_rem(len)?;
        view.first_eligible(usize::try_from(start).ok()?)
    }
}
