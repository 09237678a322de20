//! Quota of one team: `/parsleytally/teams/{team}/quota`.

use serde::{Deserialize, Serialize};

use super::check::at_least_one;
use super::{ConfigError, Document};
use crate::types::{MilliCpu, Resources};

/// What the running batch tasks of one team may take together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaConfig {
    /// Upper bound: keys `cpu` (thousandths), `memory` (such as `64GiB`), `accelerators`.
    pub limit: Resources,
    /// Share against other teams when workers are short: key `weight`.
    pub weight: u32,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self {
            limit: Resources::new(u64::MAX, u64::MAX, u32::MAX),
            weight: 1,
        }
    }
}

impl QuotaConfig {
    /// Parses a settings text with the one section `[quota]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem; nothing is accepted in part.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let base = Self::default();
        let mut document = Document::parse(text)?;
        let mut quota = document.take("quota");
        let config = Self {
            limit: Resources {
                cpu: MilliCpu(quota.take_or("cpu", base.limit.cpu.0)?),
                memory: quota.take_or("memory", base.limit.memory)?,
                accelerators: quota.take_or("accelerators", base.limit.accelerators)?,
            },
            weight: quota.take_with("weight", base.weight, at_least_one)?,
        };
        quota.finish()?;
        document.finish()?;
        Ok(config)
    }
}
