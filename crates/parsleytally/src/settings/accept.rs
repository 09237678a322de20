//! Checks a change of a text against the other settings of its team.

use snafu::{ResultExt, Snafu, ensure};

use super::{Config, SettingPath};
use crate::configs::{BatchConfig, ConfigError, QuotaConfig};
use crate::types::Resources;

/// Maximum number of settings texts of one team.
pub const MAX_TEAM_SETTINGS: usize = 10_000;

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AcceptError {
    /// The text itself is invalid.
    #[snafu(display("{path}: {source}"))]
    Text {
        /// Path of the text.
        path: SettingPath,
        /// First problem in the text.
        #[snafu(source(from(ConfigError, Box::new)))]
        source: Box<ConfigError>,
    },
    /// A task needs more than its team's quota and could never run.
    #[snafu(display(
        "{path}: section [{section}]: need of {need} of {task} exceeds quota {limit}"
    ))]
    Quota {
        /// Path of the refused text.
        path: SettingPath,
        /// Section of the refused text.
        section: &'static str,
        /// Path of the task.
        task: Box<SettingPath>,
        /// Resources that the task needs.
        need: Resources,
        /// Limit of the quota.
        limit: Resources,
    },
    /// The team already has [`MAX_TEAM_SETTINGS`] settings.
    #[snafu(display("{path}: the team already has {MAX_TEAM_SETTINGS} settings"))]
    TooMany {
        /// Path of the refused text.
        path: SettingPath,
    },
}

/// Checks that `text` may be set at `path`.
///
/// `team` yields the current texts of the team in the store; invalid ones are not
/// compared but count towards [`MAX_TEAM_SETTINGS`].
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

/// Checks the quota if one of the two settings is a quota and the other a task.
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
