//! A sample endpoint: echoes requests, sleeps, and counts bookings.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::json;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::process::http::{Answering, Handler, json as json_answer, read_body, text};
use crate::process::spans;
use crate::process::spans::{FutureExt, Span};

/// Largest accepted body, in bytes.
const BODY_LIMIT_BYTES: usize = 2 << 20;

/// Answers `/echo/…`, `/echo/sleep/{ms}` and `/echo/book/{key}`.
#[derive(Debug, Default)]
pub struct SampleEndpoint {
    bookings: Mutex<HashMap<String, u64>>,
}

impl SampleEndpoint {
    /// Bookings counted under `key`.
    pub fn booked(&self, key: &str) -> u64 {
        let bookings = self.bookings.lock().unwrap_or_else(PoisonError::into_inner);
        bookings.get(key).copied().unwrap_or_default()
    }

    fn book(&self, key: &str) -> u64 {
        let mut bookings = self.bookings.lock().unwrap_or_else(PoisonError::into_inner);
        let count = bookings.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }

    async fn respond(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        let body = match read_body(body, BODY_LIMIT_BYTES).await {
            Ok(body) => body,
            Err(error) => return text(error.status(), error.to_string()),
        };
        if let Some(key) = path.strip_prefix("/echo/book/") {
            return self.booking(&parts.method, key);
        }
        if let Some(millis) = path.strip_prefix("/echo/sleep/") {
            let Ok(millis) = millis.parse() else {
                return text(StatusCode::BAD_REQUEST, "time is not a number of ms");
            };
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        let answer = json!({
            "method": parts.method.as_str(),
            "path": path,
            "body": String::from_utf8_lossy(&body),
        });
        json_answer(StatusCode::OK, &answer)
    }

    fn booking(&self, method: &Method, key: &str) -> Response {
        let count = match *method {
            Method::POST => self.book(key),
            Method::GET => self.booked(key),
            _ => return text(StatusCode::METHOD_NOT_ALLOWED, "expected GET or POST"),
        };
        json_answer(StatusCode::OK, &json!({ "key": key, "count": count }))
    }
}

impl Handler for SampleEndpoint {
    fn answer(&self, request: Request) -> Answering<'_> {
        let parent = request.headers().get("traceparent");
        let parent = spans::context(parent.and_then(|value| value.to_str().ok()));
        let span = Span::root("endpoint.answer", parent);
        Box::pin(self.respond(request).in_span(span))
    }
}
