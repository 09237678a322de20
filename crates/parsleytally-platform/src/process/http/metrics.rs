//! Metrics of the listeners of a process.

use parsleytally::configs::HttpConfig;
use prometheus::{IntCounterVec, IntGaugeVec, Opts, Result};

use super::limit::Limit;
use super::server::Listener;
use crate::process::metrics::MetricSet;

/// Metrics of all listeners of a process, by the listener's name; clones share them.
#[derive(Debug, Clone)]
pub struct HttpMetrics {
    connections: IntGaugeVec,
    held: IntGaugeVec,
    limits: IntCounterVec,
}

impl HttpMetrics {
    /// Makes the metrics and registers them in `set`.
    ///
    /// # Errors
    ///
    /// Returns the library's error for a name that is taken.
    pub fn new(set: &MetricSet) -> Result<Self> {
        Ok(Self {
            connections: set.gauges(
                "parsleytally_http_connections",
                "Open connections.",
                "listener",
            )?,
            held: set.gauges(
                "parsleytally_http_held_bytes",
                "Memory that is charged to connections.",
                "listener",
            )?,
            limits: set.paired_counters(
                "parsleytally_http_limited_total",
                "Connections closed and requests refused at a limit.",
                ["listener", "limit"],
            )?,
        })
    }

    /// A listener that is counted here.
    pub fn listener(&self, name: &'static str, limits: HttpConfig) -> Listener {
        Listener {
            name,
            limits,
            metrics: self.clone(),
        }
    }

    /// Metrics that no page shows.
    pub(super) fn unregistered() -> Self {
        let gauges = |name: &str| {
            IntGaugeVec::new(Opts::new(name, name), &["listener"]).expect("the name is valid")
        };
        let limits = Opts::new("limits", "limits");
        let limits = IntCounterVec::new(limits, &["listener", "limit"]);
        Self {
            connections: gauges("connections"),
            held: gauges("held"),
            limits: limits.expect("the name is valid"),
        }
    }

    pub(super) fn set(&self, listener: &str, connections: usize, held: usize) {
        let gauge = |gauges: &IntGaugeVec, value: usize| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            gauges.with_label_values(&[listener]).set(value);
        };
        gauge(&self.connections, connections);
        gauge(&self.held, held);
    }

    pub(super) fn count(&self, listener: &str, limit: Limit) {
        let limit = limit.to_string();
        self.limits.with_label_values(&[listener, &limit]).inc();
    }
}
