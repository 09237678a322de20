//! Tests of rendezvous hashing, shard acquisition and entry liveness.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::node;
use crate::ownership::{
    ElectorConfig, ElectorInput, ElectorOutput, LivenessTracker, OwnerRecord, SHARDS, ShardElector,
    SwapResult, preferred_owner, shard_of,
};
use crate::types::{Epoch, Incarnation, NodeName, Revision, ShardId, TeamName, Time};

const HOLD: Duration = Duration::from_secs(30);

#[test]
fn a_team_always_maps_to_the_same_shard() {
    let team = TeamName::new("demo").unwrap();
    assert_eq!(shard_of(&team), ShardId(48));
}

#[test]
fn few_shards_move_when_an_entry_joins() {
    let names: Vec<_> = (0..5).map(|n| node(&format!("e{n}"))).collect();
    let mut moved = 0;
    for shard in (0..SHARDS).map(ShardId) {
        let before = preferred_owner(shard, &names[..4]).unwrap();
        let after = preferred_owner(shard, &names).unwrap();
        if before != after {
            assert_eq!(after, &names[4]);
            moved += 1;
        }
    }
    assert!((1..=26).contains(&moved), "{moved} of {SHARDS} moved");
}

/// In-memory owner keys with compare-and-swap.
#[derive(Default)]
struct OwnerKeys {
    revision: u64,
    records: BTreeMap<ShardId, (OwnerRecord, Revision)>,
}

impl OwnerKeys {
    fn swap(
        &mut self,
        shard: ShardId,
        expected_revision: Option<Revision>,
        record: OwnerRecord,
    ) -> SwapResult {
        if self.records.get(&shard).map(|(_, at)| *at) != expected_revision {
            return SwapResult::Conflict;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.records.insert(shard, (record, revision));
        SwapResult::Succeeded(revision)
    }

    fn read(&self, sent_at: Time) -> ElectorInput {
        let records = self.records.iter();
        let records = records.map(|(&shard, (record, at))| (shard, record.clone(), *at));
        ElectorInput::Read {
            sent_at,
            records: records.collect(),
        }
    }
}

/// Whether swaps are applied and answered.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SwapAnswers {
    Delivered,
    AnswerLost,
    RequestLost,
}

struct Entry {
    elector: ShardElector,
    out: Vec<ElectorOutput>,
}

impl Entry {
    fn new(name: &str, incarnation: u64) -> Self {
        let config = ElectorConfig {
            node: node(name),
            incarnation: Incarnation(incarnation),
            hold: HOLD,
            unjournaled_starts: false,
            read_interval: Duration::from_secs(2),
            max_moves: 16,
        };
        Self {
            elector: ShardElector::new(config),
            out: Vec::new(),
        }
    }

    fn live(&mut self, names: &[&str]) {
        let live: BTreeSet<NodeName> = names.iter().map(|name| node(name)).collect();
        self.step(0, ElectorInput::Live(live));
    }

    fn step(&mut self, secs: u64, input: ElectorInput) {
        let now = Time::from_secs(secs);
        self.elector.step(now, input, &mut self.out);
    }

    /// Reads the owner keys once and performs the resulting swaps.
    fn round(
        &mut self,
        secs: u64,
        keys: &mut OwnerKeys,
        answers: SwapAnswers,
    ) -> Vec<ElectorOutput> {
        self.step(secs, ElectorInput::Tick);
        self.step(secs, keys.read(Time::from_secs(secs)));
        let mut outputs = Vec::new();
        while !self.out.is_empty() {
            for output in std::mem::take(&mut self.out) {
                if let ElectorOutput::Swap {
                    shard,
                    expected_revision,
                    record,
                } = output.clone()
                {
                    let result = match answers {
                        SwapAnswers::Delivered => keys.swap(shard, expected_revision, record),
                        SwapAnswers::AnswerLost => {
                            keys.swap(shard, expected_revision, record);
                            SwapResult::Unknown
                        }
                        SwapAnswers::RequestLost => SwapResult::Unknown,
                    };
                    self.step(secs, ElectorInput::Swapped { shard, result });
                }
                outputs.push(output);
            }
        }
        outputs
    }
}

fn acquired(outputs: &[ElectorOutput]) -> Vec<(ShardId, Epoch)> {
    let acquired = outputs.iter().filter_map(|o| match o {
        ElectorOutput::Acquired {
            ownership: term, ..
        } => Some((term.shard, term.epoch)),
        _ => None,
    });
    acquired.collect()
}

#[test]
fn a_single_entry_acquires_and_confirms_every_shard() {
    let mut keys = OwnerKeys::default();
    let mut entry = Entry::new("e1", 1);
    let first = entry.round(0, &mut keys, SwapAnswers::Delivered);
    assert_eq!(acquired(&first).len() as u64, SHARDS);
    let second = entry.round(2, &mut keys, SwapAnswers::Delivered);
    let confirmed = |o: &&ElectorOutput| matches!(o, ElectorOutput::Confirmed { .. });
    assert_eq!(second.iter().filter(confirmed).count() as u64, SHARDS);
}

#[test]
fn a_swap_with_a_lost_answer_or_request_is_resolved_by_reading() {
    for answers in [SwapAnswers::AnswerLost, SwapAnswers::RequestLost] {
        let mut keys = OwnerKeys::default();
        let mut entry = Entry::new("e1", 1);
        let first = entry.round(0, &mut keys, answers);
        assert!(acquired(&first).is_empty());
        let mut all = BTreeSet::new();
        for round in 1..8 {
            let outputs = entry.round(2 * round, &mut keys, SwapAnswers::Delivered);
            all.extend(acquired(&outputs));
        }
        assert_eq!(all.len() as u64, SHARDS);
        assert!(all.iter().all(|(_, epoch)| *epoch == Epoch(1)));
    }
}

#[test]
fn a_dead_owner_is_replaced_under_a_higher_epoch() {
    let mut keys = OwnerKeys::default();
    Entry::new("e1", 1).round(0, &mut keys, SwapAnswers::Delivered);
    let mut successor = Entry::new("e2", 1);
    successor.live(&["e1", "e2"]);
    let early = successor.round(0, &mut keys, SwapAnswers::Delivered);
    assert!(acquired(&early).is_empty(), "the owner is reachable");
    successor.live(&["e2"]);
    let late = successor.round(9, &mut keys, SwapAnswers::Delivered);
    assert_eq!(acquired(&late).len() as u64, SHARDS);
    assert!(acquired(&late).iter().all(|(_, epoch)| *epoch == Epoch(2)));
}

#[test]
fn a_restarted_entry_does_not_reuse_its_old_epoch() {
    let mut keys = OwnerKeys::default();
    Entry::new("e1", 1).round(0, &mut keys, SwapAnswers::Delivered);
    let mut restarted = Entry::new("e1", 2);
    let outputs = restarted.round(0, &mut keys, SwapAnswers::Delivered);
    assert!(
        acquired(&outputs)
            .iter()
            .all(|(_, epoch)| *epoch == Epoch(2))
    );
}

#[test]
fn a_paused_owner_detects_that_it_was_replaced() {
    let mut keys = OwnerKeys::default();
    let mut old = Entry::new("e1", 1);
    old.round(0, &mut keys, SwapAnswers::Delivered);
    Entry::new("e2", 1).round(50, &mut keys, SwapAnswers::Delivered);
    let resumed = old.round(60, &mut keys, SwapAnswers::Delivered);
    let lost = |o: &&ElectorOutput| matches!(o, ElectorOutput::Lost { .. });
    assert_eq!(resumed.iter().filter(lost).count() as u64, SHARDS);
    let confirmed = |o: &ElectorOutput| matches!(o, ElectorOutput::Confirmed { .. });
    assert!(!resumed.iter().any(confirmed));
}

#[test]
fn concurrent_entries_never_share_an_epoch() {
    let mut keys = OwnerKeys::default();
    let mut entries = [Entry::new("e1", 1), Entry::new("e2", 1)];
    let mut epochs = BTreeSet::new();
    for round in 0..6 {
        for entry in &mut entries {
            for acquisition in acquired(&entry.round(2 * round, &mut keys, SwapAnswers::Delivered))
            {
                assert!(
                    epochs.insert(acquisition),
                    "{acquisition:?} was acquired twice"
                );
            }
        }
    }
}

#[test]
fn a_shard_moves_to_a_new_entry_only_after_draining() {
    let mut keys = OwnerKeys::default();
    let mut old = Entry::new("e1", 1);
    old.round(0, &mut keys, SwapAnswers::Delivered);
    let mut new = Entry::new("e2", 1);
    old.live(&["e1", "e2"]);
    new.live(&["e1", "e2"]);
    let outputs = old.round(2, &mut keys, SwapAnswers::Delivered);
    let drains: Vec<_> = outputs
        .iter()
        .filter_map(|o| match o {
            ElectorOutput::Drain { shard } => Some(*shard),
            _ => None,
        })
        .collect();
    assert_eq!(drains.len(), 16);
    assert!(acquired(&new.round(2, &mut keys, SwapAnswers::Delivered)).is_empty());
    for &shard in &drains {
        let recovered = true;
        old.step(3, ElectorInput::Drained { shard, recovered });
    }
    old.round(4, &mut keys, SwapAnswers::Delivered);
    let moved = acquired(&new.round(4, &mut keys, SwapAnswers::Delivered));
    let moved: Vec<_> = moved.into_iter().map(|(shard, _)| shard).collect();
    assert_eq!(moved, drains);
}

#[test]
fn the_longest_hold_of_earlier_epochs_is_kept_until_recovery() {
    let long = OwnerRecord::successor(None, &node("e1"), Incarnation(1), 2 * HOLD, true);
    let short = OwnerRecord::successor(Some(&long), &node("e2"), Incarnation(1), HOLD, false);
    assert_eq!(short.longest_hold, 2 * HOLD);
    assert!(short.unjournaled_starts);
    assert_eq!(short.release(false).longest_hold, 2 * HOLD);
    assert_eq!(short.release(true).longest_hold, HOLD);
    assert!(!short.release(true).unjournaled_starts);
}

#[test]
fn a_release_is_retried_after_a_conflict() {
    let mut keys = OwnerKeys::default();
    let mut entry = Entry::new("e1", 1);
    entry.round(0, &mut keys, SwapAnswers::Delivered);
    entry.step(1, ElectorInput::Close);
    let outputs = entry.round(2, &mut keys, SwapAnswers::Delivered);
    let drain = |o: &ElectorOutput| match o {
        ElectorOutput::Drain { shard } => Some(*shard),
        _ => None,
    };
    let shard = outputs.iter().find_map(drain).unwrap();
    let recovered = true;
    entry.step(3, ElectorInput::Drained { shard, recovered });
    entry.out.clear();
    let result = SwapResult::Conflict;
    entry.step(3, ElectorInput::Swapped { shard, result });
    entry.round(4, &mut keys, SwapAnswers::Delivered);
    assert!(keys.records[&shard].0.released);
}

struct LivenessCase {
    secs: u64,
    counts: [u64; 2],
    alive: usize,
}

#[test]
fn an_entry_is_dead_once_its_counter_is_unchanged_for_the_timeout() {
    let cases = [
        LivenessCase {
            secs: 0,
            counts: [1, 1],
            alive: 2,
        },
        LivenessCase {
            secs: 4,
            counts: [2, 1],
            alive: 2,
        },
        LivenessCase {
            secs: 8,
            counts: [3, 1],
            alive: 1,
        },
        LivenessCase {
            secs: 9,
            counts: [3, 2],
            alive: 2,
        },
        // No reads for an hour: every timeout starts anew.
        LivenessCase {
            secs: 3609,
            counts: [3, 2],
            alive: 2,
        },
        LivenessCase {
            secs: 3612,
            counts: [4, 2],
            alive: 2,
        },
        LivenessCase {
            secs: 3615,
            counts: [5, 2],
            alive: 1,
        },
    ];
    let mut tracker = LivenessTracker::new(Duration::from_secs(6));
    for case in cases {
        let names = [node("e1"), node("e2")];
        let counters = names.into_iter().zip(case.counts);
        let alive = tracker.observe(Time::from_secs(case.secs), counters);
        assert_eq!(alive.len(), case.alive, "at {} s", case.secs);
    }
}
