//! Prometheus metrics of an entry.

use parsleytally_platform::process::http::HttpMetrics;
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::store::CallMetrics;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 2.5, 10.0,
];

/// Metrics of one entry; clones share the same values.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    set: MetricSet,
    pub(crate) http: HttpMetrics,
    pub(crate) requests: IntCounterVec,
    pub(crate) barred: IntCounter,
    pub(crate) latency: Histogram,
    pub(crate) in_flight: IntGauge,
    pub(crate) endpoints: IntGauge,
    pub(crate) ejected: IntCounter,
    pub(crate) refused_links: IntCounter,
    pub(crate) stale_updates: IntGauge,
    pub(crate) revision: IntGauge,
    pub(crate) bad_settings: IntCounter,
    pub(crate) current_bad_settings: IntGauge,
    pub(crate) silent_watches: IntCounter,
    pub(crate) store_behind: IntCounter,
    pub(crate) tasks: IntCounterVec,
    pub(crate) shards: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let set = MetricSet::default();
        Ok(Self {
            http: HttpMetrics::new(&set)?,
            requests: set.counters(
                "parsleytally_entry_requests_total",
                "Requests by outcome.",
                "outcome",
            )?,
            barred: set.counter(
                "parsleytally_entry_barred_requests_total",
                "Requests not sent on, or refused, since endpoints were lost under them.",
            )?,
            latency: set.histogram(
                "parsleytally_entry_request_seconds",
                "Time from a caller's request to its answer, in seconds.",
                &LATENCY_BUCKETS_S,
            )?,
            in_flight: set.gauge("parsleytally_entry_in_flight", "Requests in flight.")?,
            endpoints: set.gauge("parsleytally_entry_endpoints", "Known endpoints.")?,
            ejected: set.counter(
                "parsleytally_entry_ejections_total",
                "Endpoints set aside after failures.",
            )?,
            refused_links: set.counter(
                "parsleytally_entry_refused_links_total",
                "Connections that did not become links: no key, another version, garbage.",
            )?,
            stale_updates: set.gauge(
                "parsleytally_entry_stale_news",
                "Announcements and heartbeats that came late, doubled or of an earlier life.",
            )?,
            revision: set.gauge(
                "parsleytally_entry_settings_revision",
                "Revision of the settings in force here.",
            )?,
            bad_settings: set.counter(
                "parsleytally_entry_bad_settings_total",
                "Values in the store that were kept out of force.",
            )?,
            current_bad_settings: set.gauge(
                "parsleytally_entry_bad_settings",
                "Values in the store that are kept out of force now.",
            )?,
            silent_watches: set.counter(
                "parsleytally_entry_silent_watches_total",
                "Watches of the settings that missed a change and were replaced.",
            )?,
            store_behind: set.counter(
                "parsleytally_entry_store_behind_total",
                "Answers of the store below the revision in force here.",
            )?,
            shards: set.gauge(
                "parsleytally_entry_shards",
                "Shards of teams that this entry decides about.",
            )?,
            tasks: set.counters(
                "parsleytally_entry_tasks_total",
                "Batch tasks by event.",
                "event",
            )?,
            set,
        })
    }

    /// Adds the metrics of calls to the platform's store to the page.
    pub(crate) fn register_store_calls(&self, calls: &CallMetrics) -> prometheus::Result<()> {
        calls.register(self.set.registry())
    }

    /// Encodes all metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> String {
        self.set.text()
    }
}
