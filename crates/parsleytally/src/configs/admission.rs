//! Admission control of batch jobs at entries: section `[admission]`.

use std::time::Duration;

use super::check::duration;
use super::{ConfigError, Section};

/// Longest accepted `max-age`: a forecast that is older says nothing about a backlog of jobs
/// of a few seconds.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Whether entries refuse jobs that would end too late to have any value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Whether such jobs are refused: key `refuse`. If not, entries request no forecasts.
    pub refuse: bool,
    /// Age from which on a forecast is not used: key `max-age`.
    pub max_age: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            refuse: false,
            max_age: Duration::from_secs(2),
        }
    }
}

impl AdmissionConfig {
    /// Takes the settings from the section `[admission]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem.
    pub fn take(section: &mut Section) -> Result<Self, ConfigError> {
        let base = Self::default();
        Ok(Self {
            refuse: section.take_or("refuse", base.refuse)?,
            max_age: section.take_with("max-age", base.max_age, duration(MAX_AGE))?,
        })
    }
}
