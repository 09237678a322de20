//! Bound on how far two clocks drift apart.

use std::time::Duration;

/// Thousandths added to a span so that it outlasts the same span on any other clock,
/// with each clock's rate within one thousandth of true time.
const DRIFT_PER_MILLE: u32 = 3;

/// A span that is longer in true time than `span` measured on any other clock.
pub fn with_drift_margin(span: Duration) -> Duration {
    span + span * DRIFT_PER_MILLE / 1000 + Duration::from_micros(1)
}
