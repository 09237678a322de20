//! Points in time on the caller's monotonic clock, passed to the state machines as input.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Microseconds on a monotonic clock since an origin that the caller chooses.
///
/// Values of different processes are not comparable.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{_0}us")]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// A point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// A point `secs` seconds after the origin.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The point `duration` later, or the last representable one.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Duration since `earlier`; zero if `earlier` is later than this point.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
