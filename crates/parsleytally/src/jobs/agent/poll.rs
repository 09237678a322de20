//! Polls of the worker: lease renewal, reconciliation of runs, reports to the owner.

use std::collections::HashSet;
use std::time::Duration;

use super::crashes::{Sightings, crashed_run};
use super::lease::expiry_after;
use super::{
    AgentMessage, AgentOutput, CallError, DRAIN_POLL_WAIT, EndEvidence, EndedRun, JobAgent,
    Listing, ListingEvidence, MEASUREMENT_INTERVAL, MIXED_POLL_WAIT, POLL_PAUSE, POLL_WAIT,
    PollCall, RefusalReason, RunConclusion, RunEvidence, RunRef, RunStatus, RunVerdict, StartState,
    THROTTLE_INTERVAL, ThrottleCall, TrackedRun, push_conclusion,
};
use crate::types::Time;

impl JobAgent {
    /// Polls the worker if a poll is due and none is in flight; a raised fencing token
    /// allows a second one.
    pub(super) fn poll(&mut self, now: Time, out: &mut Vec<AgentOutput>) {
        let token_raised = self.polled_token < self.fencing_token;
        if self.polls_in_flight > usize::from(token_raised) || now < self.next_poll {
            return;
        }
        if self.owner.is_none() && self.runs.is_empty() {
            return;
        }
        // Polls don't renew the lease of an unresponsive or leaving worker, or of one that may hide
        // runs, so that it expires.
        let hides_runs = self.unnamed.withholds_leases(now);
        let lease_end = if self.unresponsive || self.shutdown_noticed || hides_runs {
            None
        } else {
            self.lease.grant(now, self.lease_length(now))
        };
        // A worker that stopped answering may answer as a new incarnation, with numbers of
        // its own.
        let acknowledged = if self.unresponsive || self.successor.is_some() {
            0
        } else {
            self.acknowledged
        };
        let answer_at_once =
            token_raised || !self.listed || lease_end.is_none() || self.has_unanswered_start();
        let wait = if answer_at_once {
            0
        } else {
            self.poll_wait().as_millis()
        };
        self.polls_in_flight += 1;
        self.poll_number += 1;
        self.polled_token = self.fencing_token;
        self.next_poll = now.after(POLL_PAUSE);
        out.push(AgentOutput::Poll(PollCall {
            number: self.poll_number,
            fencing_token: self.fencing_token,
            lease_end,
            acknowledged,
            wait_ms: u64::try_from(wait).unwrap_or(u64::MAX),
            sent: now,
        }));
    }

    /// Whether a listing decides if a start without an answer has taken effect.
    fn has_unanswered_start(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| matches!(run.state, StartState::Unanswered { .. }))
    }

    /// Longest time for which the worker may delay the answer to a poll.
    fn poll_wait(&self) -> Duration {
        if self.is_draining() {
            DRAIN_POLL_WAIT
        } else if self.throttle.is_mixed() {
            MIXED_POLL_WAIT
        } else {
            POLL_WAIT
        }
    }

    pub(super) fn handle_poll(
        &mut self,
        now: Time,
        call: PollCall,
        answer: Result<Listing, CallError>,
        out: &mut Vec<AgentOutput>,
    ) {
        self.polls_in_flight = self.polls_in_flight.saturating_sub(1);
        if call.number <= self.answered_poll {
            self.drop_overtaken(now, call, answer.as_ref().ok(), out);
            return;
        }
        self.set_unresponsive(answer.is_err(), out);
        if answer == Err(CallError::Refused(RefusalReason::Fenced)) {
            self.note_fenced(call);
        }
        let Ok(mut listing) = answer else {
            self.next_poll = now.after(POLL_PAUSE);
            return;
        };
        self.answered_poll = self.poll_number;
        if !self.update_incarnation(now, call, &listing, out) {
            if self.polled_token == self.fencing_token {
                self.next_poll = now.after(POLL_PAUSE);
            }
            return;
        }
        let in_doubt = self.doubts(now, call, &listing, out);
        listing.complete &= !in_doubt;
        let listed_at = self.lease.latest_time_of(now, listing.clock_ms);
        self.lease.read_clock(now, listing.clock_ms);
        // The worker answers at once while it lists ended runs that are not acknowledged,
        // so the next poll then waits for `POLL_PAUSE`.
        let all_unreported = listing
            .ended
            .iter()
            .all(|end| end.sequence > self.reported_sequence);
        let awaits_listing = !self.listed && self.may_list(call) && !in_doubt;
        // Without an owner, nobody acknowledges them.
        let has_owner = self.owner.is_some();
        if has_owner && all_unreported && (call.wait_ms > 0 || awaits_listing) {
            self.next_poll = now;
        }
        self.crashes.clear_expired();
        let answer = ListingEvidence::new(now, call, &listing);
        self.last_listing = Some(answer);
        self.reconcile(answer, listed_at, &listing, out);
        let runs = &self.runs;
        self.throttle.retain(|run| runs.contains_key(run));
        for status in &listing.running {
            self.send_cpu_share(status.run, out);
        }
        self.throttle_best_effort(now, &listing.running, out);
        if self.owner.is_none() {
            return;
        }
        if self.listed {
            self.report_ends(answer, &listing, out);
            self.report_measurements(now, &listing.running, out);
        } else if self.may_list(call) && listing.complete {
            self.report_all(answer, listing, out);
        } else if self.may_list(call) {
            // The owner acknowledges these first, and the worker then lists the others.
            self.report_ends(answer, &listing, out);
        }
    }

    /// Drops the answer to a poll that was sent before the last answer in use arrived: it may
    /// be older than that answer.
    fn drop_overtaken(
        &mut self,
        now: Time,
        call: PollCall,
        listing: Option<&Listing>,
        out: &mut Vec<AgentOutput>,
    ) {
        if let Some(listing) = listing {
            let answer = ListingEvidence::new(now, call, listing);
            out.push(AgentOutput::Overtaken(answer));
            self.next_poll = now;
        }
    }

    /// Whether the answer to `call` can be the first listing for the owner. A leaving worker
    /// whose leases have expired has nothing more to list.
    fn may_list(&self, call: PollCall) -> bool {
        let has_left = self.shutdown_noticed && self.expiry_reported;
        self.owner_confirmed && call.fencing_token >= self.fencing_token && !has_left
    }

    /// Reports to the owner when the worker stops or resumes answering.
    fn set_unresponsive(&mut self, unresponsive: bool, out: &mut Vec<AgentOutput>) {
        if self.unresponsive == unresponsive {
            return;
        }
        self.unresponsive = unresponsive;
        if self.listed {
            out.push(AgentOutput::Send(AgentMessage::Unresponsive(unresponsive)));
        }
    }

    /// Updates the tracked runs by the answer to a poll, made by `listed_at`, and reports those
    /// that did not start or are missing. A run that is absent from an incomplete listing may
    /// have ended, and one that became known after the poll was sent may have started after the
    /// listing.
    fn reconcile(
        &mut self,
        answer: ListingEvidence,
        listed_at: Time,
        listing: &Listing,
        out: &mut Vec<AgentOutput>,
    ) {
        let evidence = RunEvidence::Listing(answer);
        let last_poll = self.poll_number;
        self.known_runs.note_ends(listing);
        let ended: HashSet<RunRef> = listing.ended.iter().map(|end| end.run).collect();
        let running: HashSet<RunRef> = listing.running.iter().map(|status| status.run).collect();
        for run in &running {
            let untracked = TrackedRun {
                state: StartState::Confirmed { last_poll },
                order: None,
                start_sent: None,
                stop_due: answer.sent,
                stop_ordered: false,
                sightings: None,
            };
            let tracked = self.runs.entry(*run).or_insert(untracked);
            tracked.state = StartState::Confirmed { last_poll };
            let sightings = tracked.sightings.get_or_insert(Sightings::at(listed_at));
            sightings.extend_to(listed_at);
        }
        self.runs.retain(|run, tracked| {
            if ended.contains(run) {
                return false;
            }
            if running.contains(run) {
                return true;
            }
            match tracked.state {
                _ if !listing.complete => true,
                StartState::Sent { .. } => true,
                StartState::Unanswered { fencing_token }
                    if answer.fencing_token > fencing_token =>
                {
                    let verdict = RunVerdict::NotStarted(RefusalReason::Unanswered);
                    push_conclusion(tracked.conclude(*run, verdict, evidence), out);
                    false
                }
                StartState::Unanswered { .. } => true,
                StartState::Confirmed { last_poll } if answer.poll > last_poll => {
                    let verdict = RunVerdict::Missing;
                    push_conclusion(tracked.conclude(*run, verdict, evidence), out);
                    false
                }
                StartState::Confirmed { .. } => true,
            }
        });
    }

    fn throttle_best_effort(
        &mut self,
        now: Time,
        running: &[RunStatus],
        out: &mut Vec<AgentOutput>,
    ) {
        let changes = if !self.throttle.is_mixed() {
            self.throttle.resume(running)
        } else if now.since(self.throttled_at) >= THROTTLE_INTERVAL {
            self.throttled_at = now;
            self.throttle.evaluate(running)
        } else {
            return;
        };
        let fencing_token = self.fencing_token;
        let calls = changes.into_iter().map(|(run, cpu_share)| ThrottleCall {
            run,
            cpu_share,
            fencing_token,
        });
        out.extend(calls.map(AgentOutput::Throttle));
    }

    fn report_all(
        &mut self,
        answer: ListingEvidence,
        listing: Listing,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(report) = &self.report else {
            return;
        };
        self.listed = true;
        self.known_runs.are_complete = true;
        self.reported_sequence = last_sequence(&listing.ended);
        out.push(AgentOutput::Listed(answer));
        out.push(AgentOutput::Send(AgentMessage::Listed {
            incarnation: report.incarnation.clone(),
            running: listing.running,
            ended: listing.ended,
        }));
    }

    fn report_ends(
        &mut self,
        answer: ListingEvidence,
        listing: &Listing,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(report) = &self.report else {
            return;
        };
        let unreported = listing
            .ended
            .iter()
            .filter(|end| end.sequence > self.reported_sequence);
        let ended: Vec<EndedRun> = unreported.cloned().collect();
        if ended.is_empty() {
            return;
        }
        self.reported_sequence = last_sequence(&ended);
        let evidence = RunEvidence::Listing(answer);
        for end in &ended {
            let verdict = RunVerdict::Ended {
                reason: end.reason,
                sequence: end.sequence,
            };
            push_conclusion(RunConclusion::untracked(end.run, verdict, evidence), out);
        }
        let incarnation = report.incarnation.clone();
        out.push(AgentOutput::Send(AgentMessage::Ended {
            incarnation,
            ended,
        }));
    }

    fn report_measurements(
        &mut self,
        now: Time,
        running: &[RunStatus],
        out: &mut Vec<AgentOutput>,
    ) {
        let interval = if self.throttle.is_mixed() {
            THROTTLE_INTERVAL
        } else {
            MEASUREMENT_INTERVAL
        };
        if running.is_empty() || now.since(self.measurements_sent) < interval {
            return;
        }
        self.measurements_sent = now;
        let measurements = AgentMessage::Measurements(running.to_vec());
        out.push(AgentOutput::Send(measurements));
    }

    /// Reports to the owner, once, that the worker leaves or doesn't answer and that all its
    /// leases have expired.
    pub(super) fn check_expiry(&mut self, now: Time, out: &mut Vec<AgentOutput>) {
        let unrenewed = self.unresponsive || self.shutdown_noticed || self.report.is_none();
        let unreported = self.listed || (self.owner_confirmed && !self.expiry_reported);
        if !unrenewed || !unreported || self.owner.is_none() || !self.all_leases_expired(now) {
            return;
        }
        self.push_runs_ended(EndEvidence::ExpiredLeases, out);
        self.listed = false;
        self.expiry_reported = true;
        self.reported_sequence = 0;
        if let Some(token) = self.unsettled_token() {
            self.raise_fencing_token(now, token);
        }
        self.crashes.add_expired(self.runs.iter().map(crashed_run));
        self.runs.clear();
        out.push(AgentOutput::Send(AgentMessage::LeasesExpired));
    }

    /// Whether all leases of this agent process and of the one before have expired.
    pub(super) fn all_leases_expired(&self, now: Time) -> bool {
        self.all_leases_expire() < now
    }

    /// When these leases have expired.
    pub(super) fn all_leases_expire(&self) -> Time {
        let earlier_expire = self.started_at.after(expiry_after(self.times.lease));
        self.lease.expires().max(earlier_expire)
    }
}

fn last_sequence(ended: &[EndedRun]) -> u64 {
    ended.iter().map(|end| end.sequence).max().unwrap_or(0)
}
