//! HTTP server for operators: settings, workers, tasks, status, health, metrics and spans.

mod access;
mod settings;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::StatusCode;
use parsleytally::types::TeamName;
use parsleytally_platform::process::http::{Answering, Handler, json, text};
use parsleytally_platform::process::spans;
use serde_json::json as value;
use volo_http::request::Request;
use volo_http::response::Response;

pub(crate) use access::Access;
pub(crate) use settings::{OUTCOME_TIMEOUT, SettingsApi};

use crate::directory::DirectoryHandle;
use crate::metrics::Metrics;
use crate::scheduler::SchedulerHandle;
use crate::settings::InForce;

/// Maximum number of agents behind the revision in force that the status lists.
const MAX_BEHIND_LISTED: usize = 20;

/// Serves operators' requests.
pub(crate) struct Operators {
    pub(crate) settings: SettingsApi,
    pub(crate) directory: DirectoryHandle,
    pub(crate) scheduler: SchedulerHandle,
    pub(crate) in_force: InForce,
    pub(crate) metrics: Metrics,
    pub(crate) draining: Arc<AtomicBool>,
}

impl Operators {
    async fn respond(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        if let Some(setting) = path.strip_prefix("/v1/settings/") {
            return self.settings.respond(setting, request).await;
        }
        if let Some(tasks) = path.strip_prefix("/v1/tasks/") {
            return self.tasks(tasks).await;
        }
        match path.as_str() {
            "/healthz" => text(StatusCode::OK, "ok"),
            "/readyz" if self.draining.load(Ordering::SeqCst) => {
                text(StatusCode::SERVICE_UNAVAILABLE, "draining")
            }
            "/readyz" => text(StatusCode::OK, "ready"),
            "/metrics" => text(StatusCode::OK, self.metrics.text()),
            "/v1/workers" => json(StatusCode::OK, &self.directory.workers().await),
            "/v1/status" => self.status().await,
            "/v1/spans" => json(StatusCode::OK, &spans::latest()),
            _ => text(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    async fn status(&self) -> Response {
        let state = self.in_force.state();
        let revision = state.revision.0;
        let workers = self.directory.workers().await;
        let current = workers
            .iter()
            .filter(|worker| worker.settings >= revision)
            .count();
        let behind = workers
            .iter()
            .filter(|worker| worker.settings < revision)
            .take(MAX_BEHIND_LISTED);
        let behind: Vec<_> = behind
            .map(|worker| value!({"worker": worker.worker, "revision": worker.settings}))
            .collect();
        let peers: Vec<_> = state
            .peers
            .iter()
            .map(|(entry, revision)| value!({"entry": entry, "revision": revision.0}))
            .collect();
        let peers_current = state.peers.values().filter(|at| at.0 >= revision).count();
        let bad: Vec<_> = state
            .bad
            .iter()
            .map(|(key, reason)| value!({"key": key, "reason": reason}))
            .collect();
        let status = value!({
            "revision": revision,
            "confirmed": self.in_force.is_confirmed(),
            "agents": workers.len(),
            "agents_in_force": current,
            "agents_behind": behind,
            "entries": peers,
            "entries_in_force": peers_current,
            "bad_settings": bad,
            "open": self.settings.access.is_open(),
        });
        json(StatusCode::OK, &status)
    }

    async fn tasks(&self, path: &str) -> Response {
        let (team, task) = match path.split_once('/') {
            Some((team, task)) => (team, Some(task)),
            None => (path, None),
        };
        let Ok(team) = TeamName::new(team) else {
            return text(StatusCode::NOT_FOUND, "no such team");
        };
        let tasks = self.scheduler.tasks(&team).await;
        let Some(task) = task else {
            return json(StatusCode::OK, &tasks);
        };
        match tasks.iter().find(|view| view.task == task) {
            Some(view) => json(StatusCode::OK, view),
            None => text(StatusCode::NOT_FOUND, "no such task"),
        }
    }
}

impl Handler for Operators {
    fn answer(&self, request: Request) -> Answering<'_> {
        Box::pin(self.respond(request))
    }
}
