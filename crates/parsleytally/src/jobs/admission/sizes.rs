//! Share of accepted jobs among the largest of a queue.

use std::cmp::Ordering;
use std::collections::VecDeque;

use super::Work;

/// Number of recent jobs to which the size of a job is compared.
const MAX_RECENT: usize = 64;
/// Least number of recent jobs with which the largest tenth is known.
const MIN_RECENT: usize = 10;
/// Number of counted jobs at which older ones start to weigh half.
const MAX_COUNTED: u32 = 256;

/// Class of a job by its size among the recent jobs of its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SizeClass {
    LargestTenth,
    NextFifth,
    Other,
}

/// Numbers of jobs that were submitted and accepted.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    submitted: u32,
    accepted: u32,
}

impl Counts {
    fn add(&mut self, accepted: bool) {
        self.submitted += 1;
        self.accepted += u32::from(accepted);
    }

    fn halve(&mut self) {
        self.submitted /= 2;
        self.accepted /= 2;
    }
}

/// Sizes of the recent jobs of one queue, and how many of each class were accepted.
#[derive(Debug, Default)]
pub(super) struct Sizes {
    recent: VecDeque<Work>,
    largest: Counts,
    next: Counts,
    all: Counts,
}

impl Sizes {
    /// Whether one more refusal of a job of this size leaves its class accepted at least half
    /// as often as the whole queue. The rule protects only the largest jobs.
    pub(super) fn may_refuse(&self, size: Work) -> bool {
        let class = match self.class(size) {
            SizeClass::LargestTenth => self.largest,
            SizeClass::NextFifth => self.next,
            SizeClass::Other => return true,
        };
        let class_share = u64::from(class.accepted) * u64::from(self.all.submitted + 1);
        let share = u64::from(self.all.accepted) * u64::from(class.submitted + 1);
        2 * class_share >= share
    }

    /// Counts a job that was accepted or refused.
    pub(super) fn record(&mut self, size: Work, accepted: bool) {
        match self.class(size) {
            SizeClass::LargestTenth => self.largest.add(accepted),
            SizeClass::NextFifth => self.next.add(accepted),
            SizeClass::Other => {}
        }
        self.all.add(accepted);
        if self.all.submitted > MAX_COUNTED {
            self.largest.halve();
            self.next.halve();
            self.all.halve();
        }
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(size);
    }

    fn class(&self, size: Work) -> SizeClass {
        if self.recent.len() < MIN_RECENT {
            return SizeClass::Other;
        }
        // Jobs of equal size share the middle of their ranks, so that they are not all counted
        // among the largest.
        let above = self.recent.iter().map(|recent| match (*recent).cmp(&size) {
            Ordering::Greater => 2,
            Ordering::Equal => 1,
            Ordering::Less => 0,
        });
        let rank = above.sum::<usize>();
        let ranks = 2 * self.recent.len();
        if rank * 10 < ranks {
            SizeClass::LargestTenth
        } else if rank * 10 < ranks * 3 {
            SizeClass::NextFifth
        } else {
            SizeClass::Other
        }
    }
}
