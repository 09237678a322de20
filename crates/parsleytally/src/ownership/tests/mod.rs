//! Tests of shards, election, journal and owner.

mod elector;
mod journal;
mod owner;

use crate::types::{NodeName, TaskKey, TaskName, TeamName};

fn node(text: &str) -> NodeName {
    NodeName::new(text).unwrap()
}

fn task(text: &str) -> TaskKey {
    TaskKey {
        team: TeamName::new("demo").unwrap(),
        task: TaskName::new(text).unwrap(),
    }
}
