//! Client of etcd v3's JSON gateway over HTTP.
//!
//! Each call has a deadline, takes a token of the process's rate and is counted.
//! After a call that found the store down or silent, further calls fail at once
//! until a pause with jitter has passed. A read that stays unanswered is also
//! sent over a new connection, since an idle one may have gone silent; a write is
//! never sent twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use parsleytally::configs::StoreConfig;
use parsleytally::types::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::response::Response;

use self::budget::Budget;
use self::convert::{
    check_sizes, connection_error, decode, encode, item, lease_error, malformed, refusal,
    txn_request,
};
use self::watch::{EtcdWatch, Lines};
use self::wire::{
    LeaseMessage, Line, RangeRequest, RangeResponse, TxnResponse, WatchCreate, WatchRequest,
    prefix_range,
};
use super::calls::{CallKind, CallMetrics};
use super::{
    Commit, LeaseId, Newest, Outcome, Snapshot, Store, StoreError, StoreFuture, Watch, Write,
};

mod budget;
mod convert;
mod watch;
pub(crate) mod wire;

#[cfg(all(test, feature = "stand-in"))]
mod tests;

/// Largest answer to a range read, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 20;
/// Time within which a connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Part of the refusal of a write whose lease has ended.
pub(crate) const LEASE_NOT_FOUND: &str = "requested lease not found";

/// A store behind etcd v3's JSON gateway.
#[derive(Debug)]
pub struct EtcdStore {
    config: StoreConfig,
    budget: Budget,
    metrics: CallMetrics,
    /// Connections; replaced when one of them went silent.
    client: ArcSwap<Connections>,
    /// Number of failed calls, to take the endpoints in turn.
    turn: AtomicUsize,
}

struct Connections(Client);

impl std::fmt::Debug for Connections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Connections")
    }
}

/// An answer of the gateway with its status.
struct Answer {
    success: bool,
    body: Bytes,
}

impl EtcdStore {
    /// Creates a client; nothing is sent before the first call.
    ///
    /// `seed` feeds the jitter of the pauses after failed calls.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] when the settings name no endpoint.
    pub fn new(config: StoreConfig, seed: u64) -> Result<Self, StoreError> {
        if config.endpoints.is_empty() {
            return Err(StoreError::Refused {
                call: "connect",
                reason: "no endpoint of the store is set".to_owned(),
            });
        }
        Ok(Self {
            budget: Budget::new(&config, seed),
            metrics: CallMetrics::new(),
            client: ArcSwap::from_pointee(connections()),
            turn: AtomicUsize::new(0),
            config,
        })
    }

    /// Counters of the calls sent.
    pub fn metrics(&self) -> &CallMetrics {
        &self.metrics
    }

    /// Sends a call that must not be sent twice.
    async fn write<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        request: &(impl Serialize + Sync),
    ) -> Result<T, StoreError> {
        let body = encode(kind, request)?;
        self.call(kind, self.post(kind, path, body)).await
    }

    /// Sends a call that may be sent twice.
    async fn read<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        request: &(impl Serialize + Sync),
    ) -> Result<T, StoreError> {
        let body = encode(kind, request)?;
        self.call(kind, self.hedged(kind, path, body)).await
    }

    /// Waits for the budget, then sends `call` and settles its answer.
    async fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        call: impl Future<Output = Result<Answer, StoreError>>,
    ) -> Result<T, StoreError> {
        self.budget
            .acquire(kind.name(), self.config.deadline)
            .await?;
        self.metrics.sent(kind);
        let answer = self.within_deadline(kind, call).await;
        self.settle(kind, &answer);
        decode(kind, &answer?)
    }

    async fn within_deadline<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let answer = tokio::time::timeout(self.config.deadline, call).await;
        answer.unwrap_or(Err(StoreError::Timeout { call: kind.name() }))
    }

    /// Sends a read, and once more over a new connection when no answer comes.
    async fn hedged(&self, kind: CallKind, path: &str, body: Bytes) -> Result<Answer, StoreError> {
        let first = self.post(kind, path, body.clone());
        tokio::pin!(first);
        if let Ok(answer) = tokio::time::timeout(self.config.hedge_after, &mut first).await {
            return answer;
        }
        if !self.budget.try_acquire(kind.name()) {
            return first.await;
        }
        self.reconnect();
        self.metrics.sent(kind);
        let second = self.post(kind, path, body);
        tokio::select! {
            answer = first => answer,
            answer = second => answer,
        }
    }

    async fn post(&self, kind: CallKind, path: &str, body: Bytes) -> Result<Answer, StoreError> {
        let response = self.send(kind, path, body).await?;
        let success = response.status().is_success();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|e| StoreError::Unknown {
            call: kind.name(),
            reason: e.to_string(),
        })?;
        Ok(Answer {
            success,
            body: body.to_bytes(),
        })
    }

    async fn send(&self, kind: CallKind, path: &str, body: Bytes) -> Result<Response, StoreError> {
        let turn = self.turn.load(Ordering::Relaxed);
        let endpoint = self.config.endpoints[turn % self.config.endpoints.len()];
        let client = self.client.load_full();
        let request = client.0.post(format!("http://{endpoint}{path}"));
        let request = request.header("content-type", "application/json");
        let response = request.body(Body::from(body)).send().await;
        response.map_err(|e| connection_error(kind, &e))
    }

    /// Notes what a call says about the store's health.
    fn settle<T>(&self, kind: CallKind, answer: &Result<T, StoreError>) {
        let Err(error) = answer else {
            self.budget.succeeded();
            return;
        };
        self.metrics.failed(kind, error);
        if matches!(error, StoreError::Timeout { .. }) {
            self.reconnect();
        }
        self.budget.failed();
        self.turn.fetch_add(1, Ordering::Relaxed);
    }

    /// Leaves the pooled connections; calls in progress end on theirs.
    fn reconnect(&self) {
        self.client.store(Arc::new(connections()));
    }

    async fn open_watch(&self, prefix: &str, from: Revision) -> Result<EtcdWatch, StoreError> {
        let kind = CallKind::Watch;
        let (key, range_end) = prefix_range(prefix);
        let create_request = WatchCreate {
            key,
            range_end,
            start_revision: from.next().0,
            progress_notify: true,
        };
        let body = encode(kind, &WatchRequest { create_request })?;
        self.budget
            .acquire(kind.name(), self.config.deadline)
            .await?;
        self.metrics.sent(kind);
        let open = async {
            let response = self.send(kind, "/v3/watch", body).await?;
            if !response.status().is_success() {
                let body = response.into_body().collect().await;
                let body = body.map(|body| body.to_bytes()).unwrap_or_default();
                return Err(refusal(kind, &body));
            }
            let lines = Lines::new(response.into_body());
            EtcdWatch::open(lines, from, self.metrics.open_watch()).await
        };
        let watch = self.within_deadline(kind, open).await;
        self.settle(kind, &watch);
        watch
    }
}

impl Store for EtcdStore {
    fn metrics(&self) -> Option<&CallMetrics> {
        Some(&self.metrics)
    }

    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Snapshot> {
        Box::pin(async move {
            let (key, range_end) = prefix_range(prefix);
            let request = RangeRequest {
                key,
                range_end,
                ..RangeRequest::default()
            };
            let kind = CallKind::Range;
            let answer: RangeResponse = self.read(kind, "/v3/kv/range", &request).await?;
            let items = answer.kvs.into_iter().map(|kv| item(kind, kv));
            Ok(Snapshot {
                revision: Revision(answer.header.revision),
                items: items.collect::<Result<_, _>>()?,
            })
        })
    }

    fn newest<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Newest> {
        Box::pin(async move {
            let (key, range_end) = prefix_range(prefix);
            let request = RangeRequest {
                key,
                range_end,
                limit: 1,
                sort_order: "DESCEND".to_owned(),
                sort_target: "MOD".to_owned(),
                keys_only: true,
            };
            let kind = CallKind::Newest;
            let answer: RangeResponse = self.read(kind, "/v3/kv/range", &request).await?;
            let newest = answer.kvs.first().map_or(0, |kv| kv.mod_revision);
            Ok(Newest {
                revision: Revision(answer.header.revision),
                changed: Revision(newest),
                count: answer.count,
            })
        })
    }

    fn commit(&self, commit: Commit) -> StoreFuture<'_, Outcome> {
        Box::pin(async move {
            check_sizes(&commit)?;
            let kind = CallKind::Commit;
            let lease = commit.writes.iter().find_map(Write::lease);
            let request = txn_request(commit);
            let answer = self.write(kind, "/v3/kv/txn", &request).await;
            let answer: TxnResponse = answer.map_err(|error| lease_error(error, lease))?;
            let revision = Revision(answer.header.revision);
            if revision == Revision(0) {
                return Err(malformed(kind, "revision is missing"));
            }
            if answer.succeeded {
                return Ok(Outcome::Committed(revision));
            }
            Ok(Outcome::Conflict(revision))
        })
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId> {
        Box::pin(async move {
            let request = LeaseMessage {
                id: 0,
                ttl: ttl.as_secs().max(1),
            };
            let kind = CallKind::Grant;
            let answer: LeaseMessage = self.write(kind, "/v3/lease/grant", &request).await?;
            if answer.id == 0 {
                return Err(malformed(kind, "lease is missing"));
            }
            Ok(LeaseId(answer.id))
        })
    }

    fn renew(&self, lease: LeaseId) -> StoreFuture<'_, Duration> {
        Box::pin(async move {
            let request = LeaseMessage {
                id: lease.0,
                ttl: 0,
            };
            let kind = CallKind::Renew;
            let path = "/v3/lease/keepalive";
            let answer: Line<LeaseMessage> = self.write(kind, path, &request).await?;
            match answer.result {
                Some(LeaseMessage { ttl: 0, .. }) => Err(StoreError::LeaseGone { lease }),
                Some(answer) => Ok(Duration::from_secs(answer.ttl)),
                None => Err(malformed(kind, "result is missing")),
            }
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> StoreFuture<'a, Box<dyn Watch>> {
        Box::pin(async move {
            let watch = self.open_watch(prefix, from).await?;
            Ok(Box::new(watch) as Box<dyn Watch>)
        })
    }
}

fn connections() -> Connections {
    let mut builder = ClientBuilder::new();
    builder
        .set_connect_timeout(CONNECT_TIMEOUT)
        .set_pool_idle_timeout(IDLE_TIMEOUT);
    Connections(builder.build().expect("fixed options are valid"))
}
