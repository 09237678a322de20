//! Reports and notices that are not of the worker beside an agent.

use super::*;

/// Time by which a stranger started before or after the worker of the agent.
const STRANGER_OFFSET: u64 = FIRST_START / 2;
/// Reports that a stranger sends, and the time between two of them in milliseconds.
const STRANGER_REPORTS: u64 = 3;
const STRANGER_PAUSE_MS: u64 = 2_800;

impl Simulation {
    /// Another worker, or an earlier incarnation of this one, writes to an agent.
    pub(super) fn strange_writer(&mut self, at: usize) {
        let born = self.workers[at].born;
        match self.rng.random_range(0..6) {
            0 => self.strange_reports(at, born + STRANGER_OFFSET),
            1 => self.strange_reports(at, born - STRANGER_OFFSET),
            2 => {
                let late = report(at, born - FIRST_START);
                self.push(0, Event::Report(at, late));
            }
            3 => {
                let id = stranger(at, born).incarnation.id;
                self.push(0, Event::Notice(at, id));
            }
            4 => self.strange_reports(at, born),
            // A restart may keep the id, so this is a late notice of an earlier incarnation.
            _ => {
                let id = report(at, born).incarnation.id;
                self.push(0, Event::Notice(at, id));
            }
        }
    }

    fn strange_reports(&mut self, at: usize, started_ms: u64) {
        for number in 0..STRANGER_REPORTS {
            let report = stranger(at, started_ms);
            self.push(number * STRANGER_PAUSE_MS, Event::Report(at, report));
        }
    }
}

/// Report of another worker that writes to the agent `at`.
fn stranger(at: usize, started_ms: u64) -> WorkerReport {
    let mut report = report(at, started_ms);
    report.incarnation.id = format!("i-{}", at + WORKERS).into();
    report
}
