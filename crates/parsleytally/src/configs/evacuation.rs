//! Evacuation of availability zones: section `[evacuation]`.

use std::time::Duration;

use super::check::duration;
use super::{ConfigError, Document};

/// Longest bound that may be set.
const MAX_BOUND: Duration = Duration::from_secs(600);
/// Share of the bound, in percent, after which a read of the operators' requests is too old to
/// start a task. The rest of the bound covers the call to the worker, which is answered within
/// 0.4 s or doesn't count, and pauses of the agent between its check and that call.
const LIMIT_PERCENT: u32 = 60;

/// Evacuation of availability zones on requests of operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationConfig {
    /// Time after an acknowledged request by which no task starts in the zone: key `bound`.
    pub bound: Duration,
}

impl EvacuationConfig {
    /// Takes the settings from the section `[evacuation]`; none without a bound.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem.
    pub fn take(document: &mut Document) -> Result<Option<Self>, ConfigError> {
        let mut section = document.take("evacuation");
        let time = duration(MAX_BOUND);
        let bound = section.take_with("bound", None, |text| time(text).map(Some))?;
        section.finish()?;
        Ok(bound.map(|bound| Self { bound }))
    }

    /// Age of a read of the operators' requests past which no task is started by it.
    pub fn age_limit(&self) -> Duration {
        self.bound * LIMIT_PERCENT / 100
    }
}
