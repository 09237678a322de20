//! Entries of the worker's lists in which no run can be read.
//!
//! Another writer may have left such an entry, or it may be a damaged entry of a run that was
//! ordered here. While that is in doubt, no run counts as missing or not started, and an owner
//! that does not know the runs gets no listing.
//!
//! An entry is no run of ours if a listing that has it also has each run that may be on the
//! worker, or once all leases have expired. If neither is seen in time, the leases are not
//! renewed. Entries are counted: those that a listing has beyond the ones that are known to be no
//! runs are in doubt.

use std::collections::HashSet;
use std::time::Duration;

use super::lease::expiry_after;
use super::{AgentOutput, JobAgent, Listing, ListingEvidence, PollCall, RunRef};
use crate::types::Time;

/// Longest time in doubt after which leases are still renewed.
const MAX_DOUBT: Duration = Duration::from_secs(2);

/// What is known of such entries of the present incarnation.
#[derive(Debug, Default)]
pub(super) struct Unnamed {
    /// Number of entries that are no runs; none before the first listing without doubt.
    foreign: Option<usize>,
    /// Since when entries are in doubt.
    doubted_since: Option<Time>,
}

impl Unnamed {
    /// A new incarnation, which was used with this number of entries.
    pub(super) fn accepted(entries: usize) -> Self {
        Self {
            foreign: Some(entries),
            doubted_since: None,
        }
    }

    /// Whether entries are in doubt.
    pub(super) fn is_in_doubt(&self) -> bool {
        self.doubted_since.is_some()
    }

    /// Whether entries have been in doubt for too long to renew the leases.
    pub(super) fn withholds_leases(&self, now: Time) -> bool {
        let since = self.doubted_since;
        since.is_some_and(|since| now.since(since) >= MAX_DOUBT)
    }
}

impl JobAgent {
    /// Judges the entries without a run in the answer to `call`; returns whether one may be a
    /// run that was ordered here.
    pub(super) fn doubts(
        &mut self,
        now: Time,
        call: PollCall,
        listing: &Listing,
        out: &mut Vec<AgentOutput>,
    ) -> bool {
        let known = self.unnamed.foreign;
        let is_sound = listing.unnamed <= known.unwrap_or_default()
            || (known.is_some() && self.accounts_for_all(listing))
            || self.all_leases_expired(call.sent);
        let was_in_doubt = self.unnamed.doubted_since.is_some();
        if is_sound {
            self.unnamed = Unnamed::accepted(listing.unnamed);
        } else {
            self.unnamed.doubted_since.get_or_insert(now);
        }
        if was_in_doubt == is_sound {
            out.push(AgentOutput::Doubt {
                answer: ListingEvidence::new(now, call, listing),
                in_doubt: !is_sound,
            });
        }
        !is_sound
    }

    /// Whether a listing has each run that may be on the worker.
    fn accounts_for_all(&self, listing: &Listing) -> bool {
        let running = listing.running.iter().map(|status| status.run);
        let ended = listing.ended.iter().map(|end| end.run);
        let listed: HashSet<RunRef> = running.chain(ended).collect();
        self.runs.keys().all(|run| listed.contains(run))
    }

    /// Delays the use of a new incarnation that lists more such entries than `known` until the
    /// longest lease that a start for the earlier one can have given it has expired.
    pub(super) fn await_hidden_runs(&mut self, now: Time, listing: &Listing, known: usize) {
        if listing.unnamed > known {
            let until = now.after(expiry_after(self.times.lease_max));
            self.overlong_until = self.overlong_until.max(until);
        }
    }
}
