//! Workers that are slower, fail more or flap.

use super::super::*;
use super::fleet::UnevenFleet;
use crate::configs::WorkersConfig;

const HEALTH: WorkersConfig = WorkersConfig {
    health: true,
    rack_wait: false,
    speculation: false,
    stalls: false,
    remote_percent: 100,
};

/// A task of a tenth of a second to four seconds on one processor.
fn tasks(count: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        estimate_ms,
        need: need(1_000, 100),
        ..step(count, &[])
    }
}

/// Submits a job of `count` tasks every `every_ms`, `jobs` times.
fn submit_regularly(fleet: &mut UnevenFleet, jobs: u64, every_ms: u64, step: &StepSpec) {
    let first = fleet.started.len() as u64 + 1;
    for id in first..first + jobs {
        fleet.submit(1_000 * id, vec![step.clone()]);
        fleet.advance(every_ms);
    }
}

/// Load: a quarter of the workers is 1.5 times as large, and some are 1.6 times slower.
/// Guards against slow workers that make whole jobs late while others have room, and
/// against large workers that are taken for slow ones.
#[test]
fn a_fleet_with_large_and_slow_workers_is_used_by_what_it_can_do() {
    let mut plain = Vec::new();
    for settings in [WorkersConfig::default(), HEALTH] {
        let mut fleet = UnevenFleet::new(settings, 12);
        for at in [0, 4, 8] {
            fleet.workers[at].cpu = 6_000;
        }
        for at in [2, 5, 8] {
            fleet.workers[at].slowness_percent = 160;
        }
        fleet.join();
        submit_regularly(&mut fleet, 60, 250, &tasks(10, 800));
        fleet.advance(5_000);
        assert_eq!(fleet.completed_ms.len(), 60, "{settings:?}");
        let slow: usize = [2, 5, 8].iter().map(|at| fleet.starts_on(*at)).sum();
        plain.push(slow);
        let degraded = |at: &usize| {
            let standings = fleet.standings_of(*at);
            standings.contains(&WorkerStanding::Degraded)
        };
        let found: Vec<usize> = (0..12).filter(degraded).collect();
        if settings.health {
            assert_eq!(found, [2, 5, 8]);
        } else {
            assert!(fleet.decisions.is_empty(), "off by default");
        }
    }
    assert!(plain[1] * 2 < plain[0], "starts on slow workers: {plain:?}");
}

/// Load: a sixth of the workers fails every second run.
/// Guards against attempts that are used up on workers known to fail, and against a worker
/// that never gets work again.
#[test]
fn workers_that_fail_part_of_their_runs_get_one_at_a_time_until_a_success() {
    let mut failed = Vec::new();
    for settings in [WorkersConfig::default(), HEALTH] {
        let mut fleet = UnevenFleet::new(settings, 12);
        for at in [3, 9] {
            fleet.workers[at].fails_each = 2;
        }
        fleet.join();
        submit_regularly(&mut fleet, 40, 500, &tasks(26, 800));
        let on_failing: usize = [3, 9].iter().map(|at| fleet.starts_on(*at)).sum();
        failed.push(on_failing);
        if settings.health {
            for at in [3, 9] {
                let standings = fleet.standings_of(at);
                assert!(
                    standings.contains(&WorkerStanding::Probation),
                    "worker {at}: {standings:?}"
                );
            }
            let restricted = fleet.scheduler.standings().probation;
            assert!(restricted <= 3, "at most a quarter: {restricted}");
        }
    }
    assert!(
        failed[1] < failed[0],
        "starts on failing workers: {failed:?}"
    );
}

/// Guards against a worker on probation that gets several runs, or is kept from work after
/// its first success.
#[test]
fn a_worker_on_probation_gets_its_next_run_after_the_last_has_ended() {
    let mut fleet = UnevenFleet::new(HEALTH, 4);
    fleet.join();
    let whole_worker = StepSpec {
        need: need(4_000, 100),
        ..tasks(3, 300_000)
    };
    fleet.submit(1, vec![whole_worker]);
    fleet.advance(100);
    let failing = (0..4).find(|at| fleet.starts_on(*at) == 0);
    let failing = failing.expect("three workers are full");
    fleet.workers[failing].fails_each = 1;
    for id in 2..6 {
        fleet.submit(id, vec![tasks(1, 400)]);
    }
    fleet.advance(2_000);
    assert_eq!(fleet.standings_of(failing), [WorkerStanding::Probation]);
    let running = |fleet: &UnevenFleet| {
        let runs = fleet.runs.values();
        runs.filter(|run| run.at == failing).count()
    };
    let starts = fleet.starts_on(failing);
    fleet.submit(20, vec![tasks(3, 400)]);
    for _ in 0..100 {
        fleet.advance(50);
        assert!(running(&fleet) <= 1, "one run at a time");
    }
    assert!(fleet.starts_on(failing) > starts, "it is tried again");
    fleet.workers[failing].fails_each = 0;
    fleet.submit(21, vec![tasks(8, 400)]);
    let mut most = 0;
    for _ in 0..500 {
        fleet.advance(50);
        most = most.max(running(&fleet));
    }
    assert_eq!(most, 4, "all of it is used after a success");
    assert!(fleet.completed_ms.contains_key(&JobId(21)));
    let last = fleet.standings_of(failing).last().copied();
    assert_eq!(last, Some(WorkerStanding::Sound));
}

/// Load: one worker of eight restarts every 8 s. Guards against large tasks without
/// checkpoints that lose their work there again and again, while quick ones still use it.
#[test]
fn flapping_workers_get_no_task_that_would_lose_much_work() {
    let mut fleet = UnevenFleet::new(HEALTH, 8);
    fleet.join();
    for _ in 0..3 {
        fleet.restart(5);
        fleet.advance(8_000);
    }
    assert_eq!(fleet.standings_of(5), [WorkerStanding::Flapping]);
    let large = StepSpec {
        need: need(4_000, 100),
        ..tasks(8, 2_000)
    };
    fleet.submit(1, vec![large]);
    fleet.advance(500);
    assert_eq!(fleet.runs.len(), 7, "one of eight waits for another worker");
    assert_eq!(fleet.starts_on(5), 0);
    fleet.submit(2, vec![tasks(4, 800)]);
    fleet.advance(500);
    assert_eq!(fleet.starts_on(5), 4, "quick tasks may run there");
    fleet.advance(10_000);
    assert_eq!(fleet.completed_ms.len(), 2);
    fleet.advance(60_000);
    assert_eq!(fleet.standings_of(5).last(), Some(&WorkerStanding::Sound));
}

/// Guards against workers that count as flapping as single polls got no answer.
#[test]
fn only_outages_of_a_second_make_a_worker_flapping() {
    for (silent_ms, expected) in [(500, vec![]), (1_500, vec![WorkerStanding::Flapping])] {
        let mut fleet = UnevenFleet::new(HEALTH, 8);
        fleet.join();
        for _ in 0..6 {
            fleet.agent(5, AgentMessage::Unresponsive(true));
            fleet.advance(silent_ms);
            fleet.agent(5, AgentMessage::Unresponsive(false));
            fleet.advance(3_000);
        }
        assert_eq!(fleet.standings_of(5), expected, "silent for {silent_ms} ms");
    }
}

/// Guards against a fault of many workers that leaves nobody for the work.
#[test]
fn at_most_a_quarter_of_a_pool_is_restricted() {
    let mut fleet = UnevenFleet::new(HEALTH, 8);
    fleet.join();
    for _ in 0..3 {
        for at in 0..6 {
            fleet.restart(at);
        }
        fleet.advance(3_000);
    }
    let counts = fleet.scheduler.standings();
    assert_eq!((counts.flapping, counts.degraded), (2, 4));
    let large = StepSpec {
        need: need(4_000, 100),
        ..tasks(6, 2_000)
    };
    fleet.submit(1, vec![large]);
    fleet.advance(500);
    assert_eq!(fleet.runs.len(), 6);
}

/// Guards against running work that is given up because its worker was silent for a while.
#[test]
fn a_worker_that_is_only_silent_for_a_while_keeps_its_runs() {
    let all = WorkersConfig {
        rack_wait: true,
        speculation: true,
        stalls: true,
        ..HEALTH
    };
    let mut fleet = UnevenFleet::new(all, 4);
    fleet.join();
    fleet.submit(1, vec![tasks(16, 3_000)]);
    fleet.advance(1_500);
    fleet.workers[2].reachable = false;
    fleet.agent(2, AgentMessage::Unresponsive(true));
    fleet.advance(4_000);
    fleet.workers[2].reachable = true;
    fleet.agent(2, AgentMessage::Unresponsive(false));
    fleet.advance(1_000);
    assert_eq!(fleet.started.len(), 16, "no task was started again");
    assert!(fleet.stopped.is_empty());
    assert_eq!(fleet.completed_ms.len(), 1);
}

/// Guards against tasks that run twice or are lost, and against standings that outlive the
/// evidence for them, when the owner is replaced.
#[test]
fn a_new_owner_learns_anew_and_runs_nothing_twice() {
    let mut fleet = UnevenFleet::new(HEALTH, 12);
    fleet.workers[2].slowness_percent = 200;
    fleet.join();
    submit_regularly(&mut fleet, 20, 300, &tasks(10, 800));
    assert_eq!(fleet.scheduler.standings().degraded, 1);
    fleet.submit(1, vec![tasks(30, 3_000)]);
    fleet.advance(1_000);
    let before = fleet.started.len();
    fleet.replace_owner();
    assert_eq!(fleet.scheduler.standings(), StandingCounts::default());
    fleet.advance(8_000);
    assert_eq!(fleet.started.len(), before, "adopted runs go on");
    assert_eq!(fleet.completed_ms.len(), 21);
    submit_regularly(&mut fleet, 20, 300, &tasks(10, 800));
    assert_eq!(fleet.scheduler.standings().degraded, 1);
}
