//! The metrics of a process, by `prometheus`.

use ::http::{Method, StatusCode};
use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, Result, TextEncoder,
};
use volo_http::request::Request;

use super::http::{self, Answering, Handler};
use super::logs;

/// Metrics that are shown together; clones share them.
///
/// Each method that makes a metric registers it, and fails when its name is not
/// valid or is taken.
#[derive(Debug, Clone, Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// Begins with what is counted in each process.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on a taken name.
    pub fn of_process() -> Result<Self> {
        let set = Self::default();
        let dropped = logs::dropped().clone();
        set.registry.register(Box::new(dropped))?;
        Ok(set)
    }

    /// Makes a counter.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on a wrong or taken name.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.add(IntCounter::new(name, help)?)
    }

    /// Makes a counter for each value of `label`.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on a wrong or taken name.
    pub fn counters(&self, name: &str, help: &str, label: &str) -> Result<IntCounterVec> {
        self.add(IntCounterVec::new(Opts::new(name, help), &[label])?)
    }

    /// Makes a counter for each pair of values of `labels`.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on a wrong or taken name.
    pub fn paired_counters(
        &self,
        name: &str,
        help: &str,
        labels: [&str; 2],
    ) -> Result<IntCounterVec> {
        self.add(IntCounterVec::new(Opts::new(name, help), &labels)?)
    }

    /// Makes a gauge.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on a wrong or taken name.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.add(IntGauge::new(name, help)?)
    }

    /// Makes a gauge for each value of `label`.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on a wrong or taken name.
    pub fn gauges(&self, name: &str, help: &str, label: &str) -> Result<IntGaugeVec> {
        self.add(IntGaugeVec::new(Opts::new(name, help), &[label])?)
    }

    /// Makes a histogram with the upper bounds `buckets`.
    ///
    /// # Errors
    ///
    /// Returns what the library reports on a wrong or taken name, or wrong bounds.
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Result<Histogram> {
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        self.add(Histogram::with_opts(options)?)
    }

    /// Where further metrics can be registered.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// All metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        if let Err(error) = encoded {
            log::error!("metrics do not encode: {error}");
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn add<M: Collector + Clone + 'static>(&self, metric: M) -> Result<M> {
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}

/// Serves the metrics of a process for batch jobs.
impl Handler for MetricSet {
    fn answer(&self, request: Request) -> Answering<'_> {
        Box::pin(async move {
            if request.method() != Method::GET {
                return http::text(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered\n");
            }
            http::text(StatusCode::OK, self.text())
        })
    }
}
