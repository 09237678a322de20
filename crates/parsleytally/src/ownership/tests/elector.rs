//! Tests of rendezvous hashing and of take-over.

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
fn a_team_has_the_same_shard_for_ever() {
    let team = TeamName::new("demo").unwrap();
    assert_eq!(shard_of(&team), ShardId(48));
}

#[test]
fn few_shards_move_when_an_entry_comes() {
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

/// The owner keys of a store.
#[derive(Default)]
struct Keys {
    revision: u64,
    records: BTreeMap<ShardId, (OwnerRecord, Revision)>,
}

impl Keys {
    fn swap(
        &mut self,
        shard: ShardId,
        expect: Option<Revision>,
        record: OwnerRecord,
    ) -> SwapResult {
        if self.records.get(&shard).map(|(_, at)| *at) != expect {
            return SwapResult::Conflict;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.records.insert(shard, (record, revision));
        SwapResult::Succeeded(revision)
    }

    fn read(&self, asked: Time) -> ElectorInput {
        let records = self.records.iter();
        let records = records.map(|(&shard, (record, at))| (shard, record.clone(), *at));
        ElectorInput::Read {
            sent_at: asked,
            records: records.collect(),
        }
    }
}

/// What happens to the answers of swaps.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answers {
    Arrive,
    Lost,
    RequestLost,
}

struct Entry {
    holder: ShardElector,
    out: Vec<ElectorOutput>,
}

impl Entry {
    fn new(name: &str, life: u64) -> Self {
        let config = ElectorConfig {
            node: node(name),
            incarnation: Incarnation(life),
            hold: HOLD,
            unjournaled_starts: false,
            read_interval: Duration::from_secs(2),
            max_moves: 16,
        };
        Self {
            holder: ShardElector::new(config),
            out: Vec::new(),
        }
    }

    fn live(&mut self, names: &[&str]) {
        let live: BTreeSet<NodeName> = names.iter().map(|name| node(name)).collect();
        self.step(0, ElectorInput::Live(live));
    }

    fn step(&mut self, secs: u64, input: ElectorInput) {
        let now = Time::from_secs(secs);
        self.holder.step(now, input, &mut self.out);
    }

    /// Reads the store once and runs the swaps that follow.
    fn round(&mut self, secs: u64, keys: &mut Keys, answers: Answers) -> Vec<ElectorOutput> {
        self.step(secs, ElectorInput::Tick);
        self.step(secs, keys.read(Time::from_secs(secs)));
        let mut seen = Vec::new();
        while !self.out.is_empty() {
            for output in std::mem::take(&mut self.out) {
                if let ElectorOutput::Swap {
                    shard,
                    expected_revision: expect,
                    record,
                } = output.clone()
                {
                    let result = match answers {
                        Answers::Arrive => keys.swap(shard, expect, record),
                        Answers::Lost => {
                            keys.swap(shard, expect, record);
                            SwapResult::Unknown
                        }
                        Answers::RequestLost => SwapResult::Unknown,
                    };
                    self.step(secs, ElectorInput::Swapped { shard, result });
                }
                seen.push(output);
            }
        }
        seen
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
fn one_entry_takes_every_shard_and_confirms_them() {
    let mut keys = Keys::default();
    let mut entry = Entry::new("e1", 1);
    let first = entry.round(0, &mut keys, Answers::Arrive);
    assert_eq!(acquired(&first).len() as u64, SHARDS);
    let second = entry.round(2, &mut keys, Answers::Arrive);
    let confirmed = |o: &&ElectorOutput| matches!(o, ElectorOutput::Confirmed { .. });
    assert_eq!(second.iter().filter(confirmed).count() as u64, SHARDS);
}

#[test]
fn a_swap_whose_answer_or_request_was_lost_is_settled_by_reading() {
    for answers in [Answers::Lost, Answers::RequestLost] {
        let mut keys = Keys::default();
        let mut entry = Entry::new("e1", 1);
        let first = entry.round(0, &mut keys, answers);
        assert!(acquired(&first).is_empty());
        let mut all = BTreeSet::new();
        for round in 1..8 {
            let outputs = entry.round(2 * round, &mut keys, Answers::Arrive);
            all.extend(acquired(&outputs));
        }
        assert_eq!(all.len() as u64, SHARDS);
        assert!(all.iter().all(|(_, epoch)| *epoch == Epoch(1)));
    }
}

#[test]
fn a_dead_owner_is_replaced_by_a_higher_epoch() {
    let mut keys = Keys::default();
    Entry::new("e1", 1).round(0, &mut keys, Answers::Arrive);
    let mut heir = Entry::new("e2", 1);
    heir.live(&["e1", "e2"]);
    let early = heir.round(0, &mut keys, Answers::Arrive);
    assert!(acquired(&early).is_empty(), "the owner is reachable");
    heir.live(&["e2"]);
    let late = heir.round(9, &mut keys, Answers::Arrive);
    assert_eq!(acquired(&late).len() as u64, SHARDS);
    assert!(acquired(&late).iter().all(|(_, epoch)| *epoch == Epoch(2)));
}

#[test]
fn an_entry_in_a_new_life_does_not_take_its_old_epoch_for_its_own() {
    let mut keys = Keys::default();
    Entry::new("e1", 1).round(0, &mut keys, Answers::Arrive);
    let mut reborn = Entry::new("e1", 2);
    let outputs = reborn.round(0, &mut keys, Answers::Arrive);
    assert!(
        acquired(&outputs)
            .iter()
            .all(|(_, epoch)| *epoch == Epoch(2))
    );
}

#[test]
fn a_paused_owner_learns_that_it_was_replaced() {
    let mut keys = Keys::default();
    let mut old = Entry::new("e1", 1);
    old.round(0, &mut keys, Answers::Arrive);
    Entry::new("e2", 1).round(50, &mut keys, Answers::Arrive);
    let woken = old.round(60, &mut keys, Answers::Arrive);
    let lost = |o: &&ElectorOutput| matches!(o, ElectorOutput::Lost { .. });
    assert_eq!(woken.iter().filter(lost).count() as u64, SHARDS);
    let confirmed = |o: &ElectorOutput| matches!(o, ElectorOutput::Confirmed { .. });
    assert!(!woken.iter().any(confirmed));
}

#[test]
fn two_entries_at_once_never_share_an_epoch() {
    let mut keys = Keys::default();
    let mut entries = [Entry::new("e1", 1), Entry::new("e2", 1)];
    let mut epochs = BTreeSet::new();
    for round in 0..6 {
        for entry in &mut entries {
            for won in acquired(&entry.round(2 * round, &mut keys, Answers::Arrive)) {
                assert!(epochs.insert(won), "{won:?} was won twice");
            }
        }
    }
}

#[test]
fn a_shard_moves_to_a_new_entry_only_after_it_was_drained() {
    let mut keys = Keys::default();
    let mut old = Entry::new("e1", 1);
    old.round(0, &mut keys, Answers::Arrive);
    let mut new = Entry::new("e2", 1);
    old.live(&["e1", "e2"]);
    new.live(&["e1", "e2"]);
    let outputs = old.round(2, &mut keys, Answers::Arrive);
    let drains: Vec<_> = outputs
        .iter()
        .filter_map(|o| match o {
            ElectorOutput::Drain { shard } => Some(*shard),
            _ => None,
        })
        .collect();
    assert_eq!(drains.len(), 16);
    assert!(acquired(&new.round(2, &mut keys, Answers::Arrive)).is_empty());
    for &shard in &drains {
        let settled = true;
        old.step(
            3,
            ElectorInput::Drained {
                shard,
                recovered: settled,
            },
        );
    }
    old.round(4, &mut keys, Answers::Arrive);
    let moved = acquired(&new.round(4, &mut keys, Answers::Arrive));
    let moved: Vec<_> = moved.into_iter().map(|(shard, _)| shard).collect();
    assert_eq!(moved, drains);
}

#[test]
fn a_longer_hold_of_an_earlier_epoch_is_remembered() {
    let long = OwnerRecord::successor(None, &node("e1"), Incarnation(1), 2 * HOLD, true);
    let short = OwnerRecord::successor(Some(&long), &node("e2"), Incarnation(1), HOLD, false);
    assert_eq!(short.longest_hold, 2 * HOLD);
    assert!(short.unjournaled_starts);
    assert_eq!(short.release(false).longest_hold, 2 * HOLD);
    assert_eq!(short.release(true).longest_hold, HOLD);
    assert!(!short.release(true).unjournaled_starts);
}

#[test]
fn a_release_that_lost_its_race_is_tried_again() {
    let mut keys = Keys::default();
    let mut entry = Entry::new("e1", 1);
    entry.round(0, &mut keys, Answers::Arrive);
    entry.step(1, ElectorInput::Close);
    let outputs = entry.round(2, &mut keys, Answers::Arrive);
    let drain = |o: &ElectorOutput| match o {
        ElectorOutput::Drain { shard } => Some(*shard),
        _ => None,
    };
    let shard = outputs.iter().find_map(drain).unwrap();
    let settled = true;
    entry.step(
        3,
        ElectorInput::Drained {
            shard,
            recovered: settled,
        },
    );
    entry.out.clear();
    let result = SwapResult::Conflict;
    entry.step(3, ElectorInput::Swapped { shard, result });
    entry.round(4, &mut keys, Answers::Arrive);
    assert!(keys.records[&shard].0.released);
}

struct SightCase {
    secs: u64,
    counts: [u64; 2],
    alive: usize,
}

#[test]
fn an_entry_whose_counter_stands_still_is_taken_for_dead_after_the_grace() {
    let cases = [
        SightCase {
            secs: 0,
            counts: [1, 1],
            alive: 2,
        },
        SightCase {
            secs: 4,
            counts: [2, 1],
            alive: 2,
        },
        SightCase {
            secs: 8,
            counts: [3, 1],
            alive: 1,
        },
        SightCase {
            secs: 9,
            counts: [3, 2],
            alive: 2,
        },
        // The store was down: everybody has the whole grace again.
        SightCase {
            secs: 3609,
            counts: [3, 2],
            alive: 2,
        },
        SightCase {
            secs: 3612,
            counts: [4, 2],
            alive: 2,
        },
        SightCase {
            secs: 3615,
            counts: [5, 2],
            alive: 1,
        },
    ];
    let mut presence = LivenessTracker::new(Duration::from_secs(6));
    for case in cases {
        let names = [node("e1"), node("e2")];
        let counters = names.into_iter().zip(case.counts);
        let alive = presence.observe(Time::from_secs(case.secs), counters);
        assert_eq!(alive.len(), case.alive, "at {} s", case.secs);
    }
}
