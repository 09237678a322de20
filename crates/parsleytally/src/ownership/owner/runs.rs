//! Starting, stopping and giving up runs.

use super::{Owner, OwnerOutput, TaskSpec, is_journaled, run_id};
use crate::leases::{OrderKind, Proof, Start, outlast};
use crate::ownership::segment_of;
use crate::types::{NodeName, RunNumber, TaskKey, Time};

impl Owner {
    pub(super) fn cancel(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let Some(slot) = self.slots.get_mut(task) else {
            return;
        };
        if slot.record.cancel().is_ok() {
            self.withdraw(task, out);
        }
    }

    pub(super) fn evict(&mut self, task: &TaskKey, run: RunNumber, out: &mut Vec<OwnerOutput>) {
        let Some(slot) = self.slots.get_mut(task) else {
            return;
        };
        if slot.record.evict(run).is_ok() {
            self.withdraw(task, out);
        }
    }

    /// Stops the current run of a task that has just been cancelled or evicted.
    fn withdraw(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let slot = self.slots.get_mut(task).expect("the caller found it");
        let run = slot.record.run;
        match slot.record.holder().cloned() {
            Some(agent) if slot.is_sent() => {
                let run = run_id(task, run);
                self.order(&agent, OrderKind::Stop { run }, out);
                self.mark(task);
            }
            Some(_) => {
                let ended = slot.record.ended(run, None);
                ended.expect("a run that was never sent is the current run");
                self.settle(task, None, out);
            }
            None => self.settle(task, None, out),
        }
    }

    pub(super) fn place(
        &mut self,
        now: Time,
        task: &TaskKey,
        expect: RunNumber,
        agent: &NodeName,
        spec: TaskSpec,
        out: &mut Vec<OwnerOutput>,
    ) {
        let segment = segment_of(task);
        let journaled = self.slots.get(task).is_some_and(is_journaled);
        let room = journaled || self.journal.has_capacity(segment);
        if !room || !self.beats.contains_key(agent) || !self.is_ready(now, task) {
            out.push(OwnerOutput::NotPlaced { task: task.clone() });
            return;
        }
        let slot = self.slots.get_mut(task).expect("a ready task has a slot");
        let Ok(run) = slot
            .record
            .start(expect, self.term.run_number_floor(), agent)
        else {
            out.push(OwnerOutput::NotPlaced { task: task.clone() });
            return;
        };
        slot.clear();
        slot.start = Some(Start {
            run: run_id(task, run),
            need: spec.need,
            command: spec.command,
            run_time: spec.run_time,
            checkpoint: slot.record.checkpoint,
        });
        slot.gate = Some(self.journal.mark_dirty(segment));
        self.hold(agent, task);
        self.send(now, task, out);
    }

    /// Sends the start of `task`, if the journal has it and the proof is fresh.
    pub(super) fn send(&mut self, now: Time, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let Some(asked) = self.fresh(now) else {
            return;
        };
        let slot = self.slots.get_mut(task).expect("the caller found it");
        let durable = slot.gate.is_none_or(|gate| self.journal.is_durable(gate));
        let Some((agent, start)) = slot.record.holder().zip(slot.start.as_ref()) else {
            return;
        };
        let Some(beat) = self.beats.get(agent) else {
            return;
        };
        if !(durable || self.term.unjournaled_starts)
            || slot.life.is_some_and(|life| life != beat.life)
        {
            return;
        }
        slot.life = Some(beat.life);
        slot.bound = slot.bound.max(Some(asked.after(outlast(self.term.hold))));
        let proof = Proof {
            life: beat.life,
            sent: beat.sent,
            age: now.since(asked),
            hold: self.term.hold,
        };
        let agent = agent.clone();
        let start = start.clone();
        self.order(&agent, OrderKind::Start { proof, start }, out);
    }

    pub(super) fn gone(&mut self, agent: &NodeName, out: &mut Vec<OwnerOutput>) {
        let held = self.slots.iter();
        let held = held.filter(|(_, slot)| slot.record.holder() == Some(agent));
        let lost: Vec<_> = held.map(|(task, _)| task.clone()).collect();
        for task in lost {
            self.lose(&task, out);
        }
    }

    pub(super) fn lose(&mut self, task: &TaskKey, out: &mut Vec<OwnerOutput>) {
        let slot = self.slots.get_mut(task).expect("the caller found it");
        let run = slot.record.run;
        if slot.record.ended(run, None).is_ok() {
            out.push(OwnerOutput::RunLost {
                run: run_id(task, run),
            });
            self.recovery.mark_expired(task);
            self.settle(task, None, out);
        }
    }
}
