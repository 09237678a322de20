//! Orders to start, stop and throttle runs, and the worker's answers to them.

use super::crashes::Sightings;
use super::throttle::RunKind;
use super::{
    AgentOutput, CallError, JobAgent, POLL_PAUSE, RunConclusion, RunEvidence, RunVerdict,
    STOP_RETRY, StartCall, StartEvidence, StartState, StopCall, ThrottleCall, TrackedRun,
    push_conclusion,
};
use crate::jobs::{AgentMessage, RefusalReason, RunRef, StartOrder, WorkerState};
use crate::types::Time;

impl JobAgent {
    /// Carries out the owner's order to start a run.
    pub(super) fn start(&mut self, now: Time, order: StartOrder, out: &mut Vec<AgentOutput>) {
        let run = order.run;
        let state = self.report.as_ref().map(|report| report.state);
        let is_answering = self.listed && !self.unresponsive && !self.shutdown_noticed;
        let can_start = is_answering
            && !self.unnamed.withholds_leases(now)
            && self.is_current_incarnation(&order.incarnation)
            && state == Some(WorkerState::Ready);
        if !can_start {
            let verdict = RunVerdict::NotStarted(RefusalReason::Unwell);
            push_conclusion(
                RunConclusion::untracked(run, verdict, RunEvidence::Agent),
                out,
            );
            return;
        }
        if self.runs.contains_key(&run) {
            return;
        }
        let kind = RunKind {
            target_ms: order.target_ms,
            best_effort: order.best_effort,
        };
        self.throttle.started(run, kind);
        let tracked = TrackedRun {
            state: StartState::Sent {
                fencing_token: self.fencing_token,
            },
            order: Some(order),
            start_sent: None,
            stop_due: now,
            stop_ordered: false,
            sightings: None,
        };
        self.runs.insert(run, tracked);
        self.send_start(now, run, out);
    }

    /// Whether the owner's read of the operators' requests is too old for a start. An owner that
    /// was paused, or an order that was delayed, may be from before a request.
    fn read_is_old(&self, now: Time, run: RunRef) -> bool {
        let Some(limit) = self.times.evacuation_limit else {
            return false;
        };
        let order = self.runs.get(&run).and_then(|run| run.order.as_ref());
        let read = order.and_then(|order| order.zones_read);
        let age = read.zip(self.owner_clock);
        age.is_none_or(|(read, clock)| clock.age(now, read) > limit)
    }

    /// Whether the worker has less than the owner counted on: the order may be from before its
    /// capacity shrank.
    fn has_shrunk(&self, run: RunRef) -> bool {
        let order = self.runs.get(&run).and_then(|run| run.order.as_ref());
        let assumed = order.map(|order| order.capacity);
        let present = self.report.as_ref().map(|report| report.capacity);
        let shrunk = assumed.zip(present);
        shrunk.is_some_and(|(assumed, present)| !assumed.fits(&present))
    }

    fn send_start(&mut self, now: Time, run: RunRef, out: &mut Vec<AgentOutput>) {
        if self.has_shrunk(run) {
            self.refuse(run, RefusalReason::Room, RunEvidence::Agent, out);
            return;
        }
        if self.read_is_old(now, run) {
            self.refuse(run, RefusalReason::OldRead, RunEvidence::Agent, out);
            return;
        }
        // A start that is repeated after a notice of shutdown must not get a new lease.
        let is_renewed = !self.shutdown_noticed && !self.unnamed.withholds_leases(now);
        let length = is_renewed.then(|| self.lease_length(now));
        let lease_end = length.and_then(|length| self.lease.grant(now, length));
        let Some(lease_end) = lease_end else {
            self.refuse(run, RefusalReason::Unwell, RunEvidence::Agent, out);
            return;
        };
        let fencing_token = self.fencing_token;
        let Some(tracked) = self.runs.get_mut(&run) else {
            return;
        };
        tracked.state = StartState::Sent { fencing_token };
        tracked.start_sent = Some(now);
        let Some(order) = tracked.order.clone() else {
            return;
        };
        out.push(AgentOutput::Start(StartCall {
            order,
            fencing_token,
            lease_end,
        }));
    }

    pub(super) fn start_answered(
        &mut self,
        now: Time,
        run: RunRef,
        fencing_token: u64,
        answer: Result<(), CallError>,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(tracked) = self.runs.get_mut(&run) else {
            return;
        };
        if tracked.state != (StartState::Sent { fencing_token }) {
            return;
        }
        let evidence = RunEvidence::Start(StartEvidence {
            fencing_token,
            sent: tracked.start_sent.unwrap_or(now),
            received: now,
        });
        match answer {
            Ok(()) => {
                tracked.state = StartState::Confirmed {
                    last_poll: self.poll_number,
                };
                tracked.sightings = Some(Sightings::at(now));
                out.push(AgentOutput::Send(AgentMessage::Started(run)));
                self.send_cpu_share(run, out);
            }
            Err(CallError::Refused(RefusalReason::Fenced))
                if fencing_token < self.fencing_token && !tracked.stop_ordered =>
            {
                self.send_start(now, run, out);
            }
            Err(CallError::Refused(reason)) => self.refuse(run, reason, evidence, out),
            Err(CallError::OtherLife) => {
                self.refuse(run, RefusalReason::Unwell, evidence, out);
                self.replace_identity(now, out);
            }
            Err(CallError::Unreachable) => {
                self.refuse(run, RefusalReason::Unwell, evidence, out);
            }
            Err(CallError::Unanswered) => {
                tracked.state = StartState::Unanswered { fencing_token };
                self.raise_fencing_token(now, fencing_token);
            }
        }
    }

    /// Drops a run that did not start and can't start later, and tells the owner.
    fn refuse(
        &mut self,
        run: RunRef,
        reason: RefusalReason,
        evidence: RunEvidence,
        out: &mut Vec<AgentOutput>,
    ) {
        if let Some(tracked) = self.runs.remove(&run) {
            let verdict = RunVerdict::NotStarted(reason);
            push_conclusion(tracked.conclude(run, verdict, evidence), out);
        }
    }

    /// Highest token of the start orders that may still take effect.
    pub(super) fn unsettled_token(&self) -> Option<u64> {
        let runs = self.runs.values();
        runs.filter_map(TrackedRun::unsettled_token).max()
    }

    /// Makes the fencing token higher than `fencing_token` and the next poll due now, so
    /// that its answer settles the orders with that token.
    pub(super) fn raise_fencing_token(&mut self, now: Time, fencing_token: u64) {
        if self.fencing_token <= fencing_token {
            self.fencing_token = fencing_token + 1;
        }
        self.next_poll = now;
    }

    /// Sends the CPU share that the owner ordered for a run, once the worker has the run: the call
    /// could overtake the start.
    pub(super) fn send_cpu_share(&mut self, run: RunRef, out: &mut Vec<AgentOutput>) {
        let tracked = self.runs.get(&run);
        let is_confirmed = |run: &TrackedRun| matches!(run.state, StartState::Confirmed { .. });
        if !tracked.is_some_and(is_confirmed) {
            return;
        }
        if let Some(cpu_share) = self.throttle.take_unsent(run) {
            let fencing_token = self.fencing_token;
            out.push(AgentOutput::Throttle(ThrottleCall {
                run,
                cpu_share,
                fencing_token,
            }));
        }
    }

    /// Handles the answer to a change of a CPU share. Without an answer, the call may be carried
    /// out later, so that the next one needs a higher token.
    pub(super) fn throttle_answered(
        &mut self,
        now: Time,
        call: ThrottleCall,
        answer: Result<(), CallError>,
        out: &mut Vec<AgentOutput>,
    ) {
        self.throttle.answered(call.run, answer.is_ok());
        match answer {
            Ok(()) => self.send_cpu_share(call.run, out),
            Err(CallError::Unanswered) if self.runs.contains_key(&call.run) => {
                self.raise_fencing_token(now, call.fencing_token);
            }
            // The share is sent again with the next listing that has the run.
            Err(_) => {}
        }
    }

    /// Orders the worker to stop a run, known or not, until the run is known to have ended.
    pub(super) fn stop(&mut self, now: Time, run: RunRef, out: &mut Vec<AgentOutput>) {
        let untracked = TrackedRun {
            state: StartState::Unanswered {
                fencing_token: self.fencing_token,
            },
            order: None,
            start_sent: None,
            stop_due: now,
            stop_ordered: true,
            sightings: None,
        };
        let tracked = self.runs.entry(run).or_insert(untracked);
        tracked.stop_ordered = true;
        tracked.stop_due = now.after(STOP_RETRY);
        let fencing_token = self.fencing_token;
        out.push(AgentOutput::Stop(StopCall { run, fencing_token }));
        if matches!(tracked.state, StartState::Unanswered { fencing_token } if fencing_token >= self.fencing_token)
        {
            self.raise_fencing_token(now, fencing_token);
        }
    }

    pub(super) fn stop_answered(&mut self, now: Time, run: RunRef, answer: Result<(), CallError>) {
        let Err(_) = answer else {
            return;
        };
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.stop_due = now.after(POLL_PAUSE);
        }
    }

    pub(super) fn resend_stops(&mut self, now: Time, out: &mut Vec<AgentOutput>) {
        let fencing_token = self.fencing_token;
        for (run, tracked) in &mut self.runs {
            if tracked.stop_ordered && now >= tracked.stop_due {
                tracked.stop_due = now.after(STOP_RETRY);
                out.push(AgentOutput::Stop(StopCall {
                    run: *run,
                    fencing_token,
                }));
            }
        }
    }
}
