//! Settings of one batch task: `/parsleytally/teams/{team}/batch/{name}`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::check::{at_least_one, class, duration, short};
use super::{ConfigError, Document};
use crate::types::{MilliCpu, Resources};

/// Longest declared run time.
const MAX_RUN_TIME: Duration = Duration::from_secs(30 * 24 * 3_600);
/// Longest command, in bytes.
const MAX_COMMAND_BYTES: usize = 4_096;

/// A batch task as its team declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchConfig {
    /// Declared need: keys `cpu` (thousandths), `memory` (such as `64MiB`), `accelerators`.
    pub need: Resources,
    /// Declared run time: key `run-time`, such as `90s`.
    pub run_time: Duration,
    /// Class that tasks of the same behaviour share: key `class`.
    pub class: String,
    /// Whether it goes before work that is not urgent: key `urgent`.
    pub urgent: bool,
    /// What the worker runs: key `command`, passed on unread.
    pub command: String,
}

impl Default for BatchConfig {
    fn default() -> Self {
        Self {
            need: Resources::new(100, 64 << 20, 0),
            run_time: Duration::from_secs(60),
            class: "default".to_owned(),
            urgent: false,
            command: String::new(),
        }
    }
}

impl BatchConfig {
    /// Parses a settings text with the one section `[task]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem; nothing is accepted in part.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let base = Self::default();
        let mut document = Document::parse(text)?;
        let mut task = document.take("task");
        let config = Self {
            need: Resources {
                cpu: MilliCpu(task.take_with("cpu", base.need.cpu.0, at_least_one)?),
                memory: task.take_or("memory", base.need.memory)?,
                accelerators: task.take_or("accelerators", base.need.accelerators)?,
            },
            run_time: task.take_with("run-time", base.run_time, duration(MAX_RUN_TIME))?,
            class: task.take_with("class", base.class, class)?,
            urgent: task.take_or("urgent", base.urgent)?,
            command: task.take_with("command", base.command, short(MAX_COMMAND_BYTES))?,
        };
        task.finish()?;
        document.finish()?;
        Ok(config)
    }
}
