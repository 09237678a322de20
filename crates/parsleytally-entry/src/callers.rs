//! HTTP server for callers: forwards `/{team}/{service}/…` to an endpoint of the service,
//! whatever the method.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use parsleytally::configs::RetryConfig;
use parsleytally::idempotency::{KeyHash, MAX_KEY_BYTES};
use parsleytally::retry::{Outcome, is_idempotent};
use parsleytally::types::{Incarnation, ServiceKey, ServiceName, TeamName};
use parsleytally_link::{Answer, Header};
use parsleytally_platform::process::Clock;
use parsleytally_platform::process::end_to_end;
use parsleytally_platform::process::http::{Answering, BodyError, Handler, json, read_body};
use parsleytally_platform::process::spans;
use parsleytally_platform::process::spans::{FutureExt, Span, SpanContext};
use serde::Serialize;
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::attempts::{Attempts, OutgoingRequest, SendError};
use crate::directory::{DirectoryHandle, PickError};
use crate::metrics::Metrics;

/// Largest accepted body of a request.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Default and upper bound of a request's time limit.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(10);
/// Response header: whether a failed request ran.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("parsleytally-outcome");
/// Request header: the caller's own time limit, such as `250ms`.
const TIMEOUT_HEADER: &str = "parsleytally-timeout";
/// Request header: `true` if the request may not run twice, whatever its method.
const ONCE_HEADER: &str = "parsleytally-once";
/// Request header: the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Serves callers' requests.
pub(crate) struct Callers {
    attempts: Attempts,
    metrics: Metrics,
    in_flight: AtomicUsize,
    draining: Arc<AtomicBool>,
}

/// Answer to a failed request.
#[derive(Debug, Serialize)]
struct Problem {
    #[serde(skip)]
    status: StatusCode,
    #[serde(skip)]
    retry_after: Option<Duration>,
    outcome: &'static str,
    reason: String,
}

impl Problem {
    fn not_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            retry_after: None,
            outcome: "not-run",
            reason: reason.into(),
        }
    }

    fn unknown(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            retry_after: None,
            outcome: "unknown",
            reason: reason.into(),
        }
    }

    fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    fn into_response(self) -> Response {
        let mut response = json(self.status, &self);
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome));
        if let Some(span) = self.retry_after {
            headers.insert(http::header::RETRY_AFTER, ceil_seconds(span).into());
        }
        response
    }
}

impl Callers {
    pub(crate) fn new(
        directory: DirectoryHandle,
        retry: RetryConfig,
        metrics: Metrics,
        draining: Arc<AtomicBool>,
    ) -> Self {
        let Incarnation(seed) = Clock::incarnation();
        Self {
            attempts: Attempts::new(directory, retry, seed),
            metrics,
            in_flight: AtomicUsize::new(0),
            draining,
        }
    }

    /// Requests that have not been answered yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    async fn respond(&self, request: Request, span: Span) -> Response {
        let _in_flight = InFlight::enter(self);
        let start = Instant::now();
        let result = self.forward(request, &span).await;
        self.metrics.latency.observe(start.elapsed().as_secs_f64());
        let (label, mut response) = match result {
            Ok(answer) => ("answered", into_response(answer)),
            Err(problem) => (problem.outcome, problem.into_response()),
        };
        self.metrics.requests.with_label_values(&[label]).inc();
        if self.draining.load(Ordering::SeqCst) {
            // Makes the caller reconnect, so that its next request goes to another entry.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn forward(&self, request: Request, span: &Span) -> Result<Answer, Problem> {
        let (parts, body) = request.into_parts();
        let (service, path) = split_path(&parts.uri)?;
        let limit = time_limit_of(&parts.headers)?;
        let start = Instant::now();
        let body = read_within(body, limit).await?;
        let link_span = Span::enter_with_parent("entry.link", span);
        let trace = SpanContext::from_span(&link_span)
            .map(|context| context.encode_w3c_traceparent())
            .unwrap_or_default();
        let idempotent = is_request_idempotent(&parts.method, &parts.headers);
        let outgoing = OutgoingRequest {
            key: idempotency_key(&service, &parts.headers, idempotent)?,
            limit: limit.saturating_sub(start.elapsed()),
            service,
            method: parts.method.as_str().to_owned(),
            path,
            headers: forwarded_headers(&parts.headers),
            body,
            trace,
            idempotent,
        };
        let answer = self.attempts.run(&outgoing).in_span(link_span).await;
        if matches!(answer, Err(SendError::EndpointsLost { .. })) {
            self.metrics.barred.inc();
        }
        answer.map_err(send_problem)
    }
}

impl Handler for Callers {
    fn answer(&self, request: Request) -> Answering<'_> {
        let parent = request.headers().get("traceparent");
        let parent = spans::context(parent.and_then(|value| value.to_str().ok()));
        let span = Span::root("entry.request", parent);
        Box::pin(self.respond(request, span))
    }
}

/// Counts a request as in flight until dropped.
struct InFlight<'a>(&'a Callers);

impl<'a> InFlight<'a> {
    fn enter(callers: &'a Callers) -> Self {
        callers.in_flight.fetch_add(1, Ordering::SeqCst);
        callers.metrics.in_flight.inc();
        Self(callers)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.in_flight.dec();
    }
}

fn split_path(uri: &http::Uri) -> Result<(ServiceKey, String), Problem> {
    let full_path = uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = full_path.trim_start_matches('/');
    let (team, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let name = rest.split(['/', '?']).next().unwrap_or_default();
    let team = TeamName::new(team).map_err(|error| not_found(error.to_string()))?;
    let service = ServiceName::new(name).map_err(|error| not_found(error.to_string()))?;
    Ok((ServiceKey { team, service }, format!("/{rest}")))
}

fn not_found(reason: String) -> Problem {
    Problem::not_run(StatusCode::NOT_FOUND, reason)
}

/// Reads the complete body of a request within `limit`.
async fn read_within(body: Body, limit: Duration) -> Result<Bytes, Problem> {
    match timeout(limit, read_body(body, MAX_BODY_BYTES)).await {
        Ok(body) => body.map_err(|error| body_problem(&error)),
        Err(_) => {
            let reason = "body did not arrive in time";
            Err(Problem::not_run(StatusCode::REQUEST_TIMEOUT, reason))
        }
    }
}

fn body_problem(error: &BodyError) -> Problem {
    let problem = Problem::not_run(error.status(), error.to_string());
    match error.retry_after() {
        Some(span) => problem.with_retry_after(span),
        None => problem,
    }
}

fn send_problem(error: SendError) -> Problem {
    match error {
        SendError::NotSent(error) => pick_problem(error),
        SendError::EndpointsLost {
            outcome,
            retry_after,
        } => {
            let reason = "endpoints broke off while they ran this request";
            let problem = match outcome {
                Outcome::NotRun => Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, reason),
                Outcome::Unknown => Problem::unknown(StatusCode::BAD_GATEWAY, reason),
            };
            problem.with_retry_after(retry_after)
        }
        SendError::GaveUp {
            outcome: Outcome::NotRun,
            reason,
            retry_after,
            ..
        } => {
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(retry_after)
        }
        SendError::GaveUp {
            timed_out,
            reason,
            retry_after,
            ..
        } => {
            let status = match timed_out {
                true => StatusCode::GATEWAY_TIMEOUT,
                false => StatusCode::BAD_GATEWAY,
            };
            Problem::unknown(status, reason).with_retry_after(retry_after)
        }
    }
}

fn pick_problem(error: PickError) -> Problem {
    let reason = error.to_string();
    match error {
        PickError::UnknownService => Problem::not_run(StatusCode::NOT_FOUND, reason),
        PickError::AgentLost { retry_after } => {
            Problem::unknown(StatusCode::CONFLICT, reason).with_retry_after(retry_after)
        }
        PickError::NoneReady | PickError::Closed => {
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
                .with_retry_after(Duration::from_secs(1))
        }
    }
}

/// `span` in seconds, rounded up.
fn ceil_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}

fn is_request_idempotent(method: &http::Method, headers: &HeaderMap) -> bool {
    let is_marked_once = headers
        .get(ONCE_HEADER)
        .is_some_and(|value| value == "true");
    is_idempotent(method.as_str()) && !is_marked_once
}

/// Hash of the request's idempotency key, unless the request is idempotent anyway.
fn idempotency_key(
    service: &ServiceKey,
    headers: &HeaderMap,
    idempotent: bool,
) -> Result<Option<KeyHash>, Problem> {
    let Some(key) = headers.get(KEY_HEADER).filter(|_| !idempotent) else {
        return Ok(None);
    };
    let key = key.as_bytes();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let reason = format!("idempotency-key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Problem::not_run(StatusCode::BAD_REQUEST, reason));
    }
    Ok(Some(KeyHash::new(service, key)))
}

/// Time limit of a request, at most [`MAX_REQUEST_TIME`].
fn time_limit_of(headers: &HeaderMap) -> Result<Duration, Problem> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(MAX_REQUEST_TIME);
    };
    let limit = value.to_str().ok().map(humantime::parse_duration);
    match limit {
        Some(Ok(limit)) => Ok(limit.min(MAX_REQUEST_TIME)),
        _ => {
            let reason = format!("{TIMEOUT_HEADER} is not a time such as 250ms");
            Err(Problem::not_run(StatusCode::BAD_REQUEST, reason))
        }
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    end_to_end(headers)
        .map(|(name, value)| Header::new(name.as_str(), value.as_bytes()))
        .collect()
}

fn into_response(answer: Answer) -> Response {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
