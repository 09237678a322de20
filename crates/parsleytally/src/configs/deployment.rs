//! Settings of the whole deployment: `/parsleytally/deployment`.

use serde::{Deserialize, Serialize};

use super::{ConfigError, Document};

/// What the deployment's users weigh most.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeploymentConfig {
    /// Weight of services' tail latency: key `latency`.
    pub latency: f64,
    /// Weight of batch throughput: key `throughput`.
    pub throughput: f64,
    /// Weight of evictions avoided: key `evictions`.
    pub evictions: f64,
}

impl Default for DeploymentConfig {
    fn default() -> Self {
        Self {
            latency: 1.0,
            throughput: 1.0,
            evictions: 1.0,
        }
    }
}

impl DeploymentConfig {
    /// Parses a settings text with the one section `[weights]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem; nothing is accepted in part.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let base = Self::default();
        let mut document = Document::parse(text)?;
        let mut weights = document.take("weights");
        let config = Self {
            latency: weights.take_with("latency", base.latency, parse_weight)?,
            throughput: weights.take_with("throughput", base.throughput, parse_weight)?,
            evictions: weights.take_with("evictions", base.evictions, parse_weight)?,
        };
        weights.finish()?;
        document.finish()?;
        Ok(config)
    }
}

fn parse_weight(text: &str) -> Result<f64, String> {
    let weight: f64 = text.parse().map_err(|e| format!("{e}"))?;
    if !(0.0..=MAX_WEIGHT).contains(&weight) {
        return Err(format!("must be 0 to {MAX_WEIGHT}"));
    }
    Ok(weight)
}

/// Largest weight.
const MAX_WEIGHT: f64 = 1_000.0;
