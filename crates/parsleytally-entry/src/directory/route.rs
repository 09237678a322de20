//! A chosen endpoint, whose request counts as outstanding until it ends.

use std::sync::Arc;

use parsleytally::routing::{EndpointId, Outcome};
use parsleytally_link::Calls;

use super::DirectoryHandle;

/// A chosen endpoint; dropping it reports the request as abandoned.
pub(crate) struct Route {
    calls: Arc<Calls>,
    counted: Option<(EndpointId, DirectoryHandle)>,
}

impl Route {
    pub(super) fn new(calls: Arc<Calls>, endpoint: EndpointId, handle: DirectoryHandle) -> Self {
        let counted = Some((endpoint, handle));
        Self { calls, counted }
    }

    /// A route whose request the router does not count.
    pub(crate) fn uncounted(calls: Arc<Calls>) -> Self {
        let counted = None;
        Self { calls, counted }
    }

    /// The link to the endpoint's agent.
    pub(crate) fn calls(&self) -> &Calls {
        &self.calls
    }

    /// The endpoint, if the router counts the request.
    pub(crate) fn endpoint(&self) -> Option<EndpointId> {
        self.counted.as_ref().map(|(endpoint, _)| *endpoint)
    }

    /// Reports the outcome of the request to the router.
    pub(crate) fn close(mut self, outcome: Outcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: Outcome) {
        if let Some((endpoint, handle)) = self.counted.take() {
            handle.done(endpoint, outcome);
        }
    }
}

impl Drop for Route {
    fn drop(&mut self) {
        self.report(Outcome::Abandoned);
    }
}
