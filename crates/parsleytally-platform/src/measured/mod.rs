//! Borders that count and time what passes them.
//!
//! Each wraps an implementation of its border, so neither side knows of the metrics.

mod desk;
mod host;
mod store;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};
use std::time::Duration;

pub use desk::MeasuredDesk;
pub use host::MeasuredHost;
pub use store::MeasuredStore;

/// Upper bounds of the times of calls, in seconds.
const SECONDS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// Counts and times of one border's calls, by kind and outcome.
#[derive(Debug, Clone)]
struct Calls {
    count: IntCounterVec,
    seconds: HistogramVec,
}

impl Calls {
    /// Registers `NAME_total` and `NAME_seconds`.
    fn register(registry: &Registry, name: &str, what: &str) -> prometheus::Result<Self> {
        let count = Opts::new(
            format!("{name}_total"),
            format!("{what}, by kind and outcome."),
        );
        let seconds = HistogramOpts::new(
            format!("{name}_seconds"),
            format!("{what}: time taken, by kind."),
        );
        let count = IntCounterVec::new(count, &["call", "outcome"])?;
        let seconds = HistogramVec::new(seconds.buckets(SECONDS.to_vec()), &["call"])?;
        registry.register(Box::new(count.clone()))?;
        registry.register(Box::new(seconds.clone()))?;
        Ok(Self { count, seconds })
    }

    fn note(&self, call: &str, outcome: &str, taken: Duration) {
        self.count.with_label_values(&[call, outcome]).inc();
        let seconds = self.seconds.with_label_values(&[call]);
        seconds.observe(taken.as_secs_f64());
    }
}
