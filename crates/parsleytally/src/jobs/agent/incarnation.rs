//! Which incarnation of the worker the agent serves: the one as which the worker itself answers.

use std::time::Duration;

use super::lease::expiry_after;
use super::{
    AgentMessage, AgentOutput, EndEvidence, JobAgent, KnownRuns, LateReports, Listing,
    ListingEvidence, MAX_CANDIDATES, PollCall, RunEvidence, RunVerdict, Unnamed, WorkerReport,
    push_conclusion,
};
use crate::types::Time;

/// A later incarnation of the worker that is not used yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Successor {
    /// Its start, as Unix time in milliseconds.
    born: u64,
    /// Least token of a poll by which it can be used.
    fencing_token: u64,
    /// Number of entries of its lists in which no run can be read.
    unnamed: usize,
}

impl JobAgent {
    pub(super) fn worker_reported(
        &mut self,
        now: Time,
        report: WorkerReport,
        sequence: u64,
        out: &mut Vec<AgentOutput>,
    ) {
        if !self.is_current_incarnation(&report.incarnation) {
            self.add_candidate(now, report, sequence);
            return;
        }
        if sequence < self.report_sequence && !self.late_reports.are_current(now, sequence) {
            return;
        }
        if self.shutdown_noticed {
            let is_later = self.recovers && sequence > self.report_sequence;
            if !is_later && !self.all_leases_expired(now) {
                // It may have been sent before the notice of shutdown.
                return;
            }
            // The owner drops the runs by itself once the last lease has expired.
            self.check_expiry(now, out);
            // The notice was that of an earlier incarnation with the same id.
            self.shutdown_noticed = false;
            self.recovers = false;
        }
        if sequence > self.report_sequence {
            self.late_reports = LateReports::default();
        }
        self.report_sequence = sequence;
        self.update_drain_end(now, report.state);
        if self.report.as_ref() == Some(&report) {
            return;
        }
        out.push(AgentOutput::Send(AgentMessage::Report(report.clone())));
        self.report = Some(report);
    }

    /// Keeps a report of another incarnation, and polls the worker to learn whether it is
    /// this incarnation.
    fn add_candidate(&mut self, now: Time, report: WorkerReport, sequence: u64) {
        let same = |known: &(WorkerReport, u64)| known.0.incarnation == report.incarnation;
        let known = self.candidates.iter().find(|known| same(known));
        if known.is_some_and(|(_, known)| sequence < *known) {
            return;
        }
        self.candidates.retain(|known| !same(known));
        if self.candidates.len() == MAX_CANDIDATES {
            self.candidates.remove(0);
        }
        self.candidates.push((report, sequence));
        self.next_poll = now;
    }

    /// Uses the report of the incarnation with this start time, as which the worker answered;
    /// returns whether there is one.
    fn use_candidate(&mut self, now: Time, born: u64, out: &mut Vec<AgentOutput>) -> bool {
        let is_born = |known: &(WorkerReport, u64)| known.0.incarnation.started_ms == born;
        let Some(at) = self.candidates.iter().rposition(is_born) else {
            return false;
        };
        let (report, sequence) = self.candidates.remove(at);
        self.candidates.clear();
        self.use_report(now, report, sequence, out);
        true
    }

    fn use_report(
        &mut self,
        now: Time,
        report: WorkerReport,
        sequence: u64,
        out: &mut Vec<AgentOutput>,
    ) {
        self.report_sequence = sequence;
        self.late_reports = LateReports::default();
        self.update_drain_end(now, report.state);
        out.push(AgentOutput::Send(AgentMessage::Report(report.clone())));
        self.report = Some(report);
    }

    /// Uses another id that was reported with the same start time, after the worker refused
    /// the present one. The owner keeps the runs, since they are of the same incarnation.
    pub(super) fn replace_identity(&mut self, now: Time, out: &mut Vec<AgentOutput>) {
        let Some(current) = self.report.as_ref().map(|report| &report.incarnation) else {
            return;
        };
        // After a notice of shutdown, the owner counts on the end of the last lease.
        if !self.listed || self.shutdown_noticed {
            return;
        }
        let is_other = |known: &(WorkerReport, u64)| {
            let other = &known.0.incarnation;
            other.started_ms == current.started_ms && other.id != current.id
        };
        let Some(at) = self.candidates.iter().rposition(is_other) else {
            return;
        };
        let (report, sequence) = self.candidates.remove(at);
        self.raise_fencing_token(now, self.fencing_token);
        self.list_anew(now);
        self.use_report(now, report, sequence, out);
    }

    /// Drops the state of the worker's earlier incarnation and reports its runs missing.
    fn reset_incarnation(&mut self, answer: ListingEvidence, out: &mut Vec<AgentOutput>) {
        self.push_runs_ended(EndEvidence::LaterIncarnation, out);
        self.record_crash(out);
        self.shutdown_noticed = false;
        self.recovers = false;
        let evidence = RunEvidence::Listing(answer);
        for (run, tracked) in std::mem::take(&mut self.runs) {
            let missing = tracked.conclude(run, RunVerdict::Missing, evidence);
            push_conclusion(missing, out);
        }
        self.acknowledged = 0;
        self.reported_sequence = 0;
        self.listed = false;
        self.known_runs = KnownRuns::default();
        self.lease.reset();
        self.throttle.clear();
        self.unnamed = Unnamed::accepted(answer.unnamed);
        self.next_poll = Time::ZERO;
    }

    /// Compares the incarnation as which the worker answered `call` with the present one;
    /// returns whether its listing can be used.
    pub(super) fn update_incarnation(
        &mut self,
        now: Time,
        call: PollCall,
        listing: &Listing,
        out: &mut Vec<AgentOutput>,
    ) -> bool {
        let born = listing.born;
        let known = self.report.as_ref();
        let known = known.map(|report| report.incarnation.started_ms);
        if known == Some(born) {
            self.successor = None;
            return true;
        }
        if known.is_some() {
            // It is a later one: the answer is not overtaken. Its start time may be lower, since
            // the wall clock may have been set back.
            if !self.has_replaced(now, call, listing, out) {
                return false;
            }
            let answer = ListingEvidence::new(now, call, listing);
            self.reset_incarnation(answer, out);
            self.successor = None;
            self.report = None;
            out.push(AgentOutput::Send(AgentMessage::LeasesExpired));
        }
        // Until its lease is as short as others, the new one gets no runs.
        now >= self.overlong_until && self.use_candidate(now, born, out)
    }

    /// Whether the runs of the earlier incarnation have ended and none is on the new one that
    /// answered `call`: nothing that was meant for the earlier one acts on it as a run, or can still
    /// reach it.
    fn has_replaced(
        &mut self,
        now: Time,
        call: PollCall,
        listing: &Listing,
        out: &mut Vec<AgentOutput>,
    ) -> bool {
        let successor = self.successor.filter(|known| known.born == listing.born);
        let unnamed = successor.map_or(0, |known| known.unnamed);
        self.await_hidden_runs(now, listing, unnamed);
        let is_overlong = self.has_overlong_lease(now, call, listing);
        // An entry that names no run may be one, until the longest lease has expired.
        let may_hide_runs = is_overlong && listing.unnamed > 0;
        let is_fenced = successor.is_some_and(|known| call.fencing_token >= known.fencing_token);
        if !is_fenced {
            self.note_successor(now, listing.born);
        }
        if let Some(successor) = &mut self.successor {
            successor.unnamed = listing.unnamed;
        }
        // It began with no runs, so orders to the earlier incarnation have reached it.
        self.stop_all(listing.running.iter().map(|status| status.run), out);
        is_fenced && listing.running.is_empty() && !may_hide_runs
    }

    /// Notes a later incarnation that answers. It has seen no fencing token, so it is used only
    /// once it has answered a poll with a higher token than those of all calls so far, which
    /// renews no lease and acknowledges no ends: nothing that was sent to the earlier one acts on
    /// it afterwards.
    fn note_successor(&mut self, now: Time, born: u64) {
        if self.successor.is_none_or(|known| known.born != born) {
            self.raise_fencing_token(now, self.fencing_token);
            self.successor = Some(Successor {
                born,
                fencing_token: self.fencing_token,
                unnamed: 0,
            });
        }
        self.next_poll = now;
    }

    /// Whether the new incarnation that answered `call` has a lease longer than others: the
    /// call carried one on the clock of the earlier incarnation. An owner that loses this
    /// agent would not wait for its end.
    fn has_overlong_lease(&mut self, now: Time, call: PollCall, listing: &Listing) -> bool {
        let end = call.lease_end.unwrap_or_default();
        let length = Duration::from_millis(end.saturating_sub(listing.clock_ms));
        let excess = length
            .min(self.times.lease_max)
            .saturating_sub(self.times.lease);
        if !excess.is_zero() {
            let until = now.after(expiry_after(excess));
            self.overlong_until = self.overlong_until.max(until);
        }
        self.lease.forget_clock();
        now < self.overlong_until
    }
}
