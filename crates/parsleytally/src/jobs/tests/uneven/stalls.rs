//! Runs without progress.

use super::super::*;
use super::fleet::UnevenFleet;
use crate::configs::WorkersConfig;

const STALLS: WorkersConfig = WorkersConfig {
    health: false,
    rack_wait: false,
    speculation: false,
    stalls: true,
    remote_percent: 100,
};

/// A run of this length shows no progress.
const NEVER_MS: u64 = u64::MAX / 400;

fn tasks(count: u32) -> StepSpec {
    StepSpec {
        need: need(1_000, 100),
        ..step(count, &[])
    }
}

/// The first run of one task makes no progress.
fn one_stall(run: RunRef) -> Option<u64> {
    (run.task.index == 3 && run.run == 1).then_some(NEVER_MS)
}

fn fleet(settings: WorkersConfig, work_ms: fn(RunRef) -> Option<u64>) -> UnevenFleet {
    let mut fleet = UnevenFleet::new(settings, 6);
    fleet.work_ms = work_ms;
    fleet.join();
    fleet
}

/// Guards against jobs that never end as one run makes no progress, and against stops of
/// runs that are slow only, or on which nothing is known.
#[test]
fn only_a_run_that_measurably_makes_no_progress_starts_elsewhere() {
    struct Case {
        what: &'static str,
        settings: WorkersConfig,
        work_ms: fn(RunRef) -> Option<u64>,
        /// Whether the worker of the run answers.
        reachable: bool,
        stopped: usize,
    }
    let cases = [
        Case {
            what: "a run without progress",
            settings: STALLS,
            work_ms: one_stall,
            reachable: true,
            stopped: 1,
        },
        Case {
            what: "a run that is thirty times slower than expected",
            settings: STALLS,
            work_ms: |run| (run.task.index == 3).then_some(30_000),
            reachable: true,
            stopped: 0,
        },
        Case {
            what: "a run on a silent worker",
            settings: STALLS,
            work_ms: one_stall,
            reachable: false,
            stopped: 0,
        },
        Case {
            what: "stops are not enabled",
            settings: WorkersConfig::default(),
            work_ms: one_stall,
            reachable: true,
            stopped: 0,
        },
    ];
    for case in cases {
        let mut fleet = fleet(case.settings, case.work_ms);
        fleet.submit(1, vec![tasks(10)]);
        fleet.advance(2_000);
        let (_, at) = fleet.started[3];
        fleet.workers[at].reachable = case.reachable;
        fleet.advance(12_000);
        assert_eq!(fleet.stopped.len(), case.stopped, "{}", case.what);
        assert_eq!(fleet.started.len(), 10 + case.stopped, "{}", case.what);
        assert_eq!(fleet.completed_ms.len(), case.stopped, "{}", case.what);
        if case.stopped > 0 {
            assert_ne!(fleet.started[10].1, at, "another worker");
            assert_eq!(fleet.started[10].0.run, 2, "its own run number");
        }
    }
}

/// Guards against a run that is stopped for the time in which its worker was paused.
#[test]
fn a_pause_of_a_worker_is_no_time_without_progress() {
    let mut fleet = fleet(STALLS, |_| Some(60_000));
    fleet.submit(1, vec![tasks(10)]);
    for _ in 0..4 {
        fleet.advance(3_000);
        let (_, at) = fleet.started[0];
        fleet.workers[at].reachable = false;
        let runs: Vec<RunRef> = fleet.runs.keys().copied().collect();
        fleet.advance(6_000);
        // The runs of a paused worker make no progress.
        for run in runs
            .iter()
            .filter(|run| fleet.runs[run].at == at)
            .collect::<Vec<_>>()
        {
            if let Some(own) = fleet.runs.get_mut(run) {
                own.started_ms += 6_000;
            }
        }
        fleet.workers[at].reachable = true;
    }
    assert!(fleet.stopped.is_empty());
}

/// Load: all runs of a job stall. Guards against a common cause, such as a frozen data
/// source, that stops and restarts everything again and again.
#[test]
fn stops_of_stalled_runs_stay_within_a_budget() {
    let mut fleet = fleet(STALLS, |_| Some(NEVER_MS));
    fleet.submit(1, vec![tasks(10)]);
    fleet.advance(60_000);
    let stopped = fleet.stopped.len();
    assert!((1..=6).contains(&stopped), "{stopped} stops in a minute");
    fleet.advance(600_000);
    let most = fleet.started.iter().map(|(run, _)| run.run).max();
    assert_eq!(most, Some(3), "a task is stopped twice at most");
}

/// Guards against a second run beside one whose stop was lost with its link.
#[test]
fn a_lost_stop_of_a_stalled_run_starts_no_second_run() {
    let mut fleet = fleet(STALLS, one_stall);
    fleet.submit(1, vec![tasks(10)]);
    fleet.advance(5_000);
    let (stalled, at) = fleet.started[3];
    // The last measurements arrive, but not the order that follows them.
    for _ in 0..60 {
        fleet.advance(50);
        fleet.workers[at].reachable = true;
        let status = RunStatus {
            run: stalled,
            checkpoint: String::new(),
            percent: 0,
            measurement: 0,
        };
        fleet.workers[at].reachable = false;
        fleet.agent(at, AgentMessage::Measurements(vec![status]));
    }
    assert_eq!(fleet.stopped, [stalled], "ordered once");
    assert_eq!(fleet.started.len(), 10);
    fleet.feed(Input::Unlinked(node(at)));
    fleet.workers[at].reachable = true;
    fleet.link(at);
    fleet.advance(2_000);
    assert_eq!(fleet.started.len(), 11);
    assert_eq!(fleet.completed_ms.len(), 1);
}

/// Guards against a worker that stalls its runs and gets as many as before.
#[test]
fn a_worker_whose_run_stalls_is_put_on_probation() {
    let settings = WorkersConfig {
        health: true,
        ..STALLS
    };
    let mut fleet = fleet(settings, one_stall);
    fleet.submit(1, vec![tasks(10)]);
    let (_, at) = {
        fleet.advance(200);
        fleet.started[3]
    };
    fleet.advance(8_000);
    assert_eq!(
        fleet.standings_of(at).first(),
        Some(&WorkerStanding::Probation)
    );
}
