//! Replays the shorter traces and checks their stated outcomes.

#![allow(dead_code, missing_docs)]

#[path = "../examples/replay/driver.rs"]
mod driver;
#[path = "../examples/replay/ours.rs"]
mod ours;
#[path = "../examples/replay/outcomes.rs"]
mod outcomes;
#[path = "../examples/replay/policy.rs"]
mod policy;
#[path = "../examples/replay/results.rs"]
mod results;
#[path = "../examples/replay/simple.rs"]
mod simple;
#[path = "../examples/replay/trace.rs"]
mod trace;
#[path = "../examples/replay/world.rs"]
mod world;

use parsleytally::configs::DeploymentConfig;

use ours::Ours;
use policy::Policy;
use simple::{Choice, Simple};

const SEED: u64 = 1;

fn play(trace: &str, policy: &str) -> (results::Row, u64) {
    let path = format!("{}/traces/{trace}.jsonl", env!("CARGO_MANIFEST_DIR"));
    let records = trace::read(&path).unwrap();
    let config = DeploymentConfig::parse(include_bytes!("../../../examples/orgonahang.ini"));
    let config = config.unwrap();
    let fresh = || -> Box<dyn Policy> {
        match policy {
            "ours" => Box::new(Ours::new(true, config.clone(), SEED)),
            _ => Box::new(Simple::new(Choice::First)),
        }
    };
    let results = driver::replay(&records, &fresh, SEED).unwrap();
    (
        results.row(trace, policy, SEED),
        trace::sick_tasks(&records),
    )
}

#[test]
fn stated_outcomes_hold() {
    let outcomes = outcomes::read().unwrap();
    for trace in ["noisy-wave", "impossible", "two-at-once"] {
        let (row, sick_tasks) = play(trace, "ours");
        let missed = outcomes::missed(&outcomes, &row, sick_tasks);
        assert!(missed.is_empty(), "{trace}: {missed:?}");
    }
}

#[test]
fn a_replay_repeats_itself_and_tells_policies_apart() {
    let (first, _) = play("two-at-once", "ours");
    let (again, _) = play("two-at-once", "ours");
    assert_eq!(format!("{first:?}"), format!("{again:?}"));
    // The same trace misses the outcome without reaction, so the check can fail.
    let (mut simple, _) = play("two-at-once", "first-fit");
    simple.policy = "ours".to_owned();
    let outcomes = outcomes::read().unwrap();
    assert!(!outcomes::missed(&outcomes, &simple, 0).is_empty());
}
