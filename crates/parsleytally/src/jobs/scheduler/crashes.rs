//! Runs that were lost in crashes of workers, and tasks that crash the workers that start them.

use super::super::crashes::{
    LostRun, MAX_ISOLATION_WAIT, SAME_MOMENT, SuspectBound, add_mark, is_cleared, is_poison,
    isolation_time, needs_isolation,
};
use super::super::fleet::{Load, PendingCrash, Worker};
use super::super::job::{Job, StepRef, Task};
use super::super::{
    CrashDecision, CrashMark, CrashSource, CrashedRun, JobId, JobState, LastEnd, OrderMessage,
    Output, RunRef, RunStatus, WorkerCrash,
};
use super::Scheduler;
use crate::types::{NodeName, Time};

impl Scheduler {
    /// Handles a crash of a worker: marks the tasks of its runs, gives up those that have
    /// crashed others before, and acknowledges the crash once the store has the marks.
    pub(super) fn worker_crashed(
        &mut self,
        node: &NodeName,
        crash: &WorkerCrash,
        source: CrashSource,
        out: &mut Vec<Output>,
    ) {
        let runs: Vec<LostRun> = crash.runs.iter().map(|lost| self.lost_run(*lost)).collect();
        let bound = SuspectBound::of(&runs);
        let sole = bound.sole(&runs);
        let sole = sole.filter(|job| !self.has_common_cause(node, *job));
        let mut saved_by = Vec::new();
        for run in &runs {
            let (lost, mark) = (run.lost, run.mark(node, bound, sole));
            let was_known = self.drop_lost(node, lost.run);
            let is_new = mark.as_ref().is_some_and(|mark| self.mark_task(lost, mark));
            if was_known || is_new {
                out.push(Output::Crash(CrashDecision::Lost {
                    node: node.clone(),
                    incarnation: crash.incarnation.clone(),
                    lost,
                    suspect: mark.as_ref().is_some_and(|mark| mark.suspect),
                    sole: mark.as_ref().is_some_and(|mark| mark.sole),
                    source,
                }));
            }
            if let Some(job) = self.jobs.get(&lost.run.task.job) {
                saved_by.push((lost.run.task.job, job.version));
            }
            self.fail_poison_job(lost.run, out);
        }
        if source == CrashSource::Agent
            && let Some(worker) = self.workers.get_mut(node)
        {
            worker.pending_crashes.push(PendingCrash {
                incarnation: crash.incarnation.clone(),
                saved_by,
            });
            self.acks_due = true;
        }
        self.pass_due = true;
    }

    /// Drops a lost run; returns whether this owner knew of it.
    fn drop_lost(&mut self, node: &NodeName, run: RunRef) -> bool {
        self.release(node, run);
        if let Some(worker) = self.workers.get_mut(node) {
            worker.lost_jobs.insert(run.task.job);
        }
        let task = self.remove_run(node, run);
        task.map(|task| task.last_end = Some(LastEnd::Crashed))
            .is_some()
    }

    /// Adds a mark to the task of a lost run; returns false if it has it, or the job has ended.
    fn mark_task(&mut self, lost: CrashedRun, mark: &CrashMark) -> bool {
        let id = lost.run.task.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let version = job.version + 1;
        let Some(task) = job.task(lost.run.task) else {
            return false;
        };
        if task.done || task.crashes.iter().any(|known| known.run == mark.run) {
            return false;
        }
        task.last_run = task.last_run.max(mark.run);
        add_mark(&mut task.crashes, mark.clone());
        task.marked_version = version;
        job.version = version;
        self.changed.insert(id);
        self.unsaved_marks.insert(id);
        true
    }

    fn lost_run(&mut self, lost: CrashedRun) -> LostRun {
        let job = self.jobs.get_mut(&lost.run.task.job);
        let task = job.and_then(|job| job.task(lost.run.task));
        let marked = task.is_some_and(|task| !task.crashes.is_empty());
        LostRun { lost, marked }
    }

    /// Handles a crash that the agent has not seen: the worker reports itself as a later
    /// incarnation, and had runs.
    pub(super) fn infer_crash(&mut self, node: &NodeName, out: &mut Vec<Output>) {
        let worker = self.workers.get(node);
        let Some(crash) = worker.and_then(unannounced_crash) else {
            return;
        };
        self.worker_crashed(node, &crash, CrashSource::Owner, out);
    }

    /// Whether another worker stopped answering at the same moment, without a run of `job`.
    fn has_common_cause(&self, node: &NodeName, job: JobId) -> bool {
        let Some(at) = self.workers.get(node).and_then(|worker| worker.silent_at) else {
            return false;
        };
        let mut others = self.workers.iter().filter(|(name, _)| *name != node);
        others.any(|(_, other)| {
            let same_moment = other
                .silent_at
                .is_some_and(|other| other.since(at).max(at.since(other)) <= SAME_MOMENT);
            let has_job = other.runs.keys().any(|run| run.task.job == job);
            same_moment && !has_job && !other.lost_jobs.contains(&job)
        })
    }

    /// Fails the job of a task that crashes the workers that start it.
    fn fail_poison_job(&mut self, run: RunRef, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(task) = job.task(run.task).filter(|task| is_poison(&task.crashes)) else {
            return;
        };
        let workers: Vec<NodeName> = task.crashes.iter().map(|mark| mark.node.clone()).collect();
        job.state = JobState::Failed;
        out.push(Output::Crash(CrashDecision::GivenUp {
            task: run.task,
            workers,
        }));
        self.close_job(run.task.job, out);
    }

    /// Clears the tasks of measured runs that outlive those that were lost in crashes.
    pub(super) fn clear_suspects(&mut self, node: &NodeName, gauges: &[RunStatus]) {
        for gauge in gauges {
            let Some(worker) = self.workers.get_mut(node) else {
                return;
            };
            let Some(load) = worker.runs.get(&gauge.run) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&gauge.run.task.job) else {
                continue;
            };
            let seen_ms = load.timeline.seen_ms().unwrap_or_default();
            let Some(task) = job
                .task(gauge.run.task)
                .filter(|task| !task.crashes.is_empty() && is_cleared(&task.crashes, seen_ms))
            else {
                continue;
            };
            task.crashes.clear();
            worker.isolation.end(gauge.run);
            job.version += 1;
            self.changed.insert(gauge.run.task.job);
        }
    }

    /// Whether the task `index`, which is isolated and finds no worker without recent starts, has
    /// waited long enough to start beside others.
    pub(super) fn isolation_wait_over(&mut self, now: Time, at: StepRef, index: usize) -> bool {
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return false;
        };
        let task = &mut job.rounds[at.round].steps[at.step].tasks[index];
        let due = *task.isolation_due.get_or_insert(now);
        now.since(due) >= MAX_ISOLATION_WAIT
    }

    /// Allows the tasks of a saved job to start, if they have waited for that.
    pub(super) fn marks_saved(&mut self, id: JobId) {
        let saved = |job: &Job| job.saved_version >= job.version;
        if self.unsaved_marks.contains(&id) && self.jobs.get(&id).is_none_or(saved) {
            self.unsaved_marks.remove(&id);
            self.pass_due = true;
        }
    }

    /// Acknowledges the crashes whose marks the store has.
    pub(super) fn acknowledge_crashes(&mut self, out: &mut Vec<Output>) {
        let jobs = &self.jobs;
        let is_saved = |(id, version): &(JobId, u64)| {
            jobs.get(id).is_none_or(|job| job.saved_version >= *version)
        };
        for (node, worker) in &mut self.workers {
            let saved = |crash: &mut PendingCrash| crash.saved_by.iter().all(is_saved);
            for crash in worker.pending_crashes.extract_if(.., saved) {
                let incarnation = crash.incarnation;
                let order = OrderMessage::AcknowledgeCrash { incarnation };
                out.push(Output::Order(node.clone(), order));
            }
        }
    }
}

/// The crash of a worker with runs that had not announced its end.
fn unannounced_crash(worker: &Worker) -> Option<WorkerCrash> {
    let announced = worker.is_draining() || worker.last_lease_end.is_some();
    let incarnation = worker.incarnation().filter(|_| !announced)?;
    if worker.runs.is_empty() {
        return None;
    }
    let lost = |(run, load): (&RunRef, &Load)| CrashedRun {
        run: *run,
        seen_ms: load.timeline.seen_ms(),
    };
    Some(WorkerCrash {
        incarnation: incarnation.clone(),
        runs: worker.runs.iter().map(lost).collect(),
    })
}

/// Whether a task is isolated and the store lacks its last mark: if it crashed one more worker, a
/// successor would know of neither.
pub(super) fn awaits_save(job: &Job, task: &Task) -> bool {
    needs_isolation(&task.crashes) && job.saved_version < task.marked_version
}

/// Until when a run of `task` that starts now has its worker for the starts of its job.
pub(super) fn isolation_end(now: Time, task: &Task) -> Option<Time> {
    needs_isolation(&task.crashes).then(|| now.after(isolation_time(&task.crashes)))
}
