//! Copies of stragglers of speculative steps.

use super::super::*;
use super::fleet::UnevenFleet;
use crate::configs::WorkersConfig;

const SPECULATION: WorkersConfig = WorkersConfig {
    health: false,
    rack_wait: false,
    speculation: true,
    stalls: false,
    remote_percent: 100,
};

/// A step of twenty tasks of 1 s.
fn twenty(speculative: bool) -> StepSpec {
    StepSpec {
        speculative,
        need: need(1_000, 100),
        ..step(20, &[])
    }
}

/// The first run of one task takes 10 s.
fn one_straggler(run: RunRef) -> Option<u64> {
    (run.task.index == 7 && run.run == 1).then_some(10_000)
}

fn fleet(settings: WorkersConfig) -> UnevenFleet {
    let mut fleet = UnevenFleet::new(settings, 6);
    fleet.work_ms = one_straggler;
    fleet.join();
    fleet
}

/// The runs of the straggler, with their workers.
fn runs(fleet: &UnevenFleet) -> Vec<(u32, usize)> {
    let of_task = fleet.started.iter().filter(|(run, _)| run.task.index == 7);
    of_task.map(|(run, at)| (run.run, *at)).collect()
}

/// Load: one straggler in a step of twenty. Guards against jobs that wait for their slowest
/// run, and against second runs of tasks whose step doesn't allow them.
#[test]
fn only_the_straggler_of_a_speculative_step_of_twenty_gets_a_copy() {
    struct Case {
        what: &'static str,
        settings: WorkersConfig,
        speculative: bool,
        copied: bool,
    }
    let cases = [
        Case {
            what: "a speculative step",
            settings: SPECULATION,
            speculative: true,
            copied: true,
        },
        Case {
            what: "a step that is not speculative",
            settings: SPECULATION,
            speculative: false,
            copied: false,
        },
        Case {
            what: "copies are not enabled",
            settings: WorkersConfig::default(),
            speculative: true,
            copied: false,
        },
    ];
    for case in cases {
        let mut fleet = fleet(case.settings);
        fleet.submit(1, vec![twenty(case.speculative)]);
        fleet.advance(4_000);
        assert_eq!(
            fleet.started.len(),
            20 + usize::from(case.copied),
            "{}",
            case.what
        );
        assert_eq!(
            fleet.completed_ms.len(),
            usize::from(case.copied),
            "{}",
            case.what
        );
        if case.copied {
            let runs = runs(&fleet);
            assert_eq!((runs[0].0, runs[1].0), (1, 2), "its own run number");
            assert_ne!(runs[0].1, runs[1].1, "another worker");
            assert_eq!(fleet.stopped.len(), 1, "the straggler is stopped");
            assert!(fleet.runs.is_empty());
        }
        fleet.advance(10_000);
        assert_eq!(fleet.completed_ms.len(), 1, "{}", case.what);
    }
}

/// Guards against a copy that keeps running, or a task that runs again, when the order to
/// stop it was lost with its link.
#[test]
fn a_stop_of_a_copy_that_is_lost_with_its_link_is_repeated() {
    let mut fleet = fleet(SPECULATION);
    fleet.submit(1, vec![twenty(true)]);
    fleet.advance(1_900);
    let runs = runs(&fleet);
    assert_eq!(runs.len(), 2);
    let (_, straggler_at) = runs[0];
    fleet.workers[straggler_at].reachable = false;
    fleet.advance(1_500);
    assert_eq!(fleet.stopped.len(), 1, "ordered, but lost");
    assert_eq!(fleet.runs.len(), 1, "the straggler still runs");
    fleet.feed(Input::Unlinked(node(straggler_at)));
    fleet.workers[straggler_at].reachable = true;
    fleet.link(straggler_at);
    assert_eq!(fleet.stopped.len(), 2, "ordered again");
    assert!(fleet.runs.is_empty());
    fleet.advance(5_000);
    assert_eq!(fleet.started.len(), 21);
}

/// Guards against failures of copies that fail a job, and against attempts that count for
/// one of the runs only.
#[test]
fn failures_of_both_runs_count_as_attempts() {
    let mut fleet = fleet(SPECULATION);
    fleet.submit(1, vec![twenty(true)]);
    fleet.advance(1_900);
    assert_eq!(runs(&fleet).len(), 2);
    let task = fleet.started[7].0.task;
    let failed = |fleet: &mut UnevenFleet, run: u32| {
        fleet.end_with(RunRef { task, run }, EndReason::Failed);
        fleet.advance(50);
        fleet.scheduler.state(JobId(1))
    };
    assert_eq!(failed(&mut fleet, 2), Some(JobState::Running));
    fleet.advance(3_000);
    assert_eq!(runs(&fleet).len(), 2, "a second failure would be the last");
    assert_eq!(failed(&mut fleet, 1), Some(JobState::Failed));
}

/// Load: every fourth run of many jobs is a straggler. Guards against copies that take the
/// capacity of other work.
#[test]
fn copies_are_a_few_percent_of_the_running_tasks() {
    let mut fleet = UnevenFleet::new(SPECULATION, 60);
    fleet.work_ms = |run| (run.task.index % 4 == 0 && run.run == 1).then_some(20_000);
    fleet.join();
    let mut most = 0;
    for id in 1..=10 {
        fleet.submit(id, vec![twenty(true)]);
    }
    for _ in 0..100 {
        fleet.advance(50);
        let copies = fleet.scheduler.copies();
        most = most.max(copies);
        assert!(copies <= (fleet.runs.len() / 25).max(2), "{copies} copies");
    }
    assert!(most > 0);
}

/// Guards against a new owner that takes a copy for a run that nobody needs, or starts a
/// third one.
#[test]
fn a_new_owner_adopts_both_runs_of_a_task() {
    let mut fleet = fleet(SPECULATION);
    fleet.submit(1, vec![twenty(true)]);
    fleet.advance(1_900);
    let running: Vec<RunRef> = fleet.runs.keys().copied().collect();
    assert_eq!(running.len(), 2);
    fleet.replace_owner();
    assert_eq!(fleet.scheduler.copies(), 1);
    assert!(running.iter().all(|run| fleet.runs.contains_key(run)));
    assert!(fleet.stopped.is_empty());
}
