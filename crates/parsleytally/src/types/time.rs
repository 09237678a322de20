//! Time as an input: a point on the caller's monotonic clock.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Microseconds since an origin that the caller chose, on one monotonic clock.
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

    /// The point `span` later, or the last representable one.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Time passed since `earlier`; zero if that lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
