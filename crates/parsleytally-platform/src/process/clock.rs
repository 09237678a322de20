//! The monotonic clock of a process.

use std::time::Instant;

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
        let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let micros = wall.unwrap_or_default().as_micros();
        Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
