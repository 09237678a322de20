//! The agent's side: which runs its worker executes, and until when.

mod messages;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub use messages::{Command, Event, IgnoreReason, Input, Output, WorkerRun, WorkerRunState};

use super::{
    Checkpoint, Order, OrderKind, Proof, Report, RunReport, RunSpec, RunState, with_drift_margin,
};
use crate::grants::{Ledger, Unbuilt};
use crate::types::{
    Epoch, Incarnation, NodeName, Resources, RunId, RunNumber, ShardId, TaskKey, Time,
};

/// Settings of an agent's runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AgentConfig {
    /// Name of the worker.
    pub name: NodeName,
    /// What the worker has for batch tasks.
    pub capacity: Resources,
    /// How long before its deadline a run is asked to save its state and stop.
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

    fn report(&self) -> RunState {
        match &self.phase {
            Phase::Done(state) => state.clone(),
            _ => RunState::Live {
                checkpoint: self.checkpoint,
            },
        }
    }
}

/// Run numbers of a task that are refused until no start of them can be valid.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Floor {
    run: RunNumber,
    until: Time,
}

/// Runs of one worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Agent {
    config: AgentConfig,
    incarnation: Incarnation,
    started_at: Time,
    ledger: Option<Ledger>,
    fences: BTreeMap<ShardId, Epoch>,
    runs: BTreeMap<RunId, Run>,
    floors: BTreeMap<TaskKey, Floor>,
    closed: bool,
}

impl Agent {
    /// Creates an agent that has just taken its worker over.
    ///
    /// `life` is higher than that of every earlier agent of the worker; `boot` is
    /// when the worker had fenced those, on the machine's monotonic clock.
    pub fn new(config: AgentConfig, incarnation: Incarnation, started_at: Time) -> Self {
        Self {
            config,
            incarnation,
            started_at,
            ledger: None,
            fences: BTreeMap::new(),
            runs: BTreeMap::new(),
            floors: BTreeMap::new(),
            closed: false,
        }
    }

    /// Takes one input at `now` and appends what is to be done.
    ///
    /// Deadlines are checked first, so a process that slept acts on none of its
    /// old rights before it has noticed.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        if self.closed {
            return;
        }
        self.enforce(now, out);
        match input {
            Input::Inventory(found) => self.rebuild(now, found, out),
            Input::Order(order) => self.order(now, order, out),
            Input::Worker(event) => self.event(now, event, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// The ledger, once the worker has reported its runs.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    /// Life of this agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Highest epoch seen for `shard`.
    pub fn highest_epoch(&self, shard: ShardId) -> Epoch {
        self.fences.get(&shard).copied().unwrap_or_default()
    }

    /// When the next deadline has to be enforced.
    pub fn next_deadline(&self) -> Option<Time> {
        let live = self.runs.values().filter(|run| run.is_live());
        live.map(|run| self.due(run)).min()
    }

    fn due(&self, run: &Run) -> Time {
        match run.phase {
            Phase::Stopping { .. } => run.deadline,
            _ => before(run.deadline, self.config.margin),
        }
    }

    fn enforce(&mut self, now: Time, out: &mut Vec<Output>) {
        let margin = self.config.margin;
        for (id, run) in &mut self.runs {
            let save = match run.phase {
                Phase::Starting | Phase::Running => now < run.deadline,
                Phase::Stopping { saving: true } if now >= run.deadline => false,
                Phase::Stopping { .. } | Phase::Done(_) => continue,
            };
            if now >= before(run.deadline, margin) {
                stop(id, run, save, out);
            }
        }
    }

    fn rebuild(&mut self, now: Time, found: Vec<WorkerRun>, out: &mut Vec<Output>) {
        if self.ledger.is_some() {
            return;
        }
        let running = found.iter().filter(|f| f.state == WorkerRunState::Running);
        let running = running.map(|f| (f.run.clone(), f.resources));
        let ledger = Unbuilt::new(self.config.capacity).rebuild(running);
        for found in found {
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
                stop(id, run, true, out);
            }
        }
        self.ledger = Some(ledger);
        self.tick(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.floors.retain(|_, floor| now < floor.until);
        for (id, run) in &self.runs {
            if let Phase::Stopping { saving } = run.phase {
                let run = id.clone();
                out.push(Output::Worker(Command::Stop { run, save: saving }));
            }
        }
        let mut shards: Vec<_> = self.fences.keys().copied().collect();
        shards.extend(self.runs.values().map(|run| run.shard));
        shards.sort_unstable();
        shards.dedup();
        for shard in shards {
            self.report(now, shard, out);
        }
    }

    fn report(&self, now: Time, shard: ShardId, out: &mut Vec<Output>) {
        if self.ledger.is_none() {
            return;
        }
        let runs = self.runs.iter().filter(|(_, run)| run.shard == shard);
        let runs = runs.map(|(id, run)| RunReport {
            run: id.clone(),
            state: run.report(),
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

    fn order(&mut self, now: Time, order: Order, out: &mut Vec<Output>) {
        let shard = order.shard;
        if order.epoch < self.highest_epoch(shard) {
            out.push(Output::Ignored(IgnoreReason::StaleEpoch));
            self.report(now, shard, out);
            return;
        }
        self.fences.insert(shard, order.epoch);
        if self.ledger.is_none() {
            out.push(Output::Ignored(IgnoreReason::Unbuilt));
            return;
        }
        match order.kind {
            OrderKind::Claim => self.report(now, shard, out),
            OrderKind::Renew { proof, runs } => self.keep(now, &proof, &runs, out),
            OrderKind::Start { proof, spec: start } => self.start(now, shard, &proof, start, out),
            OrderKind::Stop { run } => self.stop(now, shard, &run, out),
            OrderKind::Save { run } => self.pass(&run, Command::Save { run: run.clone() }, out),
            OrderKind::Throttle {
                run,
                cpu_share: share,
            } => {
                let command = Command::Throttle {
                    run: run.clone(),
                    cpu_share: share,
                };
                self.pass(&run, command, out);
            }
            OrderKind::Forget { run, hold } => self.forget(now, &run, hold, out),
        }
    }

    /// Deadline that `proof` gives, if it is valid here and now.
    fn deadline(&self, now: Time, proof: &Proof) -> Option<Time> {
        let answered = proof.incarnation == self.incarnation
            && proof.sent_at >= self.started_at
            && proof.sent_at <= now;
        // An owner that the store confirmed after `boot` is not older than any
        // epoch that an earlier agent of this worker had accepted.
        let since_boot =
            proof.sent_at.since(self.started_at) >= with_drift_margin(proof.confirmation_age);
        let left = proof.hold.checked_sub(proof.confirmation_age)?;
        let deadline = proof.sent_at.after(left);
        (answered && since_boot && deadline > now).then_some(deadline)
    }

    fn keep(&mut self, now: Time, proof: &Proof, runs: &[RunId], out: &mut Vec<Output>) {
        let Some(deadline) = self.deadline(now, proof) else {
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
        start: RunSpec,
        out: &mut Vec<Output>,
    ) {
        let Some(deadline) = self.deadline(now, proof) else {
            out.push(Output::Ignored(IgnoreReason::StaleProof));
            return;
        };
        if self.runs.contains_key(&start.run) {
            self.extend(&start.run, deadline, out);
            self.report(now, shard, out);
            return;
        }
        if self.highest(&start.run.task) >= Some(start.run.run) {
            out.push(Output::Ignored(IgnoreReason::StaleRun));
            self.report(now, shard, out);
            return;
        }
        if let Some(old) = self.live(&start.run.task) {
            out.push(Output::Ignored(IgnoreReason::Busy));
            self.stop(now, shard, &old, out);
            return;
        }
        self.launch(shard, deadline, start, out);
        self.report(now, shard, out);
    }

    fn launch(&mut self, shard: ShardId, deadline: Time, start: RunSpec, out: &mut Vec<Output>) {
        let ledger = self.ledger.as_mut().expect("orders wait for the ledger");
        let id = start.run.clone();
        let phase = match ledger.grant(&id, start.resources) {
            Ok(()) => Phase::Starting,
            Err(error) => Phase::Done(RunState::Refused {
                reason: Arc::from(error.to_string()),
            }),
        };
        let run = Run {
            shard,
            phase,
            deadline,
            checkpoint: start.checkpoint,
        };
        if run.is_live() {
            out.push(Output::Worker(Command::Start {
                shard,
                spec: start,
                lease_end: deadline,
            }));
        }
        self.runs.insert(id, run);
    }

    /// Highest run of `task` that was ever known here and may still be asked for.
    fn highest(&self, task: &TaskKey) -> Option<RunNumber> {
        let known = self.runs.keys().filter(|id| id.task == *task);
        let floor = self.floors.get(task).map(|floor| floor.run);
        known.map(|id| id.run).max().max(floor)
    }

    fn live(&self, task: &TaskKey) -> Option<RunId> {
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
            // The worker confirms, also for an unknown run: an agent that was
            // superseded without noticing must not vouch for the worker.
            stop(id, run, true, out);
        }
        self.report(now, shard, out);
    }

    fn pass(&self, id: &RunId, command: Command, out: &mut Vec<Output>) {
        if self.runs.get(id).is_some_and(Run::is_live) {
            out.push(Output::Worker(command));
        }
    }

    fn forget(&mut self, now: Time, id: &RunId, hold: Duration, out: &mut Vec<Output>) {
        if self.runs.get(id).is_none_or(Run::is_live) {
            return;
        }
        self.runs.remove(id);
        let until = now.after(with_drift_margin(hold));
        let run = self.highest(&id.task).max(Some(id.run)).unwrap_or(id.run);
        self.floors.insert(id.task.clone(), Floor { run, until });
        out.push(Output::Worker(Command::Forget { run: id.clone() }));
    }

    fn event(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
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
                self.closed = true;
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
        self.report(now, shard, out);
    }
}

fn stop(id: &RunId, run: &mut Run, save: bool, out: &mut Vec<Output>) {
    run.phase = Phase::Stopping { saving: save };
    out.push(Output::Worker(Command::Stop {
        run: id.clone(),
        save,
    }));
}

fn before(time: Time, span: Duration) -> Time {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(time.as_micros().saturating_sub(micros))
}
