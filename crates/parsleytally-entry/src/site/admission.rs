//! Admission control of an entry: polls the owner's forecast, and refuses jobs that would
//! end too late to have any value.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::configs::AdmissionConfig;
use parsleytally::jobs::{
    AdmissionControl, Decision, Forecast, JobId, JobReply, JobRequest, JobSpec, Refusal,
};
use parsleytally::types::Time;
use parsleytally_platform::jobs::SubmitAnswer;
use parsleytally_platform::process::Clock;
use parsleytally_platform::process::metrics::MetricSet;
use parsleytally_platform::store::Store;
use prometheus::{IntCounterVec, IntGauge};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout, timeout_at};

use super::keys;
use super::owner_client::OwnerClient;

/// Time between two requests for the forecast.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the owner's answer; well below the age at which a forecast is discarded.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the store's answer before a refusal. The job is accepted without one, and
/// storing it needs the rest of the client's time.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Value of the age gauge without a forecast.
const NO_FORECAST: i64 = -1;

/// Metrics of the admission control.
#[derive(Debug, Clone)]
pub(super) struct AdmissionMetrics {
    refused: IntCounterVec,
    age: IntGauge,
    wait: IntGauge,
}

impl AdmissionMetrics {
    pub(super) fn new(set: &MetricSet) -> prometheus::Result<Self> {
        let metrics = Self {
            refused: set.counters(
                "parsleytally_jobs_hopeless_total",
                "Jobs refused because they would end too late, by queue.",
                "queue",
            )?,
            age: set.gauge(
                "parsleytally_jobs_forecast_age_milliseconds",
                "Age of the owner's forecast at this entry; -1 without a forecast.",
            )?,
            wait: set.gauge(
                "parsleytally_jobs_forecast_wait_milliseconds",
                "Forecast wait of the job that was assessed last.",
            )?,
        };
        metrics.age.set(NO_FORECAST);
        Ok(metrics)
    }

    pub(super) fn count_refused(&self, queue: &str) {
        self.refused.with_label_values(&[queue]).inc();
    }
}

/// The admission control of an entry and its clock.
pub(super) struct Admission {
    control: Mutex<AdmissionControl>,
    clock: Clock,
    metrics: AdmissionMetrics,
}

impl Admission {
    /// Creates the admission control if the settings enable refusals.
    pub(super) fn new(config: &AdmissionConfig, metrics: AdmissionMetrics) -> Option<Arc<Self>> {
        config.refuse.then(|| {
            Arc::new(Self {
                control: Mutex::new(AdmissionControl::new(config.max_age)),
                clock: Clock::start(),
                metrics,
            })
        })
    }

    /// Requests the forecast from the owner at intervals.
    pub(super) async fn poll(self: Arc<Self>, owner: Arc<OwnerClient>) {
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let sent = self.clock.now();
            let uncertain = self.control().is_uncertain(sent);
            let request = owner.request(JobRequest::Forecast { uncertain });
            if let Ok(Some(JobReply::Forecast(forecast))) = timeout(POLL_TIMEOUT, request).await {
                self.update(sent, forecast);
            }
            self.update_metrics();
        }
    }

    /// Takes the owner's answer to a request that was sent at `sent`.
    pub(super) fn update(&self, sent: Time, forecast: Forecast) {
        for pool in &forecast.pools {
            log::debug!(pool = &*pool.pool, rate = pool.rate, other_rate = pool.other_rate,
                groups = pool.backlog.len(); "forecast received");
        }
        self.control().update(sent, forecast);
    }

    /// Whether there is a forecast that is new enough.
    #[cfg(test)]
    pub(super) fn has_forecast(&self) -> bool {
        let now = self.clock.now();
        self.control().has_forecast(now)
    }

    /// Notes that a submission may reach the store late.
    pub(super) fn note_uncertain(&self) {
        let now = self.clock.now();
        self.control().note_uncertain(now);
    }

    /// Returns the final answer to a submission that is not to be stored, or none if the job
    /// is to be stored.
    pub(super) async fn refuse(
        &self,
        store: &dyn Store,
        id: JobId,
        spec: &JobSpec,
        deadline: Instant,
    ) -> Option<SubmitAnswer> {
        let now = self.clock.now();
        let decision = self.control().decide(now, id, spec, rand::random());
        let Decision::Refuse(refusal) = decision else {
            return None;
        };
        match is_stored(store, id, deadline).await {
            Some(false) => Some(self.refused(id, spec, &refusal)),
            Some(true) => {
                log::info!(job:% = id, queue:% = spec.queue.name;
                    "job not refused: it is stored already");
                Some(SubmitAnswer::Accepted)
            }
            None => {
                log::warn!(job:% = id, queue:% = spec.queue.name;
                    "job not refused: the store can't tell whether it is stored");
                let now = self.clock.now();
                let mut control = self.control();
                control.note_uncertain(now);
                control.accepted(now, id, spec);
                None
            }
        }
    }

    /// Begins the submission of a job that is not refused.
    pub(super) fn begin(&self, id: JobId) -> PendingOutcome<'_> {
        PendingOutcome {
            admission: self,
            id,
            answer: SubmitAnswer::Unknown,
        }
    }

    fn refused(&self, id: JobId, spec: &JobSpec, refusal: &Refusal) -> SubmitAnswer {
        self.control().refused(spec);
        let queue = &spec.queue.name;
        self.metrics.count_refused(&queue.0);
        let retry_after_ms = u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX);
        log::info!(job:% = id, queue:% = queue, wait_ms = refusal.wait_ms,
            age_ms = refusal.age_ms, objective_ms = refusal.objective_ms, retry_after_ms;
            "job refused");
        SubmitAnswer::Refused {
            retry_after: refusal.retry_after,
        }
    }

    fn update_metrics(&self) {
        let now = self.clock.now();
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let control = self.control();
        let age = control.age_ms(now);
        self.metrics.age.set(age.map_or(NO_FORECAST, gauge));
        self.metrics.wait.set(gauge(control.last_wait_ms()));
    }

    fn control(&self) -> MutexGuard<'_, AdmissionControl> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A submission in progress. If it is dropped before its end, as when the client disconnects,
/// its outcome counts as unknown.
pub(super) struct PendingOutcome<'a> {
    admission: &'a Admission,
    id: JobId,
    answer: SubmitAnswer,
}

impl PendingOutcome<'_> {
    /// Ends the submission with this answer to the client.
    pub(super) fn end(mut self, answer: SubmitAnswer) {
        self.answer = answer;
    }
}

impl Drop for PendingOutcome<'_> {
    fn drop(&mut self) {
        match self.answer {
            SubmitAnswer::Accepted => {}
            SubmitAnswer::Refused { .. } => self.admission.control().withdraw(self.id),
            SubmitAnswer::Unknown => self.admission.note_uncertain(),
        }
    }
}

/// Whether the store has a job with this id; none if it does not answer in time.
async fn is_stored(store: &dyn Store, id: JobId, deadline: Instant) -> Option<bool> {
    let key = keys::job(id);
    let deadline = deadline.min(Instant::now() + CHECK_TIMEOUT);
    match timeout_at(deadline, store.range(&key)).await {
        Ok(Ok(found)) => Some(found.item(&key).is_some()),
        Ok(Err(_)) | Err(_) => None,
    }
}
