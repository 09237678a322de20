//! Tests of the owner of a shard.

use std::sync::Arc;
use std::time::Duration;

use super::{node, task};
use crate::leases::{Checkpoint, Order, OrderKind, Phase, Report, RunReport, RunState};
use crate::ownership::{
    Batch, Owner, OwnerConfig, OwnerInput, OwnerOutput, OwnerRecord, Ownership, SegmentId,
    TaskSpec, WriteResult,
};
use crate::types::{Epoch, Incarnation, Resources, RunId, RunNumber, ShardId, Time};

const HOLD: Duration = Duration::from_secs(30);
const SHARD: ShardId = ShardId(3);

/// An owner whose journal writes succeed immediately, or get no answer if `store_unreachable`.
struct Fixture {
    owner: Owner,
    stored: Vec<(SegmentId, Vec<u8>)>,
    writes: Vec<Batch>,
    store_unreachable: bool,
    out: Vec<OwnerOutput>,
}

fn config() -> OwnerConfig {
    OwnerConfig {
        flush_interval: Duration::ZERO,
        max_faults: 2,
    }
}

impl Fixture {
    fn new() -> Self {
        Self::successor(0, false, Vec::new(), None)
    }

    /// Creates the owner after `previous`, from the segments in `stored`.
    fn successor(
        secs: u64,
        unjournaled_starts: bool,
        stored: Vec<(SegmentId, Vec<u8>)>,
        previous: Option<&OwnerRecord>,
    ) -> Self {
        let record = OwnerRecord::successor(
            previous,
            &node("e1"),
            Incarnation(1),
            HOLD,
            unjournaled_starts,
        );
        let now = Time::from_secs(secs);
        let term = Ownership::new(SHARD, &record, now);
        let owner = Owner::new(config(), term, now, &stored).unwrap();
        let mut fixture = Self {
            owner,
            stored,
            writes: Vec::new(),
            store_unreachable: false,
            out: Vec::new(),
        };
        fixture.confirm(secs);
        fixture
    }

    /// Creates the next owner of the shard from the stored segments.
    fn next_owner(&self, secs: u64, ahead: bool) -> Self {
        let old = OwnerRecord::successor(None, &node("e0"), Incarnation(1), HOLD, ahead);
        Self::successor(secs, ahead, self.stored.clone(), Some(&old))
    }

    fn step(&mut self, secs: u64, input: OwnerInput) {
        self.out.clear();
        let now = Time::from_secs(secs);
        self.owner.step(now, input, &mut self.out);
        self.write(now);
    }

    fn write(&mut self, now: Time) {
        let batches = self.out.iter().filter_map(|o| match o {
            OwnerOutput::Write(batch) => Some(batch.clone()),
            _ => None,
        });
        let batches: Vec<_> = batches.collect();
        self.writes.extend(batches.iter().cloned());
        for batch in batches.into_iter().filter(|_| !self.store_unreachable) {
            for (id, bytes) in batch.segments {
                self.stored.retain(|(old, _)| *old != id);
                self.stored.push((id, bytes));
            }
            let result = WriteResult::Accepted { sent_at: now };
            let seq = batch.seq;
            let input = OwnerInput::Written { seq, result };
            self.owner.step(now, input, &mut self.out);
        }
    }

    fn confirm(&mut self, secs: u64) {
        let sent_at = Time::from_secs(secs);
        self.step(secs, OwnerInput::Confirmed { sent_at });
    }

    fn add_task(&mut self) {
        let task = task("count");
        self.step(0, OwnerInput::Add { task });
        self.heartbeat(0, "w1");
        self.heartbeat(0, "w2");
    }

    fn heartbeat(&mut self, secs: u64, agent: &str) {
        let input = OwnerInput::Heartbeat {
            agent: node(agent),
            incarnation: Incarnation(1),
            sent: Time::from_secs(secs),
        };
        self.step(secs, input);
    }

    fn place(&mut self, secs: u64, expected_run: u64, agent: &str) {
        let input = OwnerInput::Place {
            task: task("count"),
            expected_run: RunNumber(expected_run),
            agent: node(agent),
            spec: TaskSpec {
                need: Resources::new(1, 1, 0),
                command: Arc::from("sum"),
                run_time: Duration::ZERO,
            },
        };
        self.step(secs, input);
    }

    fn report(&mut self, secs: u64, agent: &str, runs: &[(u64, RunState)]) {
        self.report_from(secs, agent, 1, self.owner.ownership().epoch.0, runs);
    }

    fn report_from(
        &mut self,
        secs: u64,
        agent: &str,
        incarnation: u64,
        epoch: u64,
        runs: &[(u64, RunState)],
    ) {
        let runs = runs.iter().map(|(n, state)| RunReport {
            run: run(*n),
            state: state.clone(),
        });
        let report = Report {
            agent: node(agent),
            incarnation: Incarnation(incarnation),
            sent_at: Time::from_secs(secs),
            shard: SHARD,
            epoch: Epoch(epoch),
            runs: runs.collect(),
        };
        self.step(secs, OwnerInput::Report(report));
    }

    fn phase(&self) -> Phase {
        self.owner.record(&task("count")).unwrap().phase.clone()
    }

    fn orders(&self) -> Vec<&Order> {
        let orders = self.out.iter().filter_map(|o| match o {
            OwnerOutput::Order { order, .. } => Some(order),
            _ => None,
        });
        orders.collect()
    }

    fn starts(&self) -> usize {
        let starts = |o: &&&Order| matches!(o.kind, OrderKind::Start { .. });
        self.orders().iter().filter(starts).count()
    }

    fn stops(&self, n: u64) -> bool {
        let stop = OrderKind::Stop { run: run(n) };
        self.orders().iter().any(|o| o.kind == stop)
    }

    fn completions(&self) -> usize {
        let completed = |o: &&OwnerOutput| matches!(o, OwnerOutput::Completed { .. });
        self.out.iter().filter(completed).count()
    }
}

fn run(n: u64) -> RunId {
    RunId {
        task: task("count"),
        run: RunNumber(n),
    }
}

const LIVE: RunState = RunState::Live { checkpoint: None };
const STOPPED: RunState = RunState::Stopped {
    checkpoint: Some(Checkpoint(5)),
};

fn running(agent: &str) -> Fixture {
    let mut fixture = Fixture::new();
    fixture.add_task();
    fixture.place(1, 0, agent);
    fixture.report(2, agent, &[(1, LIVE)]);
    fixture
}

#[test]
fn a_start_is_sent_only_after_it_is_journaled() {
    let mut fixture = Fixture::new();
    fixture.add_task();
    fixture.store_unreachable = true;
    fixture.place(1, 0, "w1");
    assert_eq!(fixture.starts(), 0);
    let seq = fixture.writes[0].seq;
    let result = WriteResult::Unknown;
    fixture.step(2, OwnerInput::Written { seq, result });
    assert_eq!(fixture.writes[1], fixture.writes[0]);
    assert_eq!(fixture.starts(), 0);
    let result = WriteResult::Accepted {
        sent_at: Time::from_secs(3),
    };
    fixture.step(3, OwnerInput::Written { seq, result });
    assert_eq!(fixture.starts(), 1);
}

#[test]
fn an_unjournaled_start_is_sent_immediately_if_allowed() {
    let mut fixture = Fixture::successor(0, true, Vec::new(), None);
    fixture.add_task();
    fixture.store_unreachable = true;
    fixture.place(1, 0, "w1");
    assert_eq!(fixture.starts(), 1);
}

#[test]
fn no_run_is_placed_or_kept_past_the_hold_time() {
    let mut fixture = running("w1");
    fixture.report(29, "w1", &[(1, LIVE)]);
    assert!(matches!(fixture.orders()[0].kind, OrderKind::Renew { .. }));
    fixture.report(32, "w1", &[(1, LIVE)]);
    assert!(fixture.orders().is_empty());
    let mut idle = Fixture::new();
    idle.add_task();
    idle.place(30, 0, "w1");
    assert_eq!(idle.phase(), Phase::Waiting);
}

#[test]
fn a_task_is_placed_once_per_run_number() {
    let mut fixture = running("w1");
    fixture.place(3, 0, "w2");
    fixture.place(3, 1, "w2");
    assert_eq!(fixture.starts(), 0);
    assert_eq!(fixture.phase(), Phase::Running { agent: node("w1") });
}

#[test]
fn an_unanswered_start_is_repeated_to_the_same_incarnation_only() {
    let mut fixture = Fixture::new();
    fixture.add_task();
    fixture.place(1, 0, "w1");
    fixture.report(2, "w1", &[]);
    assert_eq!(fixture.starts(), 1);
    fixture.report_from(3, "w1", 2, 1, &[]);
    assert_eq!(fixture.starts(), 0);
    assert!(fixture.stops(1));
    assert_eq!(fixture.phase(), Phase::Starting { agent: node("w1") });
}

#[test]
fn a_refused_start_may_be_placed_elsewhere_immediately() {
    let mut fixture = Fixture::new();
    fixture.add_task();
    fixture.place(1, 0, "w1");
    let refused = RunState::Refused {
        reason: Arc::from("memory is short"),
    };
    fixture.report(2, "w1", &[(1, refused)]);
    assert_eq!(fixture.phase(), Phase::Waiting);
    fixture.place(2, 1, "w2");
    assert_eq!(fixture.starts(), 1);
}

struct ExpiryCase {
    what: &'static str,
    confirmed: u64,
    now: u64,
    lost: bool,
}

#[test]
fn a_run_without_reports_expires_after_the_last_confirmation_sent_to_its_worker() {
    let cases = [
        ExpiryCase {
            what: "one second too early",
            confirmed: 10,
            now: 40,
            lost: false,
        },
        ExpiryCase {
            what: "hold time plus the clock drift allowance",
            confirmed: 10,
            now: 41,
            lost: true,
        },
        ExpiryCase {
            what: "extended by a later confirmation",
            confirmed: 20,
            now: 41,
            lost: false,
        },
    ];
    for case in cases {
        let mut fixture = running("w1");
        fixture.confirm(case.confirmed);
        fixture.report(case.confirmed + 5, "w1", &[(1, LIVE)]);
        fixture.confirm(case.now - 1);
        fixture.step(case.now, OwnerInput::Tick);
        assert_eq!(
            fixture.phase() == Phase::Evicted,
            case.lost,
            "{}",
            case.what
        );
    }
}

#[test]
fn a_lost_worker_ends_its_runs_immediately() {
    let mut fixture = running("w1");
    fixture.step(3, OwnerInput::WorkerLost { agent: node("w1") });
    assert_eq!(fixture.phase(), Phase::Evicted);
}

#[test]
fn a_completion_counts_once_and_only_when_durable() {
    let mut fixture = running("w1");
    fixture.store_unreachable = true;
    fixture.report(3, "w1", &[(1, RunState::Finished)]);
    fixture.report(4, "w1", &[(1, RunState::Finished)]);
    assert_eq!(fixture.completions(), 0);
    assert!(!fixture.owner.is_completed(&task("count")));
    let forgets = |o: &&&Order| matches!(o.kind, OrderKind::Forget { .. });
    assert_eq!(fixture.orders().iter().filter(forgets).count(), 0);
    let seq = fixture.writes.last().unwrap().seq;
    let result = WriteResult::Accepted {
        sent_at: Time::from_secs(5),
    };
    fixture.step(5, OwnerInput::Written { seq, result });
    assert_eq!(fixture.completions(), 1);
    assert!(fixture.owner.is_completed(&task("count")));
    assert_eq!(fixture.orders().iter().filter(forgets).count(), 1);
    fixture.report(6, "w1", &[(1, RunState::Finished)]);
    assert_eq!(fixture.completions(), 0);
}

#[test]
fn a_completion_of_an_earlier_run_does_not_count() {
    let mut fixture = running("w1");
    fixture.step(3, OwnerInput::WorkerLost { agent: node("w1") });
    fixture.place(3, 1, "w2");
    fixture.report(4, "w1", &[(1, RunState::Finished)]);
    assert_eq!(fixture.completions(), 0);
    assert_eq!(fixture.phase(), Phase::Starting { agent: node("w2") });
}

#[test]
fn a_late_end_counts_until_the_task_is_resumed() {
    for (state, phase) in [
        (RunState::Finished, Phase::Finished),
        (STOPPED, Phase::Evicted),
    ] {
        let mut fixture = running("w1");
        fixture.confirm(33);
        fixture.step(34, OwnerInput::Tick);
        assert_eq!(fixture.phase(), Phase::Evicted);
        fixture.report(35, "w1", &[(1, state.clone())]);
        fixture.report(36, "w1", &[(1, state)]);
        assert_eq!(fixture.phase(), phase);
    }
}

#[test]
fn an_evicted_task_resumes_once_from_its_checkpoint() {
    let mut fixture = running("w1");
    let evict = OwnerInput::Evict {
        task: task("count"),
        run: RunNumber(1),
    };
    fixture.step(3, evict);
    assert!(fixture.stops(1));
    fixture.place(3, 1, "w2");
    assert_eq!(fixture.starts(), 0);
    fixture.report(4, "w1", &[(1, STOPPED)]);
    fixture.place(4, 1, "w2");
    let orders = fixture.orders();
    let OrderKind::Start { spec: start, .. } = &orders.last().unwrap().kind else {
        panic!("{orders:?}");
    };
    assert_eq!(start.checkpoint, Some(Checkpoint(5)));
    fixture.place(4, 1, "w1");
    assert_eq!(fixture.starts(), 0);
    fixture.report(5, "w1", &[(1, STOPPED)]);
    assert_eq!(fixture.phase(), Phase::Starting { agent: node("w2") });
}

#[test]
fn cancellation_overrides_start_and_completion() {
    let mut fixture = Fixture::new();
    fixture.add_task();
    fixture.place(1, 0, "w1");
    let cancel = || OwnerInput::Cancel {
        task: task("count"),
    };
    fixture.step(2, cancel());
    assert!(fixture.stops(1));
    fixture.report(3, "w1", &[(1, RunState::Finished)]);
    assert_eq!(fixture.phase(), Phase::Cancelled);
    assert_eq!(fixture.completions(), 0);
    fixture.step(4, cancel());
    fixture.place(4, 1, "w2");
    assert_eq!(fixture.starts(), 0);
}

#[test]
fn a_task_added_again_gets_higher_run_numbers() {
    let mut fixture = running("w1");
    let key = || task("count");
    fixture.step(3, OwnerInput::Remove { task: key() });
    fixture.report(4, "w1", &[(1, STOPPED)]);
    assert!(fixture.owner.record(&key()).is_none());
    let mut successor = fixture.next_owner(5, false);
    successor.step(5, OwnerInput::Add { task: key() });
    assert_eq!(successor.owner.record(&key()).unwrap().run, RunNumber(1));
    successor.step(5, OwnerInput::Remove { task: key() });
    successor.step(5, OwnerInput::Add { task: key() });
    assert_eq!(successor.owner.record(&key()).unwrap().run, RunNumber(1));
}

#[test]
fn a_task_fails_after_the_maximum_of_failed_runs() {
    let mut fixture = running("w1");
    let failed = || RunState::Failed {
        reason: Arc::from("exit code 1"),
    };
    fixture.report(3, "w1", &[(1, failed())]);
    fixture.place(4, 1, "w2");
    fixture.report(5, "w2", &[(2, failed())]);
    assert_eq!(fixture.phase(), Phase::Failed);
}

#[test]
fn a_successor_keeps_reported_runs_and_lets_others_expire() {
    let mut successor = running("w1").next_owner(10, false);
    successor.step(10, OwnerInput::Tick);
    assert_eq!(successor.orders()[0].kind, OrderKind::Claim);
    successor.report_from(11, "w1", 1, 1, &[(1, LIVE)]);
    assert_eq!(successor.orders()[0].kind, OrderKind::Claim);
    assert!(!successor.owner.is_recovered());
    let mut unreported = running("w1").next_owner(10, false);
    successor.report(12, "w1", &[(1, LIVE)]);
    assert!(successor.owner.is_recovered());
    assert_eq!(successor.phase(), Phase::Running { agent: node("w1") });
    unreported.confirm(39);
    unreported.step(40, OwnerInput::Tick);
    assert!(!unreported.owner.is_recovered());
    unreported.step(41, OwnerInput::Tick);
    assert!(unreported.owner.is_recovered());
    assert_eq!(unreported.phase(), Phase::Evicted);
}

#[test]
fn a_successor_places_tasks_immediately_if_all_starts_are_journaled() {
    for (ahead, placed) in [(false, 1), (true, 0)] {
        let mut first = Fixture::new();
        first.add_task();
        let mut successor = first.next_owner(10, ahead);
        successor.step(
            10,
            OwnerInput::Add {
                task: task("count"),
            },
        );
        successor.heartbeat(10, "w1");
        successor.place(10, 0, "w1");
        assert_eq!(successor.starts(), placed, "ahead: {ahead}");
    }
}

#[test]
fn a_successor_adopts_a_run_missing_from_an_incomplete_journal() {
    let mut successor = running("w1").next_owner(10, true);
    successor.report(11, "w2", &[(2, LIVE)]);
    assert_eq!(successor.phase(), Phase::Running { agent: node("w2") });
    successor.report(12, "w1", &[(1, STOPPED)]);
    assert_eq!(successor.phase(), Phase::Running { agent: node("w2") });
    assert_eq!(
        successor.owner.record(&task("count")).unwrap().run,
        RunNumber(2)
    );
}

#[test]
fn a_successor_defers_a_completion_until_no_later_run_can_exist() {
    for later in [false, true] {
        let mut successor = running("w1").next_owner(10, true);
        successor.report(11, "w1", &[(1, RunState::Finished)]);
        assert_eq!(successor.completions(), 0);
        if later {
            successor.report(12, "w2", &[(2, LIVE)]);
        }
        successor.confirm(20);
        successor.report(30, "w2", if later { &[(2, LIVE)] } else { &[] });
        successor.step(41, OwnerInput::Tick);
        assert_eq!(successor.phase() == Phase::Finished, !later);
        assert_eq!(successor.completions(), usize::from(!later));
    }
}

#[test]
fn a_successor_with_an_incomplete_journal_reuses_no_run_number() {
    let mut successor = Fixture::new().next_owner(10, true);
    successor.step(
        10,
        OwnerInput::Add {
            task: task("count"),
        },
    );
    successor.confirm(40);
    successor.heartbeat(41, "w2");
    successor.place(41, 0, "w2");
    let run = successor.owner.record(&task("count")).unwrap().run;
    assert_eq!(run, RunNumber((2 << 32) + 1));
}

#[test]
fn a_fenced_owner_ignores_further_input() {
    for by_report in [false, true] {
        let mut fixture = running("w1");
        if by_report {
            fixture.report_from(3, "w1", 1, 2, &[(1, LIVE)]);
        } else {
            let result = WriteResult::Fenced;
            fixture.step(3, OwnerInput::Written { seq: 9, result });
        }
        assert_eq!(fixture.out, [OwnerOutput::Superseded]);
        fixture.place(4, 1, "w2");
        fixture.report(4, "w1", &[(1, LIVE)]);
        assert!(fixture.out.is_empty());
    }
}

#[test]
fn a_damaged_journal_is_rejected() {
    let record = OwnerRecord::successor(None, &node("e1"), Incarnation(1), HOLD, false);
    let term = Ownership::new(SHARD, &record, Time::ZERO);
    let damaged = [(SegmentId(2), vec![1, 255])];
    let error = Owner::new(config(), term, Time::ZERO, &damaged).unwrap_err();
    assert!(error.to_string().starts_with("journal segment 2"));
}
