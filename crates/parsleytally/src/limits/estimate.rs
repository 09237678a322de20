//! Running estimates of the endpoint's service time.

use std::time::Duration;

/// Samples before the estimate is used.
const MIN_SAMPLES: u32 = 8;

/// A new sample has a weight of one in this many, more while there are fewer.
const SMOOTHING_SAMPLES: u32 = 16;

/// `shortest` falls by the difference to a shorter sample over this divisor.
const FALL_DIVISOR: u32 = 2;

/// `shortest` rises by the difference to a longer sample over this divisor.
const RISE_DIVISOR: u32 = 32;

/// Mean and shortest usual service time of recent requests.
///
/// The mean gives the rate at which the queue moves. The shortest usual time gives
/// what one request needs at least, since requests of a service differ in length.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    mean: Duration,
    shortest: Duration,
    samples: u32,
}

impl ServiceTime {
    pub(super) fn record(&mut self, service_time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let divisor = self.samples.min(SMOOTHING_SAMPLES);
        self.mean = (self.mean * (divisor - 1) + service_time) / divisor;
        self.shortest = match self.samples {
            1 => service_time,
            _ if service_time < self.shortest => {
                self.shortest - (self.shortest - service_time) / FALL_DIVISOR
            }
            _ => self.shortest + (service_time - self.shortest) / RISE_DIVISOR,
        };
    }

    /// Mean service time; zero until there are enough samples.
    pub(super) fn mean(&self) -> Duration {
        self.zero_until_known(self.mean)
    }

    /// Shortest usual service time; zero until there are enough samples.
    pub(super) fn shortest(&self) -> Duration {
        self.zero_until_known(self.shortest)
    }

    fn zero_until_known(&self, duration: Duration) -> Duration {
        match self.samples < MIN_SAMPLES {
            true => Duration::ZERO,
            false => duration,
        }
    }
}
