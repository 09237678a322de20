//! Watches of the JSON gateway: one JSON message a line, without an end.

use bytes::BytesMut;
use http_body_util::BodyExt;
use parsleytally::types::Revision;
use serde::de::DeserializeOwned;
use volo_http::body::Body;

use super::convert::{failure_error, item, malformed};
use super::wire::{Event, Line, WatchResponse};
use crate::store::calls::{CallKind, OpenWatch};
use crate::store::{Change, Changes, StoreError, StoreFuture, Watch};

/// Longest line, in bytes: a commit of many large values arrives as one.
const MAX_LINE_BYTES: usize = 64 << 20;

/// Lines of a streamed answer.
pub(super) struct Lines {
    body: Body,
    buffer: BytesMut,
    /// Bytes of the buffer that hold no line end.
    searched: usize,
}

impl Lines {
    pub(super) fn new(body: Body) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// Waits for the next line; none after the end of the answer.
    async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<Line<T>>, StoreError> {
        loop {
            if let Some(line) = self.take_line() {
                let line = serde_json::from_slice(&line);
                let line = line.map_err(|e| malformed(CallKind::Watch, &e.to_string()))?;
                return Ok(Some(line));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(malformed(CallKind::Watch, "line is too long"));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|e| ended(&e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let unsearched = &self.buffer[self.searched..];
        let Some(end) = unsearched.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(self.searched + end + 1);
        self.searched = 0;
        Some(line)
    }
}

/// An open watch.
pub(super) struct EtcdWatch {
    lines: Lines,
    /// Revision up to which changes have been reported.
    reported: Revision,
    _open: OpenWatch,
}

impl EtcdWatch {
    /// Waits until the store has confirmed the watch.
    pub(super) async fn open(
        mut lines: Lines,
        from: Revision,
        open: OpenWatch,
    ) -> Result<Self, StoreError> {
        let first = message(&mut lines).await?;
        if !first.created {
            return Err(malformed(CallKind::Watch, "watch was not confirmed"));
        }
        check_canceled(&first)?;
        Ok(Self {
            lines,
            reported: from,
            _open: open,
        })
    }

    async fn report(&mut self) -> Result<Changes, StoreError> {
        let message = message(&mut self.lines).await?;
        check_canceled(&message)?;
        let changes: Vec<Change> = message
            .events
            .into_iter()
            .map(change)
            .collect::<Result<_, _>>()?;
        let newest = changes.iter().map(Change::revision).max();
        let revision = newest.unwrap_or(Revision(message.header.revision));
        self.reported = self.reported.max(revision);
        Ok(Changes {
            revision: self.reported,
            changes,
        })
    }
}

impl Watch for EtcdWatch {
    fn next(&mut self) -> StoreFuture<'_, Changes> {
        Box::pin(self.report())
    }
}

async fn message(lines: &mut Lines) -> Result<WatchResponse, StoreError> {
    let line = lines.next::<WatchResponse>().await?;
    let line = line.ok_or_else(|| ended("connection was closed"))?;
    if let Some(failure) = line.error {
        return Err(failure_error(CallKind::Watch.name(), failure));
    }
    line.result
        .ok_or_else(|| malformed(CallKind::Watch, "result is missing"))
}

fn check_canceled(message: &WatchResponse) -> Result<(), StoreError> {
    if message.compact_revision > 0 {
        return Err(StoreError::Compacted {
            oldest: Revision(message.compact_revision),
        });
    }
    if message.canceled {
        return Err(ended(&message.cancel_reason));
    }
    Ok(())
}

fn change(event: Event) -> Result<Change, StoreError> {
    let deleted = event.kind == "DELETE";
    let item = item(CallKind::Watch, event.kv)?;
    if deleted {
        return Ok(Change::Delete {
            key: item.key,
            revision: item.revision,
        });
    }
    Ok(Change::Put(item))
}

fn ended(reason: &str) -> StoreError {
    StoreError::WatchEnded {
        reason: reason.to_owned(),
    }
}
