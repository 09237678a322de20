//! Messages of an agent that are older than an order on its way to it.

use super::scheduler::{Bench, starts};
use super::*;

/// What the owner has received of a run before its worker's leases are reported as expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shown {
    Nothing,
    Listed,
    Measured,
}

/// Guards against a run that is started twice: its order reaches the agent after the agent has
/// reported expired leases and listed its runs again, and the owner, which reads that report
/// later, takes the run for ended.
#[test]
fn expired_leases_do_not_end_a_run_whose_order_may_be_on_its_way() {
    struct Case {
        shown: Shown,
        /// Whether the run is taken for ended at once.
        ends: bool,
    }
    let cases = [
        Case {
            shown: Shown::Nothing,
            ends: false,
        },
        Case {
            shown: Shown::Listed,
            ends: true,
        },
        Case {
            shown: Shown::Measured,
            ends: true,
        },
    ];
    for Case { shown, ends } in cases {
        let mut bench = Bench::with_workers(1);
        let first = starts(&bench.submit(1, job(vec![step(1, &[])]), 11))[0].1;
        bench.join(1, report(1, 7));
        match shown {
            Shown::Nothing => {}
            Shown::Listed => drop(bench.list(0, vec![first])),
            Shown::Measured => drop(bench.agent(0, measured(first))),
        }
        let out = bench.agent(0, AgentMessage::LeasesExpired);
        assert_eq!(!starts(&out).is_empty(), ends, "{shown:?}: {out:?}");
    }
}

/// Guards against a task that waits for ever, or runs twice, after its worker's leases were
/// reported as expired: the listing on a new link tells whether the run has started.
#[test]
fn a_new_link_shows_whether_an_order_on_its_way_was_carried_out() {
    for carried_out in [false, true] {
        let mut bench = Bench::with_workers(1);
        let first = starts(&bench.submit(1, job(vec![step(1, &[])]), 11))[0].1;
        let out = bench.agent(0, AgentMessage::LeasesExpired);
        assert!(out.contains(&Output::Relink(node(0))), "{out:?}");
        let late = bench.list(0, vec![]);
        assert!(starts(&late).is_empty(), "a listing on the old link");
        bench.feed(Input::Unlinked(node(0)));
        bench.feed(Input::Linked(node(0)));
        bench.agent(0, AgentMessage::Report(report(0, 7)));
        let listed = if carried_out { vec![first] } else { vec![] };
        let out = bench.list(0, listed);
        assert_eq!(starts(&out).is_empty(), carried_out, "{out:?}");
    }
}

fn measured(run: RunRef) -> AgentMessage {
    AgentMessage::Measurements(vec![RunStatus {
        run,
        checkpoint: String::new(),
        percent: 10,
        measurement: 0,
    }])
}
