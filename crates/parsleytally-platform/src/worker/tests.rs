//! Tests of the worker in memory; they wait for no time to pass.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::leases::{Checkpoint, Command, Event, RunSpec, RunState, WorkerRunState};
use parsleytally::types::{
    Incarnation, Resources, RunId, RunNumber, ShardId, TaskKey, TaskName, TeamName, Time,
};

use super::{StandInWorker, WorkerControl, WorkerError};

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);

fn run() -> RunId {
    let task = TaskKey {
        team: TeamName::new("demo").unwrap(),
        task: TaskName::new("count").unwrap(),
    };
    RunId {
        task,
        run: RunNumber(1),
    }
}

fn start(until: Time, run_time: Duration) -> Command {
    let start = RunSpec {
        run: run(),
        resources: Resources::new(1, 1, 0),
        command: Arc::from(""),
        run_time,
        checkpoint: Some(Checkpoint(7)),
    };
    Command::Start {
        shard: ShardId(1),
        spec: start,
        lease_end: until,
    }
}

fn late() -> Time {
    Time::from_secs(3600)
}

#[test]
fn a_later_life_fences_the_earlier_one_and_finds_its_runs() {
    let worker = StandInWorker::default();
    worker.attach(FIRST).unwrap();
    let long = Duration::from_secs(3600);
    worker.call(FIRST, start(late(), long)).unwrap();
    let found = worker.attach(SECOND).unwrap();
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].state, WorkerRunState::Running);
    let fenced = WorkerError::Superseded { life: FIRST };
    let stop = Command::Stop {
        run: run(),
        save: false,
    };
    assert_eq!(worker.call(FIRST, stop), Err(fenced.clone()));
    assert_eq!(worker.poll(FIRST), Err(fenced.clone()));
    assert_eq!(worker.attach(FIRST), Err(fenced));
}

#[test]
fn a_start_after_its_lease_does_not_run() {
    let worker = StandInWorker::default();
    worker.attach(FIRST).unwrap();
    let long = Duration::from_secs(3600);
    worker.call(FIRST, start(Time::ZERO, long)).unwrap();
    let state = RunState::Stopped {
        checkpoint: Some(Checkpoint(7)),
    };
    let ended = Event::Ended { run: run(), state };
    assert_eq!(worker.poll(FIRST).unwrap(), [ended]);
    assert!(worker.attach(SECOND).unwrap().is_empty());
}

#[test]
fn a_result_is_kept_until_it_is_forgotten() {
    let worker = StandInWorker::default();
    worker.attach(FIRST).unwrap();
    worker.call(FIRST, start(late(), Duration::ZERO)).unwrap();
    let found = worker.attach(SECOND).unwrap();
    let finished = WorkerRunState::Ended(RunState::Finished);
    assert_eq!(found[0].state, finished);
    worker.call(SECOND, Command::Forget { run: run() }).unwrap();
    assert!(worker.attach(SECOND).unwrap().is_empty());
}

#[test]
fn a_stop_is_answered_also_for_an_unknown_run() {
    let worker = StandInWorker::default();
    worker.attach(FIRST).unwrap();
    let stop = Command::Stop {
        run: run(),
        save: true,
    };
    worker.call(FIRST, stop).unwrap();
    let state = RunState::Stopped { checkpoint: None };
    let ended = Event::Ended { run: run(), state };
    assert_eq!(worker.poll(FIRST).unwrap(), [ended]);
}
