//! HTTP client of the endpoint beside the agent.

use std::net::SocketAddr;

use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method};
use parsleytally_link::{Answer, Header, Request};
use parsleytally_platform::process::end_to_end;
use parsleytally_platform::process::http::{BodyError, read_body};
use snafu::{ResultExt, Snafu};
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;

/// Largest accepted response body, in bytes.
const BODY_LIMIT_BYTES: usize = 1 << 20;

/// Reason why a call to the endpoint failed.
#[derive(Debug, Snafu)]
pub(crate) enum EndpointError {
    /// Part of the request is not valid HTTP.
    #[snafu(display("request is not valid HTTP: {part}"))]
    Invalid { part: &'static str },
    /// The connection or the exchange failed.
    #[snafu(display("endpoint did not answer: {source}"))]
    Call {
        #[snafu(source(from(ClientError, Box::new)))]
        source: Box<ClientError>,
    },
    /// The response body was cut off or is too large.
    #[snafu(display("could not read the response body of the endpoint: {source}"))]
    Body { source: BodyError },
}

impl EndpointError {
    /// Whether the endpoint can't have received the request.
    pub(crate) fn is_not_run(&self) -> bool {
        match self {
            Self::Invalid { .. } => true,
            Self::Call { source } => {
                matches!(source.kind(), ErrorKind::Connect) || is_connect_refusal(source)
            }
            Self::Body { .. } => false,
        }
    }

    /// Whether the endpoint broke off the exchange after it may have received the request.
    pub(crate) fn is_broken_off(&self) -> bool {
        match self {
            Self::Invalid { .. } => false,
            Self::Call { .. } => !self.is_not_run(),
            Self::Body { source } => matches!(source, BodyError::Incomplete { .. }),
        }
    }
}

/// Client of one endpoint with at most `slots` idle connections.
pub(crate) struct Endpoint {
    address: SocketAddr,
    client: Client,
}

impl Endpoint {
    pub(crate) fn new(address: SocketAddr, slots: u32) -> Result<Self, EndpointError> {
        let mut builder = Client::builder();
        builder.set_max_idle_per_host(slots as usize);
        let client = builder.build().context(CallSnafu)?;
        Ok(Self { address, client })
    }

    /// Sends `request` to the endpoint and reads the whole response.
    pub(crate) async fn call(
        &self,
        request: &Request,
        traceparent: &str,
    ) -> Result<Answer, EndpointError> {
        let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
            return InvalidSnafu { part: "method" }.fail();
        };
        let uri = format!("http://{}{}", self.address, request.path);
        let mut builder = self
            .client
            .request(method, uri)
            .body(Body::from(request.body.clone()));
        append_headers(builder.headers_mut(), &request.headers)?;
        if let Ok(value) = HeaderValue::from_str(traceparent) {
            builder.headers_mut().insert("traceparent", value);
        }
        let response: volo_http::response::Response = builder.send().await.context(CallSnafu)?;
        let (parts, body) = response.into_parts();
        let body = read_body(body, BODY_LIMIT_BYTES).await.context(BodySnafu)?;
        Ok(Answer {
            id: request.id,
            status: parts.status.as_u16(),
            headers: forwarded_headers(&parts.headers),
            body,
        })
    }
}

/// Whether the connection was refused. That happens only while connecting, so the
/// request was not sent.
fn is_connect_refusal(error: &ClientError) -> bool {
    let first: &(dyn std::error::Error + 'static) = error;
    std::iter::successors(Some(first), |error| error.source())
        .filter_map(|error| error.downcast_ref::<std::io::Error>())
        .any(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn append_headers(target: &mut HeaderMap, headers: &[Header]) -> Result<(), EndpointError> {
    for header in headers {
        let Ok(name) = HeaderName::from_bytes(header.name.as_bytes()) else {
            return InvalidSnafu {
                part: "header name",
            }
            .fail();
        };
        let Ok(value) = HeaderValue::from_bytes(&header.value) else {
            return InvalidSnafu {
                part: "header value",
            }
            .fail();
        };
        target.append(name, value);
    }
    Ok(())
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    end_to_end(headers)
        .map(|(name, value)| Header::new(name.as_str(), value.as_bytes()))
        .collect()
}
