//! Which shards an entry owns, by compare-and-swap in the platform's store.

mod messages;

use std::collections::{BTreeMap, BTreeSet};

pub use messages::{ElectorConfig, ElectorInput, ElectorOutput, SwapResult};

use super::{OwnerRecord, Ownership, SHARDS, preferred_owner};
use crate::types::{Epoch, NodeName, Revision, ShardId, Time};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    record: OwnerRecord,
    revision: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pending {
    expect: Option<Revision>,
    record: OwnerRecord,
    sent: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Owned {
    Active(Epoch),
    Draining(Epoch),
    /// Stopped, with its journal written, until the release is in the store.
    Drained {
        epoch: Epoch,
        settled: bool,
    },
}

impl Owned {
    fn epoch(self) -> Epoch {
        match self {
            Self::Active(epoch) | Self::Draining(epoch) | Self::Drained { epoch, .. } => epoch,
        }
    }
}

/// Shards of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardElector {
    config: ElectorConfig,
    live: BTreeSet<NodeName>,
    seen: BTreeMap<ShardId, Seen>,
    owned: BTreeMap<ShardId, Owned>,
    pending: BTreeMap<ShardId, Pending>,
    asked: Option<Time>,
    answered: Option<Time>,
    closing: bool,
}

impl ShardElector {
    /// Creates the holder of an entry that owns nothing yet.
    pub fn new(config: ElectorConfig) -> Self {
        Self {
            live: BTreeSet::from([config.node.clone()]),
            config,
            seen: BTreeMap::new(),
            owned: BTreeMap::new(),
            pending: BTreeMap::new(),
            asked: None,
            answered: None,
            closing: false,
        }
    }

    /// Takes one input at `now` and appends what is to be done.
    pub fn step(&mut self, now: Time, input: ElectorInput, out: &mut Vec<ElectorOutput>) {
        match input {
            ElectorInput::Live(live) => self.live = live,
            ElectorInput::Read {
                sent_at: asked,
                records,
            } => self.read(now, asked, records, out),
            ElectorInput::Swapped { shard, result } => self.swapped(now, shard, result, out),
            ElectorInput::Drained {
                shard,
                recovered: settled,
            } => self.drained(shard, settled, out),
            ElectorInput::Close => self.closing = true,
            ElectorInput::Tick => self.tick(now, out),
        }
    }

    /// The shards that are owned, also those being given up.
    pub fn owned(&self) -> impl Iterator<Item = ShardId> {
        self.owned.keys().copied()
    }

    /// Forgets that `shard` is owned, so that the next read acquires it anew.
    pub fn forget(&mut self, shard: ShardId) {
        self.owned.remove(&shard);
    }

    /// The entry that owns `shard` according to the latest read.
    pub fn owner_of(&self, shard: ShardId) -> Option<&OwnerRecord> {
        let seen = self.seen.get(&shard)?;
        (!seen.record.released).then_some(&seen.record)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<ElectorOutput>) {
        let due = |asked| now.since(asked) >= self.config.read_interval;
        if self.asked.is_none_or(due) {
            self.asked = Some(now);
            out.push(ElectorOutput::Read { sent_at: now });
        }
        self.give_up(out);
    }

    fn read(
        &mut self,
        now: Time,
        asked: Time,
        records: Vec<(ShardId, OwnerRecord, Revision)>,
        out: &mut Vec<ElectorOutput>,
    ) {
        if self.answered.is_some_and(|last| asked <= last) {
            return;
        }
        self.answered = Some(asked);
        for (shard, record, revision) in records {
            self.learn(now, shard, asked, Seen { record, revision }, out);
        }
        self.repeat(out);
        self.release(out);
        self.take(out);
    }

    /// Compares what the store has for `shard` with what this entry believes.
    fn learn(
        &mut self,
        now: Time,
        shard: ShardId,
        asked: Time,
        seen: Seen,
        out: &mut Vec<ElectorOutput>,
    ) {
        let known = self.seen.get(&shard);
        if known.is_some_and(|known| known.revision > seen.revision) {
            return;
        }
        let by_me = seen
            .record
            .written_by(&self.config.node, self.config.incarnation);
        let mine = by_me && !seen.record.released;
        let epoch = seen.record.epoch;
        let owned = self.owned.get(&shard).copied();
        let record = seen.record.clone();
        let revision = seen.revision;
        self.seen.insert(shard, seen);
        let overtaken = |p: &Pending| p.expect != Some(revision);
        if self.pending.get(&shard).is_some_and(overtaken) {
            self.pending.remove(&shard);
        }
        match owned {
            Some(owned) if mine && owned.epoch() == epoch => {
                out.push(ElectorOutput::Confirmed {
                    shard,
                    sent_at: asked,
                });
            }
            Some(_) => {
                self.owned.remove(&shard);
                out.push(ElectorOutput::Lost { shard });
            }
            None if mine => self.acquire(now, shard, &record, revision, out),
            None => {}
        }
    }

    fn acquire(
        &mut self,
        now: Time,
        shard: ShardId,
        record: &OwnerRecord,
        revision: Revision,
        out: &mut Vec<ElectorOutput>,
    ) {
        self.owned.insert(shard, Owned::Active(record.epoch));
        let term = Ownership::new(shard, record, now);
        out.push(ElectorOutput::Acquired {
            ownership: term,
            revision,
        });
    }

    fn swapped(
        &mut self,
        now: Time,
        shard: ShardId,
        result: SwapResult,
        out: &mut Vec<ElectorOutput>,
    ) {
        let Some(pending) = self.pending.get_mut(&shard) else {
            return;
        };
        pending.sent = false;
        match result {
            SwapResult::Unknown => {}
            SwapResult::Conflict => {
                self.pending.remove(&shard);
            }
            SwapResult::Succeeded(revision) => {
                let pending = self.pending.remove(&shard).expect("found above");
                let record = pending.record;
                let seen = Seen {
                    record: record.clone(),
                    revision,
                };
                self.seen.insert(shard, seen);
                if record.released {
                    self.owned.remove(&shard);
                    out.push(ElectorOutput::Lost { shard });
                } else {
                    self.acquire(now, shard, &record, revision, out);
                }
                self.take(out);
            }
        }
    }

    /// Sends swaps again whose fate is unknown and that the store does not show.
    fn repeat(&mut self, out: &mut Vec<ElectorOutput>) {
        for (&shard, pending) in &mut self.pending {
            if !pending.sent {
                pending.sent = true;
                out.push(ElectorOutput::Swap {
                    shard,
                    expected_revision: pending.expect,
                    record: pending.record.clone(),
                });
            }
        }
    }

    fn take(&mut self, out: &mut Vec<ElectorOutput>) {
        if self.closing {
            return;
        }
        for shard in (0..SHARDS).map(ShardId) {
            if self.pending.len() >= self.config.max_moves {
                return;
            }
            if self.is_free(shard) && self.is_choice(shard) {
                self.swap(shard, out);
            }
        }
    }

    fn swap(&mut self, shard: ShardId, out: &mut Vec<ElectorOutput>) {
        let seen = self.seen.get(&shard);
        let config = &self.config;
        let record = OwnerRecord::successor(
            seen.map(|seen| &seen.record),
            &config.node,
            config.incarnation,
            config.hold,
            config.unjournaled_starts,
        );
        let expect = seen.map(|seen| seen.revision);
        self.request(shard, expect, record, out);
    }

    fn request(
        &mut self,
        shard: ShardId,
        expect: Option<Revision>,
        record: OwnerRecord,
        out: &mut Vec<ElectorOutput>,
    ) {
        let pending = Pending {
            expect,
            record: record.clone(),
            sent: true,
        };
        self.pending.insert(shard, pending);
        out.push(ElectorOutput::Swap {
            shard,
            expected_revision: expect,
            record,
        });
    }

    /// Whether nobody who is reachable owns `shard`.
    fn is_free(&self, shard: ShardId) -> bool {
        if self.owned.contains_key(&shard) || self.pending.contains_key(&shard) {
            return false;
        }
        let Some(seen) = self.seen.get(&shard) else {
            return true;
        };
        let owner = &seen.record.owner;
        seen.record.released || *owner == self.config.node || !self.live.contains(owner)
    }

    fn is_choice(&self, shard: ShardId) -> bool {
        preferred_owner(shard, &self.live) == Some(&self.config.node)
    }

    /// Starts to give up shards that another reachable entry should have.
    fn give_up(&mut self, out: &mut Vec<ElectorOutput>) {
        let drains = self.owned.values();
        let drains = drains.filter(|o| !matches!(o, Owned::Active(_))).count();
        let room = self.config.max_moves.saturating_sub(drains);
        let leaving = |shard| self.closing || !self.is_choice(shard);
        let active = self.owned.iter().filter_map(|(&shard, owned)| match owned {
            Owned::Active(epoch) if leaving(shard) => Some((shard, *epoch)),
            _ => None,
        });
        let given: Vec<_> = active.take(room).collect();
        for (shard, epoch) in given {
            self.owned.insert(shard, Owned::Draining(epoch));
            out.push(ElectorOutput::Drain { shard });
        }
    }

    fn drained(&mut self, shard: ShardId, settled: bool, out: &mut Vec<ElectorOutput>) {
        if let Some(&Owned::Draining(epoch)) = self.owned.get(&shard) {
            self.owned.insert(shard, Owned::Drained { epoch, settled });
            self.release(out);
        }
    }

    /// Asks for the release of every shard that is drained.
    fn release(&mut self, out: &mut Vec<ElectorOutput>) {
        let drained = self.owned.iter().filter_map(|(&shard, owned)| match owned {
            Owned::Drained { settled, .. } => Some((shard, *settled)),
            _ => None,
        });
        let drained: Vec<_> = drained.collect();
        for (shard, settled) in drained {
            let seen = self.seen.get(&shard);
            let Some(seen) = seen.filter(|_| !self.pending.contains_key(&shard)) else {
                continue;
            };
            let record = seen.record.release(settled);
            let expect = Some(seen.revision);
            self.request(shard, expect, record, out);
        }
    }
}
