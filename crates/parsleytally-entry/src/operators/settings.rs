//! Reading and changing settings over HTTP.
//!
//! A change is checked whole against its team's settings as they stand in the
//! store, and committed on condition that none of them has changed since. A
//! condition that failed because of another key of the team is tried again.

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

/// Tries of a change whose team's other settings keep changing.
const MAX_TRIES: u32 = 8;
/// Longest pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(50);
/// Time for which the outcome of a write whose answer was lost is sought.
pub(crate) const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a refused change may be tried again.
const RETRY_AFTER_SECS: &str = "2";

/// Serves `/v1/settings/`.
pub(crate) struct SettingsApi {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) writer: Writer,
    pub(crate) in_force: InForce,
    pub(crate) access: Access,
}

/// One try of a change.
enum Tried {
    /// It is answered.
    Done(Response),
    /// Another setting of the team has changed meanwhile.
    Again,
}

impl SettingsApi {
    pub(crate) async fn respond(&self, place: &str, request: Request) -> Response {
        let path = match SettingPath::parse(place) {
            Ok(path) => path,
            Err(error) => return text(StatusCode::NOT_FOUND, error.to_string()),
        };
        let (parts, body) = request.into_parts();
        let state = self.in_force.state();
        if let Err(denied) = self.access.check(&parts.headers, &path, &state.view) {
            return refuse_access(denied);
        }
        match parts.method {
            Method::GET => self.get(&path).await,
            Method::PUT => match read_body(body, MAX_CONFIG_BYTES).await {
                Ok(body) => self.change(&path, Some(&body), &parts.headers).await,
                Err(error) => text(StatusCode::PAYLOAD_TOO_LARGE, error.to_string()),
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

    /// Sets the text at `path`, or deletes it.
    async fn change(
        &self,
        path: &SettingPath,
        body: Option<&[u8]>,
        headers: &HeaderMap,
    ) -> Response {
        for _ in 0..MAX_TRIES {
            match self.try_change(path, body, headers).await {
                Ok(Tried::Done(response)) => return response,
                Ok(Tried::Again) => {}
                Err(error) => return unavailable(&error, Some("no")),
            }
            let pause = TRY_PAUSE.mul_f64(rand::rng().random());
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
    ) -> Result<Tried, StoreError> {
        let guard_key = path.guard_key();
        let guard = self.writer.guard(&guard_key).await?;
        let team = self.team_items(path).await?;
        let key = path.to_key();
        let current = team.iter().find(|item| item.key == key);
        let current = current.map(|item| item.revision);
        if !may_replace(headers, current) {
            return Ok(Tried::Done(lost_race()));
        }
        if let Some(body) = body
            && let Err(error) = check_change(path, body, settings(&team))
        {
            let refused = text(StatusCode::UNPROCESSABLE_ENTITY, error.to_string());
            return Ok(Tried::Done(refused));
        }
        if body.is_none() && current.is_none() {
            return Ok(Tried::Done(text(StatusCode::NOT_FOUND, "no such settings")));
        }
        let commit = commit(key, current, body);
        Ok(match self.writer.commit(&guard_key, &guard, commit).await {
            Verdict::Accepted(revision) => Tried::Done(accepted(revision)),
            Verdict::Refused => Tried::Again,
            Verdict::NotAccepted(error) => Tried::Done(unavailable(&error, Some("no"))),
            Verdict::Unknown(error) => Tried::Done(unavailable(&error, Some("unknown"))),
        })
    }

    /// The settings of the path's team as they stand in the store.
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
    let compare = match current {
        Some(revision) => Compare::Unchanged {
            key: key.clone(),
            revision,
        },
        None => Compare::Absent { key: key.clone() },
    };
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

fn may_replace(headers: &HeaderMap, current: Option<Revision>) -> bool {
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

fn lost_race() -> Response {
    text(
        StatusCode::PRECONDITION_FAILED,
        "accepted: no\nsettings were changed since",
    )
}

/// Answer while the store does not answer; `accepted` for a change.
fn unavailable(error: &StoreError, accepted: Option<&str>) -> Response {
    let body = match accepted {
        Some(accepted) => format!("accepted: {accepted}\n{error}"),
        None => error.to_string(),
    };
    retry_later(text(StatusCode::SERVICE_UNAVAILABLE, body))
}

fn retry_later(mut response: Response) -> Response {
    let after = HeaderValue::from_static(RETRY_AFTER_SECS);
    response.headers_mut().insert(header::RETRY_AFTER, after);
    response
}

fn refuse_access(denied: Denied) -> Response {
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
