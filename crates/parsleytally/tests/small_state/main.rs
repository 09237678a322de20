//! Exhaustive search of small cases of ownership, runs and resume.
//!
//! Two entries, two agents with their workers, one task and the store are driven
//! through all interleavings of: orders delivered, late, doubled and lost; reports
//! at once and late; journal writes carried out, answered and lost; confirmations,
//! take-overs, placements, evictions, ends, time, restarts of agents and entries.
//! A pause, a store outage and any partition of the five are interleavings in which
//! the steps of one of them, or the messages between two, wait while others go on.
//!
//! The search is breadth first and bounded by its count of states. Each planted
//! fault must be found, or the search proves nothing.

mod search;
mod world;

use search::{Found, search, walk};
use world::{Action, Budget, Fault, Scenario, World};

/// States after which a search of the correct protocol ends.
const STATES: usize = 60_000;

/// States within which a planted fault must be found.
const FAULT_STATES: usize = 300_000;

/// Random paths from the start of each case, and the steps of each path.
const WALKS: u64 = 8_000;
const WALK_STEPS: usize = 60;

struct Case {
    what: &'static str,
    scenario: Scenario,
    /// Steps before the search begins.
    before: &'static [Action],
    /// Workers that execute the task when the search begins.
    executes: [bool; 2],
}

/// Run 1 executes on worker 0.
const RUNNING: &[Action] = &[
    Action::Place { entry: 0, agent: 0 },
    Action::WriteDone(0),
    Action::Exchange { entry: 0, agent: 0 },
];

/// The journal has run 1 for worker 0, but its owner does not know that yet and
/// has been replaced; the heir has withdrawn run 1 and started run 2 on worker 1.
const RESUMED: &[Action] = &[
    Action::Place { entry: 0, agent: 0 },
    Action::WriteReaches(0),
    Action::TakeOver(1),
    Action::Tick(1),
    Action::Exchange { entry: 1, agent: 0 },
    Action::Exchange { entry: 1, agent: 1 },
    Action::WriteDone(1),
    Action::Place { entry: 1, agent: 1 },
    Action::WriteDone(1),
    Action::Exchange { entry: 1, agent: 1 },
];

/// Run 1 executes on worker 0, which the heir has not heard of for one step of time.
const SILENT: &[Action] = &[
    Action::Place { entry: 0, agent: 0 },
    Action::WriteDone(0),
    Action::Exchange { entry: 0, agent: 0 },
    Action::TakeOver(1),
    Action::Exchange { entry: 1, agent: 1 },
    Action::Time,
];

const CALM: Scenario = Scenario {
    ahead: false,
    writes: false,
    budget: Budget::CALM,
    fault: None,
};

const DISTURBED: Budget = Budget {
    takeovers: 2,
    doubles: 1,
    late: 1,
    agent_restarts: 1,
    entry_restarts: 1,
    evictions: 1,
    ends: 1,
};

const CASES: [Case; 7] = [
    Case {
        what: "one take-over",
        scenario: CALM,
        before: &[],
        executes: [false, false],
    },
    Case {
        what: "an end and an eviction of a running task",
        scenario: Scenario {
            budget: Budget {
                evictions: 1,
                ends: 1,
                ..Budget::CALM
            },
            ..CALM
        },
        before: RUNNING,
        executes: [true, false],
    },
    Case {
        what: "an agent restarts, journal writes are lost",
        scenario: Scenario {
            writes: true,
            budget: Budget {
                agent_restarts: 1,
                ..Budget::CALM
            },
            ..CALM
        },
        before: &[],
        executes: [false, false],
    },
    Case {
        what: "a resumed task, agents restart, messages are doubled and late",
        scenario: Scenario {
            writes: true,
            budget: Budget {
                takeovers: 1,
                doubles: 1,
                late: 1,
                agent_restarts: 1,
                ..Budget::CALM
            },
            ..CALM
        },
        before: RESUMED,
        executes: [false, true],
    },
    Case {
        what: "a silent worker, agents restart, messages are doubled and late",
        scenario: Scenario {
            budget: Budget {
                takeovers: 1,
                doubles: 1,
                late: 1,
                agent_restarts: 1,
                ..Budget::CALM
            },
            ..CALM
        },
        before: SILENT,
        executes: [true, false],
    },
    Case {
        what: "everything",
        scenario: Scenario {
            writes: true,
            budget: DISTURBED,
            ..CALM
        },
        before: RUNNING,
        executes: [true, false],
    },
    Case {
        what: "everything, starts ahead of the journal",
        scenario: Scenario {
            ahead: true,
            writes: true,
            budget: DISTURBED,
            fault: None,
        },
        before: RUNNING,
        executes: [true, false],
    },
];

impl Case {
    fn search(&self, limit: usize) -> Found {
        search(self.world(), limit)
    }

    fn world(&self) -> World {
        let mut world = World::new(self.scenario);
        for action in self.before {
            assert_eq!(world.act(action), None, "{}", self.what);
        }
        let executes = [0, 1].map(|agent| world.executes(agent));
        assert_eq!(executes, self.executes, "{}", self.what);
        world
    }
}

#[test]
fn no_interleaving_breaks_a_promise() {
    for case in &CASES {
        match case.search(STATES) {
            Found::Nothing { states, depth } => {
                println!("{}: {states} states to depth {depth}", case.what);
            }
            Found::Broken { promise, path } => panic!("{}: {promise}\n{path}", case.what),
        }
    }
}

#[test]
fn no_long_random_path_breaks_a_promise() {
    for case in &CASES {
        match walk(&case.world(), WALKS, WALK_STEPS) {
            Found::Nothing { states, depth } => {
                println!("{}: {states} steps in paths of {depth}", case.what);
            }
            Found::Broken { promise, path } => panic!("{}: {promise}\n{path}", case.what),
        }
    }
}

struct FaultCase {
    case: Case,
    promise: &'static str,
}

const TWO_PLACES: &str = "the task runs in two places";

#[test]
fn planted_faults_are_found() {
    let plant = |fault, before, executes, scenario| Case {
        what: "planted",
        scenario: Scenario {
            fault: Some(fault),
            ..scenario
        },
        before,
        executes,
    };
    let writes = Scenario {
        writes: true,
        ..CALM
    };
    let ahead = Scenario {
        ahead: true,
        ..CALM
    };
    let restarts = Scenario {
        budget: Budget {
            takeovers: 1,
            agent_restarts: 1,
            ..Budget::CALM
        },
        ..writes
    };
    let idle = [false, false];
    let first = [true, false];
    let cases = [
        FaultCase {
            case: plant(Fault::AgentFence, &[], idle, CALM),
            promise: "an agent acted on a lower epoch than it had accepted",
        },
        FaultCase {
            case: plant(Fault::StoreFence, &[], idle, writes),
            promise: TWO_PLACES,
        },
        FaultCase {
            case: plant(Fault::ShortWait, RUNNING, first, CALM),
            promise: TWO_PLACES,
        },
        FaultCase {
            case: plant(Fault::ShortWait, RUNNING, first, ahead),
            promise: TWO_PLACES,
        },
        FaultCase {
            case: plant(Fault::AgeIgnored, RUNNING, first, CALM),
            promise: TWO_PLACES,
        },
        FaultCase {
            case: plant(Fault::OldProof, RESUMED, [false, true], restarts),
            promise: TWO_PLACES,
        },
    ];
    for planted in cases {
        let fault = planted.case.scenario.fault;
        match planted.case.search(FAULT_STATES) {
            Found::Broken { promise, path } => {
                println!("{fault:?}: {promise}\n{path}\n");
                assert_eq!(promise, planted.promise, "{fault:?}");
            }
            Found::Nothing { states, depth } => {
                panic!("{fault:?}: not found in {states} states to depth {depth}")
            }
        }
    }
}
