//! Simulated agents.

use super::links::Link;
use super::stalls::Process;
use super::*;

pub(super) struct SimulatedAgent {
    pub(super) state: JobAgent,
    /// Incarnation of the process.
    pub(super) incarnation: u64,
    pub(super) up: bool,
    /// Whether this process has registered its address.
    pub(super) registered: bool,
    pub(super) links: BTreeSet<Link>,
}

pub(super) fn agent(incarnation: u64, started_at: Time) -> SimulatedAgent {
    SimulatedAgent {
        state: JobAgent::new(
            AgentTimes {
                lease: LEASE,
                lease_max: LEASE_MAX,
                agent_hold: AGENT_HOLD,
                owner_hold: OWNER_HOLD,
                evacuation_limit: None,
            },
            started_at,
        ),
        incarnation,
        up: true,
        registered: false,
        links: BTreeSet::new(),
    }
}

impl Simulation {
    pub(super) fn step_agent(&mut self, at: usize, input: AgentInput) {
        let begins = matches!(
            input,
            AgentInput::OwnerMessage(_, OrderMessage::Begin { .. })
        );
        let mut out = Vec::new();
        self.agents[at].state.step(self.now, input, &mut out);
        let is_told =
            |output: &AgentOutput| matches!(output, AgentOutput::Send(AgentMessage::MayRun(_)));
        if begins && self.bug == InjectedBug::GuessedRuns && !out.iter().any(is_told) {
            out.push(AgentOutput::Send(AgentMessage::MayRun(vec![])));
        }
        for output in out {
            if self.traced {
                println!("    agent {at}: {output:?}");
            }
            match output {
                AgentOutput::Send(message) => {
                    self.check_gone(at, &message);
                    self.send_to_owner(at, message);
                }
                AgentOutput::Supersede(number) => {
                    let links = self.agents[at].links.iter();
                    let closed = links.copied().find(|link| link.number == number.0);
                    if let Some(link) = closed {
                        self.link_lost(link);
                    }
                }
                call => self.send_call(at, call),
            }
        }
    }

    pub(super) fn tick_agent(&mut self, at: usize) {
        if self.agents[at].up {
            self.step_agent(at, AgentInput::Tick);
            let sent = self.now.as_micros();
            self.send_to_owner(at, AgentMessage::Ping { sent });
        }
    }

    /// The machine of an agent goes away for some seconds.
    pub(super) fn agent_down(&mut self, at: usize) {
        let span = self.rng.random_range(500..9_000);
        self.disturb(span);
        self.forget_stall(Process::Agent(at));
        self.agents[at].up = false;
        for link in self.agents[at].links.clone() {
            self.link_lost(link);
        }
        self.push(span, Event::AgentUp(at));
    }

    pub(super) fn agent_up(&mut self, at: usize) {
        for link in self.agents[at].links.clone() {
            self.link_lost(link);
        }
        let incarnation = self.agents[at].incarnation + 1;
        self.agents[at] = agent(incarnation, self.now);
        self.push(0, Event::Register(at, incarnation));
        self.report_worker(at);
    }
}
