//! Prometheus metrics of an agent.

use crate::admission::Load;
use parsleytally_platform::process::http::HttpMetrics;
use parsleytally_platform::process::metrics::MetricSet;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

/// Metrics of one agent; clones share the same counters.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    set: MetricSet,
    pub(crate) http: HttpMetrics,
    pub(crate) requests: IntCounterVec,
    busy: IntGauge,
    waiting: IntGauge,
    keys: IntGauge,
    pub(crate) links: IntGauge,
    pub(crate) dials: IntCounter,
    pub(crate) runs: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let set = MetricSet::default();
        Ok(Self {
            http: HttpMetrics::new(&set)?,
            requests: set.counters(
                "parsleytally_agent_requests_total",
                "Requests by outcome.",
                "outcome",
            )?,
            busy: set.gauge("parsleytally_agent_busy_requests", "Requests in service.")?,
            waiting: set.gauge(
                "parsleytally_agent_waiting_requests",
                "Requests that wait for a slot.",
            )?,
            keys: set.gauge(
                "parsleytally_agent_idempotency_keys",
                "Idempotency keys that are remembered.",
            )?,
            links: set.gauge("parsleytally_agent_links", "Open links to entries.")?,
            dials: set.counter("parsleytally_agent_dials_total", "Tries to open a link.")?,
            runs: set.counters("parsleytally_agent_runs_total", "Runs by event.", "event")?,
            set,
        })
    }

    /// Sets the gauges of current requests and remembered idempotency keys.
    pub(crate) fn set_load(&self, load: Load, keys: usize) {
        let saturated = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.busy.set(saturated(load.in_service));
        self.waiting.set(saturated(load.waiting));
        self.keys.set(saturated(keys));
    }

    /// All metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> String {
        self.set.text()
    }
}
