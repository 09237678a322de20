//! Time of the store's last confirmation of an ownership.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time at which the store last confirmed the ownership; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct LastConfirmation(Arc<Mutex<Instant>>);

impl LastConfirmation {
    pub(crate) fn at(instant: Instant) -> Self {
        Self(Arc::new(Mutex::new(instant)))
    }

    pub(crate) fn renew(&self, instant: Instant) {
        let mut at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *at = instant.max(*at);
    }

    pub(crate) fn age(&self) -> Duration {
        let at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        at.elapsed()
    }
}
