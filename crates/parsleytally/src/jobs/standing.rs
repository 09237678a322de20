//! Standing of a worker: what is learned of it relative to its peers, and which work it gets.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{HealthEvidence, RunRef, WorkerStanding};
use crate::types::Time;

/// Latest samples that dominate an average.
const AVERAGED_SAMPLES: u32 = 8;
/// Samples or outcomes without which a worker is not compared with its peers.
const MIN_SAMPLES: u32 = 4;
/// Peers with enough samples without which no worker of a pool is compared.
const MIN_PEERS: usize = 3;
/// Age at which samples are forgotten: a worker that gets no work is tried again.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(60);
/// Run time relative to that of peers from which on a worker is degraded. Quick jobs may
/// take 1.5 times their critical path; half of that slack is left for everything else.
const SLOW_FACTOR: f64 = 1.25;
/// Share of failed runs above that of peers from which on a worker is degraded. Repeating
/// one run in five costs as much time as [`SLOW_FACTOR`].
const FAILURE_EXCESS: f64 = 0.2;
/// Share of failed runs from which on a worker is put on probation, if peers fail less than
/// half as often.
const PROBATION_FAILURE_SHARE: f64 = 0.5;
/// Time from order to start above that of peers from which on a worker is degraded. Starts
/// are seen by measurements, once a second; half of that can't be told from chance.
const START_DELAY_EXCESS: Duration = Duration::from_millis(500);
/// Time in which outages make a worker flapping.
const FLAP_WINDOW: Duration = Duration::from_secs(60);
/// Shortest time without answers that is an outage: one poll without an answer is not.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
/// Outages within [`FLAP_WINDOW`] that make a worker flapping: one restart is normal, and
/// a second may be its repair.
const FLAP_OUTAGES: usize = 3;
/// Longest probation without a run, for a worker that no waiting task suits.
const MAX_IDLE_PROBATION: Duration = Duration::from_secs(30);
/// Part of a pool, as a divisor, that probation or flapping may restrict at once: a fault
/// of many jobs must not take the whole pool.
const RESTRICTED_DIVISOR: usize = 4;

/// Average of the latest samples.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    value: f64,
    samples: u32,
    updated: Time,
}

impl Average {
    fn add(&mut self, now: Time, sample: f64) {
        if now.since(self.updated) > MAX_SAMPLE_AGE {
            self.samples = 0;
        }
        self.samples = (self.samples + 1).min(AVERAGED_SAMPLES);
        self.value += (sample - self.value) / f64::from(self.samples);
        self.updated = now;
    }

    /// Value, if there are enough samples that are not too old.
    fn value(&self, now: Time) -> Option<f64> {
        let known = self.samples >= MIN_SAMPLES && now.since(self.updated) <= MAX_SAMPLE_AGE;
        known.then_some(self.value)
    }
}

/// Probation of a worker.
#[derive(Debug, Clone, Copy)]
struct Probation {
    since: Time,
    /// The only run that it got since.
    trial: Option<RunRef>,
}

/// What is known of one worker beside its report.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkerHealth {
    /// Run times of done tasks over the mean of their steps.
    slowness: Average,
    /// 1 for each failed run, 0 for each that is done.
    failures: Average,
    /// Seconds from the order of a run to its first measurement.
    start_delay: Average,
    /// Times of its latest outages.
    outages: VecDeque<Time>,
    /// Since when it is unresponsive.
    silent_since: Option<Time>,
    /// Whether an event since its last success calls for probation.
    suspected: bool,
    probation: Option<Probation>,
    standing: WorkerStanding,
}

impl WorkerHealth {
    pub(super) fn standing(&self) -> WorkerStanding {
        self.standing
    }

    pub(super) fn is_on_probation(&self) -> bool {
        self.probation.is_some()
    }

    /// Whether its standing keeps some runs from it.
    pub(super) fn is_restricted(&self) -> bool {
        matches!(
            self.standing,
            WorkerStanding::Flapping | WorkerStanding::Probation
        )
    }

    /// Whether it may get one more run, which is `costly` to lose or not; `runs` tells which
    /// runs it has.
    pub(super) fn admits<T>(&self, runs: &BTreeMap<RunRef, T>, costly: bool) -> bool {
        let trial = self.probation.and_then(|probation| probation.trial);
        let on_trial = trial.is_some_and(|trial| runs.contains_key(&trial));
        !on_trial && (!self.is_restricted() || !costly)
    }

    /// Notes that a run was placed there.
    pub(super) fn started(&mut self, run: RunRef) {
        if let Some(probation) = &mut self.probation {
            probation.trial = Some(run);
        }
    }

    /// Records the run time of a done task, relative to the mean of its step.
    pub(super) fn record_slowness(&mut self, now: Time, ratio: f64) {
        self.slowness.add(now, ratio);
    }

    /// Records the time from the order of a run to its first measurement.
    pub(super) fn record_start(&mut self, now: Time, delay: Duration) {
        self.start_delay.add(now, delay.as_secs_f64());
    }

    /// Records a failed run; `quarantined` tells whether runs of several jobs have failed.
    pub(super) fn record_failure(&mut self, now: Time, quarantined: bool) {
        self.failures.add(now, 1.0);
        self.suspected |= quarantined;
    }

    pub(super) fn record_success(&mut self, now: Time) {
        if self.probation.take().is_some() {
            self.failures = Average::default();
        }
        self.failures.add(now, 0.0);
        self.suspected = false;
    }

    /// Records a run that made no progress.
    pub(super) fn record_stall(&mut self) {
        self.suspected = true;
    }

    /// Records that it has stopped or resumed answering.
    pub(super) fn set_unresponsive(&mut self, now: Time, unresponsive: bool) {
        if unresponsive {
            self.silent_since.get_or_insert(now);
            return;
        }
        let silent = self.silent_since.take().map(|since| now.since(since));
        if silent.is_some_and(|silent| silent >= MIN_OUTAGE) {
            self.add_outage(now);
        }
    }

    /// Records a new incarnation. What was learned of the speed of the last one is dropped;
    /// a restart that ends an unresponsive period is the same outage.
    pub(super) fn restarted(&mut self, now: Time) {
        self.add_outage(now);
        self.silent_since = None;
        self.slowness = Average::default();
        self.failures = Average::default();
        self.start_delay = Average::default();
    }

    fn add_outage(&mut self, now: Time) {
        self.outages.push_back(now);
        if self.outages.len() > FLAP_OUTAGES {
            self.outages.pop_front();
        }
    }

    fn is_flapping(&self, now: Time) -> bool {
        let recent = |at: &&Time| now.since(**at) <= FLAP_WINDOW;
        self.outages.iter().filter(recent).count() >= FLAP_OUTAGES
    }

    /// Whether its probation goes on or begins.
    fn needs_probation(&self, now: Time, peers: &Peers) -> bool {
        if let Some(probation) = self.probation {
            return probation.trial.is_some() || now.since(probation.since) < MAX_IDLE_PROBATION;
        }
        let fails = |share: f64| share >= PROBATION_FAILURE_SHARE && share > 2.0 * peers.failures;
        self.suspected || self.failures.value(now).is_some_and(fails)
    }

    fn is_degraded(&self, now: Time, peers: &Peers) -> bool {
        let exceeds = |average: &Average, limit: Option<f64>| {
            let value = average.value(now);
            limit
                .zip(value)
                .is_some_and(|(limit, value)| value >= limit)
        };
        let delay = START_DELAY_EXCESS.as_secs_f64();
        exceeds(
            &self.slowness,
            peers.slowness.map(|peer| peer * SLOW_FACTOR),
        ) || exceeds(&self.failures, Some(peers.failures + FAILURE_EXCESS))
            || exceeds(
                &self.start_delay,
                peers.start_delay.map(|peer| peer + delay),
            )
    }

    /// Compares it with its peers, and begins or ends its probation; `runs` tells which runs it
    /// has. Returns its standing with the evidence, if it has changed.
    pub(super) fn review<T>(
        &mut self,
        now: Time,
        runs: &BTreeMap<RunRef, T>,
        peers: &mut Peers,
    ) -> Option<(WorkerStanding, HealthEvidence)> {
        let standing = self.compare(now, runs, peers);
        if standing == self.standing {
            return None;
        }
        self.standing = standing;
        Some((standing, self.evidence(now, peers)))
    }

    fn compare<T>(
        &mut self,
        now: Time,
        runs: &BTreeMap<RunRef, T>,
        peers: &mut Peers,
    ) -> WorkerStanding {
        if let Some(probation) = &mut self.probation {
            let ended = |trial: &RunRef| !runs.contains_key(trial);
            if probation.trial.take_if(|trial| ended(trial)).is_some() {
                probation.since = now;
            }
        }
        if self.needs_probation(now, peers) && peers.restrict() {
            let new = Probation {
                since: now,
                trial: None,
            };
            self.probation.get_or_insert(new);
            return WorkerStanding::Probation;
        }
        if self.probation.take().is_some() {
            self.suspected = false;
            self.failures = Average::default();
        }
        let flapping = self.is_flapping(now);
        if flapping && peers.restrict() {
            WorkerStanding::Flapping
        } else if flapping || self.is_degraded(now, peers) {
            WorkerStanding::Degraded
        } else {
            WorkerStanding::Sound
        }
    }

    fn evidence(&self, now: Time, peers: &Peers) -> HealthEvidence {
        let percent = |share: f64| (share * 100.0).round() as u32;
        let relative = self.slowness.value(now).zip(peers.slowness);
        let recent = |at: &&Time| now.since(**at) <= FLAP_WINDOW;
        let averages = [&self.slowness, &self.failures, &self.start_delay];
        let newest = averages.iter().map(|average| average.updated).max();
        HealthEvidence {
            slowness_percent: relative.map(|(own, peer)| percent(own / peer)),
            failure_percent: self.failures.value(now).map(percent),
            start_delay_ms: self
                .start_delay
                .value(now)
                .map(|seconds| (seconds * 1_000.0) as u64),
            outages: self.outages.iter().filter(recent).count(),
            age_ms: now.since(newest.unwrap_or_default()).as_millis() as u64,
        }
    }
}

/// What is usual among the workers of a pool.
#[derive(Debug, Default)]
pub(super) struct Peers {
    workers: usize,
    /// Workers that are restricted already.
    restricted: usize,
    slowness: Option<f64>,
    failures: f64,
    start_delay: Option<f64>,
}

impl Peers {
    pub(super) fn new(now: Time, pool: &[&WorkerHealth]) -> Self {
        let averages = |of: fn(&WorkerHealth) -> &Average| -> Vec<f64> {
            pool.iter()
                .filter_map(|worker| of(worker).value(now))
                .collect()
        };
        Self {
            workers: pool.len(),
            restricted: 0,
            slowness: median(averages(|worker| &worker.slowness)),
            failures: median(averages(|worker| &worker.failures)).unwrap_or_default(),
            start_delay: median(averages(|worker| &worker.start_delay)),
        }
    }

    /// Counts one more restricted worker, if there may be one.
    fn restrict(&mut self) -> bool {
        let allowed = self.restricted < self.workers / RESTRICTED_DIVISOR;
        self.restricted += usize::from(allowed);
        allowed
    }
}

/// Median, if there are enough values to compare.
fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.len() < MIN_PEERS {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
