//! Layout of fencing tokens: the owner's epoch, the number of its link, the raises of the agent.
//!
//! An agent raises the token of its link after each call without an answer. The token of a later
//! link or epoch is higher than all earlier ones, also for an agent that has lost its own, as
//! long as each part stays within its bits. An owner without further link numbers therefore begins
//! another epoch, and an agent that has used half of its raises asks for another link: the other
//! half is for orders that it has received by then.

use crate::types::Epoch;

/// Position of the owner's epoch.
const EPOCH_SHIFT: u32 = 32;
/// Position of the link number, above the raises.
const LINK_SHIFT: u32 = 12;
/// Highest link number of an epoch.
const MAX_LINK: u64 = (1 << (EPOCH_SHIFT - LINK_SHIFT)) - 1;
/// Raises on one link after which the agent needs another link.
const MAX_RAISES: u64 = 1 << (LINK_SHIFT - 1);

/// Token with which link `number` of an ownership begins; none after the last number.
pub fn link_token(epoch: Epoch, number: u64) -> Option<u64> {
    (number <= MAX_LINK).then_some(epoch_part(epoch) << EPOCH_SHIFT | number << LINK_SHIFT)
}

/// Whether a token is of a later epoch than this.
pub fn is_of_later_epoch(token: u64, epoch: Epoch) -> bool {
    token >> EPOCH_SHIFT > epoch_part(epoch)
}

/// Whether an agent with this token needs another link.
pub fn needs_new_link(token: u64) -> bool {
    token & ((1 << LINK_SHIFT) - 1) >= MAX_RAISES
}

/// The part for the epoch, above that of an agent without an owner.
fn epoch_part(epoch: Epoch) -> u64 {
    epoch.next().0
}
