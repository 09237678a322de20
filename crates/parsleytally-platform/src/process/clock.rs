//! The monotonic clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parsleytally::types::{Incarnation, Time};

/// Monotonic time since the process started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at [`Time::ZERO`].
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        Time::ZERO.after(self.origin.elapsed())
    }

    /// A number for this life of the process: wall-clock microseconds at its start.
    pub fn incarnation() -> Incarnation {
        Incarnation(u64::try_from(wall().as_micros()).unwrap_or(u64::MAX))
    }

    /// Time of day, in milliseconds since 1970.
    pub fn wall_ms() -> u64 {
        u64::try_from(wall().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Time since 1970; zero on a clock that is before it.
fn wall() -> Duration {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    wall.unwrap_or_default()
}
