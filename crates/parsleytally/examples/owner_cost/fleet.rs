//! Workers with their agents, as the owner sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use parsleytally::configs::{BestEffortConfig, WorkersConfig};
use parsleytally::jobs::{
    AgentMessage, EndReason, EndedRun, Input, JobId, JobState, OrderMessage, Output, RunRef,
    RunStatus, Scheduler, SchedulerOptions, StartOrder, TaskId, WorkerIncarnation, WorkerReport,
    WorkerState,
};
use parsleytally::types::{NodeName, Resources, Revision, Time, ZoneName};

/// Workers in one rack.
const RACK_SIZE: usize = 8;
/// Time between two reports of a worker's measurements.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Duration of short and of best-effort tasks at full CPU share.
const SHORT_TASK: Duration = Duration::from_millis(640);
const BEST_EFFORT_TASK: Duration = Duration::from_millis(2_700);
/// Tail latency of a service task without neighbours, in milliseconds.
const BEST_LATENCY_MS: f64 = 25.0;
/// Utilization of a service task without neighbours.
const BASE_UTILIZATION: f64 = 0.48;
/// Utilization of a service task that leaves almost no headroom.
const BUSY_UTILIZATION: f64 = 0.79;
/// Utilization that each best-effort task adds at full CPU share.
const ADDED_UTILIZATION: f64 = 0.05;

/// A run on a worker.
struct Run {
    target_ms: u64,
    best_effort: bool,
    cpu_share: u32,
    remaining: Duration,
    stopped: bool,
}

struct Worker {
    runs: BTreeMap<RunRef, Run>,
    last_end: u64,
    measured: Duration,
    /// Utilization of its service tasks without neighbours.
    utilization: f64,
}

impl Default for Worker {
    fn default() -> Self {
        Self {
            runs: BTreeMap::new(),
            last_end: 0,
            measured: Duration::ZERO,
            utilization: BASE_UTILIZATION,
        }
    }
}

/// All workers, and the scheduler that owns them.
pub(crate) struct Fleet {
    scheduler: Scheduler,
    now: Time,
    workers: BTreeMap<NodeName, Worker>,
    /// Starts that the agents have not reported yet.
    begun: Vec<Input>,
}

fn name(at: usize) -> NodeName {
    NodeName::new(&format!("worker-{at}")).expect("a valid name")
}

fn incarnation(node: &NodeName) -> WorkerIncarnation {
    WorkerIncarnation {
        id: node.as_str().into(),
        started_ms: 1,
    }
}

impl Fleet {
    /// A fleet whose agents are all linked to the owner.
    pub(crate) fn new(workers: usize) -> Self {
        let mut fleet = Self::unlinked(workers);
        let inputs = (0..workers).flat_map(|at| joining(at, vec![])).collect();
        fleet.decide(inputs);
        fleet
    }

    /// A fleet whose agents the owner does not know yet.
    fn unlinked(workers: usize) -> Self {
        let options = SchedulerOptions {
            epoch: 0,
            start_revision: Revision(0),
            agent_hold: Duration::from_secs(5),
            owner_hold: Duration::from_secs(8),
            ended_retention: Duration::from_secs(240),
            best_effort: BestEffortConfig::default(),
            evacuation_limit: None,
            workers: WorkersConfig::default(),
        };
        let names = (0..workers).map(|at| (name(at), Worker::default()));
        Self {
            scheduler: Scheduler::new(options),
            now: Time::from_secs(1),
            workers: names.collect(),
            begun: Vec::new(),
        }
    }

    /// A fleet under an owner that takes over, with a busy service task of `services` on each
    /// worker; returns the inputs with which the agents join.
    pub(crate) fn taking_over(services: &[JobId]) -> (Self, Vec<Input>) {
        let mut fleet = Self::unlinked(services.len());
        let mut inputs = Vec::new();
        for (at, job) in services.iter().enumerate() {
            let task = TaskId {
                job: *job,
                round: 0,
                step: 0,
                index: 0,
            };
            let run = RunRef { task, run: 1 };
            let worker = fleet.workers.get_mut(&name(at)).expect("a known worker");
            worker.utilization = BUSY_UTILIZATION;
            worker.runs.insert(run, service());
            inputs.push(Input::Expected(name(at)));
        }
        for at in 0..services.len() {
            let running = fleet.workers[&name(at)].measure();
            inputs.extend(joining(at, running));
        }
        (fleet, inputs)
    }

    /// State of a job.
    pub(crate) fn state(&self, job: JobId) -> Option<JobState> {
        self.scheduler.state(job)
    }

    pub(crate) fn now(&self) -> Time {
        self.now
    }

    /// Tasks that no worker had room for.
    pub(crate) fn waiting(&self) -> usize {
        self.scheduler.waiting_tasks()
    }

    /// Lets all runs work for `elapsed`; returns what the agents report.
    pub(crate) fn advance(&mut self, elapsed: Duration) -> Vec<Input> {
        self.now = self.now.after(elapsed);
        let mut inputs = std::mem::take(&mut self.begun);
        for (node, worker) in &mut self.workers {
            let ended = worker.work(elapsed);
            if !ended.is_empty() {
                let incarnation = incarnation(node);
                let message = AgentMessage::Ended { incarnation, ended };
                inputs.push(Input::Agent(node.clone(), message));
            }
            worker.measured += elapsed;
            if worker.measured >= MEASUREMENT_INTERVAL && !worker.runs.is_empty() {
                worker.measured = Duration::ZERO;
                let message = AgentMessage::Measurements(worker.measure());
                inputs.push(Input::Agent(node.clone(), message));
            }
        }
        inputs
    }

    /// Applies the inputs to the scheduler; returns its effects.
    pub(crate) fn decide(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        let mut out = Vec::new();
        let wall_ms = self.now.as_micros() / 1_000;
        for input in inputs {
            self.scheduler.step(self.now, wall_ms, input, &mut out);
        }
        self.scheduler.decide(self.now, wall_ms, &mut out);
        out
    }

    /// Carries out orders and saves; returns the number of starts.
    pub(crate) fn carry_out(&mut self, outputs: &[Output]) -> usize {
        let mut starts = 0;
        let mut out = Vec::new();
        for output in outputs {
            match output {
                Output::Order(node, order) => {
                    let worker = self.workers.get_mut(node).expect("a known worker");
                    if let Some(run) = worker.carry_out(order) {
                        let started = AgentMessage::Started(run);
                        self.begun.push(Input::Agent(node.clone(), started));
                        starts += 1;
                    }
                }
                Output::Save { job, version, .. } => {
                    let (job, version) = (*job, *version);
                    let saved = Input::Saved { job, version };
                    self.scheduler.step(self.now, 0, saved, &mut out);
                }
                Output::Forget(_)
                | Output::SaveLearned(_)
                | Output::RunsDropped { .. }
                | Output::Crash(_)
                | Output::Reconciled(..)
                | Output::Waiting(_)
                | Output::JobEnded(_)
                | Output::Evacuation(_)
                | Output::Preempted { .. }
                | Output::Relink(_)
                | Output::Workers(_) => {}
            }
        }
        starts
    }
}

/// Inputs with which the agent `at` joins.
fn joining(at: usize, running: Vec<RunStatus>) -> [Input; 3] {
    let node = name(at);
    let incarnation = incarnation(&node);
    let rack = format!("rack-{}", at / RACK_SIZE);
    let report = WorkerReport {
        incarnation: incarnation.clone(),
        service: "pool".into(),
        zone: ZoneName::new("zone").expect("a valid name"),
        state: WorkerState::Ready,
        capacity: Resources::new(16_000, 64_000 << 20, 0),
        labels: vec!["kind".into(), rack.as_str().into()],
        rack: Some(rack.into()),
    };
    let listed = AgentMessage::Listed {
        incarnation,
        running,
        ended: Vec::new(),
    };
    [
        Input::Linked(node.clone()),
        Input::Agent(node.clone(), AgentMessage::Report(report)),
        Input::Agent(node, listed),
    ]
}

impl Worker {
    fn work(&mut self, elapsed: Duration) -> Vec<EndedRun> {
        let mut ended = Vec::new();
        for (run, state) in &mut self.runs {
            if state.stopped {
                ended.push((*run, EndReason::Stopped));
                continue;
            }
            if state.target_ms > 0 {
                continue;
            }
            let done = elapsed * state.cpu_share / 100;
            state.remaining = state.remaining.saturating_sub(done);
            if state.remaining.is_zero() {
                ended.push((*run, EndReason::Done));
            }
        }
        let end = |(run, reason): (RunRef, EndReason)| self.end(run, reason);
        ended.into_iter().map(end).collect()
    }

    fn end(&mut self, run: RunRef, reason: EndReason) -> EndedRun {
        self.runs.remove(&run);
        self.last_end += 1;
        EndedRun {
            sequence: self.last_end,
            run,
            reason,
            checkpoint: String::new(),
        }
    }

    fn measure(&self) -> Vec<RunStatus> {
        let best_effort = self.runs.values().filter(|run| run.best_effort);
        let shares = best_effort.map(|run| f64::from(run.cpu_share) / 100.0);
        let utilization = self.utilization + ADDED_UTILIZATION * shares.sum::<f64>();
        let latency = BEST_LATENCY_MS / (1.0 - utilization.min(0.98));
        let status = |(run, state): (&RunRef, &Run)| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: if state.target_ms > 0 { 100 } else { 50 },
            measurement: if state.target_ms > 0 {
                latency as u64
            } else {
                u64::from(state.cpu_share) * 18
            },
        };
        self.runs.iter().map(status).collect()
    }

    /// Carries out an order; returns whether it started a run.
    fn carry_out(&mut self, order: &OrderMessage) -> Option<RunRef> {
        match order {
            OrderMessage::Start(order) => {
                self.runs.insert(order.run, started(order));
                return Some(order.run);
            }
            OrderMessage::Throttle { run, cpu_share } => {
                if let Some(run) = self.runs.get_mut(run) {
                    run.cpu_share = *cpu_share;
                }
            }
            // A stopped run ends with the next batch.
            OrderMessage::Stop(run) => {
                if let Some(run) = self.runs.get_mut(run) {
                    run.stopped = true;
                }
            }
            _ => {}
        }
        None
    }
}

/// A service task that a predecessor has started.
fn service() -> Run {
    Run {
        target_ms: 150,
        best_effort: false,
        cpu_share: 100,
        remaining: Duration::ZERO,
        stopped: false,
    }
}

fn started(order: &StartOrder) -> Run {
    Run {
        target_ms: order.target_ms,
        best_effort: order.best_effort,
        cpu_share: 100,
        stopped: false,
        remaining: if order.best_effort {
            BEST_EFFORT_TASK
        } else {
            SHORT_TASK
        },
    }
}
