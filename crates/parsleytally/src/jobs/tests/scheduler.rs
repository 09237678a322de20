//! Tests of single decisions of the scheduler.

use std::time::Duration;

use super::*;
use crate::configs::{BestEffortConfig, WorkersConfig};
use crate::types::{Revision, Time};

/// A scheduler whose ownership began at revision 10, with a manual clock.
pub(super) struct Bench {
    pub(super) scheduler: Scheduler,
    pub(super) now: Time,
    wall_ms: u64,
}

/// Options of an ownership that began at revision 10.
pub(super) fn options() -> SchedulerOptions {
    SchedulerOptions {
        epoch: 0,
        start_revision: Revision(10),
        agent_hold: Duration::from_secs(5),
        owner_hold: Duration::from_secs(12),
        ended_retention: Duration::from_secs(60),
        best_effort: BestEffortConfig::default(),
        evacuation_limit: None,
        workers: WorkersConfig::default(),
    }
}

impl Bench {
    /// Time at which the clock starts.
    pub(super) const START: Time = Time::from_secs(100);

    pub(super) fn new() -> Self {
        Self::with_options(options())
    }

    /// A scheduler with an age limit of reads of the evacuation requests.
    pub(super) fn with_limit(evacuation_limit: Option<Duration>) -> Self {
        Self::with_options(SchedulerOptions {
            evacuation_limit,
            ..options()
        })
    }

    pub(super) fn with_options(options: SchedulerOptions) -> Self {
        let mut bench = Self {
            scheduler: Scheduler::new(options),
            now: Self::START,
            wall_ms: 0,
        };
        bench.feed(Input::Queues(Arc::new(queues(1))));
        bench
    }

    pub(super) fn with_workers(count: usize) -> Self {
        let mut bench = Self::new();
        for at in 0..count {
            bench.join(at, report(at, 7));
        }
        bench
    }

    pub(super) fn feed(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.scheduler.step(self.now, self.wall_ms, input, &mut out);
        self.now = self.now.after(Duration::from_millis(20));
        self.wall_ms += 20;
        self.scheduler.decide(self.now, self.wall_ms, &mut out);
        out
    }

    /// The workers begin what was ordered; takes no time.
    pub(super) fn begin(&mut self, ordered: &[Output]) {
        for (node, run) in starts(ordered) {
            let started = Input::Agent(node, AgentMessage::Started(run));
            let mut out = Vec::new();
            self.scheduler
                .step(self.now, self.wall_ms, started, &mut out);
            assert_eq!(out, []);
        }
    }

    pub(super) fn wait(&mut self, millis: u64) -> Vec<Output> {
        self.now = self.now.after(Duration::from_millis(millis));
        self.wall_ms += millis;
        self.feed(Input::Confirmed(self.now));
        self.feed(Input::Tick)
    }

    pub(super) fn now(&self) -> Time {
        self.now
    }

    pub(super) fn forecast(&mut self, uncertain: bool) -> Forecast {
        self.scheduler.forecast(self.now, self.wall_ms, uncertain)
    }

    pub(super) fn join(&mut self, at: usize, report: WorkerReport) -> Vec<Output> {
        let incarnation = report.incarnation.clone();
        self.feed(Input::Linked(node(at)));
        self.agent(at, AgentMessage::Report(report));
        self.agent(
            at,
            AgentMessage::Listed {
                incarnation,
                running: vec![],
                ended: vec![],
            },
        )
    }

    pub(super) fn agent(&mut self, at: usize, message: AgentMessage) -> Vec<Output> {
        self.feed(Input::Agent(node(at), message))
    }

    /// Lists the runs in progress on worker `at`.
    pub(super) fn list(&mut self, at: usize, running: Vec<RunRef>) -> Vec<Output> {
        let status = |run| RunStatus {
            run,
            checkpoint: String::new(),
            percent: 10,
            measurement: 0,
        };
        let listed = AgentMessage::Listed {
            incarnation: incarnation(at, 7),
            running: running.into_iter().map(status).collect(),
            ended: vec![],
        };
        self.agent(at, listed)
    }

    pub(super) fn submit(&mut self, id: u64, record: JobRecord, accepted: u64) -> Vec<Output> {
        self.feed(Input::Job {
            id: JobId(id),
            record,
            accepted: Revision(accepted),
            progress: None,
        })
    }

    pub(super) fn end(
        &mut self,
        at: usize,
        number: u64,
        run: RunRef,
        how: EndReason,
    ) -> Vec<Output> {
        let end = EndedRun {
            sequence: number,
            run,
            reason: how,
            checkpoint: String::new(),
        };
        let incarnation = incarnation(at, 7);
        self.agent(
            at,
            AgentMessage::Ended {
                incarnation,
                ended: vec![end],
            },
        )
    }
}

pub(super) fn starts(out: &[Output]) -> Vec<(NodeName, RunRef)> {
    let start = |output: &Output| match output {
        Output::Order(node, OrderMessage::Start(order)) => Some((node.clone(), order.run)),
        _ => None,
    };
    out.iter().filter_map(start).collect()
}

pub(super) fn stops(out: &[Output]) -> Vec<RunRef> {
    let stop = |output: &Output| match output {
        Output::Order(_, OrderMessage::Stop(run)) => Some(*run),
        _ => None,
    };
    out.iter().filter_map(stop).collect()
}

fn acknowledged(out: &[Output]) -> Option<u64> {
    out.iter().find_map(|output| match output {
        Output::Order(
            _,
            OrderMessage::AcknowledgeEnds {
                sequence: number, ..
            },
        ) => Some(*number),
        _ => None,
    })
}

fn saves(out: &[Output]) -> Vec<(JobId, u64, JobState)> {
    let save = |output: &Output| match output {
        Output::Save {
            job,
            version,
            progress,
        } => Some((*job, *version, progress.state)),
        _ => None,
    };
    out.iter().filter_map(save).collect()
}

#[test]
fn a_worker_gets_no_more_tasks_than_its_capacity() {
    let mut bench = Bench::with_workers(2);
    let out = bench.submit(1, job(vec![step(20, &[])]), 11);
    assert_eq!(starts(&out).len(), 8, "two workers of four processors");
    let first = starts(&out)[0].clone();
    let at = usize::from(first.0 == node(1));
    let out = bench.end(at, 1, first.1, EndReason::Done);
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn a_step_waits_for_all_tasks_of_its_dependencies() {
    let mut bench = Bench::with_workers(1);
    let out = bench.submit(1, job(vec![step(2, &[]), step(1, &[0])]), 11);
    assert_eq!(starts(&out).len(), 2);
    assert_eq!(
        starts(&bench.end(0, 1, run(1, 0, 0, 1), EndReason::Done)),
        []
    );
    let out = bench.end(0, 2, run(1, 0, 1, 1), EndReason::Done);
    assert_eq!(starts(&out), [(node(0), run(1, 1, 0, 1))]);
}

/// Guards against lost ended runs: a worker forgets them once acknowledged, so a task whose
/// end never reached the store would run again.
#[test]
fn an_ended_run_is_acknowledged_only_after_the_store_has_it() {
    let mut bench = Bench::with_workers(1);
    bench.submit(1, job(vec![step(1, &[])]), 11);
    let out = bench.end(0, 1, run(1, 0, 0, 1), EndReason::Done);
    assert_eq!(acknowledged(&out), None);
    let saved = saves(&out);
    assert_eq!(saved, [(JobId(1), 1, JobState::Completed)]);
    assert_eq!(bench.scheduler.state(JobId(1)), Some(JobState::Running));
    let out = bench.feed(Input::Saved {
        job: JobId(1),
        version: 1,
    });
    assert_eq!(acknowledged(&out), Some(1));
    assert_eq!(bench.scheduler.state(JobId(1)), Some(JobState::Completed));
}

#[test]
fn a_job_fails_with_its_last_attempt_and_repeated_reports_count_once() {
    let mut bench = Bench::with_workers(2);
    bench.submit(1, job(vec![step(1, &[])]), 11);
    let fail = |bench: &mut Bench, number, run_number| {
        let mut out = Vec::new();
        for at in 0..2 {
            out.extend(bench.end(at, number, run(1, 0, 0, run_number), EndReason::Failed));
        }
        out
    };
    let out = fail(&mut bench, 1, 1);
    assert_eq!(starts(&out).len(), 1, "the second attempt");
    assert_eq!(bench.scheduler.state(JobId(1)), Some(JobState::Running));
    fail(&mut bench, 2, 2);
    bench.feed(Input::Saved {
        job: JobId(1),
        version: 9,
    });
    assert_eq!(bench.scheduler.state(JobId(1)), Some(JobState::Failed));
}

/// The predecessor may have started a task on an agent that has not reported.
#[test]
fn older_jobs_wait_for_agents_that_have_not_reported() {
    struct Case {
        what: &'static str,
        accepted: u64,
        reported: bool,
        waited_ms: u64,
        starts: usize,
    }
    let cases = [
        Case {
            what: "a newer job",
            accepted: 11,
            reported: false,
            waited_ms: 0,
            starts: 1,
        },
        Case {
            what: "an older job",
            accepted: 9,
            reported: false,
            waited_ms: 0,
            starts: 0,
        },
        Case {
            what: "an older job, all agents reported",
            accepted: 9,
            reported: true,
            waited_ms: 0,
            starts: 1,
        },
        Case {
            what: "an older job, just before the leases expire",
            accepted: 9,
            reported: false,
            waited_ms: 11_000,
            starts: 0,
        },
        Case {
            what: "an older job, leases expired",
            accepted: 9,
            reported: false,
            waited_ms: 12_100,
            starts: 1,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.feed(Input::Expected(node(1)));
        bench.join(0, report(0, 7));
        if case.reported {
            bench.join(1, report(1, 7));
        }
        let mut out = bench.submit(1, job(vec![step(1, &[])]), case.accepted);
        out.extend(bench.wait(case.waited_ms));
        assert_eq!(starts(&out).len(), case.starts, "{}", case.what);
    }
}

#[test]
fn a_successor_adopts_listed_runs_and_stops_those_of_cancelled_jobs() {
    let mut bench = Bench::new();
    bench.submit(1, job(vec![step(1, &[])]), 9);
    let mut cancelled = job(vec![step(1, &[])]);
    cancelled.cancelled = true;
    bench.submit(2, cancelled, 9);
    bench.feed(Input::Linked(node(0)));
    bench.agent(0, AgentMessage::Report(report(0, 7)));
    let running = |run| RunStatus {
        run,
        checkpoint: "c".to_owned(),
        percent: 5,
        measurement: 0,
    };
    let out = bench.agent(
        0,
        AgentMessage::Listed {
            incarnation: incarnation(0, 7),
            running: vec![running(run(1, 0, 0, 3)), running(run(2, 0, 0, 1))],
            ended: vec![],
        },
    );
    assert_eq!(stops(&out), [run(2, 0, 0, 1)]);
    assert_eq!(starts(&out), [], "task 1 runs already");
    let out = bench.end(0, 1, run(1, 0, 0, 3), EndReason::Stopped);
    assert_eq!(
        starts(&out),
        [(node(0), run(1, 0, 0, 4))],
        "run numbers increase"
    );
}

/// Guards against an owner that stops all runs of its predecessor because it has not read
/// the queues yet.
#[test]
fn an_owner_without_queues_keeps_listed_runs() {
    let mut bench = Bench::new();
    bench.scheduler = Scheduler::new(SchedulerOptions {
        epoch: 1,
        ..options()
    });
    bench.submit(1, job(vec![step(4, &[])]), 9);
    bench.feed(Input::Linked(node(0)));
    bench.agent(0, AgentMessage::Report(report(0, 7)));
    let running = (0..4).map(|index| RunStatus {
        run: run(1, 0, index, 1),
        checkpoint: String::new(),
        percent: 5,
        measurement: 0,
    });
    let listed = AgentMessage::Listed {
        incarnation: incarnation(0, 7),
        running: running.collect(),
        ended: vec![],
    };
    assert_eq!(stops(&bench.agent(0, listed)), []);
    let out = bench.feed(Input::Queues(Arc::new(queues(1))));
    assert_eq!(starts(&out), [], "the worker is full");
}

#[test]
fn a_late_report_of_an_earlier_incarnation_releases_no_run() {
    let mut bench = Bench::with_workers(1);
    bench.submit(1, job(vec![step(1, &[])]), 11);
    bench.agent(0, AgentMessage::Report(report(0, 6)));
    let listed = AgentMessage::Listed {
        incarnation: incarnation(0, 6),
        running: vec![],
        ended: vec![],
    };
    assert_eq!(starts(&bench.agent(0, listed)), []);
}

#[test]
fn a_cancelled_job_stops_its_runs_and_starts_no_more() {
    let mut bench = Bench::with_workers(1);
    let record = job(vec![step(6, &[])]);
    assert_eq!(starts(&bench.submit(1, record.clone(), 11)).len(), 4);
    let cancelled = JobRecord {
        cancelled: true,
        ..record
    };
    let out = bench.submit(1, cancelled, 11);
    assert_eq!(stops(&out).len(), 4);
    let out = bench.end(0, 1, run(1, 0, 0, 1), EndReason::Stopped);
    assert_eq!(starts(&out), []);
    assert_eq!(bench.scheduler.state(JobId(1)), Some(JobState::Cancelled));
}

/// Guards against a new start order every 10 ms to a worker that refuses each, which floods
/// the logs and links.
/// Guards against tasks of cancelled jobs that run on: an order to stop is lost together
/// with the link on which it was sent.
#[test]
fn a_stop_that_was_lost_with_its_link_is_repeated() {
    struct Case {
        what: &'static str,
        /// Orders the stop of the only run, on worker 0.
        stop: fn(&mut Bench) -> Vec<Output>,
        /// Whether the link is lost before the order.
        unlinked: bool,
    }
    let cancel = |bench: &mut Bench| {
        let cancelled = JobRecord {
            cancelled: true,
            ..job(vec![step(1, &[])])
        };
        bench.submit(1, cancelled, 11)
    };
    let evacuate = |bench: &mut Bench| {
        let mut report = report(0, 7);
        report.state = WorkerState::Draining { remaining_ms: 10 };
        bench.agent(0, AgentMessage::Report(report))
    };
    let cases = [
        Case {
            what: "the job is cancelled while the agent is not linked",
            stop: cancel,
            unlinked: true,
        },
        Case {
            what: "the job is cancelled just before the link is lost",
            stop: cancel,
            unlinked: false,
        },
        Case {
            what: "the worker is evacuated just before the link is lost",
            stop: evacuate,
            unlinked: false,
        },
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        bench.submit(1, job(vec![step(1, &[])]), 11);
        if case.unlinked {
            bench.feed(Input::Unlinked(node(0)));
        }
        let out = (case.stop)(&mut bench);
        assert_eq!(stops(&out), [run(1, 0, 0, 1)], "{}", case.what);
        bench.feed(Input::Unlinked(node(0)));
        bench.feed(Input::Linked(node(0)));
        let out = bench.list(0, vec![run(1, 0, 0, 1)]);
        assert_eq!(stops(&out), [run(1, 0, 0, 1)], "{}", case.what);
    }
}

/// Guards against workers that stay unused: an acknowledgement was lost with its link, and the
/// worker lists so many ended runs that the agent waits for it before it lists the running ones.
#[test]
fn an_acknowledgement_that_was_lost_with_its_link_is_repeated() {
    let mut bench = Bench::with_workers(1);
    bench.submit(1, job(vec![step(1, &[])]), 11);
    let order = run(1, 0, 0, 1);
    bench.end(0, 1, order, EndReason::Done);
    let saved = Input::Saved {
        job: JobId(1),
        version: 1,
    };
    assert_eq!(acknowledged(&bench.feed(saved)), Some(1));
    bench.feed(Input::Unlinked(node(0)));
    bench.feed(Input::Linked(node(0)));
    let out = bench.end(0, 1, order, EndReason::Done);
    assert_eq!(acknowledged(&out), Some(1));
}

/// Guards against tasks that run twice and tasks of cancelled jobs that run on: a run that was
/// taken for ended or never started shows up again.
#[test]
fn a_measured_run_that_the_owner_does_not_know_is_stopped() {
    let mut bench = Bench::with_workers(1);
    bench.submit(1, job(vec![step(1, &[])]), 11);
    let status = |run| RunStatus {
        run,
        checkpoint: String::new(),
        percent: 10,
        measurement: 0,
    };
    let (known, unknown) = (run(1, 0, 0, 1), run(2, 0, 0, 1));
    let measured = AgentMessage::Measurements(vec![status(known), status(unknown)]);
    assert_eq!(stops(&bench.agent(0, measured)), [unknown]);
}

/// Guards against lost work: a new owner took a run that was almost done for one that had just
/// started, and moved it off a worker on which it would have finished.
#[test]
fn a_listed_run_that_will_finish_stays_on_a_draining_worker() {
    let mut bench = Bench::new();
    let long = StepSpec {
        estimate_ms: 10_000,
        ..step(1, &[])
    };
    bench.submit(1, job(vec![long]), 5);
    bench.feed(Input::Linked(node(0)));
    let mut draining = report(0, 7);
    draining.state = WorkerState::Draining {
        remaining_ms: 2_000,
    };
    bench.agent(0, AgentMessage::Report(draining));
    let almost_done = RunStatus {
        run: run(1, 0, 0, 1),
        checkpoint: String::new(),
        percent: 95,
        measurement: 0,
    };
    let listed = AgentMessage::Listed {
        incarnation: incarnation(0, 7),
        running: vec![almost_done],
        ended: vec![],
    };
    assert_eq!(stops(&bench.agent(0, listed)), []);
}

/// Guards against runs that are lost with their worker: a new owner learns that the worker
/// drains before it learns of the runs.
#[test]
fn runs_on_a_worker_that_drains_since_before_the_listing_are_moved() {
    let mut bench = Bench::new();
    bench.submit(1, job(vec![step(1, &[])]), 5);
    bench.feed(Input::Linked(node(0)));
    let mut draining = report(0, 7);
    draining.state = WorkerState::Draining { remaining_ms: 10 };
    bench.agent(0, AgentMessage::Report(draining));
    let out = bench.list(0, vec![run(1, 0, 0, 1)]);
    assert_eq!(stops(&out), [run(1, 0, 0, 1)]);
}

#[test]
fn a_worker_that_refuses_a_start_gets_no_other_for_a_while() {
    let mut bench = Bench::with_workers(1);
    let out = bench.submit(1, job(vec![step(1, &[])]), 11);
    let (_, run) = starts(&out)[0].clone();
    let reason = RefusalReason::Unwell;
    let out = bench.agent(0, AgentMessage::Refused { run, reason });
    assert_eq!(starts(&out), []);
    assert_eq!(starts(&bench.wait(100)), []);
    assert_eq!(starts(&bench.wait(400)).len(), 1);
}

/// One worker fails every run.
#[test]
fn a_worker_that_fails_every_run_is_quarantined() {
    let mut bench = Bench::with_workers(2);
    let mut number = 0;
    let mut faulty_starts = 0;
    for id in 1..=12 {
        let out = bench.submit(id, job(vec![step(1, &[])]), 10 + id);
        let mut pending = starts(&out);
        while let Some((at, run)) = pending.pop() {
            number += 1;
            let faulty = at == node(1);
            faulty_starts += usize::from(faulty);
            let how = if faulty {
                EndReason::Failed
            } else {
                EndReason::Done
            };
            pending.extend(starts(&bench.end(usize::from(faulty), number, run, how)));
        }
    }
    assert!(
        faulty_starts <= 4,
        "{faulty_starts} starts on the faulty worker"
    );
    let done = (1..=12).filter(|id| {
        bench.feed(Input::Saved {
            job: JobId(*id),
            version: 9,
        });
        bench.scheduler.state(JobId(*id)) == Some(JobState::Completed)
    });
    assert_eq!(done.count(), 12);
}

/// A job that needs more than any worker has must not delay other jobs.
#[test]
fn a_job_that_fits_on_no_worker_blocks_no_other() {
    let mut bench = Bench::with_workers(1);
    let mut large = step(1, &[]);
    large.need = need(64_000, 1_000);
    assert_eq!(starts(&bench.submit(1, job(vec![large]), 11)), []);
    let out = bench.submit(2, job(vec![step(1, &[])]), 12);
    assert_eq!(starts(&out).len(), 1);
    bench.begin(&out);
    assert_eq!(bench.scheduler.state(JobId(1)), Some(JobState::Queued));
    assert_eq!(bench.scheduler.pending(&QueueName("q".into())), 1);
}

#[test]
fn members_of_a_gang_start_together_or_not_at_all() {
    let mut gang = step(6, &[]);
    gang.gang = true;
    let mut bench = Bench::with_workers(1);
    assert_eq!(starts(&bench.submit(1, job(vec![gang]), 11)), []);
    let out = bench.join(1, report(1, 7));
    let started = starts(&out);
    assert_eq!(started.len(), 6);
    assert!(started.iter().all(|(_, run)| run.run == started[0].1.run));
}

/// Workers shut down a few seconds after they announce it.
#[test]
fn runs_that_would_not_finish_are_moved_off_a_draining_worker() {
    struct Case {
        what: &'static str,
        estimate_ms: u64,
        long_running: bool,
        checkpoints: bool,
        /// Time that the run has worked, in milliseconds.
        worked_ms: u64,
        moved: bool,
    }
    let cases = [
        Case {
            what: "finishes in time",
            estimate_ms: 1_000,
            long_running: false,
            checkpoints: false,
            worked_ms: 0,
            moved: false,
        },
        Case {
            what: "long",
            estimate_ms: 9_000,
            long_running: false,
            checkpoints: false,
            worked_ms: 0,
            moved: true,
        },
        Case {
            what: "long with checkpoints",
            estimate_ms: 3_000,
            long_running: false,
            checkpoints: true,
            worked_ms: 0,
            moved: true,
        },
        Case {
            what: "long with checkpoints, most of it done",
            estimate_ms: 3_000,
            long_running: false,
            checkpoints: true,
            worked_ms: 2_000,
            moved: false,
        },
        Case {
            what: "lasts",
            estimate_ms: 100,
            long_running: true,
            checkpoints: false,
            worked_ms: 0,
            moved: true,
        },
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        let mut spec = step(1, &[]);
        spec.estimate_ms = case.estimate_ms;
        spec.long_running = case.long_running;
        spec.checkpoints = case.checkpoints;
        bench.submit(1, job(vec![spec]), 11);
        bench.wait(case.worked_ms);
        let mut draining = report(0, 7);
        draining.state = WorkerState::Draining {
            remaining_ms: 2_000,
        };
        let out = bench.agent(0, AgentMessage::Report(draining));
        assert_eq!(!stops(&out).is_empty(), case.moved, "{}", case.what);
        bench.join(1, report(1, 7));
        let out = bench.end(0, 1, run(1, 0, 0, 1), EndReason::Stopped);
        assert_eq!(starts(&out).len(), 1, "{}", case.what);
        assert_eq!(
            starts(&out)[0].0,
            node(1),
            "{}: no start on the draining worker",
            case.what
        );
    }
}

#[test]
fn rounds_of_a_repeated_job_start_when_they_are_due() {
    let mut bench = Bench::with_workers(1);
    let mut record = job(vec![step(1, &[])]);
    record.spec.repeat = Some(Repeat {
        count: 2,
        start_ms: 2_000,
        interval_ms: 3_000,
    });
    assert_eq!(starts(&bench.submit(1, record, 11)), []);
    assert_eq!(starts(&bench.wait(1_700)), []);
    assert_eq!(starts(&bench.wait(300)).len(), 1);
    assert_eq!(starts(&bench.wait(2_000)), []);
    assert_eq!(starts(&bench.wait(1_000)).len(), 1, "rounds may overlap");
}

/// A lost agent renews the leases of its runs for its hold time, so they may go on until
/// then.
#[test]
fn tasks_of_a_lost_agent_start_elsewhere_after_its_hold_time() {
    let mut bench = Bench::with_workers(1);
    bench.submit(1, job(vec![step(1, &[])]), 11);
    bench.feed(Input::Unlinked(node(0)));
    bench.join(1, report(1, 7));
    assert_eq!(starts(&bench.wait(4_000)), []);
    assert_eq!(starts(&bench.wait(1_100)), [(node(1), run(1, 0, 0, 2))]);
}

/// Guards against successors that each wait for an agent whose VM was removed long ago.
#[test]
fn an_agent_is_forgotten_once_its_runs_have_certainly_ended() {
    let mut bench = Bench::new();
    bench.feed(Input::Expected(node(1)));
    bench.join(0, report(0, 7));
    assert!(!bench.wait(11_800).contains(&Output::Forget(node(1))));
    assert!(bench.wait(300).contains(&Output::Forget(node(1))));
    bench.feed(Input::Unlinked(node(0)));
    assert!(bench.wait(5_100).contains(&Output::Forget(node(0))));
}

/// Guards against tasks that run twice: a link that ends before the agent has listed its runs
/// tells nothing of the hold that a predecessor has granted.
#[test]
fn an_agent_whose_first_link_is_lost_is_waited_for_as_before() {
    let mut bench = Bench::new();
    bench.join(0, report(0, 7));
    bench.feed(Input::Expected(node(1)));
    bench.submit(1, job(vec![step(1, &[])]), 5);
    bench.feed(Input::Linked(node(1)));
    bench.feed(Input::Unlinked(node(1)));
    assert_eq!(starts(&bench.wait(5_500)), []);
    assert_eq!(starts(&bench.wait(6_000)), []);
    assert_eq!(starts(&bench.wait(600)).len(), 1);
}

/// Guards against a deposed owner that restarts runs of agents which are linked to its
/// successor by now.
#[test]
fn an_owner_without_the_store_restarts_no_runs_of_lost_agents() {
    let mut bench = Bench::with_workers(1);
    bench.submit(1, job(vec![step(1, &[])]), 11);
    bench.feed(Input::Unlinked(node(0)));
    bench.join(1, report(1, 7));
    bench.now = bench.now.after(Duration::from_secs(11));
    assert_eq!(starts(&bench.feed(Input::Tick)), []);
    bench.feed(Input::Confirmed(bench.now));
    assert_eq!(starts(&bench.feed(Input::Tick)).len(), 1);
}

#[test]
fn a_new_incarnation_of_a_worker_releases_the_tasks_of_the_last() {
    let mut bench = Bench::with_workers(1);
    bench.submit(1, job(vec![step(1, &[])]), 11);
    let out = bench.agent(0, AgentMessage::Report(report(0, 8)));
    assert_eq!(
        starts(&out),
        [],
        "runs of the new incarnation are not listed yet"
    );
    let listed = AgentMessage::Listed {
        incarnation: incarnation(0, 8),
        running: vec![],
        ended: vec![],
    };
    let out = bench.agent(0, listed);
    assert_eq!(starts(&out), [], "the store lacks the crash");
    let (job, version) = (JobId(1), 1);
    let out = bench.feed(Input::Saved { job, version });
    assert_eq!(starts(&out), [(node(0), run(1, 0, 0, 2))]);
}

#[test]
fn jobs_that_can_meet_their_objective_start_before_those_that_cannot() {
    let mut bench = Bench::new();
    bench.wall_ms = 100_000;
    let mut late = job(vec![step(4, &[])]);
    late.spec.submitted_ms = 0;
    let mut on_time = job(vec![step(4, &[])]);
    on_time.spec.submitted_ms = 100_000;
    bench.submit(1, late, 11);
    bench.submit(2, on_time, 12);
    let out = bench.join(0, report(0, 7));
    assert!(starts(&out).iter().all(|(_, run)| run.task.job == JobId(2)));
}
