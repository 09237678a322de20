//! Pages for operators: metrics, and the runs that the owner counts as active.

use std::fmt::Write as _;
use std::time::Duration;

use http::{Method, StatusCode};
use parsleytally::jobs::RunRef;
use parsleytally::types::NodeName;
use parsleytally_platform::process::http::{Answering, Handler, text};
use parsleytally_platform::process::metrics::MetricSet;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;
use volo_http::request::Request;

use super::messages::{OwnerInput, OwnerLocation};

/// Path of the runs; all others are answered with the metrics.
const RUNS: &str = "/runs";
/// Longest wait for the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// What is served to operators.
pub(super) struct OperatorPages {
    pub(super) metrics: MetricSet,
    pub(super) location: watch::Receiver<OwnerLocation>,
}

impl OperatorPages {
    /// Runs that the owner counts; none if it is another entry, or does not answer in time.
    pub(super) async fn runs(&self) -> Option<Vec<(NodeName, RunRef)>> {
        let OwnerLocation::Local(owner) = self.location.borrow().clone() else {
            return None;
        };
        let (reply, runs) = oneshot::channel();
        let asked = async {
            owner.send(OwnerInput::Runs(reply)).await.ok()?;
            runs.await.ok()
        };
        timeout(OWNER_TIMEOUT, asked).await.ok()?
    }
}

impl Handler for OperatorPages {
    fn answer(&self, request: Request) -> Answering<'_> {
        if request.uri().path() != RUNS || request.method() != Method::GET {
            return self.metrics.answer(request);
        }
        Box::pin(async move {
            match self.runs().await {
                Some(runs) => text(StatusCode::OK, lines(&runs)),
                None => text(StatusCode::SERVICE_UNAVAILABLE, "not the owner\n"),
            }
        })
    }
}

/// One line a run: its agent, its task and its number.
pub(super) fn lines(runs: &[(NodeName, RunRef)]) -> String {
    let mut text = String::new();
    for (node, run) in runs {
        let _ = writeln!(text, "{node} {} {}", run.task, run.run);
    }
    text
}
