//! A span for each hop of a request, all of one trace.
//!
//! With the feature `spans` they are recorded by `fastrace`, and the latest are kept
//! for operators. That library measures the processor's clock at every start, which
//! takes seconds on a machine with a small share of a core, so a build without the
//! feature passes the trace context on and records nothing.

#[cfg(feature = "spans")]
mod kept;
#[cfg(not(feature = "spans"))]
mod passed;

#[cfg(feature = "spans")]
pub use kept::{FutureExt, Span, SpanContext, latest, start};
#[cfg(not(feature = "spans"))]
pub use passed::{FutureExt, Span, SpanContext, latest, start};

use serde::Serialize;

/// One finished span.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SpanView {
    /// Trace id in hexadecimal.
    pub trace: String,
    /// Span id in hexadecimal.
    pub span: String,
    /// Id of the parent span in hexadecimal; zeros for none.
    pub parent: String,
    /// Name of the hop.
    pub name: String,
    /// Start, in nanoseconds since the Unix epoch.
    pub start_ns: u64,
    /// Duration, in nanoseconds.
    pub duration_ns: u64,
}

/// The context in a `traceparent`, or a new trace when there is none.
pub fn context(traceparent: Option<&str>) -> SpanContext {
    traceparent
        .and_then(SpanContext::decode_w3c_traceparent)
        .unwrap_or_else(SpanContext::random)
}
