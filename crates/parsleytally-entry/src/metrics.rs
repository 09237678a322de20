//! Counters and gauges of an entry.

use parsleytally_platform::store::CallMetrics;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 2.5, 10.0,
];

/// Metrics of one entry; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) latency: Histogram,
    pub(crate) in_flight: IntGauge,
    pub(crate) endpoints: IntGauge,
    pub(crate) ejected: IntCounter,
    pub(crate) refused_links: IntCounter,
    pub(crate) stale_news: IntGauge,
    pub(crate) revision: IntGauge,
    pub(crate) bad_settings: IntCounter,
    pub(crate) bad_texts: IntGauge,
    pub(crate) silent_watches: IntCounter,
    pub(crate) store_behind: IntCounter,
    pub(crate) tasks: IntCounterVec,
    pub(crate) shards: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let latency = HistogramOpts::new(
            "parsleytally_entry_request_seconds",
            "Time from a caller's request to its answer, in seconds.",
        );
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("parsleytally_entry_requests_total", "Requests by outcome."),
                &["outcome"],
            )?,
            latency: Histogram::with_opts(latency.buckets(LATENCY_BUCKETS_S.to_vec()))?,
            in_flight: IntGauge::new("parsleytally_entry_in_flight", "Requests in flight.")?,
            endpoints: IntGauge::new("parsleytally_entry_endpoints", "Known endpoints.")?,
            ejected: IntCounter::new(
                "parsleytally_entry_ejections_total",
                "Endpoints set aside after failures.",
            )?,
            refused_links: IntCounter::new(
                "parsleytally_entry_refused_links_total",
                "Connections that did not become links: no key, another version, garbage.",
            )?,
            stale_news: IntGauge::new(
                "parsleytally_entry_stale_news",
                "Announcements and heartbeats that came late, doubled or of an earlier life.",
            )?,
            revision: IntGauge::new(
                "parsleytally_entry_settings_revision",
                "Revision of the settings in force here.",
            )?,
            bad_settings: IntCounter::new(
                "parsleytally_entry_bad_settings_total",
                "Values in the store that were kept out of force.",
            )?,
            bad_texts: IntGauge::new(
                "parsleytally_entry_bad_settings",
                "Values in the store that are kept out of force now.",
            )?,
            silent_watches: IntCounter::new(
                "parsleytally_entry_silent_watches_total",
                "Watches of the settings that missed a change and were replaced.",
            )?,
            store_behind: IntCounter::new(
                "parsleytally_entry_store_behind_total",
                "Answers of the store below the revision in force here.",
            )?,
            shards: IntGauge::new(
                "parsleytally_entry_shards",
                "Shards of teams that this entry decides about.",
            )?,
            tasks: IntCounterVec::new(
                Opts::new("parsleytally_entry_tasks_total", "Batch tasks by event."),
                &["event"],
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry.register(Box::new(self.latency.clone()))?;
        self.registry.register(Box::new(self.in_flight.clone()))?;
        self.registry.register(Box::new(self.ejected.clone()))?;
        self.registry
            .register(Box::new(self.refused_links.clone()))?;
        self.registry.register(Box::new(self.stale_news.clone()))?;
        self.registry.register(Box::new(self.endpoints.clone()))?;
        self.registry.register(Box::new(self.revision.clone()))?;
        self.registry
            .register(Box::new(self.bad_settings.clone()))?;
        self.registry.register(Box::new(self.bad_texts.clone()))?;
        self.registry
            .register(Box::new(self.silent_watches.clone()))?;
        self.registry
            .register(Box::new(self.store_behind.clone()))?;
        self.registry.register(Box::new(self.shards.clone()))?;
        self.registry.register(Box::new(self.tasks.clone()))
    }

    /// Shows the calls to the platform's store as well.
    pub(crate) fn show_calls(&self, calls: &CallMetrics) -> prometheus::Result<()> {
        calls.register(&self.registry)
    }

    /// All metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> String {
        let mut bytes = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        if let Err(error) = encoded {
            log::error!("metrics do not encode: {error}");
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}
