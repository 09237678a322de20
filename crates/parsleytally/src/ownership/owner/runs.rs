//! Starting, stopping and giving up of runs.

use super::{Owner, OwnerOutput, TaskSpec, is_journaled, run_id};
use crate::leases::{OrderKind, Proof, RunSpec, with_drift_margin};
use crate::ownership::segment_of;
use crate::types::{NodeName, RunNumber, TaskKey, Time};

impl Owner {
    pub(super) fn cancel(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let Some(slot) = self.slots.get_mut(task) else {
            return;
        };
        if slot.record.cancel().is_ok() {
            self.stop_run(task, out);
        }
    }

    pub(super) fn evict(&mut self, task: &TaskKey, run: RunNumber, out: &mut Vec<OwnerOutput>) {
        let Some(slot) = self.slots.get_mut(task) else {
            return;
        };
        if slot.record.evict(run).is_ok() {
            self.stop_run(task, out);
        }
    }

    /// Stops the current run of a task that has just been cancelled or evicted.
    fn stop_run(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let slot = self.slots.get_mut(task).expect("the task has a slot");
        let run = slot.record.run;
        match slot.record.assigned_agent().cloned() {
            Some(agent) if slot.is_sent() => {
                let run = run_id(task, run);
                self.send_order(&agent, OrderKind::Stop { run }, out);
                self.mark_dirty(task);
            }
            Some(_) => {
                let ended = slot.record.mark_ended(run, None);
                ended.expect("a run that was never sent is the current run");
                self.conclude_run(task, None, out);
            }
            None => self.conclude_run(task, None, out),
        }
    }

    pub(super) fn place(
        &mut self,
        now: Time,
        task: &TaskKey,
        expected_run: RunNumber,
        agent: &NodeName,
        spec: TaskSpec,
        out: &mut Vec<OwnerOutput>,
    ) {
        let segment = segment_of(task);
        let journaled = self.slots.get(task).is_some_and(is_journaled);
        let has_capacity = journaled || self.journal.has_capacity(segment);
        if !has_capacity || !self.heartbeats.contains_key(agent) || !self.is_ready(now, task) {
            out.push(OwnerOutput::NotPlaced { task: task.clone() });
            return;
        }
        let slot = self.slots.get_mut(task).expect("a ready task has a slot");
        let Ok(run) = slot
            .record
            .start(expected_run, self.ownership.run_number_floor(), agent)
        else {
            out.push(OwnerOutput::NotPlaced { task: task.clone() });
            return;
        };
        slot.clear_run();
        slot.start = Some(RunSpec {
            run: run_id(task, run),
            resources: spec.need,
            command: spec.command,
            run_time: spec.run_time,
            checkpoint: slot.record.checkpoint,
        });
        slot.start_change = Some(self.journal.mark_dirty(segment));
        self.index_task(agent, task);
        self.send_start(now, task, out);
    }

    /// Sends the start of `task` if the last confirmation is valid and the start is
    /// journaled, or need not be. It goes to one incarnation of the agent only.
    pub(super) fn send_start(&mut self, now: Time, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let Some(sent_at) = self.valid_confirmation(now) else {
            return;
        };
        let slot = self.slots.get_mut(task).expect("the task has a slot");
        let durable = slot
            .start_change
            .is_none_or(|change| self.journal.is_durable(change));
        let Some((agent, start)) = slot.record.assigned_agent().zip(slot.start.as_ref()) else {
            return;
        };
        let Some(heartbeat) = self.heartbeats.get(agent) else {
            return;
        };
        if !(durable || self.ownership.unjournaled_starts)
            || slot
                .incarnation
                .is_some_and(|incarnation| incarnation != heartbeat.incarnation)
        {
            return;
        }
        slot.incarnation = Some(heartbeat.incarnation);
        slot.ends_by = slot
            .ends_by
            .max(Some(sent_at.after(with_drift_margin(self.ownership.hold))));
        let proof = Proof {
            incarnation: heartbeat.incarnation,
            sent_at: heartbeat.sent,
            confirmation_age: now.since(sent_at),
            hold: self.ownership.hold,
        };
        let agent = agent.clone();
        let start = start.clone();
        self.send_order(&agent, OrderKind::Start { proof, spec: start }, out);
    }

    pub(super) fn worker_lost(&mut self, agent: &NodeName, out: &mut Vec<OwnerOutput>) {
        let affected = self.slots.iter();
        let affected = affected.filter(|(_, slot)| slot.record.assigned_agent() == Some(agent));
        let lost: Vec<_> = affected.map(|(task, _)| task.clone()).collect();
        for task in lost {
            self.give_up_run(&task, out);
        }
    }

    /// Ends the current run of `task` without a report and emits `RunLost`.
    pub(super) fn give_up_run(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let slot = self.slots.get_mut(task).expect("the task has a slot");
        let run = slot.record.run;
        if slot.record.mark_ended(run, None).is_ok() {
            out.push(OwnerOutput::RunLost {
                run: run_id(task, run),
            });
            self.recovery.mark_lost(task);
            self.conclude_run(task, None, out);
        }
    }
}
