//! What a new owner concludes of agents whose runs it does not know yet.

use super::scheduler::{Bench, starts};
use super::*;

/// Time after which runs of the predecessor have ended on an agent that is not linked.
const PREDECESSOR_HOLD_MS: u64 = 12_500;

/// Guards against tasks that run twice: a new owner waited for the hold of its predecessor only, though its
/// own answers had extended the hold of an agent that had not listed its runs.
#[test]
fn tasks_wait_while_the_own_hold_of_an_unlisted_agent_lasts() {
    struct Case {
        what: &'static str,
        /// What happens to the link just before the predecessor's hold has passed.
        link: Vec<Input>,
        /// Whether the task may start once that hold has passed.
        starts: bool,
    }
    let linked = || Input::Linked(node(1));
    let cases = [
        Case {
            what: "never linked",
            link: vec![],
            starts: true,
        },
        Case {
            what: "linked, and not listed yet",
            link: vec![linked()],
            starts: false,
        },
        Case {
            what: "linked and lost again",
            link: vec![linked(), Input::Unlinked(node(1))],
            starts: false,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.join(0, report(0, 7));
        bench.feed(Input::Expected(node(1)));
        bench.submit(1, job(vec![step(1, &[])]), 5);
        let before = bench.wait(PREDECESSOR_HOLD_MS - 1_500);
        assert_eq!(starts(&before), [], "{}", case.what);
        for input in case.link {
            bench.feed(input);
        }
        let after = bench.wait(2_000);
        assert_eq!(!starts(&after).is_empty(), case.starts, "{}", case.what);
    }
}
