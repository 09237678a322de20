//! Invariants on the actions of the workers, and the end of all jobs.

use super::*;

/// Longest time for which a task runs on after the cancel of its job.
const STOP_LIMIT: Duration = Duration::from_millis(3_400);
/// Longest time for which the newest owner doesn't know of a run in the calm phase.
const UNKNOWN_LIMIT: Duration = Duration::from_secs(3);
/// Time without faults before a cancel from which on that limit counts.
const STEADY_BEFORE: Duration = Duration::from_secs(3);
/// Longest time for which such a task runs on once all faults are over.
const CALM_LIMIT: Duration = Duration::from_secs(10);

impl Simulation {
    /// Checks the actions of a worker.
    pub(super) fn check_events(&mut self, at: usize, events: Vec<WorkerEvent>) {
        for event in events {
            match event {
                WorkerEvent::Started(run) => {
                    self.check_start(at, run);
                    self.note_start(at, run);
                }
                WorkerEvent::Ended(run, EndReason::Done) => {
                    self.wake_polls(at);
                    self.done.insert(run.task);
                    self.done_at.insert(run, self.now);
                }
                WorkerEvent::Ended(..) => self.wake_polls(at),
                WorkerEvent::Acknowledged(ended) => {
                    self.check_acknowledged(at, &ended);
                    let done = ended.iter().filter(|end| end.reason == EndReason::Done);
                    self.acknowledged.extend(done.map(|end| end.run.task));
                }
            }
        }
    }

    pub(super) fn check_start(&mut self, at: usize, run: RunRef) {
        let mut violations = Vec::new();
        let other_workers = self.workers.iter().enumerate();
        let mut other_workers = other_workers.filter(|(other, _)| *other != at);
        let runs_elsewhere =
            other_workers.any(|(_, worker)| worker.runs().any(|other| other.task == run.task));
        if runs_elsewhere {
            violations.push("runs twice");
        }
        if self.workers[at]
            .runs()
            .filter(|other| other.task == run.task)
            .count()
            > 1
        {
            violations.push("runs twice on one worker");
        }
        if self.acknowledged.contains(&run.task) {
            violations.push("starts after its end was acknowledged");
        }
        if self.workers[at].runs().count() > self.crashes.counted_capacity(self.now, at) {
            violations.push("exceeds the capacity of its worker");
        }
        let first_step_count = self.jobs[&run.task.job].record.spec.steps[0].count;
        let first = |index| TaskId {
            step: 0,
            index,
            ..run.task
        };
        if run.task.step == 1
            && !(0..first_step_count).all(|index| self.done.contains(&first(index)))
        {
            violations.push("starts before the previous step is done");
        }
        self.last_starts.insert(run.task, self.now);
        for what in violations {
            self.violations
                .push(format!("{}: {} {what} on worker {at}", self.now, run.task));
        }
    }

    /// Checks that no task was started again after an end that is acknowledged now, unless
    /// the worker's lease lapsed in between.
    fn check_acknowledged(&mut self, at: usize, ended: &[EndedRun]) {
        for end in ended {
            let done_at = self.done_at.get(&end.run);
            let started = self.last_starts.get(&end.run.task);
            let (Some(done_at), Some(started)) = (done_at, started) else {
                continue;
            };
            if started > done_at && self.workers[at].lapsed_at < *done_at {
                self.violations.push(format!(
                    "{}: {} started again after an end that is acknowledged on worker {at}",
                    self.now, end.run.task
                ));
            }
        }
    }

    /// Checks that no run that an agent tells to be gone is in progress on its worker: the owner
    /// starts its task again.
    pub(super) fn check_gone(&mut self, at: usize, message: &AgentMessage) {
        let (run, what) = match message {
            AgentMessage::Missing(run) => (run, "is told to be missing"),
            AgentMessage::Refused { run, .. } => (run, "is told to be refused"),
            _ => return,
        };
        if self.workers[at].runs().any(|other| other == run) {
            self.violations.push(format!(
                "{}: {} {what} while it runs on worker {at}",
                self.now, run.task
            ));
        }
    }

    /// Checks that the newest owner knows of the runs in progress in the calm phase.
    pub(super) fn check_unknown(&mut self) {
        let Some(owner) = self.owners.last() else {
            return;
        };
        let mut unknown = BTreeMap::new();
        for (at, worker) in self.workers.iter().enumerate() {
            let runs = worker.runs().filter(|run| !owner.runs.contains(at, **run));
            for run in runs {
                let since = self.unknown_since.get(&(at, *run));
                unknown.insert((at, *run), since.copied().unwrap_or(self.now));
            }
        }
        let calm = self.calm.map(|calm| calm.after(CALM_LIMIT));
        for ((at, run), since) in &unknown {
            let stays = since.after(UNKNOWN_LIMIT) < self.now;
            if stays && calm.is_some_and(|calm| calm < self.now) {
                self.violations.push(format!(
                    "{}: {} runs unknown to the newest owner on worker {at}",
                    self.now, run.task
                ));
            }
        }
        self.unknown_since = unknown;
    }

    /// Checks that runs of cancelled jobs don't go on.
    pub(super) fn check_running(&mut self) {
        let mut violations = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            for run in worker.runs() {
                if let Some(what) = self.runs_on(run.task.job) {
                    let task = run.task;
                    violations.push(format!("{}: {task} {what} on worker {at}", self.now));
                }
            }
        }
        self.violations.extend(violations);
    }

    /// Whether a run of the job, in progress now, goes on too long after its cancel.
    fn runs_on(&self, job: JobId) -> Option<&'static str> {
        let cancelled = *self.cancelled.get(&job)?;
        let steady = self.disturbed.after(STEADY_BEFORE) <= cancelled;
        if steady && self.now > cancelled.after(STOP_LIMIT) {
            return Some("runs on after its cancel");
        }
        let calm = self.calm?.max(cancelled);
        (self.now > calm.after(CALM_LIMIT)).then_some("runs on in the calm phase")
    }

    pub(super) fn check_end(&mut self) {
        self.check_last_job();
        self.check_failed();
        let jobs = self.jobs.iter().filter(|(id, _)| id.0 != LAST_JOB);
        for (id, stored) in jobs {
            let state = stored.progress.as_ref().map(|progress| progress.state);
            let ended = stored.record.cancelled || state.is_some_and(JobState::is_final);
            if !ended {
                self.violations
                    .push(format!("job {id} has not ended: {state:?}"));
            }
        }
    }

    /// Checks that the last job runs whole, which takes all workers.
    fn check_last_job(&mut self) {
        let runs = self.workers.iter().flat_map(SimulatedWorker::runs);
        let count = runs.filter(|run| run.task.job.0 == LAST_JOB).count();
        let wanted = WORKERS * CAPACITY;
        if count != wanted {
            let now = self.now;
            self.violations.push(format!(
                "{now}: {count} of {wanted} tasks of the last job run"
            ));
        }
    }
}
