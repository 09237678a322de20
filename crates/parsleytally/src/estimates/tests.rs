//! Tests of size and run-time estimates.

use super::*;

const GIB: u64 = 1 << 30;
const WORKER_CAPACITY: Resources = Resources::new(16_000, 60 * GIB, 0);

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
    min: Resources,
    max: Resources,
}

#[test]
fn sizes_follow_usage_and_shrink_only_with_enough_samples() {
    let declared = Resources::new(4_000, 8 * GIB, 0);
    let cases = [
        SizeCase {
            name: "no samples",
            runs: 0,
            peak: declared,
            killed: false,
            min: declared,
            max: declared,
        },
        SizeCase {
            name: "few small runs don't lower the size",
            runs: 7,
            peak: Resources::new(1_000, GIB, 0),
            killed: false,
            min: declared,
            max: declared,
        },
        SizeCase {
            name: "one large run raises the size",
            runs: 1,
            peak: Resources::new(8_000, 12 * GIB, 0),
            killed: false,
            min: Resources::new(8_000, 12 * GIB, 0),
            max: Resources::new(9_000, 14 * GIB, 0),
        },
        SizeCase {
            name: "many small runs lower the size",
            runs: 64,
            peak: Resources::new(1_000, GIB, 0),
            killed: false,
            min: Resources::new(1_000, GIB, 0),
            max: Resources::new(1_600, 2 * GIB, 0),
        },
        SizeCase {
            name: "an out-of-memory kill raises the memory",
            runs: 1,
            peak: declared,
            killed: true,
            min: Resources::new(4_000, 12 * GIB, 0),
            max: Resources::new(4_000, 12 * GIB, 0),
        },
        SizeCase {
            name: "a size is limited to the worker's capacity",
            runs: 64,
            peak: Resources::new(90_000, 300 * GIB, 0),
            killed: false,
            min: WORKER_CAPACITY,
            max: WORKER_CAPACITY,
        },
    ];
    for case in cases {
        let mut estimates = Estimates::new(EstimatesConfig::default());
        for _ in 0..case.runs {
            let mut usage = usage(case.peak);
            usage.oom_killed = case.killed;
            estimates.step(Time::ZERO, usage);
        }
        let size = estimates.size("c", &declared, &WORKER_CAPACITY);
        let in_range = case.min.fits(&size) && size.fits(&case.max);
        assert!(in_range, "{}: {size}", case.name);
    }
}

#[test]
fn declaration_above_every_worker_is_kept() {
    let mut estimates = Estimates::new(EstimatesConfig::default());
    for _ in 0..64 {
        estimates.step(Time::ZERO, usage(Resources::new(100, GIB, 0)));
    }
    let huge = Resources::new(64_000, GIB, 0);
    assert_eq!(estimates.size("c", &huge, &WORKER_CAPACITY), huge);
}

#[test]
fn run_times_follow_the_median_of_enough_runs() {
    let mut estimates = Estimates::new(EstimatesConfig::default());
    let declared = Duration::from_secs(100);
    for _ in 0..7 {
        estimates.step(Time::ZERO, usage(WORKER_CAPACITY));
    }
    assert_eq!(estimates.run_time("c", declared), declared);
    estimates.step(Time::ZERO, usage(WORKER_CAPACITY));
    assert_eq!(estimates.run_time("c", declared), 3 * declared);
}

#[test]
fn the_number_of_classes_is_bounded() {
    let mut estimates = Estimates::new(EstimatesConfig {
        classes: 2,
        ..EstimatesConfig::default()
    });
    for at in 0..5_u64 {
        let mut usage = usage(WORKER_CAPACITY);
        usage.class = format!("c{at}").into();
        estimates.step(Time::from_secs(at), usage);
    }
    let mut kept = estimates.classes.keys().map(|c| &**c).collect::<Vec<_>>();
    kept.sort_unstable();
    assert_eq!(kept, ["c3", "c4"]);
}

struct PredictorCase {
    name: &'static str,
    /// Declared and used memory of the earlier runs, repeated in this order, in GiB.
    samples: [(u64, u64); 4],
    /// Declared memory of the next task and the range of its size, in GiB.
    next: (u64, u64, u64),
}

#[test]
fn predictor_that_varies_less_is_chosen() {
    let cases = [
        PredictorCase {
            name: "usages are alike, declarations differ",
            samples: [(2, 6), (18, 6), (3, 6), (12, 6)],
            next: (20, 6, 8),
        },
        PredictorCase {
            name: "usages are proportional to the declarations",
            samples: [(2, 1), (8, 4), (16, 8), (4, 2)],
            next: (20, 10, 12),
        },
    ];
    for case in cases {
        let mut estimates = Estimates::new(EstimatesConfig::default());
        for at in 0..64 {
            let (declared, used) = case.samples[at % 4];
            let mut usage = usage(Resources::new(1_000, used * GIB, 0));
            usage.declared.memory = Bytes(declared * GIB);
            estimates.step(Time::ZERO, usage);
        }
        let (declared, min, max) = case.next;
        let declared = Resources::new(1_000, declared * GIB, 0);
        let memory = estimates.size("c", &declared, &WORKER_CAPACITY).memory.0;
        let range = min * GIB..=max * GIB;
        assert!(range.contains(&memory), "{}: {memory}", case.name);
    }
}
