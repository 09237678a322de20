//! Structured log lines on standard output.

use logforth::append::Stdout;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Starts logging in logfmt; `RUST_LOG` chooses what is written, by default `info`.
pub fn start() {
    logforth::starter_log::builder()
        .dispatch(|d| {
            let d = d.filter(RustLogFilterBuilder::from_default_env_or("info").build());
            #[cfg(feature = "spans")]
            let d = d.diagnostic(logforth::diagnostic::FastraceDiagnostic::default());
            d.append(Stdout::default().with_layout(LogfmtLayout::default()))
        })
        .apply();
}
