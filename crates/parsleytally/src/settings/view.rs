//! Parsed settings in force, by kind.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::SettingPath;
use crate::configs::{
    BatchConfig, ConfigError, DeploymentConfig, QuotaConfig, ServiceConfig, TokenConfig,
};
use crate::types::{ServiceKey, TaskKey, TeamName};

/// One parsed settings text.
#[derive(Debug, Clone, PartialEq)]
pub enum Config {
    /// Settings of the deployment.
    Deployment(DeploymentConfig),
    /// Settings of a service.
    Service(ServiceConfig),
    /// Settings of a batch task.
    Batch(BatchConfig),
    /// A team's quota.
    Quota(QuotaConfig),
    /// A team's bearer tokens.
    Token(TokenConfig),
}

impl Config {
    /// Parses `text` as the kind of settings at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first problem.
    pub fn parse(path: &SettingPath, text: &[u8]) -> Result<Self, ConfigError> {
        Ok(match path {
            SettingPath::Deployment => Self::Deployment(DeploymentConfig::parse(text)?),
            SettingPath::Service(_) => Self::Service(ServiceConfig::parse(text)?),
            SettingPath::Batch(_) => Self::Batch(BatchConfig::parse(text)?),
            SettingPath::Quota(_) => Self::Quota(QuotaConfig::parse(text)?),
            SettingPath::Token(_) => Self::Token(TokenConfig::parse(text)?),
        })
    }
}

/// All settings in force; cloning shares the maps.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// Settings of the deployment.
    pub deployment: DeploymentConfig,
    /// Services of all teams.
    pub services: Arc<BTreeMap<ServiceKey, ServiceConfig>>,
    /// Batch tasks of all teams.
    pub tasks: Arc<BTreeMap<TaskKey, BatchConfig>>,
    /// Quotas of the teams that have one.
    pub quotas: Arc<BTreeMap<TeamName, QuotaConfig>>,
    /// Bearer tokens of the teams that have them.
    pub tokens: Arc<BTreeMap<TeamName, TokenConfig>>,
}

impl View {
    pub(super) fn set(&mut self, path: &SettingPath, config: Config) {
        match (path, config) {
            (SettingPath::Service(key), Config::Service(config)) => {
                Arc::make_mut(&mut self.services).insert(key.clone(), config);
            }
            (SettingPath::Batch(key), Config::Batch(config)) => {
                Arc::make_mut(&mut self.tasks).insert(key.clone(), config);
            }
            (SettingPath::Quota(team), Config::Quota(config)) => {
                Arc::make_mut(&mut self.quotas).insert(team.clone(), config);
            }
            (SettingPath::Token(team), Config::Token(config)) => {
                Arc::make_mut(&mut self.tokens).insert(team.clone(), config);
            }
            (_, Config::Deployment(config)) => self.deployment = config,
            (path, config) => debug_assert!(false, "{config:?} does not match path {path}"),
        }
    }

    pub(super) fn remove(&mut self, path: &SettingPath) {
        match path {
            SettingPath::Deployment => self.deployment = DeploymentConfig::default(),
            SettingPath::Service(key) => {
                Arc::make_mut(&mut self.services).remove(key);
            }
            SettingPath::Batch(key) => {
                Arc::make_mut(&mut self.tasks).remove(key);
            }
            SettingPath::Quota(team) => {
                Arc::make_mut(&mut self.quotas).remove(team);
            }
            SettingPath::Token(team) => {
                Arc::make_mut(&mut self.tokens).remove(team);
            }
        }
    }
}
