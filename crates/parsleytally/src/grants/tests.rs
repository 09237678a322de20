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
    insufficient: Option<Resource>,
}

#[test]
fn refusal_names_the_insufficient_resource() {
    let cases = [
        RefusalCase {
            need: Resources::new(400, 40, 1),
            insufficient: None,
        },
        RefusalCase {
            need: Resources::new(601, 1, 0),
            insufficient: Some(Resource::Cpu),
        },
        RefusalCase {
            need: Resources::new(1, 61, 0),
            insufficient: Some(Resource::Memory),
        },
        RefusalCase {
            need: Resources::new(1, 1, 2),
            insufficient: Some(Resource::Accelerators),
        },
        RefusalCase {
            need: Resources::new(u64::MAX, u64::MAX, u32::MAX),
            insufficient: Some(Resource::Cpu),
        },
    ];
    for case in cases {
        let mut ledger = ledger(&[(1, Resources::new(400, 40, 0))]);
        let insufficient_resource = match ledger.grant(&run(2), case.need) {
            Ok(()) => None,
            Err(GrantError::Insufficient { resource, .. }) => Some(resource),
            Err(other) => panic!("{other}"),
        };
        assert_eq!(insufficient_resource, case.insufficient, "{}", case.need);
    }
}

#[test]
fn repeated_grant_counts_once_and_another_size_is_refused() {
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
fn excess_after_a_restart_blocks_grants_until_released() {
    let size = Resources::new(600, 10, 0);
    let mut ledger = ledger(&[(1, size), (2, size)]);
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

fn sizes() -> impl Strategy<Value = Resources> {
    (0..1500_u64, 0..150_u64, 0..3_u32).prop_map(|(c, m, a)| Resources::new(c, m, a))
}

fn ops() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..6_u64, sizes()).prop_map(|(n, need)| Op::Grant(n, need)),
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
    fn grants_never_exceed_the_capacity(ops in proptest::collection::vec(ops(), 0..60)) {
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
                Op::Restart(running) => {
                    sizes.retain(|n, _| running.contains(n));
                    let reported = sizes.iter().map(|(&n, &need)| (run(n), need));
                    ledger = UnrecoveredLedger::new(ledger.capacity()).recover(reported);
                }
            }
            let sum = sizes.values().try_fold(Resources::NONE, |sum, need| sum.checked_add(need));
            prop_assert_eq!(sum, Some(ledger.used()));
            prop_assert!(ledger.used().fits(&ledger.capacity()));
        }
    }
}
