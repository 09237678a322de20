//! Server of etcd v3's JSON gateway over a [`MemoryStore`], for tests and trials.
//!
//! It serves the calls that [`EtcdStore`](super::EtcdStore) sends, and
//! `POST /faults/{name}/{value}`, which switches a fault:
//!
//! | name | value | effect |
//! |---|---|---|
//! | `down` | `on`, `off` | each call fails |
//! | `delay` | milliseconds | each answer is late |
//! | `lose` | count | answers of the next writes are lost after their effect |
//! | `watches` | `cut`, `silent` | open watches end, or report nothing any more |
//! | `lapse` | number of a lease | the lease ends |
//! | `compact` | revision | changes up to it are forgotten |

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http::StatusCode;
use http_body::Frame;
use http_body_util::{BodyExt, Limited};
use parsleytally::types::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::error::BoxError;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

use super::etcd::LEASE_NOT_FOUND;
use super::etcd::wire::{
    self, CompareMessage, Event, Failure, Header, KeyValue, LeaseMessage, Line, Operation,
    RangeRequest, RangeResponse, TxnRequest, TxnResponse, WatchRequest, WatchResponse,
};
use super::{
    Change, Changes, Commit, Compare, Item, LeaseId, MemoryStore, Outcome, Store, StoreError, Write,
};

/// Largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// Messages of one watch that wait to be sent; a full ring holds the watch back.
const WATCH_LINES: usize = 64;

/// Serves `store` on `listener` until a signal ends the process.
///
/// # Errors
///
/// Returns an error when the listener fails.
pub async fn serve(store: MemoryStore, listener: TcpListener) -> Result<(), BoxError> {
    let service = Gateway(Arc::new(store));
    Server::new(service)
        .run(DefaultIncoming::from(listener))
        .await
}

#[derive(Clone)]
struct Gateway(Arc<MemoryStore>);

impl volo::Service<ServerContext, Request> for Gateway {
    type Response = Response;
    type Error = std::convert::Infallible;

    async fn call(
        &self,
        _: &mut ServerContext,
        request: Request,
    ) -> Result<Self::Response, Self::Error> {
        Ok(self.answer(request).await.unwrap_or_else(failure))
    }
}

/// Why a call was not answered as asked.
enum Problem {
    /// The store reports an error.
    Store(StoreError),
    /// The request is not one of the gateway's.
    Request(String),
}

impl From<StoreError> for Problem {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl Gateway {
    async fn answer(&self, request: Request) -> Result<Response, Problem> {
        let path = request.uri().path().to_owned();
        if let Some(fault) = path.strip_prefix("/faults/") {
            return self.switch(fault);
        }
        let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
        let body = body.collect().await.map_err(|e| bad(&e))?.to_bytes();
        match path.as_str() {
            "/v3/kv/range" => self.range(parse(&body)?).await,
            "/v3/kv/txn" => self.txn(parse(&body)?).await,
            "/v3/lease/grant" => self.grant(parse(&body)?).await,
            "/v3/lease/keepalive" => self.renew(parse(&body)?).await,
            "/v3/watch" => self.watch(parse(&body)?).await,
            _ => Err(Problem::Request(format!("path {path:?} is not served"))),
        }
    }

    fn switch(&self, fault: &str) -> Result<Response, Problem> {
        let unknown = || Problem::Request(format!("fault {fault:?} is not known"));
        let (name, value) = fault.split_once('/').ok_or_else(unknown)?;
        let number = value.parse::<u64>().map_err(|e| bad(&e));
        match (name, value) {
            ("down", "on") => self.0.set_down(true),
            ("down", "off") => self.0.set_down(false),
            ("watches", "cut") => self.0.cut_watches(),
            ("watches", "silent") => self.0.silence_watches(),
            ("delay", _) => self.0.set_delay(Duration::from_millis(number?)),
            ("lose", _) => self
                .0
                .lose_answers(u32::try_from(number?).unwrap_or(u32::MAX)),
            ("lapse", _) => self.0.lapse(LeaseId(number?)),
            ("compact", _) => self.0.compact(Revision(number?)),
            _ => return Err(unknown()),
        }
        Ok(json(StatusCode::OK, &serde_json::Value::Null))
    }

    async fn range(&self, request: RangeRequest) -> Result<Response, Problem> {
        let prefix = prefix(request.key)?;
        if request.limit == 1 {
            return self.newest(&prefix).await;
        }
        let snapshot = self.0.range(&prefix).await?;
        let answer = RangeResponse {
            header: header(snapshot.revision),
            count: snapshot.items.len() as u64,
            kvs: snapshot.items.into_iter().map(key_value).collect(),
        };
        Ok(json(StatusCode::OK, &answer))
    }

    async fn newest(&self, prefix: &str) -> Result<Response, Problem> {
        let newest = self.0.newest(prefix).await?;
        let kv = KeyValue {
            mod_revision: newest.changed.0,
            ..KeyValue::default()
        };
        let answer = RangeResponse {
            header: header(newest.revision),
            kvs: if newest.count > 0 { vec![kv] } else { vec![] },
            count: newest.count,
        };
        Ok(json(StatusCode::OK, &answer))
    }

    async fn txn(&self, request: TxnRequest) -> Result<Response, Problem> {
        let compares = request.compare.into_iter().map(compare);
        let writes = request.success.into_iter().map(write);
        let commit = Commit {
            compares: compares.collect::<Result<_, _>>()?,
            writes: writes.collect::<Result<_, _>>()?,
        };
        let (succeeded, revision) = match self.0.commit(commit).await? {
            Outcome::Committed(revision) => (true, revision),
            Outcome::Conflict(revision) => (false, revision),
        };
        let header = header(revision);
        Ok(json(StatusCode::OK, &TxnResponse { header, succeeded }))
    }

    async fn grant(&self, request: LeaseMessage) -> Result<Response, Problem> {
        let ttl = Duration::from_secs(request.ttl);
        let id = self.0.grant(ttl).await?.0;
        let ttl = request.ttl;
        Ok(json(StatusCode::OK, &LeaseMessage { id, ttl }))
    }

    async fn renew(&self, request: LeaseMessage) -> Result<Response, Problem> {
        let id = request.id;
        let ttl = match self.0.renew(LeaseId(id)).await {
            Ok(left) => left.as_secs(),
            Err(StoreError::LeaseGone { .. }) => 0,
            Err(error) => return Err(error.into()),
        };
        let result = Some(LeaseMessage { id, ttl });
        let error = None;
        Ok(json(StatusCode::OK, &Line { result, error }))
    }

    async fn watch(&self, request: WatchRequest) -> Result<Response, Problem> {
        let create = request.create_request;
        let from = Revision(create.start_revision.saturating_sub(1));
        let prefix = prefix(create.key)?;
        let (sender, mut lines) = mpsc::channel(WATCH_LINES);
        tokio::spawn(report(self.0.clone(), prefix, from, sender));
        let lines = stream::poll_fn(move |cx| lines.poll_recv(cx));
        let frames = lines.map(|line| Ok::<_, BoxError>(Frame::data(line)));
        Ok(response(StatusCode::OK, Body::from_stream(frames)))
    }
}

/// Opens a watch and sends its messages until either side ends it.
async fn report(
    store: Arc<MemoryStore>,
    prefix: String,
    from: Revision,
    sender: mpsc::Sender<Bytes>,
) {
    let created = WatchResponse {
        created: true,
        ..WatchResponse::default()
    };
    let _ = sender.send(line(created)).await;
    let mut watch = match store.watch(&prefix, from).await {
        Ok(watch) => watch,
        Err(error) => {
            let _ = sender.send(line(canceled(&error))).await;
            return;
        }
    };
    loop {
        let changes = tokio::select! {
            changes = watch.next() => changes,
            () = sender.closed() => return,
        };
        let (message, last) = match changes {
            Ok(changes) => (events(changes), false),
            Err(error) => (canceled(&error), true),
        };
        if sender.send(line(message)).await.is_err() || last {
            return;
        }
    }
}

fn canceled(error: &StoreError) -> WatchResponse {
    let compact_revision = match error {
        StoreError::Compacted { oldest } => oldest.0,
        _ => 0,
    };
    WatchResponse {
        canceled: true,
        compact_revision,
        cancel_reason: error.to_string(),
        ..WatchResponse::default()
    }
}

fn events(changes: Changes) -> WatchResponse {
    let events = changes.changes.into_iter().map(|change| match change {
        Change::Put(item) => Event {
            kind: String::new(),
            kv: key_value(item),
        },
        Change::Delete { key, revision } => Event {
            kind: "DELETE".to_owned(),
            kv: KeyValue {
                key: key.into_bytes(),
                mod_revision: revision.0,
                ..KeyValue::default()
            },
        },
    });
    WatchResponse {
        header: header(changes.revision),
        events: events.collect(),
        ..WatchResponse::default()
    }
}

fn line(message: WatchResponse) -> Bytes {
    let line = Line {
        result: Some(message),
        error: None,
    };
    let mut text = serde_json::to_vec(&line).expect("message is plain data");
    text.push(b'\n');
    text.into()
}

fn header(revision: Revision) -> Header {
    Header {
        revision: revision.0,
    }
}

fn key_value(item: Item) -> KeyValue {
    KeyValue {
        key: item.key.into_bytes(),
        create_revision: item.created.0,
        mod_revision: item.revision.0,
        value: item.value,
    }
}

fn compare(message: CompareMessage) -> Result<Compare, Problem> {
    let key = text(message.key)?;
    match (message.create_revision, message.mod_revision) {
        (Some(0), None) => Ok(Compare::Absent { key }),
        (None, Some(revision)) => Ok(Compare::Unchanged {
            key,
            revision: Revision(revision),
        }),
        _ => Err(Problem::Request("condition is not served".to_owned())),
    }
}

fn write(operation: Operation) -> Result<Write, Problem> {
    Ok(match operation {
        Operation::Put(put) => Write::Put {
            key: text(put.key)?,
            value: put.value,
            lease: (put.lease != 0).then_some(LeaseId(put.lease)),
        },
        Operation::Delete(delete) => Write::Delete {
            key: text(delete.key)?,
        },
    })
}

/// The prefix that a range stands for.
fn prefix(key: Vec<u8>) -> Result<String, Problem> {
    if key == [0] {
        return Ok(String::new());
    }
    text(key)
}

fn text(key: Vec<u8>) -> Result<String, Problem> {
    String::from_utf8(key).map_err(|e| bad(&e))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|e| bad(&e))
}

fn bad(reason: &impl std::fmt::Display) -> Problem {
    Problem::Request(reason.to_string())
}

fn failure(problem: Problem) -> Response {
    let (status, code, message) = match problem {
        Problem::Request(reason) => (StatusCode::BAD_REQUEST, wire::CODE_INVALID, reason),
        Problem::Store(StoreError::Unknown { .. }) => return broken(),
        Problem::Store(StoreError::LeaseGone { .. }) => (
            StatusCode::NOT_FOUND,
            wire::CODE_NOT_FOUND,
            format!("etcdserver: {LEASE_NOT_FOUND}"),
        ),
        Problem::Store(error @ (StoreError::Refused { .. } | StoreError::TooLarge { .. })) => (
            StatusCode::BAD_REQUEST,
            wire::CODE_INVALID,
            error.to_string(),
        ),
        Problem::Store(error) => (
            StatusCode::SERVICE_UNAVAILABLE,
            wire::CODE_UNAVAILABLE,
            error.to_string(),
        ),
    };
    json(status, &Failure { code, message })
}

/// An answer that breaks off before its first byte.
fn broken() -> Response {
    let frames = stream::once(std::future::ready(Err("answer is lost".into())));
    response(StatusCode::OK, Body::from_stream(frames))
}

fn json(status: StatusCode, answer: &impl Serialize) -> Response {
    let body = serde_json::to_vec(answer).expect("answer is plain data");
    response(status, Body::from(Bytes::from(body)))
}

fn response(status: StatusCode, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
