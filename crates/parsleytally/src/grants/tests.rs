//! Tests of the ledger.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::*;
use crate::types::{RunNumber, TaskKey, TaskName, TeamName};

fn run(n: u64) -> RunId {
    let task = TaskKey {
        team: TeamName::new("demo").unwrap(),
        task: TaskName::new("count").unwrap(),
    };
    RunId {
        task,
        run: RunNumber(n),
    }
}

fn ledger(running: &[(u64, Resources)]) -> Ledger {
    let running = running.iter().map(|&(n, need)| (run(n), need));
    UnrecoveredLedger::new(Resources::new(1000, 100, 1)).recover(running)
}

struct RefusalCase {
    need: Resources,
    missing: Option<Resource>,
}

#[test]
fn a_refusal_names_the_missing_resource() {
    let cases = [
        RefusalCase {
            need: Resources::new(400, 40, 1),
            missing: None,
        },
        RefusalCase {
            need: Resources::new(601, 1, 0),
            missing: Some(Resource::Cpu),
        },
        RefusalCase {
            need: Resources::new(1, 61, 0),
            missing: Some(Resource::Memory),
        },
        RefusalCase {
            need: Resources::new(1, 1, 2),
            missing: Some(Resource::Accelerators),
        },
        RefusalCase {
            need: Resources::new(u64::MAX, u64::MAX, u32::MAX),
            missing: Some(Resource::Cpu),
        },
    ];
    for case in cases {
        let mut ledger = ledger(&[(1, Resources::new(400, 40, 0))]);
        let found = match ledger.grant(&run(2), case.need) {
            Ok(()) => None,
            Err(GrantError::Insufficient { resource, .. }) => Some(resource),
            Err(other) => panic!("{other}"),
        };
        assert_eq!(found, case.missing, "{}", case.need);
    }
}

#[test]
fn a_doubled_grant_counts_once_and_another_size_is_refused() {
    let mut ledger = ledger(&[]);
    let need = Resources::new(600, 1, 0);
    ledger.grant(&run(1), need).unwrap();
    ledger.grant(&run(1), need).unwrap();
    assert_eq!(ledger.used(), need);
    let other = ledger.grant(&run(1), Resources::new(1, 1, 0));
    assert!(matches!(other, Err(GrantError::SizeMismatch { .. })));
    assert_eq!(ledger.release(&run(1)), Some(need));
    assert_eq!(ledger.release(&run(1)), None);
    assert_eq!(ledger.used(), Resources::NONE);
}

#[test]
fn excess_found_after_a_restart_blocks_grants_until_it_is_gone() {
    let half = Resources::new(600, 10, 0);
    let mut ledger = ledger(&[(1, half), (2, half)]);
    assert_eq!(ledger.excess().collect::<Vec<_>>(), [&run(2)]);
    assert!(ledger.used().fits(&ledger.capacity()));
    assert!(ledger.grant(&run(3), Resources::new(1, 1, 0)).is_err());
    ledger.release(&run(2));
    ledger.grant(&run(3), Resources::new(1, 1, 0)).unwrap();
}

#[derive(Debug, Clone)]
enum Op {
    Grant(u64, Resources),
    Release(u64),
    Restart(Vec<u64>),
}

fn amounts() -> impl Strategy<Value = Resources> {
    (0..1500_u64, 0..150_u64, 0..3_u32).prop_map(|(c, m, a)| Resources::new(c, m, a))
}

fn ops() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..6_u64, amounts()).prop_map(|(n, need)| Op::Grant(n, need)),
        2 => (0..6_u64).prop_map(Op::Release),
        1 => proptest::collection::vec(0..6_u64, 0..6).prop_map(Op::Restart),
    ]
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::with_cases(512)
    })]

    #[test]
    fn grants_never_pass_the_capacity(ops in proptest::collection::vec(ops(), 0..60)) {
        let mut ledger = ledger(&[]);
        let mut sizes = BTreeMap::new();
        for op in ops {
            match op {
                Op::Grant(n, need) => {
                    if ledger.grant(&run(n), need).is_ok() {
                        sizes.insert(n, need);
                    }
                }
                Op::Release(n) => {
                    prop_assert_eq!(ledger.release(&run(n)), sizes.remove(&n));
                }
                Op::Restart(kept) => {
                    sizes.retain(|n, _| kept.contains(n));
                    let running = sizes.iter().map(|(&n, &need)| (run(n), need));
                    ledger = UnrecoveredLedger::new(ledger.capacity()).recover(running);
                }
            }
            let sum = sizes.values().try_fold(Resources::NONE, |sum, need| sum.checked_add(need));
            prop_assert_eq!(sum, Some(ledger.used()));
            prop_assert!(ledger.used().fits(&ledger.capacity()));
        }
    }
}
