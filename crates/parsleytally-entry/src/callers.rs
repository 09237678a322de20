//! Callers' HTTP: `ANY /{team}/{service}/…` goes to an endpoint of that service.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fastrace::Span;
use fastrace::collector::SpanContext;
use fastrace::future::FutureExt;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use parsleytally::types::{RequestId, ServiceKey, ServiceName, TeamName};
use parsleytally_link::{Answer, CallError, Header, Request as LinkRequest};
use parsleytally_platform::process::http::{Answering, BodyError, Handler, json, read_body};
use parsleytally_platform::process::spans;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::directory::{DirectoryRing, PickError};
use crate::metrics::Metrics;

/// Largest accepted body of a request, in bytes.
const BODY_LIMIT_BYTES: usize = 1 << 20;
/// Time after which a caller gets an error.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Header that tells whether a failed request ran.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("parsleytally-outcome");
/// Seconds after which a refused caller may ask again.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// Answers callers.
pub(crate) struct Callers {
    directory: DirectoryRing,
    metrics: Metrics,
    next: AtomicU64,
    in_flight: AtomicU64,
}

/// What a failed request is answered with.
#[derive(Debug, Serialize)]
struct Problem {
    #[serde(skip)]
    status: StatusCode,
    outcome: &'static str,
    reason: String,
}

impl Problem {
    fn not_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            outcome: "not-run",
            reason: reason.into(),
        }
    }

    fn unknown(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            outcome: "unknown",
            reason: reason.into(),
        }
    }

    fn into_response(self) -> Response {
        let mut response = json(self.status, &self);
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome));
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(http::header::RETRY_AFTER, RETRY_AFTER);
        }
        response
    }
}

impl Callers {
    pub(crate) fn new(directory: DirectoryRing, metrics: Metrics) -> Self {
        Self {
            directory,
            metrics,
            next: AtomicU64::new(1),
            in_flight: AtomicU64::new(0),
        }
    }

    /// Requests that have not been answered yet.
    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    async fn respond(&self, request: Request, span: Span) -> Response {
        let _in_flight = InFlight::enter(self);
        let start = Instant::now();
        let outcome = self.forward(request, &span).await;
        self.metrics.latency.observe(start.elapsed().as_secs_f64());
        let (label, response) = match outcome {
            Ok(answer) => ("answered", into_response(answer)),
            Err(problem) => (problem.outcome, problem.into_response()),
        };
        self.metrics.requests.with_label_values(&[label]).inc();
        response
    }

    async fn forward(&self, request: Request, span: &Span) -> Result<Answer, Problem> {
        let (parts, body) = request.into_parts();
        let (service, path) = split_path(&parts.uri)?;
        let body = read_body(body, BODY_LIMIT_BYTES)
            .await
            .map_err(|error| refuse_body(&error))?;
        let calls = self.directory.pick(&service).await.map_err(refuse_pick)?;
        let hop = Span::enter_with_parent("entry.link", span);
        let trace = SpanContext::from_span(&hop)
            .map(|context| context.encode_w3c_traceparent())
            .unwrap_or_default();
        let request = LinkRequest {
            id: RequestId(self.next.fetch_add(1, Ordering::Relaxed)),
            service,
            method: parts.method.as_str().to_owned(),
            path,
            headers: end_to_end(&parts.headers),
            body,
            timeout: u64::try_from(REQUEST_TIMEOUT.as_micros()).unwrap_or(u64::MAX),
            trace,
        };
        let answer = calls.call(request, REQUEST_TIMEOUT).in_span(hop).await;
        answer.map_err(problem_of)
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

/// Counts a request as in flight while it lives.
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
    let whole = uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = whole.trim_start_matches('/');
    let (team, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let name = rest.split(['/', '?']).next().unwrap_or_default();
    let team = TeamName::new(team).map_err(|error| not_found(error.to_string()))?;
    let service = ServiceName::new(name).map_err(|error| not_found(error.to_string()))?;
    Ok((ServiceKey { team, service }, format!("/{rest}")))
}

fn not_found(reason: String) -> Problem {
    Problem::not_run(StatusCode::NOT_FOUND, reason)
}

fn refuse_body(error: &BodyError) -> Problem {
    let status = match error {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Incomplete { .. } => StatusCode::BAD_REQUEST,
    };
    Problem::not_run(status, error.to_string())
}

fn refuse_pick(error: PickError) -> Problem {
    let status = match error {
        PickError::UnknownService => StatusCode::NOT_FOUND,
        PickError::NoneReady | PickError::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
    };
    Problem::not_run(status, error.to_string())
}

fn problem_of(error: CallError) -> Problem {
    match error {
        CallError::NotRun { reason } => Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, reason),
        CallError::Unknown { reason, late: true } => {
            Problem::unknown(StatusCode::GATEWAY_TIMEOUT, reason)
        }
        CallError::Unknown {
            reason,
            late: false,
        } => Problem::unknown(StatusCode::BAD_GATEWAY, reason),
    }
}

fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "expect"
            | "host"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "traceparent"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
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
