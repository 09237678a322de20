//! Tests of the forecast and of the admission control of entries.

use std::collections::BTreeSet;
use std::time::Duration;

use super::scheduler::Bench;
use super::*;
use crate::types::Time;

/// Age from which on the tests' entries don't use a forecast.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Run time of a task of a large job.
const LARGE_MS: u64 = 2_000;
/// Best-effort work per millisecond in the tests' forecasts, in thousandths of a processor.
const RATE: u64 = 40_000;

/// A best-effort job of `count` tasks, each of which occupies a whole worker for `run_ms`.
fn large(count: u32, run_ms: u64) -> JobRecord {
    let mut record = job(vec![StepSpec {
        need: need(4_000, 8_000),
        estimate_ms: run_ms,
        best_effort: true,
        ..step(count, &[])
    }]);
    record.spec.queue = Arc::new(QueuePolicy {
        name: QueueName("batch".into()),
        priority: 2,
        ..queue()
    });
    record
}

/// Backlog of on-time jobs of `size` that occupies the fleet for `millis`.
fn backlog(size: u64, millis: u64) -> Vec<BacklogGroup> {
    vec![BacklogGroup {
        late: false,
        priority: 2,
        size: Work(size),
        work: Work(RATE * millis),
    }]
}

fn forecast(backlog: Vec<BacklogGroup>) -> Forecast {
    Forecast {
        pools: vec![PoolForecast {
            pool: "pool".into(),
            rate: RATE,
            other_rate: 0,
            waiting: need(4_000, 8_000),
            backlog,
        }],
        ..Forecast::default()
    }
}

fn entry(sent: Time, forecast: Forecast) -> AdmissionControl {
    let mut entry = AdmissionControl::new(MAX_AGE);
    entry.update(sent, forecast);
    entry
}

fn is_accepted(decision: Decision) -> bool {
    decision == Decision::Accept
}

/// Guards against refusals in cases of doubt, and of jobs that the forecast doesn't cover: a
/// refused job is lost for its client.
#[test]
fn only_hopeless_jobs_are_refused() {
    struct Case {
        what: &'static str,
        change: fn(&mut JobSpec),
        forecast: fn(&mut Forecast),
        accepted: bool,
    }
    fn same<T>(_: &mut T) {}
    let cases = [
        Case {
            what: "hopeless job",
            change: same,
            forecast: same,
            accepted: false,
        },
        Case {
            what: "highest priority",
            change: |spec| Arc::make_mut(&mut spec.queue).priority = 0,
            forecast: same,
            accepted: true,
        },
        Case {
            what: "higher priority than the backlog",
            change: |spec| Arc::make_mut(&mut spec.queue).priority = 1,
            forecast: same,
            accepted: true,
        },
        Case {
            what: "long objective",
            change: |spec| Arc::make_mut(&mut spec.queue).stretch_percent = 1_000,
            forecast: same,
            accepted: true,
        },
        Case {
            what: "service",
            change: |spec| spec.steps[0].long_running = true,
            forecast: same,
            accepted: true,
        },
        Case {
            what: "scheduled job",
            change: |spec| {
                spec.repeat = Some(Repeat {
                    count: 1,
                    start_ms: 0,
                    interval_ms: 1,
                });
            },
            forecast: same,
            accepted: true,
        },
        Case {
            what: "not best-effort",
            change: |spec| spec.steps[0].best_effort = false,
            forecast: same,
            accepted: true,
        },
        Case {
            what: "workers with a label",
            change: |spec| spec.steps[0].required_label = Some("kind".into()),
            forecast: same,
            accepted: true,
        },
        Case {
            what: "tasks smaller than those that wait",
            change: |spec| spec.steps[0].need = need(3_000, 8_000),
            forecast: same,
            accepted: true,
        },
        Case {
            what: "less work than the jobs in the backlog",
            change: |spec| spec.steps[0].count = 1,
            forecast: same,
            accepted: true,
        },
        Case {
            what: "other pool",
            change: |spec| Arc::make_mut(&mut spec.queue).service = "other".into(),
            forecast: same,
            accepted: true,
        },
        Case {
            what: "no pool is saturated",
            change: same,
            forecast: |forecast| forecast.pools.clear(),
            accepted: true,
        },
        Case {
            what: "a submission has an unknown outcome",
            change: same,
            forecast: |forecast| forecast.uncertain = true,
            accepted: true,
        },
        Case {
            what: "estimates are too high by a factor",
            change: same,
            forecast: |forecast| {
                forecast.queues = vec![QueueEstimate {
                    queue: QueueName("batch".into()),
                    percent: 25,
                }];
            },
            accepted: true,
        },
        Case {
            what: "the backlog is late and the job would be on time before it",
            change: same,
            forecast: |forecast| forecast.pools[0].backlog[0].late = true,
            accepted: true,
        },
        Case {
            what: "late jobs go before a job that will be late",
            change: same,
            forecast: |forecast| {
                let mut late = forecast.pools[0].backlog[0].clone();
                late.late = true;
                forecast.pools[0].backlog[0].work = Work(RATE * 10_000);
                forecast.pools[0].backlog.push(late);
            },
            accepted: false,
        },
    ];
    for case in cases {
        let mut spec = large(10, LARGE_MS).spec;
        (case.change)(&mut spec);
        let mut forecast = forecast(backlog(10 * LARGE_MS * 4_000, 25_000));
        (case.forecast)(&mut forecast);
        let now = Time::from_secs(5);
        let decision = entry(now, forecast).decide(now, JobId(1), &spec, 0);
        assert_eq!(is_accepted(decision), case.accepted, "{}", case.what);
    }
}

/// Guards against decisions by an owner that is gone: its forecast says nothing about the
/// backlog of its successor.
#[test]
fn a_forecast_is_used_up_to_its_age() {
    struct Case {
        what: &'static str,
        /// Age when the owner answered.
        age_ms: u64,
        /// Time since the request.
        passed_ms: u64,
        accepted: bool,
    }
    let cases = [
        Case {
            what: "new",
            age_ms: 0,
            passed_ms: 10,
            accepted: false,
        },
        Case {
            what: "both ages are below the limit",
            age_ms: 400,
            passed_ms: 1_500,
            accepted: false,
        },
        Case {
            what: "the owner does not answer any more",
            age_ms: 0,
            passed_ms: 2_000,
            accepted: true,
        },
        Case {
            what: "the sum is at the limit",
            age_ms: 400,
            passed_ms: 1_600,
            accepted: true,
        },
    ];
    let spec = large(10, LARGE_MS).spec;
    for case in cases {
        let sent = Time::from_secs(9);
        let mut forecast = forecast(backlog(1, 40_000));
        forecast.age_ms = case.age_ms;
        let now = sent.after(Duration::from_millis(case.passed_ms));
        let decision = entry(sent, forecast).decide(now, JobId(1), &spec, 0);
        assert_eq!(is_accepted(decision), case.accepted, "{}", case.what);
    }
    let decision = AdmissionControl::new(MAX_AGE).decide(Time::from_secs(9), JobId(1), &spec, 0);
    assert!(is_accepted(decision), "without a forecast");
}

/// Guards against an answer of the previous owner that arrives after the first one of its
/// successor.
#[test]
fn a_late_answer_does_not_replace_a_newer_forecast() {
    let spec = large(10, LARGE_MS).spec;
    let now = Time::from_secs(9);
    let mut entry = entry(now, Forecast::default());
    entry.update(Time::from_secs(8), forecast(backlog(1, 40_000)));
    assert!(is_accepted(entry.decide(now, JobId(1), &spec, 0)));
}

/// Guards against clients that are refused together and return together: the fleet would be
/// idle until then and overloaded afterwards.
#[test]
fn refused_clients_return_at_different_times() {
    let spec = large(10, LARGE_MS).spec;
    let now = Time::from_secs(5);
    let mut entry = entry(now, forecast(backlog(1, 30_000)));
    let mut seconds = BTreeSet::new();
    for id in 0..200 {
        // A number with the golden ratio spreads evenly.
        let random = (id + 1_u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        match entry.decide(now, JobId(id), &spec, random) {
            Decision::Refuse(refusal) => {
                let retry_after = refusal.retry_after;
                assert!(retry_after >= Duration::from_secs(1), "{retry_after:?}");
                assert!(retry_after <= Duration::from_secs(40), "{retry_after:?}");
                seconds.insert(retry_after.as_millis().div_ceil(1_000));
            }
            Decision::Accept => panic!("job {id} is hopeless"),
        }
    }
    assert!(seconds.len() >= 4, "{seconds:?}");
}

/// The rule of the platform: the largest tenth and the fifth below it are served at least
/// half as often as all jobs. Least remaining work first alone would refuse only these.
#[test]
fn the_largest_jobs_are_accepted_half_as_often_as_all() {
    let now = Time::from_secs(5);
    // Enough work that a third of the jobs is hopeless by its size.
    let mut entry = entry(now, forecast(backlog(7 * LARGE_MS * 4_000, 40_000)));
    let mut accepted = [0_u32; 10];
    let mut refused = 0;
    for id in 0..400_u32 {
        let rank = id % 10;
        let spec = large(rank + 1, LARGE_MS).spec;
        match entry.decide(now, JobId(id.into()), &spec, 0) {
            Decision::Accept => accepted[rank as usize] += 1,
            Decision::Refuse(_) => {
                entry.refused(&spec);
                refused += 1;
            }
        }
    }
    let all: u32 = accepted.iter().sum();
    let share = f64::from(all) / 400.0;
    assert!(refused > 0, "the test refuses nothing");
    let largest = f64::from(accepted[9]) / 40.0;
    let next = f64::from(accepted[7] + accepted[8]) / 80.0;
    assert!(largest >= share / 2.0, "{largest} of {share}");
    assert!(next >= share / 2.0, "{next} of {share}");
}

/// Guards against a copy of an accepted submission that is refused: its client would take the
/// job for not accepted while it runs.
#[test]
fn a_copy_of_an_accepted_submission_is_accepted() {
    let spec = large(10, LARGE_MS).spec;
    let now = Time::from_secs(5);
    let mut entry = entry(now, forecast(Vec::new()));
    assert!(is_accepted(entry.decide(now, JobId(1), &spec, 0)));
    let later = now.after(Duration::from_secs(3));
    entry.update(later, forecast(backlog(1, 60_000)));
    assert!(is_accepted(entry.decide(later, JobId(1), &spec, 0)));
    assert!(!is_accepted(entry.decide(later, JobId(2), &spec, 0)));
}

/// A fleet of four workers that has received a burst of large jobs.
fn overloaded(jobs: u64) -> Bench {
    let mut bench = Bench::with_workers(4);
    for id in 0..jobs {
        bench.submit(id + 1, large(20, LARGE_MS), 20);
    }
    bench
}

/// Polls the forecast for some seconds, as entries do.
fn poll(bench: &mut Bench, millis: u64) -> Forecast {
    for _ in 0..millis / 500 {
        bench.forecast(false);
        bench.wait(500);
    }
    bench.forecast(false)
}

/// Guards against refusals by a rate that says nothing: right after a change of owner, or
/// while the fleet has spare capacity.
#[test]
fn a_pool_is_forecast_only_while_tasks_wait_for_capacity() {
    struct Case {
        what: &'static str,
        jobs: u64,
        millis: u64,
        forecast: bool,
    }
    let cases = [
        Case {
            what: "first seconds",
            jobs: 9,
            millis: 1_000,
            forecast: false,
        },
        Case {
            what: "capacity is free",
            jobs: 0,
            millis: 5_000,
            forecast: false,
        },
        Case {
            what: "tasks wait",
            jobs: 9,
            millis: 5_000,
            forecast: true,
        },
    ];
    for case in cases {
        let mut bench = overloaded(case.jobs);
        let forecast = poll(&mut bench, case.millis);
        assert_eq!(!forecast.pools.is_empty(), case.forecast, "{}", case.what);
    }
    let mut bench = overloaded(0);
    let mut giant = large(20, LARGE_MS);
    giant.spec.steps[0].need = need(4_000, 80_000);
    bench.submit(1, giant, 20);
    let forecast = poll(&mut bench, 5_000);
    assert_eq!(forecast.pools, [], "a job that fits on no worker");
}

/// Guards against an owner that hides a possible late write from the other entries.
#[test]
fn an_uncertain_entry_stops_refusals_of_all_for_a_while() {
    let mut bench = overloaded(9);
    assert!(!poll(&mut bench, 4_000).uncertain);
    assert!(bench.forecast(true).uncertain, "the asking entry");
    assert!(bench.forecast(false).uncertain, "another entry");
    assert!(
        !poll(&mut bench, 5_500).uncertain,
        "after the time has passed"
    );
}

/// A burst of large jobs at three entries between two forecasts: each counts what it has
/// accepted itself, the large jobs beyond the fleet's capacity are refused, and small ones
/// are accepted all along.
#[test]
fn a_burst_of_hopeless_jobs_is_refused_and_small_jobs_are_not() {
    let mut bench = overloaded(6);
    let forecast = poll(&mut bench, 4_000);
    let now = bench.now();
    let mut accepted = 0;
    for number in 0..3 {
        let mut entry = entry(now, forecast.clone());
        for id in 0..40 {
            let id = 1_000 * (number + 1) + id;
            let spec = large(20, LARGE_MS).spec;
            if is_accepted(entry.decide(now, JobId(id), &spec, 0)) {
                accepted += 1;
            } else {
                entry.refused(&spec);
            }
            let small = large(1, 500).spec;
            let decision = entry.decide(now, JobId(id + 100_000), &small, 0);
            assert!(is_accepted(decision), "small job {id}");
        }
    }
    // Large jobs are among the largest of their queue here, so a share is always accepted.
    assert!(accepted > 0, "the fleet still has time for some of them");
    assert!(
        accepted < 80,
        "{accepted} of 120 hopeless jobs were accepted"
    );
}
