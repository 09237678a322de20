//! Seeded faults.

use super::links::Link;
use super::*;

impl Simulation {
    pub(super) fn fault(&mut self) {
        let at = self.rng.random_range(0..WORKERS);
        let span = self.rng.random_range(500..9_000);
        match self.rng.random_range(0..7) {
            0 => self.kill_owner(),
            1 => {
                self.workers[at].up = false;
                self.push(span, Event::WorkerUp(at));
            }
            2 => {
                self.agents[at].up = false;
                for link in self.agents[at].links.clone() {
                    self.link_lost(link);
                }
                self.push(span, Event::AgentUp(at));
            }
            3 => self.partition(at, span),
            4 => {
                self.store_down = true;
                self.push(span.min(5_000), Event::Heal);
            }
            5 => {
                self.late_orders = true;
                self.push(span, Event::Heal);
            }
            _ => {
                // The owner loses the store but stays up, and a successor takes over.
                let owner = self.owners.len() - 1;
                self.owners[owner].reaches_store = false;
                self.push(1_500, Event::NewOwner);
            }
        }
    }

    pub(super) fn kill_owner(&mut self) {
        let owner = self.owners.len() - 1;
        self.owners[owner].up = false;
        let links: Vec<Link> = self.owners[owner].links.values().copied().collect();
        for link in links {
            self.push(1, Event::LinkLost(link));
        }
        self.push(1_500, Event::NewOwner);
    }

    /// Partitions an agent from the newest owner; earlier owners may still reach it.
    pub(super) fn partition(&mut self, at: usize, span: u64) {
        let owner = self.owners.len() - 1;
        self.partitions.insert((owner, at));
        if let Some(link) = self.owners[owner].links.get(&at).copied() {
            self.push(2_000, Event::LinkLost(link));
        }
        // The successor can't reach the agent either.
        self.partitions.insert((owner + 1, at));
        self.push(span, Event::Heal);
    }
}
