//! Messages of etcd v3's JSON gateway.
//!
//! Keys and values are base64, 64-bit numbers are texts, and a field that is
//! zero or empty may be left out.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DisplayFromStr, PickFirst, serde_as};

/// Head of each answer.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    /// Revision of the store.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) revision: u64,
}

/// A key with its value.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    #[serde_as(as = "Base64")]
    pub(crate) key: Vec<u8>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) create_revision: u64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) mod_revision: u64,
    #[serde_as(as = "Base64")]
    pub(crate) value: Vec<u8>,
}

/// Request of `/v3/kv/range`.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct RangeRequest {
    #[serde_as(as = "Base64")]
    pub(crate) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub(crate) range_end: Vec<u8>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) limit: u64,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) sort_order: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) sort_target: String,
    pub(crate) keys_only: bool,
}

/// Answer of `/v3/kv/range`.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValue>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) count: u64,
}

/// A condition of `/v3/kv/txn`.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct CompareMessage {
    pub(crate) result: String,
    pub(crate) target: String,
    #[serde_as(as = "Base64")]
    pub(crate) key: Vec<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    pub(crate) create_revision: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    pub(crate) mod_revision: Option<u64>,
}

/// A put within a transaction.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct PutMessage {
    #[serde_as(as = "Base64")]
    pub(crate) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub(crate) value: Vec<u8>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) lease: u64,
}

/// A deletion within a transaction.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct DeleteMessage {
    #[serde_as(as = "Base64")]
    pub(crate) key: Vec<u8>,
}

/// One write of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Operation {
    /// Sets a key.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutMessage),
    /// Deletes a key.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(DeleteMessage),
}

/// Request of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<CompareMessage>,
    pub(crate) success: Vec<Operation>,
}

/// Answer of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
}

/// Request and answer of `/v3/lease/grant` and `/v3/lease/keepalive`.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseMessage {
    #[serde(rename = "ID")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) id: u64,
    /// Seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) ttl: u64,
}

/// What a watch is opened for.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCreate {
    #[serde_as(as = "Base64")]
    pub(crate) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub(crate) range_end: Vec<u8>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) start_revision: u64,
    pub(crate) progress_notify: bool,
}

/// Request of `/v3/watch`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

/// A change that a watch reports.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Event {
    /// `DELETE`, or `PUT` when left out.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub(crate) kind: String,
    pub(crate) kv: KeyValue,
}

/// One message of a watch.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) header: Header,
    pub(crate) created: bool,
    pub(crate) canceled: bool,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) compact_revision: u64,
    pub(crate) cancel_reason: String,
    pub(crate) events: Vec<Event>,
}

/// One line of a streamed answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Line<T> {
    pub(crate) result: Option<T>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<Failure>,
}

/// A refused call; both the plain and the streamed form.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Failure {
    /// Status code of gRPC.
    #[serde(alias = "grpc_code")]
    pub(crate) code: u32,
    pub(crate) message: String,
}

/// Status code of gRPC for a bad argument.
pub(crate) const CODE_INVALID: u32 = 3;
/// Status code of gRPC for something that does not exist.
pub(crate) const CODE_NOT_FOUND: u32 = 5;
/// Status code of gRPC for an exhausted quota.
pub(crate) const CODE_EXHAUSTED: u32 = 8;
/// Status code of gRPC for a state that forbids the call.
pub(crate) const CODE_PRECONDITION: u32 = 9;
/// Status code of gRPC for a revision out of range.
pub(crate) const CODE_OUT_OF_RANGE: u32 = 11;
/// Status code of gRPC for a service that is not there.
#[cfg(feature = "stand-in")]
pub(crate) const CODE_UNAVAILABLE: u32 = 14;

/// First key and end of the keys that start with `prefix`.
pub(crate) fn prefix_range(prefix: &str) -> (Vec<u8>, Vec<u8>) {
    let key = prefix.as_bytes().to_vec();
    let mut end = key.clone();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return (key, end);
        }
    }
    (vec![0], vec![0])
}
