//! A backlog beside free room under an owner that has just taken over.
//!
//! The workers run what they are ordered at the CPU shares that they are sent. All times are
//! on the clock of the owner, from the listing of the last agent.

use std::collections::{BTreeMap, BTreeSet};

use super::scheduler::options;
use super::*;
use crate::configs::BestEffortConfig;
use crate::types::{Revision, Time};

/// Time within which a job that could run has something running, by the platform's page.
const START_BOUND_MS: u64 = 3_000;
/// Time that is played from the listing of the last agent.
const PLAYED_MS: u64 = 15_000;
/// Time between two batches of inputs of the owner.
const BATCH_MS: u64 = 50;
/// Time between two ticks of the owner.
const TICK_MS: u64 = 150;
/// Time between two measurements of a worker.
const MEASURED_MS: u64 = 500;
/// Duration of a task at full CPU share.
const TASK_MS: u64 = 2_000;
/// Target of the tail latency of services, in milliseconds.
const TARGET_MS: u64 = 150;
/// Tail latency of a service that leaves almost no headroom, in milliseconds.
const BUSY_MS: u64 = 118;
/// Tail latency of a service that leaves much headroom, in milliseconds.
const QUIET_MS: u64 = 30;
/// Id of the first job with a service.
const FIRST_SERVICE: u64 = 10_000;
/// Share of the capacity from which on work may wait, in percent.
const USED_PERCENT: u64 = 50;
/// Processors of a worker, in thousandths.
const WORKER_CPU: u64 = 4_000;
/// Memory of a worker, in megabytes.
const WORKER_MEM_MB: u64 = 8_000;

/// A fleet and the backlog that a new owner finds.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    workers: usize,
    jobs: u64,
    /// Tail latency of the service on each worker, in milliseconds; none without services.
    latency_ms: Option<u64>,
    /// Images of services and of best-effort tasks.
    images: u64,
    /// Each such job is no best-effort job; 0 is none.
    batch_every: u64,
    /// Jobs with a run on a worker that the owner adopts.
    adopted: u64,
    /// First jobs that need a label that no worker has.
    unplaceable: u64,
}

const BASE: Case = Case {
    name: "no services",
    workers: 59,
    jobs: 900,
    latency_ms: None,
    images: 1,
    batch_every: 0,
    adopted: 0,
    unplaceable: 0,
};

/// A run on a worker.
struct LiveRun {
    need: Resources,
    best_effort: bool,
    service: bool,
    /// CPU share, in percent.
    share: u32,
    /// Work that is left, in milliseconds at full CPU share, times 100.
    left: u64,
}

/// Workers and the owner that has taken them over.
struct Fleet {
    case: Case,
    scheduler: Scheduler,
    now_ms: u64,
    workers: Vec<BTreeMap<RunRef, LiveRun>>,
    indices: BTreeMap<NodeName, usize>,
    last_ends: Vec<u64>,
    /// Orders and saves to carry out.
    out: Vec<Output>,
    done: BTreeSet<TaskId>,
}

/// Longest waits while less than half of the capacity was in use, in milliseconds.
#[derive(Debug, Default)]
struct Longest {
    /// Of a job with nothing running.
    idle_job: u64,
    /// Of batch tasks for which a worker had room.
    batch_room: u64,
}

fn service_step(case: &Case, at: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        target_ms: TARGET_MS,
        image: Some(format!("service-{}", at % case.images).into()),
        ..step(1, &[])
    }
}

fn is_batch(case: &Case, id: u64) -> bool {
    case.batch_every > 0 && id.is_multiple_of(case.batch_every)
}

fn backlog_step(case: &Case, id: u64) -> StepSpec {
    let label = (id < case.unplaceable).then(|| "other".into());
    if is_batch(case, id) {
        return StepSpec {
            need: need(1_000, 200),
            required_label: label,
            ..step(2, &[])
        };
    }
    StepSpec {
        best_effort: true,
        need: need(2_250, 200),
        image: Some(format!("rebuild-{}", id % case.images).into()),
        required_label: label,
        ..step(3, &[])
    }
}

fn status(run: RunRef, percent: u32, measurement: u64) -> RunStatus {
    RunStatus {
        run,
        checkpoint: String::new(),
        percent,
        measurement,
    }
}

impl LiveRun {
    fn new(step: &StepSpec) -> Self {
        Self {
            need: step.need,
            best_effort: step.best_effort,
            service: step.long_running,
            share: 100,
            left: TASK_MS * 100,
        }
    }

    fn status(&self, run: RunRef, latency_ms: u64) -> RunStatus {
        if self.service {
            return status(run, 100, latency_ms);
        }
        let percent = 100 - self.left / TASK_MS;
        let used = self.need.cpu.0 * u64::from(self.share) / 100;
        status(run, u32::try_from(percent).expect("a percentage"), used)
    }

    /// Processors in use, in thousandths.
    fn used_cpu(&self) -> u64 {
        self.need.cpu.0 * u64::from(self.share) / 100
    }
}

impl Fleet {
    /// An owner that knows the jobs, expects all agents and has heard none.
    fn new(case: Case) -> Self {
        let scheduler = Scheduler::new(SchedulerOptions {
            best_effort: BestEffortConfig {
                cpu_limit: Some(130),
                ..BestEffortConfig::default()
            },
            ..options()
        });
        let mut fleet = Self {
            case,
            scheduler,
            now_ms: 100_000,
            workers: (0..case.workers).map(|_| BTreeMap::new()).collect(),
            indices: (0..case.workers).map(|at| (node(at), at)).collect(),
            last_ends: vec![0; case.workers],
            out: Vec::new(),
            done: BTreeSet::new(),
        };
        let mut inputs = vec![Input::Queues(Arc::new(queues(1)))];
        inputs.extend((0..case.workers).map(|at| Input::Expected(node(at))));
        for at in 0..case.workers as u64 {
            if case.latency_ms.is_some() {
                inputs.push(accepted(FIRST_SERVICE + at, service_step(&case, at)));
            }
        }
        inputs.extend((0..case.jobs).map(|id| accepted(id, backlog_step(&case, id))));
        fleet.place_adopted();
        fleet.batch(inputs);
        fleet
    }

    /// Places the runs of the predecessor.
    fn place_adopted(&mut self) {
        let case = self.case;
        for at in 0..case.workers {
            if case.latency_ms.is_some() {
                let id = FIRST_SERVICE + at as u64;
                let live = LiveRun::new(&service_step(&case, at as u64));
                self.workers[at].insert(run(id, 0, 0, 1), live);
            }
        }
        for id in case.unplaceable..case.unplaceable + case.adopted {
            let at = id as usize % case.workers;
            let live = LiveRun::new(&backlog_step(&case, id));
            self.workers[at].insert(run(id, 0, 0, 1), live);
        }
    }

    /// Links all agents, which report and list their runs.
    fn link_all(&mut self) {
        for at in 0..self.case.workers {
            let running = self.statuses(at);
            let listed = AgentMessage::Listed {
                incarnation: incarnation(at, 7),
                running,
                ended: vec![],
            };
            let inputs = vec![
                Input::Linked(node(at)),
                Input::Agent(node(at), AgentMessage::Report(report(at, 7))),
                Input::Agent(node(at), listed),
            ];
            self.batch(inputs);
        }
    }

    fn statuses(&self, at: usize) -> Vec<RunStatus> {
        let latency_ms = self.case.latency_ms.unwrap_or(0);
        let runs = self.workers[at].iter();
        runs.map(|(run, live)| live.status(*run, latency_ms))
            .collect()
    }

    /// Gives the owner inputs that arrive together, and carries out what it requests.
    fn batch(&mut self, inputs: Vec<Input>) {
        let now = Time::from_millis(self.now_ms);
        let mut out = Vec::new();
        for input in inputs {
            self.scheduler.step(now, self.now_ms, input, &mut out);
        }
        self.scheduler.decide(now, self.now_ms, &mut out);
        self.out.extend(out);
    }

    /// Lets the workers run for one batch, and the owner decide.
    fn advance(&mut self) {
        let mut inputs = self.carry_out();
        self.now_ms += BATCH_MS;
        for at in 0..self.case.workers {
            inputs.extend(self.work(at));
        }
        if self.now_ms.is_multiple_of(MEASURED_MS) {
            let measured = |at| AgentMessage::Measurements(self.statuses(at));
            inputs.extend((0..self.case.workers).map(|at| Input::Agent(node(at), measured(at))));
        }
        if self.now_ms.is_multiple_of(TICK_MS) {
            inputs.push(Input::Confirmed(Time::from_millis(self.now_ms)));
            inputs.push(Input::Tick);
        }
        self.batch(inputs);
    }

    /// Carries out orders; returns the answers of the store and of the agents.
    fn carry_out(&mut self) -> Vec<Input> {
        let mut answers = Vec::new();
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Save { job, version, .. } => answers.push(Input::Saved { job, version }),
                Output::Order(to, OrderMessage::Start(order)) => {
                    let at = self.index(&to);
                    let live = LiveRun::new(&backlog_step(&self.case, order.run.task.job.0));
                    self.workers[at].insert(order.run, live);
                }
                Output::Order(to, OrderMessage::Throttle { run, cpu_share }) => {
                    let at = self.index(&to);
                    if let Some(live) = self.workers[at].get_mut(&run) {
                        live.share = cpu_share;
                    }
                }
                Output::Order(to, OrderMessage::Stop(run)) => {
                    let at = self.index(&to);
                    if self.workers[at].remove(&run).is_some() {
                        answers.push(self.ended(at, run, EndReason::Stopped));
                    }
                }
                _ => {}
            }
        }
        answers
    }

    fn index(&self, name: &NodeName) -> usize {
        self.indices[name]
    }

    /// Lets the runs of a worker work for one batch; returns those that end.
    fn work(&mut self, at: usize) -> Vec<Input> {
        let mut done = Vec::new();
        for (run, live) in &mut self.workers[at] {
            if live.service {
                continue;
            }
            live.left = live.left.saturating_sub(BATCH_MS * u64::from(live.share));
            if live.left == 0 {
                done.push(*run);
            }
        }
        let mut inputs = Vec::new();
        for run in done {
            self.workers[at].remove(&run);
            self.done.insert(run.task);
            inputs.push(self.ended(at, run, EndReason::Done));
        }
        inputs
    }

    fn ended(&mut self, at: usize, run: RunRef, reason: EndReason) -> Input {
        self.last_ends[at] += 1;
        let ended = EndedRun {
            sequence: self.last_ends[at],
            run,
            reason,
            checkpoint: String::new(),
        };
        let message = AgentMessage::Ended {
            incarnation: incarnation(at, 7),
            ended: vec![ended],
        };
        Input::Agent(node(at), message)
    }

    /// Share of the capacity in use, of processors or of memory, in percent.
    fn used_percent(&self) -> u64 {
        let runs = || self.workers.iter().flat_map(BTreeMap::values);
        let cpu: u64 = runs().map(LiveRun::used_cpu).sum();
        let mem: u64 = runs().map(|live| live.need.memory.0).sum();
        let workers = self.case.workers as u64;
        let cpu_percent = cpu * 100 / (workers * WORKER_CPU);
        let mem_percent = mem * 100 / (workers * WORKER_MEM_MB * MEGABYTE);
        cpu_percent.max(mem_percent)
    }

    /// Jobs that could run and have nothing running.
    fn idle_jobs(&self) -> Vec<u64> {
        let runs = self.workers.iter().flat_map(BTreeMap::keys);
        let running: BTreeSet<u64> = runs.map(|run| run.task.job.0).collect();
        let jobs = self.case.unplaceable..self.case.jobs;
        let idle = jobs.filter(|id| !running.contains(id));
        idle.filter(|id| !self.is_done(*id)).collect()
    }

    fn is_done(&self, id: u64) -> bool {
        let count = backlog_step(&self.case, id).count;
        (0..count).all(|index| self.done.contains(&run(id, 0, index, 1).task))
    }

    /// Whether a batch task waits, and a worker has room for it.
    fn batch_waits_beside_room(&self) -> bool {
        let jobs = self.case.unplaceable..self.case.jobs;
        let mut batch = jobs.filter(|id| is_batch(&self.case, *id));
        batch.any(|id| self.has_waiting_task(id)) && self.has_batch_room()
    }

    fn has_waiting_task(&self, id: u64) -> bool {
        let runs = || self.workers.iter().flat_map(BTreeMap::keys);
        let running: BTreeSet<TaskId> = runs().map(|run| run.task).collect();
        let count = backlog_step(&self.case, id).count;
        let mut tasks = (0..count).map(|index| run(id, 0, index, 1).task);
        tasks.any(|task| !running.contains(&task) && !self.done.contains(&task))
    }

    fn has_batch_room(&self) -> bool {
        self.workers.iter().any(|runs| {
            let reserved = runs.values().filter(|live| !live.best_effort);
            let cpu: u64 = reserved.map(|live| live.need.cpu.0).sum();
            let mem: u64 = runs.values().map(|live| live.need.memory.0).sum();
            let free_mem = (WORKER_MEM_MB * MEGABYTE).saturating_sub(mem);
            cpu + 1_000 <= WORKER_CPU && 200 * MEGABYTE <= free_mem
        })
    }

    /// Plays the time after the listing of the last agent.
    fn play(&mut self) -> Longest {
        let mut longest = Longest::default();
        let mut idle_since = BTreeMap::new();
        let mut room_since = None;
        let end = self.now_ms + PLAYED_MS;
        let listed = self.now_ms;
        while self.now_ms < end {
            self.advance();
            // Orders of this batch are carried out with the next one.
            let answers = self.carry_out();
            self.batch(answers);
            let is_used = self.used_percent() >= USED_PERCENT;
            let idle = if is_used { vec![] } else { self.idle_jobs() };
            idle_since.retain(|id, _| idle.contains(id));
            for id in idle {
                let since = *idle_since.entry(id).or_insert(self.now_ms);
                let since = if since == listed + BATCH_MS {
                    listed
                } else {
                    since
                };
                longest.idle_job = longest.idle_job.max(self.now_ms - since);
            }
            if !self.batch_waits_beside_room() {
                room_since = None;
                continue;
            }
            let since = *room_since.get_or_insert(self.now_ms);
            longest.batch_room = longest.batch_room.max(self.now_ms - since);
        }
        longest
    }
}

fn accepted(id: u64, step: StepSpec) -> Input {
    Input::Job {
        id: JobId(id),
        record: job(vec![step]),
        accepted: Revision(5),
        progress: None,
    }
}

/// Guards against an owner that leaves most of the room free beside a backlog after it took over.
#[test]
fn a_new_owner_uses_the_room_beside_a_backlog_within_the_bound() {
    let busy = Case {
        name: "services near their targets on all workers",
        latency_ms: Some(BUSY_MS),
        ..BASE
    };
    let unknown = Case {
        name: "unknown pairs of images",
        latency_ms: Some(QUIET_MS),
        images: 60,
        ..BASE
    };
    let cases = [
        BASE,
        busy,
        unknown,
        Case {
            name: "unknown pairs beside services near their targets",
            latency_ms: Some(BUSY_MS),
            ..unknown
        },
        Case {
            name: "batch jobs beside best-effort jobs",
            batch_every: 3,
            ..busy
        },
        Case {
            name: "a small backlog, no services",
            jobs: 90,
            ..BASE
        },
        Case {
            name: "a small backlog, services near their targets",
            jobs: 90,
            ..busy
        },
        Case {
            name: "a small backlog, unknown pairs",
            jobs: 90,
            ..unknown
        },
        Case {
            name: "a change of owner with adopted runs",
            adopted: 100,
            batch_every: 3,
            ..busy
        },
        Case {
            name: "a small backlog with adopted runs",
            jobs: 90,
            adopted: 10,
            ..busy
        },
        Case {
            name: "a change of owner with adopted runs, unknown pairs",
            adopted: 100,
            ..unknown
        },
        Case {
            name: "300 workers, 400 more urgent jobs that no worker can take",
            workers: 300,
            unplaceable: 400,
            ..busy
        },
        Case {
            name: "2,000 jobs beside 1,000 workers",
            workers: 1_000,
            jobs: 2_000,
            ..busy
        },
        Case {
            name: "3,000 workers, 600 more urgent jobs that no worker can take",
            workers: 3_000,
            unplaceable: 600,
            ..busy
        },
    ];
    let mut late = Vec::new();
    for case in cases {
        let mut fleet = Fleet::new(case);
        fleet.link_all();
        let longest = fleet.play();
        println!(
            "{}: {longest:?}, {} tasks done",
            case.name,
            fleet.done.len()
        );
        if longest.idle_job.max(longest.batch_room) > START_BOUND_MS {
            late.push((case.name, longest));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}
