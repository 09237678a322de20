//! Checks of a change against the rest of its team's settings.

use snafu::{ResultExt, Snafu, ensure};

use super::{Config, SettingPath};
use crate::configs::{BatchConfig, ConfigError, QuotaConfig};
use crate::types::Resources;

/// Settings that one team may have.
pub const MAX_TEAM_SETTINGS: usize = 10_000;

/// A change that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AcceptError {
    /// The text itself is not valid.
    #[snafu(display("{path}: {source}"))]
    Text {
        /// Place of the text.
        path: SettingPath,
        /// What is wrong with it.
        #[snafu(source(from(ConfigError, Box::new)))]
        source: Box<ConfigError>,
    },
    /// A task needs more than its team's quota, so that it could never run.
    #[snafu(display(
        "{path}: section [{section}]: need of {need} of {task} exceeds quota {limit}"
    ))]
    Quota {
        /// Place of the refused text.
        path: SettingPath,
        /// Section of the refused text.
        section: &'static str,
        /// Place of the task.
        task: Box<SettingPath>,
        /// Need of the task.
        need: Resources,
        /// Limit of the quota.
        limit: Resources,
    },
    /// The team has as many settings as it may have.
    #[snafu(display("{path}: the team already has {MAX_TEAM_SETTINGS} settings"))]
    TooMany {
        /// Place of the refused text.
        path: SettingPath,
    },
}

/// Checks that `text` may be set at `path`.
///
/// `team` yields the team's settings as they stand in the store. Those that are
/// not valid are left out of the comparison.
///
/// # Errors
///
/// Returns [`AcceptError`] for the first problem.
pub fn check_change<'a>(
    path: &SettingPath,
    text: &[u8],
    team: impl Iterator<Item = (SettingPath, &'a [u8])>,
) -> Result<Config, AcceptError> {
    let config = Config::parse(path, text).context(TextSnafu { path: path.clone() })?;
    let mut others = 0;
    for (other, text) in team.filter(|(other, _)| other != path) {
        others += 1;
        check_pair(path, &config, &other, text)?;
    }
    ensure!(
        others < MAX_TEAM_SETTINGS,
        TooManySnafu { path: path.clone() }
    );
    Ok(config)
}

/// Checks a new value against one that is there.
fn check_pair(
    path: &SettingPath,
    config: &Config,
    other: &SettingPath,
    text: &[u8],
) -> Result<(), AcceptError> {
    match (config, other) {
        (Config::Quota(quota), SettingPath::Batch(_)) => match BatchConfig::parse(text) {
            Ok(task) => check_quota(path, "quota", other, &task, quota),
            Err(_) => Ok(()),
        },
        (Config::Batch(task), SettingPath::Quota(_)) => match QuotaConfig::parse(text) {
            Ok(quota) => check_quota(path, "task", path, task, &quota),
            Err(_) => Ok(()),
        },
        _ => Ok(()),
    }
}

fn check_quota(
    path: &SettingPath,
    section: &'static str,
    task_path: &SettingPath,
    task: &BatchConfig,
    quota: &QuotaConfig,
) -> Result<(), AcceptError> {
    ensure!(
        task.need.fits(&quota.limit),
        QuotaSnafu {
            path: path.clone(),
            section,
            task: Box::new(task_path.clone()),
            need: task.need,
            limit: quota.limit,
        }
    );
    Ok(())
}
