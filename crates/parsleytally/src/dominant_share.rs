//! Weighted dominant share, by which teams and queues are ordered when capacity is scarce.

use crate::types::Resources;

/// Number of parts into which a share of the whole is divided.
const MILLIONTHS: f64 = 1e6;

/// Largest share of any resource of `total` that `used` is.
pub(crate) fn dominant_share(used: &Resources, total: &Resources) -> f64 {
    let part = |used: u64, whole: u64| used as f64 / whole.max(1) as f64;
    let cpu = part(used.cpu.0, total.cpu.0);
    let memory = part(used.memory.0, total.memory.0);
    let accelerators = part(used.accelerators.into(), total.accelerators.into());
    cpu.max(memory).max(accelerators)
}

/// Dominant share of `used` divided by `weight`, in millionths; a weight of 0 counts as 1.
pub(crate) fn weighted_share(used: &Resources, total: &Resources, weight: u32) -> u64 {
    (dominant_share(used, total) / f64::from(weight.max(1)) * MILLIONTHS) as u64
}
