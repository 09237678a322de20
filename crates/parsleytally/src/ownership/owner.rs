//! The owner of one shard: which task runs where.

mod messages;
mod reports;
mod runs;

use std::collections::{BTreeMap, BTreeSet};

pub use messages::{OwnerConfig, OwnerInput, OwnerOutput, TaskSpec, WriteResult};

use super::journal::Change;
use super::{
    JOURNAL_SEGMENTS, Journal, JournalError, JournaledTask, Ownership, Segment, SegmentId,
    segment_of,
};
use crate::leases::{Order, OrderKind, Phase, RunReport, Start, TaskRecord};
use crate::recovery::Recovery;
use crate::types::{Incarnation, NodeName, RunId, RunNumber, TaskKey, Time};

/// Latest message of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Beat {
    life: Incarnation,
    sent: Time,
}

/// What becomes of a task's record once the task is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Wish {
    Keep,
    Remove,
    Renew,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Slot {
    record: TaskRecord,
    /// What was placed by this owner; `None` for runs of earlier owners.
    start: Option<Start>,
    /// The only life of the agent that `start` is sent to.
    life: Option<Incarnation>,
    gate: Option<Change>,
    /// When the current run has certainly ended if its agent stays silent.
    bound: Option<Time>,
    wish: Wish,
}

impl Slot {
    fn new(record: TaskRecord) -> Self {
        Self {
            record,
            start: None,
            life: None,
            gate: None,
            bound: None,
            wish: Wish::Keep,
        }
    }

    /// Whether the current run may be known to its agent.
    fn is_sent(&self) -> bool {
        self.start.is_none() || self.life.is_some()
    }

    fn clear(&mut self) {
        self.start = None;
        self.life = None;
        self.gate = None;
        self.bound = None;
    }
}

/// A message that waits for a change to be in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Late {
    Forget { agent: NodeName, run: RunId },
    Counted { task: TaskKey, run: RunNumber },
}

/// Decisions about the tasks of one shard under one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Owner {
    config: OwnerConfig,
    term: Ownership,
    confirmed: Option<Time>,
    deposed: bool,
    slots: BTreeMap<TaskKey, Slot>,
    beats: BTreeMap<NodeName, Beat>,
    /// Tasks that each worker holds; also some that it no longer holds.
    held: BTreeMap<NodeName, BTreeSet<TaskKey>>,
    bases: Vec<RunNumber>,
    journal: Journal,
    late: Vec<(Change, Late)>,
    /// Ends reported while runs may exist that the journal does not have.
    ends: Vec<(NodeName, RunReport)>,
    recovery: Recovery,
}

impl Owner {
    /// Creates the owner of `term` from the journal read after it was won.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError`] when a segment does not decode; the shard must not
    /// be decided about then.
    pub fn new(
        config: OwnerConfig,
        term: Ownership,
        now: Time,
        segments: &[(SegmentId, Vec<u8>)],
    ) -> Result<Self, JournalError> {
        let mut journal = Journal::new(config.flush_interval);
        let mut bases = vec![RunNumber(0); usize::from(JOURNAL_SEGMENTS)];
        let mut slots = BTreeMap::new();
        for (id, bytes) in segments {
            let segment = Segment::decode(*id, bytes)?;
            journal.set_size(*id, bytes.len());
            for base in &mut bases {
                *base = segment.base_run.max(*base);
            }
            for entry in segment.tasks {
                let mut slot = Slot::new(entry.record);
                slot.bound = slot.record.holder().map(|_| term.earlier_runs_end);
                slots.insert(entry.task, slot);
            }
        }
        let mut held = BTreeMap::<_, BTreeSet<_>>::new();
        for (task, slot) in &slots {
            if let Some(agent) = slot.record.holder() {
                held.entry(agent.clone()).or_default().insert(task.clone());
            }
        }
        let open = slots.iter().filter(|(_, slot)| slot.bound.is_some());
        let open = open.map(|(task, _)| task.clone()).collect();
        let until = term.unjournaled_runs.then_some(term.earlier_runs_end);
        Ok(Self {
            recovery: Recovery::new(now, open, until),
            config,
            term,
            confirmed: None,
            deposed: false,
            slots,
            beats: BTreeMap::new(),
            held,
            bases,
            journal,
            late: Vec::new(),
            ends: Vec::new(),
        })
    }

    /// Takes one input at `now` and appends what is to be done.
    pub fn step(&mut self, now: Time, input: OwnerInput, out: &mut Vec<OwnerOutput>) {
        if self.deposed {
            return;
        }
        self.see(now, out);
        match input {
            OwnerInput::Confirmed { sent_at: asked } => {
                self.confirmed = self.confirmed.max(Some(asked))
            }
            OwnerInput::Superseded => self.depose(out),
            OwnerInput::Add { task } => self.accept(&task, out),
            OwnerInput::Remove { task } => self.remove(&task, out),
            OwnerInput::Cancel { task } => self.cancel(&task, out),
            OwnerInput::Evict { task, run } => self.evict(&task, run, out),
            OwnerInput::Place {
                task,
                expected_run: expect,
                agent,
                spec,
            } => self.place(now, &task, expect, &agent, spec, out),
            OwnerInput::Heartbeat {
                agent,
                incarnation: life,
                sent,
            } => {
                if self.beat(&agent, life, sent) && self.recovery.may_miss_runs() {
                    self.order(&agent, OrderKind::Claim, out);
                }
            }
            OwnerInput::Report(report) => self.report(now, &report, out),
            OwnerInput::WorkerLost { agent } => self.gone(&agent, out),
            OwnerInput::Written { seq, result } => self.written(now, seq, result, out),
            OwnerInput::Tick => self.tick(now, out),
        }
        self.advance(now, out);
    }

    /// The ownership.
    pub fn ownership(&self) -> &Ownership {
        &self.term
    }

    /// The record of `task`.
    pub fn record(&self, task: &TaskKey) -> Option<&TaskRecord> {
        self.slots.get(task).map(|slot| &slot.record)
    }

    /// All tasks with their records.
    pub fn tasks(&self) -> impl Iterator<Item = (&TaskKey, &TaskRecord)> {
        self.slots.iter().map(|(task, slot)| (task, &slot.record))
    }

    /// Workers that the journal names as holders of runs not heard of yet.
    pub fn unreported_workers(&self) -> Vec<NodeName> {
        let slots = self.slots.iter();
        let open = slots.filter(|(task, _)| self.recovery.is_unresolved(task));
        let mut names: Vec<_> = open
            .filter_map(|(_, slot)| slot.record.holder().cloned())
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Whether `task` may be placed now.
    pub fn is_ready(&self, now: Time, task: &TaskKey) -> bool {
        let ready = self.slots.get(task).is_some_and(|s| s.record.is_ready());
        ready && self.fresh(now).is_some() && !self.recovery.is_unresolved(task)
    }

    /// Whether `task` is finished and the journal has that.
    pub fn is_completed(&self, task: &TaskKey) -> bool {
        let finished = |slot: &Slot| slot.record.phase == Phase::Finished;
        let waits = |late: &Late| matches!(late, Late::Counted { task: t, .. } if t == task);
        self.slots.get(task).is_some_and(finished) && !self.late.iter().any(|(_, l)| waits(l))
    }

    /// Whether every change is in the store, so that the shard can be released.
    pub fn is_flushed(&self) -> bool {
        self.journal.is_flushed()
    }

    /// Whether the runs of all earlier owners are known.
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_done()
    }

    fn depose(&mut self, out: &mut Vec<OwnerOutput>) {
        self.deposed = true;
        out.push(OwnerOutput::Superseded);
    }

    /// Time of the last confirmation, if it is younger than the hold time.
    fn fresh(&self, now: Time) -> Option<Time> {
        let asked = self.confirmed?;
        (now.since(asked) < self.term.hold).then_some(asked)
    }

    fn accept(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        if let Some(slot) = self.slots.get_mut(task) {
            if slot.wish == Wish::Remove {
                slot.wish = Wish::Renew;
            }
            self.retire(task, out);
            return;
        }
        let base = self.bases[usize::from(segment_of(task).0)];
        let slot = Slot::new(TaskRecord::new(base));
        self.slots.insert(task.clone(), slot);
        self.announce(task, out);
    }

    fn remove(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let Some(slot) = self.slots.get_mut(task) else {
            return;
        };
        slot.wish = Wish::Remove;
        self.cancel(task, out);
        self.retire(task, out);
    }

    /// Gives up runs that were out-waited, and repeats what was not answered.
    fn tick(&mut self, now: Time, out: &mut Vec<OwnerOutput>) {
        let due = |slot: &Slot| slot.bound.is_some_and(|bound| now >= bound);
        let over = self.select(|slot| slot.record.holder().is_some() && due(slot));
        for task in over {
            self.lose(&task, out);
        }
        let unsent = self.select(|slot| !slot.is_sent() && slot.record.holder().is_some());
        for task in unsent {
            self.send(now, &task, out);
        }
        for agent in self.unreported_workers() {
            self.order(&agent, OrderKind::Claim, out);
        }
    }

    /// Ends the recovery and writes the journal when it is time.
    fn advance(&mut self, now: Time, out: &mut Vec<OwnerOutput>) {
        if self.deposed {
            return;
        }
        if let Some(recovered) = self.recovery.poll(now) {
            out.push(OwnerOutput::Recovered(recovered));
            for task in self.select(|slot| slot.record.is_ready()) {
                self.announce(&task, out);
            }
        }
        let (slots, bases) = (&self.slots, &self.bases);
        let encode = |id| collect(slots, bases, id).encode();
        if let Some(batch) = self.journal.next_batch(now, encode) {
            out.push(OwnerOutput::Write(batch));
        }
    }

    fn hold(&mut self, agent: &NodeName, task: &TaskKey) {
        let tasks = self.held.entry(agent.clone()).or_default();
        tasks.insert(task.clone());
    }

    fn select(&self, wanted: impl Fn(&Slot) -> bool) -> Vec<TaskKey> {
        let slots = self.slots.iter().filter(|(_, slot)| wanted(slot));
        slots.map(|(task, _)| task.clone()).collect()
    }

    fn written(&mut self, now: Time, seq: u64, result: WriteResult, out: &mut Vec<OwnerOutput>) {
        match result {
            WriteResult::Fenced => return self.depose(out),
            WriteResult::Unknown => return self.journal.finish_write(seq, false),
            WriteResult::Accepted { sent_at: asked } => {
                self.confirmed = self.confirmed.max(Some(asked));
                self.journal.finish_write(seq, true);
            }
        }
        let late = std::mem::take(&mut self.late);
        for (gate, message) in late {
            if !self.journal.is_durable(gate) {
                self.late.push((gate, message));
                continue;
            }
            match message {
                Late::Forget { agent, run } => {
                    let hold = self.term.hold;
                    self.order(&agent, OrderKind::Forget { run, hold }, out);
                }
                Late::Counted { task, run } => out.push(OwnerOutput::Completed { task, run }),
            }
        }
        let waiting = self.select(|slot| !slot.is_sent());
        for task in waiting {
            self.send(now, &task, out);
        }
    }

    /// Journals a task whose run is over, and lets its agent forget the run.
    fn settle(&mut self, task: &TaskKey, agent: Option<&NodeName>, out: &mut Vec<OwnerOutput>) {
        let gate = self.mark(task);
        self.recovery.mark_reported(task);
        let slot = self.slots.get_mut(task).expect("the caller found it");
        slot.clear();
        let run = run_id(task, slot.record.run);
        if slot.record.phase == Phase::Finished {
            let message = Late::Counted {
                task: task.clone(),
                run: run.run,
            };
            self.late.push((gate, message));
        }
        if let Some(agent) = agent.cloned() {
            self.late.push((gate, Late::Forget { agent, run }));
        }
        self.announce(task, out);
        self.retire(task, out);
    }

    /// Removes or renews the record of a task that is over, if that was asked for.
    fn retire(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let segment = segment_of(task);
        let Some(slot) = self.slots.get_mut(task).filter(|s| s.record.is_over()) else {
            return;
        };
        let run = slot.record.run;
        match slot.wish {
            Wish::Keep => return,
            Wish::Renew => {
                *slot = Slot::new(TaskRecord::new(run));
                self.announce(task, out);
            }
            Wish::Remove => {
                self.slots.remove(task);
                let base = &mut self.bases[usize::from(segment.0)];
                *base = run.max(*base);
            }
        }
        self.mark(task);
    }

    fn announce(&self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let ready = self.slots.get(task).is_some_and(|s| s.record.is_ready());
        if ready && !self.recovery.is_unresolved(task) {
            out.push(OwnerOutput::Ready { task: task.clone() });
        }
    }

    fn mark(&mut self, task: &TaskKey) -> Change {
        self.journal.mark_dirty(segment_of(task))
    }

    fn order(&self, agent: &NodeName, kind: OrderKind, out: &mut Vec<OwnerOutput>) {
        let order = Order {
            shard: self.term.shard,
            epoch: self.term.epoch,
            kind,
        };
        let agent = agent.clone();
        out.push(OwnerOutput::Order { agent, order });
    }
}

fn run_id(task: &TaskKey, run: RunNumber) -> RunId {
    let task = task.clone();
    RunId { task, run }
}

/// Whether a slot differs from what its settings alone give.
fn is_journaled(slot: &Slot) -> bool {
    slot.record.run > RunNumber(0) || slot.record.is_over()
}

fn collect(slots: &BTreeMap<TaskKey, Slot>, bases: &[RunNumber], id: SegmentId) -> Segment {
    let kept = slots
        .iter()
        .filter(|(task, slot)| is_journaled(slot) && segment_of(task) == id);
    let tasks = kept.map(|(task, slot)| JournaledTask {
        task: task.clone(),
        record: slot.record.clone(),
    });
    Segment {
        base_run: bases[usize::from(id.0)],
        tasks: tasks.collect(),
    }
}
