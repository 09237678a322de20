//! An agent's part: carries out orders on its worker and keeps the leases there.
//!
//! All that runs on the worker holds a lease that the agent renews with each look at
//! the worker's lists. A renewal never reaches past the time for which the owner
//! vouched, so a worker whose agent lost its owner ends its runs at a time that the
//! next owner knows.
//!
//! An order that gets no answer may be carried out later. The agent then raises its
//! fence and looks again: a look under the higher fence that was answered proves that
//! the order has either been carried out by then or never will be.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{
    AgentMessage, EndedRun, OrderMessage, RefusalReason, RunRef, RunStatus, StartOrder, WorkerLife,
    WorkerReport, WorkerState,
};
use crate::types::Time;

mod lease;
mod lists;
mod messages;
mod pace;

pub use messages::{
    AgentInput, AgentOutput, CallError, Listing, PollCall, StartCall, StopCall, ThrottleCall,
};

use lease::Lease;
use pace::{Kind, Pacer};

/// Looks that may wait for an end at the worker.
const LOOK_WAIT: Duration = Duration::from_millis(1_000);
/// The same where fillers share the worker with tasks that serve users.
const MIXED_LOOK_WAIT: Duration = Duration::from_millis(500);
/// Time over which the worker measures, and so between two changes of a pace.
const PACE_INTERVAL: Duration = Duration::from_millis(480);
/// Time between two reports of measurements.
const GAUGE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which an order to stop is repeated while the run is still listed.
const STOP_REPEAT: Duration = Duration::from_millis(700);
/// Time after a failed look until the next.
const LOOK_PAUSE: Duration = Duration::from_millis(150);

/// Times of an agent.
#[derive(Debug, Clone, Copy)]
pub struct AgentTimes {
    /// Length of a lease on the worker.
    pub lease: Duration,
    /// Time for which runs are kept alive without the owner.
    pub agent_hold: Duration,
    /// Time for which runs are kept alive under an owner that lost the store.
    pub owner_hold: Duration,
}

/// Number of a connection to an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerLink(pub u64);

/// How far an ordered run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The order was sent under this fence and has no answer yet.
    Sent { fence: u64 },
    /// No answer came; the order went out under this fence.
    Unclear { fence: u64 },
    /// It was there at this time.
    Confirmed { at: Time },
}

/// A run that was ordered or found on the worker.
#[derive(Debug, Clone)]
struct Ordered {
    progress: Progress,
    /// The order; none for a run that was found.
    order: Option<StartOrder>,
    /// When the run was last told to stop.
    stopped: Option<Time>,
    wants_stop: bool,
}

/// The state of an agent.
#[derive(Debug)]
pub struct JobAgent {
    times: AgentTimes,
    began: Time,
    /// Whether an owner was confirmed by the store since this agent began. Until then it
    /// may have forgotten a later one.
    trusts: bool,
    owner: Option<OwnerLink>,
    /// Number under which orders go to the worker.
    fence: u64,
    report: Option<WorkerReport>,
    lease: Lease,
    /// Whether the owner knows all that is on the worker.
    listed: bool,
    runs: BTreeMap<RunRef, Ordered>,
    /// Ends up to this number are stored.
    stored: u64,
    /// Ends up to this number have been told to the owner.
    told: u64,
    /// Looks that have no answer yet.
    looking: usize,
    /// When the next look may go out.
    next_look: Time,
    /// Fence of the newest look that was sent.
    looked_at: u64,
    gauged: Time,
    pacer: Pacer,
    paced: Time,
    /// Whether the last look had no answer.
    silent: bool,
    /// Whether the owner was told that nothing runs on a worker that is not listed.
    cleared: bool,
}

impl JobAgent {
    /// Creates an agent that knows neither its worker nor an owner, at the time `began`.
    pub fn new(times: AgentTimes, began: Time) -> Self {
        Self {
            times,
            began,
            trusts: false,
            owner: None,
            fence: 0,
            report: None,
            lease: Lease::default(),
            listed: false,
            runs: BTreeMap::new(),
            stored: 0,
            told: 0,
            looking: 0,
            next_look: Time::ZERO,
            looked_at: 0,
            gauged: Time::ZERO,
            pacer: Pacer::default(),
            paced: Time::ZERO,
            silent: false,
            cleared: false,
        }
    }

    /// Takes one input.
    pub fn step(&mut self, now: Time, input: AgentInput, out: &mut Vec<AgentOutput>) {
        match input {
            AgentInput::OwnerMessage(link, message) => self.owner_says(now, link, message, out),
            AgentInput::OwnerLost(link) => {
                if self.owner == Some(link) {
                    self.owner = None;
                }
            }
            AgentInput::Report(report) => self.reported(report, out),
            AgentInput::WorkerLeft => self.worker_gone(out),
            AgentInput::Polled { call, answer } => self.looked(now, call, answer, out),
            AgentInput::StartAnswered {
                run,
                fencing_token: fence,
                answer,
            } => {
                self.start_answered(now, run, fence, answer, out);
            }
            AgentInput::StopAnswered { run, answer } => self.stop_answered(run, answer),
            AgentInput::ThrottleFailed(run) => self.pacer.unchanged(run),
            AgentInput::Tick => {}
        }
        self.look(now, out);
        self.repeat_stops(now, out);
        self.check_lapse(now, out);
    }

    /// Link of the owner whose orders are taken.
    pub fn owner(&self) -> Option<OwnerLink> {
        self.owner
    }

    /// Highest fence of an owner so far.
    pub fn fencing_token(&self) -> u64 {
        self.fence
    }

    fn owner_says(
        &mut self,
        now: Time,
        link: OwnerLink,
        message: OrderMessage,
        out: &mut Vec<AgentOutput>,
    ) {
        if let OrderMessage::Begin {
            fencing_token: fence,
        } = message
        {
            self.begin(now, link, fence, out);
            return;
        }
        if self.owner != Some(link) {
            return;
        }
        match message {
            OrderMessage::Begin { .. } => {}
            OrderMessage::Start(order) => self.start(now, order, out),
            OrderMessage::Describe {
                run,
                target_ms,
                best_effort: filler,
            } => self.pacer.describe(run, Kind { target_ms, filler }),
            OrderMessage::Throttle {
                run,
                cpu_share: percent,
            } => {
                if self.pacer.order(run, percent) {
                    let fence = self.fence;
                    out.push(AgentOutput::Throttle(ThrottleCall {
                        run,
                        cpu_share: percent,
                        fencing_token: fence,
                    }));
                }
            }
            OrderMessage::Stop(run) => self.stop(now, run, out),
            OrderMessage::AcknowledgeEnds {
                incarnation: life,
                sequence: number,
            } => {
                if self.is_life(&life) && number > self.stored {
                    self.stored = number;
                    self.next_look = now;
                }
            }
            OrderMessage::Pong {
                sent,
                confirmation_age: age,
            } => self.vouched(sent, age),
        }
    }

    fn begin(&mut self, now: Time, link: OwnerLink, fence: u64, out: &mut Vec<AgentOutput>) {
        if fence <= self.fence {
            out.push(AgentOutput::Close(link));
            return;
        }
        if let Some(old) = self.owner.replace(link) {
            out.push(AgentOutput::Close(old));
        }
        // What an earlier owner ordered is settled by the first look under this fence.
        for ordered in self.runs.values_mut() {
            ordered.order = None;
            ordered.wants_stop = false;
            if let Progress::Sent { fence } = ordered.progress {
                ordered.progress = Progress::Unclear { fence };
            }
        }
        self.fence = fence;
        self.listed = false;
        self.cleared = false;
        // What an earlier owner held to be stored need not be.
        self.stored = 0;
        self.told = 0;
        self.next_look = now;
        if let Some(report) = &self.report {
            out.push(AgentOutput::Send(AgentMessage::Report(report.clone())));
        }
    }

    /// The owner was confirmed by the store `age` before it answered a ping.
    fn vouched(&mut self, sent: u64, age: u64) {
        self.trusts |= sent.saturating_sub(age) >= self.began.as_micros();
        let age = Duration::from_micros(age);
        let left = self.times.owner_hold.saturating_sub(age);
        let left = left.min(self.times.agent_hold);
        self.lease.allow_until(Time::from_micros(sent).after(left));
    }

    fn reported(&mut self, report: WorkerReport, out: &mut Vec<AgentOutput>) {
        if self.report.as_ref() == Some(&report) {
            return;
        }
        let known = self.report.as_ref().map(|known| known.life.clone());
        if known.as_ref() != Some(&report.life) {
            // An older life may still send what it said before it ended.
            if known.is_some_and(|known| known.born > report.life.born) {
                return;
            }
            self.begin_life(out);
        }
        out.push(AgentOutput::Send(AgentMessage::Report(report.clone())));
        self.report = Some(report);
    }

    /// The worker has said that it ends.
    fn worker_gone(&mut self, out: &mut Vec<AgentOutput>) {
        self.begin_life(out);
        self.report = None;
        self.cleared = true;
        out.push(AgentOutput::Send(AgentMessage::LeasesExpired));
    }

    /// Forgets what an earlier life of the worker had.
    fn begin_life(&mut self, out: &mut Vec<AgentOutput>) {
        for run in std::mem::take(&mut self.runs).into_keys() {
            out.push(AgentOutput::Send(AgentMessage::Missing(run)));
        }
        self.stored = 0;
        self.told = 0;
        self.listed = false;
        self.lease.begin_life();
        self.pacer.clear();
        self.next_look = Time::ZERO;
    }

    fn is_life(&self, life: &WorkerLife) -> bool {
        self.report.as_ref().is_some_and(|own| own.life == *life)
    }

    fn start(&mut self, now: Time, order: StartOrder, out: &mut Vec<AgentOutput>) {
        let run = order.run;
        let state = self.report.as_ref().map(|report| report.state);
        let answers = self.listed && !self.silent;
        let fit = answers && self.is_life(&order.incarnation) && state == Some(WorkerState::Ready);
        if !fit {
            refuse(run, RefusalReason::Unwell, out);
            return;
        }
        if self.runs.contains_key(&run) {
            return;
        }
        let kind = Kind {
            target_ms: order.target_ms,
            filler: order.best_effort,
        };
        self.pacer.started(run, kind);
        let ordered = Ordered {
            progress: Progress::Sent { fence: self.fence },
            order: Some(order),
            stopped: None,
            wants_stop: false,
        };
        self.runs.insert(run, ordered);
        self.send_start(now, run, out);
    }

    fn send_start(&mut self, now: Time, run: RunRef, out: &mut Vec<AgentOutput>) {
        let Some(lease_end) = self.lease.end(now, self.times.lease) else {
            self.runs.remove(&run);
            refuse(run, RefusalReason::Unwell, out);
            return;
        };
        let fence = self.fence;
        let Some(ordered) = self.runs.get_mut(&run) else {
            return;
        };
        ordered.progress = Progress::Sent { fence };
        let Some(order) = ordered.order.clone() else {
            return;
        };
        out.push(AgentOutput::Start(StartCall {
            order,
            fencing_token: fence,
            lease_end,
        }));
    }

    fn start_answered(
        &mut self,
        now: Time,
        run: RunRef,
        fence: u64,
        answer: Result<(), CallError>,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(ordered) = self.runs.get_mut(&run) else {
            return;
        };
        if ordered.progress != (Progress::Sent { fence }) {
            return;
        }
        match answer {
            Ok(()) => ordered.progress = Progress::Confirmed { at: now },
            Err(CallError::Refused(RefusalReason::Fenced)) if fence < self.fence => {
                self.send_start(now, run, out);
            }
            Err(CallError::Refused(reason)) => {
                self.runs.remove(&run);
                refuse(run, reason, out);
            }
            Err(CallError::OtherLife | CallError::Unreachable) => {
                self.runs.remove(&run);
                refuse(run, RefusalReason::Unwell, out);
            }
            Err(CallError::Unanswered) => {
                ordered.progress = Progress::Unclear { fence };
                self.raise_fence(now, fence);
            }
        }
    }

    /// Makes sure that the next look proves what became of an order under `fence`.
    fn raise_fence(&mut self, now: Time, fence: u64) {
        if self.fence <= fence {
            self.fence = fence + 1;
        }
        self.next_look = now;
    }

    fn stop(&mut self, now: Time, run: RunRef, out: &mut Vec<AgentOutput>) {
        let found = Ordered {
            progress: Progress::Unclear { fence: self.fence },
            order: None,
            stopped: None,
            wants_stop: true,
        };
        let ordered = self.runs.entry(run).or_insert(found);
        ordered.wants_stop = true;
        ordered.stopped = Some(now);
        let fence = self.fence;
        out.push(AgentOutput::Stop(StopCall {
            run,
            fencing_token: fence,
        }));
        if matches!(ordered.progress, Progress::Unclear { fence } if fence >= self.fence) {
            self.raise_fence(now, fence);
        }
    }

    fn stop_answered(&mut self, run: RunRef, answer: Result<(), CallError>) {
        let Err(_) = answer else {
            return;
        };
        if let Some(ordered) = self.runs.get_mut(&run) {
            ordered.stopped = None;
        }
    }

    fn repeat_stops(&mut self, now: Time, out: &mut Vec<AgentOutput>) {
        let fence = self.fence;
        for (run, ordered) in &mut self.runs {
            let due = ordered
                .stopped
                .is_none_or(|at| now.since(at) >= STOP_REPEAT);
            if ordered.wants_stop && due {
                ordered.stopped = Some(now);
                out.push(AgentOutput::Stop(StopCall {
                    run: *run,
                    fencing_token: fence,
                }));
            }
        }
    }
}

fn refuse(run: RunRef, reason: RefusalReason, out: &mut Vec<AgentOutput>) {
    out.push(AgentOutput::Send(AgentMessage::Refused { run, reason }));
}
