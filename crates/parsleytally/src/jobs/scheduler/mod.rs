//! The owner's decisions: what starts where, what has ended, what is saved.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::contention::Contention;
use super::durations::Durations;
use super::fleet::Worker;
use super::job::{Job, StepRef};
use super::{
    AgentMessage, Input, JobId, JobProgress, JobRecord, JobReply, JobRequest, JobState,
    OrderMessage, Output, QueueName, QueueTable, RunRef, WorkerReport, WorkerState,
};
use crate::types::{NodeName, Revision, Time};

mod ends;
mod evacuate;
mod protect;
mod start;

/// Least time between two passes over what waits.
const PASS_PAUSE: Duration = Duration::from_millis(10);
/// Run numbers that one owner may give to a task.
const RUNS_PER_EPOCH: u32 = 1_000;

/// With what a scheduler begins.
#[derive(Debug, Clone, Copy)]
pub struct SchedulerStart {
    /// Number of this ownership, from 0.
    pub epoch: u64,
    /// Revision of the store at which the ownership began.
    pub since: Revision,
    /// Time for which an agent keeps runs alive without its owner.
    pub agent_hold: Duration,
    /// Time for which an agent keeps runs alive under an owner that lost the store.
    pub owner_hold: Duration,
    /// Time for which the state of an ended job is told.
    pub keep_ended: Duration,
}

/// The owner's state.
#[derive(Debug)]
pub struct Scheduler {
    start: SchedulerStart,
    queues: Arc<QueueTable>,
    jobs: HashMap<JobId, Job>,
    /// Jobs that have not ended.
    open: BTreeSet<JobId>,
    /// Jobs whose record has changed since it was last given out.
    changed: BTreeSet<JobId>,
    /// Whether the store has taken records since ends were last acknowledged.
    stored: bool,
    workers: BTreeMap<NodeName, Worker>,
    /// Agents of the predecessor that have not reported, and when their runs have ended.
    unheard: BTreeMap<NodeName, Time>,
    contention: Contention,
    durations: Durations,
    /// When the store last confirmed the ownership.
    confirmed: Time,
    /// Whether something changed that may let a task start.
    stirred: bool,
    /// Time before which nothing is placed, so that a burst is decided together.
    next_pass: Time,
}

impl Scheduler {
    /// Creates the state of a new owner.
    pub fn new(start: SchedulerStart) -> Self {
        Self {
            start,
            queues: Arc::default(),
            jobs: HashMap::new(),
            open: BTreeSet::new(),
            changed: BTreeSet::new(),
            stored: false,
            workers: BTreeMap::new(),
            unheard: BTreeMap::new(),
            contention: Contention::default(),
            durations: Durations::default(),
            confirmed: Time::ZERO,
            stirred: false,
            next_pass: Time::ZERO,
        }
    }

    /// Takes one input; `wall_ms` is the time of day in milliseconds since 1970.
    pub fn step(&mut self, now: Time, wall_ms: u64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Queues(queues) => self.take_queues(queues),
            Input::Job {
                id,
                record,
                accepted,
                progress,
            } => self.take_job(id, record, accepted, progress.as_ref(), out),
            Input::Expected(node) => {
                let until = now.after(self.start.owner_hold);
                self.unheard.insert(node, until);
            }
            Input::Linked(node) => self.linked(node),
            Input::Unlinked(node) => self.unlinked(now, &node),
            Input::Agent(node, message) => self.agent(now, &node, message, out),
            Input::Saved { job, version } => self.saved(job, version),
            Input::Confirmed(at) => self.confirmed = self.confirmed.max(at),
            Input::Tick => self.tick(now, wall_ms, out),
        }
    }

    /// Starts what may start and gives out the records that changed.
    ///
    /// Called after one or more steps, so that inputs that arrive together are
    /// decided together.
    pub fn decide(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Output>) {
        if self.stirred && now >= self.next_pass {
            self.stirred = false;
            self.next_pass = now.after(PASS_PAUSE);
            self.place_all(now, wall_ms, out);
        }
        if std::mem::take(&mut self.stored) {
            self.acknowledge_all(out);
        }
        self.save_changes(out);
    }

    /// When [`decide`](Self::decide) shall be called again, where that is before the
    /// next input.
    pub fn wake_at(&self) -> Option<Time> {
        self.stirred.then_some(self.next_pass)
    }

    /// Answers a question of an entry.
    pub fn answer(&self, question: &JobRequest) -> JobReply {
        match question {
            JobRequest::State(id) => JobReply::State(self.state(*id)),
            JobRequest::Pending(queue) => JobReply::Pending(self.pending(queue)),
            // The entry stores jobs itself.
            JobRequest::Submit(..) => JobReply::Submitted(super::SubmitOutcome::No),
        }
    }

    /// State of a job as clients may see it.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(Job::visible_state)
    }

    /// Number of jobs of `queue` that have not begun.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let waiting = |id: &&JobId| {
            let job = &self.jobs[*id];
            job.state == JobState::Queued && job.policy.name == *queue
        };
        self.open.iter().filter(waiting).count() as u64
    }

    /// Number of jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.open.len()
    }

    /// Number of tasks that could run if there were room.
    pub fn waiting_tasks(&self) -> usize {
        let jobs = self.open.iter().map(|id| &self.jobs[id]);
        jobs.map(Job::waiting_tasks).sum()
    }

    fn take_queues(&mut self, queues: Arc<QueueTable>) {
        for job in self.jobs.values_mut() {
            if let Some(policy) = queues.get(&job.policy.name) {
                job.policy = policy.clone();
            }
        }
        self.queues = queues;
        self.stirred = true;
    }

    fn take_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        accepted: Revision,
        progress: Option<&JobProgress>,
        out: &mut Vec<Output>,
    ) {
        if !self.jobs.contains_key(&id) {
            self.add_job(id, record, accepted, progress);
        } else if record.cancelled {
            self.cancel(id, out);
        }
    }

    fn add_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        accepted: Revision,
        progress: Option<&JobProgress>,
    ) {
        let policy = self.queues.get(&record.spec.queue.name);
        let policy = policy.unwrap_or(&record.spec.queue).clone();
        let mut job = Job::new(record.spec, policy, accepted);
        if let Some(progress) = progress {
            job.restore(progress);
        }
        if record.cancelled && !job.state.is_final() {
            job.state = JobState::Cancelled;
        }
        if job.state.is_final() {
            job.rounds.clear();
        } else {
            self.open.insert(id);
        }
        self.jobs.insert(id, job);
        self.stirred = true;
    }

    fn cancel(&mut self, id: JobId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = JobState::Cancelled;
        self.close_job(id, out);
    }

    /// Stops what a job that has ended still runs.
    fn close_job(&mut self, id: JobId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.open.remove(&id);
        for run in live_runs(id, job) {
            out.push(Output::Order(run.1, OrderMessage::Stop(run.0)));
        }
        job.rounds.clear();
        self.stirred = true;
    }

    fn linked(&mut self, node: NodeName) {
        let worker = self.workers.entry(node).or_default();
        worker.linked = true;
        worker.listed = false;
        worker.silent = false;
        worker.expires = None;
    }

    fn unlinked(&mut self, now: Time, node: &NodeName) {
        if let Some(worker) = self.workers.get_mut(node) {
            worker.linked = false;
            worker.listed = false;
            worker.expires = Some(now.after(self.start.agent_hold));
        }
    }

    fn agent(&mut self, now: Time, node: &NodeName, message: AgentMessage, out: &mut Vec<Output>) {
        if !self.workers.get(node).is_some_and(|worker| worker.linked) {
            return;
        }
        match message {
            AgentMessage::Report(report) => self.reported(now, node, report, out),
            AgentMessage::Listed {
                incarnation: life,
                running,
                ended,
            } => self.listed(now, node, &life, &running, &ended, out),
            AgentMessage::Refused { run, reason } => self.refused(now, node, run, reason),
            AgentMessage::Ended {
                incarnation: life,
                ended,
            } => self.ended(now, node, &life, &ended, out),
            AgentMessage::Missing(run) => self.gone(node, run),
            AgentMessage::Measurements(gauges) => self.measured(now, node, &gauges, out),
            AgentMessage::Ping { .. } => {}
            AgentMessage::Unresponsive(silent) => self.silent(node, silent),
            AgentMessage::LeasesExpired => self.lapsed(node),
        }
    }

    fn silent(&mut self, node: &NodeName, silent: bool) {
        if let Some(worker) = self.workers.get_mut(node) {
            worker.silent = silent;
        }
        self.stirred = true;
    }

    fn reported(
        &mut self,
        now: Time,
        node: &NodeName,
        report: WorkerReport,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let known = worker.report.as_ref().map(|known| &known.life);
        // What an earlier life said may arrive late.
        if known.is_some_and(|known| known.born > report.life.born) {
            return;
        }
        if known.is_some_and(|known| *known != report.life) {
            self.lapsed(node);
        }
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let was_draining = worker.is_draining();
        let state = report.state;
        worker.report = Some(report);
        if let WorkerState::Draining { remaining_ms } = state
            && !was_draining
        {
            self.evacuate(now, node, remaining_ms, out);
        }
        self.stirred = true;
    }

    /// Keeps the newest checkpoints, so that a lost run resumes from them.
    fn measured(
        &mut self,
        now: Time,
        node: &NodeName,
        gauges: &[super::RunStatus],
        out: &mut Vec<Output>,
    ) {
        for listed in gauges {
            let job = self.jobs.get_mut(&listed.run.task.job);
            let task = job.and_then(|job| job.task(listed.run.task));
            if let Some(task) = task
                && !listed.checkpoint.is_empty()
            {
                task.checkpoint.clone_from(&listed.checkpoint);
            }
        }
        self.protect(now, node, gauges, out);
    }

    /// Nothing that was given to the worker runs any more.
    fn lapsed(&mut self, node: &NodeName) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let runs: Vec<RunRef> = worker.runs.keys().copied().collect();
        worker.begin_life();
        self.unheard.remove(node);
        for run in runs {
            self.forget_run(node, run);
        }
        self.stirred = true;
    }

    fn tick(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Output>) {
        // An agent that is lost may have gone over to another owner, unless the store
        // said since that there is none.
        let certain = now.min(self.confirmed);
        let expired = |(_, worker): &(&NodeName, &Worker)| {
            worker.expires.is_some_and(|expires| expires <= certain)
        };
        let lost: Vec<NodeName> = {
            let lost = self.workers.iter().filter(expired);
            lost.map(|(node, _)| node.clone()).collect()
        };
        for node in lost {
            self.lapsed(&node);
            if let Some(worker) = self.workers.get_mut(&node) {
                worker.expires = None;
            }
            out.push(Output::Forget(node));
        }
        let over = self.unheard.iter().filter(|(_, until)| **until <= certain);
        let over: Vec<NodeName> = over.map(|(node, _)| node.clone()).collect();
        self.stirred |= !over.is_empty();
        for node in over {
            self.unheard.remove(&node);
            if !self.workers.get(&node).is_some_and(|worker| worker.linked) {
                out.push(Output::Forget(node));
            }
        }
        self.open_rounds(wall_ms);
        self.drop_ended(now);
        // Pauses of workers end and objectives become unreachable as time passes.
        self.stirred = true;
    }

    fn open_rounds(&mut self, wall_ms: u64) {
        for id in &self.open {
            if let Some(job) = self.jobs.get_mut(id) {
                job.open_rounds(wall_ms);
            }
        }
    }

    fn drop_ended(&mut self, now: Time) {
        let open = &self.open;
        self.contention.retain_jobs(|job| open.contains(job));
        let keep = self.start.keep_ended;
        self.jobs.retain(|_, job| {
            if !job.state.is_final() || job.saved_version < job.version {
                return true;
            }
            let ended = *job.ended_at.get_or_insert(now);
            now.since(ended) < keep
        });
    }

    fn saved(&mut self, id: JobId, version: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.saved_version = job.saved_version.max(version);
        self.stored = true;
    }

    fn save_changes(&mut self, out: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.changed) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            out.push(Output::Save {
                job: id,
                version: job.version,
                progress: job.progress(),
            });
        }
    }
}

/// The runs of a job that may go on, each with its worker.
fn live_runs(id: JobId, job: &Job) -> Vec<(RunRef, NodeName)> {
    let mut found = Vec::new();
    for (round, open) in job.rounds.iter().enumerate() {
        for (step, run) in open.steps.iter().enumerate() {
            let of_step = StepRef {
                job: id,
                round,
                step,
            };
            for (index, task) in run.tasks.iter().enumerate() {
                let task_id = of_step.task(index);
                let runs = task.runs.iter().map(|live| {
                    let run = RunRef {
                        task: task_id,
                        run: live.run,
                    };
                    (run, live.node.clone())
                });
                found.extend(runs);
            }
        }
    }
    found
}
