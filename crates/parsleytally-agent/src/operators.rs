//! Pages of an agent for operators: health, metrics and spans.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use http::StatusCode;
use parsleytally_platform::process::http::{Answering, Handler, json, text};
use parsleytally_platform::process::spans;
use serde_json::json as json_value;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::metrics::Metrics;
use crate::requests::Requests;

/// Handler of the operators' pages.
pub(crate) struct OperatorPages {
    pub(crate) metrics: Metrics,
    pub(crate) requests: Arc<Requests>,
    /// Revision of the settings that the agent applies.
    pub(crate) revision: Arc<AtomicU64>,
}

impl OperatorPages {
    fn respond(&self, path: &str) -> Response {
        match path {
            "/healthz" => text(StatusCode::OK, "ok"),
            "/readyz" if self.requests.load().leaving => {
                text(StatusCode::SERVICE_UNAVAILABLE, "leaving")
            }
            "/readyz" => text(StatusCode::OK, "ready"),
            "/metrics" => text(StatusCode::OK, self.metrics.text()),
            "/v1/status" => {
                let revision = self.revision.load(Ordering::SeqCst);
                json(StatusCode::OK, &json_value!({ "revision": revision }))
            }
            "/v1/spans" => json(StatusCode::OK, &spans::latest()),
            _ => text(StatusCode::NOT_FOUND, "no such page"),
        }
    }
}

impl Handler for OperatorPages {
    fn answer(&self, request: Request) -> Answering<'_> {
        let response = self.respond(request.uri().path());
        Box::pin(std::future::ready(response))
    }
}
