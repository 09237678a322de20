//! Simulated worker: runs tasks under one lease, checks fencing tokens, lists ended runs.

use std::collections::{BTreeMap, HashMap};

use super::*;
use crate::types::Time;

/// Longest lease that a worker accepts, in milliseconds.
pub(super) const LEASE_MAX_MS: u64 = 10_000;
/// Run time of a task that ends by itself, in milliseconds.
const RUN_TIME_MS: u64 = 800;
/// Payload of tasks that run until they are stopped.
pub(super) const LASTING: &str = "last";
/// Most ended runs in one listing.
const LISTED_ENDS: usize = 3;

/// A run in progress.
#[derive(Debug, Clone)]
struct Running {
    /// When it completes; none if it runs until it is stopped.
    completes_at: Option<Time>,
    /// When a stop order takes effect.
    stops_at: Option<Time>,
}

/// A worker with its own clock, which starts at 0 with each incarnation.
#[derive(Debug)]
pub(super) struct SimulatedWorker {
    pub(super) up: bool,
    pub(super) born: u64,
    pub(super) state: WorkerState,
    /// Whether it has given notice of its shutdown.
    pub(super) leaving: bool,
    /// When its clock was 0.
    started_at: Time,
    fencing_token: u64,
    lease_end: u64,
    /// When its lease was last seen expired.
    pub(super) lapsed_at: Time,
    running: BTreeMap<RunRef, Running>,
    ended: Vec<EndedRun>,
    next_sequence: u64,
    /// Highest number of a stopped or ended run of each task.
    last_runs: HashMap<TaskId, u32>,
}

/// Action of a worker, for the checks of invariants.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum WorkerEvent {
    Started(RunRef),
    Ended(RunRef, EndReason),
    /// Ended runs that the worker drops after their acknowledgement.
    Acknowledged(Vec<EndedRun>),
}

impl SimulatedWorker {
    pub(super) fn new(now: Time, born: u64) -> Self {
        Self {
            up: true,
            born,
            state: WorkerState::Ready,
            leaving: false,
            started_at: now,
            fencing_token: 0,
            lease_end: 0,
            lapsed_at: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_sequence: 1,
            last_runs: HashMap::new(),
        }
    }

    pub(super) fn runs(&self) -> impl Iterator<Item = &RunRef> {
        self.running.keys().filter(|_| self.up)
    }

    fn clock_ms(&self, now: Time) -> u64 {
        // The clock is 2% slow.
        now.since(self.started_at).as_millis() as u64 * 98 / 100
    }

    /// Extends the lease to `end`, at most by [`LEASE_MAX_MS`] from now.
    fn extend_lease(&mut self, now: Time, end: u64) {
        let latest = self.clock_ms(now) + LEASE_MAX_MS;
        self.lease_end = self.lease_end.max(end.min(latest));
    }

    /// Whether its lease has expired.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        self.clock_ms(now) >= self.lease_end
    }

    /// Ends the runs that complete, stop or lose their lease by `now`.
    pub(super) fn advance(&mut self, now: Time) -> Vec<WorkerEvent> {
        let expired = self.is_expired(now);
        if expired {
            self.lapsed_at = now;
        }
        let mut ending = Vec::new();
        for (run, state) in &self.running {
            if state.completes_at.is_some_and(|at| at <= now) {
                ending.push((*run, EndReason::Done));
            } else if state.stops_at.is_some_and(|stops_at| stops_at <= now) {
                ending.push((*run, EndReason::Stopped));
            } else if expired {
                ending.push((*run, EndReason::Lapsed));
            }
        }
        ending
            .into_iter()
            .map(|(run, reason)| self.end(run, reason))
            .collect()
    }

    fn end(&mut self, run: RunRef, reason: EndReason) -> WorkerEvent {
        self.running.remove(&run);
        let last_run = self.last_runs.entry(run.task).or_default();
        *last_run = run.run.max(*last_run);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.ended.push(EndedRun {
            sequence,
            run,
            reason,
            checkpoint: String::new(),
        });
        WorkerEvent::Ended(run, reason)
    }

    /// Handles a call to start a run.
    pub(super) fn start(
        &mut self,
        now: Time,
        call: &StartCall,
        events: &mut Vec<WorkerEvent>,
    ) -> Result<(), CallError> {
        let run = call.order.run;
        let refuse = |reason| Err(CallError::Refused(reason));
        if call.order.incarnation.started_ms != self.born {
            return Err(CallError::OtherLife);
        }
        if call.fencing_token < self.fencing_token {
            return refuse(RefusalReason::Fenced);
        }
        self.fencing_token = call.fencing_token;
        if call.lease_end <= self.clock_ms(now) {
            return refuse(RefusalReason::Late);
        }
        self.extend_lease(now, call.lease_end);
        if self.running.contains_key(&run) {
            return Ok(());
        }
        if self
            .last_runs
            .get(&run.task)
            .is_some_and(|last_run| run.run <= *last_run)
        {
            return refuse(RefusalReason::Old);
        }
        let lasting = *call.order.payload == *LASTING;
        let completes_at =
            (!lasting).then(|| now.after(std::time::Duration::from_millis(RUN_TIME_MS)));
        self.running.insert(
            run,
            Running {
                completes_at,
                stops_at: None,
            },
        );
        events.push(WorkerEvent::Started(run));
        Ok(())
    }

    /// Handles a call to stop a run.
    pub(super) fn stop(&mut self, now: Time, call: StopCall) -> Result<(), CallError> {
        if call.fencing_token < self.fencing_token {
            return Err(CallError::Refused(RefusalReason::Fenced));
        }
        self.fencing_token = call.fencing_token;
        let last_run = self.last_runs.entry(call.run.task).or_default();
        *last_run = call.run.run.max(*last_run);
        if let Some(running) = self.running.get_mut(&call.run) {
            let stops_at = now.after(std::time::Duration::from_millis(300));
            running.stops_at.get_or_insert(stops_at);
        }
        Ok(())
    }

    /// Handles a poll, except for its listing; `fenced` is false to inject a bug: the poll then
    /// doesn't raise the fencing token.
    pub(super) fn hold(
        &mut self,
        now: Time,
        call: PollCall,
        fenced: bool,
        events: &mut Vec<WorkerEvent>,
    ) {
        if call.fencing_token >= self.fencing_token {
            if fenced {
                self.fencing_token = call.fencing_token;
            }
            if let Some(end) = call.lease_end {
                self.extend_lease(now, end);
            }
            let (acknowledged, kept) = std::mem::take(&mut self.ended)
                .into_iter()
                .partition(|end| end.sequence <= call.acknowledged);
            self.ended = kept;
            events.push(WorkerEvent::Acknowledged(acknowledged));
        }
    }

    /// Whether it lists ended runs that are not acknowledged.
    pub(super) fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Lists its runs.
    pub(super) fn list(&self, now: Time) -> Listing {
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
            ended: self.ended.iter().take(LISTED_ENDS).cloned().collect(),
            complete: self.ended.len() < LISTED_ENDS,
            unnamed: 0,
        }
    }
}
