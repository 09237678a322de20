//! Computes the forecast for the admission of new jobs.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::StepSpec;
use super::super::admission::{
    Forecast, OpenJob, PoolSample, Work, critical_path_ms, is_covered, latest_start_ms,
    objective_ms,
};
use super::super::fleet::Worker;
use super::super::job::Job;
use super::Scheduler;
use crate::types::{Resources, Time};

impl Scheduler {
    /// Forecast of the open work; computed at most twice a second. `uncertain` says that a
    /// submission to the asking entry had an unknown outcome in the last seconds.
    pub fn forecast(&mut self, now: Time, wall_ms: u64, uncertain: bool) -> Forecast {
        if uncertain {
            self.forecasts.note_uncertain(now);
        }
        if let Some(current) = self.forecasts.current(now) {
            return current;
        }
        // Until all agents of the predecessor have reported, jobs wait for that and not for
        // capacity.
        if !self.unreported.is_empty() {
            self.forecasts.reset();
        }
        let pools = self.pool_samples(wall_ms);
        self.forecasts.compute(now, pools)
    }

    fn pool_samples(&self, wall_ms: u64) -> BTreeMap<Arc<str>, PoolSample> {
        let mut pools: BTreeMap<Arc<str>, PoolSample> = BTreeMap::new();
        for worker in self.workers.values() {
            let Some(report) = &worker.report else {
                continue;
            };
            let pool = pools.entry(report.service.clone()).or_default();
            pool.running += worker.best_effort_cpu;
        }
        if !self.unreported.is_empty() {
            return pools;
        }
        let largest = self.largest_workers();
        for job in self.open.iter().map(|id| &self.jobs[id]) {
            let Some(pool) = pools.get_mut(&job.policy.service) else {
                continue;
            };
            let fits = |step: &StepSpec| {
                let known = largest.get(&job.policy.service);
                known.is_some_and(|workers| workers.iter().any(|worker| step.need.fits(worker)))
            };
            if job.spec.repeat.is_some() || !job.spec.steps.iter().all(fits) {
                continue;
            }
            if let Some(waiting) = blocked_need(job) {
                let smallest = pool.waiting.get_or_insert(waiting);
                if order_of(&waiting) < order_of(smallest) {
                    *smallest = waiting;
                }
            }
            pool.jobs.extend(self.open_job(job, wall_ms));
        }
        pools
    }

    /// Capacities of the workers of each pool, without repetitions.
    fn largest_workers(&self) -> BTreeMap<Arc<str>, Vec<Resources>> {
        let mut largest: BTreeMap<Arc<str>, Vec<Resources>> = BTreeMap::new();
        for report in self.workers.values().filter_map(reported) {
            let known = largest.entry(report.service.clone()).or_default();
            if !known.contains(&report.capacity) {
                known.push(report.capacity);
            }
        }
        largest
    }

    /// The job as the forecast counts it; none if it has no work that the forecast covers or
    /// will have no value.
    fn open_job(&self, job: &Job, wall_ms: u64) -> Option<OpenJob> {
        let round = job.rounds.first()?;
        if !job.spec.steps.iter().all(is_covered) {
            return None;
        }
        let expected = self.durations.expected_of_round_ms(job, 0);
        let path_ms = critical_path_ms(&job.spec.steps, &expected);
        let age_ms = wall_ms.saturating_sub(job.due_ms(0));
        if age_ms > latest_start_ms(&job.policy, path_ms) + path_ms {
            return None;
        }
        let mut open_ms = expected.clone();
        let (mut size, mut work) = (Work(0), Work(0));
        for (index, (step, run)) in job.spec.steps.iter().zip(&round.steps).enumerate() {
            if run.remaining == 0 {
                open_ms[index] = 0;
            }
            let run_ms = expected[index];
            size = size.plus(Work::of_tasks(step, run.remaining as u64, run_ms));
            // A running task is half done on average.
            let waiting = if round.is_ready(step) {
                run.waiting_tasks().count()
            } else {
                run.remaining
            };
            let halves = (run.remaining + waiting) as u64;
            work = work.plus(Work::of_tasks(step, halves, run_ms / 2));
        }
        let remaining_ms = critical_path_ms(&job.spec.steps, &open_ms);
        let done_ms = path_ms - remaining_ms.min(path_ms);
        let latest_ms = (latest_start_ms(&job.policy, path_ms) + done_ms).checked_sub(age_ms)?;
        Some(OpenJob {
            late: age_ms + remaining_ms > objective_ms(&job.policy, path_ms),
            priority: job.policy.priority,
            size,
            work,
            latest_ms,
        })
    }
}

fn reported(worker: &Worker) -> Option<&super::super::WorkerReport> {
    worker.report.as_ref()
}

/// Need of the smallest task of the job that waits for capacity and might run anywhere.
fn blocked_need(job: &Job) -> Option<Resources> {
    let waiting = job.waiting_steps().filter(|(_, _, run)| run.blocked);
    let specs = waiting.map(|(_, step, _)| &job.spec.steps[step]);
    let needs = specs.filter(|step| is_covered(step)).map(|step| step.need);
    needs.min_by_key(order_of)
}

fn order_of(need: &Resources) -> (u64, u64) {
    (need.cpu.0, need.memory.0)
}
