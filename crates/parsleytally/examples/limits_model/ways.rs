//! Other ways of adapting, for comparison.

use parsleytally::limits::{ConcurrencyLimit, Sample};

/// Lowest and highest limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Range {
    pub(crate) floor: f64,
    pub(crate) slots: f64,
}

impl Range {
    fn clamp(self, limit: f64) -> f64 {
        limit.clamp(self.floor, self.slots)
    }
}

/// One more per round of good answers, a tenth less per round with a slow one.
#[derive(Debug)]
pub(crate) struct Aimd {
    range: Range,
    limit: f64,
    mean: Mean,
    rest: u32,
}

impl Aimd {
    const DECREASE: f64 = 0.9;
    const TOLERANCE: f64 = 2.0;
    const LONG: f64 = 200.0;

    pub(crate) fn new(range: Range) -> Self {
        Self {
            range,
            limit: range.slots,
            mean: Mean::new(Self::LONG),
            rest: 0,
        }
    }
}

impl ConcurrencyLimit for Aimd {
    fn record(&mut self, sample: Sample) {
        let spent = sample.service_time.as_secs_f64();
        let usual = self.mean.value.unwrap_or(spent);
        self.mean.add(spent);
        self.rest = self.rest.saturating_sub(1);
        let is_slow = !sample.answered || spent > usual * Self::TOLERANCE;
        if is_slow && self.rest == 0 {
            self.limit = self.range.clamp(self.limit * Self::DECREASE);
            self.rest = self.limit();
        } else if !is_slow && sample.in_service >= self.limit() {
            self.limit = self.range.clamp(self.limit + 1.0 / self.limit);
        }
    }

    fn limit(&self) -> u32 {
        self.limit as u32
    }
}

/// Follows the ratio of the long-term mean service time to the recent one.
#[derive(Debug)]
pub(crate) struct Gradient {
    range: Range,
    limit: f64,
    long: Mean,
    short: Mean,
}

impl Gradient {
    const LONG: f64 = 400.0;
    const SHORT: f64 = 20.0;
    const TOLERANCE: f64 = 1.5;
    const MIN_RATIO: f64 = 0.5;
    const SMOOTHING: f64 = 0.1;
    const HEADROOM: f64 = 1.0;
    const FAILURE_RATIO: f64 = 0.9;

    pub(crate) fn new(range: Range) -> Self {
        Self {
            range,
            limit: range.slots,
            long: Mean::new(Self::LONG),
            short: Mean::new(Self::SHORT),
        }
    }

    fn ratio(&self, sample: &Sample) -> f64 {
        if !sample.answered {
            return Self::FAILURE_RATIO;
        }
        match (self.long.value, self.short.value) {
            (Some(long), Some(short)) if short > 0.0 => {
                (long * Self::TOLERANCE / short).clamp(Self::MIN_RATIO, 1.0)
            }
            _ => 1.0,
        }
    }
}

impl ConcurrencyLimit for Gradient {
    fn record(&mut self, sample: Sample) {
        let spent = sample.service_time.as_secs_f64();
        self.long.add(spent);
        self.short.add(spent);
        let ratio = self.ratio(&sample);
        if ratio >= 1.0 && sample.in_service < self.limit() {
            return;
        }
        let headroom = if sample.answered { Self::HEADROOM } else { 0.0 };
        let target = self.limit * ratio + headroom;
        let smoothed = self.limit + (target - self.limit) * Self::SMOOTHING;
        self.limit = self.range.clamp(smoothed);
    }

    fn limit(&self) -> u32 {
        self.limit as u32
    }
}

/// Exponentially weighted mean over about `window` samples.
#[derive(Debug)]
struct Mean {
    window: f64,
    value: Option<f64>,
}

impl Mean {
    fn new(window: f64) -> Self {
        Self {
            window,
            value: None,
        }
    }

    fn add(&mut self, sample: f64) {
        let old = self.value.unwrap_or(sample);
        self.value = Some(old + (sample - old) / self.window);
    }
}
