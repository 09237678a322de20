//! HTTP servers whose connections have limits, with a handler behind a trait object.
//!
//! All connections of a listener share one account of memory (`connections`): a connection
//! is charged for its buffers, for each part of a body before it is kept, for what its
//! request becomes, and for an answer until the client has read it. When the account is full,
//! the connection that has waited longest for its client with the most memory is closed;
//! where none waits for its client, the request is refused.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

mod body;
mod connections;
mod limit;
mod metrics;
mod server;
mod service;
mod stream;

pub use body::{BodyError, read_body};
pub use connections::RequestMemory;
pub use limit::Refusal;
pub use metrics::HttpMetrics;
pub use server::{BindError, HttpServer, Listener};

/// Future of an answer.
pub type Answering<'a> = Pin<Box<dyn Future<Output = Response> + Send + 'a>>;

/// What answers the requests of one server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: Request) -> Answering<'_>;
}

/// A server that the process can do without: a log line tells where it does not start.
pub async fn start_optional(
    address: Option<SocketAddr>,
    handler: Arc<dyn Handler>,
    listener: &Listener,
) -> Option<HttpServer> {
    match HttpServer::start_limited(address?, handler, listener).await {
        Ok(server) => Some(server),
        Err(error) => {
            log::error!(error:% = error; "page is not served");
            None
        }
    }
}

/// An answer of plain text.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response {
    let text: String = text.into();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// An answer of JSON.
pub fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Response {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

#[cfg(test)]
mod tests;
