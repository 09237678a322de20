//! Join-idle-queue: prefers idle endpoints.

use rand::{Rng, RngCore};

use super::{Candidates, Policy};

/// Chooses an idle endpoint, or a random eligible one if none is idle.
#[derive(Debug, Clone, Copy, Default)]
pub struct JoinIdleQueue;

impl Policy for JoinIdleQueue {
    fn name(&self) -> &'static str {
        "join-idle-queue"
    }

    fn choose(&self, candidates: &Candidates<'_>, rng: &mut dyn RngCore) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let len = candidates.len();
        let start = rng.random_range(0..len);
        let mut positions = (0..len).map(|offset| (start + offset) % len);
        let idle = positions
            .find(|&position| candidates.load(position) == 0 && candidates.is_eligible(position));
        idle.or_else(|| candidates.sample(rng))
    }
}
