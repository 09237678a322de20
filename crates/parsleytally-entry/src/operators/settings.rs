//! Reading and changing settings over HTTP.
//!
//! A change is validated against all settings of its team in the store, and committed
//! only if none of them has changed since they were read. If one has, the change is
//! validated and committed again.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use parsleytally::configs::MAX_CONFIG_BYTES;
use parsleytally::settings::{SETTINGS_PREFIX, SettingPath, check_change};
use parsleytally::types::Revision;
use parsleytally_platform::process::http::{read_body, text};
use parsleytally_platform::store::{
    Commit, Compare, Item, Store, StoreError, Verdict, Write, Writer,
};
use rand::Rng;
use volo_http::request::Request;
use volo_http::response::Response;

use super::access::{Access, Denied};
use crate::settings::InForce;

/// Attempts at a change while other settings of its team keep changing.
const MAX_ATTEMPTS: u32 = 8;
/// Longest pause between two attempts; the pause is random up to this.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest time spent on finding out the outcome of a write whose answer was lost.
pub(crate) const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
/// `Retry-After` of answers with status 503, in seconds.
const RETRY_AFTER_SECS: &str = "2";

/// HTTP API under `/v1/settings/`.
pub(crate) struct SettingsApi {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) writer: Writer,
    pub(crate) in_force: InForce,
    pub(crate) access: Access,
}

/// Result of one attempt at a change.
enum ChangeAttempt {
    /// The change is accepted, refused or failed.
    Done(Response),
    /// A setting of the team changed since it was read.
    Retry,
}

impl SettingsApi {
    pub(crate) async fn respond(&self, setting: &str, request: Request) -> Response {
        let path = match SettingPath::parse(setting) {
            Ok(path) => path,
            Err(error) => return text(StatusCode::NOT_FOUND, error.to_string()),
        };
        let (parts, body) = request.into_parts();
        let state = self.in_force.state();
        if let Err(denied) = self.access.check(&parts.headers, &path, &state.view) {
            return access_denied(denied);
        }
        match parts.method {
            Method::GET => self.get(&path).await,
            Method::PUT => match read_body(body, MAX_CONFIG_BYTES).await {
                Ok(body) => self.change(&path, Some(&body), &parts.headers).await,
                Err(error) => text(error.status(), error.to_string()),
            },
            Method::DELETE => self.change(&path, None, &parts.headers).await,
            _ => text(
                StatusCode::METHOD_NOT_ALLOWED,
                "expected GET, PUT or DELETE",
            ),
        }
    }

    async fn get(&self, path: &SettingPath) -> Response {
        let key = path.to_key();
        let snapshot = match self.store.range(&key).await {
            Ok(snapshot) => snapshot,
            Err(error) => return unavailable(&error, None),
        };
        match snapshot.item(&key) {
            Some(item) => {
                let body = String::from_utf8_lossy(&item.value).into_owned();
                with_etag(text(StatusCode::OK, body), item.revision)
            }
            None => text(StatusCode::NOT_FOUND, "no such settings"),
        }
    }

    /// Writes `body` at `path`, or deletes the setting if there is none.
    async fn change(
        &self,
        path: &SettingPath,
        body: Option<&[u8]>,
        headers: &HeaderMap,
    ) -> Response {
        for _ in 0..MAX_ATTEMPTS {
            match self.try_change(path, body, headers).await {
                Ok(ChangeAttempt::Done(response)) => return response,
                Ok(ChangeAttempt::Retry) => {}
                Err(error) => return unavailable(&error, Some("no")),
            }
            let pause = MAX_RETRY_PAUSE.mul_f64(rand::rng().random());
            tokio::time::sleep(pause).await;
        }
        let reason = "accepted: no\nthe team's settings keep changing";
        retry_later(text(StatusCode::SERVICE_UNAVAILABLE, reason))
    }

    async fn try_change(
        &self,
        path: &SettingPath,
        body: Option<&[u8]>,
        headers: &HeaderMap,
    ) -> Result<ChangeAttempt, StoreError> {
        let guard_key = path.guard_key();
        let guard = self.writer.guard(&guard_key).await?;
        let team = self.team_items(path).await?;
        let key = path.to_key();
        let current = team.iter().find(|item| item.key == key);
        let current = current.map(|item| item.revision);
        if !precondition_holds(headers, current) {
            return Ok(ChangeAttempt::Done(precondition_failed()));
        }
        if let Some(body) = body
            && let Err(error) = check_change(path, body, settings(&team))
        {
            let response = text(StatusCode::UNPROCESSABLE_ENTITY, error.to_string());
            return Ok(ChangeAttempt::Done(response));
        }
        if body.is_none() && current.is_none() {
            return Ok(ChangeAttempt::Done(text(
                StatusCode::NOT_FOUND,
                "no such settings",
            )));
        }
        let commit = commit(key, current, body);
        Ok(match self.writer.commit(&guard_key, &guard, commit).await {
            Verdict::Accepted(revision) => ChangeAttempt::Done(accepted(revision)),
            Verdict::Refused => ChangeAttempt::Retry,
            Verdict::NotAccepted(error) => ChangeAttempt::Done(unavailable(&error, Some("no"))),
            Verdict::Unknown(error) => ChangeAttempt::Done(unavailable(&error, Some("unknown"))),
        })
    }

    /// Reads all settings of the path's team from the store.
    async fn team_items(&self, path: &SettingPath) -> Result<Vec<Item>, StoreError> {
        let prefix = match path.team() {
            Some(team) => format!("{SETTINGS_PREFIX}{team}/"),
            None => path.to_key(),
        };
        Ok(self.store.range(&prefix).await?.items)
    }
}

fn settings(items: &[Item]) -> impl Iterator<Item = (SettingPath, &[u8])> {
    items.iter().filter_map(|item| {
        let path = SettingPath::from_key(&item.key).ok()?;
        Some((path, item.value.as_slice()))
    })
}

fn commit(key: String, current: Option<Revision>, body: Option<&[u8]>) -> Commit {
    let compare = Compare::unchanged(&key, current);
    let write = match body {
        Some(body) => Write::Put {
            key,
            value: body.to_vec(),
            lease: None,
        },
        None => Write::Delete { key },
    };
    Commit {
        compares: vec![compare],
        writes: vec![write],
    }
}

fn precondition_holds(headers: &HeaderMap, current: Option<Revision>) -> bool {
    if headers.contains_key(header::IF_NONE_MATCH) && current.is_some() {
        return false;
    }
    let Some(expected) = headers.get(header::IF_MATCH) else {
        return true;
    };
    current.is_some_and(|revision| expected.as_bytes() == etag(revision).as_bytes())
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

fn accepted(revision: Option<Revision>) -> Response {
    let response = text(StatusCode::OK, "accepted: yes");
    match revision {
        Some(revision) => with_etag(response, revision),
        None => response,
    }
}

fn precondition_failed() -> Response {
    text(
        StatusCode::PRECONDITION_FAILED,
        "accepted: no\nsettings were changed since",
    )
}

/// Answer to a request that failed in the store; `accepted` is set for changes only.
fn unavailable(error: &StoreError, accepted: Option<&str>) -> Response {
    let body = match accepted {
        Some(accepted) => format!("accepted: {accepted}\n{error}"),
        None => error.to_string(),
    };
    retry_later(text(StatusCode::SERVICE_UNAVAILABLE, body))
}

fn retry_later(mut response: Response) -> Response {
    let delay = HeaderValue::from_static(RETRY_AFTER_SECS);
    response.headers_mut().insert(header::RETRY_AFTER, delay);
    response
}

fn access_denied(denied: Denied) -> Response {
    match denied {
        Denied::Missing => {
            let mut response = text(StatusCode::UNAUTHORIZED, "a bearer token is needed");
            let scheme = HeaderValue::from_static("Bearer");
            response
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, scheme);
            response
        }
        Denied::Wrong => text(
            StatusCode::FORBIDDEN,
            "the token does not reach these settings",
        ),
    }
}
