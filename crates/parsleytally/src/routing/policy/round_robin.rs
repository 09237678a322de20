//! Each open endpoint in turn.

use rand::RngCore;

use super::{Policy, View};

/// Takes the open endpoints in turn, whatever their load.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin;

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(&self, view: &View<'_>, _: &mut dyn RngCore) -> Option<usize> {
        let len = u64::try_from(view.len()).ok()?;
        let start = view.picks().checked_rem(len)?;
        view.first_open(usize::try_from(start).ok()?)
    }
}
