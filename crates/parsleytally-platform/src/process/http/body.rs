//! Bodies of requests and answers, read whole.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use snafu::Snafu;
use volo_http::body::Body;

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
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`BodyError`]; a body that is cut short is never returned in part.
pub async fn read_body(body: Body, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => TooLargeSnafu { limit }.fail(),
        Err(error) => {
            let reason = error.to_string();
            IncompleteSnafu { reason }.fail()
        }
    }
}
