//! The job scheduler of the owner: places runs, tracks those that end and saves the
//! progress of jobs.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::admission::ForecastState;
use super::contention::Contention;
use super::durations::Durations;
use super::evacuation::Evacuation;
use super::fleet::Worker;
use super::job::{Job, LiveRun, StepRef};
use super::shares::Shares;
use super::stalls::StallBudget;
use super::unreported::UnreportedAgents;
use super::worker_health::HealthReview;
use super::{
    AgentMessage, CrashSource, EndEvidence, Input, JobId, JobProgress, JobRecord, JobReply,
    JobRequest, JobState, LastEnd, OrderMessage, Output, QueueName, QueueTable, RunRef,
    WorkerIncarnation, WorkerReport, WorkerState, WorkersDecision,
};
use crate::configs::{BestEffortConfig, WorkersConfig};
use crate::types::{NodeName, Revision, Time};

mod counted;
mod crashes;
mod drain;
mod ended;
mod evacuation;
mod forecast;
mod losses;
pub(super) mod pass;
mod pool_use;
mod preempt;
mod relocate;
mod repair;
mod shares;
mod start;
mod starving;
mod throttle;
mod uneven;
mod unreported;
mod waiting;

use losses::ClosedJob;
pub use pool_use::PoolUse;
use throttle::MoveSearches;
pub use uneven::StandingCounts;

/// Minimum time between two placement passes.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two records of what was learned.
const LEARNED_INTERVAL: Duration = Duration::from_secs(2);
/// Most by which an agent's clock may run slow, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 5;
/// Run numbers of a task that are reserved for each epoch.
const RUNS_PER_EPOCH: u32 = 1_000;

/// Parameters of one ownership of the jobs.
#[derive(Debug, Clone, Copy)]
pub struct SchedulerOptions {
    /// Epoch of the ownership; the first is 0.
    pub epoch: u64,
    /// Revision of the store at which the ownership began.
    pub start_revision: Revision,
    /// How long an agent keeps runs alive without a link to its owner.
    pub agent_hold: Duration,
    /// How long an agent keeps runs alive under an owner that can't reach the store.
    pub owner_hold: Duration,
    /// How long the state of an ended job can be queried.
    pub ended_retention: Duration,
    /// Order and limit of best-effort tasks.
    pub best_effort: BestEffortConfig,
    /// Age past which a read of the operators' requests to evacuate availability zones permits
    /// no starts; none if evacuations are not enabled.
    pub evacuation_limit: Option<Duration>,
    /// Handling of uneven workers.
    pub workers: WorkersConfig,
}

/// State of the jobs and workers, as a state machine without I/O.
#[derive(Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    queues: Arc<QueueTable>,
    pub(super) jobs: HashMap<JobId, Job>,
    /// Ended jobs whose state is no longer kept; the store has it.
    forgotten: HashSet<JobId>,
    /// Jobs that have not ended.
    open: BTreeSet<JobId>,
    /// Jobs whose progress has changed since its last [`Output::Save`].
    changed: BTreeSet<JobId>,
    /// Jobs with tasks that wait until the store has the marks of a crash.
    unsaved_marks: BTreeSet<JobId>,
    /// Jobs that have ended since the last decision.
    closed: Vec<ClosedJob>,
    /// Whether the store saved progress or runs were released since ended runs were last
    /// acknowledged.
    acks_due: bool,
    /// Whether an acknowledgement waits until a further run of its task is settled.
    acks_held: bool,
    pub(super) workers: BTreeMap<NodeName, Worker>,
    /// Agents of the predecessor that have not listed their runs yet.
    unreported: UnreportedAgents,
    /// Until when answers to pings keep the runs of agents alive that have not listed them.
    support_end: Time,
    contention: Contention,
    durations: Durations,
    evacuation: Evacuation,
    health_review: HealthReview,
    stall_budget: StallBudget,
    forecasts: ForecastState,
    /// Whether most of each pool is reserved, and when that was computed.
    full_pools: BTreeMap<Arc<str>, (Time, bool)>,
    /// Searches for workers to which throttled runs could move.
    move_searches: MoveSearches,
    /// Earliest time of the next check for runs to move out of evacuated zones.
    next_move: Time,
    /// Use of the pools by the queues; none without settings of shares.
    shares: Option<Shares>,
    /// When what was learned was last recorded.
    learned_saved: Time,
    /// Time of the last confirmation of the ownership by the store.
    confirmed: Time,
    /// Whether a change since the last pass may allow a task to start.
    pass_due: bool,
    /// Whether the next pass must consider all workers for each step.
    full_pass_due: bool,
    /// Workers whose runs, state or measurements have changed since the last pass.
    changed_workers: BTreeSet<NodeName>,
    /// Earliest time of the next placement pass, so that a burst of inputs needs only one.
    next_pass: Time,
}

impl Scheduler {
    /// Creates the state of a new owner.
    pub fn new(options: SchedulerOptions) -> Self {
        Self {
            evacuation: Evacuation::new(options.evacuation_limit),
            full_pools: BTreeMap::new(),
            move_searches: MoveSearches::default(),
            next_move: Time::ZERO,
            options,
            queues: Arc::default(),
            jobs: HashMap::new(),
            forgotten: HashSet::new(),
            open: BTreeSet::new(),
            changed: BTreeSet::new(),
            unsaved_marks: BTreeSet::new(),
            closed: Vec::new(),
            acks_due: false,
            acks_held: false,
            workers: BTreeMap::new(),
            unreported: UnreportedAgents::default(),
            support_end: Time::ZERO,
            contention: Contention::default(),
            durations: Durations::default(),
            health_review: HealthReview::default(),
            stall_budget: StallBudget::default(),
            forecasts: ForecastState::default(),
            shares: None,
            learned_saved: Time::ZERO,
            confirmed: Time::ZERO,
            pass_due: false,
            full_pass_due: true,
            changed_workers: BTreeSet::new(),
            next_pass: Time::ZERO,
        }
    }

    /// Applies one input; `wall_ms` is the Unix time in milliseconds.
    pub fn step(&mut self, now: Time, wall_ms: u64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Queues(queues) => self.update_queues(queues),
            Input::Job {
                id,
                record,
                accepted,
                progress,
            } => self.update_job(id, record, accepted, progress.as_ref(), out),
            Input::Learned(record) => self.contention.restore(record),
            Input::Expected(node) => self.expect_agent(now, node),
            Input::Linked(node) => self.linked(now, node),
            Input::Unlinked(node) => self.unlinked(now, &node),
            Input::Agent(node, message) => self.handle_agent(now, &node, message, out),
            Input::Saved { job, version } => self.saved(job, version),
            Input::Zones(read) => self.update_zones(now, &read, out),
            Input::Confirmed(at) => self.confirmed = self.confirmed.max(at),
            Input::Tick => self.tick(now, wall_ms, out),
        }
    }

    /// Places waiting tasks, acknowledges ended runs and emits changed progress.
    ///
    /// Called after one or more steps, so that inputs that arrive together share one
    /// placement pass.
    pub fn decide(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Output>) {
        if self.pass_due && now >= self.next_pass {
            self.pass_due = false;
            self.next_pass = now.after(MIN_PASS_INTERVAL);
            self.place_waiting(now, wall_ms, out);
        }
        if std::mem::take(&mut self.acks_due) {
            self.acknowledge_all(out);
            self.acknowledge_crashes(out);
        }
        self.emit_accounts(now, wall_ms, out);
        self.emit_changed(out);
    }

    /// Time at which to call [`decide`](Self::decide) again even without new input.
    pub fn wake_at(&self) -> Option<Time> {
        self.pass_due.then_some(self.next_pass)
    }

    /// Answers a query of an entry.
    pub fn answer(&self, question: &JobRequest) -> JobReply {
        match question {
            JobRequest::State(id) => JobReply::State(self.state(*id)),
            JobRequest::Pending(queue) => JobReply::Pending(self.pending(queue)),
            // Entries read and write the store, the scheduler does not.
            JobRequest::Submit(..) => JobReply::Submitted(super::SubmitOutcome::No),
            JobRequest::Cancel(_) => JobReply::Cancelled(super::CancelOutcome::No),
            JobRequest::Read(_) => JobReply::Stored(super::StoredJob::Unknown),
            // Needs the time: see `forecast`.
            JobRequest::Forecast { .. } => JobReply::NotOwner,
        }
    }

    /// State of a job as shown to clients: a final state only once the store has it.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(Job::visible_state)
    }

    /// Number of jobs of `queue` no task of which a worker is known to have begun.
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

    /// Number of workers whose runs need more than the worker has since its capacity shrank.
    pub fn overcommitted_workers(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| worker.is_overcommitted()).count()
    }

    /// Number of tasks that are ready but not placed on a worker.
    pub fn waiting_tasks(&self) -> usize {
        let jobs = self.open.iter().map(|id| &self.jobs[id]);
        jobs.map(Job::waiting_tasks).sum()
    }

    fn update_queues(&mut self, queues: Arc<QueueTable>) {
        for job in self.jobs.values_mut() {
            if let Some(policy) = queues.get(&job.policy.name) {
                job.policy = policy.clone();
            }
        }
        self.queues = queues;
        self.pass_due = true;
        self.full_pass_due = true;
    }

    fn update_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        accepted: Revision,
        progress: Option<&JobProgress>,
        out: &mut Vec<Output>,
    ) {
        if self.forgotten.contains(&id) {
            return;
        }
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
        self.pass_due = true;
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

    /// Closes a job in a final state and stops its remaining runs.
    fn close_job(&mut self, id: JobId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.open.remove(&id);
        for (run, node) in active_runs(id, job) {
            out.push(Output::Order(node.clone(), OrderMessage::Stop(run)));
        }
        let rounds = std::mem::take(&mut job.rounds);
        self.closed.push(ClosedJob { id, rounds });
        self.pass_due = true;
    }

    fn linked(&mut self, now: Time, node: NodeName) {
        self.unreported.count_link(&node);
        if self.workers.get(&node).is_some_and(|worker| worker.known) {
            self.unlinked(now, &node);
        }
        let until = self
            .workers
            .get(&node)
            .and_then(|worker| worker.runs_expire_at);
        let runs_expire_at = until.map(|until| self.extended_end(until));
        let worker = self.workers.entry(node).or_default();
        worker.runs_expire_at = runs_expire_at;
        worker.linked = true;
        worker.listed = false;
        worker.unresponsive = false;
        worker.last_lease_end = None;
        worker.expect_all_ends();
        // The agent repeats those that are not acknowledged.
        worker.pending_crashes.clear();
    }

    fn unlinked(&mut self, now: Time, node: &NodeName) {
        let hold = now.after(self.options.agent_hold);
        // The predecessor's hold may still keep its runs alive.
        let inherited = self.unreported.get(node).map(|agent| agent.until);
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let own = match worker.runs_expire_at {
            // Since then, no answer has kept them alive for longer.
            Some(until) if !worker.known => until,
            _ => hold,
        };
        worker.linked = false;
        worker.listed = false;
        worker.known = false;
        worker.runs_expire_at = Some(inherited.map_or(own, |until| until.max(own)));
    }

    fn handle_agent(
        &mut self,
        now: Time,
        node: &NodeName,
        message: AgentMessage,
        out: &mut Vec<Output>,
    ) {
        if !self.workers.get(node).is_some_and(|worker| worker.linked) {
            return;
        }
        match message {
            AgentMessage::Report(report) => self.update_report(now, node, report, out),
            AgentMessage::Listed {
                incarnation,
                running,
                ended,
            } => self.reconcile(now, node, &incarnation, &running, &ended, out),
            AgentMessage::Refused { run, reason } => self.start_refused(now, node, run, reason),
            AgentMessage::Ended { incarnation, ended } => {
                self.handle_ended(now, node, &incarnation, &ended, out);
            }
            AgentMessage::Missing(run) => self.run_missing(node, run, LastEnd::Missing),
            AgentMessage::Started(run) => {
                // It frees no room, so no pass is due.
                self.mark_started(run);
                return;
            }
            AgentMessage::Crashed(crash) => {
                let seen = crash.runs.iter().filter(|lost| lost.seen_ms.is_some());
                for lost in seen {
                    if let Some(job) = self.jobs.get_mut(&lost.run.task.job) {
                        job.note_begun();
                    }
                }
                self.worker_crashed(node, &crash, CrashSource::Agent, out);
            }
            AgentMessage::Measurements(gauges) => self.update_gauges(now, node, &gauges, out),
            // The owner's links handle these two.
            AgentMessage::Ping { .. } | AgentMessage::Superseded { .. } => return,
            AgentMessage::Unresponsive(silent) => self.set_unresponsive(now, node, silent),
            AgentMessage::LastLease { expires_within } => {
                self.set_last_lease(now, node, Duration::from_micros(expires_within));
            }
            AgentMessage::LeasesExpired => self.leases_expired(now, node, out),
            AgentMessage::MayRun(runs) => self.agent_may_run(node, &runs),
        }
        self.changed_workers.insert(node.clone());
    }

    fn set_unresponsive(&mut self, now: Time, node: &NodeName, unresponsive: bool) {
        if let Some(worker) = self.workers.get_mut(node) {
            worker.unresponsive = unresponsive;
            worker.health.set_unresponsive(now, unresponsive);
            if unresponsive {
                worker.silent_at = Some(now);
                worker.lost_jobs.clear();
            }
        }
        self.pass_due = true;
    }

    /// Notes when the last lease of a worker that shuts down has expired. Its agent may go
    /// together with it.
    fn set_last_lease(&mut self, now: Time, node: &NodeName, within: Duration) {
        if self.is_unreported(node) {
            // Runs of the predecessor are not listed yet.
            return;
        }
        if let Some(worker) = self.workers.get_mut(node) {
            worker.last_lease_end = Some(now.after(within + within * CLOCK_DRIFT_PERCENT / 100));
        }
    }

    fn update_report(
        &mut self,
        now: Time,
        node: &NodeName,
        report: WorkerReport,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let known = worker.incarnation();
        // A report of an earlier incarnation may arrive late. Before the worker is listed
        // again, its wall clock may have been set back.
        let is_earlier = |known: &WorkerIncarnation| {
            known.started_ms > report.incarnation.started_ms && worker.listed
        };
        if known.is_some_and(is_earlier) {
            return;
        }
        let other = known.filter(|known| **known != report.incarnation);
        if let Some(started_ms) = other.map(|known| known.started_ms) {
            if started_ms == report.incarnation.started_ms {
                // The agent has corrected the id; it lists the runs again.
                worker.listed = false;
                worker.expect_all_ends();
            } else {
                self.infer_crash(node, out);
                self.drop_runs(node, EndEvidence::LaterIncarnation, out);
                self.expect_all_ends(node);
                if let Some(worker) = self.workers.get_mut(node) {
                    worker.awaited_runs.clear();
                }
            }
        }
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let known = worker.incarnation();
        if known.is_some_and(|known| *known != report.incarnation) {
            worker.health.restarted(now);
        }
        let was_draining = worker.is_draining();
        let state = report.state;
        let before = worker.report.as_ref().map(|report| report.capacity);
        if let Some(before) = before.filter(|before| *before != report.capacity) {
            out.push(Output::Workers(WorkersDecision::Capacity {
                node: node.clone(),
                before,
                after: report.capacity,
                reserved: worker.reserved,
            }));
        }
        if state == WorkerState::Ready {
            worker.last_lease_end = None;
        }
        worker.report = Some(report);
        self.update_zone_of(node);
        if let WorkerState::Draining { remaining_ms } = state
            && !was_draining
        {
            self.drain(now, node, remaining_ms, out);
        }
        self.pass_due = true;
    }

    /// Stores the newest checkpoints, so that a lost run resumes from them, throttles
    /// best-effort runs and stops runs that should not exist.
    fn update_gauges(
        &mut self,
        now: Time,
        node: &NodeName,
        gauges: &[super::RunStatus],
        out: &mut Vec<Output>,
    ) {
        for gauge in gauges {
            if let Some(job) = self.jobs.get_mut(&gauge.run.task.job) {
                job.save_checkpoint(gauge.run, &gauge.checkpoint);
                job.note_begun();
            }
        }
        self.note_progress(now, node, gauges);
        self.clear_suspects(node, gauges);
        self.stop_stalled(now, node, gauges, out);
        self.stop_unknown(node, gauges, out);
        self.throttle(now, node, gauges, out);
    }

    /// Stops measured runs that this owner has neither placed nor adopted, or takes for ended.
    fn stop_unknown(&self, node: &NodeName, gauges: &[super::RunStatus], out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get(node) else {
            return;
        };
        let runs = gauges.iter().map(|gauge| gauge.run);
        let unknown = runs.filter(|run| !worker.runs.contains_key(run));
        out.extend(unknown.map(|run| Output::Order(node.clone(), OrderMessage::Stop(run))));
    }

    /// Drops all runs of a worker, so that their tasks can start again.
    fn drop_runs(&mut self, node: &NodeName, evidence: EndEvidence, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let runs: Vec<(RunRef, bool)> = {
            let runs = worker.runs.iter();
            runs.map(|(run, load)| (*run, load.listed)).collect()
        };
        out.push(Output::RunsDropped {
            node: node.clone(),
            runs: runs.len(),
            evidence,
        });
        worker.reset();
        self.contention.update_headrooms(node, worker);
        self.agent_reported(node);
        self.acks_due |= self.acks_held;
        for (run, listed) in runs {
            self.detach_run(node, run, LastEnd::Dropped(evidence));
            if !listed {
                self.count_vain_start(run);
            }
        }
        self.pass_due = true;
    }

    /// Expects all ends of a worker anew, as its agent reports them.
    fn expect_all_ends(&mut self, node: &NodeName) {
        if let Some(worker) = self.workers.get_mut(node) {
            worker.expect_all_ends();
        }
    }

    /// Handles the end of all leases of a worker.
    ///
    /// The message is older than orders that are on their way to the agent, which may carry them
    /// out after it has listed its runs again. It ignores them once it has a new link to this
    /// owner, so that its listing there shows which of them have started.
    fn leases_expired(&mut self, now: Time, node: &NodeName, out: &mut Vec<Output>) {
        let worker = self.workers.get(node);
        if worker.is_none_or(|worker| worker.unlisted_runs() == 0) {
            self.drop_runs(node, EndEvidence::AgentMessage, out);
            self.expect_all_ends(node);
            return;
        }
        self.unlinked(now, node);
        if let Some(worker) = self.workers.get_mut(node) {
            // The link answers pings, and the agent uses the answers, until it is closed.
            worker.known = true;
        }
        out.push(Output::Relink(node.clone()));
    }

    fn tick(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Output>) {
        // A lost agent may be linked to a newer owner. Only runs that expired before the
        // last confirmation of this ownership are known to have ended.
        let confirmed = now.min(self.confirmed);
        let expired = |(_, worker): &(&NodeName, &Worker)| {
            worker.runs_end().is_some_and(|at| at <= confirmed)
        };
        let lost: Vec<NodeName> = {
            let lost = self.workers.iter().filter(expired);
            lost.map(|(node, _)| node.clone()).collect()
        };
        for node in lost {
            self.drop_runs(&node, EndEvidence::PassedHold, out);
            if let Some(worker) = self.workers.get_mut(&node) {
                worker.runs_expire_at = None;
            }
            // A linked agent may still list its worker.
            if !self.is_linked(&node) {
                out.push(Output::Forget(node));
            }
        }
        let left = |(_, worker): &(&NodeName, &Worker)| {
            worker.linked && worker.last_lease_end.is_some_and(|at| at <= confirmed)
        };
        let left: Vec<NodeName> = {
            let left = self.workers.iter().filter(left);
            left.map(|(node, _)| node.clone()).collect()
        };
        for node in left {
            self.drop_runs(&node, EndEvidence::AgentMessage, out);
        }
        self.unreported.note_waits(now);
        self.expire_unreported(confirmed, out);
        self.open_rounds(now, wall_ms);
        self.remove_ended(now);
        self.save_learned(now, out);
        self.review_workers(now, out);
        self.explain_waiting(now, out);
        // Quarantines and trials end, and objectives become unreachable as time passes.
        self.pass_due = true;
        self.full_pass_due = true;
    }

    fn save_learned(&mut self, now: Time, out: &mut Vec<Output>) {
        if now.since(self.learned_saved) < LEARNED_INTERVAL {
            return;
        }
        self.learned_saved = now;
        let record = self.contention.record();
        if !record.is_empty() {
            out.push(Output::SaveLearned(record));
        }
    }

    fn open_rounds(&mut self, now: Time, wall_ms: u64) {
        for id in &self.open {
            if let Some(job) = self.jobs.get_mut(id) {
                job.open_rounds(now, wall_ms);
            }
        }
    }

    fn remove_ended(&mut self, now: Time) {
        let open = &self.open;
        self.contention.retain_jobs(|job| open.contains(job));
        let retention = self.options.ended_retention;
        let forgotten = &mut self.forgotten;
        self.jobs.retain(|id, job| {
            if !job.state.is_final() || job.saved_version < job.version {
                return true;
            }
            let ended = *job.ended_at.get_or_insert(now);
            let is_kept = now.since(ended) < retention;
            if !is_kept {
                forgotten.insert(*id);
            }
            is_kept
        });
    }

    fn saved(&mut self, id: JobId, version: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.saved_version = job.saved_version.max(version);
        self.acks_due = true;
        self.marks_saved(id);
    }

    fn emit_changed(&mut self, out: &mut Vec<Output>) {
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

/// Runs of a job that may still be active, each with its worker.
pub(in crate::jobs) fn active_runs(
    id: JobId,
    job: &Job,
) -> impl Iterator<Item = (RunRef, &NodeName)> {
    let rounds = job.rounds.iter().enumerate();
    let steps = rounds.flat_map(move |(round, open)| {
        let steps = open.steps.iter().enumerate();
        steps.map(move |(step, run)| {
            let at = StepRef {
                job: id,
                round,
                step,
            };
            (at, run)
        })
    });
    steps.flat_map(|(at, run)| {
        let tasks = run.tasks.iter().enumerate();
        tasks.flat_map(move |(index, task)| {
            let task_id = at.task(index);
            let named = move |live: &LiveRun| RunRef {
                task: task_id,
                run: live.run,
            };
            task.runs.iter().map(move |live| (named(live), &live.node))
        })
    })
}
