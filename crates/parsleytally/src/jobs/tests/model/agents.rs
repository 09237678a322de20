//! Simulated agents and their calls to the workers.

use super::links::Link;
use super::*;

/// Share of polls whose answer is lost.
const LOST_POLLS: f64 = 0.02;

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
        let mut out = Vec::new();
        self.agents[at].state.step(self.now, input, &mut out);
        let incarnation = self.agents[at].incarnation;
        for output in out {
            match output {
                AgentOutput::Send(message) => self.send_to_owner(at, message),
                AgentOutput::Supersede(number) => {
                    let links = self.agents[at].links.iter();
                    let closed = links.copied().find(|link| link.number == number.0);
                    if let Some(link) = closed {
                        self.link_lost(link);
                    }
                }
                call => {
                    let late = matches!(call, AgentOutput::Start(_)) && self.late_orders;
                    if late && self.rng.random_bool(0.3) {
                        self.delay_start(at, incarnation, call);
                    } else {
                        self.push(0, Event::Call(at, incarnation, call));
                    }
                }
            }
        }
    }

    /// Delays a start call by seconds and lets it time out at the agent.
    pub(super) fn delay_start(&mut self, at: usize, incarnation: u64, call: AgentOutput) {
        if let AgentOutput::Start(start) = &call {
            let input = AgentInput::StartAnswered {
                run: start.order.run,
                fencing_token: start.fencing_token,
                answer: Err(CallError::Unanswered),
            };
            self.push(400, Event::Answer(at, incarnation, input));
        }
        let delay = self.rng.random_range(500..6_000);
        // No incarnation of the agent matches, so the late answer is dropped.
        self.push(delay, Event::Call(at, u64::MAX, call));
    }

    /// The machine of an agent goes away for some seconds.
    pub(super) fn agent_down(&mut self, at: usize) {
        let span = self.rng.random_range(500..9_000);
        self.disturb(span);
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

    pub(super) fn call(&mut self, at: usize, incarnation: u64, call: &AgentOutput) {
        let mut events = Vec::new();
        let fenced = self.bug != InjectedBug::NoFencing;
        let worker = &mut self.workers[at];
        let id = report(at, worker.born).incarnation.id;
        let (delay, input) = match call {
            AgentOutput::Start(call) => {
                let answer = if worker.up && call.order.incarnation.id != id {
                    Err(CallError::OtherLife)
                } else if worker.up {
                    worker.start(self.now, call, &mut events)
                } else {
                    Err(CallError::Unanswered)
                };
                let run = call.order.run;
                (
                    1,
                    AgentInput::StartAnswered {
                        run,
                        fencing_token: call.fencing_token,
                        answer,
                    },
                )
            }
            AgentOutput::Stop(call) => {
                let answer = if worker.up {
                    worker.stop(self.now, *call)
                } else {
                    Err(CallError::Unanswered)
                };
                (
                    1,
                    AgentInput::StopAnswered {
                        run: call.run,
                        answer,
                    },
                )
            }
            AgentOutput::Poll(call) => {
                let lost = self.rng.random_bool(LOST_POLLS);
                let answer = if worker.up {
                    let listing = worker.poll(self.now, *call, fenced, &mut events);
                    if lost {
                        Err(CallError::Unanswered)
                    } else {
                        Ok(listing)
                    }
                } else {
                    Err(CallError::Unanswered)
                };
                let wait = if answer.is_ok() {
                    call.wait_ms / 10
                } else {
                    400
                };
                (
                    1 + wait,
                    AgentInput::Polled {
                        call: *call,
                        answer,
                    },
                )
            }
            _ => return,
        };
        self.check_events(at, events);
        self.push(delay, Event::Answer(at, incarnation, input));
    }
}
