//! A worker of the model: runs tasks under one lease, fences orders, lists ends.

use std::collections::{BTreeMap, HashMap};

use super::*;
use crate::types::Time;

/// Milliseconds of work of every task.
const WORK_MS: u64 = 800;

/// A run in progress.
#[derive(Debug, Clone)]
struct Running {
    /// When its work is done.
    done: Time,
    /// When a stop takes effect.
    stops: Option<Time>,
}

/// A worker with its own clock, which starts at 0 with each life.
#[derive(Debug)]
pub(super) struct ModelWorker {
    pub(super) up: bool,
    pub(super) born: u64,
    /// When its clock showed 0.
    began: Time,
    fence: u64,
    lease_end: u64,
    running: BTreeMap<RunRef, Running>,
    ended: Vec<EndedRun>,
    next_end: u64,
    /// Highest run of each task that was stopped or ended here.
    past: HashMap<TaskId, u32>,
}

/// What a worker did that the checks look at.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Deed {
    Started(RunRef),
    Ended(RunRef, EndReason),
    /// Ends that may be forgotten now.
    Noted(Vec<EndedRun>),
}

impl ModelWorker {
    pub(super) fn new(now: Time, born: u64) -> Self {
        Self {
            up: true,
            born,
            began: now,
            fence: 0,
            lease_end: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            past: HashMap::new(),
        }
    }

    pub(super) fn runs(&self) -> impl Iterator<Item = &RunRef> {
        self.running.keys().filter(|_| self.up)
    }

    fn clock_ms(&self, now: Time) -> u64 {
        // A clock that is 2% slow.
        now.since(self.began).as_millis() as u64 * 98 / 100
    }

    /// Lets time pass.
    pub(super) fn advance(&mut self, now: Time) -> Vec<Deed> {
        let lapsed = self.clock_ms(now) >= self.lease_end;
        let mut over = Vec::new();
        for (run, state) in &self.running {
            if state.done <= now {
                over.push((*run, EndReason::Done));
            } else if state.stops.is_some_and(|stops| stops <= now) {
                over.push((*run, EndReason::Stopped));
            } else if lapsed {
                over.push((*run, EndReason::Lapsed));
            }
        }
        over.into_iter()
            .map(|(run, how)| self.end(run, how))
            .collect()
    }

    fn end(&mut self, run: RunRef, how: EndReason) -> Deed {
        self.running.remove(&run);
        let past = self.past.entry(run.task).or_default();
        *past = run.run.max(*past);
        let number = self.next_end;
        self.next_end += 1;
        self.ended.push(EndedRun {
            sequence: number,
            run,
            reason: how,
            checkpoint: String::new(),
        });
        Deed::Ended(run, how)
    }

    /// Carries out an order to start.
    pub(super) fn start(
        &mut self,
        now: Time,
        call: &StartCall,
        deeds: &mut Vec<Deed>,
    ) -> Result<(), CallError> {
        let run = call.order.run;
        let refuse = |reason| Err(CallError::Refused(reason));
        if call.order.incarnation.born != self.born {
            return Err(CallError::OtherLife);
        }
        if call.fencing_token < self.fence {
            return refuse(RefusalReason::Fenced);
        }
        self.fence = call.fencing_token;
        if call.lease_end <= self.clock_ms(now) {
            return refuse(RefusalReason::Late);
        }
        self.lease_end = self.lease_end.max(call.lease_end);
        if self.running.contains_key(&run) {
            return Ok(());
        }
        if self
            .past
            .get(&run.task)
            .is_some_and(|past| run.run <= *past)
        {
            return refuse(RefusalReason::Old);
        }
        let done = now.after(std::time::Duration::from_millis(WORK_MS));
        self.running.insert(run, Running { done, stops: None });
        deeds.push(Deed::Started(run));
        Ok(())
    }

    /// Carries out an order to stop.
    pub(super) fn stop(&mut self, now: Time, call: StopCall) -> Result<(), CallError> {
        if call.fencing_token < self.fence {
            return Err(CallError::Refused(RefusalReason::Fenced));
        }
        self.fence = call.fencing_token;
        let past = self.past.entry(call.run.task).or_default();
        *past = call.run.run.max(*past);
        if let Some(running) = self.running.get_mut(&call.run) {
            let stops = now.after(std::time::Duration::from_millis(300));
            running.stops.get_or_insert(stops);
        }
        Ok(())
    }

    /// Lists what runs and has ended; `fenced` is a fault that is planted.
    pub(super) fn look(
        &mut self,
        now: Time,
        call: PollCall,
        fenced: bool,
        deeds: &mut Vec<Deed>,
    ) -> Listing {
        if call.fencing_token >= self.fence {
            if fenced {
                self.fence = call.fencing_token;
            }
            if let Some(end) = call.lease_end {
                self.lease_end = self.lease_end.max(end);
            }
            let (noted, kept) = std::mem::take(&mut self.ended)
                .into_iter()
                .partition(|end| end.sequence <= call.acknowledged);
            self.ended = kept;
            deeds.push(Deed::Noted(noted));
        }
        let running = self.running.keys().map(|run| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: 0,
            measurement: 0,
        });
        Listing {
            born: self.born,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
