//! One caller's request, its answer, and what the answer is worth.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use parsleytally_platform::process::http::read_body;
use serde_json::Value;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

/// Largest accepted answer, in bytes.
const ANSWER_LIMIT: usize = 4 << 20;
/// Idle connections to each address.
const IDLE_CONNECTIONS: usize = 4_096;

/// What a request does.
#[derive(Debug, Clone)]
pub(crate) enum Kind {
    /// An echo of the body after `service` milliseconds.
    Read { service: u64 },
    /// One booking under its own name.
    Book { key: Option<String> },
}

/// A request.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) address: SocketAddr,
    /// Whether it goes to an endpoint rather than to an entry.
    pub(crate) direct: bool,
    /// Unique in the run.
    pub(crate) token: String,
    pub(crate) kind: Kind,
    pub(crate) body: String,
    pub(crate) deadline: Duration,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Its own answer, whole.
    Answered,
    /// Another request's answer, or a part of its own.
    Crossed,
    /// Refused, and proven not to have run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Its idempotency key can't be used; what became of the key is unknown.
    Conflict,
    /// No answer came within the deadline and a grace.
    Unanswered,
}

/// Time past the deadline in which an answer must still come.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

#[derive(Clone)]
pub(crate) struct Caller {
    client: Client,
}

impl Caller {
    pub(crate) fn new() -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let mut builder = Client::builder();
        builder.set_max_idle_per_host(IDLE_CONNECTIONS);
        let client = builder.build()?;
        Ok(Self { client })
    }

    /// Sends `call` and judges its answer.
    pub(crate) async fn send(&self, call: &Call) -> Outcome {
        let limit = call.deadline + ANSWER_GRACE;
        let sent = tokio::time::timeout(limit, self.exchange(call)).await;
        match sent {
            Ok(Some((status, outcome, body))) => judge(call, status, &outcome, &body),
            Ok(None) => Outcome::Unknown,
            Err(_) => Outcome::Unanswered,
        }
    }

    /// Bookings that the endpoint at `address` counts under `token`.
    pub(crate) async fn booked(&self, address: SocketAddr, token: &str) -> Option<u64> {
        let uri = format!("http://{address}/echo/book/{token}");
        let response: Response = self.client.get(uri).send().await.ok()?;
        let (_, body) = response.into_parts();
        let body = read_body(body, ANSWER_LIMIT).await.ok()?;
        let answer: Value = serde_json::from_slice(&body).ok()?;
        answer["count"].as_u64()
    }

    async fn exchange(&self, call: &Call) -> Option<(StatusCode, String, Vec<u8>)> {
        let method = match call.kind {
            Kind::Read { .. } => Method::GET,
            Kind::Book { .. } => Method::POST,
        };
        let uri = format!("http://{}{}", call.address, path(call));
        let body = Body::from(call.body.clone());
        let mut request = self.client.request(method, uri).body(body);
        if !call.direct {
            let limit = format!("{}ms", call.deadline.as_millis());
            request = request.header("parsleytally-timeout", limit);
        }
        if let Kind::Book { key: Some(key) } = &call.kind {
            request = request.header("idempotency-key", key.as_str());
        }
        let response: Response = request.send().await.ok()?;
        let (parts, body) = response.into_parts();
        let body = read_body(body, ANSWER_LIMIT).await.ok()?;
        let outcome = parts.headers.get("parsleytally-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok());
        let outcome = outcome.unwrap_or_default().to_owned();
        Some((parts.status, outcome, body.to_vec()))
    }
}

fn path(call: &Call) -> String {
    let team = if call.direct { "" } else { "/demo" };
    let token = &call.token;
    match &call.kind {
        Kind::Read { service: 0 } => format!("{team}/echo/read/{token}"),
        Kind::Read { service } => format!("{team}/echo/sleep/{service}"),
        Kind::Book { .. } => format!("{team}/echo/book/{token}"),
    }
}

fn judge(call: &Call, status: StatusCode, outcome: &str, body: &[u8]) -> Outcome {
    match outcome {
        "not-run" => return Outcome::NotRun,
        "unknown" if status == StatusCode::CONFLICT => return Outcome::Conflict,
        "unknown" => return Outcome::Unknown,
        _ => {}
    }
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let is_own = match &call.kind {
        Kind::Read { .. } => answer["body"] == call.body.as_str(),
        Kind::Book { .. } => answer["key"] == call.token.as_str(),
    };
    match status == StatusCode::OK && is_own {
        true => Outcome::Answered,
        false => Outcome::Crossed,
    }
}
