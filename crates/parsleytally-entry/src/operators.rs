//! Operators' HTTP: settings, workers, tasks, status, health, metrics and spans.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use parsleytally::configs::MAX_CONFIG_BYTES;
use parsleytally::types::{Revision, TeamName};
use parsleytally_platform::process::http::{Answering, Handler, json, read_body, text};
use parsleytally_platform::process::spans;
use parsleytally_platform::store::{Commit, Compare, Item, Outcome, Store, StoreError, Write};
use serde_json::json as value;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::directory::DirectoryRing;
use crate::metrics::Metrics;
use crate::scheduler::SchedulerRing;
use crate::settings::{InForce, SettingsKey};

/// Answers operators.
pub(crate) struct Operators {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) directory: DirectoryRing,
    pub(crate) scheduler: SchedulerRing,
    pub(crate) in_force: InForce,
    pub(crate) metrics: Metrics,
    pub(crate) draining: Arc<AtomicBool>,
}

impl Operators {
    async fn respond(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        if let Some(place) = path.strip_prefix("/v1/settings/") {
            return self.settings(place, request).await;
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
        let revision = self.in_force.revision().0;
        let workers = self.directory.workers().await;
        let current = workers
            .iter()
            .filter(|worker| worker.settings >= revision)
            .count();
        let status = value!({
            "revision": revision,
            "agents": workers.len(),
            "agents_in_force": current,
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

    async fn settings(&self, place: &str, request: Request) -> Response {
        let key = match SettingsKey::parse(place) {
            Ok(key) => key,
            Err(error) => return text(StatusCode::NOT_FOUND, error.to_string()),
        };
        let (parts, body) = request.into_parts();
        match parts.method {
            Method::GET => self.get(&key).await,
            Method::PUT => match read_body(body, MAX_CONFIG_BYTES).await {
                Ok(body) => self.put(&key, &body, &parts.headers).await,
                Err(error) => text(StatusCode::PAYLOAD_TOO_LARGE, error.to_string()),
            },
            Method::DELETE => self.delete(&key, &parts.headers).await,
            _ => text(
                StatusCode::METHOD_NOT_ALLOWED,
                "expected GET, PUT or DELETE",
            ),
        }
    }

    async fn get(&self, key: &SettingsKey) -> Response {
        match self.read(key).await {
            Ok(Some(item)) => {
                let body = String::from_utf8_lossy(&item.value).into_owned();
                with_etag(text(StatusCode::OK, body), item.revision)
            }
            Ok(None) => text(StatusCode::NOT_FOUND, "no such settings"),
            Err(error) => text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    async fn put(&self, key: &SettingsKey, body: &[u8], headers: &HeaderMap) -> Response {
        if let Err(error) = key.check(body) {
            return text(StatusCode::UNPROCESSABLE_ENTITY, format!("{key}: {error}"));
        }
        let write = Write::Put {
            key: key.to_string(),
            value: body.to_vec(),
            lease: None,
        };
        self.write(key, write, headers).await
    }

    async fn delete(&self, key: &SettingsKey, headers: &HeaderMap) -> Response {
        self.write(
            key,
            Write::Delete {
                key: key.to_string(),
            },
            headers,
        )
        .await
    }

    async fn write(&self, key: &SettingsKey, write: Write, headers: &HeaderMap) -> Response {
        let current = match self.read(key).await {
            Ok(item) => item.map(|item| item.revision),
            Err(error) => return not_accepted(&error, "no"),
        };
        if !may_replace(headers, current) {
            return text(
                StatusCode::PRECONDITION_FAILED,
                "settings were changed since",
            );
        }
        let key = key.to_string();
        let compare = match current {
            Some(revision) => Compare::Unchanged { key, revision },
            None => Compare::Absent { key },
        };
        let commit = Commit {
            compares: vec![compare],
            writes: vec![write],
        };
        match self.store.commit(commit).await {
            Ok(Outcome::Committed(revision)) => {
                with_etag(text(StatusCode::OK, "accepted"), revision)
            }
            Ok(Outcome::Conflict(_)) => text(
                StatusCode::PRECONDITION_FAILED,
                "settings were changed meanwhile",
            ),
            Err(error) if error.is_unknown() => not_accepted(&error, "unknown"),
            Err(error) => not_accepted(&error, "no"),
        }
    }

    async fn read(&self, key: &SettingsKey) -> Result<Option<Item>, StoreError> {
        let key = key.to_string();
        let snapshot = self.store.range(&key).await?;
        Ok(snapshot.items.into_iter().find(|item| item.key == key))
    }
}

impl Handler for Operators {
    fn answer(&self, request: Request) -> Answering<'_> {
        Box::pin(self.respond(request))
    }
}

fn etag(revision: Revision) -> String {
    format!("\"{revision}\"")
}

fn with_etag(mut response: Response, revision: Revision) -> Response {
    if let Ok(value) = HeaderValue::from_str(&etag(revision)) {
        response.headers_mut().insert(header::ETAG, value);
    }
    response
}

fn may_replace(headers: &HeaderMap, current: Option<Revision>) -> bool {
    let Some(expected) = headers.get(header::IF_MATCH) else {
        return true;
    };
    current.is_some_and(|revision| expected.as_bytes() == etag(revision).as_bytes())
}

fn not_accepted(error: &StoreError, accepted: &str) -> Response {
    let body = format!("accepted: {accepted}\n{error}");
    text(StatusCode::SERVICE_UNAVAILABLE, body)
}
