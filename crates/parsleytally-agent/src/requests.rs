//! Requests of all links: idempotency, admission and the call to the endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parsleytally::idempotency::{Conflict, KeyHash, RequestHash};
use parsleytally::limits::{Class, Outcome};
use parsleytally::retry::is_idempotent;
use parsleytally::types::{RequestId, ServiceKey};
use parsleytally_link::{Answer, Failure, Fence, Frame, Header, Link, LinkError, Refusal, Request};
use parsleytally_platform::process::spans;
use parsleytally_platform::process::spans::{FutureExt, Span, SpanContext};
use tokio::time::{Instant, timeout};

use crate::admission::{Admission, Slot};
use crate::config::AgentConfig;
use crate::endpoint::{Endpoint, EndpointError};
use crate::idempotency::{IdempotencyKeys, KeyAction, RunningKey};
use crate::metrics::Metrics;

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Header that, set to `true`, makes the key apply also to a method that is idempotent
/// by itself.
const ONCE_HEADER: &str = "parsleytally-once";
/// Header with the class of the request.
const CLASS_HEADER: &str = "parsleytally-class";
/// Retry delay of a refusal that did not come from the admission queue.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Load that an agent reports in its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestLoad {
    /// Requests in service or waiting.
    pub(crate) outstanding: u32,
    /// Whether new requests are refused.
    pub(crate) leaving: bool,
}

/// Handles the requests of all links.
pub(crate) struct Requests {
    service: ServiceKey,
    endpoint: Endpoint,
    admission: Arc<Admission>,
    keys: Arc<IdempotencyKeys>,
    metrics: Metrics,
}

impl Requests {
    pub(crate) fn new(config: &AgentConfig, metrics: Metrics) -> Result<Self, EndpointError> {
        let endpoint = &config.endpoint;
        Ok(Self {
            service: endpoint.service.clone(),
            endpoint: Endpoint::new(endpoint.address, endpoint.limits.slots)?,
            admission: Admission::new(endpoint.limits.clone()),
            keys: IdempotencyKeys::new(config.once.clone()),
            metrics,
        })
    }

    /// Refuses every new request from now on.
    pub(crate) fn leave(&self) {
        self.admission.leave();
    }

    /// Number of requests in service or waiting.
    pub(crate) fn in_flight(&self) -> usize {
        let load = self.admission.load();
        load.in_service + load.waiting
    }

    /// Current load; also updates the load metrics.
    pub(crate) fn load(&self) -> RequestLoad {
        let load = self.admission.load();
        self.metrics.set_load(load, self.keys.len());
        let outstanding = u32::try_from(load.in_service + load.waiting);
        RequestLoad {
            outstanding: outstanding.unwrap_or(u32::MAX),
            leaving: load.leaving,
        }
    }

    /// Handles `request` and sends its outcome on `link`.
    pub(crate) async fn serve(&self, request: Request, link: &Link) {
        let id = request.id;
        let span = Span::root("agent.request", spans::context(Some(&request.trace)));
        let outcome = match key_of(&request) {
            None => self.run(&request, &span).await,
            Some(key) => self.run_with_key(&request, key, &span).await,
        };
        self.metrics
            .requests
            .with_label_values(&[outcome_label(&outcome)])
            .inc();
        let sent = match link.deliver(outcome).await {
            Err(LinkError::Oversized { .. }) => {
                let outcome = failed(id, "answer exceeds the size limit of a link", false);
                link.deliver(outcome).await
            }
            sent => sent,
        };
        if let Err(error) = sent {
            log::debug!("could not send the outcome of request {id}: {error}");
        }
    }

    /// Fences a key, so that no request of it runs here, and sends the result on `link`.
    pub(crate) async fn fence(&self, fence: Fence, link: &Link) {
        let id = fence.id;
        let outcome = match self.keys.fence(fence.key).await {
            true => refused(id, "key is fenced", Duration::ZERO),
            false => failed(
                id,
                "key can't be fenced: it has run here or the key table is full",
                false,
            ),
        };
        if let Err(error) = link.deliver(outcome).await {
            log::debug!("could not send the outcome of fence {id}: {error}");
        }
    }

    async fn run_with_key(&self, request: &Request, key: KeyHash, span: &Span) -> Frame {
        let id = request.id;
        let hash = RequestHash::new(&request.method, &request.path, &request.body);
        let start = Instant::now();
        let limit = Duration::from_micros(request.timeout);
        let Ok(action) = timeout(limit, self.keys.claim(key, hash)).await else {
            return failed(
                id,
                "the first request with this idempotency key is still running",
                true,
            );
        };
        match action {
            KeyAction::Run(running) => {
                let mut request = request.clone();
                request.timeout = micros(limit.saturating_sub(start.elapsed()));
                let outcome = self.run(&request, span).await;
                record_outcome(running, &outcome);
                outcome
            }
            KeyAction::Replay(answer) => Frame::Answer(Answer {
                id,
                ..Answer::clone(&answer)
            }),
            KeyAction::Refuse(conflict) => Frame::Answer(conflict_answer(id, conflict)),
            KeyAction::NotRun { retry_after } => {
                refused(id, "too many idempotency keys are in use", retry_after)
            }
        }
    }

    async fn run(&self, request: &Request, span: &Span) -> Frame {
        if request.service != self.service {
            let reason = format!("service {} is not served by this agent", request.service);
            return refused(request.id, &reason, RETRY_DELAY);
        }
        let start = Instant::now();
        let limit = Duration::from_micros(request.timeout);
        match self.admission.admit(class_of(request), limit).await {
            Ok(slot) => {
                let remaining = limit.saturating_sub(start.elapsed());
                self.call_endpoint(request, slot, remaining, span).await
            }
            Err(refusal) => {
                let reason = refusal.reason.to_string();
                refused(request.id, &reason, refusal.retry_after)
            }
        }
    }

    async fn call_endpoint(
        &self,
        request: &Request,
        slot: Slot,
        limit: Duration,
        span: &Span,
    ) -> Frame {
        let id = request.id;
        let endpoint_span = Span::enter_with_parent("agent.endpoint", span);
        let trace = SpanContext::from_span(&endpoint_span)
            .map(|context| context.encode_w3c_traceparent())
            .unwrap_or_default();
        let call = self.endpoint.call(request, &trace).in_span(endpoint_span);
        match timeout(limit, call).await {
            Ok(Ok(answer)) => {
                slot.close(Outcome::Answered);
                Frame::Answer(answer)
            }
            Ok(Err(error)) if error.is_not_run() => {
                slot.close(Outcome::Failed);
                refused(id, &error.to_string(), RETRY_DELAY)
            }
            Ok(Err(error)) => {
                slot.close(Outcome::Failed);
                Frame::Failed(Failure {
                    id,
                    reason: error.to_string(),
                    timed_out: false,
                    endpoint_lost: error.is_broken_off(),
                })
            }
            Err(_) => {
                slot.close(Outcome::Abandoned);
                failed(id, "endpoint did not answer in time", true)
            }
        }
    }
}

fn record_outcome(running: RunningKey, outcome: &Frame) {
    match outcome {
        Frame::Answer(answer) => running.answered(answer),
        Frame::Refused(_) => running.not_run(),
        _ => running.unknown(),
    }
}

/// Hash of the idempotency key; none without a key, or for a method that is idempotent by
/// itself and not marked with [`ONCE_HEADER`].
fn key_of(request: &Request) -> Option<KeyHash> {
    let is_marked = header(request, ONCE_HEADER) == Some(b"true");
    if is_idempotent(&request.method) && !is_marked {
        return None;
    }
    let key = header(request, KEY_HEADER)?;
    Some(KeyHash::new(&request.service, key))
}

fn class_of(request: &Request) -> Class {
    match header(request, CLASS_HEADER) {
        Some(b"bulk") => Class::Bulk,
        _ => Class::Critical,
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a [u8]> {
    let is_named = |header: &&Header| header.name == name;
    let found = request.headers.iter().find(is_named)?;
    Some(&found.value)
}

fn refused(id: RequestId, reason: &str, retry_after: Duration) -> Frame {
    Frame::Refused(Refusal {
        id,
        reason: reason.to_owned(),
        retry_after: micros(retry_after),
    })
}

fn failed(id: RequestId, reason: &str, timed_out: bool) -> Frame {
    Frame::Failed(Failure {
        id,
        reason: reason.to_owned(),
        timed_out,
        endpoint_lost: false,
    })
}

fn conflict_answer(id: RequestId, conflict: Conflict) -> Answer {
    let outcome = match conflict {
        Conflict::Reused => "not-run",
        Conflict::Unknown | Conflict::AnswerNotKept | Conflict::Moved => "unknown",
    };
    let body = serde_json::json!({ "outcome": outcome, "reason": conflict.to_string() });
    let header = |name: &str, value: &'static str| Header {
        name: name.to_owned(),
        value: Bytes::from_static(value.as_bytes()),
    };
    Answer {
        id,
        status: http::StatusCode::CONFLICT.as_u16(),
        headers: vec![
            header("content-type", "application/json"),
            header("parsleytally-outcome", outcome),
        ],
        body: body.to_string().into(),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn outcome_label(outcome: &Frame) -> &'static str {
    match outcome {
        Frame::Answer(_) => "answered",
        Frame::Refused(_) => "refused",
        _ => "failed",
    }
}
