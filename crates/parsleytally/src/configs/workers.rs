//! Handling of uneven workers by the owner of the jobs: section `[workers]`.

use std::str::FromStr;

use super::{ConfigError, Section};

/// Slowdown factor of 1, in percent.
const NO_SLOWDOWN_PERCENT: u32 = 100;
/// Largest accepted slowdown outside the preferred rack.
const MAX_REMOTE_FACTOR: f64 = 100.0;

/// Parts of the handling of uneven workers; all are off by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkersConfig {
    /// Whether workers that are slower, fail more or flap get less work: key `health`.
    pub health: bool,
    /// Whether tasks wait for room in their preferred rack: key `rack-wait`.
    pub rack_wait: bool,
    /// Whether stragglers of speculative steps get copies: key `speculation`.
    pub speculation: bool,
    /// Whether runs without progress are stopped and started elsewhere: key `stalls`.
    pub stalls: bool,
    /// Run time of a task outside its preferred rack, in percent of that inside:
    /// `[site] remote-factor`, as a factor.
    pub remote_percent: u32,
}

impl Default for WorkersConfig {
    fn default() -> Self {
        Self {
            health: false,
            rack_wait: false,
            speculation: false,
            stalls: false,
            remote_percent: NO_SLOWDOWN_PERCENT,
        }
    }
}

impl WorkersConfig {
    /// Takes the settings from the sections `[workers]` and `[site]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem.
    pub fn take(workers: &mut Section, site: &mut Section) -> Result<Self, ConfigError> {
        let base = Self::default();
        Ok(Self {
            health: workers.take_or("health", base.health)?,
            rack_wait: workers.take_or("rack-wait", base.rack_wait)?,
            speculation: workers.take_or("speculation", base.speculation)?,
            stalls: workers.take_or("stalls", base.stalls)?,
            remote_percent: site.take_with("remote-factor", base.remote_percent, parse_factor)?,
        })
    }
}

/// Parses a factor of at least 1, such as `1.5`, into percent.
fn parse_factor(text: &str) -> Result<u32, String> {
    let factor = f64::from_str(text).map_err(|error| error.to_string())?;
    if !(1.0..=MAX_REMOTE_FACTOR).contains(&factor) {
        return Err(format!("expected 1 to {MAX_REMOTE_FACTOR}"));
    }
    Ok((factor * f64::from(NO_SLOWDOWN_PERCENT)).round() as u32)
}
