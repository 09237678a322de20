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

/// An owner whose journal is written at once unless `cut`.
struct Bench {
    owner: Owner,
    stored: Vec<(SegmentId, Vec<u8>)>,
    writes: Vec<Batch>,
    cut: bool,
    out: Vec<OwnerOutput>,
}

fn config() -> OwnerConfig {
    OwnerConfig {
        flush_interval: Duration::ZERO,
        max_faults: 2,
    }
}

impl Bench {
    fn new() -> Self {
        Self::heir(0, false, Vec::new(), None)
    }

    /// An owner that follows `old`, which could start runs ahead of the journal.
    fn heir(
        secs: u64,
        ahead: bool,
        stored: Vec<(SegmentId, Vec<u8>)>,
        old: Option<&OwnerRecord>,
    ) -> Self {
        let record = OwnerRecord::successor(old, &node("e1"), Incarnation(1), HOLD, ahead);
        let now = Time::from_secs(secs);
        let term = Ownership::new(SHARD, &record, now);
        let owner = Owner::new(config(), term, now, &stored).unwrap();
        let mut bench = Self {
            owner,
            stored,
            writes: Vec::new(),
            cut: false,
            out: Vec::new(),
        };
        bench.confirm(secs);
        bench
    }

    /// The next owner of the shard, from what is in the store.
    fn replace(&self, secs: u64, ahead: bool) -> Self {
        let old = OwnerRecord::successor(None, &node("e0"), Incarnation(1), HOLD, ahead);
        Self::heir(secs, ahead, self.stored.clone(), Some(&old))
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
        for batch in batches.into_iter().filter(|_| !self.cut) {
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
        let asked = Time::from_secs(secs);
        self.step(secs, OwnerInput::Confirmed { sent_at: asked });
    }

    fn accept(&mut self) {
        let task = task("count");
        self.step(0, OwnerInput::Add { task });
        self.beat(0, "w1");
        self.beat(0, "w2");
    }

    fn beat(&mut self, secs: u64, agent: &str) {
        let input = OwnerInput::Heartbeat {
            agent: node(agent),
            incarnation: Incarnation(1),
            sent: Time::from_secs(secs),
        };
        self.step(secs, input);
    }

    fn place(&mut self, secs: u64, expect: u64, agent: &str) {
        let input = OwnerInput::Place {
            task: task("count"),
            expected_run: RunNumber(expect),
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
        self.report_of(secs, agent, 1, self.owner.ownership().epoch.0, runs);
    }

    fn report_of(
        &mut self,
        secs: u64,
        agent: &str,
        life: u64,
        epoch: u64,
        runs: &[(u64, RunState)],
    ) {
        let runs = runs.iter().map(|(n, state)| RunReport {
            run: run(*n),
            state: state.clone(),
        });
        let report = Report {
            agent: node(agent),
            life: Incarnation(life),
            sent: Time::from_secs(secs),
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

    fn counted(&self) -> usize {
        let counted = |o: &&OwnerOutput| matches!(o, OwnerOutput::Completed { .. });
        self.out.iter().filter(counted).count()
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

fn running(agent: &str) -> Bench {
    let mut bench = Bench::new();
    bench.accept();
    bench.place(1, 0, agent);
    bench.report(2, agent, &[(1, LIVE)]);
    bench
}

#[test]
fn a_start_is_sent_only_once_the_journal_has_it() {
    let mut bench = Bench::new();
    bench.accept();
    bench.cut = true;
    bench.place(1, 0, "w1");
    assert_eq!(bench.starts(), 0);
    let seq = bench.writes[0].seq;
    let result = WriteResult::Unknown;
    bench.step(2, OwnerInput::Written { seq, result });
    assert_eq!(bench.writes[1], bench.writes[0]);
    assert_eq!(bench.starts(), 0);
    let result = WriteResult::Accepted {
        sent_at: Time::from_secs(3),
    };
    bench.step(3, OwnerInput::Written { seq, result });
    assert_eq!(bench.starts(), 1);
}

#[test]
fn a_start_ahead_of_the_journal_is_sent_at_once() {
    let mut bench = Bench::heir(0, true, Vec::new(), None);
    bench.accept();
    bench.cut = true;
    bench.place(1, 0, "w1");
    assert_eq!(bench.starts(), 1);
}

#[test]
fn past_the_hold_time_nothing_is_placed_or_kept() {
    let mut bench = running("w1");
    bench.report(29, "w1", &[(1, LIVE)]);
    assert!(matches!(bench.orders()[0].kind, OrderKind::Keep { .. }));
    bench.report(32, "w1", &[(1, LIVE)]);
    assert!(bench.orders().is_empty());
    let mut idle = Bench::new();
    idle.accept();
    idle.place(30, 0, "w1");
    assert_eq!(idle.phase(), Phase::Waiting);
}

#[test]
fn a_task_is_placed_once_from_one_run() {
    let mut bench = running("w1");
    bench.place(3, 0, "w2");
    bench.place(3, 1, "w2");
    assert_eq!(bench.starts(), 0);
    assert_eq!(bench.phase(), Phase::Running { agent: node("w1") });
}

#[test]
fn an_unanswered_start_is_repeated_to_the_same_life_only() {
    let mut bench = Bench::new();
    bench.accept();
    bench.place(1, 0, "w1");
    bench.report(2, "w1", &[]);
    assert_eq!(bench.starts(), 1);
    bench.report_of(3, "w1", 2, 1, &[]);
    assert_eq!(bench.starts(), 0);
    assert!(bench.stops(1));
    assert_eq!(bench.phase(), Phase::Starting { agent: node("w1") });
}

#[test]
fn a_refused_start_may_go_elsewhere_at_once() {
    let mut bench = Bench::new();
    bench.accept();
    bench.place(1, 0, "w1");
    let refused = RunState::Refused {
        reason: Arc::from("memory is short"),
    };
    bench.report(2, "w1", &[(1, refused)]);
    assert_eq!(bench.phase(), Phase::Waiting);
    bench.place(2, 1, "w2");
    assert_eq!(bench.starts(), 1);
}

struct SilentCase {
    what: &'static str,
    kept: u64,
    now: u64,
    lost: bool,
}

#[test]
fn a_silent_worker_is_out_waited_from_the_last_confirmation_it_may_have_seen() {
    let cases = [
        SilentCase {
            what: "one second too early",
            kept: 10,
            now: 40,
            lost: false,
        },
        SilentCase {
            what: "with the bound on drift",
            kept: 10,
            now: 41,
            lost: true,
        },
        SilentCase {
            what: "kept later",
            kept: 20,
            now: 41,
            lost: false,
        },
    ];
    for case in cases {
        let mut bench = running("w1");
        bench.confirm(case.kept);
        bench.report(case.kept + 5, "w1", &[(1, LIVE)]);
        bench.confirm(case.now - 1);
        bench.step(case.now, OwnerInput::Tick);
        assert_eq!(bench.phase() == Phase::Evicted, case.lost, "{}", case.what);
    }
}

#[test]
fn a_replaced_worker_is_not_waited_for() {
    let mut bench = running("w1");
    bench.step(3, OwnerInput::WorkerLost { agent: node("w1") });
    assert_eq!(bench.phase(), Phase::Evicted);
}

#[test]
fn completion_counts_once_and_only_when_it_lasts() {
    let mut bench = running("w1");
    bench.cut = true;
    bench.report(3, "w1", &[(1, RunState::Finished)]);
    bench.report(4, "w1", &[(1, RunState::Finished)]);
    assert_eq!(bench.counted(), 0);
    assert!(!bench.owner.is_completed(&task("count")));
    let forgets = |o: &&&Order| matches!(o.kind, OrderKind::Forget { .. });
    assert_eq!(bench.orders().iter().filter(forgets).count(), 0);
    let seq = bench.writes.last().unwrap().seq;
    let result = WriteResult::Accepted {
        sent_at: Time::from_secs(5),
    };
    bench.step(5, OwnerInput::Written { seq, result });
    assert_eq!(bench.counted(), 1);
    assert!(bench.owner.is_completed(&task("count")));
    assert_eq!(bench.orders().iter().filter(forgets).count(), 1);
    bench.report(6, "w1", &[(1, RunState::Finished)]);
    assert_eq!(bench.counted(), 0);
}

#[test]
fn a_completion_of_an_earlier_run_does_not_count() {
    let mut bench = running("w1");
    bench.step(3, OwnerInput::WorkerLost { agent: node("w1") });
    bench.place(3, 1, "w2");
    bench.report(4, "w1", &[(1, RunState::Finished)]);
    assert_eq!(bench.counted(), 0);
    assert_eq!(bench.phase(), Phase::Starting { agent: node("w2") });
}

#[test]
fn a_late_end_counts_while_the_task_is_not_resumed() {
    for (state, phase) in [
        (RunState::Finished, Phase::Finished),
        (STOPPED, Phase::Evicted),
    ] {
        let mut bench = running("w1");
        bench.confirm(33);
        bench.step(34, OwnerInput::Tick);
        assert_eq!(bench.phase(), Phase::Evicted);
        bench.report(35, "w1", &[(1, state.clone())]);
        bench.report(36, "w1", &[(1, state)]);
        assert_eq!(bench.phase(), phase);
    }
}

#[test]
fn an_eviction_resumes_from_its_checkpoint_once() {
    let mut bench = running("w1");
    let evict = OwnerInput::Evict {
        task: task("count"),
        run: RunNumber(1),
    };
    bench.step(3, evict);
    assert!(bench.stops(1));
    bench.place(3, 1, "w2");
    assert_eq!(bench.starts(), 0);
    bench.report(4, "w1", &[(1, STOPPED)]);
    bench.place(4, 1, "w2");
    let orders = bench.orders();
    let OrderKind::Start { start, .. } = &orders.last().unwrap().kind else {
        panic!("{orders:?}");
    };
    assert_eq!(start.checkpoint, Some(Checkpoint(5)));
    bench.place(4, 1, "w1");
    assert_eq!(bench.starts(), 0);
    bench.report(5, "w1", &[(1, STOPPED)]);
    assert_eq!(bench.phase(), Phase::Starting { agent: node("w2") });
}

#[test]
fn cancellation_wins_over_start_and_completion() {
    let mut bench = Bench::new();
    bench.accept();
    bench.place(1, 0, "w1");
    let cancel = || OwnerInput::Cancel {
        task: task("count"),
    };
    bench.step(2, cancel());
    assert!(bench.stops(1));
    bench.report(3, "w1", &[(1, RunState::Finished)]);
    assert_eq!(bench.phase(), Phase::Cancelled);
    assert_eq!(bench.counted(), 0);
    bench.step(4, cancel());
    bench.place(4, 1, "w2");
    assert_eq!(bench.starts(), 0);
}

#[test]
fn a_task_that_comes_back_gets_higher_run_numbers() {
    let mut bench = running("w1");
    let key = || task("count");
    bench.step(3, OwnerInput::Remove { task: key() });
    bench.report(4, "w1", &[(1, STOPPED)]);
    assert!(bench.owner.record(&key()).is_none());
    let mut heir = bench.replace(5, false);
    heir.step(5, OwnerInput::Add { task: key() });
    assert_eq!(heir.owner.record(&key()).unwrap().run, RunNumber(1));
    heir.step(5, OwnerInput::Remove { task: key() });
    heir.step(5, OwnerInput::Add { task: key() });
    assert_eq!(heir.owner.record(&key()).unwrap().run, RunNumber(1));
}

#[test]
fn a_task_is_given_up_after_its_faults() {
    let mut bench = running("w1");
    let failed = || RunState::Failed {
        reason: Arc::from("exit code 1"),
    };
    bench.report(3, "w1", &[(1, failed())]);
    bench.place(4, 1, "w2");
    bench.report(5, "w2", &[(2, failed())]);
    assert_eq!(bench.phase(), Phase::Failed);
}

#[test]
fn an_heir_keeps_what_it_hears_of_and_out_waits_the_rest() {
    let mut heir = running("w1").replace(10, false);
    heir.step(10, OwnerInput::Tick);
    assert_eq!(heir.orders()[0].kind, OrderKind::Claim);
    heir.report_of(11, "w1", 1, 1, &[(1, LIVE)]);
    assert_eq!(heir.orders()[0].kind, OrderKind::Claim);
    assert!(!heir.owner.is_recovered());
    let mut silent = running("w1").replace(10, false);
    heir.report(12, "w1", &[(1, LIVE)]);
    assert!(heir.owner.is_recovered());
    assert_eq!(heir.phase(), Phase::Running { agent: node("w1") });
    silent.confirm(39);
    silent.step(40, OwnerInput::Tick);
    assert!(!silent.owner.is_recovered());
    silent.step(41, OwnerInput::Tick);
    assert!(silent.owner.is_recovered());
    assert_eq!(silent.phase(), Phase::Evicted);
}

#[test]
fn an_heir_starts_waiting_tasks_at_once_if_starts_were_journaled_first() {
    for (ahead, placed) in [(false, 1), (true, 0)] {
        let mut first = Bench::new();
        first.accept();
        let mut heir = first.replace(10, ahead);
        heir.step(
            10,
            OwnerInput::Add {
                task: task("count"),
            },
        );
        heir.beat(10, "w1");
        heir.place(10, 0, "w1");
        assert_eq!(heir.starts(), placed, "ahead: {ahead}");
    }
}

#[test]
fn a_blind_heir_adopts_a_run_that_the_journal_does_not_have() {
    let mut heir = running("w1").replace(10, true);
    heir.report(11, "w2", &[(2, LIVE)]);
    assert_eq!(heir.phase(), Phase::Running { agent: node("w2") });
    heir.report(12, "w1", &[(1, STOPPED)]);
    assert_eq!(heir.phase(), Phase::Running { agent: node("w2") });
    assert_eq!(heir.owner.record(&task("count")).unwrap().run, RunNumber(2));
}

#[test]
fn a_blind_heir_counts_a_completion_only_once_no_later_run_can_exist() {
    for later in [false, true] {
        let mut heir = running("w1").replace(10, true);
        heir.report(11, "w1", &[(1, RunState::Finished)]);
        assert_eq!(heir.counted(), 0);
        if later {
            heir.report(12, "w2", &[(2, LIVE)]);
        }
        heir.confirm(20);
        heir.report(30, "w2", if later { &[(2, LIVE)] } else { &[] });
        heir.step(41, OwnerInput::Tick);
        assert_eq!(heir.phase() == Phase::Finished, !later);
        assert_eq!(heir.counted(), usize::from(!later));
    }
}

#[test]
fn a_blind_heir_uses_no_run_number_again() {
    let mut heir = Bench::new().replace(10, true);
    heir.step(
        10,
        OwnerInput::Add {
            task: task("count"),
        },
    );
    heir.confirm(40);
    heir.beat(41, "w2");
    heir.place(41, 0, "w2");
    let run = heir.owner.record(&task("count")).unwrap().run;
    assert_eq!(run, RunNumber((2 << 32) + 1));
}

#[test]
fn an_owner_that_was_fenced_does_nothing_more() {
    for by_report in [false, true] {
        let mut bench = running("w1");
        if by_report {
            bench.report_of(3, "w1", 1, 2, &[(1, LIVE)]);
        } else {
            let result = WriteResult::Fenced;
            bench.step(3, OwnerInput::Written { seq: 9, result });
        }
        assert_eq!(bench.out, [OwnerOutput::Superseded]);
        bench.place(4, 1, "w2");
        bench.report(4, "w1", &[(1, LIVE)]);
        assert!(bench.out.is_empty());
    }
}

#[test]
fn a_damaged_journal_is_not_decided_about() {
    let record = OwnerRecord::successor(None, &node("e1"), Incarnation(1), HOLD, false);
    let term = Ownership::new(SHARD, &record, Time::ZERO);
    let damaged = [(SegmentId(2), vec![1, 255])];
    let error = Owner::new(config(), term, Time::ZERO, &damaged).unwrap_err();
    assert!(error.to_string().starts_with("journal segment 2"));
}
