//! Waits in pools that count as full, and what counts as used there.

use super::held_back::{
    IDLE_BOUND_MS, LASTING_BOUND_MS, TICK_MS, default_times, harmful_step, join_reserving, measure,
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
/// Time for which services keep their protection from best-effort jobs in a full pool, in milliseconds.
const FULL_LEAST_MS: u64 = 6_000;
/// Time within which a best-effort job with nothing running starts there, in milliseconds.
const FULL_BOUND_MS: u64 = 7_000;
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

/// Guards against LOST: a job counted as running for a run that no worker is known to have, so its other tasks waited.
#[test]
fn a_job_whose_only_run_is_not_known_to_go_on_starts_another_task() {
    struct Case {
        name: &'static str,
        /// Whether the run is seen at first, and its agent is lost then.
        lost: bool,
        bound_ms: u64,
    }
    let cases = [
        Case {
            name: "on a lost worker",
            lost: true,
            bound_ms: IDLE_BOUND_MS,
        },
        Case {
            name: "ordered, and never seen",
            lost: false,
            bound_ms: IDLE_BOUND_MS,
        },
    ];
    let mut late = Vec::new();
    for case in cases {
        let mut bench = Bench::with_options(default_times());
        let services = join_reserving(&mut bench, WORKERS, 1_000);
        bench.join(WORKERS, report(WORKERS, 7));
        let limited = StepSpec {
            max_per_worker: 1,
            ..harmful_step(2, false)
        };
        let out = bench.submit(1, job(vec![limited]), 30);
        assert_eq!(starts(&out), [(node(WORKERS), run(1, 0, 0, 1))]);
        if case.lost {
            bench.begin(&out);
            bench.list(WORKERS, vec![run(1, 0, 0, 1)]);
            time_until(&mut bench, IDLE_BOUND_MS, |bench, out| {
                assert!(starts(out).is_empty(), "{out:?}");
                measure(bench, &services);
                false
            });
            bench.feed(Input::Unlinked(node(WORKERS)));
        }
        let time = time_until(&mut bench, ENDLESS_MS, |bench, out| {
            let later = measure(bench, &services);
            !starts(out).is_empty() || !starts(&later).is_empty()
        });
        if time.is_none_or(|time| time > case.bound_ms) {
            late.push((case.name, time));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against a best-effort job that waits for ever in a pool that is full, and against one that starts there as
/// soon as in others, or with more than it must.
#[test]
fn a_best_effort_job_starts_in_a_full_pool_after_a_longer_wait() {
    struct Case {
        name: &'static str,
        reserved: u64,
        step: StepSpec,
        starts: usize,
    }
    let gang = StepSpec {
        gang: true,
        ..harmful_step(2, false)
    };
    let cases = [
        Case {
            name: "just full",
            reserved: 2_500,
            step: harmful_step(4, false),
            starts: 1,
        },
        Case {
            name: "all reserved",
            reserved: 4_000,
            step: harmful_step(4, false),
            starts: 1,
        },
        Case {
            name: "a gang",
            reserved: 3_000,
            step: gang,
            starts: 2,
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut bench = Bench::with_options(default_times());
        let mut placed = join_reserving(&mut bench, WORKERS, case.reserved);
        let services = placed.len();
        let out = bench.submit(1, job(vec![case.step]), 30);
        assert!(starts(&out).is_empty(), "it has to wait: {out:?}");
        let mut started = |bench: &mut Bench, out: &[Output]| {
            bench.begin(out);
            placed.extend(starts(out));
            let later = measure(bench, &placed);
            bench.begin(&later);
            placed.extend(starts(&later));
            placed.len() - services
        };
        let time = time_until(&mut bench, ENDLESS_MS, |bench, out| started(bench, out) > 0);
        let mut count = 0;
        time_until(&mut bench, LASTING_BOUND_MS, |bench, out| {
            count = started(bench, out);
            false
        });
        let in_time = time.is_some_and(|time| (FULL_LEAST_MS..=FULL_BOUND_MS).contains(&time));
        if !in_time || count != case.starts {
            wrong.push((case.name, time, count));
        }
    }
    assert!(wrong.is_empty(), "case, time, starts: {wrong:?}");
}

/// Guards against a wait without a bound for the only worker with room in a full pool, which is quarantined.
#[test]
fn a_quarantine_in_a_full_pool_ends() {
    const LONGEST_QUARANTINE_MS: u64 = 16_000;
    let mut bench = Bench::with_options(default_times());
    let services = join_reserving(&mut bench, WORKERS, 3_500);
    bench.join(WORKERS, report(WORKERS, 7));
    let mut ended = 0;
    for id in 100..110 {
        let mut out = bench.submit(id, job(vec![step(1, &[])]), 30);
        for _ in 0..3 * LONGEST_QUARANTINE_MS / TICK_MS {
            for (_, run) in starts(&std::mem::take(&mut out)) {
                ended += 1;
                out.extend(bench.end(WORKERS, ended, run, EndReason::Failed));
            }
            if ended == 2 * (id - 99) {
                break;
            }
            out.extend(bench.wait(TICK_MS));
        }
        measure(&mut bench, &services);
        assert_eq!(ended, 2 * (id - 99), "each job uses up its attempts");
    }
    let time = time_to_start(&mut bench, &services, step(1, &[]));
    let in_time = time.is_some_and(|time| time <= LONGEST_QUARANTINE_MS + IDLE_BOUND_MS);
    assert!(in_time, "{time:?} ms");
}
