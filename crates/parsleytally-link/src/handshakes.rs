//! Connections whose peers have not proven the key yet.
//!
//! Each holds a descriptor until its handshake or the time for it ends. Beyond a limit the
//! oldest one is closed for the next: a peer that knows the key has proven it within
//! milliseconds, so that those who never do so can't lock it out.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::error::CrowdedSnafu;
use crate::{Hello, Incoming, Link, LinkConfig, LinkError, accept};

/// Open handshakes of a process.
const MAX_HANDSHAKES: usize = 256;
/// Time between two log lines on handshakes that failed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Open handshakes of one listener; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Handshakes(Arc<Mutex<Open>>);

#[derive(Debug, Default)]
struct Open {
    last: u64,
    /// By their numbers, the oldest first.
    waiting: BTreeMap<u64, CancellationToken>,
    failures: Failures,
}

/// Handshakes that failed since the last log line.
#[derive(Debug, Default)]
struct Failures {
    count: u64,
    logged: Option<Instant>,
}

impl Failures {
    fn note(&mut self, error: &LinkError) {
        self.count += 1;
        let now = Instant::now();
        if self.logged.is_none_or(|at| now >= at + LOG_INTERVAL) {
            let count = std::mem::take(&mut self.count);
            log::warn!(error:% = error, count; "opening links failed");
            self.logged = Some(now);
        }
    }
}

impl Open {
    /// Takes in a connection, for which the oldest one may have to go.
    fn enter(&mut self) -> (u64, CancellationToken) {
        if self.waiting.len() >= MAX_HANDSHAKES
            && let Some((_, oldest)) = self.waiting.pop_first()
        {
            oldest.cancel();
        }
        self.last += 1;
        let token = CancellationToken::new();
        self.waiting.insert(self.last, token.clone());
        (self.last, token)
    }
}

/// A connection among the open handshakes; it is taken out when dropped.
struct Entered<'a> {
    all: &'a Handshakes,
    number: u64,
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        self.all.open().waiting.remove(&self.number);
    }
}

impl Handshakes {
    /// Opens a link on an accepted connection.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] when the handshake fails or exceeds its time limit, or when
    /// the connection is closed for a later one.
    pub async fn accept(
        &self,
        stream: TcpStream,
        hello: &Hello,
        config: &LinkConfig,
    ) -> Result<(Link, Incoming), LinkError> {
        let (number, closed) = self.open().enter();
        let _entered = Entered { all: self, number };
        let accepted = closed.run_until_cancelled(accept(stream, hello, config));
        let accepted = accepted.await.unwrap_or_else(|| CrowdedSnafu.fail());
        if let Err(error) = &accepted {
            self.open().failures.note(error);
        }
        accepted
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
