//! Waits in pools that count as full, and what counts as used there.

use super::held_back::{
    IDLE_BOUND_MS, LASTING_BOUND_MS, default_times, harmful_step, join_reserving, measure,
    time_until,
};
use super::scheduler::{Bench, starts};
use super::*;

/// Number of workers of each pool that is not divided.
const WORKERS: usize = 4;
/// Number of workers of each half of a divided pool.
const HALF: usize = 5;
/// Id of the job with the services on the second half.
const OTHER_SERVICE: u64 = 10_001;
/// Time after which a wait counts as endless, in milliseconds.
const ENDLESS_MS: u64 = 36_000;

/// Time until a task of `step` starts while the services report as ever, in milliseconds.
fn time_to_start(
    bench: &mut Bench,
    services: &[(NodeName, RunRef)],
    step: StepSpec,
) -> Option<u64> {
    let out = bench.submit(1, job(vec![step]), 30);
    assert!(starts(&out).is_empty(), "it has to wait: {out:?}");
    time_until(bench, ENDLESS_MS, |bench, out| {
        let later = measure(bench, services);
        !starts(out).is_empty() || !starts(&later).is_empty()
    })
}

/// Guards against LOST: a best-effort task that lasts never started in a pool that counts as full.
#[test]
fn a_best_effort_task_that_lasts_starts_however_full_its_pool_is() {
    let mut late = Vec::new();
    for reserved in [1_000, 2_300, 2_500, 3_000] {
        let mut bench = Bench::with_options(default_times());
        let services = join_reserving(&mut bench, WORKERS, reserved);
        let time = time_to_start(&mut bench, &services, harmful_step(1, true));
        if time.is_none_or(|time| time > LASTING_BOUND_MS) {
            late.push((reserved, time));
        }
    }
    assert!(late.is_empty(), "processors reserved, time: {late:?}");
}

/// Services and workers that the owner does not reach, or that do not answer.
struct Unreached {
    name: &'static str,
    /// Processors that a service reserves on each of the first and second half of the workers, in thousandths; 0 is no service.
    reserved: [u64; 2],
    /// Takes the second half of the workers away from the owner.
    lose: fn(&mut Bench, usize),
}

/// Joins both halves of the workers, and takes the second one away; returns the services on the first.
fn join_unreached(bench: &mut Bench, case: &Unreached) -> Vec<(NodeName, RunRef)> {
    let services = join_reserving(bench, HALF, case.reserved[0]);
    for at in HALF..2 * HALF {
        bench.join(at, report(at, 7));
    }
    if case.reserved[1] > 0 {
        let service = StepSpec {
            long_running: true,
            need: need(case.reserved[1], 1_000),
            max_per_worker: 1,
            ..step(HALF as u32, &[])
        };
        let placed = starts(&bench.submit(OTHER_SERVICE, job(vec![service]), 11));
        let is_lost = |(at, _): &(NodeName, RunRef)| (HALF..2 * HALF).any(|lost| node(lost) == *at);
        assert!(placed.len() == HALF && placed.iter().all(is_lost));
    }
    for at in HALF..2 * HALF {
        (case.lose)(bench, at);
    }
    services
}

/// Guards against LOST: the room of workers that live apart from their agents did not count, so a pool that is mostly
/// free counted as full, and a best-effort job waited there for ever.
#[test]
fn the_room_of_workers_that_are_not_reached_counts() {
    fn unlink(bench: &mut Bench, at: usize) {
        bench.feed(Input::Unlinked(node(at)));
    }
    fn relink(bench: &mut Bench, at: usize) {
        unlink(bench, at);
        bench.feed(Input::Linked(node(at)));
    }
    fn silence(bench: &mut Bench, at: usize) {
        bench.agent(at, AgentMessage::Unresponsive(true));
    }
    let cases = [
        Unreached {
            name: "idle, links lost",
            reserved: [2_700, 0],
            lose: unlink,
        },
        Unreached {
            name: "links lost beside their services",
            reserved: [2_700, 3_500],
            lose: unlink,
        },
        Unreached {
            name: "linked again without a listing",
            reserved: [1_900, 3_500],
            lose: relink,
        },
        Unreached {
            name: "silent",
            reserved: [1_900, 3_500],
            lose: silence,
        },
    ];
    let mut late = Vec::new();
    for case in cases {
        let mut bench = Bench::with_options(default_times());
        let services = join_unreached(&mut bench, &case);
        let time = time_to_start(&mut bench, &services, harmful_step(1, false));
        if time.is_none_or(|time| time > IDLE_BOUND_MS) {
            late.push((case.name, time));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against services that lose their protection for ever, since dead workers beside agents that live count as room.
#[test]
fn workers_whose_leases_have_expired_do_not_count() {
    let mut bench = Bench::with_options(default_times());
    join_reserving(&mut bench, HALF, 2_700);
    for at in HALF..2 * HALF {
        bench.join(at, report(at, 7));
        bench.agent(at, AgentMessage::Unresponsive(true));
    }
    let used = |bench: &Bench| bench.scheduler.pool_uses()["pool"];
    assert!(!used(&bench).is_full(), "{:?}", used(&bench));
    for at in HALF..2 * HALF {
        bench.agent(at, AgentMessage::LeasesExpired);
    }
    assert!(used(&bench).is_full(), "{:?}", used(&bench));
    for at in HALF..2 * HALF {
        bench.list(at, vec![]);
    }
    assert!(!used(&bench).is_full(), "{:?}", used(&bench));
}

/// Guards against services that lose their protection for ever, since workers that are gone count as room.
#[test]
fn workers_whose_hold_has_passed_do_not_count() {
    let mut bench = Bench::with_options(default_times());
    let services = join_reserving(&mut bench, HALF, 2_700);
    for at in HALF..2 * HALF {
        bench.join(at, report(at, 7));
        bench.feed(Input::Unlinked(node(at)));
    }
    let used = |bench: &Bench| bench.scheduler.pool_uses()["pool"];
    assert!(!used(&bench).is_full(), "{:?}", used(&bench));
    let filled = time_until(&mut bench, ENDLESS_MS, |bench, _| {
        measure(bench, &services);
        used(bench).is_full()
    });
    let hold_ms = default_times().agent_hold.as_millis() as u64;
    let in_time = filled
        .is_some_and(|time| (hold_ms - IDLE_BOUND_MS..=hold_ms + IDLE_BOUND_MS).contains(&time));
    assert!(in_time, "{filled:?} ms");
}
