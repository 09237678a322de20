//! Paths of settings in the store and in operators' URLs.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::types::{ServiceKey, ServiceName, TaskKey, TaskName, TeamName};

/// Prefix of all settings in the store.
pub const SETTINGS_PREFIX: &str = "/parsleytally/teams/";
/// Prefix of the keys that log the writes to each team's settings.
pub const WRITES_PREFIX: &str = "/parsleytally/writes/";
/// Path of the deployment's settings; not a valid team name.
pub const DEPLOYMENT: &str = "_deployment";

/// Path of one settings text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum SettingPath {
    /// The whole deployment.
    #[display("{DEPLOYMENT}")]
    Deployment,
    /// A service of a team.
    #[display("{}/services/{}", _0.team, _0.service)]
    Service(ServiceKey),
    /// A batch task of a team.
    #[display("{}/batch/{}", _0.team, _0.task)]
    Batch(TaskKey),
    /// A team's quota.
    #[display("{_0}/quota")]
    Quota(TeamName),
    /// A team's bearer tokens.
    #[display("{_0}/token")]
    Token(TeamName),
}

/// A path that names no settings.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "path {path:?} names no settings: expected TEAM/services/NAME, TEAM/batch/NAME, TEAM/quota, \
     TEAM/token or {DEPLOYMENT}"
)]
pub struct InvalidPath {
    path: String,
}

impl SettingPath {
    /// Parses a path relative to [`SETTINGS_PREFIX`], such as `demo/batch/count`.
    ///
    /// The path is neither unescaped nor normalized: an escaped character, an empty
    /// segment or `..` makes it invalid.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidPath`] if the path names no settings.
    pub fn parse(path: &str) -> Result<Self, InvalidPath> {
        parse(path).ok_or_else(|| InvalidPath {
            path: path.chars().take(MAX_SHOWN_CHARS).collect(),
        })
    }

    /// Parses a key of the store.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidPath`] if the path names no settings.
    pub fn from_key(key: &str) -> Result<Self, InvalidPath> {
        match key.strip_prefix(SETTINGS_PREFIX) {
            Some(path) => Self::parse(path),
            None => Self::parse(key),
        }
    }

    /// The key in the store.
    pub fn to_key(&self) -> String {
        format!("{SETTINGS_PREFIX}{self}")
    }

    /// The team that the settings belong to; `None` for the deployment.
    pub fn team(&self) -> Option<&TeamName> {
        match self {
            Self::Deployment => None,
            Self::Service(key) => Some(&key.team),
            Self::Batch(key) => Some(&key.team),
            Self::Quota(team) | Self::Token(team) => Some(team),
        }
    }

    /// Key of the write log that every write to the same team's settings extends.
    pub fn guard_key(&self) -> String {
        let team = self.team().map_or(DEPLOYMENT, TeamName::as_str);
        format!("{WRITES_PREFIX}{team}/log")
    }
}

/// Maximum characters of an invalid path in its error message.
const MAX_SHOWN_CHARS: usize = 200;

fn parse(path: &str) -> Option<SettingPath> {
    if path == DEPLOYMENT {
        return Some(SettingPath::Deployment);
    }
    let mut segments = path.split('/');
    let team = TeamName::new(segments.next()?).ok()?;
    let parsed = match (segments.next()?, segments.next()) {
        ("services", Some(name)) => {
            let service = ServiceName::new(name).ok()?;
            SettingPath::Service(ServiceKey { team, service })
        }
        ("batch", Some(name)) => {
            let task = TaskName::new(name).ok()?;
            SettingPath::Batch(TaskKey { team, task })
        }
        ("quota", None) => SettingPath::Quota(team),
        ("token", None) => SettingPath::Token(team),
        _ => return None,
    };
    segments.next().is_none().then_some(parsed)
}
