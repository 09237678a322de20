//! Bodies of requests and answers: charged as they arrive, and read whole.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use snafu::Snafu;
use volo_http::body::Body;
use volo_http::error::BoxError;

use super::connections::Connection;
use super::limit::Refusal;

/// Least growth of the buffer of a body, in bytes.
const MIN_GROWTH_BYTES: usize = 4 << 10;
/// Part of a body by which its buffer grows.
const GROWTH_PART: usize = 8;

/// Why a body was not read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than accepted.
    #[snafu(display("body exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body ended before its length or was cut.
    #[snafu(display("body is incomplete: {reason}"))]
    Incomplete {
        /// What the reader reported.
        reason: String,
    },
    /// The listener has reached a limit.
    #[snafu(display("{refusal}"))]
    Refused {
        /// The limit.
        refusal: Refusal,
    },
}

impl BodyError {
    /// Status of the answer to a request with this body.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete { .. } => StatusCode::BAD_REQUEST,
            Self::Refused { refusal } => refusal.status(),
        }
    }

    /// Time after which the client may send the request again, if it may.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::TooLarge { .. } | Self::Incomplete { .. } => None,
            Self::Refused { refusal } => refusal.retry_after(),
        }
    }
}

/// Body of a request, charged to its connection as it arrives.
pub(super) struct MeteredBody {
    incoming: Incoming,
    connection: Arc<Connection>,
}

impl MeteredBody {
    pub(super) fn new(incoming: Incoming, connection: Arc<Connection>) -> Self {
        Self {
            incoming,
            connection,
        }
    }

    fn charge(&self, frame: &Frame<Bytes>) -> Result<(), Refusal> {
        let data = frame.data_ref().map_or(0, Bytes::len);
        self.connection.charge(data)
    }
}

impl http_body::Body for MeteredBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let Some(frame) = ready!(Pin::new(&mut self.incoming).poll_frame(context)) else {
            let whole = self.connection.received_whole();
            return Poll::Ready(whole.err().map(|refusal| Err(refusal.into())));
        };
        let frame = frame?;
        self.charge(&frame)?;
        Poll::Ready(Some(Ok(frame)))
    }

    /// Never before the last frame was polled, which notes the end.
    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`BodyError`]; a body that is cut short is never returned in part.
pub async fn read_body(body: Body, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = Limited::new(body, limit);
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| body_error(&*error, limit))?;
        if let Some(data) = frame.data_ref() {
            append(&mut whole, data);
        }
    }
    Ok(whole.into())
}

/// Copies `data`, so that none of the library's larger buffers is kept for it.
fn append(whole: &mut Vec<u8>, data: &[u8]) {
    if whole.capacity() - whole.len() < data.len() {
        let growth = MIN_GROWTH_BYTES.max(whole.len() / GROWTH_PART);
        whole.reserve_exact(data.len().max(growth));
    }
    whole.extend_from_slice(data);
}

fn body_error(error: &(dyn std::error::Error + Send + Sync + 'static), limit: usize) -> BodyError {
    if error.is::<LengthLimitError>() {
        return BodyError::TooLarge { limit };
    }
    if let Some(refusal) = error.downcast_ref::<Refusal>() {
        return BodyError::Refused { refusal: *refusal };
    }
    let reason = error.to_string();
    BodyError::Incomplete { reason }
}
