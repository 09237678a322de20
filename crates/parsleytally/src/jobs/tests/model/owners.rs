//! Simulated owners of the jobs.

use super::known::KnownRuns;
use super::links::Link;
use super::*;
use crate::configs::BestEffortConfig;

/// Every so many jobs, injected bugs that concern some of them affect one.
pub(super) const AFFECTED_JOBS: u64 = 4;

pub(super) struct SimulatedOwner {
    pub(super) scheduler: Scheduler,
    pub(super) epoch: u64,
    pub(super) up: bool,
    /// When the store last confirmed the ownership.
    pub(super) confirmed: Time,
    pub(super) reaches_store: bool,
    pub(super) links: BTreeMap<usize, Link>,
    pub(super) runs: KnownRuns,
    /// Agents that it dials.
    pub(super) known: BTreeSet<usize>,
}

/// Index of an agent.
fn position(name: &NodeName) -> usize {
    (0..WORKERS)
        .find(|at| node(*at) == *name)
        .expect("a worker")
}

/// Whether an injected bug affects a run.
fn is_affected(run: RunRef) -> bool {
    run.task.job.0.is_multiple_of(AFFECTED_JOBS)
}

impl Simulation {
    pub(super) fn is_current(&self, owner: usize) -> bool {
        self.owners[owner].epoch + 1 == self.owners.len() as u64
    }

    pub(super) fn new_owner(&mut self) {
        if self.store_down {
            self.disturb(200);
            self.push(200, Event::NewOwner);
            return;
        }
        self.revision += 1;
        let epoch = self.owners.len() as u64;
        let start = SchedulerOptions {
            epoch,
            start_revision: Revision(self.revision),
            agent_hold: AGENT_HOLD + AGENT_HOLD / 20,
            owner_hold: OWNER_HOLD + OWNER_HOLD / 20,
            ended_retention: Duration::from_secs(600),
            best_effort: BestEffortConfig::default(),
            evacuation_limit: None,
            workers: self.uneven,
        };
        let owner = self.owners.len();
        self.owners.push(SimulatedOwner {
            scheduler: Scheduler::new(start),
            epoch,
            up: true,
            confirmed: self.now,
            reaches_store: true,
            links: BTreeMap::new(),
            runs: KnownRuns::default(),
            known: self.registered.keys().copied().collect(),
        });
        if self.preempts {
            let config = SharesConfig::new(true, BTreeMap::new());
            self.owners[owner].scheduler.set_shares(Arc::new(config));
        }
        let low = low_queue();
        let queues = QueueTable::new(1, 1 << 18, vec![queue(), low]);
        self.step_owner(owner, Input::Queues(Arc::new(queues)));
        for at in self.registered.keys().copied().collect::<Vec<_>>() {
            if epoch > 0 && self.bug != InjectedBug::NoWait {
                self.step_owner(owner, Input::Expected(node(at)));
            }
            self.push(5, Event::Dial(owner, at));
        }
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            let input = self.job_input(id);
            self.step_owner(owner, input);
        }
    }

    pub(super) fn step_owner(&mut self, owner: usize, input: Input) {
        let mut out = Vec::new();
        let unix_ms = self.now.as_micros() / 1_000;
        let scheduler = &mut self.owners[owner].scheduler;
        scheduler.step(self.now, unix_ms, input, &mut out);
        scheduler.decide(self.now, unix_ms, &mut out);
        for output in out {
            match output {
                Output::Order(name, message) => {
                    let at = position(&name);
                    self.owners[owner].runs.ordered(at, &message);
                    let lost = self.bug == InjectedBug::LostStops
                        && matches!(message, OrderMessage::Stop(_));
                    if lost || self.loses_start(&message) {
                        continue;
                    }
                    self.tell_missing_early(owner, at, &message);
                    if let Some(link) = self.owners[owner].links.get(&at).copied() {
                        self.send_to_agent(link, message);
                    }
                }
                Output::Forget(name) => {
                    let at = position(&name);
                    self.owners[owner].runs.clear(at);
                    self.forget(owner, at);
                }
                Output::Relink(name) => {
                    let link = self.owners[owner].links.get(&position(&name)).copied();
                    if let Some(link) = link {
                        self.link_lost(link);
                    }
                }
                Output::Preempted { .. } => self.preempted += 1,
                Output::SaveLearned(_)
                | Output::RunsDropped { .. }
                | Output::Crash(_)
                | Output::Reconciled(..)
                | Output::Waiting(_)
                | Output::JobEnded(_)
                | Output::Evacuation(_) => {}
                Output::Workers(_) => {}
                Output::Save {
                    job,
                    version,
                    progress,
                } => {
                    if self.bug == InjectedBug::EarlyAcknowledgement {
                        self.push(1, Event::Save(usize::MAX, job, version, progress.clone()));
                        self.step_owner(owner, Input::Saved { job, version });
                    }
                    self.push(5, Event::Save(owner, job, version, progress));
                }
            }
        }
    }

    /// Whether an injected bug loses an order.
    fn loses_start(&self, message: &OrderMessage) -> bool {
        let OrderMessage::Start(order) = message else {
            return false;
        };
        self.bug == InjectedBug::LostStarts && is_affected(order.run)
    }

    /// Tells an owner, as an injected bug, that the run of an order is missing.
    fn tell_missing_early(&mut self, owner: usize, at: usize, message: &OrderMessage) {
        let (OrderMessage::Start(order), Some(link)) = (message, self.owners[owner].links.get(&at))
        else {
            return;
        };
        if self.bug == InjectedBug::EarlyMissing && is_affected(order.run) {
            let missing = AgentMessage::Missing(order.run);
            self.push(1, Event::ToOwner(owner, *link, missing));
        }
    }

    /// Keeps the room of ended runs reserved, as an injected bug.
    fn keep_room(&mut self, owner: usize, at: usize, message: &AgentMessage) {
        let ends = matches!(message, AgentMessage::Ended { ended, .. }
            if ended.iter().any(|end| is_affected(end.run)));
        let worker = self.owners[owner].scheduler.workers.get_mut(&node(at));
        if let Some(worker) = worker.filter(|_| ends && self.bug == InjectedBug::KeptRoom) {
            worker.reserved.cpu.0 += 1_000;
        }
    }

    /// Applies an injected bug to a message of an agent.
    fn falsify(&self, at: usize, mut message: AgentMessage) -> AgentMessage {
        let is_needed = |status: &RunStatus| !self.cancelled.contains_key(&status.run.task.job);
        match (&mut message, self.bug) {
            (AgentMessage::Listed { running, .. }, InjectedBug::HiddenRuns)
            | (AgentMessage::Measurements(running), InjectedBug::HiddenRuns) => {
                running.retain(is_needed);
            }
            (AgentMessage::Listed { ended, .. }, InjectedBug::HiddenEnds) => ended.clear(),
            (AgentMessage::Ended { ended, .. }, InjectedBug::UnheardEnds)
                if ended.iter().any(|end| is_affected(end.run)) =>
            {
                ended.clear();
            }
            (AgentMessage::LastLease { expires_within }, InjectedBug::EarlyLastLease) => {
                *expires_within = 0;
            }
            (AgentMessage::MayRun(runs), InjectedBug::UntoldEnds) => {
                runs.retain(|run| !self.done_at.contains_key(run));
            }
            (AgentMessage::MayRun(runs), InjectedBug::UntoldStarts) => {
                let began = |run: &RunRef| self.workers[at].runs().any(|other| other == run);
                runs.retain(|run| began(run) || self.done_at.contains_key(run));
            }
            _ => {}
        }
        message
    }

    pub(super) fn receive_at_owner(&mut self, owner: usize, link: Link, message: AgentMessage) {
        let current = self.owners[owner].links.get(&link.agent) == Some(&link);
        if !self.owners[owner].up || !current {
            return;
        }
        if let AgentMessage::Ping { sent } = message {
            let supports = self.now < self.owners[owner].scheduler.support_end()
                || self.bug == InjectedBug::EndlessSupport;
            let confirmation_age = self.now.since(self.owners[owner].confirmed);
            let confirmation_age = confirmation_age.as_micros() as u64;
            self.send_to_agent(
                link,
                OrderMessage::Pong {
                    sent,
                    confirmation_age,
                    owner_clock: self.now.as_micros(),
                    supports,
                },
            );
            return;
        }
        let message = self.falsify(link.agent, message);
        self.owners[owner].runs.received(link.agent, &message);
        self.keep_room(owner, link.agent, &message);
        self.step_owner(owner, Input::Agent(node(link.agent), message));
    }
}
