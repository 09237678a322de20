//! Tests of the agent's runs and of the task records.

use std::sync::Arc;
use std::time::Duration;

use super::*;
use crate::types::{
    Epoch, Incarnation, NodeName, Resources, RunId, RunNumber, ShardId, TaskKey, TaskName,
    TeamName, Time,
};

const HOLD: Duration = Duration::from_secs(30);
const MARGIN: Duration = Duration::from_secs(2);
const SHARD: ShardId = ShardId(3);
const NEED: Resources = Resources::new(600, 10, 0);

fn name(text: &str) -> NodeName {
    NodeName::new(text).unwrap()
}

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

/// An agent with its outputs, booted at second 0 and in its second life.
struct Bench {
    agent: Agent,
    out: Vec<Output>,
}

impl Bench {
    fn unbuilt() -> Self {
        let config = AgentConfig {
            name: name("w1"),
            capacity: Resources::new(1000, 100, 0),
            margin: MARGIN,
        };
        Self {
            agent: Agent::new(config, Incarnation(2), Time::ZERO),
            out: Vec::new(),
        }
    }

    fn new() -> Self {
        let mut bench = Self::unbuilt();
        bench.step(0, Input::Inventory(Vec::new()));
        bench
    }

    fn step(&mut self, secs: u64, input: Input) {
        self.out.clear();
        self.agent.step(Time::from_secs(secs), input, &mut self.out);
    }

    fn order(&mut self, secs: u64, epoch: u64, kind: OrderKind) {
        let order = Order {
            shard: SHARD,
            epoch: Epoch(epoch),
            kind,
        };
        self.step(secs, Input::Order(order));
    }

    fn event(&mut self, secs: u64, event: Event) {
        self.step(secs, Input::Worker(event));
    }

    fn commands(&self) -> Vec<&Command> {
        let commands = self.out.iter().filter_map(|o| match o {
            Output::Worker(command) => Some(command),
            _ => None,
        });
        commands.collect()
    }

    fn starts(&self) -> usize {
        let commands = self.commands();
        let starts = commands
            .iter()
            .filter(|c| matches!(c, Command::Start { .. }));
        starts.count()
    }

    fn ignored(&self) -> Option<IgnoreReason> {
        self.out.iter().find_map(|o| match o {
            Output::Ignored(reason) => Some(*reason),
            _ => None,
        })
    }

    fn state(&mut self, secs: u64, n: u64) -> Option<RunState> {
        self.step(secs, Input::Tick);
        let reports = self.out.iter().filter_map(|o| match o {
            Output::Report(report) => Some(report),
            _ => None,
        });
        let mut runs = reports.flat_map(|report| &report.runs);
        runs.find(|r| r.run == run(n)).map(|r| r.state.clone())
    }
}

fn proof(sent: u64, age: u64) -> Proof {
    Proof {
        incarnation: Incarnation(2),
        sent_at: Time::from_secs(sent),
        confirmation_age: Duration::from_secs(age),
        hold: HOLD,
    }
}

fn start(n: u64, proof: Proof) -> OrderKind {
    let start = RunSpec {
        run: run(n),
        resources: NEED,
        command: Arc::from("sum"),
        run_time: Duration::ZERO,
        checkpoint: None,
    };
    OrderKind::Start { proof, spec: start }
}

fn keep(n: u64, proof: Proof) -> OrderKind {
    let runs = vec![run(n)];
    OrderKind::Renew { proof, runs }
}

fn ended(n: u64, state: RunState) -> Event {
    Event::Ended { run: run(n), state }
}

const STOPPED: RunState = RunState::Stopped { checkpoint: None };

struct StartCase {
    what: &'static str,
    seen: u64,
    epoch: u64,
    proof: Proof,
    ignored: Option<IgnoreReason>,
}

#[test]
fn a_start_needs_the_highest_epoch_and_a_proof_of_this_life() {
    let other = Proof {
        incarnation: Incarnation(1),
        ..proof(9, 1)
    };
    let cases = [
        StartCase {
            what: "good",
            seen: 4,
            epoch: 4,
            proof: proof(9, 1),
            ignored: None,
        },
        StartCase {
            what: "lower epoch",
            seen: 5,
            epoch: 4,
            proof: proof(9, 1),
            ignored: Some(IgnoreReason::StaleEpoch),
        },
        StartCase {
            what: "for the life before",
            seen: 4,
            epoch: 4,
            proof: other,
            ignored: Some(IgnoreReason::StaleProof),
        },
        StartCase {
            what: "confirmed before this life began",
            seen: 0,
            epoch: 4,
            proof: proof(9, 10),
            ignored: Some(IgnoreReason::StaleProof),
        },
        StartCase {
            what: "answers a message of the future",
            seen: 4,
            epoch: 4,
            proof: proof(11, 1),
            ignored: Some(IgnoreReason::StaleProof),
        },
        StartCase {
            what: "confirmation as old as the hold time",
            seen: 4,
            epoch: 4,
            proof: proof(9, 30),
            ignored: Some(IgnoreReason::StaleProof),
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.order(1, case.seen, OrderKind::Claim);
        bench.order(10, case.epoch, start(1, case.proof));
        assert_eq!(bench.ignored(), case.ignored, "{}", case.what);
        assert_eq!(bench.starts() == 1, case.ignored.is_none(), "{}", case.what);
    }
}

#[test]
fn a_start_delayed_past_its_deadline_is_ignored() {
    let mut bench = Bench::new();
    bench.order(36, 1, start(1, proof(8, 2)));
    assert_eq!(bench.ignored(), Some(IgnoreReason::StaleProof));
}

#[test]
fn nothing_starts_before_the_worker_has_reported_its_runs() {
    let mut bench = Bench::unbuilt();
    bench.order(10, 4, start(1, proof(9, 1)));
    assert_eq!(bench.ignored(), Some(IgnoreReason::Unbuilt));
    let found = WorkerRun {
        shard: SHARD,
        run: run(7),
        resources: NEED,
        lease_end: Time::from_secs(20),
        checkpoint: None,
        state: WorkerRunState::Running,
    };
    bench.step(10, Input::Inventory(vec![found]));
    bench.order(10, 3, start(8, proof(9, 1)));
    assert_eq!(bench.ignored(), Some(IgnoreReason::StaleEpoch));
    let ledger = bench.agent.ledger().unwrap();
    assert_eq!(ledger.used(), NEED);
    assert!(bench.state(11, 7).unwrap().is_live());
}

#[test]
fn a_run_found_after_a_restart_ends_with_the_workers_lease_unless_kept() {
    for kept in [false, true] {
        let found = WorkerRun {
            shard: SHARD,
            run: run(7),
            resources: NEED,
            lease_end: Time::from_secs(20),
            checkpoint: None,
            state: WorkerRunState::Running,
        };
        let mut bench = Bench::unbuilt();
        bench.step(1, Input::Inventory(vec![found]));
        if kept {
            bench.order(10, 1, keep(7, proof(9, 1)));
        }
        bench.step(18, Input::Tick);
        let stops = bench.commands();
        let stops = stops.iter().any(|c| matches!(c, Command::Stop { .. }));
        assert_eq!(stops, !kept);
    }
}

#[test]
fn doubled_starts_run_once_also_after_the_end() {
    let mut bench = Bench::new();
    bench.order(10, 1, start(1, proof(9, 1)));
    assert_eq!(bench.starts(), 1);
    bench.order(11, 1, start(1, proof(10, 1)));
    assert_eq!(bench.starts(), 0);
    bench.event(12, Event::Started { run: run(1) });
    bench.event(13, ended(1, RunState::Finished));
    bench.order(14, 1, start(1, proof(10, 1)));
    assert_eq!(bench.starts(), 0);
    let forget = OrderKind::Forget {
        run: run(1),
        hold: HOLD,
    };
    bench.order(15, 1, forget);
    assert_eq!(bench.state(15, 1), None);
    bench.order(16, 1, start(1, proof(14, 1)));
    assert_eq!(bench.ignored(), Some(IgnoreReason::StaleRun));
    assert_eq!(bench.agent.ledger().unwrap().used(), Resources::NONE);
}

#[test]
fn a_refused_start_stays_refused_when_room_appears() {
    let mut bench = Bench::new();
    bench.order(10, 1, start(1, proof(9, 1)));
    let other = RunId {
        task: TaskKey {
            task: TaskName::new("other").unwrap(),
            ..run(1).task
        },
        run: RunNumber(1),
    };
    let second = RunSpec {
        run: other.clone(),
        resources: NEED,
        command: Arc::from(""),
        run_time: Duration::ZERO,
        checkpoint: None,
    };
    let order = |proof| OrderKind::Start {
        proof,
        spec: second.clone(),
    };
    bench.order(10, 1, order(proof(9, 1)));
    assert_eq!(bench.starts(), 0);
    bench.event(11, ended(1, RunState::Finished));
    bench.order(12, 1, order(proof(11, 1)));
    assert_eq!(bench.starts(), 0);
    let Some(Output::Report(report)) = bench.out.last() else {
        panic!("no report");
    };
    let found = report.runs.iter().find(|r| r.run == other).unwrap();
    let RunState::Refused { reason } = &found.state else {
        panic!("{found:?}");
    };
    assert!(reason.starts_with("cpu is short"), "{reason}");
}

#[test]
fn a_cancellation_that_overtakes_its_start_wins() {
    let mut bench = Bench::new();
    bench.order(10, 1, OrderKind::Stop { run: run(1) });
    bench.event(10, ended(1, STOPPED));
    bench.order(11, 1, start(1, proof(9, 1)));
    assert_eq!(bench.starts(), 0);
    assert_eq!(bench.state(12, 1), Some(STOPPED));
}

#[test]
fn an_unknown_run_is_reported_as_stopped_only_once_the_worker_says_so() {
    let mut bench = Bench::new();
    bench.order(10, 1, OrderKind::Stop { run: run(1) });
    assert!(bench.state(11, 1).unwrap().is_live());
    bench.event(12, ended(1, STOPPED));
    assert_eq!(bench.state(12, 1), Some(STOPPED));
}

#[test]
fn an_unrenewed_run_is_saved_and_stopped_before_its_deadline() {
    let mut bench = Bench::new();
    bench.order(10, 1, start(1, proof(9, 4)));
    bench.event(10, Event::Started { run: run(1) });
    assert_eq!(bench.agent.next_deadline(), Some(Time::from_secs(33)));
    bench.step(32, Input::Tick);
    assert!(bench.commands().is_empty());
    bench.step(33, Input::Tick);
    assert!(matches!(
        bench.commands()[0],
        Command::Stop { save: true, .. }
    ));
    bench.order(34, 1, keep(1, proof(33, 0)));
    let extended = bench.commands();
    let extended = extended.iter().any(|c| matches!(c, Command::Extend { .. }));
    assert!(!extended, "a stopping run was extended");
    bench.step(35, Input::Tick);
    assert!(matches!(
        bench.commands()[0],
        Command::Stop { save: false, .. }
    ));
    assert_eq!(bench.agent.ledger().unwrap().used(), NEED);
}

#[test]
fn an_agent_paused_past_the_deadline_stops_before_it_reads_its_mail() {
    let mut bench = Bench::new();
    bench.order(10, 1, start(1, proof(9, 4)));
    bench.order(60, 1, keep(1, proof(10, 0)));
    assert!(matches!(
        bench.commands()[0],
        Command::Stop { save: false, .. }
    ));
    assert_eq!(bench.ignored(), Some(IgnoreReason::StaleProof));
}

#[test]
fn an_early_keep_never_shortens_a_deadline() {
    let mut bench = Bench::new();
    bench.order(10, 1, start(1, proof(9, 1)));
    bench.order(11, 1, keep(1, proof(8, 4)));
    assert!(bench.commands().is_empty());
    bench.order(12, 1, keep(1, proof(11, 0)));
    let until = Time::from_secs(41);
    let extend = Command::Extend {
        run: run(1),
        lease_end: until,
    };
    assert_eq!(bench.commands(), [&extend]);
}

#[test]
fn a_superseded_agent_exits_and_does_nothing_more() {
    let mut bench = Bench::new();
    bench.event(10, Event::Superseded);
    assert_eq!(bench.out, [Output::Exit]);
    bench.order(11, 1, start(1, proof(10, 1)));
    assert!(bench.out.is_empty());
}

#[test]
fn a_record_resumes_and_completes_once() {
    let mut record = TaskRecord::new(RunNumber(0));
    let first = record
        .start(RunNumber(0), RunNumber(0), &name("w1"))
        .unwrap();
    assert!(
        record
            .start(RunNumber(0), RunNumber(0), &name("w2"))
            .is_err()
    );
    record.mark_live(first, Some(Checkpoint(5))).unwrap();
    record.evict(first).unwrap();
    assert!(record.start(first, RunNumber(0), &name("w2")).is_err());
    record.mark_ended(first, None).unwrap();
    let second = record.start(first, RunNumber(0), &name("w2")).unwrap();
    assert_eq!(second, RunNumber(2));
    assert!(record.start(first, RunNumber(0), &name("w3")).is_err());
    assert!(record.mark_finished(first).is_err());
    assert!(record.mark_ended(first, Some(Checkpoint(9))).is_err());
    assert_eq!(record.checkpoint, Some(Checkpoint(5)));
    record.mark_finished(second).unwrap();
    assert!(record.mark_finished(second).is_err());
}

struct CancelCase {
    what: &'static str,
    before: fn(&mut TaskRecord),
    after: fn(&mut TaskRecord),
    phase: Phase,
}

#[test]
fn cancellation_wins() {
    fn held(record: &mut TaskRecord) {
        record
            .start(RunNumber(0), RunNumber(0), &name("w1"))
            .unwrap();
    }
    let cases = [
        CancelCase {
            what: "waiting",
            before: |_| (),
            after: |r| assert!(r.start(RunNumber(0), RunNumber(0), &name("w1")).is_err()),
            phase: Phase::Cancelled,
        },
        CancelCase {
            what: "finished late",
            before: held,
            after: |r| r.mark_finished(RunNumber(1)).unwrap(),
            phase: Phase::Cancelled,
        },
        CancelCase {
            what: "failed late",
            before: held,
            after: |r| r.mark_failed(RunNumber(1), 1).unwrap(),
            phase: Phase::Cancelled,
        },
        CancelCase {
            what: "refused late",
            before: held,
            after: |r| r.mark_refused(RunNumber(1)).unwrap(),
            phase: Phase::Cancelled,
        },
        CancelCase {
            what: "running while it is stopped",
            before: held,
            after: |r| r.mark_live(RunNumber(1), None).unwrap(),
            phase: Phase::Cancelling { agent: name("w1") },
        },
    ];
    for case in cases {
        let mut record = TaskRecord::new(RunNumber(0));
        (case.before)(&mut record);
        record.cancel().unwrap();
        (case.after)(&mut record);
        assert_eq!(record.phase, case.phase, "{}", case.what);
    }
}

#[test]
fn the_wait_outlasts_the_hold_on_the_slowest_clock() {
    let fast = HOLD.as_secs_f64() / 0.999;
    let slow = with_drift_margin(HOLD).as_secs_f64() / 1.001;
    assert!(slow > fast);
}
