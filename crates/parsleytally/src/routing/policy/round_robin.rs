//! Round-robin: every eligible endpoint in turn.

use rand::RngCore;

use super::{Candidates, Policy};

/// Chooses the eligible endpoints in turn, whatever their load.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin;

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(&self, candidates: &Candidates<'_>, _: &mut dyn RngCore) -> Option<usize> {
        let len = u64::try_from(candidates.len()).ok()?;
        let start = candidates.pick_count().checked_rem(len)?;
        candidates.first_eligible(usize::try_from(start).ok()?)
    }
}
