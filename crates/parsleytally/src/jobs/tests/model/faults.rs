//! Seeded faults.

use super::links::Link;
use super::*;

impl Simulation {
    pub(super) fn fault(&mut self) {
        let at = self.rng.random_range(0..WORKERS);
        let span = self.rng.random_range(500..9_000);
        match self.rng.random_range(0..11) {
            0 => self.kill_owner(),
            1 => {
                self.count_crash(at);
                self.workers[at].up = false;
                self.disturb(span);
                self.push(span, Event::WorkerUp(at));
            }
            2 => self.agent_down(at),
            3 => self.partition(at, span),
            4 => {
                self.store_down = true;
                let span = span.min(5_000);
                self.disturb(span);
                self.push(span, Event::Heal);
            }
            5 => {
                self.late_orders = true;
                self.disturb(span + 6_000);
                self.push(span, Event::Heal);
            }
            6 => self.shut_down(at),
            7 | 8 => self.strange_writer(at),
            9 => {
                self.lose_store();
                let until = self.now.after(Duration::from_millis(1_500 + span));
                self.begins_lost_until = until;
                self.disturb(1_500 + span + 2_000);
                self.push(1_500 + span, Event::Heal);
            }
            _ => self.lose_store(),
        }
    }

    /// Notes that a fault is active for `span` milliseconds from now.
    pub(super) fn disturb(&mut self, span: u64) {
        let until = self.now.after(Duration::from_millis(span));
        self.disturbed = self.disturbed.max(until);
        if let Some(calm) = &mut self.calm {
            *calm = (*calm).max(until);
        }
    }

    /// The owner loses the store but stays up, and a successor takes over.
    fn lose_store(&mut self) {
        let owner = self.owners.len() - 1;
        self.owners[owner].reaches_store = false;
        self.disturb(1_500);
        self.push(1_500, Event::NewOwner);
    }

    /// A worker drains, gives its notice and ends.
    pub(super) fn shut_down(&mut self, at: usize) {
        let remaining_ms = self.rng.random_range(200..4_000);
        let worker = &mut self.workers[at];
        worker.state = WorkerState::Draining { remaining_ms };
        let born = worker.born;
        self.report_worker(at);
        let late = self.rng.random_range(0..500);
        self.push(remaining_ms + late, Event::Leave(at, born));
    }

    pub(super) fn kill_owner(&mut self) {
        self.disturb(1_500);
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
        self.disturb(span + 2_000);
        self.partitions.insert((owner, at));
        if let Some(link) = self.owners[owner].links.get(&at).copied() {
            self.push(2_000, Event::LinkLost(link));
        }
        // The successor can't reach the agent either.
        self.partitions.insert((owner + 1, at));
        self.push(span, Event::Heal);
    }
}
