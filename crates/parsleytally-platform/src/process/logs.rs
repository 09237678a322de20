//! Structured log lines on standard error.

use logforth::append::Stderr;
use logforth::diagnostic::FastraceDiagnostic;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Starts logging in logfmt; `RUST_LOG` chooses what is written, by default `info`.
pub fn start() {
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .diagnostic(FastraceDiagnostic::default())
                .append(Stderr::default().with_layout(LogfmtLayout::default()))
        })
        .apply();
}
