//! The limits that a client can reach, as they are counted and logged.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use http::{HeaderValue, StatusCode, header};
use snafu::Snafu;
use tokio::time::Instant;
use volo_http::response::Response;

use super::text;

/// Time between two log lines of one limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the client of a refused request should send it again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a connection was closed, or its request refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub(super) enum Limit {
    /// Closed: others needed its memory.
    Memory,
    /// Closed: another one needed its place.
    Connections,
    /// Closed after its answer: no memory or no place was left.
    Answered,
    /// Closed: the head of its request is too large.
    Head,
    /// Closed: the head of its request did not arrive in time.
    HeadTime,
    /// Closed: its request did not arrive in time.
    ReceiveTime,
    /// Closed: its answer was not read in time.
    SendTime,
    /// Not accepted: the process has no descriptor left, or the system an error.
    Accept,
    /// Not accepted: all connections are being answered.
    BusyConnections,
    /// Refused: no connection that waits for its client holds memory.
    BusyMemory,
    /// Refused: too many requests are not answered yet.
    BusyRequests,
    /// Refused: larger than all memory of the listener.
    TooLarge,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// No memory is left for the request.
    #[snafu(display("no memory is left for the request"))]
    Memory,
    /// Too many requests are not answered yet.
    #[snafu(display("too many requests are not answered yet"))]
    Requests,
    /// The request needs more memory than the listener may ever hold.
    #[snafu(display("the request is too large"))]
    TooLarge,
    /// The connection was closed, since another one needed its memory.
    #[snafu(display("the connection was closed"))]
    Closed,
}

impl Refusal {
    /// Limit that refused the request; none if the connection is closed.
    pub(super) fn limit(self) -> Option<Limit> {
        match self {
            Self::Memory => Some(Limit::BusyMemory),
            Self::Requests => Some(Limit::BusyRequests),
            Self::TooLarge => Some(Limit::TooLarge),
            Self::Closed => None,
        }
    }

    /// Status of the answer to the request, of which nothing has been carried out.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Memory | Self::Requests | Self::Closed => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Time after which the client may send the request again, if it may.
    pub fn retry_after(self) -> Option<Duration> {
        (self != Self::TooLarge).then_some(RETRY_AFTER)
    }

    /// Answer to the request.
    pub fn response(self) -> Response {
        let mut response = text(self.status(), self.to_string());
        if let Some(span) = self.retry_after() {
            let seconds = HeaderValue::from(span.as_secs());
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

/// Counts that are not logged yet, so that a crowd makes one line a limit and second.
#[derive(Debug, Default)]
pub(super) struct LimitLog(HashMap<Limit, Unlogged>);

#[derive(Debug, Default)]
struct Unlogged {
    count: u64,
    logged: Option<Instant>,
}

impl LimitLog {
    pub(super) fn note(&mut self, limit: Limit) {
        self.0.entry(limit).or_default().count += 1;
    }

    /// Limits with a line due, and how often each was reached since its last line.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<(Limit, u64)> {
        let mut due = Vec::new();
        for (limit, unlogged) in &mut self.0 {
            let is_early = unlogged.logged.is_some_and(|at| now < at + LOG_INTERVAL);
            if unlogged.count > 0 && !is_early {
                due.push((*limit, std::mem::take(&mut unlogged.count)));
                unlogged.logged = Some(now);
            }
        }
        due
    }
}
