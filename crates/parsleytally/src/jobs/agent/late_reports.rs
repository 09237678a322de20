//! Reports whose numbers are below the highest one.
//!
//! A report with a lower number is late as a rule. If such reports go on in ascending order,
//! they are the worker's own, and the highest number was not.

use std::time::Duration;

use crate::types::Time;

/// Number of ascending reports from which on they are taken for current ones.
const MIN_REPORTS: u32 = 3;
/// Least time from the first to the last of them: reports that were held up on their way arrive
/// together.
const MIN_SPAN: Duration = Duration::from_secs(2);

/// Reports with ascending numbers, all below the highest number.
#[derive(Debug, Default)]
pub(super) struct LateReports {
    count: u32,
    last: u64,
    /// When the first arrived.
    since: Time,
}

impl LateReports {
    /// Whether the reports so far, with one of this number that arrives now, are current.
    pub(super) fn are_current(&mut self, now: Time, sequence: u64) -> bool {
        if self.count == 0 || sequence < self.last {
            self.count = 0;
            self.since = now;
        }
        if self.count == 0 || sequence > self.last {
            self.count += 1;
            self.last = sequence;
        }
        let are_current = self.count >= MIN_REPORTS && now.since(self.since) >= MIN_SPAN;
        if are_current {
            *self = Self::default();
        }
        are_current
    }
}
