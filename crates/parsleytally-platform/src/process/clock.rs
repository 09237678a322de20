//! The monotonic clock of a process. It goes on while the VM is suspended, so that holds and
//! ages that other VMs count on have the same length here.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parsleytally::types::{Incarnation, Time};
use rustix::time::{ClockId, clock_gettime};

/// A point of time on the clock that starts when the VM boots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// The present time.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }

    /// Time since this point.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}

/// Monotonic time since the process started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: BootTime,
}

impl Clock {
    /// Starts a clock at [`Time::ZERO`].
    pub fn start() -> Self {
        Self {
            origin: BootTime::now(),
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

#[cfg(test)]
mod tests;
