//! Agents of the predecessor that have not listed their runs to this owner. Until then, they may
//! have a run of each job that was accepted before the ownership.
//!
//! The wait for them is bounded, whatever their links do: this owner's answers keep the runs of an agent
//! alive only once this owner has its listing on that link ([`OrderMessage::ListingKnown`]), or in the first
//! part of the ownership. What the predecessor and the first part keep alive has ended once the
//! owner's hold has passed.
//!
//! [`OrderMessage::ListingKnown`]: super::super::OrderMessage::ListingKnown

use std::time::Duration;

use super::super::job::Job;
use super::super::waiting::{MissingStep, WaitHolder, millis};
use super::{Output, Scheduler};
use crate::types::{NodeName, Time};

/// An agent of the predecessor that has not listed its runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unreported {
    /// When runs there have certainly ended.
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
        if self.support_end == Time::ZERO {
            let support = unlisted_support(self.options.agent_hold, self.options.owner_hold);
            self.support_end = now.after(support);
        }
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

    /// Whether no unreported agent can have a run of the job that a predecessor started.
    pub(super) fn may_start(&self, job: &Job) -> bool {
        self.unreported.is_empty() || job.accepted > self.options.start_revision
    }

    /// Forgets the agents whose runs have certainly ended by `confirmed`.
    pub(super) fn expire_unreported(&mut self, confirmed: Time, out: &mut Vec<Output>) {
        let agents = self.unreported.iter();
        let expired = agents.filter(|(_, agent)| agent.until <= confirmed);
        let expired: Vec<NodeName> = expired.map(|(node, _)| node.clone()).collect();
        self.pass_due |= !expired.is_empty();
        for node in expired {
            self.unreported.remove(&node);
            // A linked agent may still list its worker.
            if !self.is_linked(&node) {
                out.push(Output::Forget(node));
            }
        }
    }

    pub(super) fn is_linked(&self, node: &NodeName) -> bool {
        self.workers.get(node).is_some_and(|worker| worker.linked)
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

/// Time from the start of an ownership for which answers to pings keep the runs of agents alive that have
/// not listed them yet. What they keep alive ends with the owner's hold.
pub(super) fn unlisted_support(agent_hold: Duration, owner_hold: Duration) -> Duration {
    owner_hold.saturating_sub(agent_hold)
}
