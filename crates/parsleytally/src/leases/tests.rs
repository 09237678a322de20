//! Tests of the agent's state machine and of the task records.

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

/// An agent in its second incarnation, started at second 0, with the outputs of its last step.
struct Harness {
    agent: Agent,
    out: Vec<Output>,
}

impl Harness {
    fn without_inventory() -> Self {
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
        let mut harness = Self::without_inventory();
        harness.step(0, Input::Inventory(Vec::new()));
        harness
    }

    fn step(&mut self, secs: u64, input: Input) {
        self.out.clear();
        self.agent.step(Time::from_secs(secs), input, &mut self.out);
    }

    fn step_order(&mut self, secs: u64, epoch: u64, kind: OrderKind) {
        let order = Order {
            shard: SHARD,
            epoch: Epoch(epoch),
            kind,
        };
        self.step(secs, Input::Order(order));
    }

    fn step_event(&mut self, secs: u64, event: Event) {
        self.step(secs, Input::Worker(event));
    }

    fn commands(&self) -> Vec<&Command> {
        let commands = self.out.iter().filter_map(|output| match output {
            Output::Worker(command) => Some(command),
            _ => None,
        });
        commands.collect()
    }

    fn starts(&self) -> usize {
        let commands = self.commands();
        let starts = commands
            .iter()
            .filter(|command| matches!(command, Command::Start { .. }));
        starts.count()
    }

    fn ignored(&self) -> Option<IgnoreReason> {
        self.out.iter().find_map(|output| match output {
            Output::Ignored(reason) => Some(*reason),
            _ => None,
        })
    }

    fn reported_state(&mut self, secs: u64, n: u64) -> Option<RunState> {
        self.step(secs, Input::Tick);
        let reports = self.out.iter().filter_map(|output| match output {
            Output::Report(report) => Some(report),
            _ => None,
        });
        let mut runs = reports.flat_map(|report| &report.runs);
        runs.find(|r| r.run == run(n)).map(|r| r.state.clone())
    }
}

fn proof(sent_at: u64, age: u64) -> Proof {
    Proof {
        incarnation: Incarnation(2),
        sent_at: Time::from_secs(sent_at),
        confirmation_age: Duration::from_secs(age),
        hold: HOLD,
    }
}

fn start(n: u64, proof: Proof) -> OrderKind {
    let spec = RunSpec {
        run: run(n),
        resources: NEED,
        command: Arc::from("sum"),
        run_time: Duration::ZERO,
        checkpoint: None,
    };
    OrderKind::Start { proof, spec }
}

fn renew(n: u64, proof: Proof) -> OrderKind {
    let runs = vec![run(n)];
    OrderKind::Renew { proof, runs }
}

fn ended(n: u64, state: RunState) -> Event {
    Event::Ended { run: run(n), state }
}

const STOPPED: RunState = RunState::Stopped { checkpoint: None };

struct StartCase {
    name: &'static str,
    accepted_epoch: u64,
    epoch: u64,
    proof: Proof,
    ignored: Option<IgnoreReason>,
}

#[test]
fn a_start_needs_the_highest_epoch_and_a_valid_proof() {
    let other_incarnation = Proof {
        incarnation: Incarnation(1),
        ..proof(9, 1)
    };
    let cases = [
        StartCase {
            name: "valid",
            accepted_epoch: 4,
            epoch: 4,
            proof: proof(9, 1),
            ignored: None,
        },
        StartCase {
            name: "lower epoch",
            accepted_epoch: 5,
            epoch: 4,
            proof: proof(9, 1),
            ignored: Some(IgnoreReason::StaleEpoch),
        },
        StartCase {
            name: "for the previous incarnation",
            accepted_epoch: 4,
            epoch: 4,
            proof: other_incarnation,
            ignored: Some(IgnoreReason::StaleProof),
        },
        StartCase {
            name: "confirmed before this incarnation started",
            accepted_epoch: 0,
            epoch: 4,
            proof: proof(9, 10),
            ignored: Some(IgnoreReason::StaleProof),
        },
        StartCase {
            name: "answers a report that was not sent yet",
            accepted_epoch: 4,
            epoch: 4,
            proof: proof(11, 1),
            ignored: Some(IgnoreReason::StaleProof),
        },
        StartCase {
            name: "confirmation as old as the hold time",
            accepted_epoch: 4,
            epoch: 4,
            proof: proof(9, 30),
            ignored: Some(IgnoreReason::StaleProof),
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        harness.step_order(1, case.accepted_epoch, OrderKind::Claim);
        harness.step_order(10, case.epoch, start(1, case.proof));
        assert_eq!(harness.ignored(), case.ignored, "{}", case.name);
        assert_eq!(
            harness.starts() == 1,
            case.ignored.is_none(),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_start_delayed_past_its_deadline_is_ignored() {
    let mut harness = Harness::new();
    harness.step_order(36, 1, start(1, proof(8, 2)));
    assert_eq!(harness.ignored(), Some(IgnoreReason::StaleProof));
}

#[test]
fn starts_are_ignored_until_the_worker_has_reported_its_runs() {
    let mut harness = Harness::without_inventory();
    harness.step_order(10, 4, start(1, proof(9, 1)));
    assert_eq!(harness.ignored(), Some(IgnoreReason::Unbuilt));
    let found = WorkerRun {
        shard: SHARD,
        run: run(7),
        resources: NEED,
        lease_end: Time::from_secs(20),
        checkpoint: None,
        state: WorkerRunState::Running,
    };
    harness.step(10, Input::Inventory(vec![found]));
    harness.step_order(10, 3, start(8, proof(9, 1)));
    assert_eq!(harness.ignored(), Some(IgnoreReason::StaleEpoch));
    let ledger = harness.agent.ledger().unwrap();
    assert_eq!(ledger.used(), NEED);
    assert!(harness.reported_state(11, 7).unwrap().is_live());
}

#[test]
fn a_run_found_after_a_restart_is_stopped_unless_its_lease_is_renewed() {
    for renewed in [false, true] {
        let found = WorkerRun {
            shard: SHARD,
            run: run(7),
            resources: NEED,
            lease_end: Time::from_secs(20),
            checkpoint: None,
            state: WorkerRunState::Running,
        };
        let mut harness = Harness::without_inventory();
        harness.step(1, Input::Inventory(vec![found]));
        if renewed {
            harness.step_order(10, 1, renew(7, proof(9, 1)));
        }
        harness.step(18, Input::Tick);
        let stopped = harness.commands();
        let stopped = stopped.iter().any(|c| matches!(c, Command::Stop { .. }));
        assert_eq!(stopped, !renewed);
    }
}

#[test]
fn a_duplicate_start_runs_once_also_after_the_run_ended() {
    let mut harness = Harness::new();
    harness.step_order(10, 1, start(1, proof(9, 1)));
    assert_eq!(harness.starts(), 1);
    harness.step_order(11, 1, start(1, proof(10, 1)));
    assert_eq!(harness.starts(), 0);
    harness.step_event(12, Event::Started { run: run(1) });
    harness.step_event(13, ended(1, RunState::Finished));
    harness.step_order(14, 1, start(1, proof(10, 1)));
    assert_eq!(harness.starts(), 0);
    let forget = OrderKind::Forget {
        run: run(1),
        hold: HOLD,
    };
    harness.step_order(15, 1, forget);
    assert_eq!(harness.reported_state(15, 1), None);
    harness.step_order(16, 1, start(1, proof(14, 1)));
    assert_eq!(harness.ignored(), Some(IgnoreReason::StaleRun));
    assert_eq!(harness.agent.ledger().unwrap().used(), Resources::NONE);
}

#[test]
fn a_refused_start_stays_refused_when_capacity_is_freed() {
    let mut harness = Harness::new();
    harness.step_order(10, 1, start(1, proof(9, 1)));
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
    harness.step_order(10, 1, order(proof(9, 1)));
    assert_eq!(harness.starts(), 0);
    harness.step_event(11, ended(1, RunState::Finished));
    harness.step_order(12, 1, order(proof(11, 1)));
    assert_eq!(harness.starts(), 0);
    let Some(Output::Report(report)) = harness.out.last() else {
        panic!("no report");
    };
    let found = report.runs.iter().find(|r| r.run == other).unwrap();
    let RunState::Refused { reason } = &found.state else {
        panic!("{found:?}");
    };
    assert!(reason.starts_with("cpu is short"), "{reason}");
}

#[test]
fn a_run_stopped_before_its_start_arrives_never_starts() {
    let mut harness = Harness::new();
    harness.step_order(10, 1, OrderKind::Stop { run: run(1) });
    harness.step_event(10, ended(1, STOPPED));
    harness.step_order(11, 1, start(1, proof(9, 1)));
    assert_eq!(harness.starts(), 0);
    assert_eq!(harness.reported_state(12, 1), Some(STOPPED));
}

#[test]
fn an_unknown_run_is_reported_as_stopped_only_after_the_worker_confirms() {
    let mut harness = Harness::new();
    harness.step_order(10, 1, OrderKind::Stop { run: run(1) });
    assert!(harness.reported_state(11, 1).unwrap().is_live());
    harness.step_event(12, ended(1, STOPPED));
    assert_eq!(harness.reported_state(12, 1), Some(STOPPED));
}

#[test]
fn an_unrenewed_run_is_saved_and_stopped_before_its_deadline() {
    let mut harness = Harness::new();
    harness.step_order(10, 1, start(1, proof(9, 4)));
    harness.step_event(10, Event::Started { run: run(1) });
    assert_eq!(harness.agent.next_deadline(), Some(Time::from_secs(33)));
    harness.step(32, Input::Tick);
    assert!(harness.commands().is_empty());
    harness.step(33, Input::Tick);
    assert!(matches!(
        harness.commands()[0],
        Command::Stop { save: true, .. }
    ));
    harness.step_order(34, 1, renew(1, proof(33, 0)));
    let extended = harness.commands();
    let extended = extended.iter().any(|c| matches!(c, Command::Extend { .. }));
    assert!(!extended, "a stopping run was extended");
    harness.step(35, Input::Tick);
    assert!(matches!(
        harness.commands()[0],
        Command::Stop { save: false, .. }
    ));
    assert_eq!(harness.agent.ledger().unwrap().used(), NEED);
}

#[test]
fn an_agent_paused_past_the_deadline_stops_the_run_before_it_handles_orders() {
    let mut harness = Harness::new();
    harness.step_order(10, 1, start(1, proof(9, 4)));
    harness.step_order(60, 1, renew(1, proof(10, 0)));
    assert!(matches!(
        harness.commands()[0],
        Command::Stop { save: false, .. }
    ));
    assert_eq!(harness.ignored(), Some(IgnoreReason::StaleProof));
}

#[test]
fn a_renewal_never_shortens_a_deadline() {
    let mut harness = Harness::new();
    harness.step_order(10, 1, start(1, proof(9, 1)));
    harness.step_order(11, 1, renew(1, proof(8, 4)));
    assert!(harness.commands().is_empty());
    harness.step_order(12, 1, renew(1, proof(11, 0)));
    let lease_end = Time::from_secs(41);
    let extend = Command::Extend {
        run: run(1),
        lease_end,
    };
    assert_eq!(harness.commands(), [&extend]);
}

#[test]
fn a_superseded_agent_exits_and_ignores_further_inputs() {
    let mut harness = Harness::new();
    harness.step_event(10, Event::Superseded);
    assert_eq!(harness.out, [Output::Exit]);
    harness.step_order(11, 1, start(1, proof(10, 1)));
    assert!(harness.out.is_empty());
}

#[test]
fn a_task_resumes_and_completes_once() {
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
    name: &'static str,
    before: fn(&mut TaskRecord),
    after: fn(&mut TaskRecord),
    phase: Phase,
}

#[test]
fn a_cancelled_task_stays_cancelled() {
    fn started(record: &mut TaskRecord) {
        record
            .start(RunNumber(0), RunNumber(0), &name("w1"))
            .unwrap();
    }
    let cases = [
        CancelCase {
            name: "waiting",
            before: |_| (),
            after: |r| assert!(r.start(RunNumber(0), RunNumber(0), &name("w1")).is_err()),
            phase: Phase::Cancelled,
        },
        CancelCase {
            name: "finished after the cancellation",
            before: started,
            after: |r| r.mark_finished(RunNumber(1)).unwrap(),
            phase: Phase::Cancelled,
        },
        CancelCase {
            name: "failed after the cancellation",
            before: started,
            after: |r| r.mark_failed(RunNumber(1), 1).unwrap(),
            phase: Phase::Cancelled,
        },
        CancelCase {
            name: "refused after the cancellation",
            before: started,
            after: |r| r.mark_refused(RunNumber(1)).unwrap(),
            phase: Phase::Cancelled,
        },
        CancelCase {
            name: "still live while it is stopped",
            before: started,
            after: |r| r.mark_live(RunNumber(1), None).unwrap(),
            phase: Phase::Cancelling { agent: name("w1") },
        },
    ];
    for case in cases {
        let mut record = TaskRecord::new(RunNumber(0));
        (case.before)(&mut record);
        record.cancel().unwrap();
        (case.after)(&mut record);
        assert_eq!(record.phase, case.phase, "{}", case.name);
    }
}

#[test]
fn the_drift_margin_covers_the_hold_time_on_the_slowest_clock() {
    let hold_on_slow_clock = HOLD.as_secs_f64() / 0.999;
    let wait_on_fast_clock = with_drift_margin(HOLD).as_secs_f64() / 1.001;
    assert!(wait_on_fast_clock > hold_on_slow_clock);
}
