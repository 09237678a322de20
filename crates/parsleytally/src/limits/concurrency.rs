//! Adaptive number of requests in service, below the hard bound.

use std::fmt::Debug;
use std::time::Duration;

use crate::configs::{AdaptKind, LimitsConfig};
use crate::types::Time;

/// One request that ended.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// When it ended.
    pub ended_at: Time,
    /// Time from start to end.
    pub service_time: Duration,
    /// Whether the endpoint answered whole.
    pub answered: bool,
    /// Requests in service when it ended, itself included.
    pub in_service: u32,
}

/// Adapts the number of requests in service to what the endpoint carries.
pub trait ConcurrencyLimit: Debug + Send {
    /// Learns from a request that ended.
    fn record(&mut self, sample: Sample);

    /// Requests that may be in service now.
    fn limit(&self) -> u32;
}

/// The way of adapting that `config` asks for.
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

/// Always the hard bound.
#[derive(Debug)]
struct Fixed(u32);

impl ConcurrencyLimit for Fixed {
    fn record(&mut self, _: Sample) {}

    fn limit(&self) -> u32 {
        self.0
    }
}

/// Moves by one as long as the endpoint answers more per second.
///
/// Windows in which the limit was not reached say nothing about it; after such a
/// one the limit grows.
#[derive(Debug)]
struct Climb {
    range: Range,
    limit: f64,
    step: f64,
    last: Option<f64>,
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
    const SAMPLES_PER_SLOT: u32 = 6;
    const MIN_SAMPLES: u32 = 24;
    const DEAD_BAND: f64 = 0.03;

    fn new(range: Range) -> Self {
        Self {
            range,
            limit: range.slots,
            step: 1.0,
            last: None,
            window: Window::default(),
        }
    }

    fn close_window(&mut self, span: Duration) {
        let window = std::mem::take(&mut self.window);
        if window.saturated * 2 < window.samples {
            self.step = 1.0;
            self.last = None;
            self.limit = self.range.clamp(self.limit + self.step);
            return;
        }
        let rate = f64::from(window.answered) / span.as_secs_f64().max(1e-6);
        let is_worse = self
            .last
            .is_some_and(|last| rate < last * (1.0 - Self::DEAD_BAND));
        if is_worse {
            self.step = -self.step;
        }
        self.last = Some(rate);
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
        let enough = (self.limit() * Self::SAMPLES_PER_SLOT).max(Self::MIN_SAMPLES);
        if self.window.samples >= enough {
            self.close_window(sample.ended_at.since(start));
        }
    }

    fn limit(&self) -> u32 {
        self.limit as u32
    }
}
