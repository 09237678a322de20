//! Calls of the agents to their workers.
//!
//! A call travels to the worker, and its answer travels back, so that calls and answers may
//! overtake each other. The agent gives a call up after some time; the worker may still carry it
//! out.

use super::*;

/// Longest time for which a call or an answer travels, in milliseconds.
const TRAVEL_MS: u64 = 2;
/// Time after which an agent gives up a call, in milliseconds; the wait of a poll is added.
const CALL_TIMEOUT_MS: u64 = 400;
/// Longest time from the handling of a poll, or from an end, to the listing, in milliseconds.
const LISTING_MS: u64 = 1;
/// Share of polls whose answer is lost.
const LOST_LISTINGS: f64 = 0.02;
/// Share of calls that fail at once if their worker is down.
const RESET_CALLS: f64 = 0.5;
/// Share of start calls that are delayed by seconds while that fault is active.
const LATE_STARTS: f64 = 0.3;

/// What a call asks of a worker.
#[derive(Debug, Clone)]
pub(super) enum Action {
    Poll(PollCall),
    Start(StartCall),
    Stop(StopCall),
}

impl Action {
    /// The action of an output of an agent; none if the output is not a call.
    fn of(output: AgentOutput) -> Option<Self> {
        match output {
            AgentOutput::Poll(call) => Some(Self::Poll(call)),
            AgentOutput::Start(call) => Some(Self::Start(call)),
            AgentOutput::Stop(call) => Some(Self::Stop(call)),
            _ => None,
        }
    }

    /// Input of an agent that has no answer to the call.
    fn unanswered(&self) -> AgentInput {
        let error = CallError::Unanswered;
        match self {
            Self::Poll(call) => polled(*call, Err(error)),
            Self::Start(call) => start_answered(call, Err(error)),
            Self::Stop(call) => stop_answered(*call, Err(error)),
        }
    }

    fn timeout_ms(&self) -> u64 {
        match self {
            Self::Poll(call) => CALL_TIMEOUT_MS + call.wait_ms,
            Self::Start(_) | Self::Stop(_) => CALL_TIMEOUT_MS,
        }
    }
}

fn polled(call: PollCall, answer: Result<Listing, CallError>) -> AgentInput {
    AgentInput::Polled { call, answer }
}

fn start_answered(call: &StartCall, answer: Result<(), CallError>) -> AgentInput {
    AgentInput::StartAnswered {
        run: call.order.run,
        fencing_token: call.fencing_token,
        answer,
    }
}

fn stop_answered(call: StopCall, answer: Result<(), CallError>) -> AgentInput {
    let run = call.run;
    AgentInput::StopAnswered { run, answer }
}

/// A call of an agent process.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallId {
    /// Index of the agent and its worker.
    pub(super) at: usize,
    /// Incarnation of the agent process.
    pub(super) incarnation: u64,
    pub(super) number: u64,
}

/// A poll that a worker has carried out but not answered with a listing.
#[derive(Debug)]
struct OpenPoll {
    id: CallId,
    call: PollCall,
    /// Start of the worker's incarnation.
    born: u64,
}

/// Calls that are not over.
#[derive(Debug, Default)]
pub(super) struct Calls {
    last_number: u64,
    /// Calls whose agents wait for the answers.
    awaited: HashSet<u64>,
    polls: BTreeMap<u64, OpenPoll>,
}

impl Simulation {
    /// Sends a call to the worker; other outputs of the agent are ignored.
    pub(super) fn send_call(&mut self, at: usize, output: AgentOutput) {
        let Some(action) = Action::of(output) else {
            return;
        };
        self.calls.last_number += 1;
        let number = self.calls.last_number;
        let id = CallId {
            at,
            incarnation: self.agents[at].incarnation,
            number,
        };
        self.calls.awaited.insert(number);
        let timeout = Event::Answer(id, action.unanswered());
        self.push(action.timeout_ms(), timeout);
        let travel = self.call_travel(&action);
        if matches!(action, Action::Start(_)) {
            self.stall_at_start(at);
        }
        self.push(travel, Event::Call(id, action));
    }

    /// Time for which a call travels, in milliseconds.
    fn call_travel(&mut self, action: &Action) -> u64 {
        let may_be_late = self.late_orders && matches!(action, Action::Start(_));
        if may_be_late && self.rng.random_bool(LATE_STARTS) {
            return self.rng.random_range(500..6_000);
        }
        self.rng.random_range(0..=TRAVEL_MS)
    }

    /// Carries out a call that has reached its worker.
    pub(super) fn carry_out(&mut self, id: CallId, action: Action) {
        if !self.workers[id.at].up {
            self.reset_call(id, &action);
            return;
        }
        match action {
            Action::Poll(call) => self.carry_out_poll(id, call),
            Action::Start(call) => self.carry_out_start(id, &call),
            Action::Stop(call) => {
                let answer = self.workers[id.at].stop(self.now, call);
                self.answer(id, stop_answered(call, answer));
            }
        }
    }

    fn carry_out_start(&mut self, id: CallId, call: &StartCall) {
        let worker = &mut self.workers[id.at];
        let mut events = Vec::new();
        let is_other = call.order.incarnation.id != report(id.at, worker.born).incarnation.id;
        let answer = if is_other {
            Err(CallError::OtherLife)
        } else {
            worker.start(self.now, call, &mut events)
        };
        self.check_events(id.at, events);
        self.answer(id, start_answered(call, answer));
    }

    /// Carries out a poll except for its listing, which may wait for an end.
    fn carry_out_poll(&mut self, id: CallId, call: PollCall) {
        let fenced = self.bug != InjectedBug::NoFencing;
        let worker = &mut self.workers[id.at];
        let mut events = Vec::new();
        worker.hold(self.now, call, fenced, &mut events);
        let born = worker.born;
        let waits = call.wait_ms > 0 && !worker.has_ends();
        self.check_events(id.at, events);
        let poll = OpenPoll { id, call, born };
        self.calls.polls.insert(id.number, poll);
        let delay = if waits {
            call.wait_ms
        } else {
            self.rng.random_range(0..=LISTING_MS)
        };
        self.push(delay, Event::List(id));
    }

    /// Ends the waits of the polls of a worker, after one of its runs has ended.
    pub(super) fn wake_polls(&mut self, at: usize) {
        let polls = self.calls.polls.values().map(|poll| poll.id);
        let woken: Vec<CallId> = polls.filter(|id| id.at == at).collect();
        for id in woken {
            let delay = self.rng.random_range(0..=LISTING_MS);
            self.push(delay, Event::List(id));
        }
    }

    /// Answers a poll with a listing, unless that is done.
    pub(super) fn list(&mut self, id: CallId) {
        let Some(poll) = self.calls.polls.remove(&id.number) else {
            return;
        };
        let worker = &self.workers[id.at];
        if !worker.up || worker.born != poll.born {
            self.reset_call(id, &Action::Poll(poll.call));
            return;
        }
        let mut listing = worker.list(self.now);
        self.add_odd_entries(id.at, &mut listing);
        if !self.rng.random_bool(LOST_LISTINGS) {
            self.answer(id, polled(poll.call, Ok(listing)));
        } else {
            let timeout = Duration::from_millis(CALL_TIMEOUT_MS + poll.call.wait_ms);
            self.audit.lose_answer(id.at, self.now.after(timeout));
        }
    }

    /// Lets a call to a worker that is down fail at once or time out.
    fn reset_call(&mut self, id: CallId, action: &Action) {
        if self.rng.random_bool(RESET_CALLS) {
            self.answer(id, action.unanswered());
        }
    }

    fn answer(&mut self, id: CallId, input: AgentInput) {
        let travel = self.rng.random_range(0..=TRAVEL_MS);
        self.push(travel, Event::Answer(id, input));
    }

    /// The answer to a call, or its timeout, reaches the agent; only the first one counts.
    pub(super) fn receive_answer(&mut self, id: CallId, input: AgentInput) {
        let agent = &self.agents[id.at];
        let waits = agent.up && agent.incarnation == id.incarnation;
        if waits && self.calls.awaited.remove(&id.number) {
            self.step_agent(id.at, input);
        }
    }
}
