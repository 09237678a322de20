//! Events of the simulation and their order.

use std::cmp::Ordering;

use super::calls::{Action, CallId};
use super::links::Link;
use super::stalls::Process;
use super::*;

#[derive(Debug)]
pub(super) enum Event {
    Tick,
    /// The timer of an agent is due.
    AgentTick(usize),
    /// A call of an agent reaches its worker.
    Call(CallId, Action),
    /// The wait of a poll is over.
    List(CallId),
    /// The answer to a call, or its timeout, reaches the agent.
    Answer(CallId, AgentInput),
    /// A worker handles the ends of its runs that are due.
    Advance(usize),
    /// Some process stalls.
    StallAny,
    /// A process stalls for this time in milliseconds.
    Stall(Process, u64),
    /// The stall of a process is over.
    Resume(Process),
    /// A message reaches an agent.
    ToAgent(usize, Link, OrderMessage),
    /// A message reaches an owner.
    ToOwner(usize, Link, AgentMessage),
    /// Both ends detect the loss of a link.
    LinkLost(Link),
    /// An agent detects the loss of a link.
    OwnerLost(Link),
    /// An owner tries to connect to an agent.
    Dial(usize, usize),
    /// A record of an owner reaches the store.
    Save(usize, JobId, u64, JobProgress),
    Fault,
    /// The owner is killed, and some workers and agents are disturbed.
    ChangeOwner,
    Submit(u64),
    Cancel(u64),
    NewOwner,
    WorkerUp(usize),
    /// A worker reports its state to its agent.
    Heartbeat(usize),
    /// A report of any writer reaches an agent.
    Report(usize, WorkerReport),
    /// A notice of shutdown of any writer, with this id, reaches an agent.
    Notice(usize, Arc<str>),
    /// The worker that started at this time gives notice of its shutdown.
    Leave(usize, u64),
    /// The worker that started at this time ends.
    WorkerEnd(usize, u64),
    /// The worker that started at this time crashes.
    Crash(usize, u64),
    /// A worker has room for this many tasks from now on.
    Capacity(usize, usize),
    /// The machine of an agent goes away.
    AgentDown(usize),
    AgentUp(usize),
    /// An agent (index and incarnation) checks whether its address is registered.
    Register(usize, u64),
    /// The deletion of the address of an agent that an owner forgot reaches the store.
    Delete(usize, usize, u64),
    Heal,
    /// The faults are over.
    Calm,
}

/// An event with its time and sequence number, which order the queue.
pub(super) struct ScheduledEvent(pub(super) Time, pub(super) u64, pub(super) Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
