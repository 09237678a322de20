//! Acquires and releases shards for one entry by compare-and-swap in the
//! platform's store.

mod messages;

use std::collections::{BTreeMap, BTreeSet};

pub use messages::{ElectorConfig, ElectorInput, ElectorOutput, SwapResult};

use super::{OwnerRecord, Ownership, SHARDS, preferred_owner};
use crate::types::{Epoch, NodeName, Revision, ShardId, Time};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StoredRecord {
    record: OwnerRecord,
    revision: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingSwap {
    expected_revision: Option<Revision>,
    record: OwnerRecord,
    sent: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ShardState {
    Active(Epoch),
    Draining(Epoch),
    /// The owner has stopped and flushed its journal; the release is not stored yet.
    Drained {
        epoch: Epoch,
        recovered: bool,
    },
}

impl ShardState {
    fn epoch(self) -> Epoch {
        match self {
            Self::Active(epoch) | Self::Draining(epoch) | Self::Drained { epoch, .. } => epoch,
        }
    }
}

/// State machine that acquires and releases the shards of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardElector {
    config: ElectorConfig,
    live: BTreeSet<NodeName>,
    stored: BTreeMap<ShardId, StoredRecord>,
    owned: BTreeMap<ShardId, ShardState>,
    pending: BTreeMap<ShardId, PendingSwap>,
    last_read_sent: Option<Time>,
    last_read_applied: Option<Time>,
    closing: bool,
}

impl ShardElector {
    /// Creates the elector of an entry that owns no shard yet.
    pub fn new(config: ElectorConfig) -> Self {
        Self {
            live: BTreeSet::from([config.node.clone()]),
            config,
            stored: BTreeMap::new(),
            owned: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_read_sent: None,
            last_read_applied: None,
            closing: false,
        }
    }

    /// Processes one input at `now` and appends the resulting outputs.
    pub fn step(&mut self, now: Time, input: ElectorInput, out: &mut Vec<ElectorOutput>) {
        match input {
            ElectorInput::Live(live) => self.live = live,
            ElectorInput::Read { sent_at, records } => self.apply_read(now, sent_at, records, out),
            ElectorInput::Swapped { shard, result } => self.apply_swap(now, shard, result, out),
            ElectorInput::Drained { shard, recovered } => self.mark_drained(shard, recovered, out),
            ElectorInput::Close => self.closing = true,
            ElectorInput::Tick => self.tick(now, out),
        }
    }

    /// Owned shards, including those being drained.
    pub fn owned(&self) -> impl Iterator<Item = ShardId> {
        self.owned.keys().copied()
    }

    /// Drops the local ownership of `shard`; the next read acquires it again if the
    /// store still names this entry as owner.
    pub fn forget(&mut self, shard: ShardId) {
        self.owned.remove(&shard);
    }

    /// Owner record of `shard` as last seen in the store, unless it is released.
    pub fn owner_of(&self, shard: ShardId) -> Option<&OwnerRecord> {
        let stored = self.stored.get(&shard)?;
        (!stored.record.released).then_some(&stored.record)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<ElectorOutput>) {
        let due = |sent_at| now.since(sent_at) >= self.config.read_interval;
        if self.last_read_sent.is_none_or(due) {
            self.last_read_sent = Some(now);
            out.push(ElectorOutput::Read { sent_at: now });
        }
        self.start_drains(out);
    }

    fn apply_read(
        &mut self,
        now: Time,
        sent_at: Time,
        records: Vec<(ShardId, OwnerRecord, Revision)>,
        out: &mut Vec<ElectorOutput>,
    ) {
        if self.last_read_applied.is_some_and(|last| sent_at <= last) {
            return;
        }
        self.last_read_applied = Some(sent_at);
        for (shard, record, revision) in records {
            self.apply_record(now, shard, sent_at, StoredRecord { record, revision }, out);
        }
        self.retry_unanswered_swaps(out);
        self.request_releases(out);
        self.request_free_shards(out);
    }

    /// Updates the local state of `shard` from its record in the store.
    fn apply_record(
        &mut self,
        now: Time,
        shard: ShardId,
        sent_at: Time,
        stored: StoredRecord,
        out: &mut Vec<ElectorOutput>,
    ) {
        let previous = self.stored.get(&shard);
        if previous.is_some_and(|previous| previous.revision > stored.revision) {
            return;
        }
        let by_this_entry = stored
            .record
            .written_by(&self.config.node, self.config.incarnation);
        let owned_in_store = by_this_entry && !stored.record.released;
        let epoch = stored.record.epoch;
        let owned = self.owned.get(&shard).copied();
        let record = stored.record.clone();
        let revision = stored.revision;
        self.stored.insert(shard, stored);
        let is_outdated = |p: &PendingSwap| p.expected_revision != Some(revision);
        if self.pending.get(&shard).is_some_and(is_outdated) {
            self.pending.remove(&shard);
        }
        match owned {
            Some(owned) if owned_in_store && owned.epoch() == epoch => {
                out.push(ElectorOutput::Confirmed { shard, sent_at });
            }
            Some(_) => {
                self.owned.remove(&shard);
                out.push(ElectorOutput::Lost { shard });
            }
            None if owned_in_store => self.mark_owned(now, shard, &record, revision, out),
            None => {}
        }
    }

    fn mark_owned(
        &mut self,
        now: Time,
        shard: ShardId,
        record: &OwnerRecord,
        revision: Revision,
        out: &mut Vec<ElectorOutput>,
    ) {
        self.owned.insert(shard, ShardState::Active(record.epoch));
        let term = Ownership::new(shard, record, now);
        out.push(ElectorOutput::Acquired {
            ownership: term,
            revision,
        });
    }

    fn apply_swap(
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
                let stored = StoredRecord {
                    record: record.clone(),
                    revision,
                };
                self.stored.insert(shard, stored);
                if record.released {
                    self.owned.remove(&shard);
                    out.push(ElectorOutput::Lost { shard });
                } else {
                    self.mark_owned(now, shard, &record, revision, out);
                }
                self.request_free_shards(out);
            }
        }
    }

    /// Resends swaps whose result is unknown and that the store does not show.
    fn retry_unanswered_swaps(&mut self, out: &mut Vec<ElectorOutput>) {
        for (&shard, pending) in &mut self.pending {
            if !pending.sent {
                pending.sent = true;
                out.push(ElectorOutput::Swap {
                    shard,
                    expected_revision: pending.expected_revision,
                    record: pending.record.clone(),
                });
            }
        }
    }

    fn request_free_shards(&mut self, out: &mut Vec<ElectorOutput>) {
        if self.closing {
            return;
        }
        for shard in (0..SHARDS).map(ShardId) {
            if self.pending.len() >= self.config.max_moves {
                return;
            }
            if self.is_free(shard) && self.is_preferred_owner(shard) {
                self.request_ownership(shard, out);
            }
        }
    }

    fn request_ownership(&mut self, shard: ShardId, out: &mut Vec<ElectorOutput>) {
        let stored = self.stored.get(&shard);
        let config = &self.config;
        let record = OwnerRecord::successor(
            stored.map(|stored| &stored.record),
            &config.node,
            config.incarnation,
            config.hold,
            config.unjournaled_starts,
        );
        let expected_revision = stored.map(|stored| stored.revision);
        self.send_swap(shard, expected_revision, record, out);
    }

    fn send_swap(
        &mut self,
        shard: ShardId,
        expected_revision: Option<Revision>,
        record: OwnerRecord,
        out: &mut Vec<ElectorOutput>,
    ) {
        let pending = PendingSwap {
            expected_revision,
            record: record.clone(),
            sent: true,
        };
        self.pending.insert(shard, pending);
        out.push(ElectorOutput::Swap {
            shard,
            expected_revision,
            record,
        });
    }

    /// Whether `shard` may be acquired: released, never owned, or recorded
    /// under an unreachable entry or this entry's own name.
    fn is_free(&self, shard: ShardId) -> bool {
        if self.owned.contains_key(&shard) || self.pending.contains_key(&shard) {
            return false;
        }
        let Some(stored) = self.stored.get(&shard) else {
            return true;
        };
        let owner = &stored.record.owner;
        stored.record.released || *owner == self.config.node || !self.live.contains(owner)
    }

    fn is_preferred_owner(&self, shard: ShardId) -> bool {
        preferred_owner(shard, &self.live) == Some(&self.config.node)
    }

    /// Starts draining shards that another reachable entry should own, or all when
    /// closing, up to `max_moves` at a time.
    fn start_drains(&mut self, out: &mut Vec<ElectorOutput>) {
        let draining = self.owned.values();
        let draining = draining
            .filter(|o| !matches!(o, ShardState::Active(_)))
            .count();
        let headroom = self.config.max_moves.saturating_sub(draining);
        let should_drain = |shard| self.closing || !self.is_preferred_owner(shard);
        let active = self.owned.iter().filter_map(|(&shard, owned)| match owned {
            ShardState::Active(epoch) if should_drain(shard) => Some((shard, *epoch)),
            _ => None,
        });
        let to_drain: Vec<_> = active.take(headroom).collect();
        for (shard, epoch) in to_drain {
            self.owned.insert(shard, ShardState::Draining(epoch));
            out.push(ElectorOutput::Drain { shard });
        }
    }

    fn mark_drained(&mut self, shard: ShardId, recovered: bool, out: &mut Vec<ElectorOutput>) {
        if let Some(&ShardState::Draining(epoch)) = self.owned.get(&shard) {
            self.owned
                .insert(shard, ShardState::Drained { epoch, recovered });
            self.request_releases(out);
        }
    }

    /// Requests the release of every drained shard without a pending swap.
    fn request_releases(&mut self, out: &mut Vec<ElectorOutput>) {
        let drained = self.owned.iter().filter_map(|(&shard, owned)| match owned {
            ShardState::Drained { recovered, .. } => Some((shard, *recovered)),
            _ => None,
        });
        let drained: Vec<_> = drained.collect();
        for (shard, recovered) in drained {
            let stored = self.stored.get(&shard);
            let Some(stored) = stored.filter(|_| !self.pending.contains_key(&shard)) else {
                continue;
            };
            let record = stored.record.release(recovered);
            let expected_revision = Some(stored.revision);
            self.send_swap(shard, expected_revision, record, out);
        }
    }
}
