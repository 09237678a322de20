//! Tests of the recovery's bookkeeping.

use super::*;
use crate::types::{TaskName, TeamName};

fn task(name: &str) -> TaskKey {
    TaskKey {
        team: TeamName::new("demo").unwrap(),
        task: TaskName::new(name).unwrap(),
    }
}

struct Case {
    what: &'static str,
    open: &'static [&'static str],
    blind: Option<u64>,
    heard: &'static [&'static str],
    waited: &'static [&'static str],
    now: u64,
    done: Option<(u64, u64)>,
}

#[test]
fn a_recovery_ends_when_all_is_known() {
    let cases = [
        Case {
            what: "nothing was running",
            open: &[],
            blind: None,
            heard: &[],
            waited: &[],
            now: 10,
            done: Some((0, 0)),
        },
        Case {
            what: "one of two is missing",
            open: &["a", "b"],
            blind: None,
            heard: &["a"],
            waited: &[],
            now: 99,
            done: None,
        },
        Case {
            what: "one heard twice, one out-waited",
            open: &["a", "b"],
            blind: None,
            heard: &["a", "a"],
            waited: &["b"],
            now: 40,
            done: Some((1, 1)),
        },
        Case {
            what: "blind although all have reported",
            open: &["a"],
            blind: Some(41),
            heard: &["a"],
            waited: &[],
            now: 40,
            done: None,
        },
        Case {
            what: "blind until now",
            open: &[],
            blind: Some(40),
            heard: &[],
            waited: &[],
            now: 40,
            done: Some((0, 0)),
        },
    ];
    for case in cases {
        let open = case.open.iter().map(|name| task(name)).collect();
        let blind = case.blind.map(Time::from_secs);
        let mut recovery = Recovery::new(Time::from_secs(10), open, blind);
        case.heard
            .iter()
            .for_each(|n| recovery.mark_reported(&task(n)));
        case.waited
            .iter()
            .for_each(|n| recovery.mark_expired(&task(n)));
        let expected = case.done.map(|(heard, waited)| Recovered {
            duration: Duration::from_secs(case.now - 10),
            reported: heard,
            expired: waited,
        });
        let now = Time::from_secs(case.now);
        assert_eq!(recovery.poll(now), expected, "{}", case.what);
        assert_eq!(recovery.poll(now), None, "{}: told twice", case.what);
    }
}

#[test]
fn a_blind_owner_decides_about_no_task() {
    let mut recovery = Recovery::new(Time::ZERO, BTreeSet::new(), Some(Time::from_secs(30)));
    assert!(recovery.is_unresolved(&task("any")));
    recovery.poll(Time::from_secs(30));
    assert!(!recovery.is_unresolved(&task("any")));
}
