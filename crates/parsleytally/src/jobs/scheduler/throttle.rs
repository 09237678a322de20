//! Throttles best-effort tasks that would slow service tasks beyond their targets, and
//! moves those that would make almost no progress.
//!
//! If no other worker can take such a run, it stays. So that its wait is bounded, it then works at a
//! least CPU share, one run of a worker at a time, after a longer time if the pool counts as full; the
//! agent pauses it for a few seconds at a time while a service there is slowed.

use std::time::Duration;

use super::super::fleet::{FULL_CPU_SHARE, Load};
use super::super::job::{MILLI, StepRef};
use super::super::place::{PlacementRequest, choose_worker};
use super::super::{OrderMessage, Output, RunRef, RunStatus};
use super::Scheduler;
use crate::types::{NodeName, Time};

/// CPU share below which a best-effort run is moved to another worker, in percent.
const MIN_CPU_SHARE: u32 = 20;
/// Time with a CPU share below [`MIN_CPU_SHARE`] after which a run gets it all the same.
const LOW_SHARE_LIMIT: Duration = Duration::from_secs(4);
/// The same in a pool that counts as full.
const FULL_LOW_SHARE_LIMIT: Duration = Duration::from_secs(6);
/// Progress from which on a best-effort run is not moved any more, in percent.
pub(super) const NEARLY_DONE_PERCENT: u32 = 85;

/// Most workers that are looked at for moves of throttled runs within [`SEARCH_INTERVAL`].
const MAX_SEARCHED: usize = 100_000;
/// Time over which searches for moves are bounded.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum CPU share at which the measured usage of a best-effort run can be scaled up to
/// its usage without throttling, in percent.
const MIN_MEASURED_CPU_SHARE: u32 = 40;

/// Updates the unthrottled usage of a best-effort run from its measured usage, in
/// thousandths of processors.
fn record_usage(load: &mut Load, used_milli: u64) {
    let scalable = load
        .cpu_share
        .is_some_and(|share| share >= MIN_MEASURED_CPU_SHARE);
    if load.best_effort && scalable && used_milli > 0 {
        load.cores = used_milli as f64 / MILLI / load.speed();
    }
}

/// Number of workers that were looked at for moves of throttled runs, in the present interval.
#[derive(Debug, Default)]
pub(super) struct MoveSearches {
    begun: Time,
    workers: usize,
}

impl MoveSearches {
    /// Whether one more search over `workers` is within the bound; counts it then.
    fn admit(&mut self, now: Time, workers: usize) -> bool {
        if now.since(self.begun) >= SEARCH_INTERVAL {
            self.begun = now;
            self.workers = 0;
        }
        let admitted = self.workers < MAX_SEARCHED;
        self.workers += workers;
        admitted
    }
}

impl Scheduler {
    /// Updates the contention model with measurements of a worker, and sets the CPU shares
    /// of its best-effort runs.
    pub(super) fn throttle(
        &mut self,
        now: Time,
        node: &NodeName,
        gauges: &[RunStatus],
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        for gauge in gauges {
            if let Some(load) = worker.runs.get_mut(&gauge.run) {
                load.progress_percent = gauge.percent;
                load.measured_at = Some(now);
                record_usage(load, gauge.measurement);
            }
        }
        if worker.best_effort_cpu == 0 && worker.service_runs == 0 {
            return;
        }
        self.contention.update(now, node, worker, gauges);
        let orders = out.len();
        let cpu_shares = self.contention.cpu_shares(node, worker);
        let granted = self.least_share(now, node, &cpu_shares);
        for (run, percent) in cpu_shares {
            let is_granted = granted == Some(run);
            let least = if is_granted { MIN_CPU_SHARE } else { 0 };
            self.set_cpu_share(now, node, run, percent.max(least), out);
            if percent < MIN_CPU_SHARE {
                self.move_starved(now, node, run, out);
            }
        }
        // The update above is up to date unless a share has changed.
        if out.len() > orders
            && let Some(worker) = self.workers.get(node)
        {
            self.contention.update_headrooms(node, worker);
        }
    }

    /// Throttles a run that was just ordered, if the headroom does not suffice for its full
    /// CPU share.
    pub(super) fn throttle_start(
        &mut self,
        now: Time,
        run: RunRef,
        node: &NodeName,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let shares = self.contention.cpu_shares(node, worker);
        let share = shares.iter().find(|(other, _)| *other == run);
        let percent = share.map_or(FULL_CPU_SHARE, |(_, percent)| *percent);
        if percent == FULL_CPU_SHARE {
            return;
        }
        let percent = percent.max(MIN_CPU_SHARE);
        if let Some(load) = worker.runs.get_mut(&run) {
            load.set_cpu_share(now, percent);
        }
        self.contention.update_headrooms(node, worker);
        let order = OrderMessage::Throttle {
            run,
            cpu_share: percent,
        };
        out.push(Output::Order(node.clone(), order));
    }

    fn set_cpu_share(
        &mut self,
        now: Time,
        node: &NodeName,
        run: RunRef,
        percent: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let Some(load) = worker.runs.get_mut(&run) else {
            return;
        };
        if load.cpu_share != Some(percent) {
            load.set_cpu_share(now, percent);
            let order = OrderMessage::Throttle {
                run,
                cpu_share: percent,
            };
            out.push(Output::Order(node.clone(), order));
        }
    }

    /// Stops a run that would make almost no progress, so that its task starts on another worker.
    /// If none can take it, the run stays and keeps its progress.
    fn move_starved(&mut self, now: Time, node: &NodeName, run: RunRef, out: &mut Vec<Output>) {
        let worker = self.workers.get(node);
        let load = worker.and_then(|worker| worker.runs.get(&run));
        let is_short = load.is_some_and(|load| load.progress_percent < NEARLY_DONE_PERCENT);
        if !is_short || !self.move_searches.admit(now, self.workers.len()) {
            return;
        }
        if self.fits_elsewhere(now, node, run) {
            self.stop_run(run, out);
        }
    }

    /// The run of a worker that gets a least CPU share: the one whose share by the headroom has
    /// been too low for longest.
    fn least_share(
        &mut self,
        now: Time,
        node: &NodeName,
        cpu_shares: &[(RunRef, u32)],
    ) -> Option<RunRef> {
        let worker = self.workers.get_mut(node)?;
        let mut longest = None;
        for (run, percent) in cpu_shares {
            let Some(load) = worker.runs.get_mut(run) else {
                continue;
            };
            if *percent >= MIN_CPU_SHARE {
                load.low_since = None;
                continue;
            }
            let since = *load.low_since.get_or_insert(now);
            let is_longest = longest.is_none_or(|longest| (since, *run) < longest);
            if now.since(since) >= LOW_SHARE_LIMIT && is_longest {
                longest = Some((since, *run));
            }
        }
        let (since, run) = longest?;
        if now.since(since) >= FULL_LOW_SHARE_LIMIT {
            return Some(run);
        }
        let pool = worker.report.as_ref()?.service.clone();
        (!self.was_full(now, &pool)).then_some(run)
    }

    /// Whether the task of a run would now be placed on another worker.
    fn fits_elsewhere(&self, now: Time, node: &NodeName, run: RunRef) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return false;
        };
        let step = usize::from(run.task.step);
        let round = job.rounds.get(run.task.round as usize);
        let (Some(round), Some(load)) = (round, job.load(run.task.step)) else {
            return false;
        };
        let at = StepRef {
            job: run.task.job,
            round: run.task.round as usize,
            step,
        };
        let effects = self.contention.effects(&load);
        let request = PlacementRequest {
            contention: &self.contention,
            job: run.task.job,
            policy: &job.policy,
            step: &job.spec.steps[step],
            load: &load,
            effects: Some(&effects),
            cpu_limit: self.options.best_effort.cpu_limit,
            failed_on: None,
            costly: self.is_costly(at),
            isolated: false,
            starving: false,
            quarantined: false,
            shared_rack: None,
        };
        choose_worker(self.workers.iter(), &request, &round.steps[step], now)
            .is_some_and(|best| best != node)
    }
}
