//! Runs that were lost in crashes of workers.

use super::super::fleet::Worker;
use super::super::{CrashDecision, CrashWitness, CrashedRun, LastEnd, Output, RunRef, WorkerCrash};
use super::Scheduler;
use crate::types::NodeName;

impl Scheduler {
    /// Handles a crash of a worker that its agent reports.
    pub(super) fn worker_crashed(
        &mut self,
        node: &NodeName,
        crash: &WorkerCrash,
        witness: CrashWitness,
        out: &mut Vec<Output>,
    ) {
        for lost in &crash.runs {
            self.detach_run(node, lost.run, LastEnd::Crashed);
            self.release(node, lost.run);
            out.push(Output::Crash(CrashDecision::Lost {
                node: node.clone(),
                incarnation: crash.incarnation.clone(),
                lost: *lost,
                witness,
            }));
        }
        self.pass_due = true;
    }

    /// Handles a crash that the agent has not seen: the worker reports itself as a later
    /// incarnation, and had runs.
    pub(super) fn infer_crash(&mut self, node: &NodeName, out: &mut Vec<Output>) {
        let worker = self.workers.get(node);
        let Some(crash) = worker.and_then(unannounced_crash) else {
            return;
        };
        self.worker_crashed(node, &crash, CrashWitness::Owner, out);
    }
}

/// The crash of a worker with runs that had not announced its end.
fn unannounced_crash(worker: &Worker) -> Option<WorkerCrash> {
    let announced = worker.is_draining() || worker.last_lease_end.is_some();
    let incarnation = worker.incarnation().filter(|_| !announced)?;
    if worker.runs.is_empty() {
        return None;
    }
    let lost = |(run, load): (&RunRef, &super::super::fleet::Load)| CrashedRun {
        run: *run,
        seen_ms: load.timeline.seen_ms(),
    };
    Some(WorkerCrash {
        incarnation: incarnation.clone(),
        runs: worker.runs.iter().map(lost).collect(),
    })
}
