//! Token bucket that is refilled by first attempts and drained by retries.

/// Units per token; counting thousandths avoids rounding drift when shares are added up.
const UNITS_PER_TOKEN: u64 = 1_000;

/// Limits retries to a share of the first attempts, plus a burst.
#[derive(Debug)]
pub(super) struct Budget {
    units_per_attempt: u64,
    capacity: u64,
    units: u64,
}

impl Budget {
    /// Creates a full bucket of `burst` tokens that gains a `share` of one per first attempt.
    pub(super) fn new(share: f64, burst: u32) -> Self {
        let capacity = u64::from(burst) * UNITS_PER_TOKEN;
        Self {
            units_per_attempt: (share.clamp(0.0, 1.0) * UNITS_PER_TOKEN as f64) as u64,
            capacity,
            units: capacity,
        }
    }

    /// Adds the share of one first attempt, up to the capacity.
    pub(super) fn refill(&mut self) {
        self.units = (self.units + self.units_per_attempt).min(self.capacity);
    }

    /// Removes one token; returns `false` if none is available.
    pub(super) fn try_spend(&mut self) -> bool {
        match self.units.checked_sub(UNITS_PER_TOKEN) {
            Some(remaining) => {
                self.units = remaining;
                true
            }
            None => false,
        }
    }
}
