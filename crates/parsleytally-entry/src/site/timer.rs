//! Sleeps until a time that may not be known.

use std::future::pending;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

/// Sleeps for the duration; never returns for `None`.
pub(super) async fn sleep_for(wait: Option<Duration>) {
    match wait {
        Some(wait) => sleep(wait).await,
        None => pending().await,
    }
}

/// Sleeps until the time of `due` and returns its value; never returns for `None`.
pub(super) async fn wait_for<T>(due: Option<(Instant, T)>) -> T {
    match due {
        Some((at, value)) => {
            sleep_until(at).await;
            value
        }
        None => pending().await,
    }
}
