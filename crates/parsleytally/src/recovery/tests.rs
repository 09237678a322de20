//! Tests of recovery after a shard changes its owner.

use super::*;
use crate::types::{TaskName, TeamName};

fn task(name: &str) -> TaskKey {
    TaskKey {
        team: TeamName::new("demo").unwrap(),
        task: TaskName::new(name).unwrap(),
    }
}

struct Case {
    name: &'static str,
    unresolved: &'static [&'static str],
    incomplete_until: Option<u64>,
    reported: &'static [&'static str],
    lost: &'static [&'static str],
    now: u64,
    done: Option<(u64, u64)>,
}

#[test]
fn a_recovery_ends_when_every_task_is_resolved() {
    let cases = [
        Case {
            name: "nothing was running",
            unresolved: &[],
            incomplete_until: None,
            reported: &[],
            lost: &[],
            now: 10,
            done: Some((0, 0)),
        },
        Case {
            name: "one of two is unresolved",
            unresolved: &["a", "b"],
            incomplete_until: None,
            reported: &["a"],
            lost: &[],
            now: 99,
            done: None,
        },
        Case {
            name: "one reported twice, one lost",
            unresolved: &["a", "b"],
            incomplete_until: None,
            reported: &["a", "a"],
            lost: &["b"],
            now: 40,
            done: Some((1, 1)),
        },
        Case {
            name: "journal incomplete although all have reported",
            unresolved: &["a"],
            incomplete_until: Some(41),
            reported: &["a"],
            lost: &[],
            now: 40,
            done: None,
        },
        Case {
            name: "journal incomplete until now",
            unresolved: &[],
            incomplete_until: Some(40),
            reported: &[],
            lost: &[],
            now: 40,
            done: Some((0, 0)),
        },
    ];
    for case in cases {
        let unresolved = case.unresolved.iter().map(|name| task(name)).collect();
        let incomplete_until = case.incomplete_until.map(Time::from_secs);
        let mut recovery = Recovery::new(Time::from_secs(10), unresolved, incomplete_until);
        case.reported
            .iter()
            .for_each(|n| recovery.mark_reported(&task(n)));
        case.lost.iter().for_each(|n| recovery.mark_lost(&task(n)));
        let expected = case.done.map(|(reported, lost)| Recovered {
            duration: Duration::from_secs(case.now - 10),
            reported,
            lost,
        });
        let now = Time::from_secs(case.now);
        assert_eq!(recovery.poll(now), expected, "{}", case.name);
        assert_eq!(recovery.poll(now), None, "{}: returned twice", case.name);
    }
}

#[test]
fn every_task_is_unresolved_while_the_journal_may_lack_runs() {
    let mut recovery = Recovery::new(Time::ZERO, BTreeSet::new(), Some(Time::from_secs(30)));
    assert!(recovery.is_unresolved(&task("any")));
    recovery.poll(Time::from_secs(30));
    assert!(!recovery.is_unresolved(&task("any")));
}
