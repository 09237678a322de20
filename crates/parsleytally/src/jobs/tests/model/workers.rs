//! Incarnations of the simulated workers: their starts, reports, notices and ends.

use super::stalls::Process;
use super::*;

/// Time between two reports of a worker, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;

impl Simulation {
    pub(super) fn advance_workers(&mut self) {
        for at in 0..WORKERS {
            if !self.holds_ends(at) || self.workers[at].is_expired(self.now) {
                self.advance_worker(at);
            }
        }
    }

    /// Handles the ends of a worker's runs that are due.
    pub(super) fn advance_worker(&mut self, at: usize) {
        if self.workers[at].up {
            let events = self.workers[at].advance(self.now);
            self.check_events(at, events);
        }
    }

    pub(super) fn worker_up(&mut self, at: usize) {
        // Two faults may overlap: the second start ends the runs of the first.
        self.count_crash(at);
        let born = self.workers[at].born + FIRST_START;
        self.workers[at] = SimulatedWorker::new(self.now, born);
        self.report_worker(at);
    }

    pub(super) fn heartbeat(&mut self, at: usize) {
        self.report_worker(at);
        self.push(HEARTBEAT_MS, Event::Heartbeat(at));
    }

    /// Reports the state of a worker to its agent; none once it has given notice, or while it
    /// is stalled.
    pub(super) fn report_worker(&mut self, at: usize) {
        let worker = &self.workers[at];
        if !worker.up || worker.leaving || self.is_stalled(Process::Worker(at)) {
            return;
        }
        let mut report = report(at, worker.born);
        report.state = worker.state;
        report.capacity.cpu = MilliCpu(1_000 * self.crashes.capacity(at) as u64);
        self.handle(Event::Report(at, report));
    }

    /// A report of any writer reaches an agent, if that is up.
    pub(super) fn receive_report(&mut self, at: usize, report: WorkerReport) {
        if self.agents[at].up {
            self.step_agent(at, reported(report));
        }
    }

    /// Gives the worker's notice of its shutdown; it goes on for up to 0.8 s. Its machine
    /// may go away soon after.
    pub(super) fn leave(&mut self, at: usize, born: u64) {
        let worker = &mut self.workers[at];
        if !worker.up || worker.born != born {
            return;
        }
        worker.leaving = true;
        let id = report(at, born).incarnation.id;
        self.handle(Event::Notice(at, id));
        let end = self.rng.random_range(5..=800);
        self.push(end, Event::WorkerEnd(at, born));
        if self.rng.random_bool(0.4) {
            let agent_end = self.rng.random_range(0..=1_000);
            self.push(agent_end, Event::AgentDown(at));
        }
    }

    /// A notice of shutdown of the worker `id` reaches the agent, if that is up.
    pub(super) fn notice(&mut self, at: usize, id: &str) {
        if self.agents[at].up {
            self.step_agent(at, AgentInput::ShutdownNotice(id.into()));
        }
    }

    pub(super) fn worker_end(&mut self, at: usize, born: u64) {
        let worker = &mut self.workers[at];
        if !worker.up || worker.born != born {
            return;
        }
        worker.up = false;
        let pause = self.rng.random_range(1_000..6_000);
        self.push(pause, Event::WorkerUp(at));
    }
}
