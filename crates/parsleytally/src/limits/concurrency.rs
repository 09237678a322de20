//! Adaptive concurrency limit: requests in service, below the hard bound of slots.

use std::fmt::Debug;
use std::time::Duration;

use crate::configs::{AdaptKind, LimitsConfig};
use crate::types::Time;

/// Measurements of one ended request.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// When the request ended.
    pub ended_at: Time,
    /// Duration from its start to its end.
    pub service_time: Duration,
    /// Whether the endpoint sent a complete answer.
    pub answered: bool,
    /// Requests in service just before it ended, itself included.
    pub in_service: u32,
}

/// An algorithm that adapts the concurrency limit to the endpoint's capacity.
pub trait ConcurrencyLimit: Debug + Send {
    /// Adapts the limit to an ended request.
    fn record(&mut self, sample: Sample);

    /// Current limit of requests in service.
    fn limit(&self) -> u32;
}

/// Creates the algorithm that `config` selects.
pub fn configured_limit(config: &LimitsConfig) -> Box<dyn ConcurrencyLimit> {
    let range = Range {
        floor: f64::from(config.floor.min(config.slots)),
        slots: f64::from(config.slots),
    };
    match config.adapt {
        AdaptKind::Fixed => Box::new(Fixed(config.slots)),
        AdaptKind::Climb => Box::new(Climb::new(range)),
    }
}

#[derive(Debug, Clone, Copy)]
struct Range {
    floor: f64,
    slots: f64,
}

impl Range {
    fn clamp(self, limit: f64) -> f64 {
        limit.clamp(self.floor, self.slots)
    }
}

/// A constant limit: the hard bound.
#[derive(Debug)]
struct Fixed(u32);

impl ConcurrencyLimit for Fixed {
    fn record(&mut self, _: Sample) {}

    fn limit(&self) -> u32 {
        self.0
    }
}

/// Hill climbing on the rate of answers.
///
/// Moves the limit by one per window of samples and reverses direction when the rate
/// falls by more than the dead band. A window in which less than half of the requests
/// reached the limit gives no evidence about it; after such a window the limit grows.
#[derive(Debug)]
struct Climb {
    range: Range,
    limit: f64,
    step: f64,
    last_rate: Option<f64>,
    window: Window,
}

#[derive(Debug, Default)]
struct Window {
    start: Option<Time>,
    samples: u32,
    answered: u32,
    saturated: u32,
}

impl Climb {
    /// Samples per window for each unit of the limit.
    const SAMPLES_PER_SLOT: u32 = 6;
    /// Fewest samples per window.
    const MIN_SAMPLES: u32 = 24;
    /// Relative fall of the rate up to which the direction stays.
    const DEAD_BAND: f64 = 0.03;

    fn new(range: Range) -> Self {
        Self {
            range,
            limit: range.slots,
            step: 1.0,
            last_rate: None,
            window: Window::default(),
        }
    }

    fn close_window(&mut self, duration: Duration) {
        let window = std::mem::take(&mut self.window);
        if window.saturated * 2 < window.samples {
            self.step = 1.0;
            self.last_rate = None;
            self.limit = self.range.clamp(self.limit + self.step);
            return;
        }
        let rate = f64::from(window.answered) / duration.as_secs_f64().max(1e-6);
        let is_worse = self
            .last_rate
            .is_some_and(|last| rate < last * (1.0 - Self::DEAD_BAND));
        if is_worse {
            self.step = -self.step;
        }
        self.last_rate = Some(rate);
        self.limit = self.range.clamp(self.limit + self.step);
    }
}

impl ConcurrencyLimit for Climb {
    fn record(&mut self, sample: Sample) {
        let Some(start) = self.window.start else {
            self.window.start = Some(sample.ended_at);
            return;
        };
        self.window.samples += 1;
        self.window.answered += u32::from(sample.answered);
        self.window.saturated += u32::from(sample.in_service >= self.limit());
        let window_samples = (self.limit() * Self::SAMPLES_PER_SLOT).max(Self::MIN_SAMPLES);
        if self.window.samples >= window_samples {
            self.close_window(sample.ended_at.since(start));
        }
    }

    fn limit(&self) -> u32 {
        self.limit as u32
    }
}
