//! Progress of a run as its measurements show it.

use std::time::Duration;

use crate::types::Time;

/// Longest time between two measurements that count as connected: the interval of
/// measurements is 1 s, and one of them may be lost.
const MAX_GAP: Duration = Duration::from_millis(2_500);

/// Progress that the measurements of a run have shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MeasuredProgress {
    /// Time of the last measurement.
    pub(super) at: Time,
    pub(super) percent: u32,
    /// Start of the connected measurements that show no more than `percent`.
    pub(super) unchanged_since: Time,
    /// Number of those measurements.
    pub(super) unchanged: u32,
}

/// Times of a run since this owner ordered or adopted it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RunTimeline {
    /// When this owner ordered the run; none if an earlier owner did.
    pub(super) ordered: Option<Time>,
    /// None before its first measurement.
    pub(super) progress: Option<MeasuredProgress>,
    /// When it was first measured.
    first_measured: Option<Time>,
    /// Time taken by CPU shares below the full one, up to the last change of the share.
    throttled: Duration,
    /// When the share last changed.
    share_changed: Option<Time>,
}

impl RunTimeline {
    pub(super) fn ordered_at(now: Time) -> Self {
        Self {
            ordered: Some(now),
            share_changed: Some(now),
            ..Self::default()
        }
    }

    /// Time from the first measurement to the last, in milliseconds; none without any.
    pub(super) fn seen_ms(&self) -> Option<u64> {
        let seen = self.progress?.at.since(self.first_measured?);
        Some(u64::try_from(seen.as_millis()).unwrap_or(u64::MAX))
    }

    /// Adds a measurement; returns the time since the order for the first one.
    pub(super) fn measure(&mut self, now: Time, percent: u32) -> Option<Duration> {
        let first = self.progress.is_none();
        self.first_measured.get_or_insert(now);
        let progress = self.progress.get_or_insert(MeasuredProgress {
            at: now,
            percent,
            unchanged_since: now,
            unchanged: 0,
        });
        if percent != progress.percent || now.since(progress.at) > MAX_GAP {
            progress.percent = percent;
            progress.unchanged_since = now;
            progress.unchanged = 0;
        }
        progress.at = now;
        progress.unchanged += 1;
        self.ordered.filter(|_| first).map(|at| now.since(at))
    }

    /// Time since this owner ordered it; none if an earlier owner did.
    pub(super) fn run_time(&self, now: Time) -> Option<Duration> {
        self.ordered.map(|ordered| now.since(ordered))
    }

    /// Time taken by CPU shares below the full one; `speed` holds since the last change.
    pub(super) fn throttled_at(&self, now: Time, speed: f64) -> Duration {
        let since = self.share_changed.unwrap_or(now);
        self.throttled + now.since(since).mul_f64((1.0 - speed).max(0.0))
    }

    /// Notes that the CPU share changes from the one of `speed`.
    pub(super) fn change_share(&mut self, now: Time, speed: f64) {
        self.throttled = self.throttled_at(now, speed);
        self.share_changed = Some(now);
        self.restart_window(now);
    }

    /// Starts counting time without progress anew, since the run got another CPU share.
    fn restart_window(&mut self, now: Time) {
        if let Some(progress) = &mut self.progress {
            progress.unchanged_since = now;
            progress.unchanged = 0;
        }
    }
}
