//! Runs that an owner knows of: those that it ordered or that an agent listed to it.

use super::*;

/// Runs that an owner knows of, by agent.
#[derive(Default)]
pub(super) struct KnownRuns {
    incarnations: BTreeMap<usize, WorkerIncarnation>,
    runs: BTreeSet<(usize, RunRef)>,
}

impl KnownRuns {
    pub(super) fn contains(&self, at: usize, run: RunRef) -> bool {
        self.runs.contains(&(at, run))
    }

    /// Notes an order to an agent.
    pub(super) fn ordered(&mut self, at: usize, message: &OrderMessage) {
        if let OrderMessage::Start(order) = message {
            self.runs.insert((at, order.run));
        }
    }

    /// Drops the runs of an agent.
    pub(super) fn clear(&mut self, at: usize) {
        self.runs.retain(|(other, _)| *other != at);
    }

    /// Notes a message of an agent.
    pub(super) fn received(&mut self, at: usize, message: &AgentMessage) {
        match message {
            AgentMessage::Report(report) => {
                let incarnation = report.incarnation.clone();
                let known = self.incarnations.insert(at, incarnation);
                if known.is_some_and(|known| known != report.incarnation) {
                    self.clear(at);
                }
            }
            AgentMessage::Listed { running, .. } => {
                self.clear(at);
                let running = running.iter().map(|status| (at, status.run));
                self.runs.extend(running);
            }
            AgentMessage::Refused { run, .. } | AgentMessage::Missing(run) => {
                self.runs.remove(&(at, *run));
            }
            AgentMessage::Ended { ended, .. } => {
                for end in ended {
                    self.runs.remove(&(at, end.run));
                }
            }
            AgentMessage::Crashed(crash) => {
                for lost in &crash.runs {
                    self.runs.remove(&(at, lost.run));
                }
            }
            AgentMessage::LeasesExpired => self.clear(at),
            AgentMessage::Ping { .. }
            | AgentMessage::Measurements(_)
            | AgentMessage::Unresponsive(_)
            | AgentMessage::LastLease { .. }
            | AgentMessage::Started(_)
            | AgentMessage::MayRun(_)
            | AgentMessage::Superseded { .. } => {}
        }
    }
}
