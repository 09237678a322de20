//! Estimates of the endpoint's service time.

use std::time::Duration;

/// Samples before the estimate is used.
const MIN_SAMPLES: u32 = 8;

/// Weight of a new sample is one in this many.
const SMOOTHING: u32 = 16;

/// Share of the way to a shorter sample that the shortest usual time takes.
const FALL: u32 = 2;

/// Share of the way to a longer sample that the shortest usual time takes.
const RISE: u32 = 32;

/// Mean and shortest usual service time of recent requests.
///
/// The mean tells how fast the queue moves. What one request needs at least is
/// told by the shortest usual time, since requests of a service differ in length.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    mean: Duration,
    shortest: Duration,
    samples: u32,
}

impl ServiceTime {
    pub(super) fn add(&mut self, spent: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = self.samples.min(SMOOTHING);
        self.mean = (self.mean * (weight - 1) + spent) / weight;
        self.shortest = match self.samples {
            1 => spent,
            _ if spent < self.shortest => self.shortest - (self.shortest - spent) / FALL,
            _ => self.shortest + (spent - self.shortest) / RISE,
        };
    }

    /// Mean service time; zero until there are enough samples.
    pub(super) fn mean(&self) -> Duration {
        self.when_known(self.mean)
    }

    /// Shortest usual service time; zero until there are enough samples.
    pub(super) fn shortest(&self) -> Duration {
        self.when_known(self.shortest)
    }

    fn when_known(&self, span: Duration) -> Duration {
        match self.samples < MIN_SAMPLES {
            true => Duration::ZERO,
            false => span,
        }
    }
}
