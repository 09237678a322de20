//! Tests of size and run-time estimates.

use super::*;

const GIB: u64 = 1 << 30;
const MOST: Resources = Resources::new(16_000, 60 * GIB, 0);

fn usage(peak: Resources) -> Usage {
    Usage {
        class: "c".into(),
        declared: Resources::new(4_000, 8 * GIB, 0),
        peak,
        oom_killed: false,
        declared_run_time: Duration::from_secs(100),
        run_time: Some(Duration::from_secs(300)),
    }
}

struct SizeCase {
    name: &'static str,
    runs: usize,
    peak: Resources,
    killed: bool,
    least: Resources,
    most: Resources,
}

#[test]
fn sizes_follow_what_was_seen_with_caution() {
    let declared = Resources::new(4_000, 8 * GIB, 0);
    let cases = [
        SizeCase {
            name: "nothing seen",
            runs: 0,
            peak: declared,
            killed: false,
            least: declared,
            most: declared,
        },
        SizeCase {
            name: "few small runs lower nothing",
            runs: 7,
            peak: Resources::new(1_000, GIB, 0),
            killed: false,
            least: declared,
            most: declared,
        },
        SizeCase {
            name: "one large run raises",
            runs: 1,
            peak: Resources::new(8_000, 12 * GIB, 0),
            killed: false,
            least: Resources::new(8_000, 12 * GIB, 0),
            most: Resources::new(9_000, 14 * GIB, 0),
        },
        SizeCase {
            name: "many small runs lower",
            runs: 64,
            peak: Resources::new(1_000, GIB, 0),
            killed: false,
            least: Resources::new(1_000, GIB, 0),
            most: Resources::new(1_600, 2 * GIB, 0),
        },
        SizeCase {
            name: "a killed run needs more than it had",
            runs: 1,
            peak: declared,
            killed: true,
            least: Resources::new(4_000, 12 * GIB, 0),
            most: Resources::new(4_000, 12 * GIB, 0),
        },
        SizeCase {
            name: "never past what the worker has",
            runs: 64,
            peak: Resources::new(90_000, 300 * GIB, 0),
            killed: false,
            least: MOST,
            most: MOST,
        },
    ];
    for case in cases {
        let mut estimates = Estimates::new(EstimatesConfig::default());
        for _ in 0..case.runs {
            let mut usage = usage(case.peak);
            usage.oom_killed = case.killed;
            estimates.step(Time::ZERO, usage);
        }
        let size = estimates.size("c", &declared, &MOST);
        let within = case.least.fits(&size) && size.fits(&case.most);
        assert!(within, "{}: {size}", case.name);
    }
}

#[test]
fn a_task_past_every_worker_is_not_squeezed_in() {
    let mut estimates = Estimates::new(EstimatesConfig::default());
    for _ in 0..64 {
        estimates.step(Time::ZERO, usage(Resources::new(100, GIB, 0)));
    }
    let huge = Resources::new(64_000, GIB, 0);
    assert_eq!(estimates.size("c", &huge, &MOST), huge);
}

#[test]
fn run_times_follow_the_median_of_enough_runs() {
    let mut estimates = Estimates::new(EstimatesConfig::default());
    let declared = Duration::from_secs(100);
    for _ in 0..7 {
        estimates.step(Time::ZERO, usage(MOST));
    }
    assert_eq!(estimates.run_time("c", declared), declared);
    estimates.step(Time::ZERO, usage(MOST));
    assert_eq!(estimates.run_time("c", declared), 3 * declared);
}

#[test]
fn the_number_of_classes_is_bounded() {
    let mut estimates = Estimates::new(EstimatesConfig {
        classes: 2,
        ..EstimatesConfig::default()
    });
    for at in 0..5_u64 {
        let mut usage = usage(MOST);
        usage.class = format!("c{at}").into();
        estimates.step(Time::from_secs(at), usage);
    }
    let mut kept = estimates.classes.keys().map(|c| &**c).collect::<Vec<_>>();
    kept.sort_unstable();
    assert_eq!(kept, ["c3", "c4"]);
}

struct Predictor {
    name: &'static str,
    /// Declared and used memory of earlier runs, in turn, in GiB.
    seen: [(u64, u64); 4],
    /// Declared memory of the next task, and the least and most that it may get.
    next: (u64, u64, u64),
}

#[test]
fn the_predictor_that_varies_less_is_taken() {
    let cases = [
        Predictor {
            name: "uses are alike and declarations are not",
            seen: [(2, 6), (18, 6), (3, 6), (12, 6)],
            next: (20, 6, 8),
        },
        Predictor {
            name: "uses follow the declarations",
            seen: [(2, 1), (8, 4), (16, 8), (4, 2)],
            next: (20, 10, 12),
        },
    ];
    for case in cases {
        let mut estimates = Estimates::new(EstimatesConfig::default());
        for at in 0..64 {
            let (declared, used) = case.seen[at % 4];
            let mut usage = usage(Resources::new(1_000, used * GIB, 0));
            usage.declared.memory = Bytes(declared * GIB);
            estimates.step(Time::ZERO, usage);
        }
        let (declared, least, most) = case.next;
        let declared = Resources::new(1_000, declared * GIB, 0);
        let memory = estimates.size("c", &declared, &MOST).memory.0;
        let range = least * GIB..=most * GIB;
        assert!(range.contains(&memory), "{}: {memory}", case.name);
    }
}
