//! The forecast of the owner: open best-effort work of each pool and how fast it is done.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::completed::{CompletedWork, QueueEstimate, WINDOW_SECS};
use super::{UNCERTAIN_TIME, Work};
use crate::types::{Resources, Time};

/// Time for which a computed forecast is given to all entries.
const REFRESH: Duration = Duration::from_millis(500);
/// Time for which tasks must have waited for capacity before the forecast limits anything:
/// until then the measured rate says nothing about what the fleet could do.
const SATURATION_TIME: Duration = Duration::from_secs(3);
/// Longest gap between two samples of the saturation.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(1_500);
/// Most groups of open jobs of a pool, which bound the size of a forecast to about 1 KB.
const MAX_GROUPS: usize = 48;

/// Open jobs that are placed at about the same position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BacklogGroup {
    /// Whether the jobs will miss their objectives; others go first.
    pub late: bool,
    /// Priority of their queue; 0 is the highest.
    pub priority: u32,
    /// Most remaining work of one of the jobs; jobs with less remaining work go first.
    pub size: Work,
    /// Work of all these jobs that is still to be done.
    pub work: Work,
}

/// Forecast for one pool whose best-effort tasks wait for capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolForecast {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Best-effort work done per millisecond, in thousandths of a processor: the highest of
    /// what was running and of what was completed in the last seconds.
    pub rate: u64,
    /// Other work completed per millisecond, without services.
    pub other_rate: u64,
    /// Need of the smallest task that waits for capacity.
    pub waiting: Resources,
    /// Open jobs in the order of their placement.
    pub backlog: Vec<BacklogGroup>,
}

/// What the owner expects of the work in its fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forecast {
    /// Age when the owner answered, in milliseconds.
    pub age_ms: u64,
    /// Whether a submission had an unknown outcome within [`UNCERTAIN_TIME`].
    pub uncertain: bool,
    /// Pools in which best-effort tasks have waited for capacity for seconds.
    pub pools: Vec<PoolForecast>,
    /// Corrections of the estimates, by queue.
    pub queues: Vec<QueueEstimate>,
}

/// An open best-effort job as the forecast counts it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::jobs) struct OpenJob {
    pub(in crate::jobs) late: bool,
    pub(in crate::jobs) priority: u32,
    /// Remaining work, as it decides the order.
    pub(in crate::jobs) size: Work,
    /// Part of the work that is not done yet.
    pub(in crate::jobs) work: Work,
    /// Latest time until its start, in milliseconds from now, at which it has any value.
    pub(in crate::jobs) latest_ms: u64,
}

/// State of a pool when a forecast is computed.
#[derive(Debug, Default)]
pub(in crate::jobs) struct PoolSample {
    /// Processors that its best-effort runs request, in thousandths.
    pub(in crate::jobs) running: u64,
    /// Need of the smallest best-effort task that no worker can take now.
    pub(in crate::jobs) waiting: Option<Resources>,
    /// Its open best-effort jobs.
    pub(in crate::jobs) jobs: Vec<OpenJob>,
}

/// What is remembered of one sample of a pool.
#[derive(Debug)]
struct PastSample {
    at: Time,
    running: u64,
    saturated: bool,
}

/// State from which the owner computes forecasts.
#[derive(Debug, Default)]
pub(in crate::jobs) struct ForecastState {
    pub(in crate::jobs) completed: CompletedWork,
    samples: BTreeMap<Arc<str>, VecDeque<PastSample>>,
    last: Option<(Time, Forecast)>,
    uncertain_until: Option<Time>,
}

impl ForecastState {
    /// Notes that an entry had a submission with an unknown outcome.
    pub(in crate::jobs) fn note_uncertain(&mut self, now: Time) {
        self.uncertain_until = Some(now.after(UNCERTAIN_TIME));
    }

    /// Returns the last forecast if it is new enough.
    pub(in crate::jobs) fn current(&self, now: Time) -> Option<Forecast> {
        let (at, forecast) = self.last.as_ref()?;
        let age = now.since(*at);
        if age >= REFRESH {
            return None;
        }
        Some(Forecast {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            uncertain: self.is_uncertain(now),
            ..forecast.clone()
        })
    }

    /// Discards the samples: for now nothing can be said about the capacity.
    pub(in crate::jobs) fn reset(&mut self) {
        self.samples.clear();
        self.last = None;
    }

    /// Computes a forecast from the present state of each pool.
    pub(in crate::jobs) fn compute(
        &mut self,
        now: Time,
        pools: BTreeMap<Arc<str>, PoolSample>,
    ) -> Forecast {
        let mut forecasts = Vec::new();
        self.samples.retain(|pool, _| pools.contains_key(pool));
        for (pool, sample) in pools {
            let past = self.samples.entry(pool.clone()).or_default();
            add_sample(now, past, &sample);
            let (completed, other_rate) = self.completed.rates(now, &pool);
            let running = past.iter().map(|past| past.running).max().unwrap_or(0);
            let rate = completed.max(running);
            let Some(waiting) = sample
                .waiting
                .filter(|_| is_saturated(now, past) && rate > 0)
            else {
                continue;
            };
            forecasts.push(PoolForecast {
                pool,
                rate,
                other_rate,
                waiting,
                backlog: group_backlog(sample.jobs, rate),
            });
        }
        let forecast = Forecast {
            age_ms: 0,
            uncertain: self.is_uncertain(now),
            pools: forecasts,
            queues: self.completed.corrections(),
        };
        self.last = Some((now, forecast.clone()));
        forecast
    }

    fn is_uncertain(&self, now: Time) -> bool {
        self.uncertain_until.is_some_and(|until| now < until)
    }
}

fn add_sample(now: Time, past: &mut VecDeque<PastSample>, sample: &PoolSample) {
    let gap = past.back().map(|last| now.since(last.at));
    if gap.is_some_and(|gap| gap > MAX_SAMPLE_GAP) {
        past.clear();
    }
    past.push_back(PastSample {
        at: now,
        running: sample.running,
        saturated: sample.waiting.is_some(),
    });
    let window = Duration::from_secs(WINDOW_SECS);
    while past
        .front()
        .is_some_and(|first| now.since(first.at) > window)
    {
        past.pop_front();
    }
}

/// Whether tasks have waited for capacity at each sample of the last [`SATURATION_TIME`].
fn is_saturated(now: Time, past: &VecDeque<PastSample>) -> bool {
    let since = past.iter().rev().take_while(|sample| sample.saturated);
    since
        .last()
        .is_some_and(|first| now.since(first.at) >= SATURATION_TIME)
}

/// Groups open jobs in the order of their placement, without those that will have no value
/// when their turn comes.
fn group_backlog(mut jobs: Vec<OpenJob>, rate: u64) -> Vec<BacklogGroup> {
    jobs.sort();
    let mut ahead = Work(0);
    jobs.retain(|job| {
        let served = ahead.shortest_ms(rate) <= job.latest_ms;
        if served {
            ahead = ahead.plus(job.work);
        }
        served
    });
    let per_group = jobs.len().div_ceil(MAX_GROUPS).max(1);
    let mut groups: Vec<BacklogGroup> = Vec::new();
    let mut members = 0;
    for job in jobs {
        match groups.last_mut() {
            Some(group)
                if members < per_group
                    && (group.late, group.priority) == (job.late, job.priority) =>
            {
                group.size = job.size;
                group.work = group.work.plus(job.work);
                members += 1;
            }
            _ => {
                members = 1;
                groups.push(BacklogGroup {
                    late: job.late,
                    priority: job.priority,
                    size: job.size,
                    work: job.work,
                });
            }
        }
    }
    groups
}
