//! Shortage: bursts of large best-effort jobs that request far more processors than there are.
//!
//! Pattern of the load: memory admits several times as many best-effort tasks as the workers
//! have processors for. If all of them run at once, each takes several times its run time and
//! all jobs are late; if those that are nearly late go first, few others are on time.

use super::scheduler::{Bench, options, starts};
use super::*;
use crate::configs::{BestEffortConfig, BestEffortOrder};

/// A scheduler with one worker of 4 processors and memory for 8 tasks.
fn bench(best_effort: BestEffortConfig, policy: QueuePolicy) -> Bench {
    let mut bench = Bench::with_options(SchedulerOptions {
        best_effort,
        ..options()
    });
    bench.feed(Input::Queues(Arc::new(QueueTable::new(
        2,
        1 << 18,
        vec![policy],
    ))));
    bench.join(0, report(0, 7));
    bench
}

fn best_effort(count: u32, cpu: u64) -> StepSpec {
    StepSpec {
        best_effort: true,
        need: need(cpu, 1_000),
        image: Some("rebuild".into()),
        ..step(count, &[])
    }
}

/// Job of a queue with this priority.
fn job_of(policy: &QueuePolicy, step: StepSpec) -> JobRecord {
    let mut record = job(vec![step]);
    record.spec.queue = Arc::new(policy.clone());
    record
}

/// Guards against workers that run several times the best-effort tasks that their processors
/// can serve.
#[test]
fn best_effort_tasks_request_few_more_processors_than_there_are() {
    struct Case {
        name: &'static str,
        cpu_limit: Option<u32>,
        /// Processors of each task, in thousandths.
        cpu: u64,
        /// Processors reserved by other tasks there, in thousandths.
        others: u64,
        started: usize,
    }
    let free = Case {
        name: "no limit: as many as memory admits",
        cpu_limit: None,
        cpu: 1_000,
        others: 0,
        started: 8,
    };
    let cases = [
        Case {
            name: "limit of 130%: 5 of 4 processors",
            cpu_limit: Some(130),
            started: 5,
            ..free
        },
        Case {
            name: "batch tasks use their reservation",
            cpu_limit: Some(130),
            others: 2_000,
            started: 3,
            ..free
        },
        Case {
            name: "a task above the limit runs alone",
            cpu_limit: Some(100),
            cpu: 9_000,
            started: 1,
            ..free
        },
        free,
    ];
    for case in cases {
        let config = BestEffortConfig {
            cpu_limit: case.cpu_limit,
            ..BestEffortConfig::default()
        };
        let mut bench = bench(config, queue());
        if case.others > 0 {
            let others = StepSpec {
                need: need(case.others, 1),
                long_running: true,
                ..step(1, &[])
            };
            bench.submit(1, job_of(&queue(), others), 11);
        }
        let large = job_of(&queue(), best_effort(8, case.cpu));
        let out = bench.submit(2, large, 12);
        let started = starts(&out).len();
        assert_eq!(started, case.started, "{}", case.name);
    }
}

/// Guards against an order in which a burst of large jobs delays all others until most are late.
#[test]
fn least_remaining_work_goes_first_in_queues_that_yield() {
    struct Case {
        name: &'static str,
        order: BestEffortOrder,
        priority: u32,
        first: u64,
    }
    let cases = [
        Case {
            name: "the small job of a queue that yields",
            order: BestEffortOrder::RemainingWork,
            priority: 2,
            first: 3,
        },
        Case {
            name: "a queue of the highest priority keeps its order",
            order: BestEffortOrder::RemainingWork,
            priority: 0,
            first: 2,
        },
        Case {
            name: "by the latest start without the setting",
            order: BestEffortOrder::LatestStart,
            priority: 2,
            first: 2,
        },
    ];
    for case in cases {
        let config = BestEffortConfig {
            order: case.order,
            cpu_limit: Some(100),
        };
        let policy = QueuePolicy {
            priority: case.priority,
            ..queue()
        };
        let mut bench = bench(config, policy.clone());
        bench.submit(1, job_of(&policy, best_effort(4, 1_000)), 11);
        bench.submit(2, job_of(&policy, best_effort(8, 1_000)), 12);
        bench.submit(3, job_of(&policy, best_effort(2, 1_000)), 13);
        let out = bench.end(0, 1, run(1, 0, 0, 1), EndReason::Done);
        let started: Vec<u64> = starts(&out).iter().map(|(_, run)| run.task.job.0).collect();
        assert_eq!(started, [case.first], "{}", case.name);
    }
}

/// Guards against late jobs that take the capacity of those that can still be on time.
#[test]
fn late_jobs_follow_those_on_time() {
    let config = BestEffortConfig {
        order: BestEffortOrder::RemainingWork,
        cpu_limit: Some(100),
    };
    let policy = QueuePolicy {
        priority: 2,
        ..queue()
    };
    let mut bench = bench(config, policy.clone());
    bench.submit(1, job_of(&policy, best_effort(4, 1_000)), 11);
    bench.submit(2, job_of(&policy, best_effort(1, 1_000)), 12);
    bench.wait(4_000);
    let mut fresh = job_of(&policy, best_effort(8, 1_000));
    fresh.spec.submitted_ms = 4_000;
    bench.submit(3, fresh, 13);
    let out = bench.end(0, 1, run(1, 0, 0, 1), EndReason::Done);
    let started: Vec<u64> = starts(&out).iter().map(|(_, run)| run.task.job.0).collect();
    assert_eq!(started, [3]);
}

/// Guards against large best-effort tasks that never start, since no worker has headroom for
/// their full CPU share, although it suffices for a large part of it.
#[test]
fn a_large_task_starts_at_the_cpu_share_that_the_headroom_permits() {
    struct Case {
        name: &'static str,
        /// Processors of the task, in thousandths.
        cpu: u64,
        /// CPU share that is ordered with its start, in percent; none if it doesn't start.
        share: Option<u32>,
    }
    let cases = [
        Case {
            name: "headroom for all of it",
            cpu: 1_500,
            share: Some(100),
        },
        Case {
            name: "headroom for most of it",
            cpu: 3_250,
            share: Some(80),
        },
        Case {
            name: "headroom for less than two fifths",
            cpu: 5_500,
            share: None,
        },
    ];
    for case in cases {
        let mut bench = bench(BestEffortConfig::default(), queue());
        let service = StepSpec {
            long_running: true,
            target_ms: 150,
            image: Some("service".into()),
            ..step(1, &[])
        };
        bench.submit(1, job_of(&queue(), service), 11);
        let large = job_of(&queue(), best_effort(1, case.cpu));
        let out = bench.submit(2, large, 12);
        let throttled = out.iter().find_map(|output| match output {
            Output::Order(_, OrderMessage::Throttle { cpu_share, .. }) => Some(*cpu_share),
            _ => None,
        });
        let share = (!starts(&out).is_empty()).then_some(throttled.unwrap_or(100));
        assert_eq!(share, case.share, "{}", case.name);
    }
}
