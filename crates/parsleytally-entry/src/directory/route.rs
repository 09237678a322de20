//! A chosen endpoint, counted as busy until the request to it has ended.

use std::sync::Arc;

use parsleytally::routing::{EndpointId, Outcome};
use parsleytally_link::Calls;

use super::DirectoryHandle;

/// The way to a chosen endpoint; one that is dropped counts as abandoned.
pub(crate) struct Route {
    calls: Arc<Calls>,
    counted: Option<(EndpointId, DirectoryHandle)>,
}

impl Route {
    pub(super) fn new(calls: Arc<Calls>, endpoint: EndpointId, handle: DirectoryHandle) -> Self {
        let counted = Some((endpoint, handle));
        Self { calls, counted }
    }

    /// A way that routing does not count.
    pub(crate) fn uncounted(calls: Arc<Calls>) -> Self {
        let counted = None;
        Self { calls, counted }
    }

    /// The link to the endpoint's agent.
    pub(crate) fn calls(&self) -> &Calls {
        &self.calls
    }

    /// The endpoint, if routing counts the request.
    pub(crate) fn endpoint(&self) -> Option<EndpointId> {
        self.counted.as_ref().map(|(endpoint, _)| *endpoint)
    }

    /// Tells routing how the request ended.
    pub(crate) fn close(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some((endpoint, handle)) = self.counted.take() {
            handle.done(endpoint, outcome);
        }
    }
}

impl Drop for Route {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned);
    }
}
