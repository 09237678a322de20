//! State machine of an agent: carries out the owner's orders on its worker and renews
//! the worker's lease.
//!
//! All runs of the worker depend on one lease, which the agent renews with each poll of
//! the worker. A lease never outlasts the hold time that follows the owner's last
//! confirmation, so a worker whose agent lost its owner ends its runs at a time that
//! the next owner can compute.
//!
//! A start order without an answer may take effect later. The agent then raises its
//! fencing token and polls again: the worker refuses orders with a lower token than the
//! highest it has received, so an answered poll with the higher token shows whether the
//! run started, and it can't start afterwards.
//!
//! A run has ended only if the worker lists its end or does not list it any more, if all
//! leases of the worker have expired, or if the worker answers as a later incarnation. A
//! notice of shutdown is none of these: the worker runs its tasks until it has ended.
//!
//! Calls and answers may overtake each other, and a worker or an agent may stall while they pile up.
//! An answer shows the worker at some time between the sending of its call and its receipt, so
//! it is newer than something known only if its call was sent after that became known.
//! Polls are numbered for this.
//!
//! Reports may be late or from a process that is not the worker beside the agent. A report of
//! another incarnation is used once the worker itself answers a poll as this incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{
    AgentMessage, CrashedRun, EndEvidence, EndedRun, OrderMessage, RefusalReason, RunRef,
    RunStatus, WorkerCrash, WorkerIncarnation, WorkerReport, WorkerState,
};
use crate::types::Time;

mod crashes;
mod evidence;
mod incarnation;
mod known_runs;
mod late_reports;
mod lease;
mod messages;
mod orders;
mod owner_clock;
mod poll;
mod throttle;
mod tracked;
mod unnamed;

pub use evidence::{ListingEvidence, RunConclusion, RunEvidence, RunVerdict, StartEvidence};
pub use messages::{
    AgentInput, AgentOutput, CallError, Listing, PollCall, StartCall, StopCall, ThrottleCall,
};

use crashes::Crashes;
use evidence::push_conclusion;
use incarnation::Successor;
use known_runs::KnownRuns;
use late_reports::LateReports;
use lease::Lease;
use owner_clock::OwnerClock;
use throttle::{RunKind, Throttle};
use tracked::{StartState, TrackedRun};
use unnamed::Unnamed;

/// Longest time for which the worker may delay the answer to a poll until a run ends.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Same limit while best-effort tasks share the worker with latency-sensitive tasks.
const MIXED_POLL_WAIT: Duration = Duration::from_millis(500);
/// Least time between two changes of CPU shares; the worker measures over about as long.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(480);
/// Least time between two reports of measurements.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a stop order is sent again while the run has not ended.
const STOP_RETRY: Duration = Duration::from_millis(700);
/// Longest time for which a lease outlasts the announced shutdown of a draining worker. After
/// that, this is the length of its leases, so that they soon expire.
const DRAIN_LEASE: Duration = Duration::from_millis(600);
/// Longest time for which a draining worker may delay the answer to a poll.
const DRAIN_POLL_WAIT: Duration = Duration::from_millis(200);
/// Reports of other incarnations that are kept until the worker answers a poll.
const MAX_CANDIDATES: usize = 4;
/// Pause between two polls, unless an answer or an order makes the next one due sooner.
const POLL_PAUSE: Duration = Duration::from_millis(150);

/// Lease length and hold times of an agent.
#[derive(Debug, Clone, Copy)]
pub struct AgentTimes {
    /// Length of a lease of the worker.
    pub lease: Duration,
    /// Longest lease that a worker accepts.
    pub lease_max: Duration,
    /// Longest time for which runs are kept alive after the owner's last answer.
    pub agent_hold: Duration,
    /// Longest time for which runs are kept alive after the store last confirmed the owner.
    pub owner_hold: Duration,
    /// Age past which the owner's read of the operators' requests to evacuate availability zones
    /// permits no start; none if evacuations are not enabled.
    pub evacuation_limit: Option<Duration>,
}

/// Number of a link from an owner, unique within the agent process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerLink(pub u64);

/// State machine of an agent.
///
/// It does no I/O: inputs are events, and outputs are effects for the caller.
#[derive(Debug)]
pub struct JobAgent {
    times: AgentTimes,
    started_at: Time,
    /// Whether the store confirmed an owner since this agent started. Until then, the owner
    /// may be superseded: a restarted agent has lost the tokens of earlier owners.
    owner_confirmed: bool,
    owner: Option<OwnerLink>,
    /// Token of the orders and polls that are sent to the worker.
    fencing_token: u64,
    report: Option<WorkerReport>,
    /// When a lease that was meant for the earlier incarnation, on its clock, is no longer
    /// than others at a new one.
    overlong_until: Time,
    /// Announced time of the shutdown of a draining worker.
    drain_end: Time,
    /// Highest number of a report of the present incarnation.
    report_sequence: u64,
    /// Reports of the present incarnation with lower numbers.
    late_reports: LateReports,
    /// Latest reports of other incarnations, with their numbers.
    candidates: Vec<(WorkerReport, u64)>,
    /// A later incarnation that answers, until it is used.
    successor: Option<Successor>,
    /// Whether the present incarnation of the worker gave notice of its shutdown.
    shutdown_noticed: bool,
    /// Whether a later report of this incarnation shows that the notice was not its own.
    recovers: bool,
    lease: Lease,
    /// Whether the present owner knows the runs of the worker.
    listing_known: bool,
    /// The hold by the present owner's last answer that has not kept the runs alive.
    unused_hold: Option<Time>,
    /// The present owner's clock; none before its first answer to a ping.
    owner_clock: Option<OwnerClock>,
    /// Whether the owner has received all runs of the worker, with
    /// [`AgentMessage::Listed`].
    listed: bool,
    runs: BTreeMap<RunRef, TrackedRun>,
    known_runs: KnownRuns,
    /// Ended runs up to this sequence number are acknowledged by the owner.
    acknowledged: u64,
    /// Ended runs up to this sequence number are reported to the owner.
    reported_sequence: u64,
    polls_in_flight: usize,
    /// Number of the last poll.
    poll_number: u64,
    /// Number of the last poll that was sent when the last answer in use arrived.
    answered_poll: u64,
    /// The last answer to a poll that was used.
    last_listing: Option<ListingEvidence>,
    /// Earliest time of the next poll.
    next_poll: Time,
    /// Token of the last poll.
    polled_token: u64,
    /// When measurements were last reported.
    measurements_sent: Time,
    throttle: Throttle,
    /// When CPU shares were last adjusted.
    throttled_at: Time,
    /// Whether the last poll failed.
    unresponsive: bool,
    /// Whether the expiry of all leases was reported to the owner.
    expiry_reported: bool,
    crashes: Crashes,
    /// Entries of the worker's lists in which no run can be read.
    unnamed: Unnamed,
}

impl JobAgent {
    /// Creates an agent without a worker or an owner that starts at `started_at`.
    pub fn new(times: AgentTimes, started_at: Time) -> Self {
        Self {
            times,
            started_at,
            owner_confirmed: false,
            owner: None,
            fencing_token: 0,
            report: None,
            overlong_until: Time::ZERO,
            drain_end: Time::ZERO,
            report_sequence: 0,
            late_reports: LateReports::default(),
            candidates: Vec::new(),
            successor: None,
            shutdown_noticed: false,
            recovers: false,
            lease: Lease::default(),
            listing_known: false,
            unused_hold: None,
            owner_clock: None,
            listed: false,
            runs: BTreeMap::new(),
            known_runs: KnownRuns::default(),
            acknowledged: 0,
            reported_sequence: 0,
            polls_in_flight: 0,
            poll_number: 0,
            answered_poll: 0,
            last_listing: None,
            next_poll: Time::ZERO,
            polled_token: 0,
            measurements_sent: Time::ZERO,
            throttle: Throttle::default(),
            throttled_at: Time::ZERO,
            unresponsive: false,
            expiry_reported: false,
            crashes: Crashes::default(),
            unnamed: Unnamed::default(),
        }
    }

    /// Handles one input and adds its effects to `out`.
    pub fn step(&mut self, now: Time, input: AgentInput, out: &mut Vec<AgentOutput>) {
        match input {
            AgentInput::OwnerMessage(link, message) => self.owner_message(now, link, message, out),
            AgentInput::OwnerLost(link) => {
                if self.owner == Some(link) {
                    self.owner = None;
                }
            }
            AgentInput::Report { report, sequence } => {
                self.worker_reported(now, report, sequence, out);
            }
            AgentInput::ShutdownNotice(id) => self.notice_shutdown(now, &id, out),
            AgentInput::Polled { call, answer } => self.handle_poll(now, call, answer, out),
            AgentInput::StartAnswered {
                run,
                fencing_token,
                answer,
            } => {
                self.start_answered(now, run, fencing_token, answer, out);
            }
            AgentInput::StopAnswered { run, answer } => self.stop_answered(now, run, answer),
            AgentInput::ThrottleAnswered { call, answer } => {
                self.throttle_answered(now, call, answer, out);
            }
            AgentInput::Tick => {}
        }
        self.poll(now, out);
        self.resend_stops(now, out);
        self.check_expiry(now, out);
    }

    /// Link of the current owner; orders of other links are ignored.
    pub fn owner(&self) -> Option<OwnerLink> {
        self.owner
    }

    /// Whether there is an owner whose hold has not passed. One that has lost the store keeps
    /// its link, but a later owner must be able to find the agent.
    pub fn is_held(&self, now: Time) -> bool {
        self.owner.is_some() && self.lease.is_allowed(now)
    }

    /// Fencing token of the orders that are sent to the worker.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    fn owner_message(
        &mut self,
        now: Time,
        link: OwnerLink,
        message: OrderMessage,
        out: &mut Vec<AgentOutput>,
    ) {
        if let OrderMessage::Begin { fencing_token } = message {
            self.accept_owner(now, link, fencing_token, out);
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
                best_effort,
            } => self.throttle.describe(
                run,
                RunKind {
                    target_ms,
                    best_effort,
                },
            ),
            OrderMessage::Throttle { run, cpu_share } => {
                self.throttle.order(run, cpu_share);
                self.send_cpu_share(run, out);
            }
            OrderMessage::Stop(run) => self.stop(now, run, out),
            OrderMessage::AcknowledgeEnds {
                incarnation,
                sequence,
            } => {
                if self.is_current_incarnation(&incarnation) && sequence > self.acknowledged {
                    self.acknowledged = sequence;
                    self.next_poll = now;
                }
            }
            OrderMessage::AcknowledgeCrash { incarnation } => {
                self.crashes.acknowledge(&incarnation);
            }
            OrderMessage::Pong {
                sent,
                confirmation_age,
                owner_clock,
                supports,
            } => {
                self.handle_pong(sent, confirmation_age, supports);
                self.owner_clock = Some(OwnerClock::new(sent, owner_clock));
            }
            OrderMessage::ListingKnown => {
                self.listing_known = true;
                if let Some(until) = self.unused_hold.take() {
                    self.lease.allow_until(until);
                }
            }
        }
    }

    fn accept_owner(
        &mut self,
        now: Time,
        link: OwnerLink,
        fencing_token: u64,
        out: &mut Vec<AgentOutput>,
    ) {
        if fencing_token <= self.fencing_token {
            out.push(AgentOutput::Supersede(link));
            return;
        }
        if let Some(old) = self.owner.replace(link) {
            out.push(AgentOutput::Supersede(old));
        }
        for tracked in self.runs.values_mut() {
            tracked.order = None;
            tracked.stop_ordered = false;
        }
        self.fencing_token = fencing_token;
        self.listing_known = false;
        self.unused_hold = None;
        self.owner_clock = None;
        self.expiry_reported = false;
        self.list_anew(now);
        if let Some(report) = &self.report {
            out.push(AgentOutput::Send(AgentMessage::Report(report.clone())));
        }
        self.send_crashes(out);
        if self.shutdown_noticed && !self.recovers {
            self.send_last_lease(now, out);
        }
        self.send_known_runs(now, out);
    }

    /// Lists all runs to the owner anew, with the ended runs that the present owner may not have
    /// stored.
    ///
    /// The fencing token must be higher than those of all orders so far: the first answered poll
    /// with it shows which of the starts on their way have taken effect, and no other will.
    fn list_anew(&mut self, now: Time) {
        for tracked in self.runs.values_mut() {
            if let StartState::Sent { fencing_token } = tracked.state {
                tracked.state = StartState::Unanswered { fencing_token };
            }
        }
        self.listed = false;
        self.acknowledged = 0;
        self.reported_sequence = 0;
        self.next_poll = now;
    }

    /// Tells the owner when the last lease of a leaving worker has expired.
    fn send_last_lease(&self, now: Time, out: &mut Vec<AgentOutput>) {
        let expires_within = self.all_leases_expire().since(now).as_micros();
        let expires_within = u64::try_from(expires_within).unwrap_or(u64::MAX);
        let message = AgentMessage::LastLease { expires_within };
        out.push(AgentOutput::Send(message));
    }

    /// Extends the limit of leases by the answer to the ping of time `sent`; the store had
    /// confirmed the owner `confirmation_age` before that answer. Both are in microseconds.
    ///
    /// Unless the answer `supports` it, an owner that does not know the runs does not keep them alive: it
    /// counts on their end.
    fn handle_pong(&mut self, sent: u64, confirmation_age: u64, supports: bool) {
        self.owner_confirmed |=
            sent.saturating_sub(confirmation_age) >= self.started_at.as_micros();
        let age = Duration::from_micros(confirmation_age);
        let hold = self.times.owner_hold.saturating_sub(age);
        let hold = hold.min(self.times.agent_hold);
        let until = Time::from_micros(sent).after(hold);
        if supports || self.listing_known {
            self.lease.allow_until(until);
        } else {
            self.unused_hold = Some(until);
        }
    }

    /// Handles the worker's notice of its shutdown: it gets no more runs and no more
    /// leases. If it has drained, its runs are stopped, so that they save a checkpoint;
    /// otherwise, the notice may be that of an earlier incarnation with the same id, and the
    /// owner learns nothing of it.
    fn notice_shutdown(&mut self, now: Time, id: &str, out: &mut Vec<AgentOutput>) {
        if self.shutdown_noticed || !self.is_worker(id) {
            return;
        }
        self.shutdown_noticed = true;
        self.next_poll = now;
        if !self.is_draining() {
            self.recovers = true;
            return;
        }
        self.send_last_lease(now, out);
        for run in self.runs.keys().copied().collect::<Vec<_>>() {
            self.stop(now, run, out);
        }
    }

    /// Orders runs of an incarnation that is not used yet to stop.
    fn stop_all(&self, runs: impl Iterator<Item = RunRef>, out: &mut Vec<AgentOutput>) {
        let fencing_token = self.fencing_token;
        let stop = |run| AgentOutput::Stop(StopCall { run, fencing_token });
        out.extend(runs.map(stop));
    }

    /// Length of the next lease of the worker.
    fn lease_length(&self, now: Time) -> Duration {
        if self.is_draining() {
            let length = self.drain_end.since(now) + DRAIN_LEASE;
            length.min(self.times.lease)
        } else {
            self.times.lease
        }
    }

    /// Notes when the worker ends if it drains.
    fn update_drain_end(&mut self, now: Time, state: WorkerState) {
        if let WorkerState::Draining { remaining_ms } = state {
            self.drain_end = now.after(Duration::from_millis(remaining_ms));
        }
    }

    fn is_draining(&self) -> bool {
        let state = self.report.as_ref().map(|report| report.state);
        matches!(state, Some(WorkerState::Draining { .. }))
    }

    fn push_runs_ended(&self, evidence: EndEvidence, out: &mut Vec<AgentOutput>) {
        if self.report.is_none() && self.runs.is_empty() {
            return;
        }
        let report = self.report.as_ref();
        out.push(AgentOutput::RunsEnded {
            incarnation: report.map(|report| report.incarnation.clone()),
            runs: self.runs.len(),
            evidence,
            last_listing: self.last_listing,
        });
    }

    /// Whether this is the id of the worker's present incarnation.
    pub fn is_worker(&self, id: &str) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| *report.incarnation.id == *id)
    }

    fn is_current_incarnation(&self, incarnation: &WorkerIncarnation) -> bool {
        self.report
            .as_ref()
            .is_some_and(|report| report.incarnation == *incarnation)
    }
}
