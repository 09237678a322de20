//! Counters and gauges of an agent.

use crate::admission::Load;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Metrics of one agent; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
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
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("parsleytally_agent_requests_total", "Requests by outcome."),
                &["outcome"],
            )?,
            busy: IntGauge::new("parsleytally_agent_busy_requests", "Requests in service.")?,
            waiting: IntGauge::new(
                "parsleytally_agent_waiting_requests",
                "Requests that wait for a slot.",
            )?,
            keys: IntGauge::new(
                "parsleytally_agent_idempotency_keys",
                "Idempotency keys that are remembered.",
            )?,
            links: IntGauge::new("parsleytally_agent_links", "Open links to entries.")?,
            dials: IntCounter::new("parsleytally_agent_dials_total", "Tries to open a link.")?,
            runs: IntCounterVec::new(
                Opts::new("parsleytally_agent_runs_total", "Runs by event."),
                &["event"],
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry.register(Box::new(self.busy.clone()))?;
        self.registry.register(Box::new(self.waiting.clone()))?;
        self.registry.register(Box::new(self.keys.clone()))?;
        self.registry.register(Box::new(self.links.clone()))?;
        self.registry.register(Box::new(self.dials.clone()))?;
        self.registry.register(Box::new(self.runs.clone()))
    }

    /// Shows the load of the last heartbeat.
    pub(crate) fn set_load(&self, load: Load, keys: usize) {
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.busy.set(gauge(load.in_service));
        self.waiting.set(gauge(load.waiting));
        self.keys.set(gauge(keys));
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
