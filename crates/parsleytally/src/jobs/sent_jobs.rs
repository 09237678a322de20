//! Remembers which submissions an entry has sent, so that a later copy of one is not refused
//! although its job may be stored.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::JobId;
use crate::types::Time;

/// Time for which a submission is remembered; clients retry for seconds, and a copy may be
/// delivered seconds after the answer to another.
const KEEP_TIME: Duration = Duration::from_secs(60);
/// Submissions that are remembered; about two minutes of an entry's share of 160 jobs a
/// second among 10 entries, at 40 bytes each.
const MAX_JOBS: usize = 2_048;

/// Outcome of a submission that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentOutcome {
    /// The store has the job.
    Stored,
    /// This submission did not store the job and will not.
    NotStored,
    /// This submission may have stored the job, or may do so later.
    Unknown,
}

/// What earlier submissions with the same ID say of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlierCopy {
    /// No earlier submission is known.
    None,
    /// An earlier submission is in progress, or its outcome is unknown.
    MaybeStored,
    /// An earlier submission has stored the job.
    Stored,
}

#[derive(Debug, Clone, Copy, Default)]
struct SentJob {
    /// Time of the last submission.
    last: Time,
    in_progress: u32,
    uncertain: bool,
    stored: bool,
}

/// The submissions that this entry has sent within the last minute.
#[derive(Debug, Default)]
pub struct SentJobs {
    jobs: HashMap<JobId, SentJob>,
    /// Jobs by the time of a submission.
    order: VecDeque<(Time, JobId)>,
}

impl SentJobs {
    /// Records that a submission is about to be sent; [`Self::end`] must follow.
    pub fn begin(&mut self, now: Time, id: JobId) {
        self.expire(now);
        let job = self.jobs.entry(id).or_insert_with(|| {
            self.order.push_back((now, id));
            SentJob::default()
        });
        job.last = now;
        job.in_progress += 1;
    }

    /// Records the outcome of a submission that was sent.
    pub fn end(&mut self, id: JobId, outcome: SentOutcome) {
        // The job may have been forgotten meanwhile.
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.in_progress = job.in_progress.saturating_sub(1);
        match outcome {
            SentOutcome::Stored => job.stored = true,
            SentOutcome::Unknown => job.uncertain = true,
            SentOutcome::NotStored => {}
        }
    }

    /// What other submissions say of a job; `own` tells whether the asking submission itself
    /// is in progress.
    pub fn earlier_copy(&self, now: Time, id: JobId, own: bool) -> EarlierCopy {
        let Some(job) = self.jobs.get(&id) else {
            return EarlierCopy::None;
        };
        if now.since(job.last) >= KEEP_TIME {
            return EarlierCopy::None;
        }
        if job.stored {
            return EarlierCopy::Stored;
        }
        if job.uncertain || job.in_progress > u32::from(own) {
            return EarlierCopy::MaybeStored;
        }
        EarlierCopy::None
    }

    /// Forgets the oldest jobs.
    fn expire(&mut self, now: Time) {
        while let Some((at, id)) = self.order.front().copied() {
            let is_full = self.order.len() >= MAX_JOBS;
            if !is_full && now.since(at) < KEEP_TIME {
                return;
            }
            self.order.pop_front();
            match self.jobs.get(&id) {
                Some(job) if !is_full && now.since(job.last) < KEEP_TIME => {
                    self.order.push_back((job.last, id));
                }
                _ => {
                    self.jobs.remove(&id);
                }
            }
        }
    }
}
