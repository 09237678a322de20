//! HTTP to the endpoint beside the agent.

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

/// Largest accepted body of an answer, in bytes.
const BODY_LIMIT_BYTES: usize = 1 << 20;

/// Why the endpoint gave no whole answer.
#[derive(Debug, Snafu)]
pub(crate) enum EndpointError {
    /// The request holds something that is not HTTP.
    #[snafu(display("request is not valid HTTP: {part}"))]
    Invalid { part: &'static str },
    /// The call failed.
    #[snafu(display("endpoint did not answer: {source}"))]
    Call {
        #[snafu(source(from(ClientError, Box::new)))]
        source: Box<ClientError>,
    },
    /// The answer's body is not whole.
    #[snafu(display("answer of the endpoint is not whole: {source}"))]
    Body { source: BodyError },
}

impl EndpointError {
    /// Whether the endpoint cannot have seen the request.
    pub(crate) fn is_not_run(&self) -> bool {
        match self {
            Self::Invalid { .. } => true,
            Self::Call { source } => {
                matches!(source.kind(), ErrorKind::Connect) || is_connect_refusal(source)
            }
            Self::Body { .. } => false,
        }
    }
}

/// A client of one endpoint; it keeps at most `slots` idle connections.
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

    /// Passes `request` on and reads the whole answer.
    pub(crate) async fn call(
        &self,
        request: &Request,
        traceparent: &str,
    ) -> Result<Answer, EndpointError> {
        let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
            return InvalidSnafu { part: "method" }.fail();
        };
        let uri = format!("http://{}{}", self.address, request.path);
        let mut call = self
            .client
            .request(method, uri)
            .body(Body::from(request.body.clone()));
        fill_headers(call.headers_mut(), &request.headers)?;
        if let Ok(value) = HeaderValue::from_str(traceparent) {
            call.headers_mut().insert("traceparent", value);
        }
        let response: volo_http::response::Response = call.send().await.context(CallSnafu)?;
        let (parts, body) = response.into_parts();
        let body = read_body(body, BODY_LIMIT_BYTES).await.context(BodySnafu)?;
        Ok(Answer {
            id: request.id,
            status: parts.status.as_u16(),
            headers: passed_on(&parts.headers),
            body,
        })
    }
}

/// Whether the system refused the connection, which it never does to an open one.
fn is_connect_refusal(error: &ClientError) -> bool {
    let first: &(dyn std::error::Error + 'static) = error;
    std::iter::successors(Some(first), |error| error.source())
        .filter_map(|error| error.downcast_ref::<std::io::Error>())
        .any(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn fill_headers(into: &mut HeaderMap, headers: &[Header]) -> Result<(), EndpointError> {
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
        into.append(name, value);
    }
    Ok(())
}

fn passed_on(headers: &HeaderMap) -> Vec<Header> {
    end_to_end(headers)
        .map(|(name, value)| Header::new(name.as_str(), value.as_bytes()))
        .collect()
}
