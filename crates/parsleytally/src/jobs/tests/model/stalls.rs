//! Workers and agents that stall: they handle nothing for some time, and then all that has
//! piled up, in any order.
//!
//! Messages of one link keep their order, and so do the reports of workers, which have no
//! numbers here. Leases expire during a stall too: a worker must enforce them at any time.

use super::*;

/// Number of stalls in each simulation.
pub(super) const STALLS: usize = 10;
/// Number of further stalls, and of further short jobs, in a busy simulation.
const BUSY_STALLS: usize = 20;
const BUSY_JOBS: u64 = 60;
/// Number of the first of these jobs; they are odd, so none of them is lasting.
const FIRST_BUSY_JOB: u64 = 1_001;
/// Length of a stall, in milliseconds.
const STALL_MS: std::ops::RangeInclusive<u64> = 300..=1_500;
/// Longest time in which a worker handles what has piled up, in milliseconds.
const SPREAD_MS: u64 = 10;

/// Process that may stall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Process {
    Worker(usize),
    Agent(usize),
}

/// Stalled processes, each with the events that wait for the end of its stall.
#[derive(Debug, Default)]
pub(super) struct Stalls {
    backlogs: BTreeMap<Process, Vec<Event>>,
    /// Workers that have not yet handled the ends that were due during their stall.
    late_ends: BTreeSet<usize>,
    /// Whether the next call to start a run stalls its worker.
    armed: bool,
}

/// Events that a stalled process handles in order among themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lane {
    Owner(Link),
    Reports,
}

/// The process that handles an event, if it can stall.
fn handler(event: &Event) -> Option<Process> {
    match event {
        Event::Call(id, _) | Event::List(id) => Some(Process::Worker(id.at)),
        Event::Leave(at, _) | Event::Advance(at) => Some(Process::Worker(*at)),
        Event::Answer(id, _) => Some(Process::Agent(id.at)),
        Event::OwnerLost(link) => Some(Process::Agent(link.agent)),
        Event::ToAgent(at, ..)
        | Event::AgentTick(at)
        | Event::Register(at, _)
        | Event::Report(at, _)
        | Event::Notice(at, _) => Some(Process::Agent(*at)),
        _ => None,
    }
}

fn lane(event: &Event) -> Option<Lane> {
    match event {
        Event::ToAgent(_, link, _) | Event::OwnerLost(link) => Some(Lane::Owner(*link)),
        Event::Report(..) | Event::Notice(..) => Some(Lane::Reports),
        _ => None,
    }
}

/// Removes a drawn event, or the first one of its lane.
fn take_any(rng: &mut SmallRng, backlog: &mut Vec<Event>) -> Event {
    let drawn = rng.random_range(0..backlog.len());
    let first = lane(&backlog[drawn]).and_then(|drawn| {
        let mut lanes = backlog.iter().map(lane);
        lanes.position(|other| other == Some(drawn))
    });
    backlog.remove(first.unwrap_or(drawn))
}

impl Simulation {
    pub(super) fn is_stalled(&self, process: Process) -> bool {
        self.stalls.backlogs.contains_key(&process)
    }

    /// Stalls a worker, its agent, or first the worker and then also the agent, now or at the
    /// next start of a run.
    pub(super) fn stall_any(&mut self) {
        let at = self.rng.random_range(0..WORKERS);
        match self.rng.random_range(0..6) {
            0 => self.stall_worker(at),
            1 => self.stall_agent(at),
            2 => self.stall_both(at),
            _ => self.stalls.armed = true,
        }
    }

    /// Stalls the worker of a call to start a run if that is due.
    pub(super) fn stall_at_start(&mut self, at: usize) {
        if std::mem::take(&mut self.stalls.armed) {
            self.stall_both(at);
        }
    }

    /// Prevents a stall at the next start, since the faults are over.
    pub(super) fn end_stalls(&mut self) {
        self.stalls.armed = false;
    }

    fn stall_worker(&mut self, at: usize) {
        let span = self.rng.random_range(STALL_MS);
        self.stall(Process::Worker(at), span);
    }

    fn stall_agent(&mut self, at: usize) {
        let span = self.rng.random_range(STALL_MS);
        self.stall(Process::Agent(at), span);
    }

    /// Stalls a worker, and its agent at a time during that.
    fn stall_both(&mut self, at: usize) {
        let span = self.rng.random_range(STALL_MS);
        self.stall(Process::Worker(at), span);
        let delay = self.rng.random_range(0..span);
        let agent_span = self.rng.random_range(STALL_MS);
        self.disturb(delay + agent_span);
        self.push(delay, Event::Stall(Process::Agent(at), agent_span));
    }

    pub(super) fn stall(&mut self, process: Process, span: u64) {
        if self.is_stalled(process) {
            return;
        }
        self.disturb(span);
        self.stalls.backlogs.insert(process, Vec::new());
        self.push(span, Event::Resume(process));
    }

    /// Ends a stall; what has piled up is lost.
    pub(super) fn forget_stall(&mut self, process: Process) {
        self.stalls.backlogs.remove(&process);
    }

    /// Keeps an event for later if its handler is stalled; returns it otherwise.
    pub(super) fn unless_stalled(&mut self, event: Event) -> Option<Event> {
        let backlog = handler(&event).and_then(|process| self.stalls.backlogs.get_mut(&process));
        match backlog {
            Some(backlog) => {
                backlog.push(event);
                None
            }
            None => Some(event),
        }
    }

    /// Ends a stall: the process handles all that has piled up. An agent does so at once, a
    /// worker in parallel.
    pub(super) fn resume(&mut self, process: Process) {
        let Some(mut backlog) = self.stalls.backlogs.remove(&process) else {
            return;
        };
        match process {
            Process::Worker(at) => {
                self.stalls.late_ends.insert(at);
                backlog.push(Event::Advance(at));
                self.spread(backlog);
            }
            Process::Agent(_) => {
                while !backlog.is_empty() {
                    let event = take_any(&mut self.rng, &mut backlog);
                    self.handle(event);
                }
            }
        }
    }

    /// Lets events happen in any order within a short time.
    fn spread(&mut self, events: Vec<Event>) {
        for event in events {
            let delay = self.rng.random_range(0..=SPREAD_MS);
            self.push(delay, event);
        }
    }

    /// Whether a worker does not handle the ends of its runs that are due.
    pub(super) fn holds_ends(&self, at: usize) -> bool {
        self.is_stalled(Process::Worker(at)) || self.stalls.late_ends.contains(&at)
    }

    /// Handles the ends that were due during a stall.
    pub(super) fn handle_late_ends(&mut self, at: usize) {
        self.stalls.late_ends.remove(&at);
        self.advance_worker(at);
    }

    /// A simulation with more stalls, and with more short jobs, so that runs start during them.
    pub(super) fn with_stalls(seed: u64) -> Self {
        let mut simulation = Self::new(seed, InjectedBug::Nothing);
        let period = FAULT_PERIOD.as_millis() as u64;
        for _ in 0..BUSY_STALLS {
            let at = simulation.rng.random_range(500..period);
            simulation.push(at, Event::StallAny);
        }
        for number in 0..BUSY_JOBS {
            let at = simulation.rng.random_range(100..period);
            simulation.push(at, Event::Submit(FIRST_BUSY_JOB + 2 * number));
        }
        simulation
    }
}

/// Guards against a run that is started again while it goes on, after the calls to a worker or
/// their answers overtook each other.
#[test]
fn invariants_hold_under_many_stalls() {
    let results = (0..seed_count() / 3).map(|seed| (seed, Simulation::with_stalls(seed).run()));
    assert_none_fails(results);
}
