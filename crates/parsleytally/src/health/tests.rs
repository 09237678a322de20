//! Tests of the health of workers and tasks.

use std::time::Duration;

use super::*;
use crate::types::{TaskName, TeamName};

fn node(at: usize) -> NodeName {
    NodeName::new(&format!("w{at}")).unwrap()
}

fn task(at: usize) -> TaskKey {
    TaskKey {
        team: TeamName::new("a").unwrap(),
        task: TaskName::new(&format!("t{at}")).unwrap(),
    }
}

/// Health of eleven workers at a simulated time.
struct Fixture {
    health: Health,
    now: Time,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            health: Health::new(HealthConfig::default()),
            now: Time::from_secs(1),
        };
        for at in 0..11 {
            fixture.step(Input::WorkerJoined(node(at)));
        }
        fixture
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.health.step(self.now, input, &mut out);
        out
    }

    fn fail(&mut self, at: usize, worker: usize) -> Vec<Output> {
        self.step(Input::RunFailed {
            task: task(at),
            worker: node(worker),
        })
    }

    fn succeed(&mut self, at: usize, worker: usize) -> Vec<Output> {
        self.step(Input::RunSucceeded {
            task: task(at),
            worker: node(worker),
        })
    }

    fn advance(&mut self, span: Duration) -> Vec<Output> {
        self.now = self.now.after(span);
        self.step(Input::Tick)
    }
}

struct BlameCase {
    name: &'static str,
    /// Task, worker, and whether the run failed.
    outcomes: &'static [(usize, usize, bool)],
    quarantined: &'static [usize],
    parked: &'static [usize],
}

#[test]
fn neither_worker_nor_task_is_blamed_for_the_other() {
    let cases = [
        BlameCase {
            name: "unrelated tasks fail on one worker",
            outcomes: &[(0, 0, true), (1, 0, true), (2, 0, true)],
            quarantined: &[0],
            parked: &[],
        },
        BlameCase {
            name: "one task fails everywhere",
            outcomes: &[(0, 0, true), (0, 1, true), (0, 2, true)],
            quarantined: &[],
            parked: &[0],
        },
        BlameCase {
            name: "one task fails repeatedly on one worker",
            outcomes: &[(0, 0, true), (0, 0, true), (0, 0, true), (0, 0, true)],
            quarantined: &[],
            parked: &[],
        },
        BlameCase {
            name: "three faulty tasks run on the same healthy worker",
            outcomes: &[
                (0, 1, true),
                (1, 2, true),
                (2, 3, true),
                (0, 0, true),
                (1, 0, true),
                (2, 0, true),
            ],
            quarantined: &[],
            parked: &[],
        },
        BlameCase {
            name: "a worker with enough successful runs",
            outcomes: &[
                (5, 0, false),
                (6, 0, false),
                (0, 0, true),
                (1, 0, true),
                (2, 0, true),
            ],
            quarantined: &[],
            parked: &[],
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        let mut out = Vec::new();
        for &(task, worker, failed) in case.outcomes {
            out.extend(if failed {
                fixture.fail(task, worker)
            } else {
                fixture.succeed(task, worker)
            });
        }
        let mut quarantined = Vec::new();
        let mut parked = Vec::new();
        for output in out {
            match output {
                Output::Quarantine(worker) => quarantined.push(worker),
                Output::Park { task, .. } => parked.push(task),
                _ => {}
            }
        }
        let nodes = case
            .quarantined
            .iter()
            .map(|at| node(*at))
            .collect::<Vec<_>>();
        let tasks = case.parked.iter().map(|at| task(*at)).collect::<Vec<_>>();
        assert_eq!((quarantined, parked), (nodes, tasks), "{}", case.name);
    }
}

#[test]
fn task_parked_because_of_a_faulty_worker_is_released() {
    let mut fixture = Fixture::new();
    for worker in 0..3 {
        fixture.fail(0, worker);
    }
    fixture.fail(1, 0);
    fixture.fail(2, 0);
    let out = fixture.fail(3, 0);
    assert!(out.contains(&Output::Quarantine(node(0))));
    assert!(out.contains(&Output::Release(task(0))));
}

#[test]
fn quarantine_doubles_until_a_success() {
    let mut fixture = Fixture::new();
    let probe = HealthConfig::default().probe;
    for at in 0..3 {
        fixture.fail(at, 0);
    }
    assert_eq!(fixture.health.quarantined(), 1);
    assert!(fixture.advance(probe - Duration::from_secs(1)).is_empty());
    let ended = fixture.advance(Duration::from_secs(1));
    assert_eq!(ended, [Output::Reinstate(node(0))]);
    // A single failure is enough after a quarantine without a success.
    let again = fixture.fail(7, 0);
    assert!(again.contains(&Output::Quarantine(node(0))));
    assert!(fixture.advance(probe).is_empty());
    assert_eq!(fixture.advance(probe), [Output::Reinstate(node(0))]);
    fixture.succeed(8, 0);
    let after_success = fixture.fail(9, 0);
    assert!(!after_success.contains(&Output::Quarantine(node(0))));
}

#[test]
fn quarantined_workers_are_limited() {
    let mut fixture = Fixture::new();
    for worker in 0..11 {
        for at in 0..4 {
            fixture.fail(100 * worker + at, worker);
        }
    }
    assert_eq!(fixture.health.quarantined(), 2);
}

#[test]
fn back_off_doubles_up_to_its_limit() {
    let mut fixture = Fixture::new();
    let mut delays = Vec::new();
    for _ in 0..9 {
        for output in fixture.fail(0, 0) {
            if let Output::BackOff { until, .. } = output {
                delays.push(until.since(fixture.now).as_secs());
            }
        }
    }
    assert_eq!(delays, [10, 20, 40, 80, 160, 320, 600, 600, 600]);
}

#[test]
fn failed_tasks_are_limited() {
    let mut fixture = Fixture::new();
    for at in 0..MAX_FAILED_TASKS + 10 {
        fixture.now = fixture.now.after(Duration::from_secs(1));
        fixture.fail(at, 0);
    }
    assert_eq!(fixture.health.tasks.len(), MAX_FAILED_TASKS);
}
