//! The owner of one shard: starts, tracks and stops the runs of its tasks.

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
use crate::leases::{Order, OrderKind, Phase, RunReport, RunSpec, TaskRecord};
use crate::recovery::Recovery;
use crate::types::{Incarnation, NodeName, RunId, RunNumber, TaskKey, Time};

/// Incarnation and send time, by its own clock, of an agent's latest message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Heartbeat {
    incarnation: Incarnation,
    sent: Time,
}

/// What to do with a task's record once the task is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum EndAction {
    Keep,
    Remove,
    /// The task was removed and added again: start over with a new record.
    Recreate,
}

/// A task's journaled record and the state of its current run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Slot {
    record: TaskRecord,
    /// Start order of a run placed by this owner; `None` for runs of earlier owners.
    start: Option<RunSpec>,
    /// Incarnation of the agent that `start` was sent to; it is sent to no other.
    incarnation: Option<Incarnation>,
    /// Journal change of the start; must be durable before the start is sent, unless
    /// unjournaled starts are allowed.
    start_change: Option<Change>,
    /// When the current run has certainly ended if its agent reports no more.
    ends_by: Option<Time>,
    end_action: EndAction,
}

impl Slot {
    fn new(record: TaskRecord) -> Self {
        Self {
            record,
            start: None,
            incarnation: None,
            start_change: None,
            ends_by: None,
            end_action: EndAction::Keep,
        }
    }

    /// Whether the agent may have received the start of the current run.
    fn is_sent(&self) -> bool {
        self.start.is_none() || self.incarnation.is_some()
    }

    fn clear_run(&mut self) {
        self.start = None;
        self.incarnation = None;
        self.start_change = None;
        self.ends_by = None;
    }
}

/// A message to send once a journal change is durable.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Deferred {
    Forget { agent: NodeName, run: RunId },
    Completed { task: TaskKey, run: RunNumber },
}

/// State machine that decides about the tasks of one shard in one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Owner {
    config: OwnerConfig,
    ownership: Ownership,
    /// When the last call that confirmed the epoch was sent.
    confirmed: Option<Time>,
    superseded: bool,
    slots: BTreeMap<TaskKey, Slot>,
    heartbeats: BTreeMap<NodeName, Heartbeat>,
    /// Tasks that each worker holds; may include some that it no longer holds.
    tasks_by_worker: BTreeMap<NodeName, BTreeSet<TaskKey>>,
    /// Highest run number of removed tasks, per segment; on loading, each gets the
    /// maximum over all segments.
    base_runs: Vec<RunNumber>,
    journal: Journal,
    deferred: Vec<(Change, Deferred)>,
    /// Ends reported while the journal may still lack runs.
    deferred_ends: Vec<(NodeName, RunReport)>,
    recovery: Recovery,
}

impl Owner {
    /// Creates the owner from the journal, which was read after the acquisition.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError`] when a segment does not decode; no decisions may be
    /// made about the shard then.
    pub fn new(
        config: OwnerConfig,
        ownership: Ownership,
        now: Time,
        segments: &[(SegmentId, Vec<u8>)],
    ) -> Result<Self, JournalError> {
        let mut journal = Journal::new(config.flush_interval);
        let mut base_runs = vec![RunNumber(0); usize::from(JOURNAL_SEGMENTS)];
        let mut slots = BTreeMap::new();
        for (id, bytes) in segments {
            let segment = Segment::decode(*id, bytes)?;
            journal.set_size(*id, bytes.len());
            for base in &mut base_runs {
                *base = segment.base_run.max(*base);
            }
            for journaled in segment.tasks {
                let mut slot = Slot::new(journaled.record);
                slot.ends_by = slot
                    .record
                    .assigned_agent()
                    .map(|_| ownership.earlier_runs_end);
                slots.insert(journaled.task, slot);
            }
        }
        let mut tasks_by_worker = BTreeMap::<_, BTreeSet<_>>::new();
        for (task, slot) in &slots {
            if let Some(agent) = slot.record.assigned_agent() {
                tasks_by_worker
                    .entry(agent.clone())
                    .or_default()
                    .insert(task.clone());
            }
        }
        let unresolved = slots.iter().filter(|(_, slot)| slot.ends_by.is_some());
        let unresolved = unresolved.map(|(task, _)| task.clone()).collect();
        let incomplete_until = ownership
            .unjournaled_runs
            .then_some(ownership.earlier_runs_end);
        Ok(Self {
            recovery: Recovery::new(now, unresolved, incomplete_until),
            config,
            ownership,
            confirmed: None,
            superseded: false,
            slots,
            heartbeats: BTreeMap::new(),
            tasks_by_worker,
            base_runs,
            journal,
            deferred: Vec::new(),
            deferred_ends: Vec::new(),
        })
    }

    /// Processes one input at `now` and appends the resulting outputs.
    pub fn step(&mut self, now: Time, input: OwnerInput, out: &mut Vec<OwnerOutput>) {
        if self.superseded {
            return;
        }
        self.update_recovery(now, out);
        match input {
            OwnerInput::Confirmed { sent_at } => self.confirmed = self.confirmed.max(Some(sent_at)),
            OwnerInput::Superseded => self.supersede(out),
            OwnerInput::Add { task } => self.add(&task, out),
            OwnerInput::Remove { task } => self.remove(&task, out),
            OwnerInput::Cancel { task } => self.cancel(&task, out),
            OwnerInput::Evict { task, run } => self.evict(&task, run, out),
            OwnerInput::Place {
                task,
                expected_run,
                agent,
                spec,
            } => self.place(now, &task, expected_run, &agent, spec, out),
            OwnerInput::Heartbeat {
                agent,
                incarnation,
                sent,
            } => {
                if self.record_heartbeat(&agent, incarnation, sent) && self.recovery.may_miss_runs()
                {
                    self.send_order(&agent, OrderKind::Claim, out);
                }
            }
            OwnerInput::Report(report) => self.apply_report(now, &report, out),
            OwnerInput::WorkerLost { agent } => self.worker_lost(&agent, out),
            OwnerInput::Written { seq, result } => self.apply_write_result(now, seq, result, out),
            OwnerInput::Tick => self.tick(now, out),
        }
        self.advance(now, out);
    }

    /// The ownership under which decisions are made.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// The record of `task`.
    pub fn record(&self, task: &TaskKey) -> Option<&TaskRecord> {
        self.slots.get(task).map(|slot| &slot.record)
    }

    /// All tasks with their records.
    pub fn tasks(&self) -> impl Iterator<Item = (&TaskKey, &TaskRecord)> {
        self.slots.iter().map(|(task, slot)| (task, &slot.record))
    }

    /// Workers that hold tasks which recovery has not resolved yet.
    pub fn unreported_workers(&self) -> Vec<NodeName> {
        let slots = self.slots.iter();
        let unresolved = slots.filter(|(task, _)| self.recovery.is_unresolved(task));
        let mut names: Vec<_> = unresolved
            .filter_map(|(_, slot)| slot.record.assigned_agent().cloned())
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Whether `task` may be placed now.
    pub fn is_ready(&self, now: Time, task: &TaskKey) -> bool {
        let ready = self.slots.get(task).is_some_and(|s| s.record.is_ready());
        ready && self.valid_confirmation(now).is_some() && !self.recovery.is_unresolved(task)
    }

    /// Whether `task` is finished and its end is durable in the journal.
    pub fn is_completed(&self, task: &TaskKey) -> bool {
        let finished = |slot: &Slot| slot.record.phase == Phase::Finished;
        let is_deferred = |message: &Deferred| matches!(message, Deferred::Completed { task: t, .. } if t == task);
        self.slots.get(task).is_some_and(finished)
            && !self
                .deferred
                .iter()
                .any(|(_, message)| is_deferred(message))
    }

    /// Whether every change is durable, so that the shard can be released.
    pub fn is_flushed(&self) -> bool {
        self.journal.is_flushed()
    }

    /// Whether the runs of all earlier owners are accounted for.
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_done()
    }

    fn supersede(&mut self, out: &mut Vec<OwnerOutput>) {
        self.superseded = true;
        out.push(OwnerOutput::Superseded);
    }

    /// Send time of the last confirmed call, if more recent than the hold time.
    fn valid_confirmation(&self, now: Time) -> Option<Time> {
        let sent_at = self.confirmed?;
        (now.since(sent_at) < self.ownership.hold).then_some(sent_at)
    }

    fn add(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        if let Some(slot) = self.slots.get_mut(task) {
            if slot.end_action == EndAction::Remove {
                slot.end_action = EndAction::Recreate;
            }
            self.apply_end_action(task, out);
            return;
        }
        let base = self.base_runs[usize::from(segment_of(task).0)];
        let slot = Slot::new(TaskRecord::new(base));
        self.slots.insert(task.clone(), slot);
        self.announce_ready(task, out);
    }

    fn remove(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let Some(slot) = self.slots.get_mut(task) else {
            return;
        };
        slot.end_action = EndAction::Remove;
        self.cancel(task, out);
        self.apply_end_action(task, out);
    }

    /// Gives up expired runs and repeats unsent starts and unanswered claims.
    fn tick(&mut self, now: Time, out: &mut Vec<OwnerOutput>) {
        let due = |slot: &Slot| slot.ends_by.is_some_and(|ends_by| now >= ends_by);
        let expired = self.select(|slot| slot.record.assigned_agent().is_some() && due(slot));
        for task in expired {
            self.give_up_run(&task, out);
        }
        let unsent = self.select(|slot| !slot.is_sent() && slot.record.assigned_agent().is_some());
        for task in unsent {
            self.send_start(now, &task, out);
        }
        for agent in self.unreported_workers() {
            self.send_order(&agent, OrderKind::Claim, out);
        }
    }

    /// Ends the recovery when it is complete and writes the journal when due.
    fn advance(&mut self, now: Time, out: &mut Vec<OwnerOutput>) {
        if self.superseded {
            return;
        }
        if let Some(recovered) = self.recovery.poll(now) {
            out.push(OwnerOutput::Recovered(recovered));
            for task in self.select(|slot| slot.record.is_ready()) {
                self.announce_ready(&task, out);
            }
        }
        let (slots, base_runs) = (&self.slots, &self.base_runs);
        let encode = |id| build_segment(slots, base_runs, id).encode();
        if let Some(batch) = self.journal.next_batch(now, encode) {
            out.push(OwnerOutput::Write(batch));
        }
    }

    fn index_task(&mut self, agent: &NodeName, task: &TaskKey) {
        let tasks = self.tasks_by_worker.entry(agent.clone()).or_default();
        tasks.insert(task.clone());
    }

    fn select(&self, filter: impl Fn(&Slot) -> bool) -> Vec<TaskKey> {
        let slots = self.slots.iter().filter(|(_, slot)| filter(slot));
        slots.map(|(task, _)| task.clone()).collect()
    }

    fn apply_write_result(
        &mut self,
        now: Time,
        seq: u64,
        result: WriteResult,
        out: &mut Vec<OwnerOutput>,
    ) {
        match result {
            WriteResult::Fenced => return self.supersede(out),
            WriteResult::Unknown => return self.journal.finish_write(seq, false),
            WriteResult::Accepted { sent_at } => {
                self.confirmed = self.confirmed.max(Some(sent_at));
                self.journal.finish_write(seq, true);
            }
        }
        let deferred = std::mem::take(&mut self.deferred);
        for (change, message) in deferred {
            if !self.journal.is_durable(change) {
                self.deferred.push((change, message));
                continue;
            }
            match message {
                Deferred::Forget { agent, run } => {
                    let hold = self.ownership.hold;
                    self.send_order(&agent, OrderKind::Forget { run, hold }, out);
                }
                Deferred::Completed { task, run } => out.push(OwnerOutput::Completed { task, run }),
            }
        }
        let unsent = self.select(|slot| !slot.is_sent());
        for task in unsent {
            self.send_start(now, &task, out);
        }
    }

    /// Journals the end of a task's run, then lets its agent forget the run.
    fn conclude_run(
        &mut self,
        task: &TaskKey,
        agent: Option<&NodeName>,
        out: &mut Vec<OwnerOutput>,
    ) {
        let change = self.mark_dirty(task);
        self.recovery.mark_reported(task);
        let slot = self.slots.get_mut(task).expect("the task has a slot");
        slot.clear_run();
        let run = run_id(task, slot.record.run);
        if slot.record.phase == Phase::Finished {
            let message = Deferred::Completed {
                task: task.clone(),
                run: run.run,
            };
            self.deferred.push((change, message));
        }
        if let Some(agent) = agent.cloned() {
            self.deferred
                .push((change, Deferred::Forget { agent, run }));
        }
        self.announce_ready(task, out);
        self.apply_end_action(task, out);
    }

    /// Removes or recreates the record of a task that is over, if requested.
    fn apply_end_action(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let segment = segment_of(task);
        let Some(slot) = self.slots.get_mut(task).filter(|s| s.record.is_terminal()) else {
            return;
        };
        let run = slot.record.run;
        match slot.end_action {
            EndAction::Keep => return,
            EndAction::Recreate => {
                *slot = Slot::new(TaskRecord::new(run));
                self.announce_ready(task, out);
            }
            EndAction::Remove => {
                self.slots.remove(task);
                let base = &mut self.base_runs[usize::from(segment.0)];
                *base = run.max(*base);
            }
        }
        self.mark_dirty(task);
    }

    fn announce_ready(&self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let ready = self.slots.get(task).is_some_and(|s| s.record.is_ready());
        if ready && !self.recovery.is_unresolved(task) {
            out.push(OwnerOutput::Ready { task: task.clone() });
        }
    }

    fn mark_dirty(&mut self, task: &TaskKey) -> Change {
        self.journal.mark_dirty(segment_of(task))
    }

    fn send_order(&self, agent: &NodeName, kind: OrderKind, out: &mut Vec<OwnerOutput>) {
        let order = Order {
            shard: self.ownership.shard,
            epoch: self.ownership.epoch,
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

/// Whether the record differs from that of a newly added task.
fn is_journaled(slot: &Slot) -> bool {
    slot.record.run > RunNumber(0) || slot.record.is_terminal()
}

fn build_segment(
    slots: &BTreeMap<TaskKey, Slot>,
    base_runs: &[RunNumber],
    id: SegmentId,
) -> Segment {
    let kept = slots
        .iter()
        .filter(|(task, slot)| is_journaled(slot) && segment_of(task) == id);
    let tasks = kept.map(|(task, slot)| JournaledTask {
        task: task.clone(),
        record: slot.record.clone(),
    });
    Segment {
        base_run: base_runs[usize::from(id.0)],
        tasks: tasks.collect(),
    }
}
