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

/// Eleven known workers.
struct Bench {
    health: Health,
    now: Time,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self {
            health: Health::new(HealthConfig::default()),
            now: Time::from_secs(1),
        };
        for at in 0..11 {
            bench.feed(Input::WorkerJoined(node(at)));
        }
        bench
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.health.step(self.now, input, &mut out);
        out
    }

    fn fail(&mut self, at: usize, worker: usize) -> Vec<Output> {
        self.feed(Input::RunFailed {
            task: task(at),
            worker: node(worker),
        })
    }

    fn succeed(&mut self, at: usize, worker: usize) -> Vec<Output> {
        self.feed(Input::RunSucceeded {
            task: task(at),
            worker: node(worker),
        })
    }

    fn wait(&mut self, span: Duration) -> Vec<Output> {
        self.now = self.now.after(span);
        self.feed(Input::Tick)
    }
}

struct Blame {
    name: &'static str,
    /// Task, worker, and whether the run failed.
    outcomes: &'static [(usize, usize, bool)],
    aside: &'static [usize],
    parked: &'static [usize],
}

#[test]
fn neither_worker_nor_task_is_blamed_for_the_other() {
    let cases = [
        Blame {
            name: "unrelated tasks fail on one worker",
            outcomes: &[(0, 0, true), (1, 0, true), (2, 0, true)],
            aside: &[0],
            parked: &[],
        },
        Blame {
            name: "one task fails everywhere",
            outcomes: &[(0, 0, true), (0, 1, true), (0, 2, true)],
            aside: &[],
            parked: &[0],
        },
        Blame {
            name: "one task fails again and again on one worker",
            outcomes: &[(0, 0, true), (0, 0, true), (0, 0, true), (0, 0, true)],
            aside: &[],
            parked: &[],
        },
        Blame {
            name: "three sick tasks visit the same sound worker",
            outcomes: &[
                (0, 1, true),
                (1, 2, true),
                (2, 3, true),
                (0, 0, true),
                (1, 0, true),
                (2, 0, true),
            ],
            aside: &[],
            parked: &[],
        },
        Blame {
            name: "a worker on which most succeed",
            outcomes: &[
                (5, 0, false),
                (6, 0, false),
                (0, 0, true),
                (1, 0, true),
                (2, 0, true),
            ],
            aside: &[],
            parked: &[],
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        let mut out = Vec::new();
        for &(task, worker, failed) in case.outcomes {
            out.extend(if failed {
                bench.fail(task, worker)
            } else {
                bench.succeed(task, worker)
            });
        }
        let mut aside = Vec::new();
        let mut parked = Vec::new();
        for output in out {
            match output {
                Output::Quarantine(worker) => aside.push(worker),
                Output::Park { task, .. } => parked.push(task),
                _ => {}
            }
        }
        let nodes = case.aside.iter().map(|at| node(*at)).collect::<Vec<_>>();
        let tasks = case.parked.iter().map(|at| task(*at)).collect::<Vec<_>>();
        assert_eq!((aside, parked), (nodes, tasks), "{}", case.name);
    }
}

#[test]
fn a_task_that_only_met_sick_workers_is_released() {
    let mut bench = Bench::new();
    for worker in 0..3 {
        bench.fail(0, worker);
    }
    bench.fail(1, 0);
    bench.fail(2, 0);
    let out = bench.fail(3, 0);
    assert!(out.contains(&Output::Quarantine(node(0))));
    assert!(out.contains(&Output::Release(task(0))));
}

#[test]
fn a_worker_set_aside_is_probed_with_a_time_that_doubles() {
    let mut bench = Bench::new();
    let probe = HealthConfig::default().probe;
    for at in 0..3 {
        bench.fail(at, 0);
    }
    assert_eq!(bench.health.quarantined(), 1);
    assert!(bench.wait(probe - Duration::from_secs(1)).is_empty());
    let back = bench.wait(Duration::from_secs(1));
    assert_eq!(back, [Output::Reinstate(node(0))]);
    // One more failure is enough this time.
    let again = bench.fail(7, 0);
    assert!(again.contains(&Output::Quarantine(node(0))));
    assert!(bench.wait(probe).is_empty());
    assert_eq!(bench.wait(probe), [Output::Reinstate(node(0))]);
    bench.succeed(8, 0);
    let trusted = bench.fail(9, 0);
    assert!(!trusted.contains(&Output::Quarantine(node(0))));
}

#[test]
fn no_more_workers_are_set_aside_than_the_floor_allows() {
    let mut bench = Bench::new();
    for worker in 0..11 {
        for at in 0..4 {
            bench.fail(100 * worker + at, worker);
        }
    }
    assert_eq!(bench.health.quarantined(), 2);
}

#[test]
fn back_off_doubles_up_to_its_limit() {
    let mut bench = Bench::new();
    let mut waits = Vec::new();
    for _ in 0..9 {
        for output in bench.fail(0, 0) {
            if let Output::BackOff { until, .. } = output {
                waits.push(until.since(bench.now).as_secs());
            }
        }
    }
    assert_eq!(waits, [10, 20, 40, 80, 160, 320, 600, 600, 600]);
}

#[test]
fn failed_tasks_are_forgotten_past_the_limit() {
    let mut bench = Bench::new();
    for at in 0..MAX_TASKS + 10 {
        bench.now = bench.now.after(Duration::from_secs(1));
        bench.fail(at, 0);
    }
    assert_eq!(bench.health.tasks.len(), MAX_TASKS);
}
