//! Tasks that crash the workers that start them, and those that stand beside them.

use std::collections::{BTreeMap, BTreeSet};

use super::scheduler::{Bench, options, starts};
use super::*;
use crate::types::Revision;

/// Most starts of a task after three workers have crashed under it.
const MAX_FURTHER_STARTS: usize = 2;
const WORKERS: usize = 6;
/// Time from the crash of a worker to its next incarnation, in milliseconds.
const RESTART_MS: u64 = 3_000;
/// Time from one measurement of a worker's runs to the next, in milliseconds.
const MEASURED_EVERY_MS: u64 = 500;

/// Who loses its state between a crash and the return of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loses {
    Nobody,
    /// Another owner takes over.
    Owner,
    /// The agent starts anew: only the owner knows of the run.
    Agent,
    /// Another owner takes over after each crash, and each crash report arrives twice.
    OwnerWithRepeats,
}

/// Owners, their store and workers; tasks of deadly jobs crash the workers that start them.
struct Fleet {
    bench: Bench,
    loses: Loses,
    epoch: u64,
    /// Time at which the present owner began, in milliseconds.
    owner_since_ms: u64,
    /// When the runs of each worker were last measured.
    measured_ms: Vec<u64>,
    born: Vec<u64>,
    records: BTreeMap<JobId, JobRecord>,
    progress: BTreeMap<JobId, JobProgress>,
    /// Number of written progress records.
    writes: usize,
    deadly: BTreeSet<TaskId>,
    /// Time from the start of such a task to the crash, in milliseconds.
    deadly_after_ms: u64,
    /// Runs on each worker, with the time of their start.
    runs: Vec<BTreeMap<RunRef, u64>>,
    /// Workers that have crashed, with the time of their return and the runs that they lost.
    down: BTreeMap<usize, (u64, Vec<CrashedRun>)>,
    /// Run time of the other tasks, in milliseconds.
    work_ms: u64,
    ends: u64,
    starts: BTreeMap<TaskId, usize>,
    crashes: BTreeMap<TaskId, usize>,
    /// Number of starts in isolation.
    isolated: usize,
    /// Starts of a task after the third crash under it.
    further_starts: BTreeMap<TaskId, usize>,
}

impl Fleet {
    fn new(loses: Loses) -> Self {
        let mut fleet = Self {
            bench: Bench::with_options(options()),
            loses,
            epoch: 0,
            owner_since_ms: 0,
            measured_ms: vec![0; WORKERS],
            born: vec![7; WORKERS],
            records: BTreeMap::new(),
            progress: BTreeMap::new(),
            writes: 0,
            deadly: BTreeSet::new(),
            deadly_after_ms: 0,
            runs: vec![BTreeMap::new(); WORKERS],
            down: BTreeMap::new(),
            work_ms: 1_000,
            ends: 0,
            starts: BTreeMap::new(),
            crashes: BTreeMap::new(),
            isolated: 0,
            further_starts: BTreeMap::new(),
        };
        for at in 0..WORKERS {
            fleet.bench.join(at, report(at, 7));
        }
        fleet
    }

    /// Time on the clock of the owners, in milliseconds.
    fn now_ms(&self) -> u64 {
        let elapsed = self.bench.now().since(Bench::START);
        self.owner_since_ms + elapsed.as_millis() as u64
    }

    fn submit(&mut self, id: u64, record: JobRecord) {
        self.records.insert(JobId(id), record.clone());
        let accepted = 11 + self.epoch * 1_000;
        let out = self.bench.submit(id, record, accepted);
        self.apply(&out);
    }

    fn apply(&mut self, out: &[Output]) {
        for output in out {
            if let Output::Save {
                job,
                version,
                progress,
            } = output
            {
                self.progress.insert(*job, progress.clone());
                self.writes += 1;
                let (job, version) = (*job, *version);
                let out = self.bench.feed(Input::Saved { job, version });
                self.apply(&out);
            }
        }
        let isolated = |output: &&Output| {
            let Output::Crash(CrashDecision::StartedAgain { isolated, .. }) = output else {
                return false;
            };
            *isolated
        };
        self.isolated += out.iter().filter(isolated).count();
        for (name, run) in starts(out) {
            let at = (0..WORKERS).find(|at| node(*at) == name).expect("a worker");
            if !self.down.contains_key(&at) {
                self.start(at, run);
            }
        }
        for run in super::scheduler::stops(out) {
            for runs in &mut self.runs {
                runs.remove(&run);
            }
        }
    }

    fn start(&mut self, at: usize, run: RunRef) {
        *self.starts.entry(run.task).or_default() += 1;
        if self.crashes.get(&run.task).is_some_and(|count| *count >= 3) {
            *self.further_starts.entry(run.task).or_default() += 1;
        }
        let now = self.now_ms();
        self.runs[at].insert(run, now);
        self.crash_if_due(at);
    }

    fn crash_if_due(&mut self, at: usize) {
        let (now, after) = (self.now_ms(), self.deadly_after_ms);
        let mut runs = self.runs[at].iter();
        if runs.any(|(run, started)| self.deadly.contains(&run.task) && now - started >= after) {
            self.crash(at);
        }
    }

    /// The worker crashes; its agent has seen its runs up to the last measurement.
    fn crash(&mut self, at: usize) {
        let runs = std::mem::take(&mut self.runs[at]);
        let measured = self.measured_ms[at];
        let lost = runs.iter().map(|(run, started)| CrashedRun {
            run: *run,
            seen_ms: Some(measured.saturating_sub(*started)),
        });
        for run in runs.keys() {
            *self.crashes.entry(run.task).or_default() += 1;
        }
        let back = self.now_ms() + RESTART_MS;
        self.down.insert(at, (back, lost.collect()));
        self.bench.agent(at, AgentMessage::Unresponsive(true));
        match self.loses {
            Loses::Nobody => {}
            Loses::Owner | Loses::OwnerWithRepeats => self.change_owner(),
            Loses::Agent => {
                self.bench.feed(Input::Unlinked(node(at)));
            }
        }
    }

    /// The worker that runs `task` crashes, together with `others`.
    fn crash_worker_of(&mut self, task: TaskId, others: &[usize]) {
        let runs_it = |at: &usize| self.runs[*at].keys().any(|run| run.task == task);
        let at = (0..WORKERS).find(runs_it).expect("the task runs");
        assert!(!others.contains(&at), "worker {at}");
        for at in others.iter().copied().chain([at]) {
            self.crash(at);
        }
    }

    /// The worker that runs `task` crashes just after the start of another task.
    fn crash_beside(&mut self, task: TaskId) {
        let runs_it = |at: &usize| self.runs[*at].keys().any(|run| run.task == task);
        let at = (0..WORKERS).find(runs_it).expect("the task runs");
        let other = run(99, 0, 0, 1);
        let now = self.now_ms();
        self.runs[at].insert(other, now);
        self.crash(at);
    }

    fn change_owner(&mut self) {
        self.epoch += 1;
        self.owner_since_ms = self.now_ms();
        self.bench = Bench::with_options(SchedulerOptions {
            epoch: self.epoch,
            start_revision: Revision(10 + self.epoch * 1_000),
            ..options()
        });
        for at in 0..WORKERS {
            self.bench.feed(Input::Expected(node(at)));
        }
        for (id, record) in self.records.clone() {
            let progress = self.progress.get(&id).cloned();
            let out = self.bench.feed(Input::Job {
                id,
                record,
                accepted: Revision(1),
                progress,
            });
            assert!(starts(&out).is_empty(), "no agent has reported");
        }
        for at in 0..WORKERS {
            if !self.down.contains_key(&at) {
                let running: Vec<RunRef> = self.runs[at].keys().copied().collect();
                self.join(at, &running);
            }
        }
    }

    fn join(&mut self, at: usize, running: &[RunRef]) {
        self.bench.feed(Input::Linked(node(at)));
        let out = self
            .bench
            .agent(at, AgentMessage::Report(report(at, self.born[at])));
        self.apply(&out);
        let listed = AgentMessage::Listed {
            incarnation: incarnation(at, self.born[at]),
            running: running.iter().map(|run| status(*run)).collect(),
            ended: vec![],
        };
        let out = self.bench.agent(at, listed);
        self.apply(&out);
    }

    /// The worker is back as another incarnation.
    fn come_back(&mut self, at: usize, lost: &[CrashedRun]) {
        let crashed = incarnation(at, self.born[at]);
        self.born[at] += 1;
        match self.loses {
            Loses::Agent => {
                self.join(at, &[]);
                return;
            }
            Loses::Owner | Loses::OwnerWithRepeats => {
                self.bench.feed(Input::Linked(node(at)));
            }
            Loses::Nobody => {}
        }
        let crash = AgentMessage::Crashed(WorkerCrash {
            incarnation: crashed,
            runs: lost.to_vec(),
        });
        let mut messages = vec![crash.clone()];
        if self.loses == Loses::OwnerWithRepeats {
            messages.push(crash);
        }
        messages.extend(lost.iter().map(|lost| AgentMessage::Missing(lost.run)));
        messages.push(AgentMessage::LeasesExpired);
        messages.push(AgentMessage::Report(report(at, self.born[at])));
        messages.push(AgentMessage::Listed {
            incarnation: incarnation(at, self.born[at]),
            running: vec![],
            ended: vec![],
        });
        for message in messages {
            let out = self.bench.agent(at, message);
            self.apply(&out);
        }
    }

    /// Lets time pass: tasks end, workers come back.
    fn run_for(&mut self, millis: u64) {
        let end = self.now_ms() + millis;
        while self.now_ms() < end {
            let out = self.bench.wait(60);
            self.apply(&out);
            let back: Vec<usize> = {
                let due = self.down.iter().filter(|(_, (at, _))| *at <= self.now_ms());
                due.map(|(at, _)| *at).collect()
            };
            for at in back {
                if let Some((_, lost)) = self.down.remove(&at) {
                    self.come_back(at, &lost);
                }
            }
            for at in 0..WORKERS {
                if !self.down.contains_key(&at) {
                    self.report_runs(at);
                    self.crash_if_due(at);
                }
            }
        }
    }

    /// Measures the runs of a worker, and ends those that are done.
    fn report_runs(&mut self, at: usize) {
        let (now, work) = (self.now_ms(), self.work_ms);
        let runs = self.runs[at].clone();
        let due = |(run, started): (&RunRef, &u64)| {
            let reason = self.end_of(run)?;
            (now - started >= work).then_some((*run, reason))
        };
        let ends: Vec<(RunRef, EndReason)> = runs.iter().filter_map(due).collect();
        for (run, reason) in ends {
            if self.runs[at].remove(&run).is_some() {
                self.end(at, run, reason);
            }
        }
        if now >= self.measured_ms[at] + MEASURED_EVERY_MS && !self.runs[at].is_empty() {
            self.measured_ms[at] = now;
            let running = self.runs[at].keys().map(|run| status(*run)).collect();
            let out = self.bench.agent(at, AgentMessage::Measurements(running));
            self.apply(&out);
        }
    }

    /// How a run ends if it does not crash its worker; none if it lasts. A gang ends with its first member.
    fn end_of(&self, run: &RunRef) -> Option<EndReason> {
        let record = &self.records[&run.task.job];
        let step = &record.spec.steps[usize::from(run.task.step)];
        let is_broken = step.gang && self.deadly.iter().any(|task| task.job == run.task.job);
        let reason = if is_broken {
            EndReason::Broken
        } else {
            EndReason::Done
        };
        (!step.long_running && !self.deadly.contains(&run.task)).then_some(reason)
    }

    fn end(&mut self, at: usize, run: RunRef, reason: EndReason) {
        self.ends += 1;
        let ended = AgentMessage::Ended {
            incarnation: incarnation(at, self.born[at]),
            ended: vec![EndedRun {
                sequence: self.ends,
                run,
                reason,
                checkpoint: String::new(),
            }],
        };
        let out = self.bench.agent(at, ended);
        self.apply(&out);
    }

    /// State that the store has, or the owner while it has none.
    fn state(&self, id: u64) -> Option<JobState> {
        let stored = self.progress.get(&JobId(id)).map(|stored| stored.state);
        let stored = stored.filter(|state| state.is_final());
        stored.or_else(|| self.bench.scheduler.state(JobId(id)))
    }

    fn most_further_starts(&self) -> usize {
        self.further_starts.values().copied().max().unwrap_or(0)
    }
}

fn status(run: RunRef) -> RunStatus {
    RunStatus {
        run,
        checkpoint: String::new(),
        percent: 10,
        measurement: 0,
    }
}

fn task(job: u64, step: u16, index: u32) -> TaskId {
    run(job, step, index, 1).task
}

/// Guards against a task that crashes server after server: it is started again without end,
/// since only ends that a worker lists count as attempts.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    struct Case {
        what: &'static str,
        step: StepSpec,
    }
    let cases = [
        Case {
            what: "a task",
            step: step(3, &[]),
        },
        Case {
            what: "a gang",
            step: StepSpec {
                gang: true,
                ..step(3, &[])
            },
        },
        Case {
            what: "with copies",
            step: StepSpec {
                speculative: true,
                ..step(3, &[])
            },
        },
        Case {
            what: "a task that lasts",
            step: StepSpec {
                long_running: true,
                target_ms: 50,
                ..step(3, &[])
            },
        },
        Case {
            what: "with checkpoints",
            step: StepSpec {
                checkpoints: true,
                ..step(3, &[])
            },
        },
        Case {
            what: "a best-effort task",
            step: StepSpec {
                best_effort: true,
                ..step(3, &[])
            },
        },
        Case {
            what: "one on each worker",
            step: StepSpec {
                max_per_worker: 1,
                ..step(3, &[])
            },
        },
    ];
    for Case { what, step } in cases {
        let mut fleet = Fleet::new(Loses::Nobody);
        fleet.deadly.insert(task(1, 0, 1));
        fleet.submit(1, job(vec![step]));
        fleet.run_for(40_000);
        assert_eq!(fleet.state(1), Some(JobState::Failed), "{what}");
        assert!(fleet.most_further_starts() <= MAX_FURTHER_STARTS, "{what}");
        assert!(fleet.crashes[&task(1, 0, 1)] >= 2, "{what}");
    }
}

/// Guards against a count of crashes that begins anew where the knowledge can be lost: a change
/// of the owner, a restart of the agent, a report that arrives twice.
#[test]
fn crashes_under_a_task_are_counted_across_restarts() {
    for loses in [Loses::Owner, Loses::Agent, Loses::OwnerWithRepeats] {
        let mut fleet = Fleet::new(loses);
        fleet.deadly.insert(task(1, 0, 0));
        fleet.submit(1, job(vec![step(1, &[])]));
        fleet.run_for(90_000);
        assert_eq!(fleet.state(1), Some(JobState::Failed), "{loses:?}");
        assert!(
            fleet.most_further_starts() <= MAX_FURTHER_STARTS,
            "{loses:?}"
        );
    }
}

/// Guards against a task that crashes its workers only some seconds after its start, among others
/// that start all the while.
#[test]
fn a_task_that_crashes_its_workers_late_is_given_up() {
    let mut fleet = Fleet::new(Loses::Nobody);
    fleet.deadly.insert(task(1, 0, 0));
    fleet.deadly_after_ms = 4_000;
    fleet.submit(1, job(vec![step(1, &[])]));
    for id in 2..200 {
        fleet.submit(id, job(vec![step(1, &[])]));
        fleet.run_for(700);
    }
    assert_eq!(fleet.state(1), Some(JobState::Failed));
    for id in 2..200 {
        assert_ne!(fleet.state(id), Some(JobState::Failed), "job {id}");
    }
}

/// Guards against the isolation of all that ran on a worker when it crashes for a reason of its own.
#[test]
fn a_crash_without_young_runs_isolates_no_task() {
    let mut fleet = Fleet::new(Loses::Nobody);
    fleet.work_ms = 20_000;
    fleet.submit(1, job(vec![step(2, &[])]));
    fleet.submit(2, job(vec![step(2, &[])]));
    fleet.run_for(2_000);
    fleet.crash_worker_of(task(1, 0, 0), &[]);
    fleet.run_for(RESTART_MS + 200);
    let running: usize = fleet.runs.iter().map(BTreeMap::len).sum();
    assert_eq!(running, 4, "all run again");
    assert_eq!(fleet.isolated, 0);
}

/// Guards against the blame of a task in isolation for a crash of other cause: several workers go at
/// the same moment, as with a rack.
#[test]
fn a_crash_of_several_workers_at_once_is_not_conclusive() {
    let mut fleet = Fleet::new(Loses::Nobody);
    fleet.submit(1, job(vec![step(1, &[])]));
    fleet.crash_worker_of(task(1, 0, 0), &[]);
    fleet.run_for(RESTART_MS + 300);
    fleet.crash_worker_of(task(1, 0, 0), &[5]);
    fleet.run_for(2 * RESTART_MS);
    assert_eq!(fleet.state(1), Some(JobState::Completed));
}

/// Guards against the blame of a service that is taken along by many crashes, each after a shorter
/// time than before: it was never a suspect.
#[test]
fn a_service_beside_many_poison_tasks_goes_on() {
    let mut fleet = Fleet::new(Loses::Nobody);
    let service = StepSpec {
        long_running: true,
        target_ms: 50,
        ..step(1, &[])
    };
    fleet.submit(1, job(vec![service]));
    for seen_ms in [9_000, 6_000, 3_000, 2_500, 2_000, 1_500, 1_000, 500] {
        fleet.run_for(seen_ms);
        fleet.crash_beside(task(1, 0, 0));
        fleet.run_for(RESTART_MS + 1_500);
    }
    assert_eq!(fleet.state(1), Some(JobState::Running));
}

/// Guards against wrong conclusions from the marks of a task.
#[test]
fn a_task_is_poison_by_the_marks_of_a_suspect() {
    struct Case {
        what: &'static str,
        /// Worker of each crash, time seen, whether suspected, whether alone.
        marks: &'static [(usize, Option<u64>, bool, bool)],
        poison: bool,
    }
    let cases = [
        Case {
            what: "one crash",
            marks: &[(0, Some(0), true, true)],
            poison: false,
        },
        Case {
            what: "two workers, the second alone",
            marks: &[(0, Some(0), true, false), (1, Some(0), true, true)],
            poison: true,
        },
        Case {
            what: "the same worker twice",
            marks: &[(0, Some(0), true, true), (0, Some(0), true, true)],
            poison: false,
        },
        Case {
            what: "two workers, never alone",
            marks: &[(0, Some(0), true, false), (1, Some(0), true, false)],
            poison: false,
        },
        Case {
            what: "three workers, never alone",
            marks: &[
                (0, Some(0), true, false),
                (1, Some(0), true, false),
                (2, Some(0), true, false),
            ],
            poison: true,
        },
        Case {
            what: "two starts without an answer",
            marks: &[(0, None, true, true), (1, None, true, true)],
            poison: false,
        },
        Case {
            what: "four starts without an answer",
            marks: &[
                (0, None, true, true),
                (1, None, true, true),
                (0, None, true, true),
                (1, None, true, true),
            ],
            poison: true,
        },
        Case {
            what: "one seen, two starts without an answer",
            marks: &[
                (0, None, true, false),
                (1, Some(0), true, false),
                (2, None, true, true),
            ],
            poison: false,
        },
        Case {
            what: "beside suspects only",
            marks: &[(1, Some(400), false, false); 8],
            poison: false,
        },
        Case {
            what: "beside suspects, then alone",
            marks: &[
                (0, Some(400), false, false),
                (1, Some(400), false, false),
                (2, Some(400), true, true),
            ],
            poison: true,
        },
    ];
    for case in cases {
        let marks = case.marks.iter().zip(1..);
        let marks: Vec<CrashMark> = marks
            .map(|((at, seen_ms, suspect, sole), run)| CrashMark {
                run,
                node: node(*at),
                seen_ms: *seen_ms,
                suspect: *suspect,
                sole: *sole,
            })
            .collect();
        assert_eq!(
            super::super::crashes::is_poison(&marks),
            case.poison,
            "{}",
            case.what
        );
    }
}

/// Guards against the blame of work that stood beside the poison task: jobs without fault complete,
/// and services go on, though each crash takes them along.
#[test]
fn work_beside_a_task_that_crashes_workers_completes() {
    let mut fleet = Fleet::new(Loses::Nobody);
    let service = StepSpec {
        long_running: true,
        target_ms: 50,
        need: need(250, 100),
        ..step(6, &[])
    };
    fleet.submit(1, job(vec![service]));
    let small = |count| StepSpec {
        need: need(100, 10),
        ..step(count, &[])
    };
    for id in 2..40 {
        fleet.submit(id, job(vec![small(6), small(4)]));
        fleet.run_for(200);
        if id % 8 == 0 {
            fleet.deadly.insert(task(id + 100, 0, 2));
            fleet.submit(id + 100, job(vec![small(6)]));
        }
    }
    fleet.run_for(60_000);
    for id in 2..40 {
        assert_eq!(fleet.state(id), Some(JobState::Completed), "job {id}");
    }
    assert_eq!(fleet.state(1), Some(JobState::Running), "the service");
    let running: usize = fleet.runs.iter().map(BTreeMap::len).sum();
    assert_eq!(running, 6, "tasks of the service");
    for id in (8..40).step_by(8) {
        assert_eq!(fleet.state(id + 100), Some(JobState::Failed), "job {id}");
    }
    assert!(fleet.most_further_starts() <= MAX_FURTHER_STARTS);
}
