//! HTTP servers by `volo-http`, with a handler behind a trait object.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};
use volo::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

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
) -> Option<HttpServer> {
    match HttpServer::start(address?, handler).await {
        Ok(server) => Some(server),
        Err(error) => {
            log::error!(error:% = error; "page is not served");
            None
        }
    }
}

/// Why a server could not start.
#[derive(Debug, Snafu)]
#[snafu(display("address {address} is not available: {source}"))]
pub struct BindError {
    address: SocketAddr,
    source: std::io::Error,
}

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

/// A server that accepts connections.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    full: CancellationToken,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

/// A listener that is dropped once no further connection is accepted, so that
/// callers are refused instead of left waiting in the system's queue.
#[derive(Debug)]
struct Gate {
    listener: Option<TcpListener>,
    full: CancellationToken,
}

impl Incoming for Gate {
    async fn accept(&mut self) -> std::io::Result<Option<Conn>> {
        if let Some(listener) = &self.listener
            && let Some(accepted) = self.full.run_until_cancelled(listener.accept()).await
        {
            return accepted.map(|(stream, _)| Some(Conn::from(stream)));
        }
        self.listener = None;
        std::future::pending().await
    }
}

impl MakeIncoming for Gate {
    type Incoming = Self;

    async fn make_incoming(self) -> std::io::Result<Self> {
        Ok(self)
    }
}

struct Shared(Arc<dyn Handler>);

impl Service<ServerContext, Request> for Shared {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        Ok(self.0.answer(request).await)
    }
}

impl HttpServer {
    /// Binds `address` and answers by `handler`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns [`BindError`] when the address is not available.
    pub async fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> Result<Self, BindError> {
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let full = CancellationToken::new();
        let stop = CancellationToken::new();
        let gate = Gate {
            listener: Some(listener),
            full: full.clone(),
        };
        let task = tokio::spawn(run(gate, handler, stop.clone()));
        Ok(Self {
            address,
            full,
            stop,
            task,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no further connection; the open ones are still served.
    pub fn stop_accepting(&self) {
        self.full.cancel();
    }

    /// Stops accepting and drops what is still open.
    pub async fn close(self) {
        self.stop_accepting();
        self.stop.cancel();
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn run(gate: Gate, handler: Arc<dyn Handler>, stop: CancellationToken) {
    // The library begins its own shutdown on SIGTERM; the hook holds it back until
    // the process has drained.
    let server = Server::new(Shared(handler))
        .register_shutdown_hook(move || Box::pin(async move { stop.cancelled().await }));
    if let Err(error) = server.run(gate).await {
        log::error!("HTTP server ended: {error}");
    }
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
