//! Waits in pools that count as full, and what counts as used there.

use super::held_back::{
    LASTING_BOUND_MS, default_times, harmful_step, join_reserving, measure, time_until,
};
use super::scheduler::{Bench, starts};
use super::*;

/// Number of workers of each pool that is not divided.
const WORKERS: usize = 4;
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
