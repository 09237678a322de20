//! Places ready steps by the shares of their queues.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::super::fleet::Load;
use super::super::job::{Job, StepRef};
use super::super::shares::{Order, QueueUsage, QueuedStep, Shares, distinct};
use super::super::urgency::Urgency;
use super::super::{JobId, Output, QueueName, RunRef};
use super::Scheduler;
use super::pass::Pass;
use crate::configs::SharesConfig;
use crate::types::NodeName;

impl Scheduler {
    /// Divides scarce capacity among queues by these settings.
    pub fn set_shares(&mut self, config: Arc<SharesConfig>) {
        self.shares = Some(Shares::new(config));
        self.pass_due = true;
        self.full_pass_due = true;
    }

    /// Use of its pool by each queue with open jobs; empty without settings of shares.
    pub fn queue_usage(&self) -> Vec<QueueUsage> {
        let Some(shares) = &self.shares else {
            return Vec::new();
        };
        let jobs = || self.open.iter().map(|id| &self.jobs[id]);
        let queues = distinct(jobs().map(|job| (&job.policy.name, &job.policy.service)));
        let usage = |(queue, pool): (QueueName, Arc<str>)| {
            let own = jobs().filter(|job| job.policy.name == queue);
            QueueUsage {
                share: shares.share(&pool, &queue),
                waiting: own.map(Job::waiting_tasks).sum(),
                queue,
            }
        };
        queues.into_iter().map(usage).collect()
    }

    /// Counts the use of the queues on the workers that have changed, or on all for `None`.
    pub(super) fn recount_shares(&mut self, changed: Option<&BTreeSet<NodeName>>) {
        let Some(shares) = &mut self.shares else {
            return;
        };
        let jobs = &self.jobs;
        let queue_of = |run: &RunRef| {
            let job = jobs.get(&run.task.job)?;
            let step = job.spec.steps.get(usize::from(run.task.step))?;
            (!step.long_running).then_some(&job.policy.name)
        };
        match changed {
            Some(changed) => {
                for node in changed {
                    shares.recount(node, self.workers.get(node), queue_of);
                }
            }
            None => {
                for (node, worker) in &self.workers {
                    shares.recount(node, Some(worker), queue_of);
                }
            }
        }
    }

    /// Places long-running steps by urgency, then the others by the shares of their queues.
    /// Jobs whose result has no value any more come last.
    pub(super) fn place_by_shares(
        &mut self,
        ready: &[(Urgency, StepRef)],
        pass: &mut Pass,
        out: &mut Vec<Output>,
    ) {
        let long_running = |at: &StepRef| self.jobs[&at.job].spec.steps[at.step].long_running;
        let (exempt, shared): (Vec<_>, Vec<_>) =
            ready.iter().partition(|(_, step)| long_running(step));
        for (_, step) in exempt {
            self.place_step(step, usize::MAX, pass, out);
        }
        for has_value in [true, false] {
            let steps = shared.iter().filter(|(u, _)| u.has_value() == has_value);
            let steps = steps.filter_map(|(urgency, at)| self.queued_step(*urgency, *at));
            self.place_in_order(Order::new(steps), pass, out);
        }
    }

    fn place_in_order(&mut self, mut order: Order, pass: &mut Pass, out: &mut Vec<Output>) {
        while let Some(turn) = self.shares.as_ref().and_then(|shares| order.next(shares)) {
            let waiting = |scheduler: &Self| scheduler.step_run(turn.at).waiting_tasks().count();
            let before = waiting(self);
            let placed_all = self.place_step(turn.at, turn.limit, pass, out);
            let after = waiting(self);
            if !placed_all || after == 0 || after == before {
                order.finish(turn.at);
            }
        }
    }

    fn queued_step(&self, urgency: Urgency, at: StepRef) -> Option<QueuedStep> {
        let job = &self.jobs[&at.job];
        let step = job.spec.steps.get(at.step)?;
        let together = if step.gang { step.count } else { 1 };
        Some(QueuedStep {
            urgency,
            at,
            queue: job.policy.name.clone(),
            pool: job.policy.service.clone(),
            need: step.need,
            together: usize::try_from(together).unwrap_or(usize::MAX),
        })
    }

    /// Adds a run that starts on `node` to the use of its queue.
    pub(super) fn charge_share(&mut self, node: &NodeName, at: StepRef, load: &Load) {
        if let Some(shares) = &mut self.shares
            && let Some(queue) = charged_queue(&self.jobs, at)
        {
            shares.charge(node, queue, &load.need);
        }
    }

    /// Takes back [`Self::charge_share`].
    pub(super) fn refund_share(&mut self, node: &NodeName, at: StepRef, load: &Load) {
        if let Some(shares) = &mut self.shares
            && let Some(queue) = charged_queue(&self.jobs, at)
        {
            shares.refund(node, queue, &load.need);
        }
    }
}

/// Queue of a step whose tasks count; none for long-running ones.
fn charged_queue(jobs: &HashMap<JobId, Job>, at: StepRef) -> Option<&QueueName> {
    let job = jobs.get(&at.job)?;
    let step = job.spec.steps.get(at.step)?;
    (!step.long_running).then_some(&job.policy.name)
}
