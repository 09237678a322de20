//! Agents of the predecessor that have not listed their runs to this owner. Until then, they may
//! have a run of each task that they have named, or of each job that was accepted before the ownership
//! if they have named none. See `docs/design/owner-change.md`.
//!
//! The wait for them is bounded, whatever their links do: this owner's answers keep the runs of an agent
//! alive only once this owner has its listing on that link ([`OrderMessage::ListingKnown`]), or in the first
//! part of the ownership. What the predecessor and the first part keep alive has ended once the
//! owner's hold has passed.
//!
//! [`OrderMessage::ListingKnown`]: super::super::OrderMessage::ListingKnown

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::job::Job;
use super::super::unreported::Unreported;
use super::super::waiting::{MissingStep, WaitHolder, millis};
use super::super::{RunRef, TaskId, UnreportedWaits};
use super::{Output, Scheduler};
use crate::types::{NodeName, Time};

impl Scheduler {
    /// Notes an agent whose address stood in the store when the ownership began.
    pub(super) fn expect_agent(&mut self, now: Time, node: NodeName) {
        let until = now.after(self.options.owner_hold);
        self.unreported.insert(node, Unreported::new(now, until));
        if self.support_end == Time::ZERO {
            let support = unlisted_support(self.options.agent_hold, self.options.owner_hold);
            self.support_end = now.after(support);
        }
    }

    /// Longest times for which this owner has waited for agents of its predecessor.
    pub fn unreported_waits(&self) -> UnreportedWaits {
        self.unreported.waits()
    }

    /// Until when answers to pings keep the runs of agents alive that have not listed them.
    pub fn support_end(&self) -> Time {
        self.support_end
    }

    /// When all runs of an agent have ended that is linked but whose runs are not known: `until`, or
    /// later if the answers to its pings may have extended that. The link may have been opened in the first
    /// part of the ownership, though this owner learns of it later.
    pub(super) fn extended_end(&self, until: Time) -> Time {
        until.max(self.support_end.after(self.options.agent_hold))
    }

    /// Notes the runs of the predecessor that an agent may have; it has no others.
    pub(super) fn agent_may_run(&mut self, node: &NodeName, runs: &[RunRef]) {
        let tasks: BTreeSet<TaskId> = runs.iter().map(|run| run.task).collect();
        self.pass_due |= self.unreported.set_tasks(node, tasks);
    }

    /// Notes that the runs of an agent are known; acknowledgements may have waited for that.
    pub(super) fn agent_reported(&mut self, node: &NodeName) {
        self.acks_due |= self.unreported.remove(node).is_some();
    }

    /// Whether tasks of the job may start, except those that agents have named.
    pub(super) fn may_start(&self, job: &Job) -> bool {
        !self.unreported.may_run_any() || job.accepted > self.options.start_revision
    }

    /// Whether no unreported agent has named this task, of a job that may start.
    pub(super) fn may_start_task(&self, task: TaskId) -> bool {
        !self.unreported.is_named(task)
    }

    /// Forgets the agents whose runs have certainly ended by `confirmed`.
    pub(super) fn expire_unreported(&mut self, confirmed: Time, out: &mut Vec<Output>) {
        let agents = self.unreported.iter();
        let expired = agents.filter(|(_, agent)| agent.until <= confirmed);
        let expired: Vec<NodeName> = expired.map(|(node, _)| node.clone()).collect();
        self.pass_due |= !expired.is_empty();
        for node in expired {
            self.agent_reported(&node);
            // A linked agent may still list its worker.
            if !self.is_linked(&node) {
                out.push(Output::Forget(node));
            }
        }
    }

    /// Whether an agent of the predecessor has not listed its runs.
    pub(super) fn is_unreported(&self, node: &NodeName) -> bool {
        self.unreported.get(node).is_some()
    }

    pub(super) fn is_linked(&self, node: &NodeName) -> bool {
        self.workers.get(node).is_some_and(|worker| worker.linked)
    }

    /// Of the agents that may run a task, the one that has been expected for longest.
    pub(super) fn unreported_holder(&self, now: Time, task: TaskId) -> Option<WaitHolder> {
        let agents = || {
            let agents = self.unreported.iter();
            agents.filter(|(_, agent)| agent.may_run(task))
        };
        let (node, agent) = agents().min_by_key(|(_, agent)| agent.since)?;
        Some(WaitHolder::Agent {
            node: node.clone(),
            lacks: self.missing_step(node),
            since_ms: millis(now, agent.since),
            links: agent.links,
            agents: agents().count(),
        })
    }

    fn missing_step(&self, node: &NodeName) -> MissingStep {
        match self.workers.get(node) {
            Some(worker) if worker.linked && worker.report.is_some() => MissingStep::Listing,
            Some(worker) if worker.linked => MissingStep::Report,
            _ => MissingStep::Link,
        }
    }
}

/// Time from the start of an ownership for which answers to pings keep the runs of agents alive that have
/// not listed them yet. What they keep alive ends with the owner's hold.
pub(super) fn unlisted_support(agent_hold: Duration, owner_hold: Duration) -> Duration {
    owner_hold.saturating_sub(agent_hold)
}
