//! Accounts of ended jobs: what their time was lost to.

use super::scheduler::Bench;
use super::*;

fn accounts(out: &[Output]) -> Vec<JobAccount> {
    let account = |output: &Output| match output {
        Output::JobEnded(account) => Some(account.clone()),
        _ => None,
    };
    out.iter().filter_map(account).collect()
}

/// Guards against a late job of which nothing says whether it waited, was throttled, or worked
/// in vain.
#[test]
fn an_ended_job_has_one_account_of_its_time() {
    struct Case {
        name: &'static str,
        /// Time until the first run ends, and how it ends.
        first: (u64, EndReason),
        /// Time until the second one ends `done`.
        second_ms: Option<u64>,
        outcome: JobOutcome,
        worked: u64,
        vain: u64,
    }
    let in_time = Case {
        name: "one run, in time",
        first: (1_000, EndReason::Done),
        second_ms: None,
        outcome: JobOutcome::InTime,
        worked: 1_000,
        vain: 0,
    };
    let cases = [
        Case {
            name: "a run that was stopped",
            first: (700, EndReason::Stopped),
            second_ms: Some(1_000),
            worked: 1_000,
            vain: 700,
            ..in_time
        },
        Case {
            name: "late",
            first: (6_000, EndReason::Stopped),
            second_ms: Some(1_000),
            outcome: JobOutcome::Late,
            worked: 1_000,
            vain: 6_000,
        },
        Case {
            name: "without value",
            first: (20_000, EndReason::Stopped),
            second_ms: Some(1_000),
            outcome: JobOutcome::Worthless,
            worked: 1_000,
            vain: 20_000,
        },
        in_time,
    ];
    for case in cases {
        let mut bench = Bench::with_workers(1);
        bench.submit(1, job(vec![step(1, &[])]), 11);
        bench.wait(case.first.0);
        let mut out = bench.end(0, 1, run(1, 0, 0, 1), case.first.1);
        if let Some(second_ms) = case.second_ms {
            bench.wait(second_ms);
            out = bench.end(0, 2, run(1, 0, 0, 2), EndReason::Done);
        }
        let accounts = accounts(&out);
        assert_eq!(accounts.len(), 1, "{}", case.name);
        let account = &accounts[0];
        let close = |time: u64, expected: u64| time.abs_diff(expected) <= 100;
        assert_eq!(account.outcome, case.outcome, "{}", case.name);
        let times = account.task_ms;
        assert!(close(times.worked, case.worked), "{}: {times:?}", case.name);
        assert!(close(times.vain, case.vain), "{}: {times:?}", case.name);
        assert!(close(times.waited, 0), "{}: {times:?}", case.name);
        assert_eq!(times.throttled, 0, "{}", case.name);
    }
}

/// Guards against waits and stragglers that no account shows.
#[test]
fn waits_and_stragglers_are_accounted() {
    let mut bench = Bench::with_workers(1);
    // Four of the five tasks fit on the worker.
    bench.submit(1, job(vec![step(5, &[])]), 11);
    bench.wait(1_000);
    for index in 0..4 {
        bench.end(
            0,
            u64::from(index) + 1,
            run(1, 0, index, 1),
            EndReason::Done,
        );
    }
    bench.wait(2_000);
    let out = bench.end(0, 5, run(1, 0, 4, 1), EndReason::Done);
    let account = &accounts(&out)[0];
    let close = |time: u64, expected: u64| time.abs_diff(expected) <= 200;
    assert!(close(account.task_ms.waited, 1_000), "{account:?}");
    assert!(close(account.straggled_ms, 2_000), "{account:?}");
}
