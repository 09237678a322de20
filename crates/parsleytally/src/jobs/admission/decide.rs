//! The decision of an entry: accept a job, or refuse it with a retry time.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::sizes::Sizes;
use super::{
    BacklogGroup, Forecast, PoolForecast, UNCERTAIN_TIME, Work, critical_path_ms, is_covered,
    latest_start_ms, objective_ms,
};
use crate::jobs::{JobId, JobSpec, QueueName};
use crate::types::Time;

/// Time for which accepted jobs are remembered, to recognize copies of their submissions.
const KEEP_ACCEPTED: Duration = Duration::from_secs(10);
/// Bounds of the retry time before jitter.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(20));
/// Shortest range of the jitter; `Retry-After` has whole seconds, so a shorter range would
/// leave refused clients few different times.
const MIN_JITTER: Duration = Duration::from_secs(4);

/// Why and for how long a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time until the job would be placed, by the forecast, in milliseconds.
    pub wait_ms: u64,
    /// Age of the forecast, in milliseconds.
    pub age_ms: u64,
    /// Objective of the job, in milliseconds.
    pub objective_ms: u64,
    /// Time after which the client should retry.
    pub retry_after: Duration,
}

/// Decision on one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Store the job.
    Accept,
    /// The job would have no value when it ended.
    Refuse(Refusal),
}

/// A job that this entry accepted and that the forecast covers.
#[derive(Debug)]
struct Accepted {
    id: JobId,
    at: Time,
    estimate: JobEstimate,
}

/// Expected size and run time of a job that the forecast covers.
#[derive(Debug, Clone, PartialEq, Eq)]
struct JobEstimate {
    pool: Arc<str>,
    priority: u32,
    size: Work,
    path_ms: u64,
}

/// Admission control of one entry, without I/O.
#[derive(Debug)]
pub struct AdmissionControl {
    /// Age at which a forecast is not used any more.
    max_age: Duration,
    /// The last forecast, and when the owner computed it.
    forecast: Option<(Time, Forecast)>,
    /// Jobs that this entry accepted in the last seconds, the oldest first.
    accepted: VecDeque<Accepted>,
    /// Sizes of the jobs of each queue.
    sizes: HashMap<QueueName, Sizes>,
    /// Time until which a submission to this entry may reach the store late.
    uncertain_until: Option<Time>,
    /// Wait of the last assessed job, in milliseconds.
    last_wait: u64,
}

impl AdmissionControl {
    /// Creates the admission control; a forecast of `max_age` is not used any more.
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            forecast: None,
            accepted: VecDeque::new(),
            sizes: HashMap::new(),
            uncertain_until: None,
            last_wait: 0,
        }
    }

    /// Takes the owner's answer to a request that was sent at `sent`.
    pub fn update(&mut self, sent: Time, forecast: Forecast) {
        let age_us = forecast.age_ms.saturating_mul(1_000);
        let computed = Time::from_micros(sent.as_micros().saturating_sub(age_us));
        let newer = |(at, _): &(Time, Forecast)| computed >= *at;
        if self.forecast.as_ref().is_none_or(newer) {
            self.forecast = Some((computed, forecast));
        }
    }

    /// Notes that the outcome of a submission is unknown.
    pub fn note_uncertain(&mut self, now: Time) {
        self.uncertain_until = Some(now.after(UNCERTAIN_TIME));
    }

    /// Whether a submission to this entry had an unknown outcome within [`UNCERTAIN_TIME`].
    pub fn is_uncertain(&self, now: Time) -> bool {
        self.uncertain_until.is_some_and(|until| now < until)
    }

    /// Age of the forecast in milliseconds; none before the first.
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        let (at, _) = self.forecast.as_ref()?;
        u64::try_from(now.since(*at).as_millis()).ok()
    }

    /// Whether there is a forecast that is new enough.
    pub fn has_forecast(&self, now: Time) -> bool {
        let age = self.forecast.as_ref().map(|(at, _)| now.since(*at));
        age.is_some_and(|age| age < self.max_age)
    }

    /// Wait of the last assessed job by the forecast, in milliseconds.
    pub fn last_wait_ms(&self) -> u64 {
        self.last_wait
    }

    /// Decides on a job. `random` is uniformly distributed and chooses the jitter.
    ///
    /// An accepted job is counted at once, so that a burst does not pass as a whole. A
    /// refusal is not final: the caller ends it with [`refused`](Self::refused), or with
    /// [`accepted`](Self::accepted) if it finds that it must not refuse.
    pub fn decide(&mut self, now: Time, id: JobId, spec: &JobSpec, random: u64) -> Decision {
        let refusal = self.assess(now, id, spec, random);
        match refusal {
            Some(refusal) => Decision::Refuse(refusal),
            None => {
                self.accepted(now, id, spec);
                Decision::Accept
            }
        }
    }

    /// Counts a job that this entry stores.
    pub fn accepted(&mut self, now: Time, id: JobId, spec: &JobSpec) {
        let expired = |job: &Accepted| now.since(job.at) > KEEP_ACCEPTED;
        while self.accepted.front().is_some_and(expired) {
            self.accepted.pop_front();
        }
        let known = self.accepted.iter().any(|job| job.id == id);
        if let Some(estimate) = self.estimate(spec)
            && !known
        {
            self.record_size(&spec.queue.name, estimate.size, true);
            self.accepted.push_back(Accepted {
                id,
                at: now,
                estimate,
            });
        }
    }

    /// Counts a job that this entry has refused.
    pub fn refused(&mut self, spec: &JobSpec) {
        if let Some(estimate) = self.estimate(spec) {
            self.record_size(&spec.queue.name, estimate.size, false);
        }
    }

    /// Stops counting an accepted job that is certainly not stored.
    pub fn withdraw(&mut self, id: JobId) {
        self.accepted.retain(|job| job.id != id);
    }

    fn record_size(&mut self, queue: &QueueName, size: Work, accepted: bool) {
        let sizes = self.sizes.entry(queue.clone()).or_default();
        sizes.record(size, accepted);
    }

    /// Returns a refusal if the job can't end in time; none in all cases of doubt.
    fn assess(&mut self, now: Time, id: JobId, spec: &JobSpec, random: u64) -> Option<Refusal> {
        let estimate = self.estimate(spec)?;
        let (computed, forecast) = self.forecast.as_ref()?;
        let age = now.since(*computed);
        let copy = self.accepted.iter().any(|job| job.id == id);
        if age >= self.max_age || forecast.uncertain || self.is_uncertain(now) || copy {
            return None;
        }
        let pool = forecast
            .pools
            .iter()
            .find(|pool| pool.pool == estimate.pool)?;
        // A job of smaller tasks may find capacity that those waiting can't use.
        if !spec.steps.iter().all(|step| pool.waiting.fits(&step.need)) {
            return None;
        }
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        // The fleet has worked on the backlog since the forecast was computed.
        let wait_ms = self.wait_ms(*computed, pool, spec, &estimate);
        let wait_ms = wait_ms.saturating_sub(age_ms);
        self.last_wait = wait_ms;
        let excess = wait_ms.checked_sub(latest_start_ms(&spec.queue, estimate.path_ms) + 1)?;
        let sizes = self.sizes.get(&spec.queue.name);
        if sizes.is_some_and(|sizes| !sizes.may_refuse(estimate.size)) {
            return None;
        }
        Some(Refusal {
            wait_ms,
            age_ms,
            objective_ms: objective_ms(&spec.queue, estimate.path_ms),
            retry_after: retry_after(excess, random),
        })
    }

    /// Time until the job would be placed if nothing else were submitted.
    fn wait_ms(
        &self,
        computed: Time,
        pool: &PoolForecast,
        spec: &JobSpec,
        job: &JobEstimate,
    ) -> u64 {
        let before = |priority: u32, size: Work| {
            priority < job.priority || (priority == job.priority && size <= job.size)
        };
        let backlog = pool.backlog.iter();
        let backlog = backlog.filter(|group| before(group.priority, group.size));
        let sum = |work: Work, group: &BacklogGroup| work.plus(group.work);
        let on_time = backlog.clone().filter(|group| !group.late);
        let own = self.accepted.iter().filter(|own| own.at >= computed);
        let own = own.map(|own| &own.estimate);
        let own = own.filter(|own| own.pool == pool.pool && before(own.priority, own.size));
        let own = own.fold(Work(0), |work, own| work.plus(own.size));
        let on_time_ms = on_time.fold(own, sum).shortest_ms(pool.rate);
        if on_time_ms + job.path_ms <= objective_ms(&spec.queue, job.path_ms) {
            return on_time_ms;
        }
        // The job will be late, so late jobs with less remaining work go before it.
        backlog.fold(own, sum).shortest_ms(pool.rate)
    }

    /// Size of a job, or none if the forecast does not cover it.
    fn estimate(&self, spec: &JobSpec) -> Option<JobEstimate> {
        let refusable = spec.queue.priority > 0
            && spec.repeat.is_none()
            && !spec.steps.is_empty()
            && spec.steps.iter().all(is_covered);
        if !refusable {
            return None;
        }
        let percent = self.correction(&spec.queue.name);
        let run_ms: Vec<u64> = spec
            .steps
            .iter()
            .map(|step| step.estimate_ms.saturating_mul(percent) / 100)
            .collect();
        let works = spec.steps.iter().zip(&run_ms);
        let size = works.fold(Work(0), |size, (step, run_ms)| {
            size.plus(Work::of_tasks(step, step.count.into(), *run_ms))
        });
        Some(JobEstimate {
            pool: spec.queue.service.clone(),
            priority: spec.queue.priority,
            size,
            path_ms: critical_path_ms(&spec.steps, &run_ms),
        })
    }

    /// Measured run time of the queue's tasks in percent of their estimates.
    fn correction(&self, queue: &QueueName) -> u64 {
        let known = self.forecast.as_ref().and_then(|(_, forecast)| {
            let known = forecast.queues.iter().find(|known| known.queue == *queue);
            known.map(|known| known.percent.into())
        });
        known.unwrap_or(100)
    }
}

/// Time from a refusal to the client's next attempt: about when the backlog has become short
/// enough, with jitter so that clients refused together return at different times.
fn retry_after(excess_ms: u64, random: u64) -> Duration {
    let (least, most) = RETRY_RANGE;
    let base = Duration::from_millis(excess_ms).clamp(least, most);
    let range = base.max(MIN_JITTER);
    let range_ms = u64::try_from(range.as_millis()).unwrap_or(u64::MAX);
    base + Duration::from_millis(random % range_ms.max(1))
}
