//! Requests under which endpoints were lost: each may crash the next endpoint that runs it.
//!
//! A request after which two endpoints broke off is not sent on. Repeats of it by callers are refused
//! for a time that doubles with each further loss, until one of them is answered. Requests that were
//! in flight beside the poison request are mostly answered when they are sent again.

use std::collections::HashMap;
use std::time::Duration;

use crate::idempotency::RequestHash;
use crate::types::{RequestId, Time};

/// Number of endpoints after whose loss a request is not sent on.
const MAX_LOST_ENDPOINTS: usize = 2;
/// Time within which the losses of several requests have one cause.
const SAME_MOMENT: Duration = Duration::from_millis(50);
/// Time for which repeats are refused at first.
const FIRST_BAR: Duration = Duration::from_secs(5);
/// Most doublings of [`FIRST_BAR`].
const MAX_DOUBLINGS: u32 = 7;
/// Time after the last loss, or the end of its bar, after which a request is forgotten.
const RETENTION: Duration = Duration::from_secs(60);
/// Most requests that are kept; the one lost longest ago is dropped first.
const MAX_REQUESTS: usize = 1_024;

/// Losses of endpoints under one request and its repeats.
#[derive(Debug)]
struct Losses<E> {
    /// Endpoints that were lost since the last bar.
    endpoints: Vec<E>,
    /// Request and time of the last loss.
    last: (RequestId, Time),
    /// Until when repeats are refused.
    barred_until: Time,
    bars: u32,
}

/// Requests of an entry under which endpoints were lost; `E` identifies an endpoint.
#[derive(Debug)]
pub struct CrashSuspects<E> {
    requests: HashMap<RequestHash, Losses<E>>,
}

impl<E> Default for CrashSuspects<E> {
    fn default() -> Self {
        Self {
            requests: HashMap::new(),
        }
    }
}

impl<E: PartialEq> CrashSuspects<E> {
    /// Whether there are none, so that a request needs no hash.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Time until a request may be sent again; none if it may be sent now.
    pub fn barred_for(&self, now: Time, hash: RequestHash) -> Option<Duration> {
        let losses = self.requests.get(&hash)?;
        Some(losses.barred_until.since(now)).filter(|left| !left.is_zero())
    }

    /// Notes that `endpoint` broke off while it ran the request; returns whether the
    /// request must not be sent on.
    pub fn lost(&mut self, now: Time, id: RequestId, hash: RequestHash, endpoint: E) -> bool {
        self.remove_old(now);
        let losses = self.requests.entry(hash).or_insert_with(|| Losses {
            endpoints: Vec::new(),
            last: (id, now),
            barred_until: now,
            bars: 0,
        });
        let (last_id, last_at) = losses.last;
        let is_first = losses.endpoints.is_empty();
        let one_cause = !is_first && last_id != id && now.since(last_at) <= SAME_MOMENT;
        if !one_cause && !losses.endpoints.contains(&endpoint) {
            losses.endpoints.push(endpoint);
        }
        losses.last = (id, now);
        // After a bar, one more loss is enough.
        let enough = if losses.bars > 0 {
            1
        } else {
            MAX_LOST_ENDPOINTS
        };
        if losses.endpoints.len() < enough {
            return false;
        }
        losses.endpoints.clear();
        let bar = FIRST_BAR * (1 << losses.bars.min(MAX_DOUBLINGS));
        losses.barred_until = now.after(bar);
        losses.bars += 1;
        true
    }

    /// Notes that a request was answered: it is no poison request.
    pub fn answered(&mut self, hash: RequestHash) {
        self.requests.remove(&hash);
    }

    fn remove_old(&mut self, now: Time) {
        self.requests.retain(|_, losses| {
            let (_, lost_at) = losses.last;
            now.since(losses.barred_until.max(lost_at)) < RETENTION
        });
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        let oldest = self.requests.iter().min_by_key(|(_, losses)| losses.last.1);
        if let Some(hash) = oldest.map(|(hash, _)| *hash) {
            self.requests.remove(&hash);
        }
    }
}
