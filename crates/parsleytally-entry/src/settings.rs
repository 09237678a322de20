//! The duty that follows the settings in the platform's store.
//!
//! A thread reads all settings once, then applies the changes that its watch
//! reports. A value that is not valid is counted and kept out of force.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use derive_more::{Display, Error};
use parsleytally::configs::{BatchConfig, ConfigError, QuotaConfig, ServiceConfig};
use parsleytally::types::{Revision, ServiceName, TaskKey, TaskName, TeamName};
use parsleytally_platform::store::{Change, Item, Store, StoreError};
use tokio_util::sync::CancellationToken;

use crate::directory::{DirectoryRing, Input as DirectoryInput};
use crate::metrics::Metrics;
use crate::scheduler::{Input as SchedulerInput, SchedulerRing};

/// Prefix of all teams' settings in the store.
pub(crate) const TEAMS_PREFIX: &str = "/parsleytally/teams/";
/// Wait before the store is asked again after a failure.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// What a settings key describes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A latency-critical service.
    Service(ServiceName),
    /// A batch task.
    Batch(TaskName),
    /// The team's quota.
    Quota,
}

/// A key of a team's subtree.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{TEAMS_PREFIX}{team}/{}", place(kind))]
pub(crate) struct SettingsKey {
    pub(crate) team: TeamName,
    pub(crate) kind: Kind,
}

/// A path that names no settings.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "path {path:?} names no settings: expected TEAM/services/NAME, TEAM/batch/NAME or TEAM/quota"
)]
pub(crate) struct InvalidPath {
    path: String,
}

fn place(kind: &Kind) -> String {
    match kind {
        Kind::Service(name) => format!("services/{name}"),
        Kind::Batch(name) => format!("batch/{name}"),
        Kind::Quota => "quota".to_owned(),
    }
}

impl SettingsKey {
    /// Reads `TEAM/services/NAME`, `TEAM/batch/NAME` or `TEAM/quota`.
    pub(crate) fn parse(path: &str) -> Result<Self, InvalidPath> {
        Self::parse_parts(path).ok_or_else(|| InvalidPath {
            path: path.to_owned(),
        })
    }

    fn parse_parts(path: &str) -> Option<Self> {
        let mut parts = path.split('/');
        let team = TeamName::new(parts.next()?).ok()?;
        let kind = match (parts.next()?, parts.next()) {
            ("services", Some(name)) => Kind::Service(ServiceName::new(name).ok()?),
            ("batch", Some(name)) => Kind::Batch(TaskName::new(name).ok()?),
            ("quota", None) => Kind::Quota,
            _ => return None,
        };
        parts.next().is_none().then_some(Self { team, kind })
    }

    /// Checks `text` as a value of this key.
    pub(crate) fn check(&self, text: &[u8]) -> Result<(), ConfigError> {
        match self.kind {
            Kind::Service(_) => ServiceConfig::parse(text).map(drop),
            Kind::Batch(_) => BatchConfig::parse(text).map(drop),
            Kind::Quota => QuotaConfig::parse(text).map(drop),
        }
    }
}

/// The duty.
#[derive(Debug)]
pub(crate) struct Settings {
    revision: Arc<AtomicU64>,
    stop: CancellationToken,
    thread: thread::JoinHandle<()>,
}

/// Revision in force at this entry.
#[derive(Debug, Clone)]
pub(crate) struct InForce(Arc<AtomicU64>);

impl InForce {
    pub(crate) fn revision(&self) -> Revision {
        Revision(self.0.load(Ordering::SeqCst))
    }
}

impl Settings {
    pub(crate) fn start(
        store: Arc<dyn Store>,
        directory: DirectoryRing,
        scheduler: SchedulerRing,
        metrics: Metrics,
    ) -> std::io::Result<Self> {
        let revision = Arc::new(AtomicU64::new(0));
        let stop = CancellationToken::new();
        let duty = Duty {
            store,
            directory,
            scheduler,
            metrics,
            revision: revision.clone(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let stopped = stop.clone();
        let thread = thread::Builder::new()
            .name("settings".to_owned())
            .spawn(move || {
                runtime.block_on(stopped.run_until_cancelled(duty.run()));
            })?;
        Ok(Self {
            revision,
            stop,
            thread,
        })
    }

    pub(crate) fn in_force(&self) -> InForce {
        InForce(self.revision.clone())
    }

    /// Ends the duty.
    pub(crate) fn close(self) {
        self.stop.cancel();
        let _ = self.thread.join();
    }
}

struct Duty {
    store: Arc<dyn Store>,
    directory: DirectoryRing,
    scheduler: SchedulerRing,
    metrics: Metrics,
    revision: Arc<AtomicU64>,
}

impl Duty {
    async fn run(self) {
        loop {
            if let Err(error) = self.follow().await {
                log::warn!("settings are not followed: {error}");
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
    }

    async fn follow(&self) -> Result<(), StoreError> {
        let snapshot = self.store.range(TEAMS_PREFIX).await?;
        for item in &snapshot.items {
            self.put(item);
        }
        self.advance(snapshot.revision);
        let mut watch = self.store.watch(TEAMS_PREFIX, snapshot.revision).await?;
        loop {
            let changes = watch.next().await?;
            for change in &changes.changes {
                self.apply(change);
            }
            self.advance(changes.revision);
        }
    }

    fn apply(&self, change: &Change) {
        match change {
            Change::Put(item) => self.put(item),
            Change::Delete { key, .. } => self.delete(key),
        }
    }

    fn put(&self, item: &Item) {
        let Some(key) = self.key(&item.key) else {
            return;
        };
        if let Err(error) = key.check(&item.value) {
            self.metrics.bad_settings.inc();
            log::warn!("{key} is kept out of force: {error}");
            return;
        }
        if let (Some(task), Ok(config)) = (task_key(&key), BatchConfig::parse(&item.value)) {
            self.scheduler.send(SchedulerInput::Declared(task, config));
        }
    }

    fn delete(&self, key: &str) {
        let task = self.key(key).as_ref().and_then(task_key);
        if let Some(task) = task {
            self.scheduler.send(SchedulerInput::Deleted(task));
        }
    }

    fn key(&self, key: &str) -> Option<SettingsKey> {
        let path = key.strip_prefix(TEAMS_PREFIX)?;
        match SettingsKey::parse(path) {
            Ok(key) => Some(key),
            Err(error) => {
                self.metrics.bad_settings.inc();
                log::warn!("key in the store is left out: {error}");
                None
            }
        }
    }

    fn advance(&self, revision: Revision) {
        self.revision.fetch_max(revision.0, Ordering::SeqCst);
        self.metrics
            .revision
            .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
        self.directory.send(DirectoryInput::Settings(revision));
    }
}

fn task_key(key: &SettingsKey) -> Option<TaskKey> {
    let Kind::Batch(task) = &key.kind else {
        return None;
    };
    Some(TaskKey {
        team: key.team.clone(),
        task: task.clone(),
    })
}
