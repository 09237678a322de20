//! Allowance for the drift between two clocks.

use std::time::Duration;

/// Thousandths added to a duration. The rate of each clock is within one thousandth
/// of true time, so two clocks differ by just over two thousandths.
const DRIFT_PER_MILLE: u32 = 3;

/// Extends `duration`, so that on this clock it lasts longer than `duration` on any other.
pub fn with_drift_margin(duration: Duration) -> Duration {
    duration + duration * DRIFT_PER_MILLE / 1000 + Duration::from_micros(1)
}
