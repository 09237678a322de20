//! Waiting for requests in flight at shutdown.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Time between two looks at the requests in flight.
const STEP: Duration = Duration::from_millis(20);

/// Waits until `in_flight` is zero, for at most `limit`, and returns what is left.
///
/// What is left at the limit is also logged.
pub async fn drain(in_flight: impl Fn() -> usize, limit: Duration) -> usize {
    let end = Instant::now() + limit;
    while in_flight() > 0 && Instant::now() < end {
        sleep(STEP).await;
    }
    let left = in_flight();
    if left > 0 {
        log::warn!("{left} requests are still in flight at the drain limit");
    }
    // Lets the last answers reach the sockets.
    sleep(STEP).await;
    left
}

#[cfg(test)]
mod tests;
