//! Settings of the whole deployment: `/parsleytally/deployment`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ConfigError, Document};

/// Largest weight, and largest budget of evictions an hour.
const MAX_WEIGHT: f64 = 1_000.0;

/// Weights of the three measures and bounds of the reaction, from INI.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeploymentConfig {
    /// Weight of a second in which a service misses its target: `[weights] latency`.
    pub latency: f64,
    /// Weight of a second of batch work that is lost: `[weights] throughput`.
    pub throughput: f64,
    /// Weight of an eviction beside its lost work: `[weights] evictions`.
    pub evictions: f64,
    /// How services are protected: section `[reaction]`.
    pub reaction: ReactionConfig,
}

/// Thresholds and bounds of the controller of one worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReactionConfig {
    /// Strain at which runs are throttled: key `high`.
    pub high: f64,
    /// Strain that throttling aims at, and below which room is given back: key `low`.
    pub low: f64,
    /// Time between two changes on a worker, past the lag of measurements: key `settle`.
    pub settle: Duration,
    /// Time below `low` before room is given back: key `calm`.
    pub calm: Duration,
    /// Age past which a measurement changes nothing: key `stale`.
    pub stale: Duration,
    /// Share of a worker's memory in use at which runs are moved: key `memory`.
    pub memory: f64,
    /// Evictions and moves per worker and hour: key `budget`.
    pub budget: f64,
}

impl Default for DeploymentConfig {
    fn default() -> Self {
        Self {
            latency: 1.0,
            throughput: 1.0,
            evictions: 1.0,
            reaction: ReactionConfig::default(),
        }
    }
}

impl Default for ReactionConfig {
    fn default() -> Self {
        Self {
            high: 0.9,
            low: 0.75,
            settle: Duration::from_secs(60),
            calm: Duration::from_secs(120),
            stale: Duration::from_secs(60),
            memory: 0.93,
            budget: 4.0,
        }
    }
}

impl DeploymentConfig {
    /// Parses a settings text with the sections `[weights]` and `[reaction]`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem; nothing is accepted in part.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let base = Self::default();
        let mut document = Document::parse(text)?;
        let mut weights = document.take("weights");
        let mut reaction = document.take("reaction");
        let seconds = humantime::parse_duration;
        let old = base.reaction;
        let config = Self {
            latency: weights.take_with("latency", base.latency, weight)?,
            throughput: weights.take_with("throughput", base.throughput, weight)?,
            evictions: weights.take_with("evictions", base.evictions, weight)?,
            reaction: ReactionConfig {
                high: reaction.take_with("high", old.high, strain)?,
                low: reaction.take_with("low", old.low, strain)?,
                settle: reaction.take_with("settle", old.settle, seconds)?,
                calm: reaction.take_with("calm", old.calm, seconds)?,
                stale: reaction.take_with("stale", old.stale, seconds)?,
                memory: reaction.take_with("memory", old.memory, strain)?,
                budget: reaction.take_with("budget", old.budget, weight)?,
            },
        };
        check_order(&config.reaction)?;
        weights.finish()?;
        reaction.finish()?;
        document.finish()?;
        Ok(config)
    }
}

fn check_order(reaction: &ReactionConfig) -> Result<(), ConfigError> {
    if reaction.low < reaction.high {
        return Ok(());
    }
    Err(ConfigError::BadValue {
        section: "reaction".to_owned(),
        key: "low".to_owned(),
        value: reaction.low.to_string(),
        reason: format!("expected less than high, {}", reaction.high),
    })
}

fn weight(text: &str) -> Result<f64, String> {
    number(text, 0.0, MAX_WEIGHT)
}

fn strain(text: &str) -> Result<f64, String> {
    number(text, 0.01, 1.0)
}

fn number(text: &str, least: f64, most: f64) -> Result<f64, String> {
    let value = text.parse::<f64>().map_err(|e| e.to_string())?;
    let within = (least..=most).contains(&value);
    within
        .then_some(value)
        .ok_or_else(|| format!("expected {least} to {most}"))
}
