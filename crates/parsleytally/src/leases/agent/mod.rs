//! The agent's state machine: which runs its worker executes, and until which deadlines.

mod messages;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub use messages::{Command, Event, IgnoreReason, Input, Output, WorkerRun, WorkerRunState};

use super::{
    Checkpoint, Order, OrderKind, Proof, Report, RunReport, RunSpec, RunState, with_drift_margin,
};
use crate::grants::{Ledger, UnrecoveredLedger};
use crate::types::{
    Epoch, Incarnation, NodeName, Resources, RunId, RunNumber, ShardId, TaskKey, Time,
};

/// Settings of an agent's runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AgentConfig {
    /// Name of the worker.
    pub name: NodeName,
    /// The worker's resources for batch tasks.
    pub capacity: Resources,
    /// How long before its deadline a run is stopped with its state saved.
    pub margin: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Starting,
    Running,
    Stopping { saving: bool },
    Done(RunState),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Run {
    shard: ShardId,
    phase: Phase,
    deadline: Time,
    checkpoint: Option<Checkpoint>,
}

impl Run {
    fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Done(_))
    }

    fn state(&self) -> RunState {
        match &self.phase {
            Phase::Done(state) => state.clone(),
            _ => RunState::Live {
                checkpoint: self.checkpoint,
            },
        }
    }
}

/// Highest run number of a task whose end the agent has forgotten.
///
/// Starts up to this number are refused until none of them can still be valid.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ForgottenRun {
    number: RunNumber,
    refused_until: Time,
}

/// Runs of one worker under the leases of the owners of shards.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Agent {
    config: AgentConfig,
    incarnation: Incarnation,
    started_at: Time,
    ledger: Option<Ledger>,
    highest_epochs: BTreeMap<ShardId, Epoch>,
    runs: BTreeMap<RunId, Run>,
    forgotten: BTreeMap<TaskKey, ForgottenRun>,
    superseded: bool,
}

impl Agent {
    /// Creates the agent that has just taken over its worker.
    ///
    /// `incarnation` is higher than that of every earlier agent of the worker. At
    /// `started_at`, on the machine's monotonic clock, the worker no longer accepted
    /// commands of earlier agents.
    pub fn new(config: AgentConfig, incarnation: Incarnation, started_at: Time) -> Self {
        Self {
            config,
            incarnation,
            started_at,
            ledger: None,
            highest_epochs: BTreeMap::new(),
            runs: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            superseded: false,
        }
    }

    /// Handles one input at `now` and appends the outputs to `out`.
    ///
    /// Deadlines are enforced first, so a process that was paused doesn't act on
    /// leases that have expired meanwhile.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        if self.superseded {
            return;
        }
        self.enforce_deadlines(now, out);
        match input {
            Input::Inventory(inventory) => self.load_inventory(now, inventory, out),
            Input::Order(order) => self.handle_order(now, order, out),
            Input::Worker(event) => self.handle_event(now, event, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Grants of the worker; `None` until the worker has reported its runs.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    /// Incarnation of this agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Highest epoch accepted for `shard`; orders of lower epochs are ignored.
    pub fn highest_epoch(&self, shard: ShardId) -> Epoch {
        self.highest_epochs.get(&shard).copied().unwrap_or_default()
    }

    /// When the next run has to be stopped, if its lease is not renewed.
    pub fn next_deadline(&self) -> Option<Time> {
        let live = self.runs.values().filter(|run| run.is_live());
        live.map(|run| self.next_stop(run)).min()
    }

    /// When the run has to be stopped: with its state saved, then without.
    fn next_stop(&self, run: &Run) -> Time {
        match run.phase {
            Phase::Stopping { .. } => run.deadline,
            _ => subtract(run.deadline, self.config.margin),
        }
    }

    fn enforce_deadlines(&mut self, now: Time, out: &mut Vec<Output>) {
        let margin = self.config.margin;
        for (id, run) in &mut self.runs {
            let save = match run.phase {
                Phase::Starting | Phase::Running => now < run.deadline,
                Phase::Stopping { saving: true } if now >= run.deadline => false,
                Phase::Stopping { .. } | Phase::Done(_) => continue,
            };
            if now >= subtract(run.deadline, margin) {
                stop_run(id, run, save, out);
            }
        }
    }

    fn load_inventory(&mut self, now: Time, inventory: Vec<WorkerRun>, out: &mut Vec<Output>) {
        if self.ledger.is_some() {
            return;
        }
        let running = inventory
            .iter()
            .filter(|f| f.state == WorkerRunState::Running);
        let running = running.map(|f| (f.run.clone(), f.resources));
        let ledger = UnrecoveredLedger::new(self.config.capacity).recover(running);
        for found in inventory {
            let phase = match found.state {
                WorkerRunState::Running => Phase::Running,
                WorkerRunState::Ended(state) => Phase::Done(state),
            };
            let run = Run {
                shard: found.shard,
                phase,
                deadline: found.lease_end,
                checkpoint: found.checkpoint,
            };
            self.runs.insert(found.run, run);
        }
        for id in ledger.excess() {
            if let Some(run) = self.runs.get_mut(id) {
                stop_run(id, run, true, out);
            }
        }
        self.ledger = Some(ledger);
        self.tick(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.forgotten
            .retain(|_, forgotten| now < forgotten.refused_until);
        for (id, run) in &self.runs {
            if let Phase::Stopping { saving } = run.phase {
                let run = id.clone();
                out.push(Output::Worker(Command::Stop { run, save: saving }));
            }
        }
        let mut shards: Vec<_> = self.highest_epochs.keys().copied().collect();
        shards.extend(self.runs.values().map(|run| run.shard));
        shards.sort_unstable();
        shards.dedup();
        for shard in shards {
            self.push_report(now, shard, out);
        }
    }

    fn push_report(&self, now: Time, shard: ShardId, out: &mut Vec<Output>) {
        if self.ledger.is_none() {
            return;
        }
        let runs = self.runs.iter().filter(|(_, run)| run.shard == shard);
        let runs = runs.map(|(id, run)| RunReport {
            run: id.clone(),
            state: run.state(),
        });
        out.push(Output::Report(Report {
            agent: self.config.name.clone(),
            incarnation: self.incarnation,
            sent_at: now,
            shard,
            epoch: self.highest_epoch(shard),
            runs: runs.collect(),
        }));
    }

    fn handle_order(&mut self, now: Time, order: Order, out: &mut Vec<Output>) {
        let shard = order.shard;
        if order.epoch < self.highest_epoch(shard) {
            out.push(Output::Ignored(IgnoreReason::StaleEpoch));
            self.push_report(now, shard, out);
            return;
        }
        self.highest_epochs.insert(shard, order.epoch);
        if self.ledger.is_none() {
            out.push(Output::Ignored(IgnoreReason::Unbuilt));
            return;
        }
        match order.kind {
            OrderKind::Claim => self.push_report(now, shard, out),
            OrderKind::Renew { proof, runs } => self.renew(now, &proof, &runs, out),
            OrderKind::Start { proof, spec } => self.start(now, shard, &proof, spec, out),
            OrderKind::Stop { run } => self.stop(now, shard, &run, out),
            OrderKind::Save { run } => self.forward(&run, Command::Save { run: run.clone() }, out),
            OrderKind::Throttle { run, cpu_share } => {
                let command = Command::Throttle {
                    run: run.clone(),
                    cpu_share,
                };
                self.forward(&run, command, out);
            }
            OrderKind::Forget { run, hold } => self.forget(now, &run, hold, out),
        }
    }

    /// The deadline that `proof` allows; `None` if the proof is not valid at `now`.
    fn proven_deadline(&self, now: Time, proof: &Proof) -> Option<Time> {
        let for_this_agent = proof.incarnation == self.incarnation
            && proof.sent_at >= self.started_at
            && proof.sent_at <= now;
        // If the store confirmed the owner after `started_at`, its epoch is not lower
        // than any epoch that an earlier agent of this worker accepted.
        let confirmed_since_start =
            proof.sent_at.since(self.started_at) >= with_drift_margin(proof.confirmation_age);
        let remaining = proof.hold.checked_sub(proof.confirmation_age)?;
        let deadline = proof.sent_at.after(remaining);
        (for_this_agent && confirmed_since_start && deadline > now).then_some(deadline)
    }

    fn renew(&mut self, now: Time, proof: &Proof, runs: &[RunId], out: &mut Vec<Output>) {
        let Some(deadline) = self.proven_deadline(now, proof) else {
            out.push(Output::Ignored(IgnoreReason::StaleProof));
            return;
        };
        for id in runs {
            self.extend(id, deadline, out);
        }
    }

    fn extend(&mut self, id: &RunId, deadline: Time, out: &mut Vec<Output>) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let running = matches!(run.phase, Phase::Starting | Phase::Running);
        if !running || deadline <= run.deadline {
            return;
        }
        run.deadline = deadline;
        out.push(Output::Worker(Command::Extend {
            run: id.clone(),
            lease_end: deadline,
        }));
    }

    fn start(
        &mut self,
        now: Time,
        shard: ShardId,
        proof: &Proof,
        spec: RunSpec,
        out: &mut Vec<Output>,
    ) {
        let Some(deadline) = self.proven_deadline(now, proof) else {
            out.push(Output::Ignored(IgnoreReason::StaleProof));
            return;
        };
        if self.runs.contains_key(&spec.run) {
            self.extend(&spec.run, deadline, out);
            self.push_report(now, shard, out);
            return;
        }
        if self.highest_run(&spec.run.task) >= Some(spec.run.run) {
            out.push(Output::Ignored(IgnoreReason::StaleRun));
            self.push_report(now, shard, out);
            return;
        }
        if let Some(previous) = self.live_run(&spec.run.task) {
            out.push(Output::Ignored(IgnoreReason::Busy));
            self.stop(now, shard, &previous, out);
            return;
        }
        self.launch(shard, deadline, spec, out);
        self.push_report(now, shard, out);
    }

    fn launch(&mut self, shard: ShardId, deadline: Time, spec: RunSpec, out: &mut Vec<Output>) {
        let ledger = self
            .ledger
            .as_mut()
            .expect("the ledger is built before a start is accepted");
        let id = spec.run.clone();
        let phase = match ledger.grant(&id, spec.resources) {
            Ok(()) => Phase::Starting,
            Err(error) => Phase::Done(RunState::Refused {
                reason: Arc::from(error.to_string()),
            }),
        };
        let run = Run {
            shard,
            phase,
            deadline,
            checkpoint: spec.checkpoint,
        };
        if run.is_live() {
            out.push(Output::Worker(Command::Start {
                shard,
                spec,
                lease_end: deadline,
            }));
        }
        self.runs.insert(id, run);
    }

    /// Highest run number of `task` that is known, or forgotten and still refused.
    fn highest_run(&self, task: &TaskKey) -> Option<RunNumber> {
        let known = self.runs.keys().filter(|id| id.task == *task);
        let forgotten = self.forgotten.get(task).map(|forgotten| forgotten.number);
        known.map(|id| id.run).max().max(forgotten)
    }

    fn live_run(&self, task: &TaskKey) -> Option<RunId> {
        let mut runs = self.runs.iter();
        let found = runs.find(|(id, run)| id.task == *task && run.is_live())?;
        Some(found.0.clone())
    }

    fn stop(&mut self, now: Time, shard: ShardId, id: &RunId, out: &mut Vec<Output>) {
        let run = self.runs.entry(id.clone()).or_insert_with(|| Run {
            shard,
            phase: Phase::Running,
            deadline: now,
            checkpoint: None,
        });
        if matches!(run.phase, Phase::Starting | Phase::Running) {
            // The worker has to confirm the end, even of an unknown run: this agent may
            // have been superseded without having learned of it.
            stop_run(id, run, true, out);
        }
        self.push_report(now, shard, out);
    }

    fn forward(&self, id: &RunId, command: Command, out: &mut Vec<Output>) {
        if self.runs.get(id).is_some_and(Run::is_live) {
            out.push(Output::Worker(command));
        }
    }

    fn forget(&mut self, now: Time, id: &RunId, hold: Duration, out: &mut Vec<Output>) {
        if self.runs.get(id).is_none_or(Run::is_live) {
            return;
        }
        self.runs.remove(id);
        let refused_until = now.after(with_drift_margin(hold));
        let number = self
            .highest_run(&id.task)
            .max(Some(id.run))
            .unwrap_or(id.run);
        self.forgotten.insert(
            id.task.clone(),
            ForgottenRun {
                number,
                refused_until,
            },
        );
        out.push(Output::Worker(Command::Forget { run: id.clone() }));
    }

    fn handle_event(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        let (id, state) = match event {
            Event::Started { run } => {
                if let Some(known) = self.runs.get_mut(&run)
                    && known.phase == Phase::Starting
                {
                    known.phase = Phase::Running;
                }
                return;
            }
            Event::Saved { run, checkpoint } => {
                if let Some(known) = self.runs.get_mut(&run) {
                    known.checkpoint = Some(checkpoint);
                }
                return;
            }
            Event::Ended { run, state } => (run, state),
            Event::Superseded => {
                self.superseded = true;
                out.push(Output::Exit);
                return;
            }
        };
        let Some(run) = self.runs.get_mut(&id).filter(|run| run.is_live()) else {
            return;
        };
        run.phase = Phase::Done(state);
        let shard = run.shard;
        if let Some(ledger) = &mut self.ledger {
            ledger.release(&id);
        }
        self.push_report(now, shard, out);
    }
}

fn stop_run(id: &RunId, run: &mut Run, save: bool, out: &mut Vec<Output>) {
    run.phase = Phase::Stopping { saving: save };
    out.push(Output::Worker(Command::Stop {
        run: id.clone(),
        save,
    }));
}

fn subtract(time: Time, duration: Duration) -> Time {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(time.as_micros().saturating_sub(micros))
}
