//! An idle endpoint if there is one.

use rand::{Rng, RngCore};

use super::{Candidates, Policy};

/// Takes an endpoint without load, or a random open one if none is idle.
#[derive(Debug, Clone, Copy, Default)]
pub struct JoinIdleQueue;

impl Policy for JoinIdleQueue {
    fn name(&self) -> &'static str {
        "join-idle-queue"
    }

    fn choose(&self, view: &Candidates<'_>, rng: &mut dyn RngCore) -> Option<usize> {
        if view.is_empty() {
            return None;
        }
        let len = view.len();
        let start = rng.random_range(0..len);
        let mut turn = (0..len).map(|step| (start + step) % len);
        let idle = turn.find(|&position| view.load(position) == 0 && view.is_eligible(position));
        idle.or_else(|| view.sample(rng))
    }
}
