//! Structured log lines on standard output.
//!
//! A line is handed to a thread that writes, through a bounded ring, so that a duty
//! never waits for the reader of the log. What the ring or the rate leaves no room for is
//! dropped and counted, and the count is a line of its own.

use std::sync::LazyLock;

use logforth::filter::rustlog::RustLogFilterBuilder;
use prometheus::IntCounter;

mod ring;
#[cfg(test)]
mod tests;

use ring::Ring;

/// Lines that were dropped since the process started.
static DROPPED: LazyLock<IntCounter> = LazyLock::new(|| {
    let name = "parsleytally_log_lines_dropped_total";
    IntCounter::new(name, "Log lines that were dropped.").expect("valid metric")
});

/// Bounds on the volume of logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogBounds {
    /// Lines at level `info` or below in one second; warnings and errors always pass.
    pub per_second: u64,
    /// Lines that wait to be written.
    pub waiting: usize,
}

impl Default for LogBounds {
    fn default() -> Self {
        Self {
            per_second: 2_000,
            waiting: 4_096,
        }
    }
}

/// Starts logging in logfmt; `RUST_LOG` chooses what is written, by default `info`.
pub fn start() {
    let ring = Ring::start(
        LogBounds::default(),
        Box::new(std::io::stdout()),
        DROPPED.clone(),
    );
    logforth::starter_log::builder()
        .dispatch(|d| {
            let d = d.filter(RustLogFilterBuilder::from_default_env_or("info").build());
            #[cfg(feature = "spans")]
            let d = d.diagnostic(logforth::diagnostic::FastraceDiagnostic::default());
            d.append(ring)
        })
        .apply();
}

/// Waits until the lines so far are written, but not for a reader that stands still.
pub fn flush() {
    log::logger().flush();
}

/// The count of lines that were dropped since the process started.
pub fn dropped() -> &'static IntCounter {
    &DROPPED
}
