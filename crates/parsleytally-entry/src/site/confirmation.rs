//! Time of the store's last confirmation of an ownership.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use parsleytally_platform::process::BootTime;

/// Time at which the store last confirmed the ownership; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct LastConfirmation(Arc<Mutex<BootTime>>);

impl LastConfirmation {
    pub(crate) fn at(time: BootTime) -> Self {
        Self(Arc::new(Mutex::new(time)))
    }

    pub(crate) fn renew(&self, time: BootTime) {
        let mut at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *at = time.max(*at);
    }

    pub(crate) fn age(&self) -> Duration {
        let at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        at.elapsed()
    }
}
