//! Looks at the worker: what they renew, prove and tell.

use std::collections::HashSet;

use super::lease::with_drift;
use super::{
    AgentMessage, AgentOutput, CallError, EndedRun, GAUGE_INTERVAL, JobAgent, LOOK_PAUSE,
    LOOK_WAIT, Listing, MIXED_LOOK_WAIT, Ordered, PACE_INTERVAL, PollCall, Progress, RefusalReason,
    RunRef, RunStatus, ThrottleCall, refuse,
};
use crate::types::Time;

impl JobAgent {
    /// Sends a look where none is under way or the last one proves too little.
    pub(super) fn look(&mut self, now: Time, out: &mut Vec<AgentOutput>) {
        let stale = self.looked_at < self.fence;
        if self.looking > usize::from(stale) || now < self.next_look {
            return;
        }
        if self.owner.is_none() && self.runs.is_empty() {
            return;
        }
        // A silent worker is asked for its lists only, so that its lease runs out.
        let lease_end = if self.silent {
            None
        } else {
            self.lease.end(now, self.times.lease)
        };
        let quick = stale || !self.listed || lease_end.is_none();
        let wait = match (quick, self.pacer.is_mixed()) {
            (true, _) => 0,
            (false, true) => MIXED_LOOK_WAIT.as_millis(),
            (false, false) => LOOK_WAIT.as_millis(),
        };
        self.looking += 1;
        self.looked_at = self.fence;
        self.next_look = now.after(LOOK_PAUSE);
        out.push(AgentOutput::Poll(PollCall {
            fencing_token: self.fence,
            lease_end,
            acknowledged: self.stored,
            wait_ms: u64::try_from(wait).unwrap_or(u64::MAX),
            sent: now,
        }));
    }

    pub(super) fn looked(
        &mut self,
        now: Time,
        call: PollCall,
        answer: Result<Listing, CallError>,
        out: &mut Vec<AgentOutput>,
    ) {
        self.looking = self.looking.saturating_sub(1);
        self.note_silence(answer.is_err(), out);
        let Ok(listing) = answer else {
            self.next_look = now.after(LOOK_PAUSE);
            return;
        };
        let born = self.report.as_ref().map(|report| report.life.born);
        if born != Some(listing.born) {
            // Its own report tells the rest of the new life.
            if born.is_some_and(|born| born < listing.born) {
                self.begin_life(out);
                self.report = None;
                out.push(AgentOutput::Send(AgentMessage::LeasesExpired));
            }
            self.next_look = now.after(LOOK_PAUSE);
            return;
        }
        self.lease.read(now, listing.clock_ms);
        // While ends are listed that are not stored yet, looks do not wait.
        let waits = listing.ended.iter().all(|end| end.sequence > self.told);
        if waits && (call.wait_ms > 0 || !self.listed) {
            self.next_look = now;
        }
        self.settle(call, &listing, out);
        self.pace(now, &listing.running, out);
        if self.owner.is_none() {
            return;
        }
        if self.listed {
            self.tell_ends(&listing, out);
            self.tell_gauges(now, &listing.running, out);
        } else if self.trusts && call.fencing_token >= self.fence {
            self.tell_all(listing, out);
        }
    }

    /// Tells the owner when the worker ceases to answer, and when it answers again.
    fn note_silence(&mut self, silent: bool, out: &mut Vec<AgentOutput>) {
        if self.silent == silent {
            return;
        }
        self.silent = silent;
        if self.listed {
            out.push(AgentOutput::Send(AgentMessage::Unresponsive(silent)));
        }
    }

    /// Takes from the lists what became of the orders that they prove.
    fn settle(&mut self, call: PollCall, listing: &Listing, out: &mut Vec<AgentOutput>) {
        let ended: HashSet<RunRef> = listing.ended.iter().map(|end| end.run).collect();
        let running: HashSet<RunRef> = listing.running.iter().map(|task| task.run).collect();
        for run in &running {
            let found = Ordered {
                progress: Progress::Confirmed { at: call.sent },
                order: None,
                stopped: None,
                wants_stop: false,
            };
            let ordered = self.runs.entry(*run).or_insert(found);
            ordered.progress = Progress::Confirmed { at: call.sent };
        }
        self.runs.retain(|run, ordered| {
            if ended.contains(run) {
                return false;
            }
            if running.contains(run) {
                return true;
            }
            match ordered.progress {
                Progress::Sent { .. } => true,
                Progress::Unclear { fence } if call.fencing_token > fence => {
                    refuse(*run, RefusalReason::Unanswered, out);
                    false
                }
                Progress::Unclear { .. } => true,
                Progress::Confirmed { at } if at < call.sent => {
                    out.push(AgentOutput::Send(AgentMessage::Missing(*run)));
                    false
                }
                Progress::Confirmed { .. } => true,
            }
        });
    }

    fn pace(&mut self, now: Time, running: &[RunStatus], out: &mut Vec<AgentOutput>) {
        if !self.pacer.is_mixed() || now.since(self.paced) < PACE_INTERVAL {
            return;
        }
        self.paced = now;
        let fence = self.fence;
        let changes = self.pacer.measured(running).into_iter();
        let calls = changes.map(|(run, percent)| ThrottleCall {
            run,
            cpu_share: percent,
            fencing_token: fence,
        });
        out.extend(calls.map(AgentOutput::Throttle));
    }

    fn tell_all(&mut self, listing: Listing, out: &mut Vec<AgentOutput>) {
        let Some(report) = &self.report else {
            return;
        };
        self.listed = true;
        self.told = last_number(&listing.ended);
        out.push(AgentOutput::Send(AgentMessage::Listed {
            incarnation: report.life.clone(),
            running: listing.running,
            ended: listing.ended,
        }));
    }

    fn tell_ends(&mut self, listing: &Listing, out: &mut Vec<AgentOutput>) {
        let Some(report) = &self.report else {
            return;
        };
        let fresh = listing.ended.iter().filter(|end| end.sequence > self.told);
        let ended: Vec<EndedRun> = fresh.cloned().collect();
        if ended.is_empty() {
            return;
        }
        self.told = last_number(&ended);
        let life = report.life.clone();
        out.push(AgentOutput::Send(AgentMessage::Ended {
            incarnation: life,
            ended,
        }));
    }

    fn tell_gauges(&mut self, now: Time, running: &[RunStatus], out: &mut Vec<AgentOutput>) {
        let interval = if self.pacer.is_mixed() {
            PACE_INTERVAL
        } else {
            GAUGE_INTERVAL
        };
        if running.is_empty() || now.since(self.gauged) < interval {
            return;
        }
        self.gauged = now;
        let gauges = AgentMessage::Measurements(running.to_vec());
        out.push(AgentOutput::Send(gauges));
    }

    /// Tells the owner when the worker is silent and all leases on it have run out.
    pub(super) fn check_lapse(&mut self, now: Time, out: &mut Vec<AgentOutput>) {
        let silent = self.silent || self.report.is_none();
        let untold = self.listed || (self.trusts && !self.cleared);
        if !silent || !untold || self.owner.is_none() || !self.leases_are_over(now) {
            return;
        }
        self.listed = false;
        self.cleared = true;
        self.runs.clear();
        out.push(AgentOutput::Send(AgentMessage::LeasesExpired));
    }

    /// Whether all leases have run out that this agent or one before it granted.
    fn leases_are_over(&self, now: Time) -> bool {
        let inherited = self.began.after(with_drift(self.times.lease));
        self.lease.has_run_out(now) && inherited < now
    }
}

fn last_number(ended: &[EndedRun]) -> u64 {
    ended.iter().map(|end| end.sequence).max().unwrap_or(0)
}
