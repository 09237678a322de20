//! Changes of jobs whose state is no longer kept.

use super::scheduler::{Bench, options, starts};
use super::*;

/// Guards against a completed job that is shown as cancelled: a cancellation that arrives after
/// the state was dropped added the job anew, without its progress.
#[test]
fn a_change_of_an_ended_job_does_not_add_it_again() {
    let mut bench = Bench::with_workers(1);
    let run = starts(&bench.submit(1, job(vec![step(1, &[])]), 11))[0].1;
    let out = bench.end(0, 1, run, EndReason::Done);
    for output in out {
        if let Output::Save { job, version, .. } = output {
            bench.feed(Input::Saved { job, version });
        }
    }
    assert_eq!(bench.scheduler.state(JobId(1)), Some(JobState::Completed));
    bench.wait(20);
    bench.wait(options().ended_retention.as_millis() as u64);
    assert_eq!(bench.scheduler.state(JobId(1)), None, "no longer kept");
    let mut cancelled = job(vec![step(1, &[])]);
    cancelled.cancelled = true;
    bench.submit(1, cancelled, 11);
    assert_eq!(bench.scheduler.state(JobId(1)), None);
}
