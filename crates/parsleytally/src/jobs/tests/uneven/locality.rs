//! Tasks that prefer a rack.

use super::super::*;
use super::fleet::UnevenFleet;
use crate::configs::WorkersConfig;

/// Tasks take three times as long outside their rack.
const RACK_WAIT: WorkersConfig = WorkersConfig {
    health: false,
    rack_wait: true,
    speculation: false,
    stalls: false,
    remote_percent: 300,
};
const NO_WAIT: WorkersConfig = WorkersConfig {
    rack_wait: false,
    ..RACK_WAIT
};

/// Tasks that prefer rack 0, of workers 0 to 2 with 12 processors.
fn tasks(count: u32) -> StepSpec {
    StepSpec {
        estimate_ms: 800,
        need: need(1_000, 100),
        preferred_rack: Some("r0".into()),
        ..step(count, &[])
    }
}

fn fleet(settings: WorkersConfig) -> UnevenFleet {
    let mut fleet = UnevenFleet::new(settings, 9);
    fleet.join();
    fleet
}

fn remote_starts(fleet: &UnevenFleet) -> usize {
    fleet.started.iter().filter(|(_, at)| *at > 2).count()
}

/// Guards against tasks that start three times slower elsewhere just before their rack has
/// room.
#[test]
fn a_task_waits_for_room_in_its_rack_while_that_costs_less() {
    let mut fleet = fleet(RACK_WAIT);
    fleet.submit(1, vec![tasks(12)]);
    fleet.advance(300);
    fleet.submit(2, vec![tasks(6)]);
    fleet.advance(2_000);
    assert_eq!(remote_starts(&fleet), 0);
    assert_eq!(fleet.completed_ms.len(), 2);
    let waits = fleet
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            WorkersDecision::RackWait(evidence) => Some((evidence.tasks, evidence.allowed_ms)),
            _ => None,
        });
    assert_eq!(waits.collect::<Vec<_>>(), [(6, 1_600)]);
}

/// Load: many jobs for one rack at once. Guards against a queue for one rack while others
/// are idle, and against waits in vain: the surplus starts elsewhere at once.
#[test]
fn many_jobs_for_one_rack_at_once_spread_out() {
    let mut ends = Vec::new();
    for settings in [NO_WAIT, RACK_WAIT] {
        let mut fleet = fleet(settings);
        let began_ms = fleet.now_ms;
        for id in 1..=8 {
            fleet.submit(id, vec![tasks(8)]);
        }
        fleet.advance(100);
        let remote = remote_starts(&fleet);
        assert!(remote >= 16, "{remote} start elsewhere at once");
        fleet.advance(8_000);
        assert_eq!(fleet.completed_ms.len(), 8);
        let ends_ms = fleet.completed_ms.values().map(|end| end - began_ms);
        ends.push((ends_ms.clone().max(), ends_ms.sum::<u64>()));
    }
    assert!(ends[1].0 <= ends[0].0, "last end, sum of ends: {ends:?}");
    assert!(ends[1].1 < ends[0].1, "last end, sum of ends: {ends:?}");
}

/// Guards against waiting in vain, one case each.
#[test]
fn a_task_starts_elsewhere_once_waiting_costs_more() {
    struct Case {
        what: &'static str,
        settings: WorkersConfig,
        prepare: fn(&mut UnevenFleet),
        /// Whether the task has started elsewhere after this time, in milliseconds.
        checks: &'static [(u64, bool)],
    }
    let fill = |fleet: &mut UnevenFleet| {
        let long = StepSpec {
            estimate_ms: 60_000,
            ..tasks(12)
        };
        fleet.submit(1, vec![long]);
        fleet.advance(100);
    };
    let cases = [
        Case {
            what: "the rack stays full",
            settings: RACK_WAIT,
            prepare: fill,
            checks: &[(1_000, false), (1_000, true)],
        },
        Case {
            what: "no slowdown elsewhere is known",
            settings: WorkersConfig {
                remote_percent: 100,
                ..RACK_WAIT
            },
            prepare: fill,
            checks: &[(200, true)],
        },
        Case {
            what: "the rack is lost",
            settings: RACK_WAIT,
            prepare: |fleet| (0..3).for_each(|at| fleet.feed(Input::Unlinked(node(at)))),
            checks: &[(200, true)],
        },
        Case {
            what: "waiting is not enabled",
            settings: NO_WAIT,
            prepare: fill,
            checks: &[(200, true)],
        },
    ];
    for case in cases {
        let mut fleet = fleet(case.settings);
        (case.prepare)(&mut fleet);
        fleet.submit(2, vec![tasks(1)]);
        for (millis, expected) in case.checks {
            fleet.advance(*millis);
            assert_eq!(remote_starts(&fleet) > 0, *expected, "{}", case.what);
        }
    }
}

/// Guards against tasks without a preferred rack that wait behind those that wait for one.
#[test]
fn tasks_that_wait_for_their_rack_hold_up_no_others() {
    let mut fleet = fleet(RACK_WAIT);
    fleet.submit(1, vec![tasks(12)]);
    fleet.advance(100);
    fleet.submit(2, vec![tasks(4)]);
    fleet.advance(50);
    let other = StepSpec {
        preferred_rack: None,
        ..tasks(10)
    };
    fleet.submit(3, vec![other]);
    fleet.advance(50);
    assert_eq!(fleet.started.len(), 22);
}
