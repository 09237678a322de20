//! Selection of runs to preempt: those that lose the least work.

use super::{QueueName, RunRef};
use crate::types::{NodeName, Resources};

/// A run that may be preempted.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Victim {
    pub(super) run: RunRef,
    pub(super) queue: QueueName,
    /// Reserved resources that its end frees.
    pub(super) freed: Resources,
    /// Weighted share that its queue returns, in millionths.
    pub(super) share: u64,
    /// Work that is lost, in processor milliseconds.
    pub(super) lost: u64,
    /// Share of its work that is done, in percent.
    pub(super) percent: u32,
}

/// A worker with its runs that may be preempted.
#[derive(Debug, Clone)]
pub(super) struct Room {
    pub(super) node: NodeName,
    /// Free resources, with those of runs that were ordered to stop.
    pub(super) free: Resources,
    pub(super) victims: Vec<Victim>,
}

/// Runs to preempt on one worker.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Choice {
    /// Index of the worker.
    pub(super) room: usize,
    /// Indexes of the runs in [`Room::victims`]; empty if the task fits without.
    pub(super) victims: Vec<usize>,
}

/// Chooses the worker of `rooms` on which a task that needs `need` fits once the runs that
/// lose the least work have ended. `eligible` excludes workers, `allowed` runs.
pub(super) fn choose(
    rooms: &[Room],
    need: &Resources,
    eligible: impl Fn(&Room) -> bool,
    allowed: impl Fn(&Victim) -> bool,
) -> Option<Choice> {
    let mut best: Option<(u64, Choice)> = None;
    for (index, room) in rooms.iter().enumerate().filter(|(_, room)| eligible(room)) {
        let Some((lost, victims)) = cheapest(room, need, &allowed) else {
            continue;
        };
        let is_better = |(known, choice): &(u64, Choice)| {
            (lost, victims.len()) < (*known, choice.victims.len())
        };
        if best.as_ref().is_none_or(is_better) {
            best = Some((
                lost,
                Choice {
                    room: index,
                    victims,
                },
            ));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Runs of a worker that lose the least work and make room for `need`, with the work lost.
fn cheapest(
    room: &Room,
    need: &Resources,
    allowed: &impl Fn(&Victim) -> bool,
) -> Option<(u64, Vec<usize>)> {
    let mut order: Vec<usize> = (0..room.victims.len()).collect();
    order.retain(|index| allowed(&room.victims[*index]));
    order.sort_by_key(|index| (room.victims[*index].lost, room.victims[*index].run));
    let mut free = room.free;
    let mut chosen = Vec::new();
    for index in order {
        if need.fits(&free) {
            break;
        }
        free = free.saturating_add(&room.victims[index].freed);
        chosen.push(index);
    }
    if !need.fits(&free) {
        return None;
    }
    // A run that was chosen early may not be needed beside a larger one.
    for at in (0..chosen.len()).rev() {
        let without = free.saturating_sub(&room.victims[chosen[at]].freed);
        if need.fits(&without) {
            free = without;
            chosen.remove(at);
        }
    }
    let lost = chosen.iter().map(|index| room.victims[*index].lost);
    Some((lost.fold(0, u64::saturating_add), chosen))
}
