//! Bounds the wait of jobs that could run: learned headroom, trials, limits, isolation, standing
//! and quarantine protect other work, but what they protect it from must not wait for ever. In a pool that
//! counts as full, they protect it for longer. The bounds: `docs/design/filters.md`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::super::fleet::Worker;
use super::super::job::StepRef;
use super::super::place::is_usable;
use super::super::urgency::Urgency;
use super::super::{JobId, Output};
use super::pass::Pass;
use super::start::ReadyStep;
use super::{Scheduler, active_runs};
use crate::types::{NodeName, Time};

/// Wait after which a job with nothing running starves.
const STARVED_AFTER: Duration = Duration::from_millis(1_500);
/// The same for a best-effort job in a pool that counts as full: services keep their protection for longer there.
const FULL_STARVED_AFTER: Duration = Duration::from_secs(6);
/// Wait after which a starving step for which no other worker has room uses quarantined ones.
const QUARANTINE_BOUND: Duration = Duration::from_millis(2_200);
/// Most workers that are scored for starving jobs in one pass.
const MAX_SCORED: usize = 100_000;
/// Workers of the fleet that are scored at least for a starving job in one pass.
const MIN_SCORED: usize = 50;
/// Number of places in the order of workers at which offers begin.
const FIRST_OFFERS: usize = 1_000;

/// Workers to which a starving step is offered, by their places in the order of names.
#[derive(Debug, Clone, Copy)]
pub(super) struct Offer {
    first: usize,
    count: usize,
}

impl Offer {
    /// The offered ones of all workers.
    pub(super) fn workers(
        self,
        all: &BTreeMap<NodeName, Worker>,
    ) -> impl Iterator<Item = (&NodeName, &Worker)> {
        let first = self.first % all.len().max(1);
        let wrapped = all.iter().chain(all.iter()).skip(first);
        wrapped.take(self.count.min(all.len()))
    }
}

/// What is the same for all steps of a job or pool in one pass; a job may have many rounds.
#[derive(Default)]
struct KnownInPass {
    /// Whether a job has runs.
    running: HashMap<JobId, bool>,
    /// Whether most of a pool is reserved.
    full: BTreeMap<Arc<str>, bool>,
}

impl Scheduler {
    /// Starts one task, or a whole gang, of each starving job, and all starving tasks that last, although
    /// the protection of other work turns them away.
    pub(super) fn place_starving(
        &mut self,
        pass: &mut Pass,
        ready: &[(Urgency, StepRef)],
        out: &mut Vec<Output>,
    ) {
        let starving = self.starving_steps(pass.now, ready);
        let workers = self.workers.len();
        let scored =
            (MAX_SCORED / starving.len().max(1)).clamp(MIN_SCORED, workers.max(MIN_SCORED));
        for at in starving {
            let Some(load) = self.jobs[&at.job].load(at.step as u16) else {
                continue;
            };
            let mut step = self.ready_step(at, load);
            step.starving = Some(self.next_offer(at, scored));
            step.quarantined = self.may_use_quarantined(pass.now, at, &step);
            let limit = self.starving_tasks(pass.now, at);
            self.place_ready(&step, limit, pass, out);
        }
    }

    /// Starving steps to place in this pass, the most urgent first; if there are too many,
    /// those that were offered least.
    fn starving_steps(&self, now: Time, ready: &[(Urgency, StepRef)]) -> Vec<StepRef> {
        let mut known = KnownInPass::default();
        let steps = ready.iter().map(|(_, at)| *at);
        let mut starving: Vec<StepRef> = steps
            .filter(|at| self.is_starving(now, *at, &mut known))
            .collect();
        let most = MAX_SCORED / self.workers.len().clamp(1, MIN_SCORED);
        if starving.len() > most {
            // Steps that no worker can take must not hold back the others.
            starving.sort_by_key(|at| self.step_run(*at).wait.map(|wait| wait.offered));
            starving.truncate(most);
        }
        starving
    }

    /// Number of tasks of a starving step to start: each that lasts has a wait of its own.
    fn starving_tasks(&self, now: Time, at: StepRef) -> usize {
        if !self.jobs[&at.job].spec.steps[at.step].long_running {
            return 1;
        }
        let run = self.step_run(at);
        let waits = run
            .waiting_tasks()
            .filter_map(|index| run.tasks[index].idle_since);
        let starving = waits.filter(|since| now.since(*since) >= STARVED_AFTER);
        starving.count().max(1)
    }

    /// The next `count` workers to which a step is offered.
    fn next_offer(&mut self, at: StepRef, count: usize) -> Offer {
        let mut offered = 0;
        if let Some(wait) = self.wait_mut(at) {
            offered = wait.offered;
            wait.offered += count;
        }
        // Steps begin at different workers, so that they don't all choose the same.
        let first = at.job.0 as usize % FIRST_OFFERS * MIN_SCORED;
        Offer {
            first: first + offered,
            count,
        }
    }

    fn is_starving(&self, now: Time, at: StepRef, known: &mut KnownInPass) -> bool {
        let job = &self.jobs[&at.job];
        let Some(wait) = job.step_run(at).wait else {
            return false;
        };
        let waited = now.since(wait.since);
        if waited < STARVED_AFTER {
            return false;
        }
        let step = &job.spec.steps[at.step];
        if step.long_running {
            return true;
        }
        let has_runs = || active_runs(at.job, job).next().is_some();
        let runs = known.running.entry(at.job);
        if *runs.or_insert_with(has_runs) {
            return false;
        }
        if !step.best_effort || waited >= FULL_STARVED_AFTER {
            return true;
        }
        let pool = &job.policy.service;
        let is_full = known.full.entry(pool.clone());
        !*is_full.or_insert_with(|| self.is_full(pool))
    }

    /// Whether a starving step may start on workers that are quarantined or of low standing: no
    /// other can ever take it, or none has room for it and it must not wait any longer.
    fn may_use_quarantined(&self, now: Time, at: StepRef, step: &ReadyStep) -> bool {
        if !self
            .workers
            .values()
            .any(|worker| worker.is_restricted(now))
        {
            return false;
        }
        let job = &self.jobs[&at.job];
        let spec = &job.spec.steps[at.step];
        let run = job.step_run(at);
        let waited = run.wait.map(|wait| now.since(wait.since));
        let is_late = waited.is_some_and(|waited| waited >= QUARANTINE_BOUND)
            && (spec.long_running || !self.is_full(&job.policy.service));
        if is_late && spec.gang {
            // The others may have room for some members only.
            return true;
        }
        let request = self.request(step, None);
        let mut workers = self.workers.iter();
        !workers.any(|(name, worker)| is_usable(now, name, worker, &request, run, !is_late))
    }
}
