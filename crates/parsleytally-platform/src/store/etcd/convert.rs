//! Conversions between the trait's types and the gateway's messages.

use std::error::Error;

use bytes::Bytes;
use parsleytally::types::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::error::ClientError;

use super::wire::{
    self, CompareMessage, DeleteMessage, Failure, Operation, PutMessage, TxnRequest,
};
use super::{Answer, LEASE_NOT_FOUND};
use crate::store::calls::CallKind;
use crate::store::{Commit, Compare, Item, LeaseId, MAX_VALUE_BYTES, StoreError, Write};

pub(super) fn encode(kind: CallKind, request: &impl Serialize) -> Result<Bytes, StoreError> {
    let body = serde_json::to_vec(request).map_err(|e| StoreError::Refused {
        call: kind.name(),
        reason: e.to_string(),
    })?;
    Ok(body.into())
}

pub(super) fn decode<T: DeserializeOwned>(
    kind: CallKind,
    answer: &Answer,
) -> Result<T, StoreError> {
    if !answer.success {
        return Err(refusal(kind, &answer.body));
    }
    serde_json::from_slice(&answer.body).map_err(|e| malformed(kind, &e.to_string()))
}

/// Error of a call whose connection failed.
///
/// A connection that was never made reports an I/O error itself; one that broke
/// later reports it wrapped, and the request may have arrived.
pub(super) fn connection_error(kind: CallKind, error: &ClientError) -> StoreError {
    let reason = error.to_string();
    if error.source().is_some_and(|e| e.is::<std::io::Error>()) {
        return StoreError::Down { reason };
    }
    StoreError::Unknown {
        call: kind.name(),
        reason,
    }
}

/// Error of a call that the gateway answered with a failure.
pub(super) fn refusal(kind: CallKind, body: &[u8]) -> StoreError {
    let call = kind.name();
    let Ok(failure) = serde_json::from_slice::<Failure>(body) else {
        let reason = "failure without a reason".to_owned();
        return StoreError::Unknown { call, reason };
    };
    failure_error(call, failure)
}

pub(super) fn failure_error(call: &'static str, failure: Failure) -> StoreError {
    let reason = failure.message;
    match failure.code {
        wire::CODE_INVALID
        | wire::CODE_NOT_FOUND
        | wire::CODE_EXHAUSTED
        | wire::CODE_PRECONDITION
        | wire::CODE_OUT_OF_RANGE => StoreError::Refused { call, reason },
        _ => StoreError::Unknown { call, reason },
    }
}

/// Recognises the refusal of a write whose lease has ended.
pub(super) fn lease_error(error: StoreError, lease: Option<LeaseId>) -> StoreError {
    match (&error, lease) {
        (StoreError::Refused { reason, .. }, Some(lease)) if reason.contains(LEASE_NOT_FOUND) => {
            StoreError::LeaseGone { lease }
        }
        _ => error,
    }
}

pub(super) fn malformed(kind: CallKind, reason: &str) -> StoreError {
    StoreError::Protocol {
        call: kind.name(),
        reason: reason.to_owned(),
    }
}

pub(super) fn item(kind: CallKind, kv: wire::KeyValue) -> Result<Item, StoreError> {
    let key = String::from_utf8(kv.key).map_err(|_| malformed(kind, "key is not UTF-8"))?;
    Ok(Item {
        key,
        value: kv.value,
        revision: Revision(kv.mod_revision),
        created: Revision(kv.create_revision),
    })
}

pub(super) fn check_sizes(commit: &Commit) -> Result<(), StoreError> {
    for write in &commit.writes {
        if let Write::Put { key, value, .. } = write
            && value.len() > MAX_VALUE_BYTES
        {
            return Err(StoreError::TooLarge {
                key: key.clone(),
                size: value.len(),
            });
        }
    }
    Ok(())
}

pub(super) fn txn_request(commit: Commit) -> TxnRequest {
    let compare = commit.compares.into_iter().map(|compare| match compare {
        Compare::Absent { key } => CompareMessage {
            result: "EQUAL".to_owned(),
            target: "CREATE".to_owned(),
            key: key.into_bytes(),
            create_revision: Some(0),
            mod_revision: None,
        },
        Compare::Unchanged { key, revision } => CompareMessage {
            result: "EQUAL".to_owned(),
            target: "MOD".to_owned(),
            key: key.into_bytes(),
            create_revision: None,
            mod_revision: Some(revision.0),
        },
    });
    let success = commit.writes.into_iter().map(|write| match write {
        Write::Put { key, value, lease } => Operation::Put(PutMessage {
            key: key.into_bytes(),
            value,
            lease: lease.map_or(0, |lease| lease.0),
        }),
        Write::Delete { key } => Operation::Delete(DeleteMessage {
            key: key.into_bytes(),
        }),
    });
    TxnRequest {
        compare: compare.collect(),
        success: success.collect(),
    }
}
