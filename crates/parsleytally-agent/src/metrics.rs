//! Counters and gauges of an agent.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Metrics of one agent; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) busy: IntGauge,
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
        self.registry.register(Box::new(self.links.clone()))?;
        self.registry.register(Box::new(self.dials.clone()))?;
        self.registry.register(Box::new(self.runs.clone()))
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
