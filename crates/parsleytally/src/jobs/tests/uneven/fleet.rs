//! A fleet of uneven workers that carries out a scheduler's orders, with a manual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::*;
use crate::configs::{BestEffortConfig, WorkersConfig};
use crate::types::{Revision, Time};

/// Time between two steps of the simulation; ends and measurements wait for the next.
const STEP_MS: u64 = 50;
/// Time between two measurements of a worker.
const MEASUREMENT_MS: u64 = 1_000;
/// Time between two ticks of the scheduler.
const TICK_MS: u64 = 150;

/// A simulated worker.
#[derive(Debug, Clone)]
pub(super) struct SimulatedWorker {
    /// Run time here over that on a usual worker, in percent.
    pub(super) slowness_percent: u64,
    /// Every how many ends of a run are failures; 0 is none.
    pub(super) fails_each: u64,
    /// Whether measurements and ends arrive.
    pub(super) reachable: bool,
    pub(super) born: u64,
    pub(super) cpu: u64,
    pub(super) sequence: u64,
    unreported: Vec<EndedRun>,
}

/// A run on a simulated worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct SimulatedRun {
    pub(super) at: usize,
    pub(super) started_ms: u64,
    pub(super) length_ms: u64,
}

pub(super) struct UnevenFleet {
    pub(super) scheduler: Scheduler,
    pub(super) now_ms: u64,
    pub(super) workers: Vec<SimulatedWorker>,
    pub(super) runs: BTreeMap<RunRef, SimulatedRun>,
    /// Starts in order, each with its worker.
    pub(super) started: Vec<(RunRef, usize)>,
    pub(super) stopped: Vec<RunRef>,
    pub(super) done: BTreeSet<TaskId>,
    /// When each job completed.
    pub(super) completed_ms: BTreeMap<JobId, u64>,
    pub(super) decisions: Vec<WorkersDecision>,
    /// Run time of a task on a usual worker, if not the estimate of its step.
    pub(super) work_ms: fn(RunRef) -> Option<u64>,
    /// Jobs whose tasks may have several runs at once.
    pub(super) speculative: BTreeSet<JobId>,
    /// Tasks that prefer a rack take so many times longer elsewhere, in percent.
    pub(super) remote_percent: u64,
    specs: BTreeMap<JobId, JobRecord>,
    settings: WorkersConfig,
    epoch: u64,
}

impl UnevenFleet {
    pub(super) fn new(settings: WorkersConfig, workers: usize) -> Self {
        let worker = SimulatedWorker {
            slowness_percent: 100,
            fails_each: 0,
            reachable: true,
            born: 7,
            cpu: 4_000,
            sequence: 0,
            unreported: Vec::new(),
        };
        Self {
            scheduler: scheduler(settings, 0),
            now_ms: 100_000,
            workers: vec![worker; workers],
            runs: BTreeMap::new(),
            started: Vec::new(),
            stopped: Vec::new(),
            done: BTreeSet::new(),
            completed_ms: BTreeMap::new(),
            decisions: Vec::new(),
            work_ms: |_| None,
            speculative: BTreeSet::new(),
            remote_percent: u64::from(settings.remote_percent),
            specs: BTreeMap::new(),
            settings,
            epoch: 0,
        }
    }

    /// Links all workers to the owner.
    pub(super) fn join(&mut self) {
        self.feed(Input::Queues(Arc::new(queues(1))));
        for at in 0..self.workers.len() {
            self.link(at);
        }
    }

    /// Links a worker, which reports its state and lists its runs.
    pub(super) fn link(&mut self, at: usize) {
        self.feed(Input::Linked(node(at)));
        self.report(at);
        self.list(at);
    }

    /// Sends the report of a worker.
    pub(super) fn report(&mut self, at: usize) {
        let worker = &self.workers[at];
        let report = WorkerReport {
            capacity: need(worker.cpu, 64_000),
            ..report(at, worker.born)
        };
        self.agent(at, AgentMessage::Report(report));
    }

    /// Lists the runs of a worker.
    pub(super) fn list(&mut self, at: usize) {
        let ended = std::mem::take(&mut self.workers[at].unreported);
        let listed = AgentMessage::Listed {
            incarnation: incarnation(at, self.workers[at].born),
            running: self.statuses(at),
            ended,
        };
        self.agent(at, listed);
    }

    /// Restarts a worker, which loses its runs.
    pub(super) fn restart(&mut self, at: usize) {
        self.workers[at].born += 1;
        self.workers[at].sequence = 0;
        self.runs.retain(|_, run| run.at != at);
        self.report(at);
        self.list(at);
    }

    /// Replaces the owner: a new one reads the jobs, and all workers list their runs.
    pub(super) fn replace_owner(&mut self) {
        self.epoch += 1;
        self.scheduler = scheduler(self.settings, self.epoch);
        self.feed(Input::Queues(Arc::new(queues(1))));
        for (id, record) in self.specs.clone() {
            self.submit_record(id, record);
        }
        for at in 0..self.workers.len() {
            self.feed(Input::Expected(node(at)));
        }
        for at in 0..self.workers.len() {
            self.link(at);
        }
    }

    pub(super) fn submit(&mut self, id: u64, steps: Vec<StepSpec>) {
        let mut record = job(steps);
        record.spec.submitted_ms = self.now_ms;
        if record.spec.steps.iter().any(|step| step.speculative) {
            self.speculative.insert(JobId(id));
        }
        self.specs.insert(JobId(id), record.clone());
        self.submit_record(JobId(id), record);
    }

    fn submit_record(&mut self, id: JobId, record: JobRecord) {
        self.feed(Input::Job {
            id,
            record,
            accepted: Revision(11),
            progress: None,
        });
    }

    /// Runs the simulation for `millis`.
    pub(super) fn advance(&mut self, millis: u64) {
        let until = self.now_ms + millis;
        while self.now_ms < until {
            self.now_ms += STEP_MS;
            for run in self.due() {
                self.end(run);
            }
            for at in 0..self.workers.len() {
                let offset = at as u64 * STEP_MS;
                if (self.now_ms + offset).is_multiple_of(MEASUREMENT_MS) {
                    self.measure(at);
                }
            }
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.feed(Input::Confirmed(self.now()));
                self.feed(Input::Tick);
            }
            self.decide();
        }
    }

    fn due(&self) -> Vec<RunRef> {
        let due = |(_, run): &(&RunRef, &SimulatedRun)| {
            run.started_ms + run.length_ms <= self.now_ms && self.workers[run.at].reachable
        };
        self.runs.iter().filter(due).map(|(run, _)| *run).collect()
    }

    fn end(&mut self, run: RunRef) {
        let at = self.runs[&run].at;
        let worker = &self.workers[at];
        let fails =
            worker.fails_each > 0 && (worker.sequence + 1).is_multiple_of(worker.fails_each);
        let reason = if fails {
            EndReason::Failed
        } else {
            EndReason::Done
        };
        self.end_with(run, reason);
    }

    /// Ends a run and reports it.
    pub(super) fn end_with(&mut self, run: RunRef, reason: EndReason) {
        let Some(SimulatedRun { at, .. }) = self.runs.remove(&run) else {
            return;
        };
        if reason == EndReason::Done {
            self.done.insert(run.task);
        }
        self.workers[at].sequence += 1;
        let ended = EndedRun {
            sequence: self.workers[at].sequence,
            run,
            reason,
            checkpoint: String::new(),
        };
        if !self.workers[at].reachable {
            self.workers[at].unreported.push(ended);
            return;
        }
        let incarnation = incarnation(at, self.workers[at].born);
        let ended = vec![ended];
        self.agent(at, AgentMessage::Ended { incarnation, ended });
    }

    fn measure(&mut self, at: usize) {
        let statuses = self.statuses(at);
        if self.workers[at].reachable && !statuses.is_empty() {
            self.agent(at, AgentMessage::Measurements(statuses));
        }
    }

    fn statuses(&self, at: usize) -> Vec<RunStatus> {
        let own = self.runs.iter().filter(|(_, run)| run.at == at);
        let status = |(run, own): (&RunRef, &SimulatedRun)| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: ((self.now_ms - own.started_ms) * 100 / own.length_ms.max(1)).min(99) as u32,
            measurement: 1_000,
        };
        own.map(status).collect()
    }

    pub(super) fn agent(&mut self, at: usize, message: AgentMessage) {
        self.feed(Input::Agent(node(at), message));
    }

    pub(super) fn now(&self) -> Time {
        Time::from_micros(self.now_ms * 1_000)
    }

    pub(super) fn feed(&mut self, input: Input) {
        let mut out = Vec::new();
        self.scheduler
            .step(self.now(), self.now_ms, input, &mut out);
        self.carry_out(out);
    }

    fn decide(&mut self) {
        let mut out = Vec::new();
        self.scheduler.decide(self.now(), self.now_ms, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Order(at, OrderMessage::Start(order)) => self.start(&at, &order),
                Output::Order(at, OrderMessage::Stop(run)) => self.stop(&at, run),
                Output::Workers(decision) => self.decisions.push(decision),
                Output::Save {
                    job,
                    version,
                    progress,
                } => {
                    if progress.state == JobState::Completed {
                        self.completed_ms.entry(job).or_insert(self.now_ms);
                        self.specs.remove(&job);
                    }
                    self.feed(Input::Saved { job, version });
                }
                _ => {}
            }
        }
    }

    /// Starts a run; a task that is done or runs already must not start again, unless its
    /// step is speculative.
    fn start(&mut self, at: &NodeName, order: &StartOrder) {
        let run = order.run;
        let at: usize = at.as_str()[1..].parse().expect("the number of a worker");
        let running = self.runs.keys().any(|other| other.task == run.task);
        let copies = self.speculative.contains(&run.task.job);
        assert!(!running || copies, "{run:?} starts beside another run");
        assert!(!self.done.contains(&run.task), "{run:?} was done already");
        assert!(!self.runs.contains_key(&run), "{run:?} is started twice");
        self.started.push((run, at));
        let length_ms = self.length_ms(at, run);
        let started_ms = self.now_ms;
        self.runs.insert(
            run,
            SimulatedRun {
                at,
                started_ms,
                length_ms,
            },
        );
    }

    fn length_ms(&self, at: usize, run: RunRef) -> u64 {
        let step = &self.specs[&run.task.job].spec.steps[usize::from(run.task.step)];
        let length_ms = (self.work_ms)(run).unwrap_or(step.estimate_ms);
        let in_rack = |rack: &str| format!("r{}", at / 3) == rack;
        let local = step.preferred_rack.as_deref().is_none_or(in_rack);
        let remote = if local { 100 } else { self.remote_percent };
        length_ms * self.workers[at].slowness_percent / 100 * remote / 100
    }

    fn stop(&mut self, at: &NodeName, run: RunRef) {
        let at: usize = at.as_str()[1..].parse().expect("the number of a worker");
        self.stopped.push(run);
        if self.runs.get(&run).is_some_and(|own| own.at == at) && self.workers[at].reachable {
            self.end_with(run, EndReason::Stopped);
        }
    }

    /// Number of runs that were started on `at`.
    pub(super) fn starts_on(&self, at: usize) -> usize {
        self.started.iter().filter(|(_, on)| *on == at).count()
    }

    /// Standings that the worker got, in order.
    pub(super) fn standings_of(&self, at: usize) -> Vec<WorkerStanding> {
        let standing = |decision: &WorkersDecision| match decision {
            WorkersDecision::Standing {
                node: of, standing, ..
            } if *of == node(at) => Some(*standing),
            _ => None,
        };
        self.decisions.iter().filter_map(standing).collect()
    }
}

fn scheduler(workers: WorkersConfig, epoch: u64) -> Scheduler {
    Scheduler::new(SchedulerOptions {
        epoch,
        start_revision: Revision(10),
        agent_hold: Duration::from_secs(5),
        owner_hold: Duration::from_secs(12),
        ended_retention: Duration::from_secs(600),
        workers,
        best_effort: BestEffortConfig::default(),
        evacuation_limit: None,
    })
}
