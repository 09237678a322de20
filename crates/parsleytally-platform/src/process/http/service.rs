//! Hands the requests of a connection to the handler, one after the other.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use http::{HeaderValue, header};
use http_body::Body as _;
use hyper::body::Incoming;
use volo_http::body::Body;
use volo_http::response::Response;

use super::Handler;
use super::body::MeteredBody;
use super::connections::{Connection, RequestMemory};
use super::limit::Refusal;

/// What the HTTP library calls for each request of a connection.
pub(super) struct ConnectionService {
    pub(super) handler: Arc<dyn Handler>,
    pub(super) connection: Arc<Connection>,
}

impl hyper::service::Service<http::Request<Incoming>> for ConnectionService {
    type Response = Response;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>;

    fn call(&self, request: http::Request<Incoming>) -> Self::Future {
        let (handler, connection) = (self.handler.clone(), self.connection.clone());
        Box::pin(async move {
            connection.writable().await;
            let answer = match begin(request, &connection) {
                Ok(request) => handler.answer(request).await,
                Err(refusal) => refusal.response(),
            };
            Ok(end(answer, &connection))
        })
    }
}

fn begin(
    request: http::Request<Incoming>,
    connection: &Arc<Connection>,
) -> Result<http::Request<Body>, Refusal> {
    let (mut parts, incoming) = request.into_parts();
    let body = if incoming.is_end_stream() {
        connection.received_whole()?;
        Body::empty()
    } else {
        connection.expects_body();
        Body::from_body(MeteredBody::new(incoming, connection.clone()))
    };
    parts.extensions.insert(RequestMemory(connection.clone()));
    Ok(http::Request::from_parts(parts, body))
}

fn end(answer: Response, connection: &Connection) -> Response {
    let size = answer.body().size_hint().exact().unwrap_or(0);
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    let mut answer = match connection.answered(size) {
        Ok(()) | Err(Refusal::Closed) => answer,
        Err(refusal) => refusal.response(),
    };
    if connection.gives_way() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}
