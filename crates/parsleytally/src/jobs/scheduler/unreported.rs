//! Agents of the predecessor that have not listed their runs to this owner. Until then, they may
//! have a run of each job that was accepted before the ownership.

use super::super::job::Job;
use super::super::waiting::{MissingStep, WaitHolder, millis};
use super::{Output, Scheduler};
use crate::types::{NodeName, Time};

/// An agent of the predecessor that has not listed its runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unreported {
    /// When runs there have certainly ended unless it is linked.
    pub(super) until: Time,
    /// Since when this owner has expected it.
    since: Time,
    /// Number of links to it that this owner has opened.
    pub(super) links: u32,
}

impl Scheduler {
    /// Notes an agent whose address stood in the store when the ownership began.
    pub(super) fn expect_agent(&mut self, now: Time, node: NodeName) {
        let unreported = Unreported {
            until: now.after(self.options.owner_hold),
            since: now,
            links: 0,
        };
        self.unreported.insert(node, unreported);
    }

    /// Whether no unreported agent can have a run of the job that a predecessor started.
    pub(super) fn may_start(&self, job: &Job) -> bool {
        self.unreported.is_empty() || job.accepted > self.options.start_revision
    }

    /// Forgets the agents whose runs have certainly ended by `confirmed`.
    pub(super) fn expire_unreported(&mut self, confirmed: Time, out: &mut Vec<Output>) {
        // This owner keeps the runs of a linked agent alive until that has listed them.
        let is_linked = |node: &NodeName| self.workers.get(node).is_some_and(|w| w.linked);
        let expired = self
            .unreported
            .iter()
            .filter(|(node, agent)| agent.until <= confirmed && !is_linked(node));
        let expired: Vec<NodeName> = expired.map(|(node, _)| node.clone()).collect();
        self.pass_due |= !expired.is_empty();
        for node in expired {
            self.unreported.remove(&node);
            out.push(Output::Forget(node));
        }
    }

    /// The agent that has been expected for longest, as what holds back old jobs.
    pub(super) fn unreported_holder(&self, now: Time) -> Option<WaitHolder> {
        let oldest = self.unreported.iter().min_by_key(|(_, agent)| agent.since);
        let (node, agent) = oldest?;
        Some(WaitHolder::Agent {
            node: node.clone(),
            lacks: self.missing_step(node),
            since_ms: millis(now, agent.since),
            links: agent.links,
            agents: self.unreported.len(),
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
