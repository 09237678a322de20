//! Spans that are recorded, the latest in memory.

use std::collections::VecDeque;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

pub use fastrace::Span;
use fastrace::collector::{Config, Reporter, SpanRecord};
pub use fastrace::future::FutureExt;
pub use fastrace::prelude::SpanContext;

use super::SpanView;

/// Spans kept; the oldest are dropped first.
const KEPT_SPANS: usize = 1_000;
/// Longest time between a span's end and its appearance.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

static KEPT: Mutex<VecDeque<SpanView>> = Mutex::new(VecDeque::new());
static STARTED: OnceLock<()> = OnceLock::new();

struct Keeper;

impl Reporter for Keeper {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        let mut kept = KEPT.lock().unwrap_or_else(PoisonError::into_inner);
        for span in spans {
            if kept.len() == KEPT_SPANS {
                kept.pop_front();
            }
            kept.push_back(view(&span));
        }
    }
}

fn view(span: &SpanRecord) -> SpanView {
    SpanView {
        trace: format!("{:032x}", span.trace_id.0),
        span: format!("{:016x}", span.span_id.0),
        parent: format!("{:016x}", span.parent_id.0),
        name: span.name.to_string(),
        start_ns: span.begin_time_unix_ns,
        duration_ns: span.duration_ns,
    }
}

/// Starts collecting spans; later calls change nothing.
pub fn start() {
    STARTED.get_or_init(|| {
        let config = Config::default().report_interval(REPORT_INTERVAL);
        fastrace::set_reporter(Keeper, config);
    });
}

/// The latest spans, oldest first.
pub fn latest() -> Vec<SpanView> {
    fastrace::flush();
    let kept = KEPT.lock().unwrap_or_else(PoisonError::into_inner);
    kept.iter().cloned().collect()
}
